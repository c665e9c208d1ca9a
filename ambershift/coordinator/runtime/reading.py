"""Reading: the commands that show, each from one whole state."""

from __future__ import annotations

import os
from functools import partial

import orjson

from ambershift.coordinator.admin.audit_log import AuditRecord
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.runtime import figures, show, stat
from ambershift.coordinator.runtime.changes import BadCommandError, named
from ambershift.coordinator.runtime.common import Common, Rows
from ambershift.coordinator.runtime.grammar import Command
from ambershift.coordinator.runtime.outcomes import WAIT, Answer, Outcome, Promise, Stream, error
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.runtime.session import Session

SECOND = 1_000_000_000
MEMBER_COLUMNS = ("name", "state", "leader", "votes", "incarnation", "committed", "heard_ms", "link", "why")
PERMIT_COLUMNS = (
    "id",
    "work",
    "servers",
    "state",
    "granted",
    "ends",
    "tenants",
    "reason",
    "tenant",
    "nearest",
    "text",
)
PAIR_COLUMNS = ("victim", "suspect", "effect", "low", "high", "p", "nodes", "suffering", "accused", "reason")


class Reading:
    scene: Scene

    def do_show_version(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer((self.scene.version,))

    def do_show_info(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        left = [word for word in rest if word not in ("desc", "float")]
        return Answer(show.show_info(self.scene, self.form(left, ("json", "typed"))))

    def do_show_stat(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        words = list(rest)
        no_maint, up = "no-maint" in words, "up" in words
        words = [word for word in words if word not in ("no-maint", "up", "desc")]
        zones, types, server = self.zones(()), -1, -1
        if words and words[0] not in ("json", "typed"):
            if len(words) < 3:
                raise BadCommandError(
                    "'show stat' takes <zone> <type> <sid>, each -1 for all, or none of them."
                )
            if words[0] not in ("-1", "0"):
                zones = self.zones((words[0],)) if not words[0].isdigit() else [self.number(words[0]) - 2]
            if not set(zones) <= set(self.zones(())):
                raise BadCommandError(f"No such backend '{words[0][:40]}'.")
            types, server = self.number(words[1]), self.number(words[2])
            words = words[3:]
        return Answer(
            stat.show_stat(
                self.scene, zones, types, server, self.form(words, ("json", "typed")), no_maint, up
            )
        )

    def do_show_servers_state(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(stat.show_servers_state(self.scene, self.zones(rest)))

    def do_show_servers_conn(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(stat.show_servers_conn(self.scene, self.zones(rest)))

    def do_show_backend(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(("# name", *map(self.scene.zone_name, self.zones(()))))

    def do_show_activity(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(f"{name}: {self.scene.count(name)}" for name in sorted(self.scene.counts))

    def do_show_env(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        names = [
            name for name in sorted(os.environ) if name.startswith("BALANCER_") and rest in ((), (name,))
        ]
        if rest and not names:
            return error("Variable not found")
        return Answer(f"{name}={os.environ[name]}" for name in names)

    def do_show_schema_json(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        field = {"type": "object", "required": ["field", "processNum", "tags", "value"]}
        return Answer(
            (
                orjson.dumps(
                    {
                        "$schema": "http://json-schema.org/draft-04/schema#",
                        "title": "ambershift show info, show stat",
                        "anyOf": [
                            {"type": "array", "items": field},
                            {"type": "array", "items": {"type": "array", "items": field}},
                        ],
                    }
                ).decode(),
            )
        )

    def do_get_weight(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view = self.scene.view()
        if len(rest) != 1:
            raise BadCommandError("Require 'backend/server'.")
        return Answer(
            [
                f"{figures.figure(self.scene.entry(view, server).weight)} "
                f"(initial {figures.figure(view.inventory.listed[server].weight)})"
                for server in named(self.scene, view, rest[0])
            ]
        )

    def do_show_pending(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view, json, servers = self.chosen(rest)
        names = ("server", "stage", "wish", "number", "who", "waiting_ms")
        return Answer(figures.rows(show.pending_rows(self.scene, view, servers), names, json))

    def do_show_standing(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        common, wait = self.scene.common, session.idle or WAIT
        told = self.standing(rest)  # Already here: a word that can't be read is no reason to ask others.
        return told if common is None else Promise(partial(self.standing_of_all, common, rest, wait))

    async def standing_of_all(self, common: Common, rest: tuple[str, ...], wait: int) -> Answer:
        refused = await common.read(wait)
        try:
            return refused or self.standing(rest)
        except BadCommandError as bad:  # The list has changed meanwhile.
            return error(str(bad))

    def standing(self, rest: tuple[str, ...]) -> Answer:
        view, json, servers = self.chosen(rest)
        names = ("server", "wish", "status", "number", "who", "since_ms", "lent_ms")
        return Answer(figures.rows(show.standing_rows(self.scene, view, servers), names, json))

    def do_show_tables(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view, words, json = self.scene.view(), [word for word in rest if word != "json"], "json" in rest
        tables = sorted(view.data_plane.tables) if not words else [self.number(words[0])]
        if len(words) > 1 or any(table not in view.data_plane.tables for table in tables):
            return error("No such table.")
        names = ("table", "proxies", "server", "weight", "shut", "reply", "settled")
        return Answer(figures.rows(show.table_rows(self.scene, view, tables), names, json))

    def do_show_group(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        assert self.scene.common is not None
        return self.plain_rows(self.scene.common.members(), rest, MEMBER_COLUMNS)

    def do_show_maintenance(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        assert self.scene.common is not None
        return self.plain_rows(self.scene.common.maintenance(), rest, PERMIT_COLUMNS)

    def do_show_interference(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        assert self.scene.common is not None
        return self.plain_rows(self.scene.common.interference(), rest, PAIR_COLUMNS)

    def plain_rows(self, rows: Rows, rest: tuple[str, ...], names: tuple[str, ...]) -> Answer:
        """The heading is that of the rows; where there is none, of what could stand here."""
        json = self.form(list(rest), ("json",)) == "json"
        return Answer(figures.rows(iter(rows), tuple(rows[0]) if rows else names, json))

    def do_show_events(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        words = [word for word in rest if not word.startswith("-")]
        flags = set("".join(word[1:] for word in rest if word.startswith("-")))
        if not rest:
            return Answer(
                (
                    "Supported events sinks are listed below. Add -w (wait), -n (new). Any key to stop.",
                    f"    admin          : {self.scene.controller.audit_log.count} records, 0 dropped",
                )
            )
        if flags - {"w", "n"} or words not in ([], ["admin"]):
            return error("'show events' knows the sink 'admin' and the flags -w and -n.")
        audit_log = self.scene.controller.audit_log
        if "w" in flags:
            return Stream(audit_log.count if "n" in flags else 0)
        return Answer(() if "n" in flags else [self.record(one) for one in audit_log.records])

    def do_show_errors(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        errors = list(self.scene.controller.audit_log.errors)
        if len(rest) > 1:
            raise BadCommandError("At most a count may stand here.")
        if rest:
            errors = errors[-max(1, self.number(rest[0])) :]
        return Answer([self.record(one) for one in errors])

    def record(self, one: AuditRecord) -> str:
        text = one.text
        if one.kind in ("lent", "returned"):
            text = self.scene.title(self.scene.view(), int(text.removeprefix("server ")))
        return f"{one.number} {one.at / SECOND:.3f} {one.kind} {one.who.replace(' ', '_')} {text}"

    # Words

    def form(self, words: list[str], known: tuple[str, ...]) -> str:
        if len(words) > 1 or (words and words[0] not in known):
            raise BadCommandError(f"'{' '.join(words)[:80]}': only {' or '.join(known)} may stand here.")
        return words[0] if words else ""

    def number(self, word: str) -> int:
        if not word.removeprefix("-").isascii() or not word.removeprefix("-").isdigit() or len(word) > 10:
            raise BadCommandError(f"'{word[:40]}' is no whole number.")
        return int(word)

    def zones(self, rest: tuple[str, ...]) -> list[int]:
        if not rest:
            return self.scene.zones(self.scene.view())
        zone = self.scene.zone(rest[0])
        if zone is None or len(rest) > 1:
            raise BadCommandError(f"No such backend '{' '.join(rest)[:80]}'.")
        return [zone]

    def chosen(self, rest: tuple[str, ...]) -> tuple[View, bool, list[int]]:
        view, words = self.scene.view(), [word for word in rest if word != "json"]
        if not words:
            servers = [one for zone in self.scene.zones(view) for one in self.scene.servers(view, zone)]
        elif len(words) == 1:
            servers = named(self.scene, view, words[0] if "/" in words[0] else f"{words[0]}/*")
        else:
            raise BadCommandError("At most one backend or backend/server may stand here.")
        return view, "json" in rest, servers

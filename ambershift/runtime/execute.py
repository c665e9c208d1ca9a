"""Execute: carries out commands on the scene. No I/O, no waiting: what must wait is given back as such."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from typing import NamedTuple

import orjson

from ambershift import interface as api
from ambershift.admin.ledger import Record, Reused
from ambershift.admin.view import View
from ambershift.admin.words import Change, Refused
from ambershift.runtime import catalogue, show
from ambershift.runtime.catalogue import Kind
from ambershift.runtime.changes import BadCommandError, named, read_changes, tell_refused
from ambershift.runtime.grammar import Command, GrammarError, read
from ambershift.runtime.scene import Scene
from ambershift.runtime.session import Level, Session, Severity, Shown

MS, SECOND = 1_000_000, 1_000_000_000
UNITS = {"us": 1_000, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3_600 * SECOND, "d": 86_400 * SECOND}
DELAY_MOST = 24 * 3_600 * SECOND
TOKEN_MOST = 64


class Answer(NamedTuple):
    """Lines for the client; `severity` is None for what is no message but data."""

    lines: Iterable[str]
    severity: Severity | None = None


class Wait(NamedTuple):
    """Not answered yet: when `done` says so, or at `until`, whichever comes first."""

    until: int
    done: Callable[[], bool] | None


class Stream(NamedTuple):
    """Goes on until the client leaves: all records after this number."""

    after: int


class End(NamedTuple):
    """The client wants to go."""


Outcome = Answer | Wait | Stream | End
Handler = Callable[[Session, Command, tuple[str, ...]], Outcome]
DONE = Answer(())


def error(text: str) -> Answer:
    return Answer((text,), Severity.ERROR)


def read_delay(text: str, unit: str) -> int:
    """A time in HAProxy's form: a whole number and a unit, `unit` where none is given. Nanoseconds."""
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyz")
    scale = UNITS.get(text[len(digits):] or unit)
    if scale is None or not digits.isascii() or not digits.isdigit() or len(digits) > 12:
        raise BadCommandError(f"'{text[:40]}' is no delay; write a whole number and us, ms, s, m, h or d.")
    if int(digits) * scale > DELAY_MOST:
        raise BadCommandError(f"'{text[:40]}' is longer than a day.")
    return int(digits) * scale


class Executor:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene

    def run(self, session: Session, command: Command) -> Outcome:
        """Carry out one command, whole or not at all; whatever it wants, the answer is for a person."""
        found = catalogue.find(command.words)
        if found is None:
            return self.unknown(session, command)
        entry, rest = found
        if session.level < entry.level:
            return error("Permission denied")
        if entry.kind is Kind.REFUSED:
            return error(f"Refused (not-here): '{entry.name}': {entry.note}.")
        if command.payload is not None and "<<" not in entry.usage and entry.path != ("once",):
            return error(f"'{entry.name}' takes no payload.")
        try:
            handler: Handler = getattr(self, f"do_{entry.handler}")
            return handler(session, command, rest)
        except BadCommandError as bad:
            return error(str(bad))

    def unknown(self, session: Session, command: Command) -> Answer:
        near = [one for one in catalogue.alike(command.words) if one.level <= session.level]
        first = f"Unknown command: '{' '.join(command.words)[:80]}'"
        if not near:
            return error(f"{first}. Please enter 'help' to see the commands.")
        return Answer((f"{first}, but maybe one of the following ones is a better match:", *map(usage, near)),
                      Severity.ERROR)

    # Conversation

    def do_help(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        some = [one for one in catalogue.TABLE
                if one.handler and one.level <= session.level and one.path[:len(rest)] == rest]
        if not some:
            return error(f"No command begins with '{' '.join(rest)[:80]}'.")
        width = max(len(usage(one)) for one in some)
        return Answer(["The following commands are valid at this level:",
                       *(f"{usage(one):<{min(width, 60)}} : {one.note}" for one in some)])

    def do_prompt(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        way = rest[0] if rest else "p" if not session.prompted else "i"
        if way == "help":
            return Answer(("prompt n: one line, one answer, then the connection is closed",
                           "prompt i: many lines, no prompt", "prompt p: many lines, with a prompt",
                           "prompt timed: the prompt shows how long the program has been running"))
        if way not in ("n", "i", "p", "timed"):
            return error(f"'prompt' knows n, i, p, timed and help, not '{way[:40]}'.")
        if way == "timed":
            session.timed = not session.timed
        elif way == "n":
            session.timed = False
        session.interactive, session.prompted = way != "n", way in ("p", "timed")
        return DONE

    def do_quit(self, session: Session, command: Command, rest: tuple[str, ...]) -> End:
        return End()

    def do_user(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        session.level = Level.USER
        return DONE

    def do_operator(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        session.level = Level.OPERATOR
        return DONE

    def do_mode(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return DONE if rest in ((), ("on",), ("off",)) else error("Only 'on' or 'off' may follow.")

    def do_set_severity_output(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        if len(rest) != 1 or rest[0] not in set(Shown):
            return error("one of 'none', 'number', 'string' is required")
        session.severity = Shown(rest[0])
        return DONE

    def do_set_timeout_cli(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        if len(rest) != 1:
            return error("Expects a delay.")
        session.idle = read_delay(rest[0], "s")
        return DONE

    def do_show_cli_level(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer((session.level.name.lower(),))

    def do_show_cli_sockets(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(("# socket lvl "
                       "processes", *(f"{one.address} {one.level} all" for one in self.scene.places)))

    # Reading

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
                raise BadCommandError("'show stat' takes <zone> <type> <sid>, each -1 for all, or none of "
                                      "them.")
            if words[0] not in ("-1", "0"):
                zones = self.zones((words[0],)) if not words[0].isdigit() else [self.number(words[0]) - 2]
            if not set(zones) <= set(self.zones(())):
                raise BadCommandError(f"No such backend '{words[0][:40]}'.")
            types, server = self.number(words[1]), self.number(words[2])
            words = words[3:]
        return Answer(show.show_stat(self.scene, zones, types, server, self.form(words, ("json", "typed")),
                                     no_maint, up))

    def do_show_servers_state(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(show.show_servers_state(self.scene, self.zones(rest)))

    def do_show_servers_conn(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(show.show_servers_conn(self.scene, self.zones(rest)))

    def do_show_backend(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(("# name", *map(self.scene.zone_name, self.zones(()))))

    def do_show_activity(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        return Answer(f"{name}: {self.scene.count(name)}" for name in sorted(self.scene.counts))

    def do_show_env(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        names = [name for name in sorted(os.environ)
                 if name.startswith("BALANCER_") and rest in ((), (name,))]
        if rest and not names:
            return error("Variable not found")
        return Answer(f"{name}={os.environ[name]}" for name in names)

    def do_show_schema_json(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        field = {"type": "object", "required": ["field", "processNum", "tags", "value"]}
        return Answer((orjson.dumps({
            "$schema": "http://json-schema.org/draft-04/schema#", "title": "ambershift show info, show stat",
            "anyOf": [{"type": "array", "items": field},
                      {"type": "array", "items": {"type": "array", "items": field}}]}).decode(),))

    def do_get_weight(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view = self.scene.view()
        if len(rest) != 1:
            raise BadCommandError("Require 'backend/server'.")
        return Answer([f"{show.figure(self.scene.entry(view, server).weight)} "
                       f"(initial {show.figure(view.world.listed[server].weight)})"
                       for server in named(self.scene, view, rest[0])])

    def do_show_pending(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view, json, servers = self.chosen(rest)
        names = ("server", "stage", "wish", "number", "who", "waiting_ms")
        return Answer(show.rows(show.pending_rows(self.scene, view, servers), names, json))

    def do_show_standing(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view, json, servers = self.chosen(rest)
        names = ("server", "wish", "status", "number", "who", "since_ms", "lent_ms")
        return Answer(show.rows(show.standing_rows(self.scene, view, servers), names, json))

    def do_show_tables(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        view, words, json = self.scene.view(), [word for word in rest if word != "json"], "json" in rest
        tables = sorted(view.picture.tables) if not words else [self.number(words[0])]
        if len(words) > 1 or any(table not in view.picture.tables for table in tables):
            return error("No such table.")
        names = ("table", "proxies", "server", "weight", "shut", "reply", "settled")
        return Answer(show.rows(show.table_rows(self.scene, view, tables), names, json))

    def do_show_events(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        words = [word for word in rest if not word.startswith("-")]
        flags = set("".join(word[1:] for word in rest if word.startswith("-")))
        if not rest:
            return Answer(("Supported events sinks are listed below. Add -w (wait), -n (new). Any key to "
                           "stop.",
                           f"    admin          : {self.scene.desk.ledger.count} records, 0 dropped"))
        if flags - {"w", "n"} or words not in ([], ["admin"]):
            return error("'show events' knows the sink 'admin' and the flags -w and -n.")
        ledger = self.scene.desk.ledger
        if "w" in flags:
            return Stream(ledger.count if "n" in flags else 0)
        return Answer(() if "n" in flags else [self.record(one) for one in ledger.records])

    def do_show_errors(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        errors = list(self.scene.desk.ledger.errors)
        if len(rest) > 1:
            raise BadCommandError("At most a count may stand here.")
        if rest:
            errors = errors[-max(1, self.number(rest[0])):]
        return Answer([self.record(one) for one in errors])

    def record(self, one: Record) -> str:
        text = one.text
        if one.kind in ("lent", "returned"):
            text = self.scene.title(self.scene.view(), int(text.removeprefix("server ")))
        return f"{one.number} {one.at / SECOND:.3f} {one.kind} {one.who.replace(' ', '_')} {text}"

    # Changing

    def change(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        changes = read_changes(self.scene, self.scene.view(), command.words)
        assert changes is not None, command.words
        return self.carry_out(session, command.text, changes)

    do_disable_server = do_enable_server = do_set_server = do_set_weight = change

    def carry_out(self, session: Session, text: str, changes: list[Change]) -> Answer:
        scene = self.scene
        outcome = scene.desk.command(scene.now(), session.who, text, changes)
        if isinstance(outcome, Refused):
            return error(tell_refused(scene, scene.view(), outcome))
        return DONE

    def do_apply(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        if rest or command.payload is None:
            raise BadCommandError("'apply <<' takes the commands as its payload, ended by an empty line.")
        changes, view = list[Change](), self.scene.view()
        for at, line in enumerate(command.payload.split("\n"), 1):
            try:
                row = read(line.encode())
                for one in row.commands:
                    some = read_changes(self.scene, view, one.words)
                    if some is None:
                        raise BadCommandError(f"'{one.text[:80]}' changes no server.")
                    changes += some
            except (BadCommandError, GrammarError) as bad:
                raise BadCommandError(f"line {at} of the payload: {bad} Nothing was changed.") from None
        return self.carry_out(session, f"apply of {len(changes)} changes", changes)

    def do_once(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        if len(rest) < 2 or len(rest[0]) > TOKEN_MOST:
            raise BadCommandError(f"'once' takes a token of up to {TOKEN_MOST} characters and a command.")
        token, words = rest[0], rest[1:]
        found = catalogue.find(words)
        if found is None or found[0].handler not in ONCE:
            raise BadCommandError("'once' is for commands that change servers.")
        if session.level < found[0].level:
            return error("Permission denied")
        ledger, inner = self.scene.desk.ledger, Command(words, " ".join(words), command.payload)
        key = orjson.dumps([*words, command.payload]).decode()
        try:
            known = ledger.answered(token, key)
        except Reused:
            raise BadCommandError("this token was used for another command.") from None
        if known is not None:
            return error(known) if known else DONE
        outcome = self.run(session, inner)
        assert isinstance(outcome, Answer)
        text = "\n".join(outcome.lines)
        ledger.keep(token, key, text)
        return error(text) if text else DONE

    def do_wait(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        if rest in ((), ("-h",)):
            return Answer(("usage: wait {-h | <delay>} [<condition> [<args>...]]",
                           "srv-drained <backend>/<server>: shut out at every proxy, and no try told any "
                           "more",
                           "srv-applied <backend>/<server>: every joined proxy has applied the last wish",
                           "srv-removable <backend>/<server>: drained, and kept out by operator or list"))
        scene, view = self.scene, self.scene.view()
        until = view.now + read_delay(rest[0], "ms")
        if len(rest) == 1:
            return Wait(until, None)
        if len(rest) != 3:
            raise BadCommandError("'wait <delay> <condition>' takes one backend/server.")
        servers, desk = named(scene, view, rest[2]), scene.desk
        match rest[1]:
            case "srv-applied":
                return Wait(until, lambda: desk.applied(servers))
            case "srv-drained":
                return Wait(until, lambda: desk.drained(servers, scene.now()))
            case "srv-removable":
                return Wait(until, lambda: desk.drained(servers, scene.now()) and all(
                    scene.entry(scene.view(), server).phase != api.Phase.READY for server in servers))
        raise BadCommandError(f"'wait' knows srv-drained, srv-applied and srv-removable, not "
                              f"'{rest[1][:40]}'.")

    def do_clear_counters(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        scene = self.scene
        scene.base = dict(scene.counts)
        scene.met_base = {server: (met.tries, met.bad) for server, met in scene.view().picture.met.items()}
        return DONE

    # Words

    def form(self, words: list[str], known: tuple[str, ...]) -> str:
        if len(words) > 1 or words and words[0] not in known:
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


ONCE = {"disable_server", "enable_server", "set_server", "set_weight", "apply"}


def usage(entry: catalogue.Entry) -> str:
    return f"{entry.name} {entry.usage}".rstrip()

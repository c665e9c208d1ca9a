"""Converse: the commands that are about the conversation itself."""

from __future__ import annotations

from ambershift.coordinator.runtime import catalogue
from ambershift.coordinator.runtime.changes import BadCommandError
from ambershift.coordinator.runtime.grammar import Command
from ambershift.coordinator.runtime.outcomes import DONE, Answer, End, error
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.runtime.session import Level, Session, Shown

MS, SECOND = 1_000_000, 1_000_000_000
UNITS = {"us": 1_000, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3_600 * SECOND, "d": 86_400 * SECOND}
DELAY_MOST = 24 * 3_600 * SECOND


def read_delay(text: str, unit: str) -> int:
    """A time in HAProxy's form: a whole number and a unit, `unit` where none is given. Nanoseconds."""
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyz")
    scale = UNITS.get(text[len(digits) :] or unit)
    if scale is None or not digits.isascii() or not digits.isdigit() or len(digits) > 12:
        raise BadCommandError(f"'{text[:40]}' is no delay; write a whole number and us, ms, s, m, h or d.")
    if int(digits) * scale > DELAY_MOST:
        raise BadCommandError(f"'{text[:40]}' is longer than a day.")
    return int(digits) * scale


def usage(entry: catalogue.Entry) -> str:
    return f"{entry.name} {entry.usage}".rstrip()


class Converse:
    scene: Scene

    def has(self, entry: catalogue.Entry) -> bool:
        """Commands of a group are there only where there is one."""
        return not entry.grouped or self.scene.common is not None

    def do_help(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        some = [
            one
            for one in catalogue.TABLE
            if one.handler and one.level <= session.level and one.path[: len(rest)] == rest and self.has(one)
        ]
        if not some:
            return error(f"No command begins with '{' '.join(rest)[:80]}'.")
        width = max(len(usage(one)) for one in some)
        return Answer(
            [
                "The following commands are valid at this level:",
                *(f"{usage(one):<{min(width, 60)}} : {one.note}" for one in some),
            ]
        )

    def do_prompt(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        way = rest[0] if rest else "p" if not session.prompted else "i"
        if way == "help":
            return Answer(
                (
                    "prompt n: one line, one answer, then the connection is closed",
                    "prompt i: many lines, no prompt",
                    "prompt p: many lines, with a prompt",
                    "prompt timed: the prompt shows how long the program has been running",
                )
            )
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
        return Answer(
            ("# socket lvl processes", *(f"{one.address} {one.level} all" for one in self.scene.places))
        )

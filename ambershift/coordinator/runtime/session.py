"""Session: one client's conversation without I/O: its level, its modes, and what of its bytes is a
command.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum

from ambershift.coordinator.runtime.grammar import Command, GrammarError, decode, read

# As HAProxy's buffer by default; a payload may be longer than a line, as it comes in lines.
LINE_MOST, PAYLOAD_MOST, ROW_MOST = 16_384, 262_144, 1_024


class Level(IntEnum):
    """What a client may do; each may all that the one before may."""

    USER = 0
    OPERATOR = 1
    ADMIN = 2


class Severity(IntEnum):
    """Of what an answer tells; the numbers of syslog, as HAProxy has them."""

    ERROR = 3
    WARNING = 4
    NOTICE = 5
    INFO = 6


class Shown(StrEnum):
    NONE = "none"
    NUMBER = "number"
    STRING = "string"


NAMES = {Severity.ERROR: "err", Severity.WARNING: "warning", Severity.NOTICE: "notice", Severity.INFO: "info"}


class Session:
    """One-shot until `prompt`: the first line is answered and the connection closed."""

    def __init__(self, who: str, level: Level) -> None:
        self.who, self.level = who, level
        self.interactive, self.prompted, self.timed = False, False, False
        self.severity, self.idle = Shown.NONE, 0  # Nanoseconds; 0: as the settings say.
        self.row: tuple[Command, ...] = ()
        self.pattern: str | None = None
        self.payload, self.size = list[str](), 0

    @property
    def in_payload(self) -> bool:
        return self.pattern is not None

    def take(self, line: bytes) -> list[Command]:
        """The commands that this line makes ready to run: none while a payload is still coming."""
        if self.pattern is not None:
            return self.take_payload(line)
        row = read(line)
        if len(row.commands) > ROW_MOST:
            raise GrammarError(f"more than {ROW_MOST} commands in one line")
        if row.pattern is not None:
            self.row, self.pattern = row.commands, row.pattern
            return []
        return list(row.commands)

    def take_payload(self, line: bytes) -> list[Command]:
        try:
            text = decode(line)
        except GrammarError:
            self.drop_payload()
            raise
        if text.strip() == self.pattern if self.pattern else not text:
            *ahead, last = self.row
            whole = last._replace(payload="\n".join(self.payload))
            self.drop_payload()
            return [*ahead, whole]
        self.size += len(text) + 1
        if self.size > PAYLOAD_MOST:
            self.drop_payload()
            raise GrammarError(f"the payload is over {PAYLOAD_MOST} characters")
        self.payload.append(text)
        return []

    def drop_payload(self) -> None:
        self.row, self.pattern, self.payload, self.size = (), None, [], 0

    def answer(self, body: str, severity: Severity | None) -> str:
        """One answer: its lines, then an empty one. A message shows its severity if asked to."""
        if severity is not None and body and self.severity is not Shown.NONE:
            body = f"[{severity.value if self.severity is Shown.NUMBER else NAMES[severity]}]:{body}"
        # An empty line ends an answer, so there must be none in it.
        return "".join(f"{line}\n" for line in body.split("\n") if line) + "\n"

    def prompt(self, uptime: int) -> str:
        """What asks for the next line; `uptime` is the program's, in seconds, for who wants it timed."""
        if not self.prompted:
            return ""
        ahead = f"[{uptime // 86400}:{uptime // 3600 % 24:02}:{uptime // 60 % 60:02}:{uptime % 60:02}] "
        return (ahead if self.timed else "") + ("+ " if self.in_payload else "> ")

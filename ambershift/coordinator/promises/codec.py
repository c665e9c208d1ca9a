"""Commands and answers of the log as bytes."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ambershift.coordinator.promises.commands import Command

COMMAND_MOST = 1 << 20  # A thousand wishes take about 30 KB; whatever is larger was not made by this program.


class CommandRefusal(StrEnum):
    """Why a command is refused, beside the reasons of `admin.words` and `maintenance.words`."""

    UNKNOWN = "unknown"  # A kind of command that this program can't read; a newer one may.
    TOO_LARGE = "too-large"
    NO_SUCH_PERMIT = "no-such-permit"
    NO_SUCH_WORK = "no-such-work"
    PHASE = "phase-goes-up"
    REPEATED = "named-twice"
    BAD_WISH = "bad-wish"
    TOO_MANY_WISHES = "too-many-wishes"
    UNSOUND = "unsound-declaration"
    OLDER_REVISION = "older-revision"
    OTHER_CONTENTS = "other-contents"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a command. `reason` is the name that answers, logs and docs use, "" where it stands;
    `changed` are the servers or permits that it changed, none where all stood so already.
    """

    done: bool
    reason: str = ""
    text: str = ""
    number: int = 0  # The operators' commands up to this one, counted from 1.
    changed: tuple[str, ...] = ()


def refused(reason: str, text: str) -> Outcome:
    return Outcome(False, str(reason), text)


OUTCOMES = msgspec.msgpack.Decoder(Outcome)
COMMANDS: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command | None:
    """None where it is torn, or of a kind that only a newer program knows."""
    if len(data) > COMMAND_MOST:
        return None
    try:
        return COMMANDS.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_outcome(outcome: Outcome) -> bytes:
    return msgspec.msgpack.encode(outcome)


def decode_outcome(data: bytes) -> Outcome:
    """An answer of a replica; what can't be read is told as unknown."""
    try:
        return OUTCOMES.decode(data)
    except (msgspec.MsgspecError, ValueError):
        return refused(CommandRefusal.UNKNOWN, "the answer can't be read")

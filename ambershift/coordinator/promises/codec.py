"""Encoding of the commands of the log and of their outcomes."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ambershift.coordinator.promises.commands import Command

# A thousand wishes take about 30 KB; no command of this program is larger than this.
MAX_COMMAND_BYTES = 1 << 20


class CommandRefusal(StrEnum):
    """Why a command is refused, beside the reasons of `admin.words` and `maintenance.types`."""

    UNKNOWN = "unknown"  # A kind of command that this version can't decode; a newer one may.
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
    """The outcome of a command.

    Attributes:
        done: Whether the command took effect, or needed no change.
        reason: Why it was refused, as the name that answers, logs and documents use; empty if it was done.
        text: The reason in words.
        number: How many operators' commands have changed something, this one included.
        changed: The servers or permits that the command changed; empty if it changed nothing.
    """

    done: bool
    reason: str = ""
    text: str = ""
    number: int = 0
    changed: tuple[str, ...] = ()


def refused(reason: str, text: str) -> Outcome:
    """Return the outcome of a refused command."""
    return Outcome(False, str(reason), text)


_OUTCOME_DECODER = msgspec.msgpack.Decoder(Outcome)
_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command | None:
    """Return the command; None if it is too large, malformed or of a kind that only a newer version knows."""
    if len(data) > MAX_COMMAND_BYTES:
        return None
    try:
        return _COMMAND_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_outcome(outcome: Outcome) -> bytes:
    """Return the bytes of an outcome."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(data: bytes) -> Outcome:
    """Return the outcome; one that can't be decoded is reported as a refusal with the reason `unknown`."""
    try:
        return _OUTCOME_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError):
        return refused(CommandRefusal.UNKNOWN, "the answer can't be decoded")

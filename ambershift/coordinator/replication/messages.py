"""What replicas tell each other, and how it is packed: a byte for the wire's version, then msgpack."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ambershift.coordinator.replication.types import Entry

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20  # Bytes; the rest of the program bounds what it asks to stay far below.
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
Incarnations = tuple[tuple[Name, Count], ...]


class UnreadableError(Exception):
    """These bytes are no message of ours; `reason` is `unreadable`, `other-version` or `too-large`."""

    def __init__(self, reason: str, why: str) -> None:
        super().__init__(f"{reason}: {why}")
        self.reason = reason


class MemberProgress(msgspec.Struct, frozen=True, array_like=True):
    """The most that a member is known to have vouched for: the view it was in, and a log that ends with
    `number`, written in the view `last`. `status` is for people.
    """

    name: Name
    incarnation: Count
    view: Count
    last: Count
    number: Count
    committed: Count
    status: Name


class BaseMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", kw_only=True):
    """All have these: who says it (by the incarnation), in which view."""

    incarnation: Count
    view: Count


class RecoveryRequest(BaseMessage, frozen=True, tag=1):
    """A blank voter asks all. Rounds count up: the second of birth starts after the first is complete.
    Who answers it knows from `lives` which earlier lives have ended, and heeds nothing late of theirs.
    """

    round: Count
    voters: tuple[Name, ...]
    lives: Incarnations


class BlankResponse(BaseMessage, frozen=True, tag=2):
    """I hold nothing either. `asked` is the incarnation that asked."""

    asked: Count
    round: Count


class RecoveryResponse(BaseMessage, frozen=True, tag=3):
    """I am in normal work in `view` (or not), with a log up to `number`. `birth`, if I know it yet, is who
    was blank at the moment at which all were.
    """

    asked: Count
    round: Count
    normal: bool
    group: Name
    number: Count
    lives: Incarnations
    birth: Incarnations
    rows: tuple[MemberProgress, ...]


class Heartbeat(BaseMessage, frozen=True, tag=4):
    """The leader is there. It also starts a view, and a read's round."""

    group: Name
    round: Count
    top: Count
    committed: Count
    rows: tuple[MemberProgress, ...]
    voters: tuple[Name, ...]


class Prepare(BaseMessage, frozen=True, tag=5):
    """Entries that follow the one of that number and view."""

    group: Name
    after: Count
    after_view: Count
    entries: tuple[Entry, ...]
    committed: Count


class PrepareOk(BaseMessage, frozen=True, tag=6):
    """My log is the leader's up to `number`, on the disk if I have one; `round` is the last that I heard."""

    round: Count
    number: Count
    committed: Count
    status: Name


class GetState(BaseMessage, frozen=True, tag=7):
    """Tell me what follows `after`; `snapshot` and `offset` say how much of which I have."""

    after: Count
    snapshot: Count
    offset: Count


class StateChunk(BaseMessage, frozen=True, tag=8):
    """Entries after `after`, or a piece of the snapshot of that number. `top` is where my log ends."""

    group: Name
    after: Count
    entries: tuple[Entry, ...]
    top: Count
    committed: Count
    snapshot: Count
    offset: Count
    total: Count
    data: bytes


class SuspectRequest(BaseMessage, frozen=True, tag=9):
    """Do you hear the leader of this view? I don't."""

    round: Count
    rows: tuple[MemberProgress, ...]


class SuspectResponse(BaseMessage, frozen=True, tag=10):
    """`agree`: neither do I, or I have left that view. `view` is my own, `asked` the one asked about."""

    asked: Count
    round: Count
    agree: bool
    rows: tuple[MemberProgress, ...]


class StartViewChange(BaseMessage, frozen=True, tag=11):
    """I leave for `view` (the paper's StartViewChange)."""

    lives: Incarnations
    rows: tuple[MemberProgress, ...]


class DoViewChange(BaseMessage, frozen=True, tag=12):
    """To the leader of `view`: a majority leaves for it, and this is how far my log goes (DoViewChange)."""

    last: Count
    number: Count
    committed: Count
    lives: Incarnations
    rows: tuple[MemberProgress, ...]


class NewerView(BaseMessage, frozen=True, tag=13):
    """You speak for a view that I have left for this one."""


class CommandRequest(BaseMessage, frozen=True, tag=14):
    """A client's command, from the member that it was given to. Attempts of one member count up."""

    ticket: Count
    attempt: Count
    token: str
    command: bytes


class CommandResponse(BaseMessage, frozen=True, tag=15):
    """`reason` is "" where it stands. `asked` is the incarnation that forwarded it."""

    asked: Count
    ticket: Count
    attempt: Count
    reason: Name
    answer: bytes
    retry_ns: Count


class ReadIndexRequest(BaseMessage, frozen=True, tag=16):
    ticket: Count
    group: Name = ""  # As far as it is known to whoever asks.


class ReadIndexResponse(BaseMessage, frozen=True, tag=17):
    """Whoever has applied `number` has all that was promised when it was asked."""

    asked: Count
    ticket: Count
    number: Count


Message = (
    RecoveryRequest
    | BlankResponse
    | RecoveryResponse
    | Heartbeat
    | Prepare
    | PrepareOk
    | GetState
    | StateChunk
    | SuspectRequest
    | SuspectResponse
    | StartViewChange
    | DoViewChange
    | NewerView
    | CommandRequest
    | CommandResponse
    | ReadIndexRequest
    | ReadIndexResponse
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return bytes((WIRE_VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Raises UnreadableError for all that `encode` of this version does not make."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise UnreadableError("too-large", f"{len(data)} bytes, at most {MAX_MESSAGE_BYTES}")
    if not data or data[0] != WIRE_VERSION:
        raise UnreadableError(
            "other-version", f"version {data[0] if data else 'missing'}, {WIRE_VERSION} is known"
        )
    try:
        message: Message = _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableError("unreadable", str(error)) from None
    return message

"""Messages between replicas. On the wire: one byte for the protocol version, then msgpack.

The names follow Viewstamped Replication (Liskov, Cowling 2012) where a message is one of its.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ambershift.coordinator.replication.types import Entry

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20  # The bounds on commands, batches and chunks keep messages far below it.
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
Incarnations = tuple[tuple[Name, Count], ...]


class UnreadableError(Exception):
    """These bytes are not a message; `reason` is `unreadable`, `other-version` or `too-large`."""

    def __init__(self, reason: str, why: str) -> None:
        super().__init__(f"{reason}: {why}")
        self.reason = reason


class MemberProgress(msgspec.Struct, frozen=True, array_like=True):
    """The most that a member is known to have acknowledged.

    It was in `view`, and its log ended with the entry `number`, written in `last_entry_view`. `status` is for
    operators.
    """

    name: Name
    incarnation: Count
    view: Count
    last_entry_view: Count
    number: Count
    committed: Count
    status: Name


class BaseMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", kw_only=True):
    """What all messages have: the sender's incarnation and view."""

    incarnation: Count
    view: Count


class RecoveryRequest(BaseMessage, frozen=True, tag=1):
    """A blank voter asks all others for the group's state.

    Rounds count up; a bootstrap takes two, and the second starts after the first is complete. From
    `incarnations` the receiver learns which earlier ones have ended, and ignores their late messages.
    """

    round: Count
    voters: tuple[Name, ...]
    incarnations: Incarnations


class BlankResponse(BaseMessage, frozen=True, tag=2):
    """The sender is blank too."""

    requester_incarnation: Count
    round: Count


class RecoveryResponse(BaseMessage, frozen=True, tag=3):
    """The sender is in `view`, in normal operation or not, with a log up to `last_number`.

    `founders` are the voters that formed the group and their incarnations; empty where the sender does not
    know them.
    """

    requester_incarnation: Count
    round: Count
    is_normal: bool
    group: Name
    last_number: Count
    incarnations: Incarnations
    founders: Incarnations
    progress: tuple[MemberProgress, ...]


class Heartbeat(BaseMessage, frozen=True, tag=4):
    """The leader is alive. It also starts a view, and a round that confirms the leader to reads."""

    group: Name
    round: Count
    last_number: Count
    committed: Count
    progress: tuple[MemberProgress, ...]
    voters: tuple[Name, ...]


class Prepare(BaseMessage, frozen=True, tag=5):
    """Entries that follow the entry `previous_number`, which was written in `previous_view`."""

    group: Name
    previous_number: Count
    previous_view: Count
    entries: tuple[Entry, ...]
    committed: Count


class PrepareOk(BaseMessage, frozen=True, tag=6):
    """The sender's log equals the leader's up to `number`, durably where it has a disk.

    `round` is the round of the heartbeat that this answers; 0 for an answer to entries.
    """

    round: Count
    number: Count
    committed: Count
    status: Name


class GetState(BaseMessage, frozen=True, tag=7):
    """Asks for the entries after `after`, or for a snapshot in their place.

    `offset` is how many bytes the sender has of the snapshot numbered `snapshot`.
    """

    after: Count
    snapshot: Count
    offset: Count


class StateChunk(BaseMessage, frozen=True, tag=8):
    """Entries after `after`, or a part of the snapshot numbered `snapshot`; 0: entries.

    `last_number` is where the sender's log ends; `total` is the size of the whole snapshot, bytes.
    """

    group: Name
    after: Count
    entries: tuple[Entry, ...]
    last_number: Count
    committed: Count
    snapshot: Count
    offset: Count
    total: Count
    data: bytes


class SuspectRequest(BaseMessage, frozen=True, tag=9):
    """The sender does not hear the leader of `view`, and asks whether the receiver does."""

    round: Count
    progress: tuple[MemberProgress, ...]


class SuspectResponse(BaseMessage, frozen=True, tag=10):
    """`agree`: the sender does not hear the leader of `asked_view` either. `view` is its own."""

    asked_view: Count
    round: Count
    agree: bool
    progress: tuple[MemberProgress, ...]


class StartViewChange(BaseMessage, frozen=True, tag=11):
    """The sender has left its view for `view`, and accepts nothing of an earlier one."""

    incarnations: Incarnations
    progress: tuple[MemberProgress, ...]


class DoViewChange(BaseMessage, frozen=True, tag=12):
    """To the leader of `view`: a majority has left for it, and this is where the sender's log ends."""

    last_entry_view: Count
    last_number: Count
    committed: Count
    incarnations: Incarnations
    progress: tuple[MemberProgress, ...]


class NewerView(BaseMessage, frozen=True, tag=13):
    """The receiver's view is over: the sender has left it for `view`."""


class CommandRequest(BaseMessage, frozen=True, tag=14):
    """A client's command, from the member that received it. Attempts of one member count up."""

    ticket: Count
    attempt: Count
    token: str
    command: bytes


class CommandResponse(BaseMessage, frozen=True, tag=15):
    """The leader's answer to the member that forwarded a command; `reason` is "" for a success."""

    requester_incarnation: Count
    ticket: Count
    attempt: Count
    reason: Name
    answer: bytes
    retry_ns: Count


class ReadIndexRequest(BaseMessage, frozen=True, tag=16):
    """Asks the leader for the entry that a read must wait for (as ReadIndex of Raft)."""

    ticket: Count
    group: Name = ""  # The sender's group; "" while it does not know it.


class ReadIndexResponse(BaseMessage, frozen=True, tag=17):
    """A member that has applied `number` has all that was committed when the request was made."""

    requester_incarnation: Count
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
    """The bytes of a message on the wire."""
    return bytes((WIRE_VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """The message of bytes that `encode` made.

    Raises:
        UnreadableError: `encode` of this protocol version makes no such bytes.
    """
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

"""What members tell each other of heard state, and how it is packed: a byte for the version, then msgpack."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ambershift.coordinator.replication.gossip.types import Body, Count, Key, Name

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
# A delta stops at so many bytes: below what links take, and soon over, as promises wait behind it.
MAX_DELTA_BYTES = 64 << 10
MAX_ORIGINS = 256


class UnreadableError(Exception):
    """These bytes are no message of ours, or one that contradicts itself."""


class OriginVersion(msgspec.Struct, frozen=True, array_like=True):
    """All of an origin's records up to `version` are known, as far as they still count."""

    origin: Name
    incarnation: Count
    version: Count


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What I know. `ask`: if you lack something of it, say so."""

    vector: Annotated[tuple[OriginVersion, ...], msgspec.Meta(max_length=MAX_ORIGINS)]
    ask: bool


class DeltaRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record, without whose it is."""

    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count


class OriginDelta(msgspec.Struct, frozen=True, array_like=True):
    """All that still counts of an origin's versions after `since` up to `upto`, in their order."""

    origin: Name
    incarnation: Count
    since: Count
    last_version: Count
    rows: tuple[DeltaRecord, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What your digest lacks; `more`: there is more than fits, ask again."""

    parts: Annotated[tuple[OriginDelta, ...], msgspec.Meta(max_length=MAX_ORIGINS)]
    more: bool


Message = Digest | Delta


def encode(message: Message) -> bytes:
    return bytes([WIRE_VERSION]) + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """UnreadableError for whatever no member of this version may have sent."""
    if len(data) > MAX_MESSAGE_BYTES or data[:1] != bytes([WIRE_VERSION]):
        raise UnreadableError("too large" if len(data) > MAX_MESSAGE_BYTES else "another version")
    try:
        message: Message = msgspec.msgpack.decode(data[1:], type=Message)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableError(str(error)[:200]) from error
    for part in message.parts if isinstance(message, Delta) else ():
        at = part.since
        for row in part.rows:
            if row.version <= at:
                raise UnreadableError("versions go back")
            at = row.version
        if at > part.last_version:
            raise UnreadableError("a version beyond the last")
    return message

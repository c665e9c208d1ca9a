"""Gossip messages. On the wire: one byte for the protocol version, then msgpack."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ambershift.coordinator.replication.gossip.types import Body, Count, Key, Name

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
# The records of a delta: below what links accept, and soon sent, as messages of the replicas wait behind it.
MAX_DELTA_BYTES = 64 << 10
MAX_ORIGINS = 256
MAX_ERROR_LENGTH = 200  # Characters of a decoder's error.


class UnreadableError(Exception):
    """These bytes are not a message, or are one that contradicts itself."""


class OriginVersion(msgspec.Struct, frozen=True, array_like=True):
    """All unexpired records of an origin up to `version` are known."""

    origin: Name
    incarnation: Count
    version: Count


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The sender's version vector. `ask`: the receiver is to answer with its own if it lacks anything."""

    vector: Annotated[tuple[OriginVersion, ...], msgspec.Meta(max_length=MAX_ORIGINS)]
    ask: bool


class DeltaRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record without its origin."""

    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count


class OriginDelta(msgspec.Struct, frozen=True, array_like=True):
    """All unexpired records of an origin with versions after `since` up to `last_version`, in their order."""

    origin: Name
    incarnation: Count
    since: Count
    last_version: Count
    records: tuple[DeltaRecord, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Records that the receiver's digest lacks; `more`: not all fitted, so it is to send its digest again."""

    parts: Annotated[tuple[OriginDelta, ...], msgspec.Meta(max_length=MAX_ORIGINS)]
    more: bool


Message = Digest | Delta


def encode(message: Message) -> bytes:
    """The bytes of a message on the wire."""
    return bytes([WIRE_VERSION]) + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """The message of bytes that `encode` made.

    Raises:
        UnreadableError: No member of this protocol version sends such bytes.
    """
    if len(data) > MAX_MESSAGE_BYTES or data[:1] != bytes([WIRE_VERSION]):
        raise UnreadableError("too large" if len(data) > MAX_MESSAGE_BYTES else "another protocol version")
    try:
        message: Message = msgspec.msgpack.decode(data[1:], type=Message)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableError(str(error)[:MAX_ERROR_LENGTH]) from error
    for part in message.parts if isinstance(message, Delta) else ():
        version = part.since
        for record in part.records:
            if record.version <= version:
                raise UnreadableError("versions do not increase")
            version = record.version
        if version > part.last_version:
            raise UnreadableError("a record is newer than the last version")
    return message

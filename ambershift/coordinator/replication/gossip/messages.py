"""What members tell each other of heard state, and how it is packed: a byte for the version, then msgpack."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ambershift.coordinator.replication.gossip.types import Body, Count, Key, Name

WIRE = 1
MESSAGE_MOST = 1 << 20
# A delta stops at so many bytes: below what links take, and soon over, as promises wait behind it.
DELTA_MOST = 64 << 10
VECTOR_MOST = 256


class UnreadableError(Exception):
    """These bytes are no message of ours, or one that contradicts itself."""


class Place(msgspec.Struct, frozen=True, array_like=True):
    """All of an origin's records up to `version` are known, as far as they still count."""

    origin: Name
    incarnation: Count
    version: Count


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What I know. `ask`: if you lack something of it, say so."""

    vector: Annotated[tuple[Place, ...], msgspec.Meta(max_length=VECTOR_MOST)]
    ask: bool


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A record, without whose it is."""

    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count


class Part(msgspec.Struct, frozen=True, array_like=True):
    """All that still counts of an origin's versions after `since` up to `upto`, in their order."""

    origin: Name
    incarnation: Count
    since: Count
    upto: Count
    rows: tuple[Row, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What your digest lacks; `more`: there is more than fits, ask again."""

    parts: Annotated[tuple[Part, ...], msgspec.Meta(max_length=VECTOR_MOST)]
    more: bool


Message = Digest | Delta


def encode(message: Message) -> bytes:
    return bytes([WIRE]) + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """UnreadableError for whatever no member of this version may have sent."""
    if len(data) > MESSAGE_MOST or data[:1] != bytes([WIRE]):
        raise UnreadableError("too large" if len(data) > MESSAGE_MOST else "another version")
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
        if at > part.upto:
            raise UnreadableError("a version beyond the last")
    return message

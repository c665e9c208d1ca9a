"""What goes over a link: the hello, its answer, and frames of one kind byte and a payload. No I/O."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

WIRE_VERSION = 1
# A message that is longer is no message of ours: the largest, a snapshot, is cut into parts far below it.
MAX_MESSAGE_BYTES = 2 << 20
MAX_HELLO_BYTES = 16_384


class CloseReason(StrEnum):
    """Why a link is refused or closed. The value is the name in logs, counts and `show group`."""

    UNKNOWN_MEMBER = "unknown-member"
    OTHER_MEMBERS = "other-members"
    OTHER_GROUP = "other-group"
    SUPERSEDED = "superseded"
    CLONED = "cloned"
    UNREADABLE = "unreadable"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    TOO_MANY = "too-many"
    SILENT = "silent"
    REPLACED = "replaced"  # The same run has dialled anew.
    AWAY = "away"  # Nobody answers there, or the connection broke.
    ENDED = "ended"


class FrameKind(IntEnum):
    """What a frame holds. Numbers stay as they are."""

    REPLICA = 1
    HEARD = 2
    COUNTERS = 3


class Role(StrEnum):
    MEMBER = "member"
    COUNTERS = "counters"  # A process beside the coordinator that hands in samples.


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """The first message of a link, before anything else. `group` is "" while the one who dials knows none;
    `to` is whom it means to reach; `run` is random at each start.
    """

    wire: int
    program: str
    role: str
    name: str
    to: str
    incarnation: int
    run: str
    group: str
    title: str
    voters: tuple[str, ...]


class Welcome(msgspec.Struct, frozen=True, tag="welcome", array_like=True):
    program: str
    name: str
    incarnation: int


class Refusal(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """`known` is the incarnation under which the name is known, 0 where that is not the point."""

    reason: str
    why: str
    known: int = 0


HELLO = msgspec.msgpack.Decoder(Hello)
REPLY: msgspec.msgpack.Decoder[Welcome | Refusal] = msgspec.msgpack.Decoder(Welcome | Refusal)
encode = msgspec.msgpack.encode


class UnreadableError(Exception):
    """Bytes that are no message of this wire."""


def decode_hello(data: object) -> Hello:
    try:
        if not isinstance(data, bytes) or len(data) > MAX_HELLO_BYTES:
            raise UnreadableError("no hello")
        return HELLO.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(f"no hello ({error})") from None


def decode_reply(data: object) -> Welcome | Refusal:
    try:
        if not isinstance(data, bytes) or len(data) > MAX_HELLO_BYTES:
            raise UnreadableError("no answer to a hello")
        return REPLY.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(f"no answer to a hello ({error})") from None


def encode_frame(kind: FrameKind, payload: bytes) -> bytes:
    return bytes((kind,)) + payload


def decode_frame(data: object) -> tuple[FrameKind, bytes]:
    if not isinstance(data, bytes) or not data:
        raise UnreadableError("an empty frame, or text")
    try:
        return FrameKind(data[0]), data[1:]
    except ValueError:
        raise UnreadableError(f"a frame of kind {data[0]}") from None

"""The wire format of a link: the hello, its reply, and frames of one kind byte and a payload. No I/O."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 2 << 20  # The largest message, a snapshot, is sent in parts far below it.
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
    REPLACED = "replaced"  # The same process has connected again.
    AWAY = "away"  # Nobody answers there, or the connection broke.
    ENDED = "ended"


class FrameKind(IntEnum):
    """What a frame holds. The numbers are on the wire and stay as they are."""

    REPLICA = 1  # A message of the replicated log.
    HEARD = 2  # A gossip message.
    COUNTERS = 3  # Samples of a counter source.


class Role(StrEnum):
    """What the process that connects is."""

    MEMBER = "member"
    COUNTERS = "counters"  # A process beside the coordinator that sends samples of counters.


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """The first message of a link, from the side that connects.

    Attributes:
        wire: The version of the wire format.
        program: The version of the program.
        role: A `Role`; a string, so that an unknown one can be refused by name.
        name: The sender's name.
        to: The name of the member it means to reach.
        incarnation: The sender's incarnation.
        run: A random id, new at each start of the process.
        group: The id of the group whose log the sender holds; empty while it knows none.
        title: The group's name in the settings.
        voters: The names of the voters in the sender's settings.
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
    """The reply to a hello that is accepted."""

    program: str
    name: str
    incarnation: int


class Refusal(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """The reply to a hello that is refused.

    Attributes:
        reason: A `CloseReason`.
        why: The reason in words.
        known: The incarnation under which the sender's name is known, or 0 where it doesn't matter.
    """

    reason: str
    why: str
    known: int = 0


_hello_decoder = msgspec.msgpack.Decoder(Hello)
_reply_decoder: msgspec.msgpack.Decoder[Welcome | Refusal] = msgspec.msgpack.Decoder(Welcome | Refusal)
encode = msgspec.msgpack.encode


class UnreadableError(Exception):
    """The bytes are no message of this wire format."""


def decode_hello(data: object) -> Hello:
    """Decode a hello.

    Raises:
        UnreadableError: It isn't one, or it is too long.
    """
    try:
        if not isinstance(data, bytes) or len(data) > MAX_HELLO_BYTES:
            raise UnreadableError("no hello")
        return _hello_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(f"no hello ({error})") from None


def decode_reply(data: object) -> Welcome | Refusal:
    """Decode the reply to a hello.

    Raises:
        UnreadableError: It isn't one, or it is too long.
    """
    try:
        if not isinstance(data, bytes) or len(data) > MAX_HELLO_BYTES:
            raise UnreadableError("no answer to a hello")
        return _reply_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(f"no answer to a hello ({error})") from None


def encode_frame(kind: FrameKind, payload: bytes) -> bytes:
    """Put the kind byte before the payload."""
    return bytes((kind,)) + payload


def decode_frame(data: object) -> tuple[FrameKind, bytes]:
    """Split a frame into its kind and its payload.

    Raises:
        UnreadableError: It is empty, text, or of an unknown kind.
    """
    if not isinstance(data, bytes) or not data:
        raise UnreadableError("an empty frame, or text")
    try:
        return FrameKind(data[0]), data[1:]
    except ValueError:
        raise UnreadableError(f"a frame of kind {data[0]}") from None

"""Encodes and decodes the messages between the programs of the system.

Each message is a msgpack array that begins with the tag of its type. Long messages are deflated, since
updates for all proxies and control nodes repeat the same JSON names in each item: deflated they take a fifth
of the bytes. Short messages are sent plain, except for forwarded calls and their responses. Their JSON
repeats words that both ends know, and they are a third of the bytes between regions on a quiet day, so they
are deflated (RFC 1951) with the preset dictionary `forwarding.PRESET_DICTIONARY`.

The first byte tells the form: `ZLIB_FIRST_BYTE`, `DICTIONARY_FIRST_BYTE`, or that of a msgpack array.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages import forwarding, proxy_link, registry_sync, replication

# The version of the messages. It is part of each link's path, and a link of another version is refused.
WIRE_VERSION = 2
MAX_MESSAGE_BYTES = 16 << 20
LARGE_MESSAGE_BYTES, MAX_CACHED_ENCODINGS = 16 << 10, 4  # Bytes; messages.
DEFLATE_MIN_BYTES, DEFLATE_LEVEL = (
    1 << 10,
    1,
)  # Higher levels save few bytes and cost much more time.
ZLIB_FIRST_BYTE = 0x78  # CMF byte of RFC 1950 with a window of 32 kB; no msgpack array begins with it.
DICTIONARY_FIRST_BYTE = 0xC1  # The one byte that msgpack never uses.


@dataclass(eq=False)
class UnreadableError(Exception):
    """Bytes that are no message of this version.

    Attributes:
        reason: What is wrong with them, as the decoder or zlib says it.
    """

    reason: str


def message_types() -> tuple[type[msgspec.Struct], ...]:
    """All tagged structs of the message modules, found by their tag so that none can be left out."""
    return tuple(
        one
        for module in (replication, forwarding, proxy_link, registry_sync)
        for one in vars(module).values()
        if isinstance(one, type)
        and issubclass(one, msgspec.Struct)
        and one.__module__ == module.__name__
        and one.__struct_config__.tag is not None
    )


def _message_union() -> Any:
    first, *rest = message_types()
    union: Any = first
    for one in rest:
        union = union | one
    return union


_recent_large = deque[tuple[msgspec.Struct, bytes]](maxlen=MAX_CACHED_ENCODINGS)
_dictionary_compressor = zlib.compressobj(9, zlib.DEFLATED, -9, 1, zlib.Z_FIXED, forwarding.PRESET_DICTIONARY)
_dictionary_decompressor = zlib.decompressobj(-9, forwarding.PRESET_DICTIONARY)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_message_union())


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message, which must not change afterwards.

    The last large messages are cached by identity: an update that goes to hundreds of links is encoded once,
    and all send queues share the same bytes.
    """
    for cached_message, data in _recent_large:
        if cached_message is message:
            return data
    data = plain = _encoder.encode(message)
    if len(plain) >= DEFLATE_MIN_BYTES:
        data = zlib.compress(plain, DEFLATE_LEVEL)
    elif isinstance(message, forwarding.ForwardedCall | forwarding.ForwardedResponse):
        compressor = _dictionary_compressor.copy()
        data = min(
            plain, bytes((DICTIONARY_FIRST_BYTE,)) + compressor.compress(plain) + compressor.flush(), key=len
        )
    if len(plain) > LARGE_MESSAGE_BYTES:
        _recent_large.append((message, data))
    return data


def decode(data: bytes) -> msgspec.Struct:
    """Decode one message.

    Raises:
        UnreadableError: The bytes are no message of this version, or inflate to over `MAX_MESSAGE_BYTES`.
    """
    if data[:1] == bytes((ZLIB_FIRST_BYTE,)):
        data = _inflate(zlib.decompressobj(), data)
    elif data[:1] == bytes((DICTIONARY_FIRST_BYTE,)):
        data = _inflate(_dictionary_decompressor.copy(), data[1:])
    try:
        message: msgspec.Struct = _decoder.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError) as why:
        raise UnreadableError(str(why)) from why
    return message


def _inflate(decompressor: Any, data: bytes) -> bytes:
    """Inflate at most `MAX_MESSAGE_BYTES`, so that a small message can't fill the memory."""
    try:
        plain: bytes = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as why:
        raise UnreadableError(str(why)) from why
    if not decompressor.eof:
        raise UnreadableError("deflated: cut off, or too large")
    return plain

"""Encodes and decodes the messages between the programs of the system.

Each message is a msgpack array that begins with the tag of its type. Long messages are compressed with zlib
(RFC 1950): updates for all proxies and control nodes repeat the same JSON keys in each item, and compressed
they take a fifth of the bytes. Short messages are sent plain, except for forwarded calls and their responses:
without much load these are a third of the bytes between regions, and their JSON repeats words that both ends
know, so they are deflated (RFC 1951) with the preset dictionary `forwarding.PRESET_DICTIONARY`.

The first byte tells the encoding: `ZLIB_FIRST_BYTE`, `DICTIONARY_FIRST_BYTE`, or that of a msgpack array.
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
LARGE_MESSAGE_BYTES = 16 << 10  # The encodings of longer messages are cached.
MAX_CACHED_ENCODINGS = 4
DEFLATE_MIN_BYTES = 1 << 10
DEFLATE_LEVEL = 1  # Higher levels save few bytes and cost much more time.
ZLIB_FIRST_BYTE = 0x78  # CMF byte of RFC 1950 with a window of 32 kB; no msgpack array begins with it.
DICTIONARY_FIRST_BYTE = 0xC1  # The one byte that msgpack never uses.


@dataclass(eq=False)
class UnreadableError(Exception):
    """Bytes that aren't a message of this version.

    Attributes:
        reason: What is wrong with them, as the decoder or zlib says it.
    """

    reason: str


def message_types() -> tuple[type[msgspec.Struct], ...]:
    """All tagged structs of the message modules, found by their tag so that none can be left out."""
    return tuple(
        value
        for module in (replication, forwarding, proxy_link, registry_sync)
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__module__ == module.__name__
        and value.__struct_config__.tag is not None
    )


def _message_union() -> Any:
    first, *rest = message_types()
    union: Any = first
    for message_type in rest:
        union = union | message_type
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
        UnreadableError: The bytes aren't a message of this version, or inflate to over `MAX_MESSAGE_BYTES`.
    """
    if data[:1] == bytes((ZLIB_FIRST_BYTE,)):
        data = _inflate(zlib.decompressobj(), data)
    elif data[:1] == bytes((DICTIONARY_FIRST_BYTE,)):
        data = _inflate(_dictionary_decompressor.copy(), data[1:])
    try:
        message: msgspec.Struct = _decoder.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise UnreadableError(str(error)) from error
    return message


def _inflate(decompressor: Any, data: bytes) -> bytes:
    """Inflate at most `MAX_MESSAGE_BYTES`, so that a small message can't fill the memory."""
    try:
        plain: bytes = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise UnreadableError(str(error)) from error
    if not decompressor.eof:
        raise UnreadableError("deflated: cut off, or too large")
    return plain

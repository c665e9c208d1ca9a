"""Codes messages for a link: msgpack by msgspec, each a tagged array; long ones deflated.

Items are JSON with the same names in each, and whole lists of them go to every proxy and node: deflated
they take a fifth of that. Short messages are most, and win nothing, but for forwarded calls: their
JSON repeats what both ends know, and they are a third of the bytes between regions on a quiet day.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages import forwarding, proxy_link, registry_sync, replication

WIRE = 2  # Told in the path of each link; another number is another program's and refused.
MAX_MESSAGE_BYTES = 16 << 20
LARGE_MESSAGE_BYTES, MAX_CACHED_ENCODINGS = 16 << 10, 4  # Bytes; messages.
DEFLATE_MIN_BYTES, DEFLATE_LEVEL = (
    1 << 10,
    1,
)  # Bytes from which on a message is deflated, and how hard: more wins little.
ZLIB_FIRST_BYTE = 0x78  # The first byte of zlib's format; a tagged array never begins so.
DICTIONARY_FIRST_BYTE = (
    0xC1  # The first byte of a message deflated by words known to both ends; unused by msgpack.
)


@dataclass(eq=False)
class UnreadableError(Exception):
    """Bytes that are no message of this version."""

    reason: str


def message_types() -> tuple[type[msgspec.Struct], ...]:
    """All tagged structs of the modules of messages, found by their tag so that none is forgotten."""
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
_dictionary_compressor = zlib.compressobj(9, zlib.DEFLATED, -9, 1, zlib.Z_FIXED, forwarding.WORDS)
_dictionary_decompressor = zlib.decompressobj(-9, forwarding.WORDS)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_message_union())


def encode(message: msgspec.Struct) -> bytes:
    """The bytes of a message, which may not change any more. Of the last large ones they are kept: what goes
    to hundreds of links is made once, and waits there as one."""
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
    """Raises `UnreadableError`."""
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
    """No more of it than a message may have, whatever it claims."""
    try:
        plain: bytes = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as why:
        raise UnreadableError(str(why)) from why
    if not decompressor.eof:
        raise UnreadableError("deflated: cut off, or too large")
    return plain

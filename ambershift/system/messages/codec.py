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
MESSAGE_MOST = 16 << 20
LARGE, LARGE_MOST = 16 << 10, 4  # Bytes; messages.
LONG, LEVEL = 1 << 10, 1  # Bytes from which on a message is deflated, and how hard: more wins little.
DEFLATED = 0x78  # The first byte of zlib's format; a tagged array never begins so.
KNOWN = 0xC1  # The first byte of a message deflated by words known to both ends; unused by msgpack.


@dataclass(eq=False)
class UnreadableError(Exception):
    """Bytes that are no message of this version."""

    reason: str


def kinds() -> tuple[type[msgspec.Struct], ...]:
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


def _union() -> Any:
    first, *rest = kinds()
    union: Any = first
    for one in rest:
        union = union | one
    return union


_large = deque[tuple[msgspec.Struct, bytes]](maxlen=LARGE_MOST)
_packer = zlib.compressobj(9, zlib.DEFLATED, -9, 1, zlib.Z_FIXED, forwarding.WORDS)
_opener = zlib.decompressobj(-9, forwarding.WORDS)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_union())


def encode(message: msgspec.Struct) -> bytes:
    """The bytes of a message, which may not change any more. Of the last large ones they are kept: what goes
    to hundreds of links is made once, and waits there as one."""
    for known, data in _large:
        if known is message:
            return data
    data = plain = _encoder.encode(message)
    if len(plain) >= LONG:
        data = zlib.compress(plain, LEVEL)
    elif isinstance(message, forwarding.ForwardedCall | forwarding.Outcome):
        packer = _packer.copy()
        data = min(plain, bytes((KNOWN,)) + packer.compress(plain) + packer.flush(), key=len)
    if len(plain) > LARGE:
        _large.append((message, data))
    return data


def decode(data: bytes) -> msgspec.Struct:
    """Raises `UnreadableError`."""
    if data[:1] == bytes((DEFLATED,)):
        data = _inflated(zlib.decompressobj(), data)
    elif data[:1] == bytes((KNOWN,)):
        data = _inflated(_opener.copy(), data[1:])
    try:
        message: msgspec.Struct = _decoder.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError) as why:
        raise UnreadableError(str(why)) from why
    return message


def _inflated(inflater: Any, data: bytes) -> bytes:
    """No more of it than a message may have, whatever it claims."""
    try:
        plain: bytes = inflater.decompress(data, MESSAGE_MOST)
    except zlib.error as why:
        raise UnreadableError(str(why)) from why
    if not inflater.eof:
        raise UnreadableError("deflated: cut off, or too large")
    return plain

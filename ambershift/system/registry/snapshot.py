"""The list as it is kept on disk: what a process tells of backends between its start and their next beat.

It is a view that was true a moment before the end: no acknowledgement counts on it, and whatever can't be
read is taken for nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

import msgspec

from ambershift.system.messages.registry_sync import Lived
from ambershift.system.registry.endpoint_list import KEPT
from ambershift.system.registry.records import Life, lived, to_life
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

FORMAT = 1
SUM = 16  # Bytes of the digest in front: a write may be torn.
EACH_LEAST, EACH_LIFE = NS_PER_SECOND // 2, NS_PER_MS // 2  # The least time between two writes.


class Sheet(msgspec.Struct, frozen=True, array_like=True):
    """What the file holds. `ip`: of the machine whose list it is; `most`: the most proxies known at once."""

    format: int
    ip: str
    most: int
    lives: tuple[Lived, ...]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Sheet).decode


@dataclass(eq=False)
class SheetError(Exception):
    """Why the file says nothing."""

    reason: str


def write_sheet(ip: str, now: int, most: int, lives: Iterable[Life]) -> bytes:
    """A cold one is written with the cold time it has left: read later, that is more than it has."""
    data = _encode(Sheet(FORMAT, ip, most, tuple(lived(now, one) for one in lives)))
    return hashlib.blake2b(data, digest_size=SUM).digest() + data


def read_sheet(ip: str, now: int, data: bytes) -> tuple[int, list[Life]]:
    """The most proxies, and lives that were there: whatever is heard is newer, and has the address."""
    if hashlib.blake2b(data[SUM:], digest_size=SUM).digest() != data[:SUM]:
        raise SheetError("torn")
    try:
        sheet = _decode(data[SUM:])
    except msgspec.DecodeError as why:
        raise SheetError(str(why)) from why
    if sheet.format != FORMAT:
        raise SheetError(f"format {sheet.format}")
    if sheet.ip != ip:
        raise SheetError(f"of another machine ({sheet.ip})")
    known = (to_life(now, one) for one in sheet.lives)
    return sheet.most, [replace(one, unsure=True, sequence=-1, born=one.born - KEPT) for one in known]


class Keep:
    """When the list is to be written again: after changes, and once what is written as cold is warm."""

    def __init__(self) -> None:
        self.changed, self._due, self._warm, self._most = False, 0, 0, 0

    def due(self, now: int, most: int) -> bool:
        return now >= self._due and (self.changed or most > self._most or 0 < self._warm <= now)

    def written(self, now: int, most: int, lives: Sequence[Life]) -> None:
        self._most = most
        self.changed, self._due = False, now + max(EACH_LEAST, EACH_LIFE * len(lives))
        self._warm = min((one.cold_until for one in lives if one.cold_until > now), default=0)

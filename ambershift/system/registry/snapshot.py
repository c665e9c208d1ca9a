"""The list as it is kept on disk: what a process tells of backends between its start and their next beat.

It is a view that was true a moment before the end: no acknowledgement counts on it, and whatever can't be
read is taken for nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

import msgspec

from ambershift.system.messages.registry_sync import InstanceRecord
from ambershift.system.registry.endpoint_list import RETENTION_NS
from ambershift.system.registry.records import Instance, instance_from_wire, instance_to_wire
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

FORMAT_VERSION = 1
DIGEST_BYTES = 16  # Bytes of the digest in front: a write may be torn.
MIN_WRITE_INTERVAL_NS, WRITE_INTERVAL_PER_INSTANCE_NS = (
    NS_PER_SECOND // 2,
    NS_PER_MS // 2,
)  # The least time between two writes.


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What the file holds. `ip`: of the machine whose list it is; `most`: the most proxies known at once."""

    format: int
    ip: str
    max_proxies: int
    instances: tuple[InstanceRecord, ...]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


@dataclass(eq=False)
class SnapshotError(Exception):
    """Why the file says nothing."""

    reason: str


def encode_snapshot(ip: str, now: int, most: int, lives: Iterable[Instance]) -> bytes:
    """A cold one is written with the cold time it has left: read later, that is more than it has."""
    data = _encode(Snapshot(FORMAT_VERSION, ip, most, tuple(instance_to_wire(now, one) for one in lives)))
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest() + data


def decode_snapshot(ip: str, now: int, data: bytes) -> tuple[int, list[Instance]]:
    """The most proxies, and lives that were there: whatever is heard is newer, and has the address."""
    if hashlib.blake2b(data[DIGEST_BYTES:], digest_size=DIGEST_BYTES).digest() != data[:DIGEST_BYTES]:
        raise SnapshotError("torn")
    try:
        sheet = _decode(data[DIGEST_BYTES:])
    except msgspec.DecodeError as why:
        raise SnapshotError(str(why)) from why
    if sheet.format != FORMAT_VERSION:
        raise SnapshotError(f"format {sheet.format}")
    if sheet.ip != ip:
        raise SnapshotError(f"of another machine ({sheet.ip})")
    known = (instance_from_wire(now, one) for one in sheet.instances)
    return sheet.max_proxies, [
        replace(one, unconfirmed=True, sequence=-1, first_seen_at=one.first_seen_at - RETENTION_NS)
        for one in known
    ]


class SnapshotSchedule:
    """When the list is to be written again: after changes, and once what is written as cold is warm."""

    def __init__(self) -> None:
        self.changed, self._next_write_at, self._next_warm_at, self._max_proxies = False, 0, 0, 0

    def due(self, now: int, most: int) -> bool:
        return now >= self._next_write_at and (
            self.changed or most > self._max_proxies or 0 < self._next_warm_at <= now
        )

    def written(self, now: int, most: int, lives: Sequence[Instance]) -> None:
        self._max_proxies = most
        self.changed, self._next_write_at = (
            False,
            now + max(MIN_WRITE_INTERVAL_NS, WRITE_INTERVAL_PER_INSTANCE_NS * len(lives)),
        )
        self._next_warm_at = min((one.warming_until for one in lives if one.warming_until > now), default=0)

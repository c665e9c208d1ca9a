"""The snapshot of the endpoint list on disk: a process serves it between its start and the next heartbeats.

It was true a moment before the end of the last process. No acknowledgement depends on it, and a file that
can't be read counts as none.
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
DIGEST_BYTES = 16  # A digest stands in front, since a write may be torn.
# The least time between two writes: the larger of the first and the second for each instance.
MIN_WRITE_INTERVAL_NS = NS_PER_SECOND // 2
WRITE_INTERVAL_PER_INSTANCE_NS = NS_PER_MS // 2


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Content of the file. The order of the fields is its format.

    Attributes:
        ip: Of the control node that wrote it.
        max_proxies: The most proxies known at once.
    """

    format: int
    ip: str
    max_proxies: int
    instances: tuple[InstanceRecord, ...]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


@dataclass(eq=False)
class SnapshotError(Exception):
    """A file that can't be used, and why."""

    reason: str

    def __str__(self) -> str:
        return f"The snapshot of the endpoint list can't be used: {self.reason}."


def encode_snapshot(ip: str, now: int, max_proxies: int, instances: Iterable[Instance]) -> bytes:
    """Encode a snapshot with its digest; `now` in ns, steady clock.

    An instance that warms up is written with the warm-up time left: when it is read, that is more than it
    has.
    """
    records = tuple(instance_to_wire(now, instance) for instance in instances)
    data = _encode(Snapshot(FORMAT_VERSION, ip, max_proxies, records))
    return _digest(data) + data


def decode_snapshot(ip: str, now: int, data: bytes) -> tuple[int, list[Instance]]:
    """Decode a snapshot of the control node at `ip`; `now` in ns, steady clock.

    Returns:
        The most proxies known at once, and the instances. They are unconfirmed and older than any that a
        heartbeat tells of, so that those win and keep their addresses.

    Raises:
        SnapshotError: The data is torn, of another format or of another machine.
    """
    if _digest(data[DIGEST_BYTES:]) != data[:DIGEST_BYTES]:
        raise SnapshotError("torn")
    try:
        snapshot = _decode(data[DIGEST_BYTES:])
    except msgspec.DecodeError as error:
        raise SnapshotError(str(error)) from error
    if snapshot.format != FORMAT_VERSION:
        raise SnapshotError(f"format {snapshot.format}")
    if snapshot.ip != ip:
        raise SnapshotError(f"of another machine ({snapshot.ip})")
    instances = (instance_from_wire(now, record) for record in snapshot.instances)
    return snapshot.max_proxies, [
        replace(instance, unconfirmed=True, sequence=-1, first_seen_at=instance.first_seen_at - RETENTION_NS)
        for instance in instances
    ]


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class SnapshotSchedule:
    """When to write a snapshot: after changes, and once an instance that was written as warming up is warm.

    Times are ns of the steady clock.

    Attributes:
        changed: The endpoint list has changed since the last write.
    """

    def __init__(self) -> None:
        self.changed = False
        self._next_write_at = 0
        self._next_warm_at = 0  # 0: none of those written warms up.
        self._max_proxies = 0

    def due(self, now: int, max_proxies: int) -> bool:
        """Tell whether to write now."""
        is_outdated = self.changed or max_proxies > self._max_proxies or 0 < self._next_warm_at <= now
        return now >= self._next_write_at and is_outdated

    def written(self, now: int, max_proxies: int, instances: Sequence[Instance]) -> None:
        """Note a write and what it held."""
        self._max_proxies = max_proxies
        self.changed = False
        interval = max(MIN_WRITE_INTERVAL_NS, WRITE_INTERVAL_PER_INSTANCE_NS * len(instances))
        self._next_write_at = now + interval
        self._next_warm_at = min(
            (instance.warming_until for instance in instances if instance.warming_until > now), default=0
        )

"""Records that control nodes exchange, with times on this machine's steady clock, and their wire form."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from ambershift.system.messages.proxy_link import Backend
from ambershift.system.messages.registry_sync import InstanceRecord, PoolRate, ProxyLinkRecord, RegistryDelta
from ambershift.system.state_machine import NS_PER_MS

# Of an instance's key. Keys travel in `RegistryDelta.removed`: their form is part of the wire.
INSTANCE_PREFIX = "b"
# Two remaining warm-up times that differ by at most this count as the same.
WARM_UP_TOLERANCE_NS = 300 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a backend: a process from its first heartbeat to its end.

    Attributes:
        slots: Requests that it serves at the same time.
        sequence: Number of its newest heartbeat. It rises with each heartbeat of the incarnation.
        warming_until: End of its warm-up (ns, steady clock); 0 if it is warm.
        first_seen_at: When a control node first received a heartbeat of it (ns, steady clock).
        unconfirmed: Known from the snapshot on disk only. No heartbeat has arrived since the start.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int
    draining: bool
    warming_until: int
    first_seen_at: int
    unconfirmed: bool = False

    @property
    def key(self) -> str:
        """Key of the record in the exchange."""
        return instance_key(self.id)

    def is_equivalent(self, other: Instance, now: int) -> bool:
        """Tell whether a sender of requests would treat both alike.

        The sequence and small shifts of the warm-up's end make no difference.
        """
        own_end = max(self.warming_until, now)
        other_end = max(other.warming_until, now)
        return (
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.draining,
            self.unconfirmed,
        ) == (
            other.service,
            other.address,
            other.zone,
            other.slots,
            other.draining,
            other.unconfirmed,
        ) and (abs(own_end - other_end) <= WARM_UP_TOLERANCE_NS and (own_end > now) == (other_end > now))


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A proxy that is linked to some control node.

    Attributes:
        incarnation: Drawn by the proxy at each start of its process.
        address: Where clients reach it (ip:port).
        ready: It has the complete configuration and serves.
        draining: It is about to stop.
        hello_at: When its last `Hello` arrived (ns, steady clock).
    """

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool
    hello_at: int

    @property
    def key(self) -> str:
        """Key of the record in the exchange."""
        return proxy_key(self.name)


Record = Instance | ProxyRecord | PoolRate
_revisions = itertools.count()


class RecordSet(dict[str, Record]):
    """Records by key. Change it by `put` and `remove` only.

    Each kind is also indexed apart: a search for a few proxies among all records would cost as much as tens
    of thousands of instances and rates do.

    Attributes:
        instances: Records of instances, by key.
        proxies: Records of proxies, by key.
        rates: Request rates, by key.
        proxies_revision: A number that no other set has and that changes whenever `proxies` does.
    """

    def __init__(self) -> None:
        super().__init__()
        self.instances: dict[str, Instance] = {}
        self.proxies: dict[str, ProxyRecord] = {}
        self.rates: dict[str, PoolRate] = {}
        self.proxies_revision = next(_revisions)

    def put(self, key: str, record: Record) -> None:
        """Add a record or replace the one at this key."""
        self[key] = record
        match record:
            case Instance():
                self.instances[key] = record
            case ProxyRecord():
                self.proxies[key] = record
                self.proxies_revision = next(_revisions)
            case PoolRate():
                self.rates[key] = record

    def remove(self, key: str) -> Record | None:
        """Remove the record at this key and return it; None if there is none."""
        if self.proxies.pop(key, None):
            self.proxies_revision = next(_revisions)
        self.instances.pop(key, None)
        self.rates.pop(key, None)
        return self.pop(key, None)


def instance_key(id: str) -> str:
    """Key of an instance's record."""
    return INSTANCE_PREFIX + id


def instance_id(key: str) -> str | None:
    """Id of the instance whose record has this key; None if the record is of another kind."""
    return key[len(INSTANCE_PREFIX) :] if key.startswith(INSTANCE_PREFIX) else None


def proxy_key(name: str) -> str:
    """Key of a proxy's record."""
    return "d" + name


def rate_key(zone: str, pool: str) -> str:
    """Key of a request rate."""
    return f"f{zone} {pool}"


def instance_to_wire(now: int, instance: Instance) -> InstanceRecord:
    """Convert times to spans counted from `now` (ns, steady clock)."""
    return InstanceRecord(
        id=instance.id,
        service=instance.service,
        address=instance.address,
        zone=instance.zone,
        slots=instance.slots,
        sequence=instance.sequence,
        draining=instance.draining,
        warm_up_ms=max(0, instance.warming_until - now) // NS_PER_MS,
        age_ms=max(0, now - instance.first_seen_at) // NS_PER_MS,
    )


def instance_from_wire(now: int, record: InstanceRecord) -> Instance:
    """Convert spans to times on this machine's steady clock; `now` is the arrival (ns)."""
    return Instance(
        id=record.id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        slots=record.slots,
        sequence=record.sequence,
        draining=record.draining,
        warming_until=now + record.warm_up_ms * NS_PER_MS if record.warm_up_ms else 0,
        first_seen_at=now - record.age_ms * NS_PER_MS,
    )


def backend_of(instance: Instance, now: int) -> Backend:
    """Convert an instance to the form in which proxies receive it; `now` in ns, steady clock."""
    return Backend(
        instance.id,
        instance.service,
        instance.address,
        instance.zone,
        instance.slots,
        instance.draining,
        max(0, instance.warming_until - now) // NS_PER_MS,
        instance.unconfirmed,
    )


def _proxy_to_wire(now: int, proxy: ProxyRecord) -> ProxyLinkRecord:
    return ProxyLinkRecord(
        name=proxy.name,
        incarnation=proxy.incarnation,
        zone=proxy.zone,
        address=proxy.address,
        ready=proxy.ready,
        draining=proxy.draining,
        hello_age_ms=max(0, now - proxy.hello_at) // NS_PER_MS,
    )


def _proxy_from_wire(now: int, record: ProxyLinkRecord) -> ProxyRecord:
    return ProxyRecord(
        name=record.name,
        incarnation=record.incarnation,
        zone=record.zone,
        address=record.address,
        ready=record.ready,
        draining=record.draining,
        hello_at=now - record.hello_age_ms * NS_PER_MS,
    )


@dataclass(frozen=True, slots=True)
class DeltaHeader:
    """The fields of a `RegistryDelta` that say what it brings up to date; see there."""

    incarnation: int
    base_revision: int
    revision: int
    max_proxies: int


def to_delta(
    now: int, header: DeltaHeader, records: Iterable[Record], removed: Iterable[str] = ()
) -> RegistryDelta:
    """Encode records and keys of removed ones; `now` is the time of the sending (ns, steady clock)."""
    instances = list[InstanceRecord]()
    proxies = list[ProxyLinkRecord]()
    rates = list[PoolRate]()
    for record in records:
        match record:
            case Instance():
                instances.append(instance_to_wire(now, record))
            case ProxyRecord():
                proxies.append(_proxy_to_wire(now, record))
            case PoolRate():
                rates.append(record)
    return RegistryDelta(
        incarnation=header.incarnation,
        base_revision=header.base_revision,
        revision=header.revision,
        instances=tuple(instances),
        proxies=tuple(proxies),
        rates=tuple(rates),
        removed=tuple(removed),
        max_proxies=header.max_proxies,
    )


def from_delta(now: int, delta: RegistryDelta) -> dict[str, Record]:
    """Decode the records of a delta, by key; `now` is its arrival (ns, steady clock)."""
    records: dict[str, Record] = {}
    for instance in delta.instances:
        records[instance_key(instance.id)] = instance_from_wire(now, instance)
    for proxy in delta.proxies:
        records[proxy_key(proxy.name)] = _proxy_from_wire(now, proxy)
    for rate in delta.rates:
        records[rate_key(rate.zone, rate.pool)] = rate
    return records

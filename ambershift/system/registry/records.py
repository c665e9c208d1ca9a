"""Records that nodes exchange, with times on this machine's steady clock, and their form on the wire."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from ambershift.system.messages.registry_sync import InstanceRecord, PoolRate, ProxyLinkRecord, RegistryDelta
from ambershift.system.state_machine import NS_PER_MS

WARM_UP_TOLERANCE_NS = 300 * NS_PER_MS  # By so much a cold span may be told otherwise without being another.


@dataclass(frozen=True, slots=True)
class Instance:
    """One life of a backend. Times are steady ns: `cold_until` (0: warm), `born` (when first heard).

    `unsure`: known from the disk only, nobody has heard it since this process began."""

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
        return "b" + self.id

    def is_equivalent(self, other: Instance, now: int) -> bool:
        """Whether both tell the same to whoever sends there (the sequence and small shifts don't matter)."""
        own_end, other_end = max(self.warming_until, now), max(other.warming_until, now)
        return (self.service, self.address, self.zone, self.slots, self.draining, self.unconfirmed) == (
            other.service,
            other.address,
            other.zone,
            other.slots,
            other.draining,
            other.unconfirmed,
        ) and (abs(own_end - other_end) <= WARM_UP_TOLERANCE_NS and (own_end > now) == (other_end > now))


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A program that carries traffic, linked to some control node; `since` is its last Hello (steady ns)."""

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool
    hello_at: int

    @property
    def key(self) -> str:
        return "d" + self.name


Record = Instance | ProxyRecord | PoolRate
_revisions = itertools.count()


class RecordSet(dict[str, Record]):
    """Records by key. Each kind is held apart, too: looked for among all, a few proxies would cost what tens
    of thousands of lives and flows do. Change it by `place` and `take` only."""

    def __init__(self) -> None:
        super().__init__()
        self.instances: dict[str, Instance] = {}
        self.proxies: dict[str, ProxyRecord] = {}
        self.rates: dict[str, PoolRate] = {}
        self.proxies_revision = next(_revisions)  # Another one whenever the proxies are others.

    def put(self, key: str, record: Record) -> None:
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
        """Out of all; None where there is none."""
        if self.proxies.pop(key, None):
            self.proxies_revision = next(_revisions)
        self.instances.pop(key, None)
        self.rates.pop(key, None)
        return self.pop(key, None)


def rate_key(zone: str, pool: str) -> str:
    return f"f{zone} {pool}"


def instance_to_wire(now: int, life: Instance) -> InstanceRecord:
    cold, age = max(0, life.warming_until - now) // NS_PER_MS, max(0, now - life.first_seen_at) // NS_PER_MS
    return InstanceRecord(
        life.id, life.service, life.address, life.zone, life.slots, life.sequence, life.draining, cold, age
    )


def instance_from_wire(now: int, told: InstanceRecord) -> Instance:
    return Instance(
        told.id,
        told.service,
        told.address,
        told.zone,
        told.slots,
        told.sequence,
        told.draining,
        now + told.warm_up_ms * NS_PER_MS if told.warm_up_ms else 0,
        now - told.age_ms * NS_PER_MS,
    )


def to_delta(
    now: int, start: int, since: int, upto: int, records: Iterable[Record], gone: Iterable[str], most: int
) -> RegistryDelta:
    lives, proxies, flows = list[InstanceRecord](), list[ProxyLinkRecord](), list[PoolRate]()
    for one in records:
        match one:
            case Instance():
                lives.append(instance_to_wire(now, one))
            case ProxyRecord():
                proxies.append(
                    ProxyLinkRecord(
                        one.name,
                        one.incarnation,
                        one.zone,
                        one.address,
                        one.ready,
                        one.draining,
                        max(0, now - one.hello_at) // NS_PER_MS,
                    )
                )
            case PoolRate():
                flows.append(one)
    return RegistryDelta(start, since, upto, tuple(lives), tuple(proxies), tuple(flows), tuple(gone), most)


def from_delta(now: int, delta: RegistryDelta) -> dict[str, Record]:
    records: dict[str, Record] = {}
    for life in delta.instances:
        records["b" + life.id] = instance_from_wire(now, life)
    for one in delta.proxies:
        records["d" + one.name] = ProxyRecord(
            one.name,
            one.incarnation,
            one.zone,
            one.address,
            one.ready,
            one.draining,
            now - one.hello_age_ms * NS_PER_MS,
        )
    for flow in delta.rates:
        records[rate_key(flow.zone, flow.pool)] = flow
    return records

"""Records that nodes exchange, with times on this machine's steady clock, and their form on the wire."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from ambershift.system.messages.registry_sync import Attached, Delta, Flow, Lived
from ambershift.system.state_machine import NS_PER_MS

COLD_SLACK = 300 * NS_PER_MS  # By so much a cold span may be told otherwise without being another.


@dataclass(frozen=True, slots=True)
class Life:
    """One life of a backend. Times are steady ns: `cold_until` (0: warm), `born` (when first heard).

    `unsure`: known from the disk only, nobody has heard it since this process began."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int
    draining: bool
    cold_until: int
    born: int
    unsure: bool = False

    @property
    def key(self) -> str:
        return "b" + self.id

    def alike(self, other: Life, now: int) -> bool:
        """Whether both tell the same to whoever sends there (the sequence and small shifts don't matter)."""
        mine, theirs = max(self.cold_until, now), max(other.cold_until, now)
        return (self.service, self.address, self.zone, self.slots, self.draining, self.unsure) == (
            other.service,
            other.address,
            other.zone,
            other.slots,
            other.draining,
            other.unsure,
        ) and (abs(mine - theirs) <= COLD_SLACK and (mine > now) == (theirs > now))


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A program that carries traffic, linked to some control node; `since` is its last Hello (steady ns)."""

    name: str
    life: str
    zone: str
    address: str
    ready: bool
    leaving: bool
    since: int

    @property
    def key(self) -> str:
        return "d" + self.name


Record = Life | ProxyRecord | Flow
_turns = itertools.count()


class Records(dict[str, Record]):
    """Records by key. Each kind is held apart, too: looked for among all, a few proxies would cost what tens
    of thousands of lives and flows do. Change it by `place` and `take` only."""

    def __init__(self) -> None:
        super().__init__()
        self.lives: dict[str, Life] = {}
        self.proxies: dict[str, ProxyRecord] = {}
        self.flows: dict[str, Flow] = {}
        self.turn = next(_turns)  # Another one whenever the proxies are others.

    def place(self, key: str, record: Record) -> None:
        self[key] = record
        match record:
            case Life():
                self.lives[key] = record
            case ProxyRecord():
                self.proxies[key] = record
                self.turn = next(_turns)
            case Flow():
                self.flows[key] = record

    def take(self, key: str) -> Record | None:
        """Out of all; None where there is none."""
        if self.proxies.pop(key, None):
            self.turn = next(_turns)
        self.lives.pop(key, None)
        self.flows.pop(key, None)
        return self.pop(key, None)


def flow_key(zone: str, pool: str) -> str:
    return f"f{zone} {pool}"


def lived(now: int, life: Life) -> Lived:
    cold, age = max(0, life.cold_until - now) // NS_PER_MS, max(0, now - life.born) // NS_PER_MS
    return Lived(
        life.id, life.service, life.address, life.zone, life.slots, life.sequence, life.draining, cold, age
    )


def to_life(now: int, told: Lived) -> Life:
    return Life(
        told.id,
        told.service,
        told.address,
        told.zone,
        told.slots,
        told.sequence,
        told.draining,
        now + told.cold * NS_PER_MS if told.cold else 0,
        now - told.age * NS_PER_MS,
    )


def pack(
    now: int, start: int, since: int, upto: int, records: Iterable[Record], gone: Iterable[str], most: int
) -> Delta:
    lives, proxies, flows = list[Lived](), list[Attached](), list[Flow]()
    for one in records:
        match one:
            case Life():
                lives.append(lived(now, one))
            case ProxyRecord():
                proxies.append(
                    Attached(
                        one.name,
                        one.life,
                        one.zone,
                        one.address,
                        one.ready,
                        one.leaving,
                        max(0, now - one.since) // NS_PER_MS,
                    )
                )
            case Flow():
                flows.append(one)
    return Delta(start, since, upto, tuple(lives), tuple(proxies), tuple(flows), tuple(gone), most)


def unpack(now: int, delta: Delta) -> dict[str, Record]:
    records: dict[str, Record] = {}
    for life in delta.lives:
        records["b" + life.id] = to_life(now, life)
    for one in delta.proxies:
        records["d" + one.name] = ProxyRecord(
            one.name, one.life, one.zone, one.address, one.ready, one.leaving, now - one.age * NS_PER_MS
        )
    for flow in delta.flows:
        records[flow_key(flow.zone, flow.pool)] = flow
    return records

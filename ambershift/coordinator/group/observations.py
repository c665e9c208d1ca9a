"""Evidence: what this member's proxies met of late, summed up for the others, and what theirs met. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import nsmallest
from statistics import median
from typing import Annotated, NamedTuple

import msgspec

from ambershift import interface as api
from ambershift.coordinator.replication.gossip.store import Store
from ambershift.coordinator.replication.gossip.types import Kind, Record

SECOND = 1_000_000_000
# Which servers are told one by one: those that fail or are late far more than the middle one. Of the rest a
# sample is told, as a judge needs to know what is usual.
TRIES_LEAST, BAD_SHARE, LATE = 3, 0.2, 2.0
ILL_MOST, SAMPLE = 300, 40
FAILS = 0.5  # Of the tries: so much counts as out.
SPLIT = "\x1f"  # Between a server's id and a zone's name in a key.


class TrafficTotals(NamedTuple):
    tries: int
    bad: int
    good_ns: int

    @property
    def mean_ns(self) -> int:
        return self.good_ns // (self.tries - self.bad) if self.tries > self.bad else 0


class ServerObservation(msgspec.Struct, frozen=True, array_like=True):
    """What proxies of one zone met at one server over `span_ns`."""

    server: str
    tries: Annotated[int, msgspec.Meta(ge=1, le=10**9)]
    bad: Annotated[int, msgspec.Meta(ge=0, le=10**9)]
    mean_ns: Annotated[int, msgspec.Meta(ge=0, le=3600 * SECOND)]
    span_ns: Annotated[int, msgspec.Meta(ge=1, le=3600 * SECOND)]


class TrafficCounter:
    """Of the time since they were taken last."""

    def __init__(self, now: int) -> None:
        self.since, self.sums = now, dict[tuple[int, int], list[int]]()

    def add(self, met: api.ServerReport) -> None:
        """Thousands come in a step, hence the list."""
        zone, server, tries, bad, mean, _, _ = met
        held = self.sums.get((zone, server))
        if held is None:
            self.sums[zone, server] = [tries, bad, mean * (tries - bad)]
        else:
            held[0] += tries
            held[1] += bad
            held[2] += mean * (tries - bad)

    def take(self, now: int) -> tuple[dict[tuple[int, int], TrafficTotals], int]:
        sums, span = (
            {place: TrafficTotals(*held) for place, held in self.sums.items()},
            max(1, now - self.since),
        )
        self.sums, self.since = {}, now
        return sums, span


def notable(sums: dict[tuple[int, int], TrafficTotals]) -> set[tuple[int, int]]:
    """The worst first, up to ILL_MOST; none where all are alike, which is an overload."""
    if not sums:
        return set()
    bad_most = max(BAD_SHARE, 2 * median([bad / tries for tries, bad, _ in sums.values()]))
    late = LATE * median([good / (tries - bad) for tries, bad, good in sums.values() if tries > bad] or [0.0])
    found = [
        place
        for place, (tries, bad, good) in sums.items()
        if tries >= TRIES_LEAST and (bad > bad_most * tries or good > late * (tries - bad) > 0)
    ]
    found.sort(key=lambda place: (-sums[place].bad / sums[place].tries, place))
    return set(found[:ILL_MOST])


def sample(
    sums: dict[tuple[int, int], TrafficTotals], left_out: set[tuple[int, int]]
) -> dict[int, list[int]]:
    """For each zone the servers that were met most, those told one by one left out."""
    zones = dict[int, list[int]]()
    for zone, server in sums:
        if (zone, server) not in left_out:
            zones.setdefault(zone, []).append(server)
    return {
        zone: nsmallest(SAMPLE, servers, key=lambda server: (-sums[zone, server].tries, server))
        for zone, servers in zones.items()
    }


def rows(record: Record) -> tuple[str, tuple[ServerObservation, ...]]:
    """The zone's name, and what its proxies met; nothing of a body that is no evidence."""
    _, _, zone = record.key.rpartition(SPLIT)
    try:
        return zone, msgspec.msgpack.decode(record.body, type=tuple[ServerObservation, ...])
    except (ValueError, RecursionError):
        return zone, ()


def newest(store: Store, now: int, age_most: int) -> Iterator[tuple[Record, str, ServerObservation]]:
    """Others' evidence, the youngest first for each server and zone; one by one before what is a sample."""
    found = [one for one in store.all(now, Kind.ILL) if one.origin != store.me and one.age_ns <= age_most]
    found.sort(key=lambda one: (one.key.startswith(SPLIT), one.age_ns, one.origin))
    for record in found:
        zone, met = rows(record)
        for row in met:
            if row.bad <= row.tries:
                yield record, zone, row


def troubled(store: Store, now: int, age_most: int) -> tuple[frozenset[str], frozenset[str]]:
    """Servers that fail for all zones that tried them lately, and those that fail for some of them only: by
    everybody's evidence, one's own too. Late answers are answers.
    """
    fails, does_well = dict[str, set[str]](), dict[str, set[str]]()
    for record in store.all(now, Kind.ILL):
        if record.age_ns <= age_most:
            zone, met = rows(record)
            for row in met:
                if row.tries >= TRIES_LEAST and row.bad <= row.tries:
                    held = fails if row.bad >= FAILS * row.tries else does_well
                    held.setdefault(row.server, set()).add(zone)
    cut = frozenset(server for server, zones in fails.items() if does_well.get(server, zones) - zones)
    return frozenset(fails) - cut, cut

"""Traffic observations: what this member's proxies met at servers lately, totalled for the others. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import nsmallest
from statistics import median
from typing import Annotated, NamedTuple

import msgspec

from ambershift import interface as api
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import Record, RecordKind

SECOND = 1_000_000_000
# Servers that fail, or are late, far more than the median one are published each on its own. Of the others a
# sample is published too, as a reader needs to know what is usual.
MIN_ATTEMPTS = 3
OUTLIER_FAILURE_RATIO = 0.2
OUTLIER_FAILURE_FACTOR = 2  # Of the median failure ratio.
OUTLIER_LATENCY_FACTOR = 2.0  # Of the median of the mean response times.
MAX_OUTLIERS = 300
SAMPLE_SIZE = 40  # Servers a zone.
FAILING_RATIO = 0.5  # A server counts as failing with this share of failed attempts.
KEY_SEPARATOR = "\x1f"  # Between a server's id and a zone's name in a key.
Place = tuple[int, int]  # A zone and a server, by their indices.


class TrafficTotals(NamedTuple):
    """What the proxies of a zone met at a server; `success_ns` is the total time of successful attempts."""

    attempts: int
    failures: int
    success_ns: int

    @property
    def mean_ns(self) -> int:
        """The mean time of a successful attempt, 0 without any."""
        return self.success_ns // (self.attempts - self.failures) if self.attempts > self.failures else 0


class ServerObservation(msgspec.Struct, frozen=True, array_like=True):
    """What the proxies of one zone met at one server over `span_ns`, as it is sent to other members."""

    server: str
    attempts: Annotated[int, msgspec.Meta(ge=1, le=10**9)]
    failures: Annotated[int, msgspec.Meta(ge=0, le=10**9)]
    mean_ns: Annotated[int, msgspec.Meta(ge=0, le=3600 * SECOND)]
    span_ns: Annotated[int, msgspec.Meta(ge=1, le=3600 * SECOND)]


class TrafficCounter:
    """Adds up the reports of proxies since the totals were taken last."""

    def __init__(self, now: int) -> None:
        """Start empty; `now` is in ns."""
        self._since = now
        # Attempts, failed ones, and the total time of the successful ones.
        self._totals = dict[Place, list[int]]()

    def add(self, report: api.ServerReport) -> None:
        """Add a report. Thousands come in a step, so totals are lists that change in place."""
        zone, server, attempts, failures, mean, _, _ = report
        totals = self._totals.get((zone, server))
        if totals is None:
            self._totals[zone, server] = [attempts, failures, mean * (attempts - failures)]
        else:
            totals[0] += attempts
            totals[1] += failures
            totals[2] += mean * (attempts - failures)

    def take(self, now: int) -> tuple[dict[Place, TrafficTotals], int]:
        """Return the totals and the span they cover in ns, and start anew."""
        totals = {place: TrafficTotals(*counts) for place, counts in self._totals.items()}
        span = max(1, now - self._since)
        self._totals, self._since = {}, now
        return totals, span


def find_outliers(totals: dict[Place, TrafficTotals]) -> set[Place]:
    """Return the servers that do far worse than the median one, `MAX_OUTLIERS` of the worst at most.

    None are returned where all do alike: that is an overload.
    """
    if not totals:
        return set()
    median_failure_ratio = median([failures / attempts for attempts, failures, _ in totals.values()])
    max_failure_ratio = max(OUTLIER_FAILURE_RATIO, OUTLIER_FAILURE_FACTOR * median_failure_ratio)
    mean_times = [
        success_ns / (attempts - failures)
        for attempts, failures, success_ns in totals.values()
        if attempts > failures
    ]
    max_mean_ns = OUTLIER_LATENCY_FACTOR * median(mean_times or [0.0])
    outliers = [
        place
        for place, (attempts, failures, success_ns) in totals.items()
        if attempts >= MIN_ATTEMPTS
        and (failures > max_failure_ratio * attempts or success_ns > max_mean_ns * (attempts - failures) > 0)
    ]
    outliers.sort(key=lambda place: (-totals[place].failures / totals[place].attempts, place))
    return set(outliers[:MAX_OUTLIERS])


def sample_servers(totals: dict[Place, TrafficTotals], excluded: set[Place]) -> dict[int, list[int]]:
    """Return, for each zone, the servers with the most attempts, without the excluded ones."""
    by_zone = dict[int, list[int]]()
    for zone, server in totals:
        if (zone, server) not in excluded:
            by_zone.setdefault(zone, []).append(server)
    return {
        zone: nsmallest(SAMPLE_SIZE, servers, key=lambda server: (-totals[zone, server].attempts, server))
        for zone, servers in by_zone.items()
    }


def decode_observations(record: Record) -> tuple[str, tuple[ServerObservation, ...]]:
    """Return the zone's name and the observations of a record; none where the body is malformed."""
    _, _, zone = record.key.rpartition(KEY_SEPARATOR)
    try:
        return zone, msgspec.msgpack.decode(record.body, type=tuple[ServerObservation, ...])
    except (ValueError, RecursionError):
        return zone, ()


def remote_observations(
    store: GossipStore, now: int, max_age: int
) -> Iterator[tuple[Record, str, ServerObservation]]:
    """Yield other members' observations with their zone: outliers before samples, the newest first."""
    records = [
        record
        for record in store.all(now, RecordKind.ATTEMPT_STATS)
        if record.origin != store.me and record.age_ns <= max_age
    ]
    records.sort(key=lambda record: (record.key.startswith(KEY_SEPARATOR), record.age_ns, record.origin))
    for record in records:
        zone, observations = decode_observations(record)
        for observation in observations:
            if observation.failures <= observation.attempts:
                yield record, zone, observation


def failing_servers(store: GossipStore, now: int, max_age: int) -> tuple[frozenset[str], frozenset[str]]:
    """Judge servers by all members' observations, this one's included. A late response counts as a success.

    Returns:
        The ids of the servers that fail for all zones that tried them lately, and of those that fail for some
        of these zones only.
    """
    failing_zones, working_zones = dict[str, set[str]](), dict[str, set[str]]()
    for record in store.all(now, RecordKind.ATTEMPT_STATS):
        if record.age_ns <= max_age:
            zone, observations = decode_observations(record)
            for seen in observations:
                if seen.attempts >= MIN_ATTEMPTS and seen.failures <= seen.attempts:
                    zones = failing_zones if seen.failures >= FAILING_RATIO * seen.attempts else working_zones
                    zones.setdefault(seen.server, set()).add(zone)
    failing_for_some = frozenset(
        server for server, zones in failing_zones.items() if working_zones.get(server, zones) - zones
    )
    return frozenset(failing_zones) - failing_for_some, failing_for_some

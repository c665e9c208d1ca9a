"""What a front tells the decision module and what the module orders: types only, no decision.

Times are whole nanoseconds. Servers, proxies, zones and traffic groups are small indices that the
front hands out; a zone of -1 means that none is known. A mask holds one bit for each traffic group.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """How the list shows a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Idempotency(IntEnum):
    """What may happen when a flow runs twice."""

    RETRIABLE = 0
    DEDUPED = 1
    NON_RETRIABLE = 2


class RetryPolicy(IntEnum):
    """When a proxy tries another server by itself."""

    NEVER = 0
    IF_NOT_RUN = 1
    ONCE = 2
    TWICE = 3


class Group(NamedTuple):
    """A traffic group: flows alike in budget, utility and what a repeat does."""

    budget: int
    expiry: int
    utility: float
    idempotency: Idempotency
    dedup_everywhere: bool
    dedup_window: int


class PolicySettings(NamedTuple):
    """What a deployment grants and demands, as told to an instance at its start.

    `regions` holds each zone's; where it is empty, lending knows of none.
    """

    zones: int
    groups: tuple[Group, ...]
    must_watch: bool
    notification_deadline: int
    grace: int
    only_draining_binds: bool
    cold: int
    cold_share: float
    collapse_multiple: float
    blackhole_limit: int
    lines_per_s: float
    message_overhead: float
    queue_limit: float
    message_limit: int
    message_window: int
    propagation_delay: int
    max_propagation_delay: int
    report_period: int
    admission_mode: str
    slices: int
    single_owner: bool
    in_flight_time: int
    lease: int
    avoidance_failures: int
    expected_proxies: float
    min_partition_capacity: float = 2.5
    overload_limit: float = 0.2
    overload_calm: float = 0.15
    regions: tuple[int, ...] = ()


class Entry(NamedTuple):
    """One server as the list shows it; `since` is 0 where its start lies long back."""

    server: int
    zone: int
    phase: Phase
    weight: float
    since: int


class Started(NamedTuple):
    seed: int
    settings: PolicySettings


class Listed(NamedTuple):
    """The list, whole or only what changed in it; `cached` where it may be old."""

    whole: bool
    cached: bool
    entries: tuple[Entry, ...]


class ListFailed(NamedTuple):
    pass


class Joined(NamedTuple):
    proxy: int
    zone: int
    rate: float
    standing: bool


class Left(NamedTuple):
    proxy: int


class ServerReport(NamedTuple):
    """What the proxies of a zone met at a server over a span that ended some time ago."""

    zone: int
    server: int
    attempts: int
    failures: int
    mean_latency: int
    span: int
    loads: tuple[float, ...]


class DemandReport(NamedTuple):
    """Flows of a group that came to a proxy over a span, and those let in but left unanswered."""

    proxy: int
    group: int
    requests: int
    unanswered: int
    span: int


class Probed(NamedTuple):
    server: int
    ok: bool
    took: int
    loads: tuple[float, ...]


class TimerFired(NamedTuple):
    token: int


class Applied(NamedTuple):
    mark: int
    took: int
    proxy: int


class PeerMessage(NamedTuple):
    sender: int
    body: bytes


class SliceAssigned(NamedTuple):
    slice: int


class SliceRevoked(NamedTuple):
    slice: int


class SliceRestored(NamedTuple):
    """A line that the store already holds for a slice just given."""

    slice: int
    server: int
    weight: float


class SliceLoad(NamedTuple):
    slice: int
    group: int
    requests: int
    unanswered: int
    span: int


Event = (
    Started
    | Listed
    | ListFailed
    | Joined
    | Left
    | ServerReport
    | DemandReport
    | Probed
    | TimerFired
    | Applied
    | PeerMessage
    | SliceAssigned
    | SliceRevoked
    | SliceRestored
    | SliceLoad
)


class SetWeight(NamedTuple):
    table: int
    server: int
    weight: float


class ClearTable(NamedTuple):
    table: int


class Withdraw(NamedTuple):
    """Shut a server out of all that joined proxies hold, or let it in again."""

    server: int
    out: bool


class Level(NamedTuple):
    table: int
    mask: int
    retry: RetryPolicy
    allowance: float


class Bind(NamedTuple):
    proxy: int
    table: int
    mask: int


class Mark(NamedTuple):
    mark: int
    everyone: bool


class Probe(NamedTuple):
    server: int


class Watch(NamedTuple):
    on: bool


class Fetch(NamedTuple):
    pass


class SendToPeer(NamedTuple):
    peer: int
    body: bytes


class Forget(NamedTuple):
    """Nothing in the module refers to this server any more; should it be listed again, it is a new one."""

    server: int


class Note(NamedTuple):
    text: str


class StartTimer(NamedTuple):
    after: int
    token: int


Order = (
    SetWeight
    | ClearTable
    | Withdraw
    | Level
    | Bind
    | Mark
    | Probe
    | Watch
    | Fetch
    | SendToPeer
    | Note
    | StartTimer
    | Forget
)

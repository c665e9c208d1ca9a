"""What a front tells the decision module (events) and what the module orders: types only, no decisions.

Times are whole nanoseconds. Servers, proxies, zones and traffic groups are small indices that the front hands
out; zone -1 is an unknown one. A mask holds one bit for each traffic group.

`benchmarks/same_orders.py` compares versions of the module by the order of classes in `Event` and `Order` and
of their fields, and by the values of enums: these stay.
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
    """A traffic group: flows alike in latency budget, utility and idempotency.

    Attributes:
        budget: The time within which an answer is in time.
        expiry: The time after which an answer is of no use.
        utility: What an answer in time is worth, relative to other groups.
        idempotency: What may happen when a flow runs twice.
        dedup_everywhere: Whether all servers know each other's deduplication keys.
        dedup_window: For how long servers know a key.
    """

    budget: int
    expiry: int
    utility: float
    idempotency: Idempotency
    dedup_everywhere: bool
    dedup_window: int


class PolicySettings(NamedTuple):
    """What a deployment provides and requires, as told to an instance at its start.

    Attributes:
        zones: Number of zones.
        groups: The traffic groups, by index.
        must_watch: Whether the module has to order watches of the list.
        notification_deadline: The time after which a change of the list counts as told, asked for or not.
        grace: The time within which no flow may be sent any more to a server that drains or is gone.
        only_draining_binds: Whether only drains are binding, and a server that the list drops may be in use.
        cold: For how long a server is cold after its start.
        cold_share: The fraction of its weight that a server takes at its start.
        collapse_multiple: The multiple of its load at which a server collapses.
        blackhole_limit: The longest time for which a proxy may reach no server.
        lines_per_s: How many lines the channel to the proxies sends.
        message_overhead: What a message costs beside its lines, in lines.
        queue_limit: How many lines the channel may hold.
        message_limit: Most messages to a proxy in a `message_window`; 0 for no limit.
        message_window: The time over which messages are counted.
        propagation_delay: The usual time from an order to its effect at a proxy.
        max_propagation_delay: The longest such time.
        report_period: How often proxies report.
        admission_mode: "fraction" where proxies can block a fraction of a group's flows.
        slices: Number of slices; 0 where proxies have tables.
        single_owner: Whether a slice must never be written at two servers.
        in_flight_time: The longest time for which a flow is in flight.
        lease: The lease of a slice's owner.
        avoidance_failures: After so many failures in a row a proxy avoids a server by itself.
        expected_proxies: How many proxies an instance has on average.
        min_partition_capacity: Least capacity of a partition of its own, in servers.
        overload_limit: The relative excess of traffic over capacity above which all share one table.
        overload_calm: The excess below which they no longer do.
        regions: The region of each zone; empty where none is known, as to borrowing servers.
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
    """One server as the list shows it; `since` is when it started, 0 if long ago."""

    server: int
    zone: int
    phase: Phase
    weight: float
    since: int


class Started(NamedTuple):
    """The instance starts. All randomness comes from the seed."""

    seed: int
    settings: PolicySettings


class Listed(NamedTuple):
    """The list, whole or only what changed in it; `cached` if it may be old."""

    whole: bool
    cached: bool
    entries: tuple[Entry, ...]


class ListFailed(NamedTuple):
    """A watch or fetch of the list has failed."""


class Joined(NamedTuple):
    """A proxy has opened a stream; `rate` is the traffic that it announces."""

    proxy: int
    zone: int
    rate: float
    standing: bool


class Left(NamedTuple):
    """A proxy's stream has ended."""

    proxy: int


class ServerReport(NamedTuple):
    """Results that the proxies of a zone had at a server over a span that ended some time ago.

    `mean_latency` is that of the successes.
    """

    zone: int
    server: int
    attempts: int
    failures: int
    mean_latency: int
    span: int
    loads: tuple[float, ...]


class DemandReport(NamedTuple):
    """Flows of a group that came to a proxy over a span, and those admitted but left unanswered."""

    proxy: int
    group: int
    requests: int
    unanswered: int
    span: int


class Probed(NamedTuple):
    """The result of a probe."""

    server: int
    ok: bool
    took: int
    loads: tuple[float, ...]


class TimerFired(NamedTuple):
    """The timer that `StartTimer` started with this token is due."""

    token: int


class Applied(NamedTuple):
    """A proxy has applied all that was ordered before a mark."""

    mark: int
    took: int
    proxy: int


class PeerMessage(NamedTuple):
    """A message from another instance."""

    sender: int
    body: bytes


class SliceAssigned(NamedTuple):
    """This instance is in charge of a slice from now on."""

    slice: int


class SliceRevoked(NamedTuple):
    """This instance is no longer in charge of a slice."""

    slice: int


class SliceRestored(NamedTuple):
    """A server that the store already holds for a slice just assigned."""

    slice: int
    server: int
    weight: float


class SliceLoad(NamedTuple):
    """Flows of a group that came for a slice over a span, and those admitted but left unanswered."""

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
    """Set a server's weight in a table; 0 removes it."""

    table: int
    server: int
    weight: float


class ClearTable(NamedTuple):
    """Remove all servers of a table."""

    table: int


class Withdraw(NamedTuple):
    """Take a server out of all that joined proxies hold, or let it in again."""

    server: int
    out: bool


class Level(NamedTuple):
    """Set when proxies retry, and the fraction of flows they admit, for the groups of a mask in a table."""

    table: int
    mask: int
    retry: RetryPolicy
    allowance: float


class Bind(NamedTuple):
    """Let a proxy use a table for the groups of a mask; mask 0 stands for all."""

    proxy: int
    table: int
    mask: int


class Mark(NamedTuple):
    """Ask proxies to say when they have applied all that was ordered before; `Applied` is the answer."""

    mark: int
    everyone: bool


class Probe(NamedTuple):
    """Ask a server for its state."""

    server: int


class Watch(NamedTuple):
    """Begin or end to watch the list."""

    on: bool


class Fetch(NamedTuple):
    """Ask for the whole list once."""


class SendToPeer(NamedTuple):
    """Send a message to another instance; to all if `peer` is negative."""

    peer: int
    body: bytes


class Forget(NamedTuple):
    """Nothing in the module refers to this server any more; should it be listed again, it is a new one."""

    server: int


class Note(NamedTuple):
    """Log a text."""

    text: str


class StartTimer(NamedTuple):
    """Tell `TimerFired` with this token after a time."""

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

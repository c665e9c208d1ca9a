"""What an instance knows of servers and proxies by the list, joins and reports, and what it has ordered."""

from collections import defaultdict, deque

from ambershift import interface as api
from ambershift.proxy_state import MAX_SAMPLES, NO_PARTITION, ProxyState

SECOND = 1_000_000_000  # Times are ns.
TICK_INTERVAL = 100_000_000
EJECTION_TIME = 3_000_000_000  # From an ejection to its trial, and from a failed trial to the next.
MIN_TRIAL_ATTEMPTS = 3  # A trial with fewer attempts proves nothing.
TRIAL_FRACTION = 0.1  # Of a server's weight, while it is on trial.
THROUGHPUT_SAMPLES = 60
# The queue that ordinary orders may fill: a fraction of its limit, and what the channel sends in a time.
QUEUE_FRACTION = 0.3
QUEUE_TIME = 3 * SECOND // 2


class Ejection:
    """Keeps a server or path out for a while, then tries it with little traffic, until a trial succeeds.

    Attributes:
        until: When the trial begins; once it runs, when it began.
        on_trial: Whether it gets a little traffic.
    """

    def __init__(self, now: int) -> None:
        """Eject it now."""
        self.until = now + EJECTION_TIME
        self.on_trial = False

    def update(self, now: int, attempts: int, failures: int, failure_limit: float) -> bool:
        """Begin a trial that is due, or end one that has met enough attempts.

        Args:
            now: The time, ns.
            attempts: Attempts during the trial.
            failures: Those of them that failed.
            failure_limit: The failure rate below which the trial succeeds.

        Returns:
            Whether the trial has succeeded.
        """
        if self.on_trial and attempts >= MIN_TRIAL_ATTEMPTS:
            self.on_trial = False
            self.until = now + EJECTION_TIME
            return failures < failure_limit * attempts
        if not self.on_trial and now >= self.until:
            self.on_trial = True
            self.until = now
        return False


class Server:
    """State of one server.

    Attributes:
        entry: As the list shows it.
        phase_since: When the list first showed its present phase.
        reports: The last reports of results at it, and when each came.
        doubted: Whether a list that isn't binding dropped it while its results are good.
        ejection: Set while it is ejected for its failures, or on trial.
        weight_factor: The fraction of its weight that is left to it while it answers slowly.
        weight_reduced_at: When that was last lowered.
    """

    def __init__(self, entry: api.Entry, now: int) -> None:
        self.entry = entry
        self.phase_since = now
        self.reports: deque[tuple[int, api.ServerReport]] = deque(maxlen=MAX_SAMPLES)
        self.doubted = False
        self.ejection: Ejection | None = None
        self.weight_factor = 1.0
        self.weight_reduced_at = 0


class State:
    """All that an instance knows. Times and spans are ns, tables and partitions are numbers.

    Attributes:
        now: The time of the step that runs.
        orders: The orders of the step that runs.
    """

    def __init__(self) -> None:
        self.now = 0
        self.orders = list[api.Order]()

    def start(self, seed: int, settings: api.PolicySettings) -> None:
        """Set all state to that of a new instance."""
        self.seed = seed
        self.settings = settings
        self.started_at = self.now
        self.is_sliced = settings.slices > 0
        self.token = 1  # Of the timer that runs.
        self._start_membership()
        self._start_health()
        self._start_tables()
        self._start_channel()

    def _start_membership(self) -> None:
        settings = self.settings
        self.watch_due_at = self.now if settings.must_watch else None
        self.watch_retry_delay = SECOND
        # A server in one of these phases must get no traffic; in others the list may be wrong.
        self.binding_phases = {api.Phase.DRAINING}
        if not settings.only_draining_binds:
            self.binding_phases.add(api.Phase.GONE)
        self.servers = dict[int, Server]()
        self.proxies = dict[int, ProxyState]()
        self.joined = dict[int, ProxyState]()
        self.users = defaultdict[int | None, dict[int, ProxyState]](dict)  # Joined proxies by their table.

    def _start_health(self) -> None:
        settings = self.settings
        self.report_spans = deque([settings.report_period], maxlen=MAX_SAMPLES)
        self.has_new_reports = False
        self.evaluated_at = self.now
        self.failed_paths = dict[tuple[int, int], Ejection]()  # From a zone of proxies to one of servers.
        self.throughputs = deque[float](maxlen=THROUGHPUT_SAMPLES)  # Successes per weight and ns.
        self.latency_budget = min(group.budget for group in settings.groups)
        self.report_lag = 0
        self.feedback_delay = 0  # From an order until reports show its effect.
        self.proxies_avoid_servers = True  # Whether proxies may stop using a server by themselves.
        self.success_rate = 0.0
        self.disturbed_at = self.now  # When failures were last widespread, or nothing was reported.
        self.admitted_fraction = 1.0  # Of the groups that yield.
        self.admission_changed_at = 0
        self.retry_policy = api.RetryPolicy.IF_NOT_RUN
        # Groups of less utility for their latency budget, which stands in for the work, yield in an overload.
        density = [group.utility / group.budget for group in settings.groups]
        yielding = sum(1 << index for index, one in enumerate(density) if one < max(density))
        # Masks of groups, and whether the admitted fraction applies to them.
        self.masks = [(yielding, settings.admission_mode == "fraction")] * (yielding > 0)
        self.masks += [((1 << len(density)) - 1 - yielding, False)]

    def _start_tables(self) -> None:
        self.partitions_per_zone = 0  # 0 until it is chosen.
        self.partition_zones = dict[int, int]()
        self.traffic_shares = dict[int, float]()  # By partition.
        self.uses_shared_table = False  # No split of the servers gives each partition enough.
        self.table_weights = dict[int, dict[int, float]]()  # What was ordered, by table and server.
        self.table_edited_at = dict[int, int]()
        self.partition_capacity = dict[int, float]()
        self.table_levels = dict[int, dict[int, tuple[api.RetryPolicy, float]]]()  # By table and mask.
        self.placed_servers = set[int]()  # Those that some table has.
        self.withdrawn = set[int]()
        self.next_withdrawal_at = 0
        self.slice_servers = dict[int, dict[int, float]]()  # Weights, by slice and server.
        self.slice_stopped_at = dict[int, int]()

    def _start_channel(self) -> None:
        settings = self.settings
        self.channel_is_idle = True
        self.lines_written = 0.0
        self.lines_sent = 0.0  # Those that have surely left the channel.
        self.lines_sent_at = self.now
        # By mark: lines written before its turn, the turn's lines by proxy, lines written by its end.
        self.marks = dict[int, tuple[float, dict[int, float], float]]()
        self.last_mark = 0
        self.turn_start = 0.0  # Lines written before this turn.
        self.turn_lines = dict[int, float]()  # Lines of this turn, by proxy.
        # Most stays free for withdrawals; a large limit holds many seconds that any answer would wait behind.
        self.ordinary_queue_limit = min(
            QUEUE_FRACTION * settings.queue_limit, settings.lines_per_s * QUEUE_TIME / SECOND
        )

    def update_servers(self, event: api.Listed) -> None:
        """Take over what the list shows."""
        listed = {entry.server for entry in event.entries} if event.whole else self.servers.keys()
        gone = [
            server.entry._replace(phase=api.Phase.GONE)
            for index, server in self.servers.items()
            if index not in listed
        ]
        for entry in (*event.entries, *gone):
            known = self.servers.setdefault(entry.server, Server(entry, self.now))
            if entry.phase != known.entry.phase:
                known.phase_since = self.now
            # Against a wrong list: where gone isn't binding, a ready server stays until attempts fail there.
            if entry.phase == api.Phase.GONE not in self.binding_phases:
                # The list of an instance that has just started is old.
                is_evident = known.reports or self.now > self.started_at + SECOND
                known.doubted |= bool(is_evident and known.entry.phase == api.Phase.READY)
                if known.entry.phase != api.Phase.DRAINING:
                    known.entry = known.entry._replace(phase=api.Phase.GONE)
                continue
            if entry.since != known.entry.since:  # Results of the old process say nothing of the new one.
                known.ejection = None
                known.reports.clear()
            known.entry = entry
            known.doubted = False

    def add_proxy(self, event: api.Joined) -> None:
        """Add a proxy that has joined; it holds no table of this instance."""
        known = self.proxies.setdefault(event.proxy, ProxyState(event.zone))
        # A new stream knows none of our orders, also when the end of the old one was never reported.
        self.users[known.table].pop(event.proxy, None)
        known.zone = event.zone
        known.partition = NO_PARTITION
        known.table = None
        known.rate = event.rate
        self.joined[event.proxy] = self.users[None][event.proxy] = known
        known.messages.clear()

    def ready_servers(self) -> list[tuple[int, Server]]:
        """Return the servers that may get traffic, ejected ones included."""
        return [
            (index, server)
            for index, server in self.servers.items()
            if (server.entry.phase == api.Phase.READY or server.doubted) and server.entry.weight > 0
        ]

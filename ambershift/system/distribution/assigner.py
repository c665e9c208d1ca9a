"""One pool's tables: feeds the decision module (`ambershift/policy/`), and turns its orders into messages.

Orders that proxies of this system have no use for are dropped:

- admission levels and masks: a proxy admits and retries by its routes, and by budgets of its own;
- watches, fetches, probes, messages to peers and notes, which the terms here never ask for;
- withdrawals of missing backends, which proxies remove with the endpoint list, and ends of withdrawals, since
  draining is for good.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ambershift import interface as api
from ambershift.policy import TableManager
from ambershift.system.distribution.overload_threshold import CLEAR_FRACTION, OverloadThreshold
from ambershift.system.messages.proxy_link import BackendLoad, BindTable, TableEntry
from ambershift.system.state_machine import NS_PER_MS

# Least time between two steps.
STEP_INTERVAL_LIST_CHANGED_NS = 100 * NS_PER_MS
STEP_INTERVAL_BUSY_NS = 250 * NS_PER_MS
STEP_INTERVAL_IDLE_NS = 1000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class PoolBackend:
    """A backend as a member of a pool.

    Attributes:
        zone: The zone's number; -1 if it is unknown.
        phase: Ready, draining or gone.
        weight: 0 keeps it out of tables without a withdrawal.
    """

    zone: int
    phase: api.Phase
    weight: float


@dataclass(slots=True)
class TableChanges:
    """What a step orders.

    Attributes:
        ejected_ids: Backends to eject, before all else is sent.
        messages: Proxy and message, in the order to send them.
        barriers: Number of a mark of the decision module, and the proxies that have to apply what was sent
            before it.
    """

    ejected_ids: list[str] = field(default_factory=list)
    messages: list[tuple[str, msgspec.Struct]] = field(default_factory=list)
    barriers: list[tuple[int, list[str]]] = field(default_factory=list)


@functools.lru_cache(1 << 16)
def index_of(name: str) -> int:
    """A number for a name that is the same at all control nodes, so that all assign in one order."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big")


class Assigner:
    """Feeds one pool's decision module and translates its orders.

    Attributes:
        pool: The pool's name.
        module: The decision module.
        events: What the module is told with the next step.
        backend_ids: Ids of the backends, by their numbers (`index_of`).
        backends: The pool's backends, by id.
        proxies: Names of all proxies, by their numbers.
        local_proxies: Names of those linked to this node; of the others only the traffic counts.
        bound_tables: Number of the table that each local proxy uses.
        tables: Weight of each backend, by the numbers of the table and of the backend.
        terms: The module's terms, with the present overload threshold.
        overload_threshold: Decides that threshold.
        timer_token: Of the timer that the module has started; 0 if it has none.
    """

    def __init__(self, pool: str, terms: api.PolicySettings, seed: int) -> None:
        """Start without backends and proxies.

        Args:
            pool: The pool's name.
            terms: The decision module's terms at the start.
            seed: The decision module's.
        """
        self.pool = pool
        self.module = TableManager()
        self.events: list[api.Event] = [api.Started(seed, terms)]
        self.backend_ids: dict[int, str] = {}
        self.backends: dict[str, PoolBackend] = {}
        self.proxies: dict[int, str] = {}
        self.local_proxies: set[str] = set()
        self.bound_tables: dict[str, int] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.terms = terms
        self.overload_threshold = OverloadThreshold(terms.overload_limit)
        self.timer_token = 0
        # By zone number and backend id, since the last step: attempts, failures, time of successes (ns).
        self._results: dict[tuple[int, str], tuple[int, int, int]] = {}
        self._started = False  # Whether the module has had its first step.
        self._busy = True  # Whether something has changed since the last step.
        self._list_changed = False
        self._stepped_at = -(1 << 62)

    def update_backends(self, backends: dict[str, PoolBackend]) -> None:
        """Add the pool's backends that are new or changed."""
        entries = list[api.Entry]()
        for id, backend in backends.items():
            if backend != self.backends.get(id) and (backend.phase or id in self.backends):
                self.backends[id] = backend
                index = index_of(id)
                self.backend_ids[index] = id
                entries.append(api.Entry(index, backend.zone, backend.phase, backend.weight, 0))
        if entries:
            self.events.append(api.Listed(False, False, tuple(entries)))
            self._busy = self._list_changed = True

    def add_proxy(self, proxy: str, zone: int, is_local: bool) -> None:
        """Add a proxy.

        Args:
            proxy: Its name.
            zone: The number of its zone; -1 if it is unknown.
            is_local: Whether it is linked to this node.
        """
        self.proxies[index_of(proxy)] = proxy
        self.bound_tables.pop(proxy, None)
        if is_local:
            self.local_proxies.add(proxy)
        else:
            self.local_proxies.discard(proxy)
        self.events.append(api.Joined(index_of(proxy), zone, 1.0, True))
        self._busy = True

    def remove_proxy(self, proxy: str) -> None:
        """Remove a proxy."""
        self.proxies.pop(index_of(proxy), None)
        self.bound_tables.pop(proxy, None)
        self.local_proxies.discard(proxy)
        self.overload_threshold.remove_proxy(proxy)
        self.events.append(api.Left(index_of(proxy)))
        self._busy = True

    def record_requests(self, proxy: str, count: int, span_ns: int) -> None:
        """Record how many requests of the pool came to a proxy over a span."""
        self.events.append(api.DemandReport(index_of(proxy), 0, count, 0, span_ns))
        self.overload_threshold.record_requests(proxy, count, span_ns)

    def record_results(self, zone: int, load: BackendLoad) -> None:
        """Add the results that a proxy of this zone had at a backend."""
        if load.backend_id in self.backends:
            attempts, failures, successes_ns = self._results.get((zone, load.backend_id), (0, 0, 0))
            successes = load.attempts - load.failures
            self._results[zone, load.backend_id] = (
                attempts + load.attempts,
                failures + load.failures,
                successes_ns + load.mean_latency_ms * NS_PER_MS * successes,
            )

    def record_applied(self, mark: int, proxy: str, elapsed_ns: int) -> None:
        """Record that a proxy has applied what was sent before a barrier, so long after it was sent."""
        self.events.append(api.Applied(mark, elapsed_ns, index_of(proxy)))
        self._busy = True

    def step(self, now: int) -> TableChanges | None:
        """Run the decision module if a step is due; None if it isn't.

        A step is due soon after a change of the endpoint list, else at the pace at which proxies apply
        changes, and once a second if nothing has changed.
        """
        if self._list_changed:
            interval = STEP_INTERVAL_LIST_CHANGED_NS
        else:
            interval = STEP_INTERVAL_BUSY_NS if self._busy else STEP_INTERVAL_IDLE_NS
        if now < self._stepped_at + interval:
            return None
        span_ns = min(max(now - self._stepped_at, STEP_INTERVAL_BUSY_NS), 2 * STEP_INTERVAL_IDLE_NS)
        for (zone, id), (attempts, failures, successes_ns) in self._results.items():
            mean_ns = successes_ns // (attempts - failures) if attempts > failures else 0
            self.events.append(api.ServerReport(zone, index_of(id), attempts, failures, mean_ns, span_ns, ()))
        events = [*self.events, *([api.TimerFired(self.timer_token)] if self.timer_token else ())]
        successes = sum(attempts - failures for attempts, failures, _ in self._results.values())
        if successes:
            total_ns = sum(successes_ns for _, _, successes_ns in self._results.values())
            self.overload_threshold.record_mean_latency(total_ns / successes)
        self._results = {}
        self.events = []
        self._busy = self._list_changed = False
        self._stepped_at = now
        self._update_terms()
        return self._carry_out(self.module.step(now, events))

    def _update_terms(self) -> None:
        """Adapt the threshold of expected overload to the pool's spare capacity."""
        limit = self.overload_threshold.update(
            sum(backend.weight for backend in self.backends.values() if backend.phase == api.Phase.READY)
        )
        if self._started and limit != self.terms.overload_limit:
            self.terms = self.terms._replace(overload_limit=limit, overload_calm=CLEAR_FRACTION * limit)
            self.module.settings = self.terms
        self._started = True  # By the step that follows.

    def _carry_out(self, orders: Iterable[api.Order]) -> TableChanges:
        changes = TableChanges()
        affected_proxies = set[str]()  # Those that are sent something in this step, so far.
        for order in orders:
            match order:
                case api.StartTimer():
                    self.timer_token = order.token
                case api.Withdraw():
                    affected_proxies |= self.local_proxies
                    id = self.backend_ids[order.server]
                    if order.out and self.backends[id].phase == api.Phase.DRAINING:
                        changes.ejected_ids.append(id)
                case api.SetWeight():
                    affected_proxies |= self._set_weight(order, changes)
                case api.Bind():
                    affected_proxies |= self._bind(order, changes)
                case api.Mark():
                    changes.barriers.append((order.mark, sorted(affected_proxies)))
                    # The module must not wait for proxies that other control nodes send to.
                    self.events += [
                        api.Applied(order.mark, 0, index)
                        for index, proxy in self.proxies.items()
                        if proxy not in self.local_proxies
                    ]
                    self._busy = True
                case api.Forget():
                    self.backends.pop(self.backend_ids.pop(order.server, ""), None)
        return changes

    def _set_weight(self, order: api.SetWeight, changes: TableChanges) -> set[str]:
        """Change an entry of a table; returns the proxies that use the table."""
        table = self.tables.setdefault(order.table, {})
        if order.weight:
            table[order.server] = order.weight
        else:
            table.pop(order.server, None)
        users = {proxy for proxy, bound in self.bound_tables.items() if bound == order.table}
        entry = TableEntry(self.pool, order.table, self.backend_ids[order.server], order.weight)
        changes.messages += [(proxy, entry) for proxy in sorted(users)]
        return users

    def _bind(self, order: api.Bind, changes: TableChanges) -> set[str]:
        """Have a local proxy use a table; returns the proxy, or nothing if it isn't linked here."""
        proxy = self.proxies[order.proxy]
        table = self.tables.get(order.table, {})
        if proxy not in self.local_proxies:
            return set()
        self.bound_tables[proxy] = order.table
        entries = tuple((self.backend_ids[index], weight) for index, weight in sorted(table.items()))
        changes.messages.append((proxy, BindTable(self.pool, order.table, entries)))
        return {proxy}

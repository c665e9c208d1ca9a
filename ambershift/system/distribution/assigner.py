"""One pool's tables: feeds the decision module (`ambershift/policy/`), and turns its orders into messages.

Orders that proxies have no use for are dropped: levels and masks (a proxy admits and repeats by its routes,
and by budgets of its own); watches, fetches, probes, tells and notes, which the terms here never ask for; and
of withdrawals those of missing backends, which leave with the list, and those taken back, since draining is
for good.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ambershift import interface as api
from ambershift.policy import TableManager
from ambershift.system.distribution.strain import CALM, Strain
from ambershift.system.messages.proxy_link import BackendLoad as Told
from ambershift.system.messages.proxy_link import BindTable, TableEntry
from ambershift.system.state_machine import NS_PER_MS

DEALT_ON_LIST, DEALT_WHILE_BUSY, DEALT_AT_REST = 100 * NS_PER_MS, 250 * NS_PER_MS, 1000 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Seat:
    """A backend as the pool has it; a weight of 0 keeps it out of tables without a withdrawal."""

    zone: int
    phase: api.Phase
    weight: float


@dataclass(slots=True)
class Assigned:
    """What a step makes: backends to eject (before all else), messages to proxies, barriers."""

    shut: list[str] = field(default_factory=list)
    sends: list[tuple[str, msgspec.Struct]] = field(default_factory=list)
    marks: list[tuple[int, list[str]]] = field(default_factory=list)


@functools.lru_cache(1 << 16)
def index_of(name: str) -> int:
    """A number for a name that is the same at all control nodes, so that all deal in one order."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big")


class Assigner:
    """Feeds one pool's decision module and translates its orders."""

    def __init__(self, pool: str, terms: api.Terms, seed: int) -> None:
        self.pool, self.module = pool, TableManager()
        self.events: list[api.Event] = [api.Started(seed, terms)]
        self.names: dict[int, str] = {}  # Of backends.
        self.seats: dict[str, Seat] = {}
        self.proxies: dict[int, str] = {}
        self.local: set[str] = set()  # Proxies linked here; of the others only the traffic counts.
        self.bound: dict[str, int] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.met: dict[tuple[int, str], tuple[int, int, int]] = {}
        self.terms, self.strain, self.born = terms, Strain(terms.overload_limit), False
        self.token = 0
        self.busy, self.listed, self.dealt_at = True, False, -(1 << 62)

    def seat(self, seats: dict[str, Seat]) -> None:
        """Add the pool's backends that are new or changed."""
        entries = list[api.Entry]()
        for id, seat in seats.items():
            if seat != self.seats.get(id) and (seat.phase or id in self.seats):
                self.seats[id] = seat
                index = index_of(id)
                self.names[index] = id
                entries.append(api.Entry(index, seat.zone, seat.phase, seat.weight, 0))
        if entries:
            self.events.append(api.Listed(False, False, tuple(entries)))
            self.busy = self.listed = True

    def join(self, proxy: str, zone: int, here: bool) -> None:
        """Add a proxy; `here` if it is linked to this node."""
        self.proxies[index_of(proxy)] = proxy
        self.bound.pop(proxy, None)
        (self.local.add if here else self.local.discard)(proxy)
        self.events.append(api.Joined(index_of(proxy), zone, 1.0, True))
        self.busy = True

    def leave(self, proxy: str) -> None:
        """Remove a proxy."""
        self.proxies.pop(index_of(proxy), None)
        self.bound.pop(proxy, None)
        self.local.discard(proxy)
        self.strain.leave(proxy)
        self.events.append(api.Left(index_of(proxy)))
        self.busy = True

    def came(self, proxy: str, count: int, span: int) -> None:
        """Requests of the pool that came to a proxy over a span (ns)."""
        self.events.append(api.DemandReport(index_of(proxy), 0, count, 0, span))
        self.strain.came(proxy, count, span)

    def meet(self, zone: int, met: Told) -> None:
        """A proxy's results at a backend; summed by zone, backend and step."""
        if met.backend_id in self.seats:
            tries, bad, took = self.met.get((zone, met.backend_id), (0, 0, 0))
            good = met.attempts - met.failures
            self.met[zone, met.backend_id] = (
                tries + met.attempts,
                bad + met.failures,
                took + met.mean_latency_ms * NS_PER_MS * good,
            )

    def applied(self, mark: int, proxy: str, took: int) -> None:
        """Note that a proxy has applied what came before a barrier; `took` is ns from sending to answer."""
        self.events.append(api.Applied(mark, took, index_of(proxy)))
        self.busy = True

    def step(self, now: int) -> Assigned | None:
        """Deal, where it is time to: soon on a change of the list, else at the pace of the channel."""
        pace = DEALT_ON_LIST if self.listed else DEALT_WHILE_BUSY if self.busy else DEALT_AT_REST
        if now < self.dealt_at + pace:
            return None
        span = min(max(now - self.dealt_at, DEALT_WHILE_BUSY), 2 * DEALT_AT_REST)
        for (zone, id), (tries, bad, took) in self.met.items():
            mean = took // (tries - bad) if tries > bad else 0
            self.events.append(api.ServerReport(zone, index_of(id), tries, bad, mean, span, ()))
        events = [*self.events, *([api.TimerFired(self.token)] if self.token else ())]
        good = sum(tries - bad for tries, bad, _ in self.met.values())
        if good:
            self.strain.took(sum(took for _, _, took in self.met.values()) / good)
        self.met, self.events, self.busy, self.listed, self.dealt_at = {}, [], False, False, now
        self._retune()
        return self._carry_out(self.module.step(now, events))

    def _retune(self) -> None:
        """The threshold of expected overload follows what the pool has to spare."""
        limit = self.strain.overload(
            sum(seat.weight for seat in self.seats.values() if seat.phase == api.Phase.READY)
        )
        if self.born and limit != self.terms.overload_limit:
            self.terms = self.terms._replace(overload_limit=limit, overload_calm=CALM * limit)
            self.module.terms = self.terms
        self.born = True  # By the step that follows.

    def _carry_out(self, orders: Iterable[api.Order]) -> Assigned:
        dealt, written = Assigned(), set[str]()
        for order in orders:
            match order:
                case api.StartTimer():
                    self.token = order.token
                case api.Withdraw():
                    written |= self.local
                    id = self.names[order.server]
                    if order.out and self.seats[id].phase == api.Phase.DRAINING:
                        dealt.shut.append(id)
                case api.SetWeight():
                    written |= self._line(order, dealt)
                case api.Bind():
                    written |= self._bind(order, dealt)
                case api.Mark():
                    dealt.marks.append((order.mark, sorted(written)))
                    self.events += [
                        api.Applied(order.mark, 0, index)
                        for index, proxy in self.proxies.items()
                        if proxy not in self.local
                    ]
                    self.busy = True
                case api.Forget():
                    self.seats.pop(self.names.pop(order.server, ""), None)
        return dealt

    def _line(self, order: api.SetWeight, dealt: Assigned) -> set[str]:
        table = self.tables.setdefault(order.table, {})
        if order.weight:
            table[order.server] = order.weight
        else:
            table.pop(order.server, None)
        users = {proxy for proxy, bound in self.bound.items() if bound == order.table}
        line = TableEntry(self.pool, order.table, self.names[order.server], order.weight)
        dealt.sends += [(proxy, line) for proxy in sorted(users)]
        return users

    def _bind(self, order: api.Bind, dealt: Assigned) -> set[str]:
        proxy, table = self.proxies[order.proxy], self.tables.get(order.table, {})
        if proxy not in self.local:
            return set()
        self.bound[proxy] = order.table
        lines = tuple((self.names[index], weight) for index, weight in sorted(table.items()))
        dealt.sends.append((proxy, BindTable(self.pool, order.table, lines)))
        return {proxy}

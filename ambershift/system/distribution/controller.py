"""Sends the proxies linked to this node their tables, the endpoint list and the items.

Old names in the code: `core` is a control node, `ledger` the replicated store, `sign` a heartbeat to proxies
(`ControlNodeHeartbeat`), `mark` the number of a `Barrier`, `life` an incarnation of a backend.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from ambershift.system.distribution.assigner import Assigned
from ambershift.system.distribution.flows import Flows
from ambershift.system.distribution.pool_loads import FED_EACH, PoolLoads
from ambershift.system.distribution.pushes import Pushes
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError, ReplicatedState
from ambershift.system.messages.items import ROUTE, ZONE, Item
from ambershift.system.messages.proxy_link import (
    Backend,
    BackendUpdate,
    Barrier,
    ControlNodeAddress,
    ControlNodeHeartbeat,
    EjectBackend,
    Hello,
    LoadReport,
)
from ambershift.system.messages.tombstones import COLLECTED_TOMBSTONES_KIND
from ambershift.system.registry.records import Instance, backend_of
from ambershift.system.registry.service import RegistryService
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS, Send

SIGN_EACH, PROXIES_EACH = 400 * NS_PER_MS, 250 * NS_PER_MS
LIST_FOR = 250 * NS_PER_MS  # How old a list a new link may be told: cold backends stay cold there for longer.
FRESHEN_LIMIT_S, FRESHEN_PAUSE_S = 1.0, 0.2
PROXY_LINKED, PROXY_LOST = 321, 322

Sending = Callable[[str, msgspec.Struct], None]


class Controller:
    """`send_proxy(name, message)` loses the message if the proxy has no link."""

    def __init__(
        self,
        settings: ProcessSettings,
        ledger: ReplicatedState,
        registry: RegistryService,
        send_proxy: Sending,
        send_core: Sending,
        steady: Callable[[], int],
        seed: int,
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.ledger, self.registry, self.steady = ledger, registry, steady
        self.send_proxy, self.log = send_proxy, log
        self.pool_loads, self.pushes, self.flows = PoolLoads(settings.zones, seed), Pushes(), Flows()
        self.hellos: dict[str, Hello] = {}
        self.withdrawn: set[str] = set()
        # Of each proxy: marks not answered yet, when each was sent, and which pools' marks it stands for.
        self.marks = defaultdict[str, deque[tuple[int, int, list[tuple[str, int]]]]](deque)
        self.mark = self.signed_at = self.proxies_at = 0
        self.settled = self.read = self.routed = False
        self.cores: tuple[ControlNodeAddress, ...] = ()  # As all linked proxies have been told.
        self.list: BackendUpdate | None = None
        self.list_at = 0
        self.freshening: asyncio.Task[None] | None = None
        ledger.subscribe(self._items)
        registry.listen(self._listed)

    # Proxies.
    def proxy_linked(self, name: str) -> None:
        """A new link of a proxy, before its first message: whatever was sent on the old one is sent again. It
        gets a heartbeat at once: by that it decides whether to send its Hello here.
        """
        self.hellos.pop(name, None)
        self.send_proxy(name, self._sign(self.ledger.control_nodes()))

    def hear_proxy(self, name: str, message: msgspec.Struct) -> None:
        if isinstance(message, Hello):
            self._greet(message)
            return
        self.registry.proxy_contacted(name)
        if name not in self.hellos:
            return
        if isinstance(message, LoadReport) and message.interval_ms > 0:
            self.flows.report(
                self.steady(), name, self.hellos[name].zone, message.interval_ms * NS_PER_MS, message.requests
            )
            self.pool_loads.report(name, message)
        elif isinstance(message, Barrier):
            self._applied(name, message.number)

    def proxy_lost(self, name: str) -> None:
        if name in self.hellos:  # Many only wait for a heartbeat (`CandidateProbe`).
            self.log(PROXY_LOST, {"proxy": name})
        self.registry.proxy_disconnected(name)
        self._unlink(name)

    def _unlink(self, name: str) -> None:
        self.hellos.pop(name, None)
        self.pushes.lose(name)
        self.flows.leave(name)
        self.marks.pop(name, None)
        self.pool_loads.leave(name)

    def _greet(self, hello: Hello) -> None:
        known = self.hellos.get(hello.name)
        self.registry.proxy_connected(hello)
        if known and known.incarnation == hello.incarnation and known != hello:
            self.hellos[hello.name] = hello
            return  # The link goes on; only what it says of itself has changed.
        self.log(PROXY_LINKED, {"proxy": hello.name, "incarnation": hello.incarnation, "ready": hello.ready})
        self._unlink(hello.name)
        self.hellos[hello.name] = hello
        self.settled = self.settled or self.registry.is_complete()
        self._send(self.pushes.greet(hello.name, self.ledger.items().values(), self._list()))
        # Behind the items: from here on the heartbeat's staleness is that of what the proxy has.
        self.send_proxy(hello.name, self._sign(self.ledger.control_nodes()))
        self.pool_loads.join(hello.name, hello.zone, "", hello.incarnation)
        if self.freshening is None:
            self.freshening = asyncio.ensure_future(self._freshen())

    async def _freshen(self) -> None:
        """Read a quorum after a Hello, until each proxy was told that it has all (`ItemUpdate.complete`)."""
        try:
            while asked := self.pushes.wanting():
                try:
                    await self.ledger.read_quorum(FRESHEN_LIMIT_S)
                except (OutcomeUnknownError, NotAppliedError):
                    await asyncio.sleep(FRESHEN_PAUSE_S)
                    continue
                self._send(self.pushes.complete(asked, self.ledger.items().values()))
        finally:
            self.freshening = None

    def _applied(self, name: str, mark: int) -> None:
        marks, now = self.marks[name], self.steady()
        while marks and marks[0][0] <= mark:
            _, sent, parts = marks.popleft()
            for pool, one in parts:
                if assigner := self.pool_loads.assigners.get(pool):
                    assigner.applied(one, name, now - sent)

    # Other control nodes: the registry keeps all that they tell.
    def hear_core(self, ip: str, message: msgspec.Struct) -> None:
        pass

    def core_linked(self, ip: str) -> None:
        self.registry.peer_connected(ip)

    # What changes.
    def _items(self, items: Sequence[Item]) -> None:
        self._send(self.pushes.items(items))
        self.routed &= not any(one.kind in (ROUTE, ZONE, COLLECTED_TOMBSTONES_KIND) for one in items)

    def _listed(self, put: Sequence[Instance], gone: Sequence[str]) -> None:
        self.list = None
        self.pushes.listed(self._backends(put), gone)
        self.pool_loads.listed(self.steady(), put, gone)
        self.withdrawn.difference_update(gone)

    def _list(self) -> BackendUpdate:
        """The list in one message. Hundreds link at once where a control node was lost: all get the same."""
        now = self.steady()
        if self.list is None or self.list.complete != self.settled or now > self.list_at + LIST_FOR:
            lives = self._backends(self.registry.endpoints().values())
            self.list, self.list_at = BackendUpdate(tuple(lives), (), self.settled), now
        return self.list

    def _backends(self, lives: Iterable[Instance]) -> list[Backend]:
        now = self.steady()
        return [backend_of(life, now) for life in lives]

    # Time.
    def tick(self) -> None:
        """To be called about every 50 ms, after the registry's."""
        now = self.steady()
        if not self.read:
            self.read = True
            self._items(list(self.ledger.items().values()))
        if not self.settled and self.registry.is_complete():
            self.settled = True
            self._send(self.pushes.settle(self._backends(self.registry.endpoints().values())))
        if not self.routed:
            self.routed = True
            self.pool_loads.route(self.ledger.items().values())
        if now >= self.proxies_at + PROXIES_EACH:
            self.proxies_at = now
            self.pool_loads.follow(self.registry.proxies())
        if now >= self.pool_loads.fed_at + FED_EACH:
            self.pool_loads.feed(now, self.registry.peer_rates())
        moved, gone = self.flows.tell(now, self.pool_loads.pools.keys())
        if moved or gone:
            self.registry.rates_changed(moved, gone)
        self._send(self.pushes.flush())
        # Tables computed from an incomplete list would send all traffic to few backends.
        if self.settled:
            self._spread(now, self.pool_loads.deal(now))
        if now >= self.signed_at + SIGN_EACH:
            self.signed_at = now
            self._send_signs()

    def _spread(self, now: int, turns: Sequence[tuple[str, Assigned]]) -> None:
        """Send ejections of all pools, then table entries and binds, then a barrier to whoever got any."""
        # A backend may be in several pools, and is withdrawn from proxies once.
        for id in {id for _, dealt in turns for id in dealt.shut} - self.withdrawn:
            self.withdrawn.add(id)
            for name in self.hellos:
                self.send_proxy(name, EjectBackend(id, True))
        marked = defaultdict[str, list[tuple[str, int]]](list)
        for pool, dealt in turns:
            for name, message in dealt.sends:
                self.send_proxy(name, message)
            for mark, names in dealt.marks:
                for name in names:
                    marked[name].append((pool, mark))
        for name, parts in marked.items():
            self.mark += 1
            self.marks[name].append((self.mark, now, parts))
            self.send_proxy(name, Barrier(self.mark))

    def _send_signs(self) -> None:
        cores = tuple(self.ledger.control_nodes())
        sign = self._sign(() if cores == self.cores else cores)
        self.cores = cores
        for name in self.hellos:
            self.send_proxy(name, sign)

    def _sign(self, cores: Sequence[ControlNodeAddress]) -> ControlNodeHeartbeat:
        ledger = self.ledger
        return ControlNodeHeartbeat(
            tuple(cores), ledger.has_quorum_contact(), self.registry.max_proxies(), ledger.contact_age_ms()
        )

    def _send(self, sends: Sequence[Send]) -> None:
        for one in sends:
            self.send_proxy(one.recipient, one.message)

"""The proxy: what the control node tells goes in, requests come as an ASGI application, reports come out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from secrets import token_hex
from typing import Any

import msgspec

from ambershift.system.messages import fronts, items
from ambershift.system.proxy.admission import Admission
from ambershift.system.proxy.awaited import Awaited
from ambershift.system.proxy.backend_view import BackendView, Pool
from ambershift.system.proxy.budget import Budget
from ambershift.system.proxy.cold import ColdGate
from ambershift.system.proxy.connections import Connections
from ambershift.system.proxy.handling import Handling, Receive, Send, answer
from ambershift.system.proxy.isolation import Isolation
from ambershift.system.proxy.lives import Life
from ambershift.system.proxy.pick import pick
from ambershift.system.proxy.routing import Routing
from ambershift.system.proxy.trying import Came
from ambershift.system.proxy.wire import HOLD_LEAST, HOLD_MOST
from ambershift.system.settings.local import Local
from ambershift.system.steps import MS, SECOND

READINESS = b"/ambershift/readiness"
ROOM_SHARE, ROOM_LEAST = 0.9, 2
MANY = 200  # Requests under way from which on less of each answer is held.


class ProxyServer:
    """One front machine's part in the traffic. `steady` gives ns of a clock that only runs forward."""

    def __init__(self, settings: Local, steady: Callable[[], int], chance: Random | None = None) -> None:
        self.settings, self.steady = settings, steady
        self.chance = chance or Random()
        self.routing = Routing()
        self.backend_view = BackendView(
            settings.region, settings.zones, lambda service: self.routing.service(service).cold_for
        )
        self.connections = Connections(steady)
        self.admission = Admission()
        self.cold = ColdGate(settings.name)
        self.isolation = Isolation()
        self.merged = Awaited()
        self.proxies = 1
        self.leaving = False
        self.came: dict[str, int] = {}
        self._on_their_own: set[asyncio.Task[Came]] = set()
        self._budgets: dict[str, Budget] = {}
        self._life = token_hex(8)
        self._reported = steady()
        readiness = settings.listen.get("Readiness", "")
        self._readiness = int(readiness.rpartition(":")[2]) if readiness else -1

    @property
    def ready(self) -> bool:
        """All that was acknowledged before the start is merged, and there is a route to serve."""
        return self.routing.complete and self.routing.routes > 0

    def hear(self, message: msgspec.Struct) -> list[msgspec.Struct]:
        """Take in a message from the control node; returns the replies."""
        now = self.steady()
        match message:
            case fronts.Items():
                self._merge(now, message)
            case fronts.Backends():
                for life in self.backend_view.take(now, message):
                    self.connections.drop(life)
                self._share_room(self.backend_view.lives[one.id] for one in message.put)
            case fronts.Line():
                self.backend_view.line(message)
            case fronts.Bind():
                self.backend_view.bind(message)
            case fronts.Withdraw():
                self.backend_view.withdraw(message.id, message.out)
            case fronts.Cores():
                if message.proxies != self.proxies:
                    self.proxies = max(1, message.proxies)
                    self._share_room(self.backend_view.lives.values())
            case fronts.Mark():
                return [message]
        return []

    def linked(self) -> None:
        """A link to a control node begins. Tables of the old one stay in use until its binds come."""
        self.routing.begin_link()

    def unlinked(self) -> None:
        """The link was lost: the proxy serves on with what it knows."""

    def hello(self) -> fronts.Hello:
        return fronts.Hello(
            self.settings.name,
            self._life,
            self.settings.zone,
            self.settings.listen.get("Front", ""),
            self.ready,
            self.leaving,
        )

    def report(self, now: int) -> fronts.Report:
        """What came and was met since the last call."""
        span, self._reported = (now - self._reported) // MS, now
        met = list[fronts.Met]()
        for life in self.backend_view.lives.values():
            if life.tries:
                met.append(fronts.Met(life.id, life.tries, life.bad, life.spent // life.tries // MS))
                life.tries = life.bad = life.spent = 0
        came, self.came = self.came, {}
        self.connections.sweep()
        return fronts.Report(span, came, tuple(met))

    def leave(self) -> None:
        """From now on each answer asks the client to close, and the proxy is not ready."""
        self.leaving = True

    def idle(self) -> bool:
        """Whether no request is in flight."""
        return self.admission.flying == 0

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """ASGI 3: requests of clients, and on the readiness port the platform's check."""
        if scope["type"] != "http":
            return
        if scope["server"][1] == self._readiness:
            known = scope["raw_path"] == READINESS
            up = self.ready and not self.leaving
            await answer(self, send, (200 if up else 503) if known else 404)
            return
        self.admission.flying += 1
        self.connections.hold = HOLD_MOST if self.admission.flying < MANY else HOLD_LEAST
        try:
            await Handling(self, scope, receive, send).run()
        finally:
            self.admission.flying -= 1

    def let_run(self, task: asyncio.Task[Came]) -> None:
        """A try whose answer is not needed any more goes on to its end by itself."""

        def ended(task: asyncio.Task[Came]) -> None:
            self._on_their_own.discard(task)
            if not task.cancelled() and task.exception() is None:
                task.result().by.close()

        self._on_their_own.add(task)
        task.add_done_callback(ended)

    def budget(self, service: str) -> Budget:
        found = self._budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self._budgets[service] = Budget(int(bounds.retry_window * SECOND), bounds.retry_ratio)
        return found

    def cut(self, now: int) -> bool:
        """Whether nobody answers this proxy, so that a request is better refused at once."""
        return self.isolation.cut(now, self.backend_view.lives.values())

    def pick(self, pool: Pool, now: int, tried: list[Life], left: int) -> Life | None:
        found = pick(pool, now, tried, self.chance, self._cold_may, left)
        if found is not None and now < found.cold_until:
            self.cold.sent(found, now)
        return found

    def _cold_may(self, life: Life, now: int) -> bool:
        bounds = self.settings.bounds
        rate = self.routing.service(life.service).cold_rate * bounds.cold_overrun
        return self.cold.may(life, now, self.proxies, rate)

    def _merge(self, now: int, message: fronts.Items) -> None:
        for item in self.routing.merge(message.items):
            if item.kind == items.ZONE:
                if item.body == b"true":
                    self.backend_view.evacuate(item.name)
                else:
                    self.backend_view.take_back(now, item.name)
            elif item.kind == items.INSTANCE and item.version[0] >= 1:
                self.backend_view.is_over(item.name)
            elif item.kind == items.CLEARED:
                self.backend_view.forget(items.cleared_by(item))
            elif item.kind == items.SERVICE:
                self._share_room(self.backend_view.serving(item.name))
        if message.complete:
            self.routing.complete_link()
        if self.routing.complete:
            self.merged.come()

    def _share_room(self, lives: Iterable[Life]) -> None:
        """Each proxy may use an even part of the connections that a backend takes from all."""
        for life in lives:
            cap = self.routing.service(life.service).connections
            life.room = max(ROOM_LEAST, int(ROOM_SHARE * cap / self.proxies))

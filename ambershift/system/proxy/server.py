"""The proxy without its sockets: control nodes' messages, clients' requests (ASGI), load reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from secrets import token_hex
from typing import Any

import msgspec

from ambershift.system.messages import items, proxy_link
from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.http_exchange import HOLD_LEAST, HOLD_MOST
from ambershift.system.proxy.request_handler import Handling, Receive, Send, answer
from ambershift.system.proxy.state import ProxyState
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS

READINESS = b"/ambershift/readiness"
ROOM_SHARE, ROOM_LEAST = 0.9, 2
MANY = 200  # Requests under way from which on less of each answer is held.


class ProxyServer(ProxyState):
    """One proxy. `steady` gives ns of a clock that only runs forward."""

    def __init__(
        self, settings: ProcessSettings, steady: Callable[[], int], chance: Random | None = None
    ) -> None:
        super().__init__(settings, steady, chance or Random())
        self._life = token_hex(8)
        self._reported = steady()
        readiness = settings.listen_addresses.get("Readiness", "")
        self._readiness = int(readiness.rpartition(":")[2]) if readiness else -1

    @property
    def ready(self) -> bool:
        """All that was acknowledged before the start is merged, and there is a route to serve."""
        return self.routing.complete and self.routing.route_count > 0

    def handle_message(self, message: msgspec.Struct) -> list[msgspec.Struct]:
        """Take in a message from the control node; returns the replies."""
        now = self.steady()
        match message:
            case proxy_link.ItemUpdate():
                self._merge(now, message)
            case proxy_link.BackendUpdate():
                for life in self.backend_view.take(now, message):
                    self.connections.drop(life)
                self._share_room(self.backend_view.instances[one.id] for one in message.updated)
            case proxy_link.TableEntry():
                self.backend_view.line(message)
            case proxy_link.BindTable():
                self.backend_view.bind(message)
            case proxy_link.EjectBackend():
                self.backend_view.withdraw(message.backend_id, message.ejected)
            case proxy_link.ControlNodeHeartbeat():
                if message.max_proxies != self.proxies:
                    self.proxies = max(1, message.max_proxies)
                    self._share_room(self.backend_view.instances.values())
            case proxy_link.Barrier():
                return [message]
        return []

    def link_opened(self) -> None:
        """A link to a control node begins. Tables of the old one stay in use until its binds come."""
        self.routing.begin_link()

    def link_closed(self) -> None:
        """The link was lost: the proxy serves on with what it knows."""

    def hello(self) -> proxy_link.Hello:
        return proxy_link.Hello(
            self.settings.name,
            self._life,
            self.settings.zone,
            self.settings.listen_addresses.get("Front", ""),
            self.ready,
            self.draining,
        )

    def take_report(self, now: int) -> proxy_link.LoadReport:
        """Requests by pool, and results by backend, since the last call."""
        span, self._reported = (now - self._reported) // NS_PER_MS, now
        met = list[proxy_link.BackendLoad]()
        for life in self.backend_view.instances.values():
            if life.attempts:
                met.append(
                    proxy_link.BackendLoad(
                        life.id, life.attempts, life.bad, life.spent // life.attempts // NS_PER_MS
                    )
                )
                life.attempts = life.bad = life.spent = 0
        came, self.request_counts = self.request_counts, {}
        self.connections.sweep()
        return proxy_link.LoadReport(span, came, tuple(met))

    def start_draining(self) -> None:
        """From now on each answer asks the client to close, and the proxy is not ready."""
        self.draining = True

    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self.admission.in_flight == 0

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """ASGI 3: requests of clients, and on the readiness port the platform's check."""
        if scope["type"] != "http":
            return
        if scope["server"][1] == self._readiness:
            known = scope["raw_path"] == READINESS
            up = self.ready and not self.draining
            await answer(self, send, (200 if up else 503) if known else 404)
            return
        self.admission.in_flight += 1
        self.connections.hold = HOLD_MOST if self.admission.in_flight < MANY else HOLD_LEAST
        try:
            await Handling(self, scope, receive, send).run()
        finally:
            self.admission.in_flight -= 1

    def _merge(self, now: int, message: proxy_link.ItemUpdate) -> None:
        for item in self.routing.merge(message.items):
            if item.kind == items.ZONE:
                if item.body == b"true":
                    self.backend_view.evacuate(item.name)
                else:
                    self.backend_view.take_back(now, item.name)
            elif item.kind == items.INSTANCE and item.version[0] >= 1:
                self.backend_view.is_over(item.name)
            elif item.kind == items.COLLECTED_INSTANCES_KIND:
                self.backend_view.forget(items.collected_instance_ids(item))
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

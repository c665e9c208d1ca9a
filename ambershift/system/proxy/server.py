"""The proxy without its sockets: messages of control nodes, requests of clients (ASGI), load reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from secrets import token_hex
from typing import Any

import msgspec

from ambershift.system.messages import items, proxy_link
from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.http_exchange import RESPONSE_BUFFER_MAX, RESPONSE_BUFFER_MIN
from ambershift.system.proxy.request_handler import (
    SERVICE_UNAVAILABLE,
    Receive,
    RequestHandler,
    Send,
    send_empty_response,
)
from ambershift.system.proxy.state import ProxyState
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS

READINESS_PATH = b"/ambershift/readiness"
# The share of the connections that a backend takes (`ConnectionCap`) which all proxies together use.
CONNECTION_SHARE = 0.9
MIN_CONNECTIONS = 2  # Each proxy may have so many to a backend, however small its share.
MANY_IN_FLIGHT = 200  # From so many requests in flight on, less of each response is buffered.


class ProxyServer(ProxyState):
    """One proxy."""

    def __init__(
        self, settings: ProcessSettings, monotonic_ns: Callable[[], int], random: Random | None = None
    ) -> None:
        """Start without a link.

        Args:
            settings: The settings of the process.
            monotonic_ns: The monotonic clock, in ns.
            random: The source of random numbers; by default a new one.
        """
        super().__init__(settings, monotonic_ns, random or Random())
        self._incarnation = token_hex(8)
        self._last_report_at = monotonic_ns()
        readiness_address = settings.listen_addresses.get("Readiness", "")
        self._readiness_port = int(readiness_address.rpartition(":")[2]) if readiness_address else -1

    @property
    def ready(self) -> bool:
        """Whether all that was acknowledged before the start is merged, and there is a route to serve."""
        return self.routing.complete and self.routing.route_count > 0

    # The link to a control node.

    def handle_message(self, message: msgspec.Struct) -> list[msgspec.Struct]:
        """Apply a message of the control node; return the replies."""
        now = self.monotonic_ns()
        match message:
            case proxy_link.ItemUpdate():
                self._merge_items(now, message)
            case proxy_link.BackendUpdate():
                for instance in self.backend_view.update(now, message):
                    self.connections.drop(instance)
                self._limit_connections(
                    self.backend_view.instances[backend.id] for backend in message.updated
                )
            case proxy_link.TableEntry():
                self.backend_view.update_entry(message)
            case proxy_link.BindTable():
                self.backend_view.bind_table(message)
            case proxy_link.EjectBackend():
                self.backend_view.set_ejected(message.backend_id, message.ejected)
            case proxy_link.ControlNodeHeartbeat():
                if message.max_proxies != self.max_proxies:
                    self.max_proxies = max(1, message.max_proxies)
                    self._limit_connections(self.backend_view.instances.values())
            case proxy_link.Barrier():
                return [message]
        return []

    def link_opened(self) -> None:
        """A link to a control node begins. Tables stay in use until the new node binds others."""
        self.routing.begin_link()

    def link_closed(self) -> None:
        """The link was lost: the proxy serves on with what it knows."""

    def hello(self) -> proxy_link.Hello:
        """Return the state that the proxy tells a control node."""
        return proxy_link.Hello(
            self.settings.name,
            self._incarnation,
            self.settings.zone,
            self.settings.listen_addresses.get("Front", ""),
            self.ready,
            self.draining,
        )

    def take_report(self, now: int) -> proxy_link.LoadReport:
        """Return requests by pool and results by backend since the last call, and count from zero again."""
        interval_ms = (now - self._last_report_at) // NS_PER_MS
        self._last_report_at = now
        loads = list[proxy_link.BackendLoad]()
        for instance in self.backend_view.instances.values():
            if instance.attempts:
                mean_latency_ms = instance.total_time_ns // instance.attempts // NS_PER_MS
                loads.append(
                    proxy_link.BackendLoad(instance.id, instance.attempts, instance.failures, mean_latency_ms)
                )
                instance.attempts = instance.failures = instance.total_time_ns = 0
        request_counts, self.request_counts = self.request_counts, {}
        self.connections.close_expired()
        return proxy_link.LoadReport(interval_ms, request_counts, tuple(loads))

    def _merge_items(self, now: int, message: proxy_link.ItemUpdate) -> None:
        for item in self.routing.merge(message.items):
            if item.kind == items.ZONE:
                if item.body == b"true":
                    self.backend_view.start_evacuation(item.name)
                else:
                    self.backend_view.end_evacuation(now, item.name)
            elif item.kind == items.INSTANCE and item.version[0] >= 1:
                self.backend_view.retire(item.name)
            elif item.kind == items.COLLECTED_INSTANCES_KIND:
                self.backend_view.forget_retired(items.collected_instance_ids(item))
            elif item.kind == items.SERVICE:
                self._limit_connections(self.backend_view.instances_of(item.name))
        if message.complete:
            self.routing.complete_link()
        if self.routing.complete:
            self.configuration_loaded.set()

    def _limit_connections(self, instances: Iterable[BackendInstance]) -> None:
        """Give this proxy an equal share of the connections that a backend takes from all."""
        for instance in instances:
            connection_cap = self.routing.service(instance.service).connection_cap
            share = int(CONNECTION_SHARE * connection_cap / self.max_proxies)
            instance.max_in_flight = max(MIN_CONNECTIONS, share)

    # The end of the process.

    def start_draining(self) -> None:
        """From now on each response asks the client to close, and the proxy is not ready."""
        self.draining = True

    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self.admission.in_flight == 0

    # Requests.

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve a client's request, or on the readiness port the platform's check (ASGI 3)."""
        if scope["type"] != "http":
            return
        if scope["server"][1] == self._readiness_port:
            await self._serve_readiness(scope["raw_path"], send)
            return
        self.admission.in_flight += 1
        has_many = self.admission.in_flight >= MANY_IN_FLIGHT
        self.connections.response_buffer_size = RESPONSE_BUFFER_MIN if has_many else RESPONSE_BUFFER_MAX
        try:
            await RequestHandler(self, scope, receive, send).run()
        finally:
            self.admission.in_flight -= 1

    async def _serve_readiness(self, path: bytes, send: Send) -> None:
        if path != READINESS_PATH:
            status = 404
        else:
            status = 200 if self.ready and not self.draining else SERVICE_UNAVAILABLE
        await send_empty_response(self, send, status)

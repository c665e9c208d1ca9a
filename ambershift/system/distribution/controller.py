"""Sends the proxies linked to this node the configuration items, the endpoint list and their tables."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from ambershift.system.distribution.assigner import TableChanges
from ambershift.system.distribution.pool_assigners import REMOTE_RATES_INTERVAL_NS, PoolAssigners
from ambershift.system.distribution.proxy_updates import ProxyUpdates
from ambershift.system.distribution.traffic_rates import TrafficRates
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

HEARTBEAT_INTERVAL_NS = 400 * NS_PER_MS
REMOTE_PROXIES_INTERVAL_NS = 250 * NS_PER_MS
# For how long links share one endpoint list. A list tells how long backends still warm up, so with an older
# one proxies would take them for cold for longer.
ENDPOINT_LIST_MAX_AGE_NS = 250 * NS_PER_MS
QUORUM_READ_TIMEOUT_S = 1.0
QUORUM_READ_RETRY_DELAY_S = 0.2
EVENT_PROXY_LINKED = 321
EVENT_PROXY_LOST = 322

SendMessage = Callable[[str, msgspec.Struct], None]


class Controller:
    """What one control node sends to the proxies linked to it. Times are ns of the steady clock.

    Attributes:
        pool_assigners: Decides the tables of each pool.
        proxy_updates: What the proxies have been sent of items and of the endpoint list.
        traffic_rates: Request rates at the proxies linked here.
        hellos: The newest Hello of each linked proxy, by name.
        completion_task: Tells proxies that they have all items; None while none waits for it.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        replicated_state: ReplicatedState,
        registry: RegistryService,
        send_proxy: SendMessage,
        send_control_node: SendMessage,
        steady: Callable[[], int],
        seed: int,
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        """Start without proxies.

        Args:
            settings: The control node's settings; the zones count here.
            replicated_state: Configuration items and control nodes.
            registry: Backends, and the proxies and rates at other control nodes.
            send_proxy: Sends to a proxy by its name; without a link the message is lost.
            send_control_node: Sends to a control node by its ip; not used, the registry sends what is needed.
            steady: The steady clock, in ns.
            seed: Of the assigners' seeds.
            log: Writes an event, by its number and fields.
        """
        self.pool_assigners = PoolAssigners(settings.zones, seed)
        self.proxy_updates = ProxyUpdates()
        self.traffic_rates = TrafficRates()
        self.hellos: dict[str, Hello] = {}
        self.completion_task: asyncio.Task[None] | None = None
        self._replicated_state = replicated_state
        self._registry = registry
        self._send_proxy = send_proxy
        self._steady = steady
        self._log = log
        self._ejected_ids: set[str] = set()
        # Barriers that a proxy hasn't returned: number, when it was sent, and for each pool with changes
        # before it the pool's name and the number of its mark.
        self._barriers = defaultdict[str, deque[tuple[int, int, list[tuple[str, int]]]]](deque)
        self._last_barrier = 0
        self._heartbeats_sent_at = 0
        self._remote_proxies_at = 0
        self._list_complete = False  # Whether the registry knows all backends since its start.
        self._stored_items_sent = False
        self._routes_current = False
        self._control_nodes: tuple[ControlNodeAddress, ...] = ()  # As all linked proxies have been told.
        self._endpoint_list: BackendUpdate | None = None
        self._endpoint_list_at = 0
        replicated_state.subscribe(self._on_items)
        registry.listen(self._on_endpoints)

    # Proxies.
    def proxy_linked(self, name: str) -> None:
        """A proxy has dialled a new link, and its first message hasn't come yet.

        What was sent on an earlier link is sent again after its Hello. The proxy gets a heartbeat at once: by
        that it decides whether to send its Hello here.
        """
        self.hellos.pop(name, None)
        self._send_proxy(name, self._heartbeat(self._replicated_state.control_nodes()))

    def receive_from_proxy(self, name: str, message: msgspec.Struct) -> None:
        """Handle a message of a proxy; before its Hello all others are dropped."""
        if isinstance(message, Hello):
            self._on_hello(message)
            return
        self._registry.proxy_contacted(name)
        if name not in self.hellos:
            return
        if isinstance(message, LoadReport) and message.interval_ms > 0:
            self.traffic_rates.report(
                self._steady(),
                name,
                self.hellos[name].zone,
                message.interval_ms * NS_PER_MS,
                message.requests,
            )
            self.pool_assigners.record_load(name, message)
        elif isinstance(message, Barrier):
            self._on_barrier(name, message.number)

    def proxy_lost(self, name: str) -> None:
        """The link of a proxy has ended, and no newer one has replaced it."""
        if name in self.hellos:  # Many proxies end the link after the first heartbeat (`CandidateProbe`).
            self._log(EVENT_PROXY_LOST, {"proxy": name})
        self._registry.proxy_disconnected(name)
        self._remove_proxy(name)

    def _remove_proxy(self, name: str) -> None:
        self.hellos.pop(name, None)
        self.proxy_updates.remove_proxy(name)
        self.traffic_rates.remove_proxy(name)
        self._barriers.pop(name, None)
        self.pool_assigners.remove_proxy(name)

    def _on_hello(self, hello: Hello) -> None:
        known = self.hellos.get(hello.name)
        self._registry.proxy_connected(hello)
        if known and known.incarnation == hello.incarnation and known != hello:
            self.hellos[hello.name] = hello
            return  # The same link: only the proxy's state has changed.
        self._log(
            EVENT_PROXY_LINKED,
            {"proxy": hello.name, "incarnation": hello.incarnation, "ready": hello.ready},
        )
        self._remove_proxy(hello.name)
        self.hellos[hello.name] = hello
        self._list_complete = self._list_complete or self._registry.is_complete()
        items = self._replicated_state.items().values()
        self._send_all(self.proxy_updates.add_proxy(hello.name, items, self._current_endpoint_list()))
        # It comes after the items: from here on the heartbeat's staleness is that of what the proxy has.
        self._send_proxy(hello.name, self._heartbeat(self._replicated_state.control_nodes()))
        self.pool_assigners.add_proxy(hello.name, hello.zone, "", hello.incarnation)
        if self.completion_task is None:
            self.completion_task = asyncio.ensure_future(self._confirm_completion())

    async def _confirm_completion(self) -> None:
        """Read a quorum after a Hello, until each proxy was told that it has all (`ItemUpdate.complete`)."""
        try:
            while links := self.proxy_updates.awaiting_completion():
                try:
                    await self._replicated_state.read_quorum(QUORUM_READ_TIMEOUT_S)
                except (OutcomeUnknownError, NotAppliedError):
                    await asyncio.sleep(QUORUM_READ_RETRY_DELAY_S)
                    continue
                items = self._replicated_state.items().values()
                self._send_all(self.proxy_updates.confirm_complete(links, items))
        finally:
            self.completion_task = None

    def _on_barrier(self, name: str, number: int) -> None:
        """A proxy has returned a barrier, and with it all earlier ones."""
        barriers, now = self._barriers[name], self._steady()
        while barriers and barriers[0][0] <= number:
            _, sent_at, pool_marks = barriers.popleft()
            for pool, mark in pool_marks:
                if assigner := self.pool_assigners.assigners.get(pool):
                    assigner.record_applied(mark, name, now - sent_at)

    # Other control nodes.
    def receive_from_control_node(self, ip: str, message: msgspec.Struct) -> None:
        """Nothing to do: the registry keeps all that other control nodes report."""

    def control_node_linked(self, ip: str) -> None:
        """Another control node has dialled this one."""
        self._registry.peer_connected(ip)

    # Changes of the replicated state and of the registry.
    def _on_items(self, items: Sequence[Item]) -> None:
        self._send_all(self.proxy_updates.update_items(items))
        self._routes_current &= not any(
            item.kind in (ROUTE, ZONE, COLLECTED_TOMBSTONES_KIND) for item in items
        )

    def _on_endpoints(self, updated: Sequence[Instance], removed_ids: Sequence[str]) -> None:
        self._endpoint_list = None
        self.proxy_updates.record_backends(self._backends(updated), removed_ids)
        self.pool_assigners.update_backends(self._steady(), updated, removed_ids)
        self._ejected_ids.difference_update(removed_ids)

    def _current_endpoint_list(self) -> BackendUpdate:
        """The endpoint list in one message, at most `ENDPOINT_LIST_MAX_AGE_NS` old.

        After the loss of a control node hundreds of proxies link at once, and all are sent the same message.
        """
        now = self._steady()
        if (
            self._endpoint_list is None
            or self._endpoint_list.complete != self._list_complete
            or now > self._endpoint_list_at + ENDPOINT_LIST_MAX_AGE_NS
        ):
            backends = self._backends(self._registry.endpoints().values())
            self._endpoint_list = BackendUpdate(tuple(backends), (), self._list_complete)
            self._endpoint_list_at = now
        return self._endpoint_list

    def _backends(self, instances: Iterable[Instance]) -> list[Backend]:
        now = self._steady()
        return [backend_of(instance, now) for instance in instances]

    # Time.
    def tick(self) -> None:
        """To be called about every 50 ms, after the registry's."""
        now = self._steady()
        if not self._stored_items_sent:
            self._stored_items_sent = True
            self._on_items(list(self._replicated_state.items().values()))
        if not self._list_complete and self._registry.is_complete():
            self._list_complete = True
            backends = self._backends(self._registry.endpoints().values())
            self._send_all(self.proxy_updates.send_complete_list(backends))
        if not self._routes_current:
            self._routes_current = True
            self.pool_assigners.update_routes(self._replicated_state.items().values())
        if now >= self._remote_proxies_at + REMOTE_PROXIES_INTERVAL_NS:
            self._remote_proxies_at = now
            self.pool_assigners.update_remote_proxies(self._registry.proxies())
        if now >= self.pool_assigners.remote_rates_at + REMOTE_RATES_INTERVAL_NS:
            self.pool_assigners.record_remote_rates(now, self._registry.peer_rates())
        changed, removed = self.traffic_rates.take_changes(now, self.pool_assigners.pools.keys())
        if changed or removed:
            self._registry.rates_changed(changed, removed)
        self._send_all(self.proxy_updates.flush())
        # Tables computed from an incomplete list would send all traffic to few backends.
        if self._list_complete:
            self._send_table_changes(now, self.pool_assigners.step(now))
        if now >= self._heartbeats_sent_at + HEARTBEAT_INTERVAL_NS:
            self._heartbeats_sent_at = now
            self._send_heartbeats()

    def _send_table_changes(self, now: int, pool_changes: Sequence[tuple[str, TableChanges]]) -> None:
        """Send ejections of all pools, then table entries and binds, then a barrier to whoever got any."""
        # A backend may be in several pools, and is ejected at the proxies once.
        for id in {id for _, changes in pool_changes for id in changes.ejected_ids} - self._ejected_ids:
            self._ejected_ids.add(id)
            for name in self.hellos:
                self._send_proxy(name, EjectBackend(id, True))
        marks_by_proxy = defaultdict[str, list[tuple[str, int]]](list)
        for pool, changes in pool_changes:
            for name, message in changes.messages:
                self._send_proxy(name, message)
            for mark, names in changes.barriers:
                for name in names:
                    marks_by_proxy[name].append((pool, mark))
        for name, pool_marks in marks_by_proxy.items():
            self._last_barrier += 1
            self._barriers[name].append((self._last_barrier, now, pool_marks))
            self._send_proxy(name, Barrier(self._last_barrier))

    def _send_heartbeats(self) -> None:
        """Send all linked proxies a heartbeat, with the control nodes if these have changed."""
        control_nodes = tuple(self._replicated_state.control_nodes())
        heartbeat = self._heartbeat(() if control_nodes == self._control_nodes else control_nodes)
        self._control_nodes = control_nodes
        for name in self.hellos:
            self._send_proxy(name, heartbeat)

    def _heartbeat(self, control_nodes: Sequence[ControlNodeAddress]) -> ControlNodeHeartbeat:
        return ControlNodeHeartbeat(
            tuple(control_nodes),
            self._replicated_state.has_quorum_contact(),
            self._registry.max_proxies(),
            self._replicated_state.contact_age_ms(),
        )

    def _send_all(self, sends: Sequence[Send]) -> None:
        for send in sends:
            self._send_proxy(send.recipient, send.message)

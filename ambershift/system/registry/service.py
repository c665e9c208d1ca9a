"""The registry service: feeds the state machine with calls, messages and time, and executes its effects."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import msgspec

from ambershift.system.interfaces import ReplicatedState
from ambershift.system.messages.items import COLLECTED_INSTANCES_KIND, INSTANCE, Item, collected_instance_ids
from ambershift.system.messages.proxy_link import Hello
from ambershift.system.messages.registry_sync import (
    FullStateRequest,
    PoolRate,
    RegistryDelta,
    RevisionAnnouncement,
)
from ambershift.system.registry import events
from ambershift.system.registry.address_resolution import AddressResolver
from ambershift.system.registry.endpoint_list import DRAINING_VERSION, REMOVED_VERSION
from ambershift.system.registry.heartbeat_redirect import nearer_control_node
from ambershift.system.registry.heartbeats import HeartbeatError, check_instance_id, parse_heartbeat
from ambershift.system.registry.home_regions import HomeRegions
from ambershift.system.registry.records import Instance, ProxyRecord
from ambershift.system.registry.snapshot import (
    SnapshotError,
    SnapshotSchedule,
    decode_snapshot,
    encode_snapshot,
)
from ambershift.system.registry.state_machine import RegistryStateMachine
from ambershift.system.registry.tombstones import HttpAnswer, TombstoneWriter
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_SECOND, LogEvent, MessageReceived, PeerConnected, Send

# Told while some proxies may not have been heard yet: proxies share the load of an instance that warms up by
# this number, and too few would send it too much.
PROXIES_WHILE_INCOMPLETE = 256
RATES_INTERVAL_NS = NS_PER_SECOND

# Numbers of the log's events.
SNAPSHOT_LOADED_EVENT = 304
SNAPSHOT_UNREADABLE_EVENT = 305

EndpointsListener = Callable[[Sequence[Instance], Sequence[str]], None]


class SnapshotFile(Protocol):
    """Where the snapshot is kept over a restart (`consensus/cache_file.py`).

    Attributes:
        failed: The last write has failed.
    """

    failed: bool

    def write(self, encode: Callable[[], bytes]) -> bool:
        """Begin to write what `encode` returns; False if another write is under way."""
        ...


@dataclass(frozen=True, slots=True)
class RegistryIO:
    """What the registry service uses of its process.

    Attributes:
        send: Sends a message to a control node, by its ip. The message may get lost.
        steady: Returns the time of the steady clock (ns).
        log: Writes an event to the log, by number and fields.
        cache_file: For the snapshot; without one the endpoint list is in memory only.
    """

    send: Callable[[str, msgspec.Struct], None]
    steady: Callable[[], int]
    log: Callable[[int, dict[str, Any]], None]
    cache_file: SnapshotFile | None = None


class RegistryService:
    """Backends and proxies as one control node knows them, on one event loop.

    Attributes:
        settings: Of this control node.
        state_machine: What it knows.
        tombstones: Writes tombstones to enough copies.
        snapshot_schedule: When the snapshot is written.
        cache_file: For the snapshot; None: it isn't written.
    """

    def __init__(
        self, settings: ProcessSettings, replicated_state: ReplicatedState, io: RegistryIO, seed: int
    ) -> None:
        """Make the service of a process that has just begun.

        Args:
            settings: Of this control node.
            replicated_state: Stores tombstones, and tells which control nodes there are.
            io: What it uses of the process.
            seed: For the process's incarnation and the order of addresses.
        """
        rng = random.Random(seed)
        self.settings = settings
        self.state_machine = RegistryStateMachine(
            rng.getrandbits(31), int(settings.heartbeat_interval_s * NS_PER_SECOND)
        )
        self.tombstones = TombstoneWriter(replicated_state, settings.ip)
        self.snapshot_schedule = SnapshotSchedule()
        self.cache_file = io.cache_file
        self._replicated_state = replicated_state
        self._io = io
        self._control_port = settings.listen_addresses.get("Control", "").rpartition(":")[2]
        self._home_regions = HomeRegions()
        self._resolver = AddressResolver(settings.zones, rng, self._reachable_proxies)
        self._listeners = list[EndpointsListener]()
        self._items_loaded = False
        self._snapshot_counts_proxies = False
        self._rates_at = -NS_PER_SECOND
        replicated_state.subscribe(self._on_items)

    # Calls of backends and clients.

    async def heartbeat(self, id: str, body: Any) -> HttpAnswer:
        """Answer a backend's heartbeat. Draining is acknowledged once enough copies have stored it."""
        try:
            heartbeat = parse_heartbeat(id, body)
        except HeartbeatError as error:
            return 400, {"Error": str(error)}
        self._step(heartbeat)
        if heartbeat.draining:
            return await self.tombstones.write(id, DRAINING_VERSION, heartbeat.service, heartbeat.address)
        if not self._replicated_state.has_quorum_contact():
            # The peers would time it out if it stayed here: it has to call another control node.
            return 503, {"Error": "out of touch"}
        target = nearer_control_node(id, heartbeat.zone, self.settings, self._replicated_state)
        if target is None or not self._control_port:
            return 200, {}
        return 200, {"HeartbeatTarget": f"{target}:{self._control_port}"}

    async def deregister(self, id: str) -> HttpAnswer:
        """Answer a backend's sign-off. It is acknowledged once enough copies have stored it."""
        try:
            check_instance_id(id)
        except HeartbeatError as error:
            return 400, {"Error": str(error)}
        instance = self.state_machine.endpoint_list.instances.get(id)
        service = instance.service if instance else ""
        address = instance.address if instance else ""
        return await self.tombstones.write(id, REMOVED_VERSION, service, address)

    def proxy_addresses(self, region: str, zone: str, host: str = "") -> list[str]:
        """Return addresses (ip:port) where clients of a place are best served, in an order that varies.

        Args:
            region: The client's region; empty if only the zone is known.
            zone: The client's zone; empty if unknown.
            host: The host that the client's requests are for; empty for any.

        Returns:
            At most `address_resolution.MAX_ADDRESSES` addresses; none if no proxy is ready.
        """
        homes = self._home_regions.regions_for(host, region or self.settings.zones.get(zone, ""))
        return self._resolver.resolve(self._io.steady(), region, zone, homes)

    # Calls of the process.

    def load_snapshot(self, data: bytes | None) -> None:
        """Load what the cache file held when this process began.

        Call it first, and once the replicated state is there. None: there was no file.
        """
        self._load_items()
        if data is None:
            return
        try:
            max_proxies, instances = decode_snapshot(self.settings.ip, self._io.steady(), data)
        except SnapshotError as error:
            self._io.log(SNAPSHOT_UNREADABLE_EVENT, {"reason": error.reason})
            return
        self._io.log(SNAPSHOT_LOADED_EVENT, {"instances": len(instances)})
        self._snapshot_counts_proxies = max_proxies > 0
        self._step(events.SnapshotLoaded(max_proxies, tuple(instances)))

    def tick(self) -> None:
        """Note that time has passed. Call it about every 50 ms."""
        self._load_items()
        if self._io.steady() >= self._rates_at + RATES_INTERVAL_NS:
            self._rates_at = self._io.steady()
            self._home_regions.update(self.state_machine.exchange.total_rates())
        self._save_snapshot(self._io.steady())
        own_ip, state = self.settings.ip, self._replicated_state
        peers = [node.ip for node in state.control_nodes() if node.ip != own_ip]
        live_peers = frozenset(ip for ip in peers if state.is_alive(ip))
        self._step(events.ContactTick(state.has_quorum_contact(), live_peers, tuple(peers)))
        # One control node collects for all: the live one with the least ip.
        if state.has_quorum_contact() and all(own_ip < ip for ip in live_peers):
            self.tombstones.collect(self.state_machine.expired_tombstones(self._io.steady()))

    def receive(self, ip: str, message: msgspec.Struct) -> None:
        """Apply a message of another control node, if it is one for the registry."""
        if isinstance(message, RegistryDelta | RevisionAnnouncement | FullStateRequest):
            self._step(MessageReceived(ip, message))

    # Calls of the controller (`distribution/`).

    def listen(self, listener: EndpointsListener) -> None:
        """Call `listener` with endpoints that are new or have changed, and with ids that have left."""
        self._listeners.append(listener)

    def peer_connected(self, ip: str) -> None:
        """Note that a link to another control node is up."""
        self._step(PeerConnected(ip))

    def proxy_connected(self, hello: Hello) -> None:
        """Note the `Hello` of a proxy that is linked here."""
        self._resolver.invalidate()
        self._step(events.ProxyConnected(hello))

    def proxy_contacted(self, name: str) -> None:
        """Note a message of any kind of a proxy that is linked here."""
        self._step(events.ProxyContacted(name))

    def proxy_disconnected(self, name: str) -> None:
        """Note the end of a proxy's link."""
        self._step(events.ProxyDisconnected(name))

    def rates_changed(self, rates: Sequence[PoolRate], removed: Sequence[tuple[str, str]]) -> None:
        """Note request rates at the proxies linked here that differ from before, and those that are gone.

        Args:
            rates: New and changed rates.
            removed: Zone and pool of rates that no longer exist.
        """
        self._step(events.RatesChanged(tuple(rates), tuple(removed)))

    def is_complete(self) -> bool:
        """Tell whether this process has been in contact long enough to know all that send heartbeats."""
        return self.state_machine.health.is_complete

    def endpoints(self) -> Mapping[str, Instance]:
        """Return the endpoint list, by instance id."""
        return self.state_machine.endpoint_list.endpoints

    def proxies(self) -> Mapping[str, tuple[str, ProxyRecord]]:
        """Return proxies by name, with the control node each is linked to ("": this one)."""
        return self.state_machine.proxies(self._io.steady())

    def peer_rates(self) -> Mapping[tuple[str, str, str], int]:
        """Return requests per 100 s at proxies linked to peers, by peer, zone and pool."""
        return self.state_machine.exchange.peer_rates()

    def max_proxies(self) -> int:
        """Return how many proxies there may be: those known at once, a quarter more, and one a zone."""
        known = self.state_machine.max_proxies(self._io.steady())
        if not self.is_complete() and not self._snapshot_counts_proxies:
            return max(known, PROXIES_WHILE_INCOMPLETE)
        return known + -(-known // 4) + len(self.settings.zones)

    def _step(self, event: events.Event) -> None:
        for effect in self.state_machine.step(self._io.steady(), event):
            match effect:
                case Send():
                    self._io.send(effect.recipient, effect.message)
                case LogEvent():
                    self._io.log(effect.number, effect.fields)
                case events.EndpointsChanged():
                    self.snapshot_schedule.changed = True
                    for listener in self._listeners:
                        listener(effect.updated, effect.removed)

    def _reachable_proxies(self, now: int) -> list[ProxyRecord]:
        """Return the proxies to send clients to.

        One whose control node has been silent for a moment may be lost together with it, and is soon linked
        elsewhere if it isn't. It is left out while at least half of the proxies remain.
        """
        ready = [
            (node, proxy)
            for node, proxy in self.state_machine.proxies(now).values()
            if proxy.ready and not proxy.draining
        ]
        confirmed = [proxy for node, proxy in ready if not node or self._replicated_state.is_responsive(node)]
        return confirmed if 2 * len(confirmed) >= len(ready) else [proxy for _, proxy in ready]

    def _load_items(self) -> None:
        if not self._items_loaded:  # Not in the constructor: the disk may not have been read by then.
            self._items_loaded = True
            self._on_items(list(self._replicated_state.items().values()))

    def _on_items(self, items: Sequence[Item]) -> None:
        if versions := tuple((item.name, item.version[0]) for item in items if item.kind == INSTANCE):
            self._step(events.TombstonesMerged(versions))
        for item in items:
            if item.kind == COLLECTED_INSTANCES_KIND:
                self._step(events.TombstonesCollected(tuple(collected_instance_ids(item))))

    def _save_snapshot(self, now: int) -> None:
        # A list with a part of the instances would, after a restart, send all traffic to few of them.
        if self.cache_file is None or not self.is_complete():
            return
        self.snapshot_schedule.changed |= self.cache_file.failed
        max_proxies = self.state_machine.max_proxies(now)
        if not self.snapshot_schedule.due(now, max_proxies):
            return
        endpoint_list = self.state_machine.endpoint_list
        reported = [
            instance
            for id, instance in endpoint_list.endpoints.items()
            if id not in endpoint_list.unreported_since
        ]
        if self.cache_file.write(partial(encode_snapshot, self.settings.ip, now, max_proxies, reported)):
            self.snapshot_schedule.written(now, max_proxies, reported)

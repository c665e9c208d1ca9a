"""The registry's shell: beats and sign-offs in, the list and the directory out, on one event loop."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, Protocol

import msgspec

from ambershift.system.interfaces import ReplicatedState
from ambershift.system.messages.items import CLEARED, INSTANCE, Item, cleared_instances
from ambershift.system.messages.proxy_link import Backend, Hello
from ambershift.system.messages.registry_sync import (
    FullStateRequest,
    PoolRate,
    RegistryDelta,
    RevisionAnnouncement,
)
from ambershift.system.registry.endpoint_list import DRAINING_VERSION, REMOVED_VERSION
from ambershift.system.registry.events import (
    ContactTick,
    EndpointsChanged,
    Event,
    PeerConnected,
    ProxyConnected,
    ProxyContacted,
    ProxyDisconnected,
    RatesChanged,
    SnapshotLoaded,
    TombstonesCollected,
    TombstonesMerged,
)
from ambershift.system.registry.heartbeats import HeartbeatError, check_instance_id, parse_heartbeat
from ambershift.system.registry.home_regions import HomeRegions
from ambershift.system.registry.proxy_directory import MAX_ADDRESSES, nearest_proxies
from ambershift.system.registry.records import Instance, ProxyRecord
from ambershift.system.registry.snapshot import (
    SnapshotError,
    SnapshotSchedule,
    decode_snapshot,
    encode_snapshot,
)
from ambershift.system.registry.state_machine import RegistryStateMachine
from ambershift.system.registry.tombstones import HttpAnswer, TombstoneWriter
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, LogEvent, MessageReceived, Send

PROXIES_WHILE_INCOMPLETE = (
    256  # Told while proxies may not have been heard yet: too few would let too much to cold ones.
)
DIRECTORY_CACHE_NS = 50 * NS_PER_MS  # Against merging it for each of many clients.
RATES_INTERVAL_NS = NS_PER_SECOND
MAX_CACHED_PLACES = 1000  # Callers may name any place.
SNAPSHOT_LOADED_EVENT, SNAPSHOT_UNREADABLE_EVENT = 304, 305  # Numbers of the log's events.


class CacheFile(Protocol):
    """Where the list is kept over a restart (`consensus/cache_file.py`)."""

    failed: bool

    def write(self, make: Callable[[], bytes]) -> bool: ...


SendMessage = Callable[[str, msgspec.Struct], None]
WriteLog = Callable[[int, dict[str, Any]], None]


class RegistryService:
    def __init__(
        self,
        settings: Local,
        ledger: ReplicatedState,
        send: SendMessage,
        steady: Callable[[], int],
        seed: int,
        log: WriteLog,
        side: CacheFile | None = None,
    ) -> None:
        """`side`: without one the list is in memory only."""
        self.settings, self.ledger, self.send, self.steady, self.log = settings, ledger, send, steady, log
        self.rng = random.Random(seed)
        self.state_machine = RegistryStateMachine(
            self.rng.getrandbits(31), int(settings.heartbeat * NS_PER_SECOND)
        )
        self.port = settings.listen.get("Control", "").rpartition(":")[2]
        self.tombstones = TombstoneWriter(ledger, settings.ip)
        self.home_regions = HomeRegions()
        # Addresses for a region, zone and homes, of the proxies known.
        self._nearest = dict[tuple[str, str, frozenset[str]], list[str]]()
        self._listeners = list[Callable[[Sequence[Instance], Sequence[str]], None]]()
        self._items_loaded = False
        self.cache_file, self.snapshot_schedule = side, SnapshotSchedule()
        self._max_proxies_known = False  # Whether the disk has told how many proxies there may be.
        self._proxies_at, self._proxies = -NS_PER_SECOND, list[ProxyRecord]()
        self._rates_at = -NS_PER_SECOND
        ledger.subscribe(self._on_items)

    async def heartbeat(self, id: str, body: Any) -> HttpAnswer:
        """A backend's beat: HTTP's status and the body. Draining is acknowledged once it is held."""
        try:
            beat = parse_heartbeat(id, body)
        except HeartbeatError as why:
            return 400, {"Error": f"{why.field}: {why.reason}"}
        self._step(beat)
        if beat.draining:
            return await self.tombstones.write(id, DRAINING_VERSION, beat.service, beat.address)
        if not self.ledger.has_quorum_contact():
            # The others would take it for silent if it kept to us: it is to call another one.
            return 503, {"Error": "out of touch"}
        target = self._heartbeat_target(id, beat.zone)
        return 200, {"HeartbeatTarget": target} if target else {}

    async def deregister(self, id: str) -> HttpAnswer:
        """A backend signs off."""
        try:
            check_instance_id(id)
        except HeartbeatError as why:
            return 400, {"Error": f"{why.field}: {why.reason}"}
        life = self.state_machine.endpoint_list.instances.get(id)
        return await self.tombstones.write(
            id, REMOVED_VERSION, life.service if life else "", life.address if life else ""
        )

    def proxy_addresses(self, region: str, zone: str, host: str = "") -> list[str]:
        """Where clients of this place are best served, in an order that varies; empty if nobody is ready."""
        homes = self.home_regions.regions_for(host, region or self.settings.zones.get(zone, ""))
        now = self.steady()
        if now > self._proxies_at + DIRECTORY_CACHE_NS:
            self._proxies_at, self._proxies = now, self._reachable_proxies(now)
            self._nearest.clear()
        if (found := self._nearest.get((region, zone, homes))) is None:
            found = [
                one.address
                for one in nearest_proxies(self._proxies, region, zone, self.settings.zones, homes)
            ]
            if len(self._nearest) < MAX_CACHED_PLACES:
                self._nearest[region, zone, homes] = found
        return self.rng.sample(found, min(len(found), MAX_ADDRESSES))

    def load_snapshot(self, data: bytes | None) -> None:
        """What the side file held when this process began; to be called first, the ledger being there."""
        self._load_items()
        if data is None:
            return
        try:
            most, lives = decode_snapshot(self.settings.ip, self.steady(), data)
        except SnapshotError as why:
            self.log(SNAPSHOT_UNREADABLE_EVENT, {"reason": why.reason})
            return
        self.log(SNAPSHOT_LOADED_EVENT, {"lives": len(lives)})
        self._max_proxies_known = most > 0
        self._step(SnapshotLoaded(most, tuple(lives)))

    def tick(self) -> None:
        """To be called about every 50 ms."""
        self._load_items()
        if self.steady() >= self._rates_at + RATES_INTERVAL_NS:
            self._rates_at = self.steady()
            self.home_regions.update(self.state_machine.total_rates())
        self._save_snapshot(self.steady())
        ips = [core.ip for core in self.ledger.control_nodes() if core.ip != self.settings.ip]
        alive = frozenset(ip for ip in ips if self.ledger.is_alive(ip))
        self._step(ContactTick(self.ledger.has_quorum_contact(), alive, tuple(ips)))
        if self.ledger.has_quorum_contact() and all(self.settings.ip < ip for ip in alive):
            self.tombstones.collect(self.state_machine.expired_tombstones(self.steady()))

    def receive(self, ip: str, message: msgspec.Struct) -> None:
        if isinstance(message, RegistryDelta | RevisionAnnouncement | FullStateRequest):
            self._step(MessageReceived(ip, message))

    def peer_connected(self, ip: str) -> None:
        self._step(PeerConnected(ip))

    # For the controller.
    def listen(self, heard: Callable[[Sequence[Instance], Sequence[str]], None]) -> None:
        """Call `heard` with what is new or changed on the list, and with the ids gone from it."""
        self._listeners.append(heard)

    def proxy_connected(self, hello: Hello) -> None:
        self._proxies_at = -NS_PER_SECOND
        self._step(ProxyConnected(hello))

    def proxy_contacted(self, proxy: str) -> None:
        self._step(ProxyContacted(proxy))

    def proxy_disconnected(self, proxy: str) -> None:
        self._step(ProxyDisconnected(proxy))

    def rates_changed(self, flows: Sequence[PoolRate], gone: Sequence[tuple[str, str]]) -> None:
        self._step(RatesChanged(tuple(flows), tuple(gone)))

    def is_complete(self) -> bool:
        """Whether this process has been in touch long enough to know all that beat."""
        return self.state_machine.is_complete

    def endpoints(self) -> Mapping[str, Instance]:
        """The list."""
        return self.state_machine.endpoint_list.endpoints

    def proxies(self) -> Mapping[str, tuple[str, ProxyRecord]]:
        """Proxies by name, with the control node each is linked to ("": this one)."""
        return self.state_machine.proxies(self.steady())

    def peer_rates(self) -> Mapping[tuple[str, str, str], int]:
        return self.state_machine.peer_rates()

    def max_proxies(self) -> int:
        """How many proxies there may be at the most: those known at once, a quarter more, one a zone."""
        most = self.state_machine.max_proxies(self.steady())
        if not self.state_machine.is_complete and not self._max_proxies_known:
            return max(most, PROXIES_WHILE_INCOMPLETE)
        return most + -(-most // 4) + len(self.settings.zones)

    def _step(self, event: Event) -> None:
        for effect in self.state_machine.step(self.steady(), event):
            match effect:
                case Send():
                    self.send(effect.recipient, effect.message)
                case LogEvent():
                    self.log(effect.number, effect.fields)
                case EndpointsChanged():
                    self.snapshot_schedule.changed = True
                    for heard in self._listeners:
                        heard(effect.updated, effect.removed)

    def _reachable_proxies(self, now: int) -> list[ProxyRecord]:
        """Proxies to send clients to. One whose node has been silent for a moment may be lost with it, and
        is back elsewhere soon if it isn't: it is left out while at least half are left."""
        known = [
            one for one in self.state_machine.proxies(now).values() if one[1].ready and not one[1].draining
        ]
        sure = [proxy for keeper, proxy in known if not keeper or self.ledger.is_responsive(keeper)]
        return sure if 2 * len(sure) >= len(known) else [proxy for _, proxy in known]

    def _load_items(self) -> None:
        if not self._items_loaded:  # Only now is what the disk holds surely there.
            self._items_loaded = True
            self._on_items(list(self.ledger.items().values()))

    def _save_snapshot(self, now: int) -> None:
        # A list heard in part would, recalled, press all traffic on few.
        if self.cache_file is None or not self.state_machine.is_complete:
            return
        self.snapshot_schedule.changed |= self.cache_file.failed
        most = self.state_machine.max_proxies(now)
        if not self.snapshot_schedule.due(now, most):
            return
        listing = self.state_machine.endpoint_list
        lives = [life for id, life in listing.endpoints.items() if id not in listing.unreported_since]
        if self.cache_file.write(partial(encode_snapshot, self.settings.ip, now, most, lives)):
            self.snapshot_schedule.written(now, most, lives)

    def _on_items(self, items: Sequence[Item]) -> None:
        if ended := tuple((one.name, one.version[0]) for one in items if one.kind == INSTANCE):
            self._step(TombstonesMerged(ended))
        for one in items:
            if one.kind == CLEARED:
                self._step(TombstonesCollected(tuple(cleared_instances(one))))

    def _heartbeat_target(self, id: str, zone: str) -> str:
        """The nearest control node's address for later beats; empty if none is nearer than this one."""
        if zone == self.settings.zone or not self.port:
            return ""
        region = self.settings.zones.get(zone, "")
        near = [
            core
            for core in self.ledger.control_nodes()
            if core.region == region and self.ledger.is_alive(core.ip)
        ]
        best = [core.ip for core in near if core.zone == zone]
        if not best and self.settings.region != region:
            best = [core.ip for core in near]
        if not best:
            return ""
        # By rendezvous, so that a zone's backends keep to one and yet spread over several.
        chosen = max(best, key=lambda ip: hashlib.blake2b(f"{ip} {id}".encode(), digest_size=8).digest())
        return f"{chosen}:{self.port}"


def backend_of(life: Instance, now: int) -> Backend:
    """A life as proxies are told of it."""
    return Backend(
        life.id,
        life.service,
        life.address,
        life.zone,
        life.slots,
        life.draining,
        max(0, life.warming_until - now) // NS_PER_MS,
        life.unconfirmed,
    )

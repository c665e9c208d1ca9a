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
from ambershift.system.messages.registry_sync import Ask, Delta, Flow, Pulse
from ambershift.system.registry.endpoint_list import DRAINING, GONE
from ambershift.system.registry.events import (
    Cleared,
    Ended,
    Event,
    Flowed,
    Greeted,
    Linked,
    Look,
    Parted,
    Recalled,
    Shown,
    Spoke,
)
from ambershift.system.registry.heartbeats import BeatError, check_id, read_beat
from ambershift.system.registry.home_regions import Homes
from ambershift.system.registry.machine import RegistryMachine
from ambershift.system.registry.proxy_directory import ADDRESSES_MOST, nearest
from ambershift.system.registry.records import Life, ProxyRecord
from ambershift.system.registry.snapshot import Keep, SheetError, read_sheet, write_sheet
from ambershift.system.registry.tombstones import Answered, Ends
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, LogEvent, MessageReceived, Send

UNSURE_PROXIES = (
    256  # Told while proxies may not have been heard yet: too few would let too much to cold ones.
)
DIRECTORY_KEPT = 50 * NS_PER_MS  # Against merging it for each of many clients.
RATED_EACH = NS_PER_SECOND
NEAR_MOST = 1000  # Callers may name any place.
RECALLED, NO_LIST = 304, 305  # Numbers of the log's events.


class Side(Protocol):
    """Where the list is kept over a restart (`consensus/cache_file.py`)."""

    failed: bool

    def write(self, make: Callable[[], bytes]) -> bool: ...


Sending = Callable[[str, msgspec.Struct], None]
Logging = Callable[[int, dict[str, Any]], None]


class Registry:
    def __init__(
        self,
        settings: Local,
        ledger: ReplicatedState,
        send: Sending,
        steady: Callable[[], int],
        seed: int,
        log: Logging,
        side: Side | None = None,
    ) -> None:
        """`side`: without one the list is in memory only."""
        self.settings, self.ledger, self.send, self.steady, self.log = settings, ledger, send, steady, log
        self.chance = random.Random(seed)
        self.machine = RegistryMachine(self.chance.getrandbits(31), int(settings.heartbeat * NS_PER_SECOND))
        self.port = settings.listen.get("Control", "").rpartition(":")[2]
        self.ends = Ends(ledger, settings.ip)
        self.homes = Homes()
        # Addresses for a region, zone and homes, of the proxies known.
        self.near = dict[tuple[str, str, frozenset[str]], list[str]]()
        self.hearers = list[Callable[[Sequence[Life], Sequence[str]], None]]()
        self.read = False
        self.side, self.keep = side, Keep()
        self.recalled = False  # Whether the disk has told how many proxies there may be.
        self.known_at, self.known = -NS_PER_SECOND, list[ProxyRecord]()
        self.rated_at = -NS_PER_SECOND
        ledger.listen(self._items)

    async def beat(self, id: str, body: Any) -> Answered:
        """A backend's beat: HTTP's status and the body. Draining is acknowledged once it is held."""
        try:
            beat = read_beat(id, body)
        except BeatError as why:
            return 400, {"Error": f"{why.field}: {why.reason}"}
        self._step(beat)
        if beat.draining:
            return await self.ends.hold(id, DRAINING, beat.service, beat.address)
        if not self.ledger.in_touch():
            # The others would take it for silent if it kept to us: it is to call another one.
            return 503, {"Error": "out of touch"}
        target = self._target(id, beat.zone)
        return 200, {"HeartbeatTarget": target} if target else {}

    async def leave(self, id: str) -> Answered:
        """A backend signs off."""
        try:
            check_id(id)
        except BeatError as why:
            return 400, {"Error": f"{why.field}: {why.reason}"}
        life = self.machine.listing.lives.get(id)
        return await self.ends.hold(id, GONE, life.service if life else "", life.address if life else "")

    def addresses(self, region: str, zone: str, host: str = "") -> list[str]:
        """Where clients of this place are best served, in an order that varies; empty if nobody is ready."""
        homes = self.homes.of(host, region or self.settings.zones.get(zone, ""))
        now = self.steady()
        if now > self.known_at + DIRECTORY_KEPT:
            self.known_at, self.known = now, self._there(now)
            self.near.clear()
        if (found := self.near.get((region, zone, homes))) is None:
            found = [one.address for one in nearest(self.known, region, zone, self.settings.zones, homes)]
            if len(self.near) < NEAR_MOST:
                self.near[region, zone, homes] = found
        return self.chance.sample(found, min(len(found), ADDRESSES_MOST))

    def recall(self, data: bytes | None) -> None:
        """What the side file held when this process began; to be called first, the ledger being there."""
        self._read()
        if data is None:
            return
        try:
            most, lives = read_sheet(self.settings.ip, self.steady(), data)
        except SheetError as why:
            self.log(NO_LIST, {"reason": why.reason})
            return
        self.log(RECALLED, {"lives": len(lives)})
        self.recalled = most > 0
        self._step(Recalled(most, tuple(lives)))

    def tick(self) -> None:
        """To be called about every 50 ms."""
        self._read()
        if self.steady() >= self.rated_at + RATED_EACH:
            self.rated_at = self.steady()
            self.homes.take(self.machine.rates())
        self._keep(self.steady())
        ips = [core.ip for core in self.ledger.cores() if core.ip != self.settings.ip]
        alive = frozenset(ip for ip in ips if self.ledger.alive(ip))
        self._step(Look(self.ledger.in_touch(), alive, tuple(ips)))
        if self.ledger.in_touch() and all(self.settings.ip < ip for ip in alive):
            self.ends.clear(self.machine.clearable(self.steady()))

    def hear_core(self, ip: str, message: msgspec.Struct) -> None:
        if isinstance(message, Delta | Pulse | Ask):
            self._step(MessageReceived(ip, message))

    def core_linked(self, ip: str) -> None:
        self._step(Linked(ip))

    # For the controller.
    def listen(self, heard: Callable[[Sequence[Life], Sequence[str]], None]) -> None:
        """Call `heard` with what is new or changed on the list, and with the ids gone from it."""
        self.hearers.append(heard)

    def greet(self, hello: Hello) -> None:
        self.known_at = -NS_PER_SECOND
        self._step(Greeted(hello))

    def spoke(self, proxy: str) -> None:
        self._step(Spoke(proxy))

    def parted(self, proxy: str) -> None:
        self._step(Parted(proxy))

    def flowed(self, flows: Sequence[Flow], gone: Sequence[tuple[str, str]]) -> None:
        self._step(Flowed(tuple(flows), tuple(gone)))

    def settled(self) -> bool:
        """Whether this process has been in touch long enough to know all that beat."""
        return self.machine.settled

    def lives(self) -> Mapping[str, Life]:
        """The list."""
        return self.machine.listing.shown

    def proxies(self) -> Mapping[str, tuple[str, ProxyRecord]]:
        """Proxies by name, with the control node each is linked to ("": this one)."""
        return self.machine.directory(self.steady())

    def flows(self) -> Mapping[tuple[str, str, str], int]:
        return self.machine.flows()

    def proxies_most(self) -> int:
        """How many proxies there may be at the most: those known at once, a quarter more, one a zone."""
        most = self.machine.most_proxies(self.steady())
        if not self.machine.settled and not self.recalled:
            return max(most, UNSURE_PROXIES)
        return most + -(-most // 4) + len(self.settings.zones)

    def _step(self, event: Event) -> None:
        for effect in self.machine.step(self.steady(), event):
            match effect:
                case Send():
                    self.send(effect.recipient, effect.message)
                case LogEvent():
                    self.log(effect.number, effect.fields)
                case Shown():
                    self.keep.changed = True
                    for heard in self.hearers:
                        heard(effect.put, effect.gone)

    def _there(self, now: int) -> list[ProxyRecord]:
        """Proxies to send clients to. One whose node has been silent for a moment may be lost with it, and
        is back elsewhere soon if it isn't: it is left out while at least half are left."""
        known = [one for one in self.machine.directory(now).values() if one[1].ready and not one[1].leaving]
        sure = [proxy for keeper, proxy in known if not keeper or self.ledger.lately(keeper)]
        return sure if 2 * len(sure) >= len(known) else [proxy for _, proxy in known]

    def _read(self) -> None:
        if not self.read:  # Only now is what the disk holds surely there.
            self.read = True
            self._items(list(self.ledger.items().values()))

    def _keep(self, now: int) -> None:
        # A list heard in part would, recalled, press all traffic on few.
        if self.side is None or not self.machine.settled:
            return
        self.keep.changed |= self.side.failed
        most = self.machine.most_proxies(now)
        if not self.keep.due(now, most):
            return
        listing = self.machine.listing
        lives = [life for id, life in listing.shown.items() if id not in listing.absent]
        if self.side.write(partial(write_sheet, self.settings.ip, now, most, lives)):
            self.keep.written(now, most, lives)

    def _items(self, items: Sequence[Item]) -> None:
        if ended := tuple((one.name, one.version[0]) for one in items if one.kind == INSTANCE):
            self._step(Ended(ended))
        for one in items:
            if one.kind == CLEARED:
                self._step(Cleared(tuple(cleared_instances(one))))

    def _target(self, id: str, zone: str) -> str:
        """The nearest control node's address for later beats; empty if none is nearer than this one."""
        if zone == self.settings.zone or not self.port:
            return ""
        region = self.settings.zones.get(zone, "")
        near = [core for core in self.ledger.cores() if core.region == region and self.ledger.alive(core.ip)]
        best = [core.ip for core in near if core.zone == zone]
        if not best and self.settings.region != region:
            best = [core.ip for core in near]
        if not best:
            return ""
        # By rendezvous, so that a zone's backends keep to one and yet spread over several.
        chosen = max(best, key=lambda ip: hashlib.blake2b(f"{ip} {id}".encode(), digest_size=8).digest())
        return f"{chosen}:{self.port}"


def backend(life: Life, now: int) -> Backend:
    """A life as proxies are told of it."""
    return Backend(
        life.id,
        life.service,
        life.address,
        life.zone,
        life.slots,
        life.draining,
        max(0, life.cold_until - now) // NS_PER_MS,
        life.unsure,
    )

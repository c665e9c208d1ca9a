"""The machine of backends and proxies: beats, peers' words, time in; messages and changes of the list out."""

from __future__ import annotations

from collections import Counter

from ambershift.system.messages.registry_sync import Ask, Delta, Pulse
from ambershift.system.registry.endpoint_list import Listing
from ambershift.system.registry.events import (
    Cleared,
    Effect,
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
from ambershift.system.registry.exchange import Exchange
from ambershift.system.registry.heartbeats import Beat
from ambershift.system.registry.liveness import MISSED, Keeping
from ambershift.system.registry.proxy_directory import Proxies, merge
from ambershift.system.registry.records import Life, ProxyRecord, Records, flow_key
from ambershift.system.registry.tombstone_expiry import STALE, Clearing
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, LogEvent, MessageReceived

BATCH, PULSE, LISTEN = 100 * NS_PER_MS, NS_PER_SECOND, 250 * NS_PER_MS
GAP = 600 * NS_PER_MS  # Ticks further apart than this: the process stood still, and heard nobody.
KEEPER_LOST_PROXIES = 1500 * NS_PER_MS
MISSING, LET_GO, MASS = 301, 302, 303  # Numbers of the log's events.
DEAF = 2 * NS_PER_SECOND  # After standing still for very long, till what waited is read.
HEARING = 2.5  # Heartbeats in touch after which a process has heard all that beat to it.


class RegistryMachine:
    def __init__(self, start: int, heartbeat: int) -> None:
        self.heartbeat = heartbeat
        self.exchange, self.keeping, self.listing = Exchange(start), Keeping(heartbeat), Listing()
        self.proxies, self.clearing = Proxies(), Clearing()
        self.deaf_until = 0
        self.orphans: dict[str, tuple[Life, int]] = {}  # Of keepers that began anew, and when it ends.
        self.lost: dict[str, int] = {}  # Peers not heard, since when.
        self.settled = False  # Whether all that beat here or elsewhere have had the time to be heard.
        self.well_since: int | None = None
        self.awake = 0
        self.looked = self.batched = self.pulsed = self.listened = 0
        self.peers: tuple[str, ...] = ()
        self.dirty: set[str] = set()
        self.merged: dict[str, tuple[str, ProxyRecord]] = {}
        self.merged_of: list[tuple[str, int]] = []  # Of whose proxies, and which.

    def step(self, now: int, event: Event) -> list[Effect]:
        effects = list[Effect]()
        match event:
            case Beat():
                self._beat(now, event)
            case Look():
                self._look(now, event, effects)
            case MessageReceived():
                assert isinstance(event.message, Delta | Pulse | Ask)
                self._hear(now, event.sender, event.message, effects)
            case Recalled():
                self.exchange.most = max(self.exchange.most, event.most)
                for life in event.lives:
                    self._orphan(now, life)
                    self.dirty.add(life.id)
            case Ended():
                for id, version in event.lives:
                    self.listing.ended[id] = max(version, self.listing.ended.get(id, 0))
                    self.dirty.add(id)
                    self.clearing.ended(now, id)
            case Cleared():
                self.listing.clear(event.lives)
                self.clearing.forget(event.lives)
                self.dirty.update(event.lives)
            case Linked():
                effects += self.exchange.pulse([event.peer])
            case Greeted():
                proxy = self.proxies.greet(now, event.hello)
                self.exchange.put(proxy, proxy.key)
            case Spoke():
                if again := self.proxies.speak(now, event.proxy):
                    self.exchange.put(again, again.key)
            case Parted():
                self.proxies.part(now, event.proxy)
            case Flowed():
                for flow in event.flows:
                    self.exchange.put(flow, flow_key(flow.zone, flow.pool))
                for zone, pool in event.gone:
                    self.exchange.drop(flow_key(zone, pool))
        self._show(now, effects)
        return effects

    def directory(self, now: int) -> dict[str, tuple[str, ProxyRecord]]:
        """All proxies known, by name, with the control node they are linked to ("": this one).

        Those of a lost control node are there for a short while only."""
        known = self._known(now)
        turns = [(keeper, records.turn) for keeper, records in known]
        if turns != self.merged_of:
            self.merged_of = turns
            self.merged = merge(
                (keeper, one) for keeper, records in known for one in records.proxies.values()
            )
        return self.merged

    def _known(self, now: int) -> list[tuple[str, Records]]:
        """The records of each keeper that isn't lost for long."""
        return [
            ("", self.exchange.own),
            *(
                (peer, copy.records)
                for peer, copy in self.exchange.copies.items()
                if peer not in self.lost or now < self.lost[peer] + KEEPER_LOST_PROXIES
            ),
        ]

    def flows(self) -> dict[tuple[str, str, str], int]:
        """What comes to proxies linked elsewhere: by control node, zone and pool, in requests per 100 s."""
        return {
            (peer, one.zone, one.pool): one.rate
            for peer, copy in self.exchange.copies.items()
            for one in copy.records.flows.values()
        }

    def rates(self) -> dict[str, int]:
        """What comes to all proxies, by pool or other sum, in requests per 100 s."""
        rates = Counter[str]()
        for records in (self.exchange.own, *(copy.records for copy in self.exchange.copies.values())):
            for one in records.flows.values():
                rates[one.pool] += one.rate
        return rates

    def most_proxies(self, now: int) -> int:
        """The most proxies that were known at once, here or elsewhere."""
        self.exchange.most = max(
            self.exchange.most,
            len(self.directory(now)),
            *(copy.most for copy in self.exchange.copies.values()),
            0,
        )
        return self.exchange.most

    def _beat(self, now: int, beat: Beat) -> None:
        if self.listing.over(beat.id) or now < self.deaf_until:
            return
        known = self.listing.lives.get(beat.id)
        if known and beat.sequence < known.sequence and not beat.draining:
            return  # It has been heard later, maybe elsewhere.
        if self.keeping.beat(now, beat, known.born if known else now):
            self._tell(beat.id)

    def clearable(self, now: int) -> list[str]:
        """Lives whose ends may be forgotten by all."""
        return self.clearing.due(now, lambda id: bool(self._holders(id)))

    def _tell(self, id: str) -> None:
        life = self.keeping.lives[id]
        self.exchange.put(life, life.key)
        self.dirty.add(id)

    def _let_go(self, id: str) -> None:
        self.keeping.drop(id)
        self.exchange.drop("b" + id)
        self.dirty.add(id)

    def _holders(self, id: str) -> list[Life]:
        found = [copy.records.get("b" + id) for copy in self.exchange.copies.values()]
        found += [self.keeping.lives.get(id), self.orphans[id][0] if id in self.orphans else None]
        return [one for one in found if isinstance(one, Life)]

    def _best(self, id: str) -> Life | None:
        held = self._holders(id)
        if not held:
            return None
        best = max(held, key=lambda one: (one.sequence, one.draining))
        if all(one.draining == best.draining and one.born >= best.born for one in held):
            return best
        return Life(
            best.id,
            best.service,
            best.address,
            best.zone,
            best.slots,
            best.sequence,
            any(one.draining for one in held),
            best.cold_until,
            min(one.born for one in held),
            best.unsure,
        )

    def _hear(self, now: int, sender: str, message: Delta | Pulse | Ask, effects: list[Effect]) -> None:
        copy = self.exchange.copies.get(sender)
        start = copy.start if copy else None
        before, sends = self.exchange.hear(now, sender, message, self.peers)
        effects += sends
        records = self.exchange.copies[sender].records if before else {}
        anew = isinstance(message, Delta) and message.start != start
        for key, was in before.items():
            if not key.startswith("b"):
                continue
            id, life = key[1:], records.get(key)
            self.dirty.add(id)
            if isinstance(life, Life):
                self.orphans.pop(id, None)
                mine = self.keeping.lives.get(id)
                if mine and life.sequence > mine.sequence:
                    self._let_go(id)  # It beats there now.
                elif mine and life.sequence < mine.sequence:
                    self._tell(id)
            elif isinstance(was, Life) and anew:
                self._orphan(now, was)

    def _orphan(self, now: int, life: Life) -> None:
        self.orphans[life.id] = life, now + int(MISSED * self.heartbeat)

    def _look(self, now: int, look: Look, effects: list[Effect]) -> None:
        if not self.looked:
            self.looked = self.awake = now
        if self.looked and now > self.looked + STALE:
            # What was heard before, and beats that have waited, may be of lives whose ends are forgotten.
            self.deaf_until = now + DEAF
            for id in list(self.keeping.lives):
                self._let_go(id)
        frozen, self.looked, self.peers = now > self.looked + GAP, now, look.peers
        if frozen:
            self.awake = now
        if not look.touch or frozen:
            self.well_since = None
        elif self.well_since is None:
            self.well_since = now
        elif now >= self.well_since + int(HEARING * self.heartbeat):
            self.settled = True
        if now >= self.listened + LISTEN:
            self.listened = now
            self._look_for_silence(now, look, effects)
        if now >= self.batched + BATCH:
            self.batched = now
            if batch := self.exchange.flush(now, look.peers):
                self.pulsed = now
                effects += batch
        if now >= self.pulsed + PULSE:
            self.pulsed = now
            effects += self.exchange.pulse(look.peers)

    def _look_for_silence(self, now: int, look: Look, effects: list[Effect]) -> None:
        for name in self.proxies.silent(now, self.awake):
            self.exchange.drop("d" + name)
        self.dirty.update(self.listing.tidy(now))
        if self.well_since is None:
            # Who does not hear the others can't tell who is silent: all stays as it is.
            self.lost.clear()
            return
        elsewhere = {one.id for copy in self.exchange.copies.values() for one in copy.records.lives.values()}
        mass = self.keeping.mass
        silent = self.keeping.silent(now, self.well_since, elsewhere)
        if self.keeping.mass and not mass:
            effects.append(LogEvent(MASS, {"heard": len(self.keeping.lives)}))
        for id in silent:
            if id not in elsewhere:
                effects.append(LogEvent(MISSING, {"id": id, "service": self.keeping.lives[id].service}))
            self._let_go(id)
        for id, (_, until) in list(self.orphans.items()):
            # Who was out of touch had no chance to hear where it beats now.
            if now >= max(until, self.well_since + int(MISSED * self.heartbeat)):
                del self.orphans[id]
                self.dirty.add(id)
        for peer in self.exchange.copies.keys() - look.alive:
            since = self.lost.setdefault(peer, now)
            if now >= since + int(MISSED * self.heartbeat):
                effects.append(LogEvent(LET_GO, {"peer": peer}))
                self.dirty.update(key[1:] for key in self.exchange.forget(peer) if key.startswith("b"))
        for peer in [peer for peer in self.lost if peer in look.alive or peer not in self.exchange.copies]:
            del self.lost[peer]

    def _show(self, now: int, effects: list[Effect]) -> None:
        if not self.dirty:
            return
        dirty, self.dirty = self.dirty, set()
        put, gone = self.listing.refresh(now, sorted(dirty), self._best)
        for id in dirty | self.listing.losers():
            if id in self.keeping.lives and self.listing.over(id):
                self.keeping.drop(id)
                self.exchange.drop("b" + id)
        if put or gone:
            effects.append(Shown(tuple(put), tuple(gone)))

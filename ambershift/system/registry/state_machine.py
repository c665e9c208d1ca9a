"""The machine of backends and proxies: beats, peers' words, time in; messages and changes of the list out."""

from __future__ import annotations

from collections import Counter

from ambershift.system.messages.registry_sync import FullStateRequest, RegistryDelta, RevisionAnnouncement
from ambershift.system.registry.endpoint_list import EndpointList
from ambershift.system.registry.events import (
    ContactTick,
    Effect,
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
from ambershift.system.registry.exchange import RecordExchange
from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.liveness import TIMEOUT_HEARTBEATS, HeartbeatMonitor
from ambershift.system.registry.proxy_directory import LinkedProxies, merge_proxies
from ambershift.system.registry.records import Instance, ProxyRecord, RecordSet, rate_key
from ambershift.system.registry.tombstone_expiry import MAX_HEARTBEAT_DELAY_NS, TombstoneExpiry
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, LogEvent, MessageReceived

BATCH_INTERVAL_NS, ANNOUNCEMENT_INTERVAL_NS, LIVENESS_CHECK_INTERVAL_NS = (
    100 * NS_PER_MS,
    NS_PER_SECOND,
    250 * NS_PER_MS,
)
MAX_TICK_GAP_NS = 600 * NS_PER_MS  # Ticks further apart than this: the process stood still, and heard nobody.
LOST_PEER_PROXY_RETENTION_NS = 1500 * NS_PER_MS
INSTANCE_TIMED_OUT_EVENT, PEER_FORGOTTEN_EVENT, MASS_FAILURE_EVENT = (
    301,
    302,
    303,
)  # Numbers of the log's events.
RESUME_QUARANTINE_NS = 2 * NS_PER_SECOND  # After standing still for very long, till what waited is read.
COMPLETE_AFTER_HEARTBEATS = 2.5  # Heartbeats in touch after which a process has heard all that beat to it.


class RegistryStateMachine:
    def __init__(self, start: int, heartbeat: int) -> None:
        self.heartbeat_interval = heartbeat
        self.exchange, self.heartbeat_monitor, self.endpoint_list = (
            RecordExchange(start),
            HeartbeatMonitor(heartbeat),
            EndpointList(),
        )
        self.linked_proxies, self.tombstone_expiry = LinkedProxies(), TombstoneExpiry()
        self.quarantine_until = 0
        self.orphans: dict[str, tuple[Instance, int]] = {}  # Of keepers that began anew, and when it ends.
        self.lost_peers: dict[str, int] = {}  # Peers not heard, since when.
        self.is_complete = False  # Whether all that beat here or elsewhere have had the time to be heard.
        self.healthy_since: int | None = None
        self.running_since = 0
        self.last_tick_at = self.last_batch_at = self.last_announcement_at = self.last_liveness_check_at = 0
        self.peers: tuple[str, ...] = ()
        self.changed_ids: set[str] = set()
        self._merged_proxies: dict[str, tuple[str, ProxyRecord]] = {}
        self._merged_revisions: list[tuple[str, int]] = []  # Of whose proxies, and which.

    def step(self, now: int, event: Event) -> list[Effect]:
        effects = list[Effect]()
        match event:
            case Heartbeat():
                self._on_heartbeat(now, event)
            case ContactTick():
                self._on_tick(now, event, effects)
            case MessageReceived():
                assert isinstance(event.message, RegistryDelta | RevisionAnnouncement | FullStateRequest)
                self._on_message(now, event.sender, event.message, effects)
            case SnapshotLoaded():
                self.exchange.max_proxies = max(self.exchange.max_proxies, event.max_proxies)
                for life in event.instances:
                    self._add_orphan(now, life)
                    self.changed_ids.add(life.id)
            case TombstonesMerged():
                for id, version in event.versions:
                    self.endpoint_list.tombstones[id] = max(version, self.endpoint_list.tombstones.get(id, 0))
                    self.changed_ids.add(id)
                    self.tombstone_expiry.record(now, id)
            case TombstonesCollected():
                self.endpoint_list.set_collected(event.ids)
                self.tombstone_expiry.remove(event.ids)
                self.changed_ids.update(event.ids)
            case PeerConnected():
                effects += self.exchange.announce([event.peer])
            case ProxyConnected():
                proxy = self.linked_proxies.connect(now, event.hello)
                self.exchange.put(proxy, proxy.key)
            case ProxyContacted():
                if again := self.linked_proxies.record_contact(now, event.proxy):
                    self.exchange.put(again, again.key)
            case ProxyDisconnected():
                self.linked_proxies.disconnect(now, event.proxy)
            case RatesChanged():
                for flow in event.rates:
                    self.exchange.put(flow, rate_key(flow.zone, flow.pool))
                for zone, pool in event.removed:
                    self.exchange.remove(rate_key(zone, pool))
        self._update_endpoints(now, effects)
        return effects

    def proxies(self, now: int) -> dict[str, tuple[str, ProxyRecord]]:
        """All proxies known, by name, with the control node they are linked to ("": this one).

        Those of a lost control node are there for a short while only."""
        known = self._known(now)
        turns = [(keeper, records.proxies_revision) for keeper, records in known]
        if turns != self._merged_revisions:
            self._merged_revisions = turns
            self._merged_proxies = merge_proxies(
                (keeper, one) for keeper, records in known for one in records.proxies.values()
            )
        return self._merged_proxies

    def _known(self, now: int) -> list[tuple[str, RecordSet]]:
        """The records of each keeper that isn't lost for long."""
        return [
            ("", self.exchange.own),
            *(
                (peer, copy.records)
                for peer, copy in self.exchange.copies.items()
                if peer not in self.lost_peers or now < self.lost_peers[peer] + LOST_PEER_PROXY_RETENTION_NS
            ),
        ]

    def peer_rates(self) -> dict[tuple[str, str, str], int]:
        """What comes to proxies linked elsewhere: by control node, zone and pool, in requests per 100 s."""
        return {
            (peer, one.zone, one.pool): one.rate
            for peer, copy in self.exchange.copies.items()
            for one in copy.records.rates.values()
        }

    def total_rates(self) -> dict[str, int]:
        """What comes to all proxies, by pool or other sum, in requests per 100 s."""
        rates = Counter[str]()
        for records in (self.exchange.own, *(copy.records for copy in self.exchange.copies.values())):
            for one in records.rates.values():
                rates[one.pool] += one.rate
        return rates

    def max_proxies(self, now: int) -> int:
        """The most proxies that were known at once, here or elsewhere."""
        self.exchange.max_proxies = max(
            self.exchange.max_proxies,
            len(self.proxies(now)),
            *(copy.max_proxies for copy in self.exchange.copies.values()),
            0,
        )
        return self.exchange.max_proxies

    def _on_heartbeat(self, now: int, beat: Heartbeat) -> None:
        if self.endpoint_list.is_terminated(beat.id) or now < self.quarantine_until:
            return
        known = self.endpoint_list.instances.get(beat.id)
        if known and beat.sequence < known.sequence and not beat.draining:
            return  # It has been heard later, maybe elsewhere.
        if self.heartbeat_monitor.record(now, beat, known.first_seen_at if known else now):
            self._report(beat.id)

    def expired_tombstones(self, now: int) -> list[str]:
        """Lives whose ends may be forgotten by all."""
        return self.tombstone_expiry.expired(now, lambda id: bool(self._reports(id)))

    def _report(self, id: str) -> None:
        life = self.heartbeat_monitor.instances[id]
        self.exchange.put(life, life.key)
        self.changed_ids.add(id)

    def _stop_reporting(self, id: str) -> None:
        self.heartbeat_monitor.remove(id)
        self.exchange.remove("b" + id)
        self.changed_ids.add(id)

    def _reports(self, id: str) -> list[Instance]:
        found = [copy.records.get("b" + id) for copy in self.exchange.copies.values()]
        found += [
            self.heartbeat_monitor.instances.get(id),
            self.orphans[id][0] if id in self.orphans else None,
        ]
        return [one for one in found if isinstance(one, Instance)]

    def _merged_instance(self, id: str) -> Instance | None:
        held = self._reports(id)
        if not held:
            return None
        best = max(held, key=lambda one: (one.sequence, one.draining))
        if all(one.draining == best.draining and one.first_seen_at >= best.first_seen_at for one in held):
            return best
        return Instance(
            best.id,
            best.service,
            best.address,
            best.zone,
            best.slots,
            best.sequence,
            any(one.draining for one in held),
            best.warming_until,
            min(one.first_seen_at for one in held),
            best.unconfirmed,
        )

    def _on_message(
        self,
        now: int,
        sender: str,
        message: RegistryDelta | RevisionAnnouncement | FullStateRequest,
        effects: list[Effect],
    ) -> None:
        copy = self.exchange.copies.get(sender)
        start = copy.incarnation if copy else None
        before, sends = self.exchange.receive(now, sender, message, self.peers)
        effects += sends
        records = self.exchange.copies[sender].records if before else {}
        anew = isinstance(message, RegistryDelta) and message.incarnation != start
        for key, was in before.items():
            if not key.startswith("b"):
                continue
            id, life = key[1:], records.get(key)
            self.changed_ids.add(id)
            if isinstance(life, Instance):
                self.orphans.pop(id, None)
                mine = self.heartbeat_monitor.instances.get(id)
                if mine and life.sequence > mine.sequence:
                    self._stop_reporting(id)  # It beats there now.
                elif mine and life.sequence < mine.sequence:
                    self._report(id)
            elif isinstance(was, Instance) and anew:
                self._add_orphan(now, was)

    def _add_orphan(self, now: int, life: Instance) -> None:
        self.orphans[life.id] = life, now + int(TIMEOUT_HEARTBEATS * self.heartbeat_interval)

    def _on_tick(self, now: int, look: ContactTick, effects: list[Effect]) -> None:
        if not self.last_tick_at:
            self.last_tick_at = self.running_since = now
        if self.last_tick_at and now > self.last_tick_at + MAX_HEARTBEAT_DELAY_NS:
            # What was heard before, and beats that have waited, may be of lives whose ends are forgotten.
            self.quarantine_until = now + RESUME_QUARANTINE_NS
            for id in list(self.heartbeat_monitor.instances):
                self._stop_reporting(id)
        frozen, self.last_tick_at, self.peers = now > self.last_tick_at + MAX_TICK_GAP_NS, now, look.peers
        if frozen:
            self.running_since = now
        if not look.in_contact or frozen:
            self.healthy_since = None
        elif self.healthy_since is None:
            self.healthy_since = now
        elif now >= self.healthy_since + int(COMPLETE_AFTER_HEARTBEATS * self.heartbeat_interval):
            self.is_complete = True
        if now >= self.last_liveness_check_at + LIVENESS_CHECK_INTERVAL_NS:
            self.last_liveness_check_at = now
            self._check_liveness(now, look, effects)
        if now >= self.last_batch_at + BATCH_INTERVAL_NS:
            self.last_batch_at = now
            if batch := self.exchange.flush(now, look.peers):
                self.last_announcement_at = now
                effects += batch
        if now >= self.last_announcement_at + ANNOUNCEMENT_INTERVAL_NS:
            self.last_announcement_at = now
            effects += self.exchange.announce(look.peers)

    def _check_liveness(self, now: int, look: ContactTick, effects: list[Effect]) -> None:
        for name in self.linked_proxies.timed_out(now, self.running_since):
            self.exchange.remove("d" + name)
        self.changed_ids.update(self.endpoint_list.expire(now))
        if self.healthy_since is None:
            # Who does not hear the others can't tell who is silent: all stays as it is.
            self.lost_peers.clear()
            return
        elsewhere = {
            one.id for copy in self.exchange.copies.values() for one in copy.records.instances.values()
        }
        mass = self.heartbeat_monitor.mass_failure
        silent = self.heartbeat_monitor.timed_out(now, self.healthy_since, elsewhere)
        if self.heartbeat_monitor.mass_failure and not mass:
            effects.append(LogEvent(MASS_FAILURE_EVENT, {"heard": len(self.heartbeat_monitor.instances)}))
        for id in silent:
            if id not in elsewhere:
                effects.append(
                    LogEvent(
                        INSTANCE_TIMED_OUT_EVENT,
                        {"id": id, "service": self.heartbeat_monitor.instances[id].service},
                    )
                )
            self._stop_reporting(id)
        for id, (_, until) in list(self.orphans.items()):
            # Who was out of touch had no chance to hear where it beats now.
            if now >= max(until, self.healthy_since + int(TIMEOUT_HEARTBEATS * self.heartbeat_interval)):
                del self.orphans[id]
                self.changed_ids.add(id)
        for peer in self.exchange.copies.keys() - look.live_peers:
            since = self.lost_peers.setdefault(peer, now)
            if now >= since + int(TIMEOUT_HEARTBEATS * self.heartbeat_interval):
                effects.append(LogEvent(PEER_FORGOTTEN_EVENT, {"peer": peer}))
                self.changed_ids.update(key[1:] for key in self.exchange.forget(peer) if key.startswith("b"))
        for peer in [
            peer for peer in self.lost_peers if peer in look.live_peers or peer not in self.exchange.copies
        ]:
            del self.lost_peers[peer]

    def _update_endpoints(self, now: int, effects: list[Effect]) -> None:
        if not self.changed_ids:
            return
        dirty, self.changed_ids = self.changed_ids, set()
        put, gone = self.endpoint_list.refresh(now, sorted(dirty), self._merged_instance)
        for id in dirty | self.endpoint_list.take_superseded():
            if id in self.heartbeat_monitor.instances and self.endpoint_list.is_terminated(id):
                self.heartbeat_monitor.remove(id)
                self.exchange.remove("b" + id)
        if put or gone:
            effects.append(EndpointsChanged(tuple(put), tuple(gone)))

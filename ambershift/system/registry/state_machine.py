"""The registry's state machine: heartbeats, peers' messages and time in; messages and list changes out."""

from __future__ import annotations

from ambershift.system.messages.registry_sync import FullStateRequest, RegistryDelta, RevisionAnnouncement
from ambershift.system.registry import events
from ambershift.system.registry.endpoint_list import EndpointList
from ambershift.system.registry.exchange import RecordExchange
from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.instance_reports import InstanceReports
from ambershift.system.registry.liveness import TIMEOUT_HEARTBEATS, HeartbeatMonitor
from ambershift.system.registry.process_health import ProcessHealth
from ambershift.system.registry.proxy_directory import LinkedProxies, ProxyDirectory
from ambershift.system.registry.records import ProxyRecord, instance_key, proxy_key, rate_key
from ambershift.system.registry.tombstone_expiry import TombstoneExpiry
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, LogEvent, MessageReceived, PeerConnected

BATCH_INTERVAL_NS = 100 * NS_PER_MS
ANNOUNCEMENT_INTERVAL_NS = NS_PER_SECOND
LIVENESS_CHECK_INTERVAL_NS = 250 * NS_PER_MS

# Numbers of the log's events.
INSTANCE_TIMED_OUT_EVENT = 301
PEER_FORGOTTEN_EVENT = 302
MASS_FAILURE_EVENT = 303


class RegistryStateMachine:
    """Backends and proxies as one control node knows them. Without I/O; times are ns of the steady clock.

    Attributes:
        exchange: Records of this control node and of its peers.
        heartbeat_monitor: Instances whose heartbeats arrive here.
        endpoint_list: The list at which all control nodes arrive.
        linked_proxies: Proxies linked here.
        tombstone_expiry: Ages of the instances' tombstones.
        health: Pauses and contact of this process.
        reports: Which control nodes report an instance.
        lost_peers: Peers out of contact, and since when.
        peers: Ips of all known peers.
    """

    def __init__(self, incarnation: int, heartbeat_interval: int) -> None:
        """Make the state of a process that knows nothing yet.

        Args:
            incarnation: Drawn at each start of the process.
            heartbeat_interval: Time between two heartbeats of an instance (ns).
        """
        self.exchange = RecordExchange(incarnation)
        self.heartbeat_monitor = HeartbeatMonitor(heartbeat_interval)
        self.endpoint_list = EndpointList()
        self.linked_proxies = LinkedProxies()
        self.tombstone_expiry = TombstoneExpiry()
        self.health = ProcessHealth(heartbeat_interval)
        self.reports = InstanceReports(self.exchange, self.heartbeat_monitor)
        self.lost_peers: dict[str, int] = {}
        self.peers: tuple[str, ...] = ()
        self._proxy_directory = ProxyDirectory(self.exchange)
        self._peer_timeout = int(TIMEOUT_HEARTBEATS * heartbeat_interval)
        self._last_batch_at = 0
        self._last_announcement_at = 0
        self._last_liveness_check_at = 0

    def step(self, now: int, event: events.Event) -> list[events.Effect]:
        """Apply an event and return what is to be done, in order."""
        effects = list[events.Effect]()
        match event:
            case Heartbeat():
                self._on_heartbeat(now, event)
            case events.ContactTick():
                self._on_tick(now, event, effects)
            case MessageReceived():
                self._on_message(now, event, effects)
            case PeerConnected():
                effects += self.exchange.announce([event.ip])
            case events.SnapshotLoaded():
                self._on_snapshot(now, event)
            case events.TombstonesMerged():
                self._on_tombstones(now, event)
            case events.TombstonesCollected():
                self.endpoint_list.set_collected(event.ids)
                self.tombstone_expiry.remove(event.ids)
                self.reports.changed_ids.update(event.ids)
            case _:
                self._on_proxy_event(now, event)
        self._update_endpoints(now, effects)
        return effects

    def proxies(self, now: int) -> dict[str, tuple[str, ProxyRecord]]:
        """Return all known proxies, by name, with the control node each is linked to ("": this one)."""
        return self._proxy_directory.proxies(now, self.lost_peers)

    def max_proxies(self, now: int) -> int:
        """Return the most proxies that were known at once, here or at a peer."""
        return self._proxy_directory.max_proxies(now, self.lost_peers)

    def expired_tombstones(self, now: int) -> list[str]:
        """Return ids of instances whose tombstones all control nodes may drop."""
        return self.tombstone_expiry.expired(now, self.reports.is_reported)

    def _on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        if self.endpoint_list.is_terminated(heartbeat.id) or self.health.in_quarantine(now):
            return
        known = self.endpoint_list.instances.get(heartbeat.id)
        if known and heartbeat.sequence < known.sequence and not heartbeat.draining:
            return  # A later one has arrived, maybe at a peer.
        if self.heartbeat_monitor.record(now, heartbeat, known.first_seen_at if known else now):
            self.reports.publish(heartbeat.id)

    def _on_message(self, now: int, event: MessageReceived, effects: list[events.Effect]) -> None:
        message = event.message
        assert isinstance(message, RegistryDelta | RevisionAnnouncement | FullStateRequest)
        copy = self.exchange.copies.get(event.sender)
        known_incarnation = copy.incarnation if copy else None
        before, sends = self.exchange.receive(now, event.sender, message, self.peers)
        effects += sends
        if before:
            records = self.exchange.copies[event.sender].records
            restarted = isinstance(message, RegistryDelta) and message.incarnation != known_incarnation
            self.reports.apply_peer_changes(now, before, records, restarted)

    def _on_snapshot(self, now: int, snapshot: events.SnapshotLoaded) -> None:
        self.exchange.max_proxies = max(self.exchange.max_proxies, snapshot.max_proxies)
        for instance in snapshot.instances:
            self.reports.add_orphan(now, instance)
            self.reports.changed_ids.add(instance.id)

    def _on_tombstones(self, now: int, tombstones: events.TombstonesMerged) -> None:
        for id, version in tombstones.versions:
            self.endpoint_list.add_tombstone(id, version)
            self.reports.changed_ids.add(id)
            self.tombstone_expiry.record(now, id)

    def _on_proxy_event(
        self,
        now: int,
        event: events.ProxyConnected | events.ProxyContacted | events.ProxyDisconnected | events.RatesChanged,
    ) -> None:
        match event:
            case events.ProxyConnected():
                record = self.linked_proxies.connect(now, event.hello)
                self.exchange.put(record, record.key)
            case events.ProxyContacted():
                if resumed := self.linked_proxies.record_contact(now, event.proxy):
                    self.exchange.put(resumed, resumed.key)
            case events.ProxyDisconnected():
                self.linked_proxies.disconnect(now, event.proxy)
            case events.RatesChanged():
                for rate in event.rates:
                    self.exchange.put(rate, rate_key(rate.zone, rate.pool))
                for zone, pool in event.removed:
                    self.exchange.remove(rate_key(zone, pool))

    def _on_tick(self, now: int, tick: events.ContactTick, effects: list[events.Effect]) -> None:
        if self.health.tick(now, tick.in_contact):
            # Heartbeats from before the pause may be of instances whose tombstones have been collected.
            for id in list(self.heartbeat_monitor.instances):
                self.reports.withdraw(id)
        self.peers = tick.peers
        if now >= self._last_liveness_check_at + LIVENESS_CHECK_INTERVAL_NS:
            self._last_liveness_check_at = now
            self._check_liveness(now, tick, effects)
        if now >= self._last_batch_at + BATCH_INTERVAL_NS:
            self._last_batch_at = now
            if batch := self.exchange.flush(now, tick.peers):
                self._last_announcement_at = now
                effects += batch
        if now >= self._last_announcement_at + ANNOUNCEMENT_INTERVAL_NS:
            self._last_announcement_at = now
            effects += self.exchange.announce(tick.peers)

    def _check_liveness(self, now: int, tick: events.ContactTick, effects: list[events.Effect]) -> None:
        for name in self.linked_proxies.timed_out(now, self.health.running_since):
            self.exchange.remove(proxy_key(name))
        self.reports.changed_ids.update(self.endpoint_list.expire(now))
        healthy_since = self.health.healthy_since
        if healthy_since is None:
            # Out of contact, this control node can't tell who is silent: everything stays as it is.
            self.lost_peers.clear()
            return
        self._check_instances(now, healthy_since, effects)
        self.reports.expire_orphans(now, healthy_since)
        self._check_peers(now, tick, effects)

    def _check_instances(self, now: int, healthy_since: int, effects: list[events.Effect]) -> None:
        monitor = self.heartbeat_monitor
        reported_by_peers = self.reports.reported_by_peers()
        was_mass_failure = monitor.mass_failure
        timed_out = monitor.timed_out(now, healthy_since, reported_by_peers)
        if monitor.mass_failure and not was_mass_failure:
            effects.append(LogEvent(MASS_FAILURE_EVENT, {"monitored": len(monitor.instances)}))
        for id in timed_out:
            if id not in reported_by_peers:
                fields = {"id": id, "service": monitor.instances[id].service}
                effects.append(LogEvent(INSTANCE_TIMED_OUT_EVENT, fields))
            self.reports.withdraw(id)

    def _check_peers(self, now: int, tick: events.ContactTick, effects: list[events.Effect]) -> None:
        for peer in self.exchange.copies.keys() - tick.live_peers:
            lost_since = self.lost_peers.setdefault(peer, now)
            if now >= lost_since + self._peer_timeout:
                effects.append(LogEvent(PEER_FORGOTTEN_EVENT, {"peer": peer}))
                self.reports.forget_peer(peer)
        for peer in list(self.lost_peers):
            if peer in tick.live_peers or peer not in self.exchange.copies:
                del self.lost_peers[peer]

    def _update_endpoints(self, now: int, effects: list[events.Effect]) -> None:
        changed_ids = self.reports.changed_ids
        if not changed_ids:
            return
        self.reports.changed_ids = set()
        updated, removed = self.endpoint_list.refresh(now, sorted(changed_ids), self.reports.merged)
        for id in changed_ids | self.endpoint_list.take_superseded():
            if id in self.heartbeat_monitor.instances and self.endpoint_list.is_terminated(id):
                self.heartbeat_monitor.remove(id)
                self.exchange.remove(instance_key(id))
        if updated or removed:
            effects.append(events.EndpointsChanged(tuple(updated), tuple(removed)))

"""Which control nodes report an instance, and what all their reports together say of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from ambershift.system.registry.exchange import RecordExchange
from ambershift.system.registry.liveness import TIMEOUT_HEARTBEATS, HeartbeatMonitor
from ambershift.system.registry.records import Instance, Record, instance_id, instance_key


class InstanceReports:
    """Reports of instances: this control node's own, the peers', and orphans.

    An orphan is an instance that only a process before now has reported: the peer's that has restarted, or
    this one's that left a snapshot. It counts as reported for one time-out, until it has sent a heartbeat.

    Attributes:
        orphans: By id, with the end of their time (ns, steady clock).
        changed_ids: Instances of which a report or a tombstone has changed since they were last merged.
    """

    def __init__(self, exchange: RecordExchange, monitor: HeartbeatMonitor) -> None:
        self._exchange = exchange
        self._monitor = monitor
        self._timeout = int(TIMEOUT_HEARTBEATS * monitor.heartbeat_interval)
        self.orphans: dict[str, tuple[Instance, int]] = {}
        self.changed_ids: set[str] = set()

    def is_reported(self, id: str) -> bool:
        """Tell whether any control node reports this instance."""
        return bool(self._reports(id))

    def merged(self, id: str) -> Instance | None:
        """Return an instance as all reports together describe it; None if there are none.

        The report of the newest heartbeat counts. An instance that drains in any report drains, and it was
        first seen when the earliest report says.
        """
        reports = self._reports(id)
        if not reports:
            return None
        newest = max(reports, key=lambda report: (report.sequence, report.draining))
        draining = any(report.draining for report in reports)
        first_seen_at = min(report.first_seen_at for report in reports)
        if newest.draining == draining and newest.first_seen_at == first_seen_at:
            return newest
        return replace(newest, draining=draining, first_seen_at=first_seen_at)

    def reported_by_peers(self) -> set[str]:
        """Return the ids of all instances that peers report."""
        return {
            instance.id
            for copy in self._exchange.copies.values()
            for instance in copy.records.instances.values()
        }

    def publish(self, id: str) -> None:
        """Report an instance, as its heartbeats here describe it, to all peers."""
        instance = self._monitor.instances[id]
        self._exchange.put(instance, instance.key)
        self.changed_ids.add(id)

    def withdraw(self, id: str) -> None:
        """Stop watching and reporting an instance."""
        self._monitor.remove(id)
        self._exchange.remove(instance_key(id))
        self.changed_ids.add(id)

    def add_orphan(self, now: int, instance: Instance) -> None:
        """Count an instance as reported for one time-out from `now` (ns, steady clock)."""
        self.orphans[instance.id] = instance, now + self._timeout

    def expire_orphans(self, now: int, healthy_since: int) -> None:
        """Drop orphans whose time is over; times in ns, steady clock."""
        for id, (_, until) in list(self.orphans.items()):
            # While it was out of contact, this control node could not learn where they send heartbeats now.
            if now >= max(until, healthy_since + self._timeout):
                del self.orphans[id]
                self.changed_ids.add(id)

    def apply_peer_changes(
        self, now: int, before: Mapping[str, Record | None], records: Mapping[str, Record], restarted: bool
    ) -> None:
        """React to changes in the copy of a peer's records.

        Args:
            now: Time (ns, steady clock).
            before: The changed records as they were, by key; None: there was none.
            records: All records of the peer now.
            restarted: The records are another process's than those before.
        """
        for key, old in before.items():
            id = instance_id(key)
            if id is None:
                continue
            self.changed_ids.add(id)
            reported = records.get(key)
            if isinstance(reported, Instance):
                self.orphans.pop(id, None)
                own = self._monitor.instances.get(id)
                if own and reported.sequence > own.sequence:
                    self.withdraw(id)  # It sends its heartbeats to that peer now.
                elif own and reported.sequence < own.sequence:
                    self.publish(id)  # Makes the peer withdraw its report.
            elif isinstance(old, Instance) and restarted:
                self.add_orphan(now, old)

    def forget_peer(self, peer: str) -> None:
        """Drop all reports of a peer (its ip)."""
        for key in self._exchange.forget(peer):
            if (id := instance_id(key)) is not None:
                self.changed_ids.add(id)

    def _reports(self, id: str) -> list[Instance]:
        key = instance_key(id)
        reports = [copy.records.get(key) for copy in self._exchange.copies.values()]
        reports.append(self._monitor.instances.get(id))
        if id in self.orphans:
            reports.append(self.orphans[id][0])
        return [report for report in reports if isinstance(report, Instance)]

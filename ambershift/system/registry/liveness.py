"""Failure detector for backends: instances by their heartbeats here, and which of them have timed out."""

from __future__ import annotations

from collections.abc import Container

from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import NS_PER_MS

# Time-outs in heartbeat intervals since the last heartbeat.
TIMEOUT_HEARTBEATS = 3.5
MASS_FAILURE_TIMEOUT_HEARTBEATS = 5.5
SUSPICION_HEARTBEATS = 2.3
MASS_FAILURE_MIN_SUSPECTS = 3  # Fewer than these that go silent together may well have failed themselves.


class HeartbeatMonitor:
    """Instances whose heartbeats arrive at this control node.

    Attributes:
        heartbeat_interval: Time between two heartbeats of an instance (ns).
        instances: By id.
        last_heartbeat_at: When the newest heartbeat arrived, by id (ns, steady clock).
        mass_failure: Most instances have gone silent together at the last check.
    """

    def __init__(self, heartbeat_interval: int) -> None:
        self.heartbeat_interval = heartbeat_interval
        self.instances: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, int] = {}
        self.mass_failure = False

    def record(self, now: int, heartbeat: Heartbeat, first_seen_at: int) -> bool:
        """Apply a heartbeat and tell whether the instance is new or has changed for senders of requests.

        An older heartbeat than the newest changes nothing, but an instance that drains never stops to.

        Args:
            now: Arrival (ns, steady clock).
            heartbeat: What it says.
            first_seen_at: When the first heartbeat of this instance arrived anywhere (ns, steady clock).
        """
        known = self.instances.get(heartbeat.id)
        if known and heartbeat.sequence <= known.sequence and not (heartbeat.draining and not known.draining):
            return False
        instance = Instance(
            id=heartbeat.id,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            sequence=max(heartbeat.sequence, known.sequence) if known else heartbeat.sequence,
            draining=heartbeat.draining or (known is not None and known.draining),
            warming_until=now + heartbeat.warm_up_ms * NS_PER_MS if heartbeat.warm_up_ms else 0,
            first_seen_at=first_seen_at,
        )
        self.instances[heartbeat.id] = instance
        self.last_heartbeat_at[heartbeat.id] = now
        return known is None or not instance.is_equivalent(known, now)

    def remove(self, id: str) -> None:
        """Stop watching an instance."""
        self.instances.pop(id, None)
        self.last_heartbeat_at.pop(id, None)

    def timed_out(self, now: int, healthy_since: int, reported_by_peers: Container[str]) -> list[str]:
        """Check all instances and return the ids of those that have missed their heartbeats.

        Where most go silent at once, the cause is the link or this machine. Their time-out is longer then, so
        that peers receive their heartbeats first.

        Args:
            now: Time of the check (ns, steady clock).
            healthy_since: Since when this control node has run and been in contact without a break (ns).
            reported_by_peers: Ids of instances whose heartbeats arrive at a peer.
        """
        # After an own fault, one heartbeat interval more than a full time-out has to pass before silence
        # counts: backends need that long to find their way back here.
        floor = healthy_since - int((TIMEOUT_HEARTBEATS - 2) * self.heartbeat_interval)
        silence = {id: now - max(at, floor) for id, at in self.last_heartbeat_at.items()}
        only_here = [span for id, span in silence.items() if id not in reported_by_peers]
        suspects = sum(span > SUSPICION_HEARTBEATS * self.heartbeat_interval for span in only_here)
        self.mass_failure = suspects >= MASS_FAILURE_MIN_SUSPECTS and 2 * suspects > len(only_here)
        timeout = int(TIMEOUT_HEARTBEATS * self.heartbeat_interval)
        timeout_only_here = timeout
        if self.mass_failure:
            timeout_only_here = int(MASS_FAILURE_TIMEOUT_HEARTBEATS * self.heartbeat_interval)
        return [
            id
            for id, span in silence.items()
            if span > (timeout if id in reported_by_peers else timeout_only_here)
        ]

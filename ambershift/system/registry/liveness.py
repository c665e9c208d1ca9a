"""What this control node hears itself: lives by their beats, and which of them have fallen silent."""

from __future__ import annotations

from collections.abc import Container

from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import NS_PER_MS

TIMEOUT_HEARTBEATS, MASS_FAILURE_TIMEOUT_HEARTBEATS, SUSPICION_HEARTBEATS = (
    3.5,
    5.5,
    2.3,
)  # Heartbeats without a word.
MASS_FAILURE_MIN_SUSPECTS = 3  # Fewer than these that fall silent together may well be their own fault.


class HeartbeatMonitor:
    def __init__(self, heartbeat: int) -> None:
        self.heartbeat_interval = heartbeat
        self.instances: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, int] = {}
        self.mass_failure = False  # Whether most have fallen silent together.

    def record(self, now: int, heartbeat: Heartbeat, first_seen_at: int) -> bool:
        """Take a beat in; whether others must be told. An older beat changes nothing, but draining sticks."""
        known = self.instances.get(heartbeat.id)
        if known and heartbeat.sequence <= known.sequence and not (heartbeat.draining and not known.draining):
            return False
        sequence = max(heartbeat.sequence, known.sequence) if known else heartbeat.sequence
        life = Instance(
            heartbeat.id,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.slots,
            sequence,
            heartbeat.draining or known is not None and known.draining,
            now + heartbeat.warm_up_ms * NS_PER_MS if heartbeat.warm_up_ms else 0,
            first_seen_at,
        )
        self.instances[heartbeat.id], self.last_heartbeat_at[heartbeat.id] = life, now
        return known is None or not life.is_equivalent(known, now)

    def remove(self, id: str) -> None:
        self.instances.pop(id, None)
        self.last_heartbeat_at.pop(id, None)

    def timed_out(self, now: int, healthy_since: int, elsewhere: Container[str]) -> list[str]:
        """Lives that have missed their beats. `well_since`: since when this control node itself is well.

        Where most fall silent at once, it is the link or this machine: others get time to hear them first.
        """
        # After a trouble of our own one heartbeat more than a full round has to pass before silence tells.
        floor = healthy_since - int((TIMEOUT_HEARTBEATS - 2) * self.heartbeat_interval)
        quiet = {id: now - max(at, floor) for id, at in self.last_heartbeat_at.items()}
        here = [span for id, span in quiet.items() if id not in elsewhere]
        suspects = sum(span > SUSPICION_HEARTBEATS * self.heartbeat_interval for span in here)
        self.mass_failure = suspects >= MASS_FAILURE_MIN_SUSPECTS and 2 * suspects > len(here)
        limit = int(
            (MASS_FAILURE_TIMEOUT_HEARTBEATS if self.mass_failure else TIMEOUT_HEARTBEATS)
            * self.heartbeat_interval
        )
        return [
            id
            for id, span in quiet.items()
            if span > (int(TIMEOUT_HEARTBEATS * self.heartbeat_interval) if id in elsewhere else limit)
        ]

"""Whether this process has run and been in contact long enough for the silence of others to mean anything."""

from __future__ import annotations

from ambershift.system.registry.tombstone_expiry import MAX_HEARTBEAT_DELAY_NS
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MAX_TICK_GAP_NS = 600 * NS_PER_MS  # Ticks further apart: the process stood still and received nothing.
RESUME_QUARANTINE_NS = 2 * NS_PER_SECOND  # After a very long pause, until all that waited has been read.
COMPLETE_AFTER_HEARTBEATS = 2.5  # Intervals in contact after which each instance has sent a heartbeat.


class ProcessHealth:
    """Pauses and contact of this process. Times are ns of the steady clock.

    Attributes:
        running_since: Since when it has run without a pause.
        healthy_since: Since when it has run and been in contact without a break; None if it isn't now.
        is_complete: It has been healthy long enough to know all instances that send heartbeats.
    """

    def __init__(self, heartbeat_interval: int) -> None:
        self._heartbeat_interval = heartbeat_interval
        self._last_tick_at = 0  # 0: never.
        self._quarantine_until = 0
        self.running_since = 0
        self.healthy_since: int | None = None
        self.is_complete = False

    def tick(self, now: int, in_contact: bool) -> bool:
        """Note a tick. Returns whether the pause before it was longer than any heartbeat may be delayed."""
        if not self._last_tick_at:
            self._last_tick_at = now
            self.running_since = now
        pause = now - self._last_tick_at
        self._last_tick_at = now
        stood_still = pause > MAX_TICK_GAP_NS
        if stood_still:
            self.running_since = now
        if not in_contact or stood_still:
            self.healthy_since = None
        elif self.healthy_since is None:
            self.healthy_since = now
        elif now >= self.healthy_since + int(COMPLETE_AFTER_HEARTBEATS * self._heartbeat_interval):
            self.is_complete = True
        if pause > MAX_HEARTBEAT_DELAY_NS:
            self._quarantine_until = now + RESUME_QUARANTINE_NS
            return True
        return False

    def in_quarantine(self, now: int) -> bool:
        """Tell whether heartbeats are ignored: they may have waited for the process while it stood still."""
        return now < self._quarantine_until

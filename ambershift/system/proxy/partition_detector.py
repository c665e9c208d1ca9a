"""Detects that the proxy itself is partitioned: backends in several zones don't respond to it."""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.state_machine import NS_PER_MS

SILENCE_THRESHOLD_NS = 300 * NS_PER_MS
# So many backends, in so many zones, have to leave requests waiting for longer than is usual with them.
MIN_SILENT_BACKENDS = 3
MIN_SILENT_ZONES = 2
TRIAL_INTERVAL_NS = 100 * NS_PER_MS  # One request in this time is let through, to see whether it is over.


class PartitionDetector:
    """While the proxy is partitioned, a request is better rejected at once: the client finds another proxy.

    Attributes:
        last_response_at: When any backend last responded, ns on the monotonic clock.
    """

    def __init__(self) -> None:
        """Start without a response."""
        self.last_response_at = 0
        self._last_trial = 0

    def should_reject(self, now: int, instances: Iterable[BackendInstance]) -> bool:
        """Return whether to reject a request now. This is cheap while backends respond."""
        if now - self.last_response_at < SILENCE_THRESHOLD_NS:
            return False
        silent = [
            instance
            for instance in instances
            if instance.is_avoided(now) and instance.is_silent_since(self.last_response_at + 1)
        ]
        zones = {instance.zone for instance in silent}
        if len(silent) < MIN_SILENT_BACKENDS or len(zones) < MIN_SILENT_ZONES:
            return False
        if now - self._last_trial >= TRIAL_INTERVAL_NS:
            self._last_trial = now
            return False
        return True

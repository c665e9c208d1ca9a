"""Notices that this process was stopped for a while: calls that it reads then are stale.

A call that waited in a socket meanwhile has been sent to another node since, and what it asked for may have
been overtaken. To reject it promises nothing that isn't true, and its caller isn't there any more.
"""

from __future__ import annotations

from ambershift.system.state_machine import NS_PER_MS

PAUSE_THRESHOLD_NS = 800 * NS_PER_MS
STALE_PERIOD_NS = 150 * NS_PER_MS  # After the process runs on, what it reads is stale for so long.


class PauseDetector:
    """Compares the times of its ticks. All times are of the monotonic clock, in ns."""

    def __init__(self) -> None:
        self._last_tick: int | None = None
        self._stale_until = 0
        self._resumed_at = 0

    def tick(self, now: int) -> int:
        """To be called many times a second. Returns for how long the process was stopped, or 0."""
        gap = 0 if self._last_tick is None else now - self._last_tick
        self._last_tick = now
        if gap < PAUSE_THRESHOLD_NS:
            return 0
        self._resumed_at = now
        self._stale_until = now + STALE_PERIOD_NS
        return gap

    def is_stale(self, now: int) -> bool:
        """Whether a call that is read now may have waited while the process was stopped."""
        if self._last_tick is None:
            return False
        return now < self._stale_until or now - self._last_tick >= PAUSE_THRESHOLD_NS

    def was_stopped_since(self, read_at: int, now: int) -> bool:
        """Whether the process was stopped after it read a call, or the call may have waited for it."""
        return self.is_stale(now) or self._resumed_at > read_at

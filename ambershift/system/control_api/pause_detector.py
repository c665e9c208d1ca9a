"""Notices that this process has just been stopped for a while: what it reads then may be long given up.

A call that waited in a socket meanwhile has been sent to another machine since, and what it asked for may
have been overtaken. Refusing it promises nothing that isn't true, and its caller isn't there any more.
"""

from __future__ import annotations

from ambershift.system.state_machine import NS_PER_MS

PAUSE_THRESHOLD_NS = 800 * NS_PER_MS
STALE_PERIOD_NS = 150 * NS_PER_MS


class PauseDetector:
    def __init__(self) -> None:
        self._last_tick: int | None = None
        self._stale_until = 0

    def tick(self, now: int) -> int:
        """To be called many times a second. Returns for how long the process was stopped, in ns, or 0."""
        gap = 0 if self._last_tick is None else now - self._last_tick
        self._last_tick = now
        if gap < PAUSE_THRESHOLD_NS:
            return 0
        self._stale_until = now + STALE_PERIOD_NS
        return gap

    def is_stale(self, now: int) -> bool:
        return self._last_tick is not None and (
            now < self._stale_until or now - self._last_tick >= PAUSE_THRESHOLD_NS
        )

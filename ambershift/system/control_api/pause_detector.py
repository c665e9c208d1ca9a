"""Notices that this process has just been stopped for a while: what it reads then may be long given up.

A call that waited in a socket meanwhile has been sent to another machine since, and what it asked for may
have been overtaken. Refusing it promises nothing that isn't true, and its caller isn't there any more.
"""

from __future__ import annotations

from ambershift.system.state_machine import NS_PER_MS

GAP = 800 * NS_PER_MS
AFTERWARDS = 150 * NS_PER_MS


class PauseDetector:
    def __init__(self) -> None:
        self._last: int | None = None
        self._stale_until = 0

    def beat(self, now: int) -> int:
        """To be called many times a second. Returns for how long the process was stopped, in ns, or 0."""
        gap = 0 if self._last is None else now - self._last
        self._last = now
        if gap < GAP:
            return 0
        self._stale_until = now + AFTERWARDS
        return gap

    def stale(self, now: int) -> bool:
        return self._last is not None and (now < self._stale_until or now - self._last >= GAP)

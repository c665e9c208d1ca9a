"""Detects that the proxy itself is partitioned: no backend in several zones answers it."""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.system.proxy.backend_instance import Life
from ambershift.system.state_machine import NS_PER_MS

SILENT = 300 * NS_PER_MS
# Backends that keep requests waiting for longer than is usual with them, in more than one zone.
WITNESSES, ZONES = 3, 2
TRIAL = 100 * NS_PER_MS  # One request in so long still goes out, to see whether it is over.


class Isolation:
    """While cut off, a request is better refused at once: the client finds another proxy."""

    def __init__(self) -> None:
        self.heard = 0
        self._trial = 0

    def cut(self, now: int, lives: Iterable[Life]) -> bool:
        """Whether to refuse a request now. Costs nothing while answers come."""
        if now - self.heard < SILENT:
            return False
        witnesses = [life for life in lives if life.resting(now) and life.quiet(self.heard + 1)]
        if len(witnesses) < WITNESSES or len({life.zone for life in witnesses}) < ZONES:
            return False
        if now - self._trial >= TRIAL:
            self._trial = now
            return False
        return True

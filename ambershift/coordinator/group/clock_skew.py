"""Clocks: how far this member's wall clock is from the middle of the members'. No I/O."""

from __future__ import annotations

from ambershift.coordinator.maintenance.permits import clock_apart

# A word of a clock counts for so long; of several the latest-looking one, as its way makes it look early.
LASTS = 10_000_000_000


class ClockSkew:
    """Times in ns; `wall` of others comes with the age that the word had when it was read."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.found = dict[str, list[tuple[int, int]]]()

    def heard(self, now: int, mine: int, origin: str, wall: int, age: int) -> None:
        """`now` is the clock that never goes back, `mine` this member's wall clock at the same moment."""
        kept = [one for one in self.found.get(origin, []) if now - one[0] < LASTS]
        self.found[origin] = [*kept[-32:], (now, wall + age - mine)]

    def ahead(self, now: int, origin: str) -> int:
        """How far this member's clock is ahead of ours; 0 where nothing was heard lately."""
        return max((off for at, off in self.found.get(origin, ()) if now - at < LASTS), default=0)

    def apart(self, now: int) -> bool:
        """Whether our clock is apart by more than the bound from the middle of all, our own among them."""
        lately = [name for name, rows in self.found.items() if any(now - at < LASTS for at, _ in rows)]
        return clock_apart([0, *(self.ahead(now, name) for name in lately)], self.bound)

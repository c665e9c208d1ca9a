"""Clocks: how far this member's wall clock is from the middle of the members'. No I/O."""

from __future__ import annotations

from statistics import median

# A word of a clock counts for so long; of several the latest-looking one, as its way makes it look early.
LASTS = 10_000_000_000


class Clocks:
    """Times in ns; `wall` of others comes with the age that the word had when it was read."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.found = dict[str, list[tuple[int, int]]]()

    def heard(self, now: int, mine: int, origin: str, wall: int, age: int) -> None:
        """`now` is the clock that never goes back, `mine` this member's wall clock at the same moment."""
        kept = [one for one in self.found.get(origin, []) if now - one[0] < LASTS]
        self.found[origin] = [*kept[-32:], (now, wall + age - mine)]

    def off(self, now: int) -> int:
        """By how much the middle of all clocks heard lately, one's own too, is ahead of this one."""
        ahead = [max(seen)[0] for rows in self.found.values()
                 if (seen := [(off,) for at, off in rows if now - at < LASTS])]
        return int(median([0, *ahead]))

    def apart(self, now: int) -> bool:
        return abs(self.off(now)) > self.bound

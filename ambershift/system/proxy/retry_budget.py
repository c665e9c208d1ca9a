"""A service's budget of further arrivals: what one proxy may repeat, by its own requests."""

from __future__ import annotations

SLICES = 20
# What is left for requests that arrive a little outside the window in which they were counted here.
SHARE = 0.9


class Budget:
    """Counts requests and further arrivals in slices of a sliding window of `window` ns.

    Every proxy keeps under the ratio of its own requests, so the sum over all does too, whatever is lost or
    started anew; the platform's slack stays unspent.
    """

    def __init__(self, window: int, ratio: float) -> None:
        self._slice = max(1, window // SLICES)
        self._ratio = SHARE * ratio
        # One slice more than the window has for the arrivals (they may not leave early), one less for the
        # requests (they may not stay long): the borders of slices then never help.
        self._requests = [0] * (SLICES + 1)
        self._further = [0] * (SLICES + 1)
        self._at = 0

    def came(self, now: int) -> None:
        """A request for the service has come to this proxy."""
        self._requests[self._turn(now)] += 1

    def take(self, now: int) -> bool:
        """Take one further arrival out of the budget, if there is one."""
        at = self._turn(now)
        oldest = (at + 1) % (SLICES + 1)
        if sum(self._further) + 1 > self._ratio * (sum(self._requests) - self._requests[oldest]):
            return False
        self._further[at] += 1
        return True

    def give_back(self, now: int) -> None:
        """What was just taken has not gone out."""
        at = self._turn(now)
        self._further[at] = max(0, self._further[at] - 1)

    def _turn(self, now: int) -> int:
        number = now // self._slice
        for passed in range(max(self._at, number - SLICES - 1) + 1, number + 1):
            self._requests[passed % (SLICES + 1)] = self._further[passed % (SLICES + 1)] = 0
        self._at = max(self._at, number)
        return self._at % (SLICES + 1)

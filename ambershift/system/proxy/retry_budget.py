"""A service's retry budget: how many retries one proxy may send, in proportion to its own requests."""

from __future__ import annotations

SLICE_COUNT = 20
# The share of the ratio that is spent. The rest is left for requests that reach a backend a little outside
# the window in which they were counted here.
SPENDABLE_SHARE = 0.9


class RetryBudget:
    """Counts requests and retries in the slices of a sliding window.

    Each proxy stays below the ratio of its own requests, so the sum over all proxies does, too, whatever is
    lost or restarted. The platform's slack (`RetrySlack`) stays unspent.
    """

    def __init__(self, window_ns: int, ratio: float) -> None:
        """Start without requests; at most `ratio` retries a request are allowed within the window."""
        self._slice_ns = max(1, window_ns // SLICE_COUNT)
        self._ratio = SPENDABLE_SHARE * ratio
        # Retries are kept for one slice longer than the window, so that none is forgotten early, and requests
        # for one slice less, so that none counts too long: the borders of slices then never allow more.
        self._requests = [0] * (SLICE_COUNT + 1)
        self._retries = [0] * (SLICE_COUNT + 1)
        self._current_slice = 0

    def record_request(self, now: int) -> None:
        """A request for the service has come to this proxy."""
        self._requests[self._advance(now)] += 1

    def take(self, now: int) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        current = self._advance(now)
        oldest = (current + 1) % (SLICE_COUNT + 1)
        if sum(self._retries) + 1 > self._ratio * (sum(self._requests) - self._requests[oldest]):
            return False
        self._retries[current] += 1
        return True

    def give_back(self, now: int) -> None:
        """Return a retry that was just taken, but not sent."""
        current = self._advance(now)
        self._retries[current] = max(0, self._retries[current] - 1)

    def _advance(self, now: int) -> int:
        """Clear the slices that have left the window; return the index of the current one."""
        number = now // self._slice_ns
        for passed in range(max(self._current_slice, number - SLICE_COUNT - 1) + 1, number + 1):
            self._requests[passed % (SLICE_COUNT + 1)] = self._retries[passed % (SLICE_COUNT + 1)] = 0
        self._current_slice = max(self._current_slice, number)
        return self._current_slice % (SLICE_COUNT + 1)

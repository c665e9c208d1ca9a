"""How much of a pool's capacity its traffic takes, and what overload of a zone can be borne with it. No I/O.

The design leaves the threshold of expected overload free. A fixed one fits large zones: with two backends a
zone, rounding to whole backends alone passes any small threshold, and then all proxies of a service send two
requests of three to other regions though no backend is busy. So the threshold follows what there is to spare:
a zone may expect so much overload that its backends would still be within `FULL` of what they can work. Nor
does it fall under `LEAST`: a proxy whose table is full sends single requests on by itself, to its region
first, and that costs less than the table of all servers, which sends two of three abroad while it stands.
"""

from __future__ import annotations

from ambershift.system.state_machine import NS_PER_SECOND

FULL = 0.8  # Of its slots: past this, queues grow.
MIN_THRESHOLD, MAX_THRESHOLD = (
    0.95,
    3.0,
)  # At the least, a zone may live on one of the two backends it is due.
CALM = 0.8  # The threshold is left again under this part of it.
STEP = 0.15  # A threshold that has moved by less stays: each move may rebind all proxies.
MEMORY = 10 * NS_PER_SECOND


class OverloadThreshold:
    """Rates and service time of one pool's traffic, and the threshold of overload that follows."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.rates: dict[str, float] = {}  # Requests a second, by proxy.
        self.work = 0.0  # Slot-seconds of a request, as proxies saw it.

    def record_requests(self, proxy: str, count: int, span: int) -> None:
        """`span` in ns."""
        if span > 0:
            part = min(1.0, span / MEMORY)
            rate = count * NS_PER_SECOND / span
            known = self.rates.get(proxy)
            self.rates[proxy] = rate if known is None else known + part * (rate - known)

    def remove_proxy(self, proxy: str) -> None:
        """Drop a proxy's rate."""
        self.rates.pop(proxy, None)

    def record_mean_latency(self, mean: float) -> None:
        """Mean time (ns) of good answers over a step."""
        self.work = (
            mean / NS_PER_SECOND if not self.work else self.work + 0.1 * (mean / NS_PER_SECOND - self.work)
        )

    def update(self, slots: float) -> float:
        """The threshold now, with so many slots ready."""
        taken = sum(self.rates.values()) * self.work / slots if slots else 0.0
        if not taken:
            return self.limit  # Nothing is known of what a request takes.
        fresh = min(MAX_THRESHOLD, max(MIN_THRESHOLD, FULL / taken - 1))
        if abs(fresh - self.limit) > STEP * self.limit:
            self.limit = fresh
        return self.limit

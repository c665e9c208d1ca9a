"""How much overload of a zone a pool may expect before its traffic goes to other regions. No I/O.

The decision module takes this threshold as a parameter. A fixed one fits large zones only: with two backends
a zone, rounding to whole backends alone passes any small threshold, and then all proxies of a service send
two requests of three to other regions though no backend is busy. So the threshold follows the pool's spare
capacity: a zone may expect so much overload that its backends would still be used to `MAX_UTILIZATION` at the
most. Nor does it fall under `MIN_THRESHOLD`: a proxy whose table is full sends single requests on by itself,
to its region first, and that costs less than the table of all backends, which sends two of three to other
regions as long as it is in use.
"""

from __future__ import annotations

from ambershift.system.state_machine import NS_PER_SECOND

MAX_UTILIZATION = 0.8  # Of a pool's slots; above it queues grow.
MIN_THRESHOLD = 0.95  # A zone may live on one of the two backends that are its share.
MAX_THRESHOLD = 3.0
CLEAR_FRACTION = 0.8  # Overload ends once it is under this part of the threshold (hysteresis).
MIN_RELATIVE_CHANGE = 0.15  # A smaller change is ignored, since each may rebind all proxies.
RATE_TIME_CONSTANT_NS = 10 * NS_PER_SECOND  # Of the moving average of a proxy's request rate.
LATENCY_WEIGHT = 0.1  # Of a new sample in the moving average of the service time.


class OverloadThreshold:
    """Rates and service time of one pool's traffic, and the threshold of overload that follows.

    Attributes:
        threshold: The present one: by how much a zone's load may exceed its capacity, 1.0 for twice.
        rates: Requests per second, by proxy.
        service_time_s: Mean time of a request at a backend, as proxies measured it; 0 if it is unknown.
    """

    def __init__(self, threshold: float) -> None:
        """Start with this threshold; it stays until rates and service time are known."""
        self.threshold = threshold
        self.rates: dict[str, float] = {}
        self.service_time_s = 0.0

    def record_requests(self, proxy: str, count: int, span_ns: int) -> None:
        """Record how many requests came to a proxy over a span."""
        if span_ns > 0:
            weight = min(1.0, span_ns / RATE_TIME_CONSTANT_NS)
            rate = count * NS_PER_SECOND / span_ns
            known = self.rates.get(proxy)
            self.rates[proxy] = rate if known is None else known + weight * (rate - known)

    def remove_proxy(self, proxy: str) -> None:
        """Drop a proxy's rate."""
        self.rates.pop(proxy, None)

    def record_mean_latency(self, mean_ns: float) -> None:
        """Record the mean time of the successful attempts of a step."""
        sample_s = mean_ns / NS_PER_SECOND
        self.service_time_s = (
            sample_s
            if not self.service_time_s
            else self.service_time_s + LATENCY_WEIGHT * (sample_s - self.service_time_s)
        )

    def update(self, slots: float) -> float:
        """The threshold now, with so many slots of ready backends."""
        utilization = sum(self.rates.values()) * self.service_time_s / slots if slots else 0.0
        if not utilization:
            return self.threshold  # Rates or service time are unknown.
        target = min(MAX_THRESHOLD, max(MIN_THRESHOLD, MAX_UTILIZATION / utilization - 1))
        if abs(target - self.threshold) > MIN_RELATIVE_CHANGE * self.threshold:
            self.threshold = target
        return self.threshold

"""Request rates of the proxies linked here, summed by zone and pool, and which sums changed notably."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection

from ambershift.system.messages.proxy_link import parse_host_counter_name
from ambershift.system.messages.registry_sync import PoolRate
from ambershift.system.state_machine import NS_PER_SECOND

WINDOW_NS = 15 * NS_PER_SECOND  # Rates are averaged over the reports of this time.
PUBLISH_INTERVAL_NS = 2 * NS_PER_SECOND
MIN_RELATIVE_CHANGE = 0.1
MIN_CHANGE = 20  # Requests per 100 s.


class TrafficRates:
    """Reports of the proxies linked here, and the sums that were last published.

    Attributes:
        reports: By proxy, oldest first: arrival (ns), time covered (ns), and requests by pool.
        zones: The zone of each proxy.
        published: Requests per 100 s, by zone and pool, as the other control nodes know them.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.reports = defaultdict[str, deque[tuple[int, int, dict[str, int]]]](deque)
        self.zones: dict[str, str] = {}
        self.published: dict[tuple[str, str], int] = {}
        self._published_at = 0

    def report(self, now: int, proxy: str, zone: str, span_ns: int, requests: dict[str, int]) -> None:
        """Add a proxy's report: how many requests came over a span, by pool."""
        self.zones[proxy] = zone
        self.reports[proxy].append((now, span_ns, requests))

    def remove_proxy(self, proxy: str) -> None:
        """Drop a proxy's reports."""
        self.zones.pop(proxy, None)
        self.reports.pop(proxy, None)

    def take_changes(self, now: int, pools: Collection[str]) -> tuple[list[PoolRate], list[tuple[str, str]]]:
        """What to publish now, at most every `PUBLISH_INTERVAL_NS`.

        Returns:
            The sums that have changed by `MIN_RELATIVE_CHANGE` since they were published, and zone and pool
            of the published sums that are gone.
        """
        if now < self._published_at + PUBLISH_INTERVAL_NS:
            return [], []
        self._published_at = now
        for reports in self.reports.values():
            while reports and reports[0][0] < now - WINDOW_NS:
                reports.popleft()
        rates = self._rates(pools)
        changed = list[PoolRate]()
        for key, rate in rates.items():
            published = self.published.get(key)
            if published is None or abs(rate - published) > max(MIN_CHANGE, MIN_RELATIVE_CHANGE * published):
                self.published[key] = round(rate)
                changed.append(PoolRate(*key, round(rate)))
        removed = [key for key in self.published if key not in rates]
        for key in removed:
            del self.published[key]
        return changed, removed

    def _rates(self, pools: Collection[str]) -> dict[tuple[str, str], float]:
        """Requests per 100 s by zone and name, for these pools and for all host counters reported."""
        host_counters = {
            name
            for reports in self.reports.values()
            for *_, requests in reports
            for name in requests
            if parse_host_counter_name(name)
        }
        names = *pools, *sorted(host_counters)
        rates = dict.fromkeys(((zone, name) for zone in self.zones.values() for name in names), 0.0)
        for proxy, reports in self.reports.items():
            covered_ns = sum(span_ns for _, span_ns, _ in reports)
            for _, _, requests in reports:
                for pool, count in requests.items():
                    if (self.zones[proxy], pool) in rates:
                        rates[self.zones[proxy], pool] += count * 100 * NS_PER_SECOND / covered_ns
        return rates

"""Traffic of the proxies linked here, summed by zone and pool, and which sums the other nodes are sent."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection

from ambershift.system.messages.proxy_link import parse_host_counter_name
from ambershift.system.messages.registry_sync import PoolRate
from ambershift.system.state_machine import NS_PER_SECOND

WINDOW, TOLD_EACH, MOVED = 15 * NS_PER_SECOND, 2 * NS_PER_SECOND, 0.1
SMALL = 20  # Requests per 100 s: less than this is no move.


class TrafficRates:
    """Reports of the proxies linked here, and the sums that were last published."""

    def __init__(self) -> None:
        self.came = defaultdict[str, deque[tuple[int, int, dict[str, int]]]](deque)  # Of proxies.
        self.zones: dict[str, str] = {}
        self.told: dict[tuple[str, str], int] = {}
        self.told_at = 0

    def report(self, now: int, proxy: str, zone: str, span: int, came: dict[str, int]) -> None:
        """Add a proxy's report: requests by pool over a span (ns)."""
        self.zones[proxy] = zone
        self.came[proxy].append((now, span, came))

    def remove_proxy(self, proxy: str) -> None:
        """Drop a proxy's reports."""
        self.zones.pop(proxy, None)
        self.came.pop(proxy, None)

    def take_changes(self, now: int, pools: Collection[str]) -> tuple[list[PoolRate], list[tuple[str, str]]]:
        """Sums that have moved by a tenth since they were published, and those that are gone."""
        if now < self.told_at + TOLD_EACH:
            return [], []
        self.told_at = now
        for reports in self.came.values():
            while reports and reports[0][0] < now - WINDOW:
                reports.popleft()
        tallies = {
            name
            for reports in self.came.values()
            for *_, came in reports
            for name in came
            if parse_host_counter_name(name)
        }
        names = *pools, *sorted(tallies)
        rates = dict.fromkeys(((zone, name) for zone in self.zones.values() for name in names), 0.0)
        for proxy, reports in self.came.items():
            spans = sum(span for _, span, _ in reports)
            for _, _, came in reports:
                for pool, count in came.items():
                    if (self.zones[proxy], pool) in rates:
                        rates[self.zones[proxy], pool] += count * 100 * NS_PER_SECOND / spans
        moved = list[PoolRate]()
        for key, rate in rates.items():
            told = self.told.get(key)
            if told is None or abs(rate - told) > max(SMALL, MOVED * told):
                self.told[key] = round(rate)
                moved.append(PoolRate(*key, round(rate)))
        gone = [key for key in self.told if key not in rates]
        for key in gone:
            del self.told[key]
        return moved, gone

"""Which clients are sent to proxies of another region, since their requests have to be answered there.

If a route has home regions and none of them is the client's, each proxy near the client forwards its requests
abroad, and body and answer cross our links between regions. Clients ask for addresses by host, and a host may
have other routes too. So the traffic of the host decides, as the proxies count it
(`messages.proxy_link.host_counter_name`). Without I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from ambershift.system.messages.proxy_link import parse_host_counter_name

# Share of a host's requests with homes elsewhere: from the first on clients are sent there, below the second
# no longer. A client far from its proxy waits longer for what could be answered near it.
REDIRECT_MIN_SHARE = 0.6
RETAIN_MIN_SHARE = 0.4
MIN_RATE_PER_100S = 100  # Requests per 100 s of a host; below it the last decision stays.
MAX_REDIRECTS = 10_000  # Callers may name any region; this bounds what is remembered of them.

NO_REGIONS = frozenset[str]()


class HomeRegions:
    """The decision by host and client region, with hysteresis.

    Attributes:
        host_rates: Requests per 100 s, by host.
        homed_rates: Of these, the ones of routes with home regions, by host and regions.
        redirects: Regions that clients are sent to, by host and client region.
    """

    def __init__(self) -> None:
        self.host_rates: dict[str, int] = {}
        self.homed_rates: dict[str, dict[frozenset[str], int]] = {}
        self.redirects: dict[tuple[str, str], frozenset[str]] = {}

    def update(self, rates: Mapping[str, int]) -> None:
        """Take over the rates at all proxies now (requests per 100 s), by name of the counter."""
        host_rates = dict[str, int]()
        homed_rates = defaultdict[str, dict[frozenset[str], int]](dict)
        for name, rate in rates.items():
            if parts := parse_host_counter_name(name):
                host, homes = parts
                if homes:
                    homed_rates[host][frozenset(homes)] = rate
                else:
                    host_rates[host] = rate
        self.host_rates = host_rates
        self.homed_rates = dict(homed_rates)
        self.redirects = {key: homes for key, homes in self.redirects.items() if key[0] in homed_rates}

    def regions_for(self, host: str, region: str) -> frozenset[str]:
        """Return the regions whose proxies clients of this host and region are sent to.

        Empty where proxies near the client are as good.
        """
        host = host.partition(":")[0].lower()
        key = host, region
        if not region or host not in self.homed_rates or self.host_rates.get(host, 0) < MIN_RATE_PER_100S:
            return self.redirects.get(key, NO_REGIONS)
        rates_elsewhere = {
            homes: rate for homes, rate in self.homed_rates[host].items() if rate and region not in homes
        }
        min_share = RETAIN_MIN_SHARE if key in self.redirects else REDIRECT_MIN_SHARE
        if sum(rates_elsewhere.values()) >= min_share * self.host_rates[host] and (
            common_homes := frozenset.intersection(*rates_elsewhere)
        ):
            if len(self.redirects) < MAX_REDIRECTS:
                self.redirects[key] = common_homes
            return common_homes
        self.redirects.pop(key, None)
        return NO_REGIONS

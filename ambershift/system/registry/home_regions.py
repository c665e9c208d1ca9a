"""Which clients are better named proxies of another region: those whose requests have to be answered there.

A request whose route has homes, none of them near the client, is passed on abroad by any proxy near it: body
and answer go over our own links between regions. Clients ask the directory by host, and a host may have other
routes too: so what comes for it decides, as the proxies count it (`messages.fronts.tally_of`). No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from ambershift.system.messages.proxy_link import parse_host_counter_name

# Of a host's requests, the part that homes elsewhere must have before its clients are sent there, and under
# which they are not any more: a client far from its proxy waits longer for what could be answered near it.
REDIRECT_MIN_SHARE, RETAIN_MIN_SHARE = 0.6, 0.4
MIN_RATE_PER_100S = 100  # Requests per 100 s; fewer tell nothing, and what was chosen stays.

NO_REGIONS = frozenset[str]()


class HomeRegions:
    def __init__(self) -> None:
        self.host_rates: dict[str, int] = {}  # By host.
        self.homed_rates: dict[str, dict[frozenset[str], int]] = {}  # Of these, by host and homes.
        self.redirects: dict[
            tuple[str, str], frozenset[str]
        ] = {}  # Where clients are sent, by host and region.

    def update(self, rates: Mapping[str, int]) -> None:
        """What comes to all proxies now, by name of the sum."""
        totals, bound = dict[str, int](), defaultdict[str, dict[frozenset[str], int]](dict)
        for name, rate in rates.items():
            if parts := parse_host_counter_name(name):
                host, homes = parts
                if homes:
                    bound[host][frozenset(homes)] = rate
                else:
                    totals[host] = rate
        self.host_rates, self.homed_rates = totals, dict(bound)
        self.redirects = {key: homes for key, homes in self.redirects.items() if key[0] in bound}

    def regions_for(self, host: str, region: str) -> frozenset[str]:
        """The regions whose proxies this host's clients are to be named; none where near ones are as good."""
        host = host.partition(":")[0].lower()
        if not region or host not in self.homed_rates or self.host_rates.get(host, 0) < MIN_RATE_PER_100S:
            return self.redirects.get((host, region), NO_REGIONS)
        away = {homes: rate for homes, rate in self.homed_rates[host].items() if rate and region not in homes}
        least = RETAIN_MIN_SHARE if (host, region) in self.redirects else REDIRECT_MIN_SHARE
        if sum(away.values()) < least * self.host_rates[host] or not (
            all_bear := frozenset.intersection(*away)
        ):
            self.redirects.pop((host, region), None)
            return NO_REGIONS
        if len(self.redirects) < 10_000:  # Callers may name any region.
            self.redirects[host, region] = all_bear
        return all_bear

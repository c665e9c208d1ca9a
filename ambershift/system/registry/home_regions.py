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
MOST, LEAST = 0.6, 0.4
SEEN = 100  # Requests per 100 s; fewer tell nothing, and what was chosen stays.

NOWHERE = frozenset[str]()


class Homes:
    def __init__(self) -> None:
        self.totals: dict[str, int] = {}  # By host.
        self.bound: dict[str, dict[frozenset[str], int]] = {}  # Of these, by host and homes.
        self.sent: dict[tuple[str, str], frozenset[str]] = {}  # Where clients are sent, by host and region.

    def take(self, rates: Mapping[str, int]) -> None:
        """What comes to all proxies now, by name of the sum."""
        totals, bound = dict[str, int](), defaultdict[str, dict[frozenset[str], int]](dict)
        for name, rate in rates.items():
            if parts := parse_host_counter_name(name):
                host, homes = parts
                if homes:
                    bound[host][frozenset(homes)] = rate
                else:
                    totals[host] = rate
        self.totals, self.bound = totals, dict(bound)
        self.sent = {key: homes for key, homes in self.sent.items() if key[0] in bound}

    def of(self, host: str, region: str) -> frozenset[str]:
        """The regions whose proxies this host's clients are to be named; none where near ones are as good."""
        host = host.partition(":")[0].lower()
        if not region or host not in self.bound or self.totals.get(host, 0) < SEEN:
            return self.sent.get((host, region), NOWHERE)
        away = {homes: rate for homes, rate in self.bound[host].items() if rate and region not in homes}
        least = LEAST if (host, region) in self.sent else MOST
        if sum(away.values()) < least * self.totals[host] or not (all_bear := frozenset.intersection(*away)):
            self.sent.pop((host, region), None)
            return NOWHERE
        if len(self.sent) < 10_000:  # Callers may name any region.
            self.sent[host, region] = all_bear
        return all_bear

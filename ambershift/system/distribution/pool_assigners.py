"""All pools of this control node: what list, routes, proxies and reports mean for each pool's assigner.

A backend is seated in each pool that its service and region fit. While it is cold or its zone is evacuated it
has weight 0 there: out of all tables, but not withdrawn, since proxies know both and judge by themselves.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from ambershift import interface as api
from ambershift.system.distribution.assigner import Assigner, PoolBackend, TableChanges
from ambershift.system.distribution.pools import Pool, pools_of_routes
from ambershift.system.distribution.terms import terms_for, zone_order
from ambershift.system.messages.items import ZONE, Item
from ambershift.system.messages.proxy_link import LoadReport
from ambershift.system.registry.records import Instance, ProxyRecord
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

FED_EACH = NS_PER_SECOND


class PoolAssigners:
    """The pools, their backends and proxies; feeds each pool's assigner."""

    def __init__(self, zones: Mapping[str, str], seed: int) -> None:
        self.regions, self.chance = zones, random.Random(seed)
        self.zones = {zone: at for at, zone in enumerate(zone_order(zones))}
        self.pools: dict[str, Pool] = {}
        self.assigners: dict[str, Assigner] = {}
        self.serving: dict[str, list[Assigner]] = {}  # By service.
        self.lives: dict[str, Instance] = {}
        self.evacuated: set[str] = set()
        self.cold: dict[str, int] = {}  # Backends that are cold, until when.
        self.proxies: dict[str, tuple[str, str, str]] = {}  # Zone, control node ("": here), incarnation.
        self.carried: dict[tuple[str, str], float] = {}  # Parts of requests not yet fed.
        self.fed_at = 0

    def update_routes(self, items: Iterable[Item]) -> None:
        """Routes or evacuations have changed."""
        known = list(items)
        self.pools = pools_of_routes(known)
        self.evacuated = {one.name for one in known if one.kind == ZONE and one.body == b"true"}
        for gone in self.assigners.keys() - self.pools.keys():
            del self.assigners[gone]
        for name, pool in self.pools.items():
            if name not in self.assigners:
                assigner = self.assigners[name] = Assigner(
                    name, terms_for(pool, self.regions), self.chance.getrandbits(63)
                )
                for proxy, (zone, keeper, _) in self.proxies.items():
                    assigner.add_proxy(proxy, self.zones.get(zone, -1), not keeper)
        self.serving = {}
        for name, pool in self.pools.items():
            self.serving.setdefault(pool.service, []).append(self.assigners[name])
        self._seat(self.lives.values())

    def update_backends(self, now: int, put: Iterable[Instance], gone: Iterable[str]) -> None:
        """The list has changed."""
        fresh = list(put)
        for life in fresh:
            self.lives[life.id] = life
            self.cold.pop(life.id, None)
            if life.warming_until > now:
                self.cold[life.id] = life.warming_until
        for id in gone:
            self.cold.pop(id, None)
            if known := self.lives.pop(id, None):
                for assigner in self.serving.get(known.service, ()):
                    assigner.update_backends({id: PoolBackend(-1, api.Phase.GONE, 0.0)})
        self._seat(fresh)

    def add_proxy(self, name: str, zone: str, keeper: str, life: str) -> None:
        """Add a proxy; of one that is linked to another node (`keeper`) only the traffic counts."""
        if self.proxies.get(name) != (zone, keeper, life):
            self.proxies[name] = zone, keeper, life
            for assigner in self.assigners.values():
                assigner.add_proxy(name, self.zones.get(zone, -1), not keeper)

    def remove_proxy(self, name: str) -> None:
        """Remove a proxy from all pools."""
        if self.proxies.pop(name, None):
            for assigner in self.assigners.values():
                assigner.remove_proxy(name)
            self.carried = {key: part for key, part in self.carried.items() if key[0] != name}

    def update_remote_proxies(self, directory: Mapping[str, tuple[str, ProxyRecord]]) -> None:
        """Take the proxies linked elsewhere from the directory, unless they are linked here."""
        here = {name for name, (_, keeper, _) in self.proxies.items() if not keeper}
        elsewhere = {
            name: (keeper, proxy)
            for name, (keeper, proxy) in directory.items()
            if keeper and name not in here and not proxy.draining
        }
        for name in self.proxies.keys() - elsewhere.keys() - here:
            self.remove_proxy(name)
        for name, (keeper, proxy) in elsewhere.items():
            self.add_proxy(name, proxy.zone, keeper, proxy.incarnation)

    def record_load(self, name: str, report: LoadReport) -> None:
        """What came to a proxy linked here, none where a pool isn't named, and what it met."""
        zone = self.zones.get(self.proxies[name][0], -1)
        for pool, assigner in self.assigners.items():
            assigner.record_requests(name, report.requests.get(pool, 0), report.interval_ms * NS_PER_MS)
        for met in report.backends:
            life = self.lives.get(met.backend_id)
            for assigner in self.serving.get(life.service, ()) if life else ():
                assigner.record_results(zone, met)

    def record_remote_rates(self, now: int, flows: Mapping[tuple[str, str, str], int]) -> None:
        """The other nodes' traffic (requests per 100 s by node, zone, pool) is usage there."""
        span, self.fed_at = min(now - self.fed_at, 2 * FED_EACH), now
        counts = defaultdict[tuple[str, str], list[str]](list)
        for name, (zone, keeper, _) in self.proxies.items():
            if keeper:
                counts[keeper, zone].append(name)
        for (keeper, zone, pool), rate in flows.items():
            if assigner := self.assigners.get(pool):
                names = counts.get((keeper, zone), [])
                for name in names:
                    came = self.carried.get((name, pool), 0.0) + rate * span / (
                        100 * NS_PER_SECOND * len(names)
                    )
                    self.carried[name, pool] = came - int(came)
                    assigner.record_requests(name, int(came), span)

    def step(self, now: int) -> list[tuple[str, TableChanges]]:
        """One turn of the pools whose time it is."""
        warm = [id for id, until in self.cold.items() if until <= now]
        for id in warm:
            del self.cold[id]
        self._seat([self.lives[id] for id in warm])
        return [(pool, dealt) for pool, assigner in self.assigners.items() if (dealt := assigner.step(now))]

    def _seat(self, lives: Iterable[Instance]) -> None:
        by_service = defaultdict[str, list[Instance]](list)
        for life in lives:
            by_service[life.service].append(life)
        for name, pool in self.pools.items():
            if seats := self._seats(pool, by_service.get(pool.service, ())):
                self.assigners[name].update_backends(seats)

    def _seats(self, pool: Pool, lives: Sequence[Instance]) -> dict[str, PoolBackend]:
        seats = dict[str, PoolBackend]()
        for life in lives:
            if not pool.home_regions or self.regions.get(life.zone) in pool.home_regions:
                open = life.id not in self.cold and life.zone not in self.evacuated
                phase = api.Phase.DRAINING if life.draining else api.Phase.READY
                seats[life.id] = PoolBackend(
                    self.zones.get(life.zone, -1), phase, life.slots if open else 0.0
                )
        return seats

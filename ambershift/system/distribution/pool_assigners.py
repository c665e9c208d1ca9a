"""All pools of this control node: feeds their assigners backends, routes, proxies and load reports.

A backend belongs to each pool that its service and region fit. While it is cold or its zone is evacuated it
has weight 0 there: out of all tables, but not withdrawn, since proxies know both and decide by themselves.
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

REMOTE_RATES_INTERVAL_NS = NS_PER_SECOND
UNKNOWN_ZONE = -1


class PoolAssigners:
    """The pools, their backends and proxies; feeds each pool's assigner.

    Attributes:
        pools: All pools, by name.
        assigners: The assigner of each pool, by the pool's name.
        instances: All backends on the endpoint list, by id.
        evacuated_zones: Names of the zones that nothing is to be sent to.
        cold_until: When each cold backend is warm (ns), by id.
        proxies: Zone, ip of the control node ("" for this one) and incarnation of each proxy, by name.
        remote_rates_at: When the other control nodes' rates were last recorded (ns).
    """

    def __init__(self, zones: Mapping[str, str], seed: int) -> None:
        """Start without pools.

        Args:
            zones: The region of each zone.
            seed: Of the assigners' seeds.
        """
        self.pools: dict[str, Pool] = {}
        self.assigners: dict[str, Assigner] = {}
        self.instances: dict[str, Instance] = {}
        self.evacuated_zones: set[str] = set()
        self.cold_until: dict[str, int] = {}
        self.proxies: dict[str, tuple[str, str, str]] = {}
        self.remote_rates_at = 0
        self._regions = zones
        self._zone_numbers = {zone: number for number, zone in enumerate(zone_order(zones))}
        self._random = random.Random(seed)
        self._assigners_by_service: dict[str, list[Assigner]] = {}
        # Fractions of requests not recorded yet, by proxy and pool: assigners count whole requests.
        self._fractions: dict[tuple[str, str], float] = {}

    def update_routes(self, items: Iterable[Item]) -> None:
        """Take the pools and the evacuations of all items."""
        items = list(items)
        self.pools = pools_of_routes(items)
        self.evacuated_zones = {item.name for item in items if item.kind == ZONE and item.body == b"true"}
        for removed in self.assigners.keys() - self.pools.keys():
            del self.assigners[removed]
        for name, pool in self.pools.items():
            if name not in self.assigners:
                assigner = self.assigners[name] = Assigner(
                    name, terms_for(pool, self._regions), self._random.getrandbits(63)
                )
                for proxy, (zone, control_node, _) in self.proxies.items():
                    assigner.add_proxy(proxy, self._zone_number(zone), not control_node)
        self._assigners_by_service = {}
        for name, pool in self.pools.items():
            self._assigners_by_service.setdefault(pool.service, []).append(self.assigners[name])
        self._update_pools(self.instances.values())

    def update_backends(self, now: int, updated: Iterable[Instance], removed_ids: Iterable[str]) -> None:
        """Take changes of the endpoint list."""
        updated = list(updated)
        for instance in updated:
            self.instances[instance.id] = instance
            self.cold_until.pop(instance.id, None)
            if instance.warming_until > now:
                self.cold_until[instance.id] = instance.warming_until
        for id in removed_ids:
            self.cold_until.pop(id, None)
            if known := self.instances.pop(id, None):
                for assigner in self._assigners_by_service.get(known.service, ()):
                    assigner.update_backends({id: PoolBackend(UNKNOWN_ZONE, api.Phase.GONE, 0.0)})
        self._update_pools(updated)

    def add_proxy(self, name: str, zone: str, control_node: str, incarnation: str) -> None:
        """Add a proxy to all pools.

        Args:
            name: The proxy's name.
            zone: Its zone.
            control_node: Ip of the control node that it is linked to, "" for this one. Of a proxy linked to
                another one only the traffic counts.
            incarnation: The proxy's; a restarted one is added anew.
        """
        if self.proxies.get(name) != (zone, control_node, incarnation):
            self.proxies[name] = zone, control_node, incarnation
            for assigner in self.assigners.values():
                assigner.add_proxy(name, self._zone_number(zone), not control_node)

    def remove_proxy(self, name: str) -> None:
        """Remove a proxy from all pools."""
        if self.proxies.pop(name, None):
            for assigner in self.assigners.values():
                assigner.remove_proxy(name)
            self._fractions = {key: part for key, part in self._fractions.items() if key[0] != name}

    def update_remote_proxies(self, directory: Mapping[str, tuple[str, ProxyRecord]]) -> None:
        """Take the proxies linked to other control nodes from the directory, unless they are linked here.

        Args:
            directory: Ip of the control node ("" for this one) and record of each proxy, by name.
        """
        local = {name for name, (_, control_node, _) in self.proxies.items() if not control_node}
        remote = {
            name: (control_node, proxy)
            for name, (control_node, proxy) in directory.items()
            if control_node and name not in local and not proxy.draining
        }
        for name in self.proxies.keys() - remote.keys() - local:
            self.remove_proxy(name)
        for name, (control_node, proxy) in remote.items():
            self.add_proxy(name, proxy.zone, control_node, proxy.incarnation)

    def record_load(self, name: str, report: LoadReport) -> None:
        """Record the load report of a proxy linked here; a pool that it doesn't name had no requests."""
        zone = self._zone_number(self.proxies[name][0])
        for pool, assigner in self.assigners.items():
            assigner.record_requests(name, report.requests.get(pool, 0), report.interval_ms * NS_PER_MS)
        for load in report.backends:
            instance = self.instances.get(load.backend_id)
            for assigner in self._assigners_by_service.get(instance.service, ()) if instance else ():
                assigner.record_results(zone, load)

    def record_remote_rates(self, now: int, rates: Mapping[tuple[str, str, str], int]) -> None:
        """Divide the traffic at other control nodes evenly among the proxies that are linked to them.

        Args:
            now: Steady time in ns.
            rates: Requests per 100 s, by ip of the control node, zone and pool.
        """
        span_ns = min(now - self.remote_rates_at, 2 * REMOTE_RATES_INTERVAL_NS)
        self.remote_rates_at = now
        proxies = defaultdict[tuple[str, str], list[str]](list)  # By control node and zone.
        for name, (zone, control_node, _) in self.proxies.items():
            if control_node:
                proxies[control_node, zone].append(name)
        for (control_node, zone, pool), rate in rates.items():
            if assigner := self.assigners.get(pool):
                names = proxies.get((control_node, zone), [])
                for name in names:
                    requests = self._fractions.get((name, pool), 0.0) + rate * span_ns / (
                        100 * NS_PER_SECOND * len(names)
                    )
                    self._fractions[name, pool] = requests - int(requests)
                    assigner.record_requests(name, int(requests), span_ns)

    def step(self, now: int) -> list[tuple[str, TableChanges]]:
        """Run the assigners whose step is due; gives the changes by pool."""
        warm_ids = [id for id, until in self.cold_until.items() if until <= now]
        for id in warm_ids:
            del self.cold_until[id]
        self._update_pools([self.instances[id] for id in warm_ids])
        return [
            (pool, changes) for pool, assigner in self.assigners.items() if (changes := assigner.step(now))
        ]

    def _update_pools(self, instances: Iterable[Instance]) -> None:
        """Tell the assigners of these backends, which are new or changed."""
        by_service = defaultdict[str, list[Instance]](list)
        for instance in instances:
            by_service[instance.service].append(instance)
        for name, pool in self.pools.items():
            if backends := self._backends_of(pool, by_service.get(pool.service, ())):
                self.assigners[name].update_backends(backends)

    def _backends_of(self, pool: Pool, instances: Sequence[Instance]) -> dict[str, PoolBackend]:
        """Those of the service's instances that belong to the pool."""
        backends = dict[str, PoolBackend]()
        for instance in instances:
            if not pool.home_regions or self._regions.get(instance.zone) in pool.home_regions:
                is_available = (
                    instance.id not in self.cold_until and instance.zone not in self.evacuated_zones
                )
                phase = api.Phase.DRAINING if instance.draining else api.Phase.READY
                backends[instance.id] = PoolBackend(
                    self._zone_number(instance.zone), phase, instance.slots if is_available else 0.0
                )
        return backends

    def _zone_number(self, zone: str) -> int:
        return self._zone_numbers.get(zone, UNKNOWN_ZONE)

"""One pool's assigner at the whole size: a table user a proxy, as today, or one a zone or region."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from ambershift import interface as api
from ambershift.system.distribution.assigner import Assigner, PoolBackend
from ambershift.system.distribution.pools import Pool
from ambershift.system.distribution.terms import terms_for, zone_order
from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import BackendLoad, BindTable
from ambershift.system.state_machine import NS_PER_SECOND
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found, elsewhere, megabytes, micros
from benchmarks.capacity.world import CONTROL_NODES, Size

POOLS, SEATS = 5, 36


class Hall:
    """Some pools' assigners with joined proxies, on a chosen clock. A sixth of the proxies is linked here."""

    def __init__(self, size: Size, proxies: int) -> None:
        self.size, self.count, self.now = size, proxies, 1000 * NS_PER_SECOND
        self.zones = {zone: at for at, zone in enumerate(zone_order(size.places))}
        self.names = [world.proxy_name(at) for at in range(proxies)]
        self.zoned = [self.zones[size.names[at % size.zones]] for at in range(proxies)]
        self.sent, self.tables = 0, set[int]()
        pools = [Pool(world.service(at), world.service(at), (), 500) for at in range(POOLS)]
        self.assigners = [Assigner(one.name, terms_for(one, size.places), 1) for one in pools]
        for pool, assigner in enumerate(self.assigners):
            assigner.update_backends({f"i-{pool}-{at}": self.seat(pool, at) for at in range(SEATS)})
            for at, name in enumerate(self.names):
                assigner.add_proxy(name, self.zoned[at], at % CONTROL_NODES == 0)

    def seat(self, pool: int, at: int, weight: float = 6.0) -> PoolBackend:
        return PoolBackend((pool + at * 7) % self.size.zones, api.Phase.READY, weight)

    def deal(self) -> None:
        for assigner in self.assigners:
            changes = assigner.step(self.now)
            for name, message in changes.messages if changes else ():
                self.sent += len(codec.encode(message))
                if isinstance(message, BindTable):
                    self.tables.add(message.table)
                assert name
            for mark, names in changes.barriers if changes else ():
                for name in names:
                    assigner.record_applied(mark, name, NS_PER_SECOND // 20)

    def due(self, _: int) -> None:
        self.now += NS_PER_SECOND
        self.deal()

    def usual(self, at: int) -> None:
        """A second: what came to each proxy, what some met, and the step that is due then."""
        for pool, assigner in enumerate(self.assigners):
            for name in self.names:
                assigner.record_requests(name, 7, NS_PER_SECOND)
            for one in range(0, min(self.count, SEATS)):
                assigner.record_results(self.zoned[one], BackendLoad(f"i-{pool}-{one}", 4, 0, 90))
        self.due(at)


def variant(told: str, size: Size, proxies: int) -> Found:
    found: Found = {}
    before = megabytes()
    hall = Hall(size, proxies)
    found[f"{told}: first step of a pool|ms"] = micros(hall.due, 1) / 1e3 / POOLS
    for at in range(2):
        hall.usual(at)
    found[f"{told}: memory of a pool|MB"] = (megabytes() - before) / POOLS
    found[f"{told}: a second of a pool|ms"] = micros(hall.usual, 3) / 1e3 / POOLS
    hall.sent = 0
    for pool, assigner in enumerate(hall.assigners):
        assigner.update_backends({f"i-{pool}-3": hall.seat(pool, 3, 0.0)})
    found[f"{told}: step after a change of the list|ms"] = micros(hall.due, 1) / 1e3 / POOLS
    found[f"{told}: tables changes|number"] = len(hall.tables)
    found[f"{told}: sent for that change, a pool|B"] = hall.sent / POOLS
    return found


def play(size: Size) -> Found:
    by_region = replace(size, zones=size.regions)
    found: Found = {}
    for told, one, proxies in (
        ("a proxy a region", by_region, size.regions),
        ("regions for zones, one seat a proxy", by_region, size.proxies),
        ("a proxy a zone", size, size.zones),
        ("one seat a proxy", size, size.proxies),
    ):
        (made,) = elsewhere(
            lambda told=told, one=one, proxies=proxies: [  # type: ignore[misc]
                msgspec.json.encode(variant(told, one, proxies))
            ]
        )
        found |= msgspec.json.decode(made, type=Found)
    return found

"""The backends a proxy knows, by incarnation, service and pool, with tables and binds. No input or output."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import accumulate

from ambershift.system.messages.proxy_link import (
    Backend,
    BackendUpdate,
    BindTable,
    TableEntry,
    parse_pool_name,
)
from ambershift.system.proxy.backend_instance import COLD_MORE, DOUBT, Life, life_of
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# What a list says of coldness this long after a zone was taken back, it knew after that, ns.
SURELY_NEWER = 2 * NS_PER_SECOND


class Tier:
    """Incarnations to choose among, their weights, and the running sums of these."""

    __slots__ = ("lives", "sums", "weights")

    def __init__(self, weighed: Iterable[tuple[Life, float]]) -> None:
        self.weights = {life: weight for life, weight in weighed if weight > 0}
        self.lives = list(self.weights)
        self.sums = list(accumulate(self.weights.values()))


class Pool:
    """A service's incarnations within the home regions. `listed` are those of the bound table, `near` those
    of the proxy's own region, `all` every one; each choice goes on to the next where it finds nothing good.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.service, self.homes = parse_pool_name(name)
        self.table: int | None = None
        self.lines: dict[str, float] = {}
        self.stale = True
        self.listed = self.near = self.all = Tier(())

    def alive(self, now: int) -> bool:
        """Whether anything may be sent to any of its backends."""
        return any(life.open(now) for life in self.all.lives)


class BackendView:
    """Merges what the control node and the items say of backends. Times are ns, steady."""

    def __init__(self, region: str, zones: Mapping[str, str], cold_for: Callable[[str], int]) -> None:
        """`cold_for`: how long, ns, a backend of a service may be cold after a start."""
        self.region, self.zones, self.cold_for = region, zones, cold_for
        self.instances: dict[str, Life] = {}
        self._doubted: dict[str, Life] = {}  # Those that the list of the link in use doesn't name.
        self._services: dict[str, dict[str, Life]] = {}
        self._pools: dict[str, Pool] = {}
        self._by_service: dict[str, list[Pool]] = {}
        self._over: set[str] = set()  # Lives that drain or are gone, by item: for good.
        self._emptied: set[str] = set()  # Zones under evacuation.
        self._back: dict[str, int] = {}  # When zones were taken back.
        self._out: set[str] = set()

    def pool(self, name: str) -> Pool:
        """The pool of this name, its tiers up to date."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = Pool(name)
            self._by_service.setdefault(pool.service, []).append(pool)
        if pool.stale:
            self._lay_out(pool)
        return pool

    def serving(self, service: str) -> Iterable[Life]:
        return self._services.get(service, {}).values()

    def take(self, now: int, backends: BackendUpdate) -> list[Life]:
        """Merge a list; returns lives that are gone (connections to them can be dropped)."""
        if backends.complete:
            named = {one.id for one in backends.updated}
            for life in self.instances.values():
                if life.named and life.id not in named:
                    life.named, life.doubt_until = False, now + DOUBT
                    self._doubted[life.id] = life
        gone = [self.instances[one] for one in backends.removed_ids if one in self.instances]
        gone += [life for life in self._doubted.values() if now >= life.doubt_until]
        for life in gone:
            self._drop(life)
        for backend in backends.updated:
            self._put(now, backend)
        return gone

    def bind(self, bind: BindTable) -> None:
        pool = self.pool(bind.pool)
        pool.table, pool.lines, pool.stale = bind.table, dict(bind.entries), True

    def line(self, line: TableEntry) -> None:
        pool = self.pool(line.pool)
        if pool.table != line.table:
            return  # Its bind, which has all lines, is still to come.
        if line.weight > 0:
            pool.lines[line.backend_id] = line.weight
        else:
            pool.lines.pop(line.backend_id, None)
        pool.stale = True

    def withdraw(self, id: str, out: bool) -> None:
        (self._out.add if out else self._out.discard)(id)
        life = self.instances.get(id)
        if life is not None:
            life.withdrawn = out

    def is_over(self, id: str) -> None:
        """An item says that this life drains or is gone."""
        self._over.add(id)
        life = self.instances.get(id)
        if life is not None:
            life.ended = True

    def forget(self, ids: Iterable[str]) -> None:
        """The tombstones of these incarnations were collected: drop them."""
        self._over.difference_update(ids)

    def evacuate(self, zone: str) -> None:
        self._emptied.add(zone)
        self._back.pop(zone, None)
        for life in self.instances.values():
            if life.zone == zone:
                life.evacuated = True

    def take_back(self, now: int, zone: str) -> None:
        """The zone's evacuation is over. Its backends may be cold, so they count as cold for as long as that
        may last, until a list that is surely newer says otherwise.
        """
        self._emptied.discard(zone)
        self._back[zone] = now
        for life in self.instances.values():
            if life.zone == zone:
                life.evacuated = False
                self._chill(life)

    def _put(self, now: int, backend: Backend) -> None:
        life = self.instances.get(backend.id)
        if backend.unconfirmed and life is not None:
            return  # What we know of it we were told by somebody who had heard it.
        if life is not None and (life.service, life.address) != (backend.service, backend.address):
            self._drop(life)
            life = None
        if life is None:
            life = life_of(backend, self.zones.get(backend.zone, ""))
            self.instances[life.id] = life
            self._services.setdefault(life.service, {})[life.id] = life
            self._stir(life.service)
            life.ended = life.id in self._over
            life.withdrawn = life.id in self._out
            life.evacuated = life.zone in self._emptied
        self._doubted.pop(life.id, None)
        life.named, life.slots, life.draining = True, max(1, backend.slots), backend.draining
        life.cold_until = now + backend.warm_up_ms * NS_PER_MS + COLD_MORE if backend.warm_up_ms > 0 else 0
        back = self._back.get(life.zone)
        if back is not None and (backend.unconfirmed or now < back + SURELY_NEWER or backend.warm_up_ms > 0):
            self._chill(life)

    def _chill(self, life: Life) -> None:
        until = self._back[life.zone] + self.cold_for(life.service) + NS_PER_SECOND
        life.cold_until = max(life.cold_until, until)

    def _drop(self, life: Life) -> None:
        if self.instances.get(life.id) is life:
            del self.instances[life.id]
            self._doubted.pop(life.id, None)
            del self._services[life.service][life.id]
            self._stir(life.service)
        life.ended = True

    def _stir(self, service: str) -> None:
        for pool in self._by_service.get(service, ()):
            pool.stale = True

    def _lay_out(self, pool: Pool) -> None:
        there = [
            life
            for life in self._services.get(pool.service, {}).values()
            if not pool.homes or life.region in pool.homes
        ]
        known = {life.id: life for life in there}
        pool.listed = Tier((known[id], weight) for id, weight in pool.lines.items() if id in known)
        pool.near = Tier((life, 1.0) for life in there if life.region == self.region)
        pool.all = Tier((life, 1.0) for life in there)
        pool.stale = False

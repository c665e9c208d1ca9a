"""The backends a proxy knows, by instance, service and pool, with their tables. No input or output."""

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
from ambershift.system.proxy.backend_instance import (
    COLD_MARGIN_NS,
    UNLISTED_GRACE_NS,
    BackendInstance,
    instance_from_message,
)
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# A list that arrives this long after the end of a zone's evacuation was made after it, so that the warm-up
# times in it can be relied on.
EVACUATION_LIST_DELAY_NS = 2 * NS_PER_SECOND
COLD_AFTER_EVACUATION_MARGIN_NS = NS_PER_SECOND


class Tier:
    """Instances to choose among.

    Attributes:
        weights: The instances and their weights; those of weight 0 are left out.
        instances: The instances.
        cumulative_weights: The running sums of the weights, in the order of `instances`.
    """

    __slots__ = ("cumulative_weights", "instances", "weights")

    def __init__(self, weighted: Iterable[tuple[BackendInstance, float]]) -> None:
        """Create a tier of these instances."""
        self.weights = {instance: weight for instance, weight in weighted if weight > 0}
        self.instances = list(self.weights)
        self.cumulative_weights = list(accumulate(self.weights.values()))


class BackendPool:
    """A service's instances within the home regions of a route.

    A choice goes on to the next tier where it finds no good one: the table, the region, all.

    Attributes:
        name: The name, as control nodes use it.
        service: The service.
        home_regions: The regions whose instances belong to the pool; none where all do.
        table: The number of the table in use.
        table_entries: The weights of the table, by instance id.
        is_stale: Whether the tiers must be built again.
        table_tier: The instances of the table.
        region_tier: The instances of the proxy's own region.
        all_tier: All instances.
    """

    def __init__(self, name: str) -> None:
        """Create a pool without instances."""
        self.name = name
        self.service, self.home_regions = parse_pool_name(name)
        self.table: int | None = None
        self.table_entries: dict[str, float] = {}
        self.is_stale = True
        self.table_tier = self.region_tier = self.all_tier = Tier(())

    def has_eligible(self, now: int) -> bool:
        """Whether requests may be sent to any of its backends."""
        return any(instance.is_eligible(now) for instance in self.all_tier.instances)


class BackendView:
    """Merges what the control node and the items say of backends.

    Attributes:
        region: The proxy's own region.
        instances: The instances that the proxy knows, by id.
    """

    def __init__(self, region: str, zones: Mapping[str, str], cold_duration_ns: Callable[[str], int]) -> None:
        """Start without backends.

        Args:
            region: The proxy's own region.
            zones: The region of each zone.
            cold_duration_ns: Returns how long a backend of a service may be cold after a start.
        """
        self.region = region
        self.instances: dict[str, BackendInstance] = {}
        self._zones = zones
        self._cold_duration_ns = cold_duration_ns
        self._unlisted: dict[str, BackendInstance] = {}  # Those that the list of the link in use lacks.
        self._instances_by_service: dict[str, dict[str, BackendInstance]] = {}
        self._pools: dict[str, BackendPool] = {}
        self._pools_by_service: dict[str, list[BackendPool]] = {}
        self._retired: set[str] = set()  # Instances that drain or are gone for good, by their items.
        self._evacuated_zones: set[str] = set()
        self._evacuation_ended_at: dict[str, int] = {}  # By zone.
        self._ejected: set[str] = set()

    def pool(self, name: str) -> BackendPool:
        """Return the pool of this name, its tiers up to date."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = BackendPool(name)
            self._pools_by_service.setdefault(pool.service, []).append(pool)
        if pool.is_stale:
            self._build_tiers(pool)
        return pool

    def instances_of(self, service: str) -> Iterable[BackendInstance]:
        """Return the instances of a service."""
        return self._instances_by_service.get(service, {}).values()

    # Messages of the control node.

    def update(self, now: int, message: BackendUpdate) -> list[BackendInstance]:
        """Merge a list of backends; return the instances that are gone."""
        if message.complete:
            listed_ids = {backend.id for backend in message.updated}
            for instance in self.instances.values():
                if instance.is_listed and instance.id not in listed_ids:
                    instance.is_listed, instance.usable_until = False, now + UNLISTED_GRACE_NS
                    self._unlisted[instance.id] = instance
        gone = [self.instances[id] for id in message.removed_ids if id in self.instances]
        gone += [instance for instance in self._unlisted.values() if now >= instance.usable_until]
        for instance in gone:
            self._remove(instance)
        for backend in message.updated:
            self._update_instance(now, backend)
        return gone

    def bind_table(self, message: BindTable) -> None:
        """Use this table for the pool from now on."""
        pool = self.pool(message.pool)
        pool.table, pool.table_entries, pool.is_stale = message.table, dict(message.entries), True

    def update_entry(self, message: TableEntry) -> None:
        """Change an entry of the pool's table."""
        pool = self.pool(message.pool)
        if pool.table != message.table:
            return  # The message that binds this table is still to come, and has all its entries.
        if message.weight > 0:
            pool.table_entries[message.backend_id] = message.weight
        else:
            pool.table_entries.pop(message.backend_id, None)
        pool.is_stale = True

    def set_ejected(self, id: str, ejected: bool) -> None:
        """Eject an instance, or admit it again."""
        (self._ejected.add if ejected else self._ejected.discard)(id)
        instance = self.instances.get(id)
        if instance is not None:
            instance.ejected = ejected

    # Items.

    def retire(self, id: str) -> None:
        """An item says that this instance drains or is gone."""
        self._retired.add(id)
        instance = self.instances.get(id)
        if instance is not None:
            instance.retired = True

    def forget_retired(self, ids: Iterable[str]) -> None:
        """The tombstones of these instances were collected: drop them."""
        self._retired.difference_update(ids)

    def start_evacuation(self, zone: str) -> None:
        """Send nothing to the zone from now on."""
        self._evacuated_zones.add(zone)
        self._evacuation_ended_at.pop(zone, None)
        for instance in self.instances.values():
            if instance.zone == zone:
                instance.evacuated = True

    def end_evacuation(self, now: int, zone: str) -> None:
        """The zone's evacuation is over.

        Its backends may be cold. They count as cold for as long as that may last, until a list that was made
        after the evacuation says otherwise.
        """
        self._evacuated_zones.discard(zone)
        self._evacuation_ended_at[zone] = now
        for instance in self.instances.values():
            if instance.zone == zone:
                instance.evacuated = False
                self._treat_as_cold(instance)

    def _update_instance(self, now: int, backend: Backend) -> None:
        instance = self.instances.get(backend.id)
        if backend.unconfirmed and instance is not None:
            return  # What the proxy knows of it is from a node that had a heartbeat of it.
        has_moved = instance is not None and (instance.service, instance.address) != (
            backend.service,
            backend.address,
        )
        if instance is not None and has_moved:
            self._remove(instance)
            instance = None
        if instance is None:
            instance = self._add(backend)
        self._unlisted.pop(instance.id, None)
        instance.is_listed = True
        instance.slots = max(1, backend.slots)
        instance.draining = backend.draining
        instance.cold_until = (
            now + backend.warm_up_ms * NS_PER_MS + COLD_MARGIN_NS if backend.warm_up_ms > 0 else 0
        )
        ended_at = self._evacuation_ended_at.get(instance.zone)
        if ended_at is not None and (
            backend.unconfirmed or now < ended_at + EVACUATION_LIST_DELAY_NS or backend.warm_up_ms > 0
        ):
            self._treat_as_cold(instance)

    def _add(self, backend: Backend) -> BackendInstance:
        instance = instance_from_message(backend, self._zones.get(backend.zone, ""))
        self.instances[instance.id] = instance
        self._instances_by_service.setdefault(instance.service, {})[instance.id] = instance
        self._mark_stale(instance.service)
        instance.retired = instance.id in self._retired
        instance.ejected = instance.id in self._ejected
        instance.evacuated = instance.zone in self._evacuated_zones
        return instance

    def _remove(self, instance: BackendInstance) -> None:
        if self.instances.get(instance.id) is instance:
            del self.instances[instance.id]
            self._unlisted.pop(instance.id, None)
            del self._instances_by_service[instance.service][instance.id]
            self._mark_stale(instance.service)
        instance.retired = True

    def _treat_as_cold(self, instance: BackendInstance) -> None:
        """Treat an instance of a zone whose evacuation has ended as cold for as long as it may be."""
        ended_at = self._evacuation_ended_at[instance.zone]
        until = ended_at + self._cold_duration_ns(instance.service) + COLD_AFTER_EVACUATION_MARGIN_NS
        instance.cold_until = max(instance.cold_until, until)

    def _mark_stale(self, service: str) -> None:
        for pool in self._pools_by_service.get(service, ()):
            pool.is_stale = True

    def _build_tiers(self, pool: BackendPool) -> None:
        members = {
            instance.id: instance
            for instance in self._instances_by_service.get(pool.service, {}).values()
            if not pool.home_regions or instance.region in pool.home_regions
        }
        pool.table_tier = Tier(
            (members[id], weight) for id, weight in pool.table_entries.items() if id in members
        )
        pool.region_tier = Tier(
            (instance, 1.0) for instance in members.values() if instance.region == self.region
        )
        pool.all_tier = Tier((instance, 1.0) for instance in members.values())
        pool.is_stale = False

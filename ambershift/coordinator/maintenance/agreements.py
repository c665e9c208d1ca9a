"""Whether the agreements of all tenants hold while a set of servers is out.

A server counts as out if a permit keeps it out, if it is ill, cut off, cold or unknown, or if an operator
took it out. A server that is out by the list isn't part of the fleet: only the capacity lacks it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil
from typing import NamedTuple

from ambershift.coordinator.maintenance.types import Permit, Refusal, Standing, Tenant, Trouble

# Capacity is summed in whole millionths of a weight: adding and subtracting the same servers is exact, and
# members that sum in another order get the same result.
CAPACITY_SCALE = 1_000_000


class Constraint(NamedTuple):
    """What prevents a drain, and the tenant whose agreement or windows it is; "" if it is no tenant's."""

    reason: Refusal
    tenant: str = ""


def uses_zone(tenant: Tenant, zone: str) -> bool:
    """Return whether the tenant uses the servers of a zone."""
    return not tenant.zones or zone in tenant.zones


class TenantIndex:
    """The tenants that use the servers of each zone, computed once a zone."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        """Index these tenants."""
        self._tenants = tuple(tenants)
        self._by_zone = dict[str, tuple[Tenant, ...]]()

    def of(self, zone: str) -> tuple[Tenant, ...]:
        """Return the tenants that use the servers of a zone."""
        if (tenants := self._by_zone.get(zone)) is None:
            tenants = tuple(tenant for tenant in self._tenants if uses_zone(tenant, zone))
            self._by_zone[zone] = tenants
        return tenants


def is_usable(standing: Standing, at: int) -> bool:
    """Return whether a server carries traffic at a time, if only its warm-up goes on until then."""
    if standing.trouble is Trouble.COLD:
        return 0 < standing.warm_at <= at
    return standing.trouble is None and standing.warm_at <= at


def effective_capacity(standing: Standing) -> int:
    """Return the capacity of a server in units of `CAPACITY_SCALE`, without what interference takes."""
    capacity = standing.weight
    if standing.interfered > 0:
        capacity *= 1 - min(1.0, standing.interfered)
    return int(capacity * CAPACITY_SCALE) if capacity > 0 else 0


class CapacityTracker:
    """The capacity of each tenant and how many of its servers are out, updated one server at a time.

    Attributes:
        capacity: By tenant, the capacity of its usable servers, in units of `CAPACITY_SCALE`.
        out_counts: By tenant, how many of its servers are out.
        out: The servers that permits keep out, each with the names of the tenants that use it.
    """

    def __init__(self, tenants: Sequence[Tenant], servers: Mapping[str, Standing], at: int) -> None:
        """Sum up the servers as they are at a time, by their ids."""
        self._servers, self._at = servers, at
        self._index = TenantIndex(tenants)
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._required = {tenant.name: ceil(tenant.agreement.capacity * CAPACITY_SCALE) for tenant in tenants}
        self.capacity = {tenant.name: 0 for tenant in tenants}
        self.out_counts = {tenant.name: 0 for tenant in tenants}
        self.out = dict[str, tuple[str, ...]]()
        for standing in servers.values():
            usable, counts = is_usable(standing, at), standing.trouble is not Trouble.LISTED_OUT
            for tenant in self._index.of(standing.zone):
                if usable:
                    self.capacity[tenant.name] += effective_capacity(standing)
                elif counts:
                    self.out_counts[tenant.name] += 1

    def tenants_of(self, server: str, permit: Permit | None = None) -> tuple[str, ...]:
        """Return the tenants that use a server; for one that is no longer listed, those its permit names."""
        if (standing := self._servers.get(server)) is not None:
            return tuple(tenant.name for tenant in self._index.of(standing.zone))
        return tuple(name for name in (permit.tenants if permit else ()) if name in self.out_counts)

    def remove(self, server: str, permit: Permit | None = None) -> None:
        """Count a server as out."""
        if server not in self.out:
            self.out[server] = self.tenants_of(server, permit)
            self.adjust(server, 1)

    def restore(self, server: str) -> None:
        """Count a server as back, if it was counted as out."""
        if server in self.out:
            self.adjust(server, -1)
            del self.out[server]

    def adjust(self, server: str, change: int) -> None:
        """Update the sums for a server in `out`: `change` is 1 if it goes out, -1 if it comes back."""
        standing = self._servers.get(server)
        usable = standing is not None and is_usable(standing, self._at)
        for name in self.out[server]:
            if usable and standing is not None:
                self.capacity[name] -= change * effective_capacity(standing)
            if usable or standing is None or standing.trouble is Trouble.LISTED_OUT:
                self.out_counts[name] += change

    def violation(self, tenant: Tenant) -> Constraint | None:
        """Return which part of the tenant's agreement is violated now; None if it holds."""
        if self.capacity[tenant.name] < self._required[tenant.name]:
            return Constraint(Refusal.CAPACITY, tenant.name)
        if self.out_counts[tenant.name] > tenant.agreement.max_out:
            return Constraint(Refusal.TOO_MANY_OUT, tenant.name)
        return None

    def violation_without(self, server: str) -> Constraint | None:
        """Return which agreement would be violated if this server were out too; None if all hold."""
        was_out = server in self.out
        self.remove(server)
        found = next(
            (
                constraint
                for name in self.out[server]
                if (constraint := self.violation(self._by_name[name])) is not None
            ),
            None,
        )
        if not was_out:
            self.restore(server)
        return found

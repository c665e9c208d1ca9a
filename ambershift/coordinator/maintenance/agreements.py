"""Whether the agreements of all tenants hold while a set of servers is out.

A server counts as out where a permit keeps it out, or where it is ill, cut off, cold, unknown or out by an
operator; what the list has out is no part of the fleet, so that only the capacity misses it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil
from typing import NamedTuple

from ambershift.coordinator.maintenance.types import Permit, Refusal, Standing, Tenant, Trouble

# Weights are summed as whole millionths: sums that are taken apart again end where they began, and members
# that sum in another order agree.
FINE = 1_000_000


class Constraint(NamedTuple):
    """What is in the way, and whose; "" where it is nobody's agreement."""

    reason: Refusal
    tenant: str = ""


def uses(tenant: Tenant, zone: str) -> bool:
    return not tenant.zones or zone in tenant.zones


class TenantIndex:
    """The tenants that use the servers of a zone, looked for once a zone."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self.tenants, self.known = tuple(tenants), dict[str, tuple[Tenant, ...]]()

    def of(self, zone: str) -> tuple[Tenant, ...]:
        if (found := self.known.get(zone)) is None:
            found = self.known[zone] = tuple(tenant for tenant in self.tenants if uses(tenant, zone))
        return found


def is_usable(standing: Standing, at: int) -> bool:
    """Whether it carries traffic at this time, if it goes on as it stands: who is only cold gets warm."""
    if standing.trouble is Trouble.COLD:
        return 0 < standing.warm_at <= at
    return standing.trouble is None and standing.warm_at <= at


def effective_capacity(standing: Standing) -> int:
    """Its capacity in millionths: what neighbours take from it is not there."""
    left = standing.weight
    if standing.interfered > 0:
        left *= 1 - min(1.0, standing.interfered)
    return int(left * FINE) if left > 0 else 0


class CapacityTracker:
    """What is there for each tenant, and who is out, kept up to date one server at a time."""

    def __init__(self, tenants: Sequence[Tenant], servers: Mapping[str, Standing], at: int) -> None:
        self.tenants, self.servers, self.at, self.users = tuple(tenants), servers, at, TenantIndex(tenants)
        self.named = {tenant.name: tenant for tenant in tenants}
        self.capacity = {tenant.name: 0 for tenant in tenants}
        self.needed = {tenant.name: ceil(tenant.agreement.capacity * FINE) for tenant in tenants}
        self.outs = {tenant.name: 0 for tenant in tenants}
        self.out = dict[str, tuple[str, ...]]()  # Those that permits keep out, and whose they are.
        for standing in servers.values():
            here, counts = is_usable(standing, at), standing.trouble is not Trouble.LISTED_OUT
            for tenant in self.users.of(standing.zone):
                if here:
                    self.capacity[tenant.name] += effective_capacity(standing)
                elif counts:
                    self.outs[tenant.name] += 1

    def users_of(self, server: str, permit: Permit | None = None) -> tuple[str, ...]:
        """One that the list lost still is out for those that its permit names."""
        if (standing := self.servers.get(server)) is not None:
            return tuple(tenant.name for tenant in self.users.of(standing.zone))
        return tuple(name for name in (permit.tenants if permit else ()) if name in self.outs)

    def shift(self, server: str, by: int) -> None:
        """Take it out by 1, or back by -1."""
        standing = self.servers.get(server)
        here = standing is not None and is_usable(standing, self.at)
        for name in self.out[server]:
            if here and standing is not None:
                self.capacity[name] -= by * effective_capacity(standing)
            if here or standing is None or standing.trouble is Trouble.LISTED_OUT:
                self.outs[name] += by

    def take(self, server: str, permit: Permit | None = None) -> None:
        if server not in self.out:
            self.out[server] = self.users_of(server, permit)
            self.shift(server, 1)

    def give(self, server: str) -> None:
        if server in self.out:
            self.shift(server, -1)
            del self.out[server]

    def lacks(self, tenant: Tenant) -> Constraint | None:
        """What its agreement lacks as it stands."""
        if self.capacity[tenant.name] < self.needed[tenant.name]:
            return Constraint(Refusal.CAPACITY, tenant.name)
        if self.outs[tenant.name] > tenant.agreement.max_out:
            return Constraint(Refusal.OUT_MOST, tenant.name)
        return None

    def refuses(self, server: str) -> Constraint | None:
        """What would not hold were it out too."""
        known = server in self.out
        self.take(server)
        found = next(
            (binds for name in self.out[server] if (binds := self.lacks(self.named[name])) is not None), None
        )
        if not known:
            self.give(server)
        return found

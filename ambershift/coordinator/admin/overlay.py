"""Merges the server list's entry of a server with its override into the entry for the decision module."""

from __future__ import annotations

from ambershift import interface as api
from ambershift.coordinator.admin.coverage import Warmth
from ambershift.coordinator.admin.inventory import ServerInventory


def effective_entry(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> api.Entry:
    """Return the entry that results; the stricter of list and operator prevails.

    A server that drains or is gone by the list is never made ready by an operator. An operator's drain
    becomes a drain of the list, so that it likewise bypasses the ordinary budget and has the same grace
    period and the same bound of the channel. A lent server counts as listed.
    """
    entry, override = inventory.listed[server], inventory.override(server)
    is_lent = server in inventory.lent
    if override.out and not is_lent:
        return entry._replace(phase=api.Phase.DRAINING)
    if server in inventory.weight_factors and not is_lent:
        entry = entry._replace(weight=entry.weight * inventory.weight_factors[server])
    if override.weight is None:
        return entry
    weight = override.weight.of(entry.weight)
    # While cold, a server gets at most its share of the listed weight: the module takes that share of the
    # weight that it is given, and an operator's larger weight would overload the server.
    if not warmth.warm(entry, now):
        weight = min(weight, entry.weight)
    if is_lent and not weight:
        weight = entry.weight
    return entry._replace(weight=weight)


def warms_at(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> int | None:
    """Return when a cold server may get the larger weight that an operator set, None if it has none."""
    override, entry = inventory.override(server), inventory.listed[server]
    if override.weight is None or warmth.warm(entry, now) or override.weight.of(entry.weight) <= entry.weight:
        return None
    return warmth.warm_at(entry)


def is_reduction(entry: api.Entry, known: api.Entry) -> bool:
    """Return whether proxies can send less to the server once the module gets `entry` after `known`."""
    return known.phase == api.Phase.READY and (entry.phase != api.Phase.READY or entry.weight < known.weight)

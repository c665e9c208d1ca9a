"""Overlay: the entry of a server as the module shall see it, from the list's word and the operator's."""

from __future__ import annotations

from ambershift import interface as api
from ambershift.coordinator.admin.coverage import Warmth
from ambershift.coordinator.admin.inventory import ServerInventory


def effective_entry(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> api.Entry:
    """The stricter word holds: who drains or is gone by the list is never made ready by an operator.

    An operator's drain is told as one of the list is, so that it has the same way past the ordinary budget,
    the same grace and the same bound of the channel. What is lent counts as listed.
    """
    entry, override = inventory.listed[server], inventory.override(server)
    lent = server in inventory.lent
    if override.out and not lent:
        return entry._replace(phase=api.Phase.DRAINING)
    if server in inventory.weight_factors and not lent:
        entry = entry._replace(weight=entry.weight * inventory.weight_factors[server])
    if override.weight is None:
        return entry
    weight = override.weight.of(entry.weight)
    # A cold server carries its part of the listed weight at the most: the module takes that part of what it
    # is told, and an operator's larger figure would push the server over.
    if not warmth.warm(entry, now):
        weight = min(weight, entry.weight)
    if lent and not weight:
        weight = entry.weight
    return entry._replace(weight=weight)


def warms_at(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> int | None:
    """When a cold server may have the larger weight that an operator wants for it."""
    override, entry = inventory.override(server), inventory.listed[server]
    if override.weight is None or warmth.warm(entry, now) or override.weight.of(entry.weight) <= entry.weight:
        return None
    return warmth.warm_at(entry)


def is_reduction(entry: api.Entry, known: api.Entry) -> bool:
    """Whether the first, told after the second, takes something away from proxies."""
    return known.phase == api.Phase.READY and (entry.phase != api.Phase.READY or entry.weight < known.weight)

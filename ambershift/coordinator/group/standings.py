"""Standings: how each listed server stands for maintenance, from this member's desk and what it heard."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ambershift import interface as api
from ambershift.coordinator.admin.desk import Desk
from ambershift.coordinator.admin.mirror import NEVER_SHUT
from ambershift.coordinator.maintenance.words import Standing, Trouble
from ambershift.id_index import IdIndex


class Others(NamedTuple):
    """What is known of a server beyond this member's own proxies, by its id."""

    ill: Callable[[str], bool] = lambda server: False
    cut: Callable[[str], bool] = lambda server: False
    interfered: Callable[[str], float] = lambda server: 0.0


def standings(
    desk: Desk, door: IdIndex[str], zone_name: Callable[[int], str], now: int, others: Others
) -> dict[str, Standing]:
    """Without the group's permits: what only a permit keeps out has no trouble."""
    found = dict[str, Standing]()
    for server, entry in desk.world.listed.items():
        name = door.ids.get(server)
        if name is None:
            continue
        trouble, warm_at = trouble_of(desk, server, entry, now), desk.warmth.warm_at(entry)
        if trouble in (None, Trouble.COLD):
            trouble = Trouble.ILL if others.ill(name) else Trouble.CUT if others.cut(name) else trouble
        found[name] = Standing(
            name,
            zone_name(entry.zone),
            weight_of(desk, server, entry),
            trouble,
            warm_at if warm_at > now else 0,
            others.interfered(name),
        )
    return found


def trouble_of(desk: Desk, server: int, entry: api.Entry, now: int) -> Trouble | None:
    if entry.phase != api.Phase.READY or entry.weight <= 0:
        return Trouble.LISTED_OUT
    if desk.world.own(server).severity:
        return Trouble.WISHED_OUT
    known = desk.told.get(server)
    if known is None:
        return Trouble.UNKNOWN
    # Shut out though the module was told that it is ready: it does so with those that fail.
    if (
        known.phase == api.Phase.READY
        and desk.mirror.picture.shut.get(server, NEVER_SHUT).out
        and (server not in desk.waiting)
    ):
        return Trouble.ILL
    return None if desk.warmth.warm(entry, now) else Trouble.COLD


def weight_of(desk: Desk, server: int, entry: api.Entry) -> float:
    wish = desk.world.own(server)
    return entry.weight if wish.weight is None else wish.weight.of(entry.weight)

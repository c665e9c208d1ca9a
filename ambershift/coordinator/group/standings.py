"""How each listed server stands for maintenance, by this member's controller and by the others' records."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN
from ambershift.coordinator.maintenance.types import Standing, Trouble
from ambershift.id_index import IdIndex


class GroupObservations(NamedTuple):
    """What is known of a server beyond this member's own proxies, by its id.

    Attributes:
        failing: Whether it fails for all zones.
        failing_for_some: Whether it fails for some zones only.
        interfered: What part of it other jobs on its machine take.
    """

    failing: Callable[[str], bool] = lambda server: False
    failing_for_some: Callable[[str], bool] = lambda server: False
    interfered: Callable[[str], float] = lambda server: 0.0


def standings(
    controller: AdminController,
    server_index: IdIndex[str],
    zone_name: Callable[[int], str],
    now: int,
    observations: GroupObservations,
) -> dict[str, Standing]:
    """Return the standing of each listed server by its id; being kept out by a permit alone is no trouble."""
    result = dict[str, Standing]()
    for server, entry in controller.inventory.listed.items():
        name = server_index.ids.get(server)
        if name is None:
            continue
        trouble, warm_at = _local_trouble(controller, server, entry, now), controller.warmth.warm_at(entry)
        if trouble in (None, Trouble.COLD):
            if observations.failing(name):
                trouble = Trouble.ILL
            elif observations.failing_for_some(name):
                trouble = Trouble.CUT
        result[name] = Standing(
            name,
            zone_name(entry.zone),
            _weight(controller, server, entry),
            trouble,
            warm_at if warm_at > now else 0,
            observations.interfered(name),
        )
    return result


def _local_trouble(controller: AdminController, server: int, entry: api.Entry, now: int) -> Trouble | None:
    """Return the trouble of a server by this member's controller alone."""
    if entry.phase != api.Phase.READY or entry.weight <= 0:
        return Trouble.LISTED_OUT
    if controller.inventory.operator_override(server).severity:
        return Trouble.WISHED_OUT
    told = controller.sent_entries.get(server)
    if told is None:
        return Trouble.UNKNOWN
    # The module was told that it is ready, and shut it out: it does so with servers that fail.
    if (
        told.phase == api.Phase.READY
        and controller.tracker.data_plane.withdrawals.get(server, NEVER_WITHDRAWN).out
        and (server not in controller.pending)
    ):
        return Trouble.ILL
    return None if controller.warmth.warm(entry, now) else Trouble.COLD


def _weight(controller: AdminController, server: int, entry: api.Entry) -> float:
    wish = controller.inventory.operator_override(server)
    return entry.weight if wish.weight is None else wish.weight.of(entry.weight)

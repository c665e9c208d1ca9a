"""Weigh: what a command would make of a world, and whether it may. The desk asks before it takes one, the
leader of a group before it writes one to the log.
"""

from __future__ import annotations

from collections.abc import Sequence

from ambershift.coordinator.admin.coverage import Warmth, uncovered
from ambershift.coordinator.admin.wants import wanted, weighable
from ambershift.coordinator.admin.words import AS_LISTED, Change, Origin, Reason, Refused
from ambershift.coordinator.admin.world import World


def weigh(
    before: World, changes: Sequence[Change], origin: Origin, warmth: Warmth, now: int
) -> tuple[World, tuple[int, ...]] | Refused:
    """The world after all of a command's changes and the servers that it changes, or why it must not be."""
    world, changed = before, dict[int, None]()
    for change in changes:
        if change.server not in world.listed:
            return Refused(Reason.NO_SUCH_SERVER, change.server)
        if not weighable(change):
            return Refused(Reason.WEIGHT_OUT_OF_RANGE, change.server)
        old = world.own(change.server)
        new = wanted(old, change)
        # The same wish again is no change: a command sent twice acts once.
        if new != old:
            world = world.with_wish(change.server, new._replace(origin=origin))
            changed[change.server] = None
    servers = tuple(
        one
        for one in changed
        if world.own(one)._replace(origin=AS_LISTED.origin)
        != before.own(one)._replace(origin=AS_LISTED.origin)
    )
    return uncovered(before, world, servers, warmth, now) or (world, servers)

"""Evaluates a command against an inventory, without applying it.

The admin controller evaluates a command before it accepts it, the leader of a group before it appends it to
the log.
"""

from __future__ import annotations

from collections.abc import Sequence

from ambershift.coordinator.admin.changes import apply_change, is_weight_in_range
from ambershift.coordinator.admin.coverage import Warmth, uncovered
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.types import NO_OVERRIDE, Change, Origin, Reason, Refused


def evaluate(
    before: ServerInventory, changes: Sequence[Change], origin: Origin, warmth: Warmth, now: int
) -> tuple[ServerInventory, tuple[int, ...]] | Refused:
    """Return the inventory after all changes of a command and the servers changed, or a refusal."""
    inventory, changed = before, dict[int, None]()
    for change in changes:
        if change.server not in inventory.listed:
            return Refused(Reason.NO_SUCH_SERVER, change.server)
        if not is_weight_in_range(change):
            return Refused(Reason.WEIGHT_OUT_OF_RANGE, change.server)
        old = inventory.operator_override(change.server)
        new = apply_change(old, change)
        # An equal override is no change, so that a command that is sent twice takes effect once.
        if new != old:
            inventory = inventory.with_override(change.server, new._replace(origin=origin))
            changed[change.server] = None
    servers = tuple(
        server
        for server in changed
        if inventory.operator_override(server)._replace(origin=NO_OVERRIDE.origin)
        != before.operator_override(server)._replace(origin=NO_OVERRIDE.origin)
    )
    return uncovered(before, inventory, servers, warmth, now) or (inventory, servers)

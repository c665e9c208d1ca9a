"""How a change alters an override; the admin controller and the group's state machine share these rules."""

from __future__ import annotations

from ambershift.coordinator.admin.types import Change, ServerOverride

# HAProxy's bounds: 0 to 256, of the listed weight 0 to 100 percent.
MAX_WEIGHT, MAX_RELATIVE_WEIGHT = 256.0, 1.0


def apply_change(old: ServerOverride, change: Change) -> ServerOverride:
    """What stands after a change. Ready takes back drain and maintenance, as in HAProxy, but no weight."""
    new = old
    if change.state is not None:
        new = new._replace(state=change.state)
    if change.health is not None:
        new = new._replace(health=change.health)
    if change.weight is not None:
        new = new._replace(weight=change.weight)
    if change.as_listed:
        new = new._replace(weight=None)
    return new


def is_weight_in_range(change: Change) -> bool:
    """Whether its weight, if it has one, lies within the bounds; what is no number does not."""
    most = MAX_RELATIVE_WEIGHT if change.weight and change.weight.relative else MAX_WEIGHT
    return change.weight is None or 0 <= change.weight.figure <= most

"""How a change alters an override; the admin controller and the group's state machine share these rules."""

from __future__ import annotations

from ambershift.coordinator.admin.types import Change, ServerOverride

# HAProxy's bounds: 0 to 256, or 0 to 100 percent of the listed weight.
MAX_WEIGHT = 256.0
MAX_RELATIVE_WEIGHT = 1.0


def apply_change(old: ServerOverride, change: Change) -> ServerOverride:
    """Return the override after a change; as in HAProxy, ready ends drain and maintenance, not a weight."""
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
    """Return whether the weight of a change, if it has one, is within the bounds; NaN is not."""
    maximum = MAX_RELATIVE_WEIGHT if change.weight and change.weight.relative else MAX_WEIGHT
    return change.weight is None or 0 <= change.weight.figure <= maximum

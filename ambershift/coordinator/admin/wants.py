"""What a wish makes of the one that stood before; the desk and the promises of a group judge by the same."""

from __future__ import annotations

from ambershift.coordinator.admin.words import Change, Standing

# HAProxy's bounds: 0 to 256, of the listed weight 0 to 100 percent.
WEIGHT_MOST, PART_MOST = 256.0, 1.0


def wanted(old: Standing, change: Change) -> Standing:
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


def weighable(change: Change) -> bool:
    """Whether its weight, if it has one, lies within the bounds; what is no number does not."""
    most = PART_MOST if change.weight and change.weight.relative else WEIGHT_MOST
    return change.weight is None or 0 <= change.weight.figure <= most

"""How far each change of an override has come, derived from what was sent, ordered, answered and applied.

No counter is kept: the stage follows from the data plane's state alone, so that a lost answer, a relay that
is away or a proxy that joins again can't leave a change with a wrong stage for good.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN, NO_TRAFFIC, DataPlaneState
from ambershift.coordinator.admin.types import Stage

# A server is drained once so many report periods have passed without a reported attempt.
QUIET_PERIODS = 2
# Weights that differ by no more than this are equal.
WEIGHT_TOLERANCE = 1e-6


class PendingChange(NamedTuple):
    """A change that proxies have not all applied yet.

    Attributes:
        at: Since when.
        entry: The entry that the module got for it, None before.
        reply: The last reply before that.
        scaled: Whether that entry changed the weight, so that every line must be set again.
    """

    at: int
    entry: api.Entry | None = None
    reply: int = 0
    scaled: bool = False


PendingChanges: TypeAlias = "HashTrieMap[int, PendingChange]"


class Need(NamedTuple):
    """A reply that carries a part of the change, and the table whose proxies must apply it."""

    reply: int
    table: int


def needs(data_plane: DataPlaneState, server: int, change: PendingChange) -> list[Need] | None:
    """Return what must be applied for the change to be; None if a part of it is not ordered yet."""
    entry = change.entry
    if entry is None:
        return None
    out, reply, _ = data_plane.withdrawals.get(server, NEVER_WITHDRAWN)
    if entry.phase == api.Phase.DRAINING:
        return [Need(reply, table) for table in data_plane.concerned(server, reply)] if out else None
    if entry.phase == api.Phase.READY and out:
        return None
    # If the last reply on the server came before the change, the change needed none.
    found = (
        [Need(reply, table) for table in data_plane.concerned(server, reply)] if reply > change.reply else []
    )
    lines = data_plane.lines(server)
    if (
        entry.phase == api.Phase.READY
        and change.scaled
        and entry.weight
        and data_plane.proxies
        and not any(line.weight for line in lines.values())
    ):
        return None  # Its weight was 0, and no proxy has a line of it again yet.
    for table, line in lines.items():
        if line.reply > change.reply:
            found.append(Need(line.reply, table))
        elif (
            entry.phase == api.Phase.READY
            and change.scaled
            and line.weight
            and (abs(line.weight - entry.weight) > WEIGHT_TOLERANCE)
        ):
            return None  # The line is the earlier one; the module has found no room to update it.
    return found


def stage(data_plane: DataPlaneState, server: int, change: PendingChange) -> Stage:
    """Return how far a change has come."""
    if change.entry is None:
        return Stage.GATHERED
    found = needs(data_plane, server, change)
    if found is None:
        return Stage.TOLD
    if any(need.reply > data_plane.settled for need in found):
        return Stage.ORDERED
    return Stage.APPLIED if all(data_plane.applied(*need) for need in found) else Stage.CARRIED


def drained(data_plane: DataPlaneState, server: int, period: int, now: int) -> bool:
    """Return whether a server is withdrawn at every joined proxy and no attempt was reported lately.

    A server without a line of some weight counts as withdrawn.
    """
    out, reply, at = data_plane.withdrawals.get(server, NEVER_WITHDRAWN)
    if not out and any(line.weight for line in data_plane.lines(server).values()):
        return False
    if out and (
        reply > data_plane.settled
        or not all(data_plane.applied(reply, table) for table in data_plane.concerned(server, reply))
    ):
        return False
    # Required without any report too: flows that were in flight need time to end.
    last_attempt_at = data_plane.traffic.get(server, NO_TRAFFIC).last_attempt_at
    return now >= max(at, last_attempt_at) + QUIET_PERIODS * period

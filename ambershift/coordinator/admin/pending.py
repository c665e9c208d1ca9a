"""Pending: how far each wish has come, worked out from what was told, ordered, answered and applied.

Nothing here is counted down by hand: a stage follows from the picture alone, so that a lost answer, a relay
that is away or a proxy that joins anew can leave no wish marked wrongly for good.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN, NO_TRAFFIC, DataPlaneState
from ambershift.coordinator.admin.types import Stage

# A server counts as drained once no report of the last so many report periods tells of a try there.
QUIET_PERIODS = 2
SAME = 1e-6


class PendingChange(NamedTuple):
    """A wish on its way: since when; what the module was told of it, None before; the last reply before that;
    and whether the weight told was another than before, so that every line must be laid anew.
    """

    at: int
    entry: api.Entry | None = None
    reply: int = 0
    scaled: bool = False


PendingChanges: TypeAlias = "HashTrieMap[int, PendingChange]"


class Need(NamedTuple):
    """A reply that carries a part of the wish, and the table whose users it concerns."""

    reply: int
    table: int


def needs(data_plane: DataPlaneState, server: int, told: PendingChange) -> list[Need] | None:
    """What must be applied for the wish to be; None where something of it is not ordered yet."""
    entry = told.entry
    if entry is None:
        return None
    out, reply, _ = data_plane.withdrawals.get(server, NEVER_WITHDRAWN)
    if entry.phase == api.Phase.DRAINING:
        return [Need(reply, table) for table in data_plane.concerned(server, reply)] if out else None
    if entry.phase == api.Phase.READY and out:
        return None
    # A server may have got its reply long ago, and none was needed now.
    found = (
        [Need(reply, table) for table in data_plane.concerned(server, reply)] if reply > told.reply else []
    )
    lines = data_plane.lines(server)
    if (
        entry.phase == api.Phase.READY
        and told.scaled
        and entry.weight
        and data_plane.proxies
        and not any(line.weight for line in lines.values())
    ):
        return None  # It had weight 0, and no proxy has a line of it again.
    for table, line in lines.items():
        if line.reply > told.reply:
            found.append(Need(line.reply, table))
        elif (
            entry.phase == api.Phase.READY
            and told.scaled
            and line.weight
            and (abs(line.weight - entry.weight) > SAME)
        ):
            return None  # The line as it was before; the module has not found room for its edit.
    return found


def stage(data_plane: DataPlaneState, server: int, told: PendingChange) -> Stage:
    if told.entry is None:
        return Stage.GATHERED
    found = needs(data_plane, server, told)
    if found is None:
        return Stage.TOLD
    if any(need.reply > data_plane.settled for need in found):
        return Stage.ORDERED
    return Stage.APPLIED if all(data_plane.applied(*need) for need in found) else Stage.CARRIED


def drained(data_plane: DataPlaneState, server: int, period: int, now: int) -> bool:
    """Shut out at every joined proxy, and no try told for a while; a server without a line counts as
    shut out.
    """
    out, reply, at = data_plane.withdrawals.get(server, NEVER_WITHDRAWN)
    if not out and any(line.weight for line in data_plane.lines(server).values()):
        return False
    if out and (
        reply > data_plane.settled
        or not all(data_plane.applied(reply, table) for table in data_plane.concerned(server, reply))
    ):
        return False
    # Also where no report comes at all: flows that were under way must have had their time.
    last_attempt_at = data_plane.traffic.get(server, NO_TRAFFIC).last_attempt_at
    return now >= max(at, last_attempt_at) + QUIET_PERIODS * period

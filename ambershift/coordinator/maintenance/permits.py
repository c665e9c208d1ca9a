"""The life of a permit: when a server counts as out, and when its permit goes on to the next phase.

A member lets a server in at the permit's `ends` by its own clock, or as soon as it learns that the server
returns. The leader sees neither, so it counts the server as out until `ends` plus twice the clock bound,
unless all members have reported that they let it in; and after that until the server is warm.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Permit, Phase, Standing, Trouble


class SteeringReport(NamedTuple):
    """What a member last reported of itself.

    Attributes:
        proxies: How many proxies it steers.
        clock_ahead: How far its wall clock is ahead of this member's, in ns.
        age: How long ago it reported, in ns.
    """

    proxies: int
    clock_ahead: int
    age: int


class MemberReports(NamedTuple):
    """What the leader knows from the members.

    Attributes:
        members: All members of the group.
        steering: The last report of each member, the leader's own included.
        drained: By permit id, the members that have drained the server.
        let_in: By permit id, the members that have let the server in again.
    """

    members: tuple[str, ...]
    steering: Mapping[str, SteeringReport]
    drained: Mapping[str, AbstractSet[str]]
    let_in: Mapping[str, AbstractSet[str]]


def is_clock_skewed(clocks_ahead: Iterable[int], bound: int) -> bool:
    """Return whether this member's clock is further from the median of all clocks than the bound.

    Args:
        clocks_ahead: How far each member's clock is ahead of this one's, in ns; 0 for its own.
        bound: The greatest allowed distance, in ns.
    """
    clocks = sorted(clocks_ahead)
    if not clocks:
        return False
    median = (clocks[(len(clocks) - 1) // 2] + clocks[len(clocks) // 2]) // 2
    return abs(median) > bound


def holds_out(permit: Permit, at: int) -> bool:
    """Return whether a member whose wall clock shows `at` keeps the server out."""
    return permit.phase <= Phase.OUT and at < permit.ends


def steering_members(reports: MemberReports, limits: Limits) -> list[str]:
    """Return the members that steer proxies; the proxies of a silent one have moved to other members."""
    return [
        name
        for name, report in reports.steering.items()
        if report.proxies > 0 and report.age <= limits.report_timeout_ns
    ]


def all_drained(permit: Permit, reports: MemberReports, limits: Limits) -> bool:
    """Return whether every member that steers proxies has drained the server; without reports, False."""
    drained = reports.drained.get(permit.id, frozenset())
    return bool(reports.steering) and all(name in drained for name in steering_members(reports, limits))


def all_let_in(permit: Permit, reports: MemberReports, limits: Limits, at: int) -> bool:
    """Return whether no member can keep the server out any longer.

    A member that is cut off may still do so. Therefore silent members count too, until the permit has ended
    by any clock.
    """
    let_in = reports.let_in.get(permit.id, frozenset())
    return at >= limits.let_in_by_all(permit.ends) or (
        bool(reports.members) and all(name in let_in for name in reports.members)
    )


def is_back(permit: Permit, standing: Standing | None, limits: Limits, at: int, stopped: bool) -> bool:
    """Return whether a returning server no longer needs its permit.

    That is so when it is warm, when an operator took it out, or when it did not come back in time.

    Args:
        permit: The permit.
        standing: The state of the server; None if it isn't listed.
        limits: The limits of maintenance.
        at: The wall clock.
        stopped: Whether the server was stopped for its work. It may then look healthy until a request
            reaches it, so it doesn't count as warm before it can be.
    """
    if standing is not None and standing.trouble is Trouble.WISHED_OUT:
        return True
    if standing is not None and standing.trouble is None and standing.warm_at <= at:
        return not stopped or at >= permit.ends + limits.warmup_ns
    return at >= limits.let_in_by_all(permit.ends) + limits.warmup_ns + limits.return_timeout_ns

"""The life of a permit: who counts as out at which moment, and when it goes on.

A member lets a server in at the permit's `ends` by its own clock, or as soon as it knows that it returns.
Whoever grants can't see either, so that it counts the server as out until `ends` and twice the clock bound,
unless all members have said that they let it in; and after that until it is warm.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Permit, Phase, Standing, Trouble


class SteeringReport(NamedTuple):
    """What a member last said of itself: how many proxies it steers, how far its wall clock is ahead of
    ours, and how long ago it said so.
    """

    proxies: int
    ahead: int
    age: int


class MemberReports(NamedTuple):
    """What the leader has heard. `members` are all of the group; `steers` has what each said, itself among
    them; `drained` and `let_in` who said so of a permit, by its id.
    """

    members: tuple[str, ...]
    steers: Mapping[str, SteeringReport]
    drained: Mapping[str, AbstractSet[str]]
    let_in: Mapping[str, AbstractSet[str]]


def is_clock_skewed(ahead: Iterable[int], bound: int) -> bool:
    """Whether our clock is apart by more than the bound from the middle of the members' clocks; `ahead` has
    how far each is ahead of ours, 0 for our own among them.
    """
    clocks = sorted(ahead)
    if not clocks:
        return False
    middle = (clocks[(len(clocks) - 1) // 2] + clocks[len(clocks) // 2]) // 2
    return abs(middle) > bound


def holds_out(permit: Permit, at: int) -> bool:
    """Whether a member whose clock shows `at` keeps the server out by it."""
    return permit.phase <= Phase.OUT and at < permit.ends


def steering(heard: MemberReports, limits: Limits) -> list[str]:
    """Those whose proxies count. One that is silent for long has lost its proxies to others."""
    return [
        name for name, one in heard.steers.items() if one.proxies > 0 and one.age <= limits.report_timeout_ns
    ]


def all_drained(permit: Permit, heard: MemberReports, limits: Limits) -> bool:
    """Whether all members that steer have drained it. Without a word of anybody it is not known."""
    said = heard.drained.get(permit.id, frozenset())
    return bool(heard.steers) and all(name in said for name in steering(heard, limits))


def all_let_in(permit: Permit, heard: MemberReports, limits: Limits, at: int) -> bool:
    """Whether no member can hold it out any longer. One that is cut off still may, so that the silent count
    too, until the end has passed by any clock.
    """
    said = heard.let_in.get(permit.id, frozenset())
    return at >= limits.let_in_by_all(permit.ends) or (
        bool(heard.members) and all(name in said for name in heard.members)
    )


def is_back(permit: Permit, standing: Standing | None, limits: Limits, at: int, stopped: bool) -> bool:
    """Whether a server that returns needs its permit no longer: it is warm, or out by another's word, or it
    did not come back. One that was `stopped` for its work may look well until somebody tries it: it is not
    warm before it could be.
    """
    if standing is not None and standing.trouble is Trouble.WISHED_OUT:
        return True
    if standing is not None and standing.trouble is None and standing.warm_at <= at:
        return not stopped or at >= permit.ends + limits.warmup_ns
    return at >= limits.let_in_by_all(permit.ends) + limits.warmup_ns + limits.return_timeout_ns

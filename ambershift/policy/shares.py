"""Dealing: each part of a zone keeps its own servers up to its due and borrows from what others have left."""

from collections import defaultdict

from ambershift.policy.cold import usable
from ambershift.policy.parts import split, zone_shares
from ambershift.policy.state import TRIAL_PART, State


def deal(state: State, worth: dict[int, float], shares: dict[int, float]) -> dict[int, list[int]]:
    due = {part: share * sum(worth.values()) / sum(shares.values()) for part, share in shares.items()}
    got, lines, terms = dict.fromkeys(shares, 0.0), {part: list[int]() for part in shares}, state.terms
    spare, zone_of = sorted(worth, key=lambda index: (-worth[index], index)), state.zone_of
    limit = terms.overload_calm if state.fallback else terms.overload_limit
    at = dict(enumerate(terms.regions))
    # Its own zone has a server first, then its region, where regions are known.
    for places in ({}, at)[: 1 + bool(at)]:
        homes, left, spare = defaultdict[int, list[int]](list), spare, list[int]()
        for part in due:
            homes[places.get(zone_of[part], zone_of[part])].append(part)
        for index in left:
            zone, value = state.servers[index].entry.zone, worth[index]
            fits = [part for part in homes[places.get(zone, zone)] if got[part] + value / 2 <= due[part]]
            if fits:
                # Parts of a zone are alike: a server stays in its own, else the worst off has it.
                part = max(fits, key=lambda part: (index in state.laid.get(part, ()), due[part] - got[part]))
                lines[part].append(index)
                got[part] += value
            else:
                spare.append(index)
    for index in spare if due else ():
        # The worst off borrows first, abroad only if over the limit; a server stays where it is, if it can.
        zone = state.servers[index].entry.zone
        part = max(
            due,
            key=lambda part: (
                bool(at) and due[part] - got[part] > limit * got[part],
                at.get(zone_of[part], -1) == at.get(zone),
                due[part]
                - got[part]
                + 0.3 * (index in state.laid.get(part, ()))
                + 0.1 * (zone_of[part] == zone),
                -part,
            ),
        )
        lines[part].append(index)
        got[part] += worth[index]
    worst = max(((due[part] - got[part]) / got[part] if got[part] else 1.0 for part in due), default=0.0)
    state.fallback, state.got = worst > limit, got
    return lines


def plan(state: State) -> dict[int, dict[int, float]]:
    worth = usable(state)
    if worth and not state.parts:
        split(state, len(worth))
    if not worth or not (shares := zone_shares(state)):
        return {}
    weigh = {index: state.servers[index].entry.weight * part for index, part in worth.items()}
    # With less, one sick server is much of a zone, and cold lines would take a traffic not yet seen.
    apart = {}
    for part in shares:
        if any(near == state.zone_of[part] for near, _ in state.cut):
            reached = reach(state, state.zone_of[part], weigh)
            own = {one: weight for one, weight in reached.items() if (one - part) % state.parts == 0}
            for lines in (reached, own):
                if sum(worth[one] for one in lines) >= state.terms.min_partition_capacity:
                    apart[part] = lines
    near = {part: share for part, share in shares.items() if part not in apart}
    dealt = deal(state, worth, near)
    while small := sorted(
        (had, part) for part, had in state.got.items() if had < state.terms.min_partition_capacity
    ):
        del near[small[0][1]]
        dealt = deal(state, worth, near)
    zoned = -1 not in near and all(state.servers[index].entry.zone >= 0 for index in worth)
    if not state.fallback and zoned and len(worth) >= state.terms.zones:
        apart |= {part: {index: weigh[index] for index in dealt[part]} for part in near}
    return apart if apart.keys() >= shares.keys() else apart | {state.terms.zones * state.parts: weigh}


def reach(state: State, zone: int, weigh: dict[int, float]) -> dict[int, float]:
    spells = {index: state.cut.get((zone, state.servers[index].entry.zone)) for index in weigh}
    return {
        index: weigh[index] * (TRIAL_PART if spell else 1.0)
        for index, spell in spells.items()
        if spell is None or spell.trial
    }

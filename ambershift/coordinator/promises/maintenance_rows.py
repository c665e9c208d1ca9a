"""What `show maintenance` tells: a row a permit, and one for each work that can't be laid for one reason."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.maintenance.agreements import Constraint
from ambershift.coordinator.maintenance.planning import Plan
from ambershift.coordinator.maintenance.types import Refusal
from ambershift.coordinator.promises.state import GroupState

SERVERS_NAMED = 8
TEXTS = {
    Refusal.CAPACITY: "the warm capacity that stays would be below the agreement",
    Refusal.OUT_MOST: "as many servers are out as may be",
    Refusal.APART: "the last drain is too short ago",
    Refusal.CLOSED_DAY: "only closed days would do",
    Refusal.NO_WINDOW: "no window is open in time",
    Refusal.WINDOW_TOO_SHORT: "drain, work and warming fit into no window",
    Refusal.TOO_LATE: "it can't be done before its time",
    Refusal.ALREADY_OUT: "another work has the server",
    Refusal.NO_SUCH_SERVER: "the list has no such server",
    Refusal.CLOCK_APART: "this leader's clock is apart from the others'; it grants nothing",
    Refusal.CHANGED_MEANWHILE: "another command came first",
}


class Row(msgspec.Struct, frozen=True):
    """`state` is the phase of a permit, or `next`, `not-laid` or `stopped`; times are Unix nanoseconds, 0
    where there is none. `nearest` is the earliest `before` that would do.
    """

    id: str
    work: str
    servers: tuple[str, ...]
    state: str
    granted: int = 0
    ends: int = 0
    tenants: tuple[str, ...] = ()
    reason: str = ""
    tenant: str = ""  # Whose agreement or window binds; "" where it is a limit of the work itself.
    nearest: int = 0
    text: str = ""


def permit_rows(state: GroupState) -> list[Row]:
    return [
        Row(
            permit.id,
            permit.work,
            (permit.server,),
            permit.phase.name.lower(),
            permit.granted,
            permit.ends,
            permit.tenants,
        )
        for permit in (held.permit for _, held in sorted(state.permits.items()))
    ]


def plan_rows(plan: Plan) -> list[Row]:
    """Of each work the next wave, and what can't be laid, by what binds."""
    rows, waves = list[Row](), dict[str, list[str]]()
    starts = dict[str, tuple[int, int]]()
    for laid in plan.scheduled:
        at, _ = starts.setdefault(laid.work, (laid.at, laid.back))
        if laid.at == at:
            waves.setdefault(laid.work, []).append(laid.server)
    for work, servers in waves.items():
        rows.append(Row(work, work, named(servers), "next", *starts[work]))
    bound = dict[tuple[str, Constraint, int], list[str]]()
    for one in plan.unscheduled:
        # A row for each reason, not for each server; the latest of their times lets all of them be done.
        bound.setdefault((one.work, one.binds, int(one.nearest > 0)), []).append(one.server)
    latest = dict[tuple[str, Constraint, int], int]()
    for one in plan.unscheduled:
        key = one.work, one.binds, int(one.nearest > 0)
        latest[key] = max(latest.get(key, 0), one.nearest)
    for key, servers in bound.items():
        work, binds, _ = key
        rows.append(
            Row(
                work,
                work,
                named(servers),
                "not-laid",
                reason=binds.reason.value,
                tenant=binds.tenant,
                nearest=latest[key],
                text=TEXTS[binds.reason],
            )
        )
    return rows


def named(servers: list[str]) -> tuple[str, ...]:
    """The first of them, and how many more."""
    if len(servers) <= SERVERS_NAMED:
        return tuple(servers)
    return (*servers[:SERVERS_NAMED], f"and {len(servers) - SERVERS_NAMED} more")


def stopped_row() -> Row:
    reason = Refusal.CLOCK_APART
    return Row("", "", (), "stopped", reason=reason.value, text=TEXTS[reason])

"""Rows of `show maintenance`: for each permit, each next wave, and each constraint that prevents drains."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.maintenance.agreements import Constraint
from ambershift.coordinator.maintenance.planning import Plan
from ambershift.coordinator.maintenance.types import Refusal
from ambershift.coordinator.promises.state import GroupState

MAX_SERVERS_NAMED = 8
REFUSAL_TEXTS = {
    Refusal.CAPACITY: "the remaining warm capacity would be below the agreement",
    Refusal.TOO_MANY_OUT: "as many servers are out as allowed",
    Refusal.DRAIN_TOO_RECENT: "the last drain was too recent",
    Refusal.CLOSED_DAY: "it would fit only on closed days",
    Refusal.NO_WINDOW: "no window opens in time",
    Refusal.WINDOW_TOO_SHORT: "drain, work and warm-up fit into no window",
    Refusal.TOO_LATE: "it can't be done before its deadline",
    Refusal.ALREADY_OUT: "the server is out for another work",
    Refusal.NO_SUCH_SERVER: "the server isn't listed",
    Refusal.CLOCK_SKEWED: "the clock of this leader is too far from the others'; it grants nothing",
    Refusal.CHANGED_MEANWHILE: "another command came first",
}


class Row(msgspec.Struct, frozen=True):
    """A row of `show maintenance`; times are Unix ns, 0 if there is none.

    Attributes:
        id: The permit, or the work.
        work: The work.
        servers: The servers, if there are many only the first and how many more.
        state: The phase of a permit, or `next`, `not-laid` or `stopped`.
        granted: When the permit was granted, or the next wave starts.
        ends: When the permit ends, or the servers of the next wave are back and warm.
        tenants: The tenants that use the server of a permit.
        reason: Why drains can't be scheduled.
        tenant: The tenant whose agreement or windows prevent them; empty if a limit of the work does.
        nearest: The earliest deadline that would suffice.
        text: The reason in words.
    """

    id: str
    work: str
    servers: tuple[str, ...]
    state: str
    granted: int = 0
    ends: int = 0
    tenants: tuple[str, ...] = ()
    reason: str = ""
    tenant: str = ""
    nearest: int = 0
    text: str = ""


def permit_rows(state: GroupState) -> list[Row]:
    """Return a row for each open permit, by id."""
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
    """Return the next wave of each work, and what can't be scheduled, grouped by constraint."""
    rows, waves = list[Row](), dict[str, list[str]]()
    wave_times = dict[str, tuple[int, int]]()
    for drain in plan.scheduled:
        wave_start, _ = wave_times.setdefault(drain.work, (drain.at, drain.back))
        if drain.at == wave_start:
            waves.setdefault(drain.work, []).append(drain.server)
    for work, servers in waves.items():
        rows.append(Row(work, work, _first_names(servers), "next", *wave_times[work]))
    servers_by_constraint = dict[tuple[str, Constraint, int], list[str]]()
    for unscheduled in plan.unscheduled:
        # One row for each constraint, not each server; the latest of their deadlines suffices for all.
        key = unscheduled.work, unscheduled.constraint, int(unscheduled.nearest > 0)
        servers_by_constraint.setdefault(key, []).append(unscheduled.server)
    latest = dict[tuple[str, Constraint, int], int]()
    for unscheduled in plan.unscheduled:
        key = unscheduled.work, unscheduled.constraint, int(unscheduled.nearest > 0)
        latest[key] = max(latest.get(key, 0), unscheduled.nearest)
    for key, servers in servers_by_constraint.items():
        work, constraint, _ = key
        rows.append(
            Row(
                work,
                work,
                _first_names(servers),
                "not-laid",
                reason=constraint.reason.value,
                tenant=constraint.tenant,
                nearest=latest[key],
                text=REFUSAL_TEXTS[constraint.reason],
            )
        )
    return rows


def _first_names(servers: list[str]) -> tuple[str, ...]:
    """Return the first servers, and how many more there are."""
    if len(servers) <= MAX_SERVERS_NAMED:
        return tuple(servers)
    return (*servers[:MAX_SERVERS_NAMED], f"and {len(servers) - MAX_SERVERS_NAMED} more")


def stopped_row() -> Row:
    """Return the row of a leader that grants nothing because its clock is skewed."""
    reason = Refusal.CLOCK_SKEWED
    return Row("", "", (), "stopped", reason=reason.value, text=REFUSAL_TEXTS[reason])

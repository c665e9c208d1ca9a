"""Scheduler: lays all works into waves from now on, and says of what can't be laid what binds and when it
would do.

A plan is what the steward would do if nothing failed: it steps from one moment at which somebody comes
back, an opening begins or a spell between drains ends to the next, and chooses at each as the steward does.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

import msgspec

from ambershift.coordinator.maintenance.agreements import CapacityTracker, Constraint
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Declared, Permit, Refusal, Standing, Work
from ambershift.coordinator.maintenance.wave_selection import (
    NEVER,
    Board,
    Group,
    Job,
    WindowCache,
    make_groups,
)
from ambershift.coordinator.maintenance.windows import Span, tenant_spans

# Plans are for people to read; beyond it the rest is told as not laid.
STEPS_MOST = 100_000


class Open(NamedTuple):
    """A server that is out already, and when it should be back and warm."""

    permit: Permit
    back: int


class ScheduledDrain(NamedTuple):
    work: str
    server: str
    at: int
    back: int


class UnscheduledDrain(NamedTuple):
    """`nearest` is the earliest `before` that would do as things stand, 0 where none is in sight."""

    work: str
    server: str
    binds: Constraint
    nearest: int


class Plan(NamedTuple):
    scheduled: tuple[ScheduledDrain, ...]
    unscheduled: tuple[UnscheduledDrain, ...]


class Run(NamedTuple):
    scheduled: list[ScheduledDrain]
    left: list[tuple[Job, Constraint]]


def plan_maintenance(
    declared: Declared,
    jobs: Iterable[tuple[Work, str, int]],
    out: Sequence[Open],
    drains: Mapping[str, int],
    servers: Mapping[str, Standing],
    at: int,
    limits: Limits,
    spans: WindowCache | None = None,
) -> Plan:
    """`jobs` are a work, a server and the time before which it is not tried; `drains` when each tenant last
    had a server drained.
    """
    spans, jobs = spans or WindowCache(at, limits.planning_horizon_ns), list(jobs)
    unlaid = [
        UnscheduledDrain(work.name, server, Constraint(Refusal.NO_SUCH_SERVER), 0)
        for work, server, _ in jobs
        if server not in servers
    ]
    there = [job for job in jobs if job[1] in servers]
    first = run(declared, there, out, drains, servers, at, limits, spans)
    if not first.left:
        return Plan(tuple(first.scheduled), tuple(unlaid))
    # What has no place in time is laid once more without its end, behind all that has: it is asked when it
    # could be, and pushes nobody.
    late = {(job.work.name, job.server) for job, _ in first.left}
    again = [
        (
            msgspec.structs.replace(work, deadline=NEVER) if (work.name, server) in late else work,
            server,
            not_before,
        )
        for work, server, not_before in there
    ]
    backs = {
        (one.work, one.server): one.back
        for one in run(declared, again, out, drains, servers, at, limits, spans).scheduled
    }
    for job, binds in first.left:
        unlaid.append(
            UnscheduledDrain(job.work.name, job.server, binds, backs.get((job.work.name, job.server), 0))
        )
    return Plan(tuple(first.scheduled), tuple(unlaid))


def run(
    declared: Declared,
    jobs: Sequence[tuple[Work, str, int]],
    out: Sequence[Open],
    drains: Mapping[str, int],
    servers: Mapping[str, Standing],
    at: int,
    limits: Limits,
    spans: WindowCache,
) -> Run:
    """One pass over time, until all is laid or nothing comes any more that could help."""
    room, groups, out_of = CapacityTracker(declared.tenants, servers, at), list[Group](), dict[str, int]()
    backs = list[tuple[int, str, str]]()
    for one in out:
        room.take(one.permit.server, one.permit)
        out_of[one.permit.work] = out_of.get(one.permit.work, 0) + 1
        backs.append((max(one.back, at), one.permit.work, one.permit.server))
    heapify(backs)
    board = Board(room, drains, out_of, limits)
    groups = make_groups(declared, jobs, servers, at, spans, limits)
    warms = sorted({one.warm_at for one in servers.values() if one.warm_at > at}, reverse=True)
    laid, now, last = list[ScheduledDrain](), at, dict[int, Constraint]()
    for _ in range(STEPS_MOST):
        while backs and backs[0][0] <= now:
            _, work, server = heappop(backs)
            board.give(work, server)
        for job in board.pick(now, groups):
            back = now + limits.total_time(job.work.duration_ns)
            laid.append(ScheduledDrain(job.work.name, job.server, now, back))
            heappush(backs, (back, job.work.name, job.server))
        for place, group in enumerate(groups):
            if not group.jobs or group.binds is None or group.binds.reason is Refusal.NO_WINDOW:
                continue
            # Once it is too late, what bound before that is the reason.
            if group.binds.reason is not Refusal.TOO_LATE or place not in last:
                last[place] = group.binds
        waits = [group for group in groups if group.jobs]
        nexts = [group.retry for group in waits if group.retry is not None]
        nexts += [backs[0][0]] if backs else []
        nexts += warms[-1:]
        if not waits or not nexts or (now := min(nexts)) > spans.until:
            break
        if warms and warms[-1] <= now:
            warms.pop()
            renew(board, declared, servers, now)
            groups, last = (
                make_groups(
                    declared,
                    [(job.work, job.server, job.not_before) for group in waits for job in group.jobs],
                    servers,
                    now,
                    spans,
                    limits,
                ),
                {},
            )
    left = list[tuple[Job, Constraint]]()
    for place, group in enumerate(groups):
        if group.jobs:
            binds = window_binds(group, at, limits) or last.get(place) or Constraint(Refusal.TOO_LATE)
            left += [(job, binds) for job in group.jobs]
    return Run(laid, left)


def renew(board: Board, declared: Declared, servers: Mapping[str, Standing], at: int) -> None:
    """Somebody got warm: sum up anew."""
    out, board.room = board.room.out, CapacityTracker(declared.tenants, servers, at)
    for server, names in out.items():
        board.room.out[server] = names
        board.room.shift(server, 1)


def window_binds(group: Group, at: int, limits: Limits) -> Constraint | None:
    """Whether, and whose, windows alone are why this can't be laid in time."""
    bound, before = limits.clock_bound_ns, min(group.work.deadline, at + limits.planning_horizon_ns)
    start = group.earliest(at, bound)
    if start is not None and start + group.whole <= before:
        return None

    def fits(found: Sequence[Span]) -> bool:
        return any(
            min(span.closes - bound, before) - max(span.opens + bound, at) >= group.whole for span in found
        )

    def binds(found: Sequence[Span], tenant: str) -> Constraint:
        short = any(span.closes > at and span.opens < before for span in found)
        return Constraint(Refusal.WINDOW_TOO_SHORT if short else Refusal.NO_WINDOW, tenant)

    if before - at < group.whole:
        return Constraint(Refusal.TOO_LATE)
    for tenant in group.tenants:
        if not fits(found := tenant_spans(tenant, at, before)):
            if fits(tenant_spans(tenant, at, before, closed=False)):
                return Constraint(Refusal.CLOSED_DAY, tenant.name)
            return binds(found, tenant.name)
    return binds(group.spans, "")

"""Planner: schedules all works in waves from now on, and explains what can't be scheduled.

A plan is what the permit controller would do if nothing failed. It steps from one moment at which a server
comes back, an opening begins or the minimum time between drains ends to the next, and selects servers at each
as the controller does.
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
    Job,
    JobGroup,
    WaveSelector,
    WindowCache,
    make_groups,
)
from ambershift.coordinator.maintenance.windows import Span, tenant_spans

# Plans are for people to read; what needs more steps is reported as unscheduled.
MAX_STEPS = 100_000


class DrainedServer(NamedTuple):
    """A server that is out already, and when it should be back and warm."""

    permit: Permit
    back: int


class ScheduledDrain(NamedTuple):
    """A server's drain in a plan: when it starts, and when the server is back and warm."""

    work: str
    server: str
    at: int
    back: int


class UnscheduledDrain(NamedTuple):
    """A server that a plan has no time for.

    `nearest` is the earliest deadline that would suffice; 0 if none is known.
    """

    work: str
    server: str
    constraint: Constraint
    nearest: int


class Plan(NamedTuple):
    """What could be scheduled and what could not."""

    scheduled: tuple[ScheduledDrain, ...]
    unscheduled: tuple[UnscheduledDrain, ...]


class _PassResult(NamedTuple):
    scheduled: list[ScheduledDrain]
    left: list[tuple[Job, Constraint]]


def plan_maintenance(
    declared: Declared,
    jobs: Iterable[tuple[Work, str, int]],
    out: Sequence[DrainedServer],
    last_drains: Mapping[str, int],
    servers: Mapping[str, Standing],
    at: int,
    limits: Limits,
    windows: WindowCache | None = None,
) -> Plan:
    """Plan all jobs.

    Args:
        declared: The declaration.
        jobs: For each job the work, a server, and the time before which it isn't tried.
        out: The servers that are out already.
        last_drains: By tenant, when a server of it was last drained.
        servers: The listed servers by id.
        at: The time from which on to plan.
        limits: The limits of maintenance.
        windows: When the tenants allow maintenance; computed if it is None.
    """
    windows, jobs = windows or WindowCache(at, limits.planning_horizon_ns), list(jobs)
    unscheduled = [
        UnscheduledDrain(work.name, server, Constraint(Refusal.NO_SUCH_SERVER), 0)
        for work, server, _ in jobs
        if server not in servers
    ]
    listed = [job for job in jobs if job[1] in servers]
    first = _run_pass(declared, listed, out, last_drains, servers, at, limits, windows)
    if not first.left:
        return Plan(tuple(first.scheduled), tuple(unscheduled))
    # Jobs that miss their deadline are planned again without one, behind all others: that gives the time at
    # which they would be possible, and delays no other job.
    late = {(job.work.name, job.server) for job, _ in first.left}
    without_deadline = [
        (
            msgspec.structs.replace(work, deadline=NEVER) if (work.name, server) in late else work,
            server,
            not_before,
        )
        for work, server, not_before in listed
    ]
    back_times = {
        (drain.work, drain.server): drain.back
        for drain in _run_pass(
            declared, without_deadline, out, last_drains, servers, at, limits, windows
        ).scheduled
    }
    for job, constraint in first.left:
        nearest = back_times.get((job.work.name, job.server), 0)
        unscheduled.append(UnscheduledDrain(job.work.name, job.server, constraint, nearest))
    return Plan(tuple(first.scheduled), tuple(unscheduled))


def _run_pass(
    declared: Declared,
    jobs: Sequence[tuple[Work, str, int]],
    out: Sequence[DrainedServer],
    last_drains: Mapping[str, int],
    servers: Mapping[str, Standing],
    at: int,
    limits: Limits,
    windows: WindowCache,
) -> _PassResult:
    """Step through time until all jobs are scheduled or nothing changes any more that could help."""
    capacity = CapacityTracker(declared.tenants, servers, at)
    groups, out_counts = list[JobGroup](), dict[str, int]()
    returns = list[tuple[int, str, str]]()  # Heap of the times at which servers are back.
    for drained in out:
        permit = drained.permit
        capacity.remove(permit.server, permit)
        out_counts[permit.work] = out_counts.get(permit.work, 0) + 1
        returns.append((max(drained.back, at), permit.work, permit.server))
    heapify(returns)
    selector = WaveSelector(capacity, last_drains, out_counts, limits)
    groups = make_groups(declared, jobs, servers, at, windows, limits)
    warm_times = sorted({one.warm_at for one in servers.values() if one.warm_at > at}, reverse=True)
    scheduled, now, last_constraints = list[ScheduledDrain](), at, dict[int, Constraint]()
    for _ in range(MAX_STEPS):
        while returns and returns[0][0] <= now:
            _, work, server = heappop(returns)
            selector.restore(work, server)
        for job in selector.select(now, groups):
            back = now + limits.total_time(job.work.duration_ns)
            scheduled.append(ScheduledDrain(job.work.name, job.server, now, back))
            heappush(returns, (back, job.work.name, job.server))
        for number, group in enumerate(groups):
            if not group.jobs or group.constraint is None or group.constraint.reason is Refusal.NO_WINDOW:
                continue
            # Once it is too late, the constraint before that is the reason.
            if group.constraint.reason is not Refusal.TOO_LATE or number not in last_constraints:
                last_constraints[number] = group.constraint
        waiting = [group for group in groups if group.jobs]
        next_times = [group.retry_at for group in waiting if group.retry_at is not None]
        next_times += [returns[0][0]] if returns else []
        next_times += warm_times[-1:]
        if not waiting or not next_times or (now := min(next_times)) > windows.until:
            break
        if warm_times and warm_times[-1] <= now:
            warm_times.pop()
            _recompute_capacity(selector, declared, servers, now)
            groups, last_constraints = (
                make_groups(
                    declared,
                    [(job.work, job.server, job.not_before) for group in waiting for job in group.jobs],
                    servers,
                    now,
                    windows,
                    limits,
                ),
                {},
            )
    left = list[tuple[Job, Constraint]]()
    for number, group in enumerate(groups):
        if group.jobs:
            constraint = (
                _window_constraint(group, at, limits)
                or last_constraints.get(number)
                or Constraint(Refusal.TOO_LATE)
            )
            left += [(job, constraint) for job in group.jobs]
    return _PassResult(scheduled, left)


def _recompute_capacity(
    selector: WaveSelector, declared: Declared, servers: Mapping[str, Standing], at: int
) -> None:
    """Sum up the capacity again, after a server became warm."""
    out, selector.capacity = selector.capacity.out, CapacityTracker(declared.tenants, servers, at)
    for server, names in out.items():
        selector.capacity.out[server] = names
        selector.capacity.adjust(server, 1)


def _window_constraint(group: JobGroup, at: int, limits: Limits) -> Constraint | None:
    """Return the constraint if windows alone prevent that the group is done in time, and of which tenant."""
    bound, deadline = limits.clock_bound_ns, min(group.work.deadline, at + limits.planning_horizon_ns)
    start = group.earliest_start(at, bound)
    if start is not None and start + group.total_time <= deadline:
        return None

    def fits(spans: Sequence[Span]) -> bool:
        return any(
            min(span.closes - bound, deadline) - max(span.opens + bound, at) >= group.total_time
            for span in spans
        )

    def too_short(spans: Sequence[Span], tenant: str) -> Constraint:
        opens = any(span.closes > at and span.opens < deadline for span in spans)
        return Constraint(Refusal.WINDOW_TOO_SHORT if opens else Refusal.NO_WINDOW, tenant)

    if deadline - at < group.total_time:
        return Constraint(Refusal.TOO_LATE)
    for tenant in group.tenants:
        if not fits(spans := tenant_spans(tenant, at, deadline)):
            if fits(tenant_spans(tenant, at, deadline, closed=False)):
                return Constraint(Refusal.CLOSED_DAY, tenant.name)
            return too_short(spans, tenant.name)
    return too_short(group.spans, "")

"""Selection of the servers that may be taken out at one moment, for waves that are granted and for plans.

The selection is greedy: the servers with the most interference first, then the earliest deadline, then the
longest work. Each choice is checked against all agreements, so the order affects the time that the works take
and never an agreement.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from functools import reduce
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from ambershift.coordinator.maintenance.agreements import (
    CapacityTracker,
    Constraint,
    TenantIndex,
    effective_capacity,
    is_usable,
)
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Declared, Refusal, Standing, Tenant, Work
from ambershift.coordinator.maintenance.windows import DAY, Span, common, tenant_spans

MAX_WAVE_SIZE = 256  # A wave is one entry of the log.
MAX_CAPACITY_ATTEMPTS = 64  # Servers of a group that are tried after one whose capacity can't be spared.
NEVER = 1 << 62
Order = tuple[float, int, int, int, str]


class Job(NamedTuple):
    """One server of a work that is still to be done, and not before a time."""

    order: Order
    work: Work
    server: str
    capacity: int  # In units of `agreements.CAPACITY_SCALE`; 0 if it isn't usable now.
    not_before: int


class JobGroup:
    """The jobs of one work with the same agreements and windows: a constraint on one applies to all.

    Attributes:
        work: The work.
        tenants: The tenants that use the servers.
        spans: When all of these tenants allow maintenance.
        total_time: From the grant until the server is back and warm, in ns.
        jobs: The jobs that are left, in the order of selection.
        constraint: What prevented a job when the group was last looked at.
        retry_at: When that ends by itself; None if it ends when a server comes back.
    """

    def __init__(
        self, work: Work, tenants: tuple[Tenant, ...], spans: Sequence[Span], total_time: int
    ) -> None:
        """Create a group without jobs."""
        self.work = work
        self.tenants = tenants
        self.spans = spans
        self.total_time = total_time
        self.jobs = list[Job]()
        self.constraint: Constraint | None = None
        self.retry_at: int | None = None

    def earliest_start(self, at: int, clock_bound: int) -> int | None:
        """Return the first time from `at` on at which the work fits into an opening by any member's clock."""
        first = bisect_left(self.spans, at + self.total_time + clock_bound, key=lambda span: span.closes)
        for span in self.spans[first:]:
            start = max(at, span.opens + clock_bound)
            if start + self.total_time + clock_bound <= span.closes:
                return start
        return None


class WindowCache:
    """When all tenants of a server allow maintenance, from two days back to a horizon.

    Attributes:
        since: The start of the time that is covered.
        until: The end of it.
    """

    def __init__(self, at: int, ahead: int) -> None:
        """Cover the time until `ahead` ns after `at`."""
        self.since, self.until = at - 2 * DAY, at + ahead
        self._common = dict[tuple[str, ...], list[Span]]()  # By the names of the tenants.
        self._by_tenant = dict[str, list[Span]]()

    def of(self, tenants: tuple[Tenant, ...]) -> list[Span]:
        """Return when all of these tenants allow maintenance.

        All tenants must be of the same declaration, as they are cached by name.
        """
        names = tuple(tenant.name for tenant in tenants)
        if (found := self._common.get(names)) is None:
            for tenant in tenants:
                if tenant.name not in self._by_tenant:
                    self._by_tenant[tenant.name] = tenant_spans(tenant, self.since, self.until)
            each = [self._by_tenant[name] for name in names]
            found = self._common[names] = reduce(common, each) if each else [Span(self.since, self.until)]
        return found

    def is_fresh(self, at: int) -> bool:
        """Return whether the covered time is recent enough to be used at `at`."""
        return self.since + DAY <= at <= self.since + 3 * DAY


def selection_order(work: Work, position: int, standing: Standing) -> Order:
    """Return the sort key of a job; `position` is the position of its work in the declaration."""
    interfered = standing.interfered
    # Jobs without a deadline, for which only the possible time is asked, go behind all others.
    rank = 2.0 if work.deadline == NEVER else -round(interfered, 2) if interfered > 0 else 0.0
    return rank, work.deadline, -work.duration_ns, position, standing.server


def make_groups(
    declared: Declared,
    jobs: Iterable[tuple[Work, str, int]],
    servers: Mapping[str, Standing],
    at: int,
    windows: WindowCache,
    limits: Limits,
) -> list[JobGroup]:
    """Return the jobs in groups, each group in the order of selection.

    Args:
        declared: The declaration.
        jobs: For each job the work, a listed server, and the time before which it isn't tried.
        servers: The servers by id.
        at: The time at which the servers are looked at.
        windows: When the tenants allow maintenance.
        limits: The limits of maintenance.
    """
    positions = {work.name: position for position, work in enumerate(declared.works)}
    index, groups = TenantIndex(declared.tenants), dict[tuple[str, int, tuple[str, ...], bool], JobGroup]()
    # The groups by zone, so that the tenants are compared once a zone.
    groups_by_zone = dict[tuple[str, int, str, bool], JobGroup]()
    for work, server, not_before in jobs:
        standing = servers[server]
        usable = is_usable(standing, at)
        zone_key = work.name, work.deadline, standing.zone, usable
        if (group := groups_by_zone.get(zone_key)) is None:
            tenants = index.of(standing.zone)
            key = work.name, work.deadline, tuple(tenant.name for tenant in tenants), usable
            if (group := groups.get(key)) is None:
                group = groups[key] = JobGroup(
                    work, tenants, windows.of(tenants), limits.total_time(work.duration_ns)
                )
            groups_by_zone[zone_key] = group
        group.jobs.append(
            Job(
                selection_order(work, positions[work.name], standing),
                work,
                server,
                effective_capacity(standing) if usable else 0,
                not_before,
            )
        )
    for group in groups.values():
        group.jobs.sort()
    return list(groups.values())


class WaveSelector:
    """Selects jobs that may start together, and keeps which servers are out.

    Attributes:
        capacity: What each tenant has, and which servers are out.
    """

    def __init__(
        self,
        capacity: CapacityTracker,
        last_drains: Mapping[str, int],
        out_counts: Mapping[str, int],
        limits: Limits,
    ) -> None:
        """Start from a state.

        Args:
            capacity: What each tenant has, and which servers are out; updated by each selection.
            last_drains: By tenant, when a server of it was last drained.
            out_counts: By work, how many of its servers are out.
            limits: The limits of maintenance.
        """
        self.capacity = capacity
        self._limits = limits
        self._last_drains, self._out_counts = dict(last_drains), dict(out_counts)

    def _can_start(self, group: JobGroup, at: int) -> bool:
        """Return whether a job of the group may start now, as far as capacity and servers out allow.

        Sets `constraint` and `retry_at` of the group.
        """
        start = group.earliest_start(at, self._limits.clock_bound_ns)
        work, group.retry_at = group.work, None
        if start is None or start + group.total_time > work.deadline:
            group.constraint = Constraint(Refusal.TOO_LATE if start is not None else Refusal.NO_WINDOW)
        elif start > at:
            group.constraint, group.retry_at = Constraint(Refusal.NO_WINDOW), start
        elif work.max_concurrent and self._out_counts.get(work.name, 0) >= work.max_concurrent:
            group.constraint = Constraint(Refusal.TOO_MANY_OUT)
        else:
            group.constraint = None
            for tenant in group.tenants:
                interval = tenant.agreement.min_drain_interval_ns
                # The clocks of two leaders may differ by twice the bound.
                allowed_at = (
                    self._last_drains.get(tenant.name, 0) + interval + 2 * self._limits.clock_bound_ns
                )
                if interval and at < allowed_at and (group.retry_at is None or allowed_at > group.retry_at):
                    group.constraint, group.retry_at = (
                        Constraint(Refusal.DRAIN_TOO_RECENT, tenant.name),
                        allowed_at,
                    )
        return group.constraint is None

    def select(self, at: int, groups: Sequence[JobGroup]) -> list[Job]:
        """Return the jobs that may all start now; they leave their groups and count as out."""
        selected = list[Job]()
        heap = [
            (group.jobs[0].order, number, 0)
            for number, group in enumerate(groups)
            if group.jobs and self._can_start(group, at)
        ]
        heapify(heap)
        # By group, the least capacity that could not be spared, and by which constraint.
        too_large, attempts = dict[int, tuple[int, Constraint]](), dict[int, int]()
        while heap and len(selected) < MAX_WAVE_SIZE:
            _, number, position = heappop(heap)
            group = groups[number]
            job = group.jobs[position]
            if not self._can_start(group, at):
                continue
            if job.not_before > at:
                group.retry_at = min(job.not_before, group.retry_at or job.not_before)
                position += 1
            elif job.server in self.capacity.out:
                group.constraint = Constraint(Refusal.ALREADY_OUT)
                position += 1
            elif number in too_large and job.capacity >= too_large[number][0]:
                group.constraint = too_large[number][1]
                position += 1
            elif (constraint := self.capacity.violation_without(job.server)) is not None:
                group.constraint = constraint
                attempts[number] = attempts.get(number, 0) + 1
                # A smaller server may still be spared; the servers of a group differ in nothing else.
                if (
                    constraint.reason is not Refusal.CAPACITY
                    or not job.capacity
                    or attempts[number] > MAX_CAPACITY_ATTEMPTS
                ):
                    continue
                too_large[number] = job.capacity, constraint
                position += 1
            else:
                selected.append(job)
                del group.jobs[position]
                self._remove(job, at, group)
            if position < len(group.jobs):
                heappush(heap, (group.jobs[position].order, number, position))
        return selected

    def _remove(self, job: Job, at: int, group: JobGroup) -> None:
        self.capacity.remove(job.server)
        self._out_counts[job.work.name] = self._out_counts.get(job.work.name, 0) + 1
        for tenant in group.tenants:
            self._last_drains[tenant.name] = at

    def restore(self, work: str, server: str) -> None:
        """Count a server of a work as back."""
        self.capacity.restore(server)
        self._out_counts[work] = self._out_counts.get(work, 0) - 1

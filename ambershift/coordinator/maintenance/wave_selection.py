"""Which servers may be taken out at one moment: the same choice for a wave that is granted and for a plan.

Greedy in a good order: the worst interfered first, then what is due first, then what takes longest. Each
choice is checked against all agreements, so that the order costs time and never an agreement.
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

WAVE_MOST = 256  # A grant is one entry of the log.
TRIES_MOST = 64  # Servers of a group that are looked at past one that weighs too much.
NEVER = 1 << 62
Order = tuple[float, int, int, int, str]


class Job(NamedTuple):
    """One server of a work that is still to be done, not to be taken before a time."""

    order: Order
    work: Work
    server: str
    worth: int
    not_before: int


class Group:
    """Jobs of one work that meet the same agreements and windows; what binds one binds the next."""

    def __init__(self, work: Work, tenants: tuple[Tenant, ...], spans: Sequence[Span], whole: int) -> None:
        self.work, self.tenants, self.spans, self.whole = work, tenants, spans, whole
        self.jobs = list[Job]()
        self.binds: Constraint | None = None  # Why it did not go on when it was last looked at.
        self.retry: int | None = None  # When that ends by itself, None: when somebody comes back.

    def earliest(self, at: int, bound: int) -> int | None:
        """The first moment from `at` on at which all of the work fits into an opening, by any clock."""
        first = bisect_left(self.spans, at + self.whole + bound, key=lambda span: span.closes)
        for span in self.spans[first:]:
            start = max(at, span.opens + bound)
            if start + self.whole + bound <= span.closes:
                return start
        return None


class WindowCache:
    """When all tenants of a server let maintenance be, from two days back to as far as is looked ahead."""

    def __init__(self, at: int, ahead: int) -> None:
        self.since, self.until = at - 2 * DAY, at + ahead
        self.known, self.each = dict[tuple[str, ...], list[Span]](), dict[str, list[Span]]()

    def of(self, tenants: tuple[Tenant, ...]) -> list[Span]:
        """The tenants are all of one declaration, so that their names tell them."""
        names = tuple(tenant.name for tenant in tenants)
        if (found := self.known.get(names)) is None:
            for tenant in tenants:
                if tenant.name not in self.each:
                    self.each[tenant.name] = tenant_spans(tenant, self.since, self.until)
            own = [self.each[name] for name in names]
            found = self.known[names] = reduce(common, own) if own else [Span(self.since, self.until)]
        return found

    def fresh(self, at: int) -> bool:
        return self.since + DAY <= at <= self.since + 3 * DAY


def order(work: Work, place: int, standing: Standing) -> Order:
    # Work that is only asked for when it could be done pushes nobody.
    hurt = standing.interfered
    rank = 2.0 if work.deadline == NEVER else -round(hurt, 2) if hurt > 0 else 0.0
    return rank, work.deadline, -work.duration_ns, place, standing.server


def make_groups(
    declared: Declared,
    jobs: Iterable[tuple[Work, str, int]],
    servers: Mapping[str, Standing],
    at: int,
    spans: WindowCache,
    limits: Limits,
) -> list[Group]:
    """The jobs, each a work, a server that is listed and a time, in groups; best first in each."""
    places = {work.name: place for place, work in enumerate(declared.works)}
    users, groups = TenantIndex(declared.tenants), dict[tuple[str, int, tuple[str, ...], bool], Group]()
    known = dict[tuple[str, int, str, bool], Group]()  # By zone, so that tenants are looked at once a zone.
    for work, server, not_before in jobs:
        standing = servers[server]
        here = is_usable(standing, at)
        short = work.name, work.deadline, standing.zone, here
        if (group := known.get(short)) is None:
            tenants = users.of(standing.zone)
            key = work.name, work.deadline, tuple(tenant.name for tenant in tenants), here
            if (group := groups.get(key)) is None:
                group = groups[key] = Group(
                    work, tenants, spans.of(tenants), limits.total_time(work.duration_ns)
                )
            known[short] = group
        group.jobs.append(
            Job(
                order(work, places[work.name], standing),
                work,
                server,
                effective_capacity(standing) if here else 0,
                not_before,
            )
        )
    for group in groups.values():
        group.jobs.sort()
    return list(groups.values())


class Board:
    """Who is out, of which work, and when each tenant last had a server drained."""

    def __init__(
        self, room: CapacityTracker, drains: Mapping[str, int], out_of: Mapping[str, int], limits: Limits
    ) -> None:
        self.room, self.limits = room, limits
        self.drains, self.out_of = dict(drains), dict(out_of)

    def gate(self, group: Group, at: int) -> bool:
        """Whether a job of this group could start now, but for capacity and who is out."""
        start = group.earliest(at, self.limits.clock_bound_ns)
        work, group.retry = group.work, None
        if start is None or start + group.whole > work.deadline:
            group.binds = Constraint(Refusal.TOO_LATE if start is not None else Refusal.NO_WINDOW)
        elif start > at:
            group.binds, group.retry = Constraint(Refusal.NO_WINDOW), start
        elif work.max_concurrent and self.out_of.get(work.name, 0) >= work.max_concurrent:
            group.binds = Constraint(Refusal.OUT_MOST)
        else:
            group.binds = None
            for tenant in group.tenants:
                apart = tenant.agreement.min_drain_interval_ns
                # Two leaders' clocks may be apart by twice the bound.
                free = self.drains.get(tenant.name, 0) + apart + 2 * self.limits.clock_bound_ns
                if apart and at < free and (group.retry is None or free > group.retry):
                    group.binds, group.retry = Constraint(Refusal.APART, tenant.name), free
        return group.binds is None

    def pick(self, at: int, groups: Sequence[Group]) -> list[Job]:
        """The jobs that may all start now; they are taken from their groups, and count as out."""
        chosen = list[Job]()
        heap = [
            (group.jobs[0].order, place, 0)
            for place, group in enumerate(groups)
            if group.jobs and self.gate(group, at)
        ]
        heapify(heap)
        too_much, tries = dict[int, tuple[int, Constraint]](), dict[int, int]()
        while heap and len(chosen) < WAVE_MOST:
            _, place, to = heappop(heap)
            group = groups[place]
            job = group.jobs[to]
            if not self.gate(group, at):
                continue
            if job.not_before > at:
                group.retry = min(job.not_before, group.retry or job.not_before)
                to += 1
            elif job.server in self.room.out:
                group.binds = Constraint(Refusal.ALREADY_OUT)
                to += 1
            elif place in too_much and job.worth >= too_much[place][0]:
                group.binds = too_much[place][1]
                to += 1
            elif (binds := self.room.refuses(job.server)) is not None:
                group.binds = binds
                tries[place] = tries.get(place, 0) + 1
                # Less may still fit into what capacity is left; in all else they are alike.
                if binds.reason is not Refusal.CAPACITY or not job.worth or tries[place] > TRIES_MOST:
                    continue
                too_much[place] = job.worth, binds
                to += 1
            else:
                chosen.append(job)
                del group.jobs[to]
                self.take(job, at, group)
            if to < len(group.jobs):
                heappush(heap, (group.jobs[to].order, place, to))
        return chosen

    def take(self, job: Job, at: int, group: Group) -> None:
        self.room.take(job.server)
        self.out_of[job.work.name] = self.out_of.get(job.work.name, 0) + 1
        for tenant in group.tenants:
            self.drains[tenant.name] = at

    def give(self, work: str, server: str) -> None:
        self.room.give(server)
        self.out_of[work] = self.out_of.get(work, 0) - 1

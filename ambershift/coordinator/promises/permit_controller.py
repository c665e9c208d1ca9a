"""PermitController: what the leader does for maintenance, from what stands promised and what it hears.

It holds nothing that a change of leader may lose: all it goes by is the committed state, so that whoever
leads next goes on with the same wave. Each command stands only on the state that it was judged by.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ambershift.coordinator.maintenance.agreements import (
    CapacityTracker,
    TenantIndex,
    effective_capacity,
    is_usable,
)
from ambershift.coordinator.maintenance.limits import MINUTE, SECOND, Limits
from ambershift.coordinator.maintenance.permits import (
    MemberReports,
    all_drained,
    all_let_in,
    is_back,
    is_clock_skewed,
)
from ambershift.coordinator.maintenance.planning import Open, Plan, plan_maintenance
from ambershift.coordinator.maintenance.types import Permit, Phase, Standing, Tenant, Trouble, Work
from ambershift.coordinator.maintenance.wave_selection import Board, WindowCache, make_groups
from ambershift.coordinator.maintenance.windows import DAY
from ambershift.coordinator.promises.commands import Command, Grant, Move
from ambershift.coordinator.promises.maintenance_rows import Row, permit_rows, plan_rows, stopped_row
from ambershift.coordinator.promises.state import NOTHING_DECLARED, GroupState, OpenPermit

SEND_AGAIN = 3 * SECOND  # A command that is lost is sent again; it stands once, whatever comes of it.
# Who may go next is looked for so often where nothing changed; each look goes through the whole fleet, so
# that the largest are looked at less often: 2,000 servers once a second at most.
GRANT_EVERY, LOOK_COSTS = SECOND, SECOND // 2000
DAYS_AHEAD = 3 * DAY  # To know what fits now; the plan looks further, for whoever asks for it.
DRAIN_MOST = 4  # Times as long as drains should take; then something is wrong with it.


class Seen(NamedTuple):
    """What the last look was at."""

    at: int
    servers: Mapping[str, Standing]
    heard: MemberReports


class PermitController:
    """`limits` come from the settings; the same at every member, so that a new leader judges alike."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.sent = dict[str, tuple[int, int]]()  # By permit, "" for grants: what it stood on, and when.
        self.spans, self.spans_of, self.users = WindowCache(0, DAYS_AHEAD), NOTHING_DECLARED, TenantIndex(())
        self.granted_at, self.granted_on = -(1 << 60), -1
        self.planned: tuple[int, int, list[Row]] | None = None
        self.drains: dict[str, tuple[int, int]] | None = None  # As granted, and as seen.
        self.apart, self.seen = False, Seen(0, {}, MemberReports((), {}, {}, {}))

    def due(
        self, now: int, at: int, state: GroupState, servers: Mapping[str, Standing], heard: MemberReports
    ) -> list[Command]:
        """What to submit now, at the leader alone, every second or when something changed.

        `now` never goes back, `at` is the wall clock. `servers` are those of the list, by id, as they stand
        without our permits: one that only a permit keeps out has no trouble.
        """
        self.seen = Seen(at, servers, heard)
        own = [one.ahead for one in heard.steers.values() if one.age <= self.limits.report_timeout_ns]
        self.apart = is_clock_skewed(own, self.limits.clock_bound_ns)
        if self.apart or not own:
            return []  # Every member lets in what ends by its own clock; nothing depends on us here.
        if not self.spans.fresh(at) or self.spans_of != state.declared:
            self.spans, self.spans_of = WindowCache(at, DAYS_AHEAD), state.declared
            self.users = TenantIndex(state.declared.tenants)
        self.drains = self.drains_seen(at, state)
        works = {work.name: work for work in state.declared.works}
        recalled = self.recalled(at, state, servers)
        moves = list[tuple[OpenPermit, Move]]()
        for _, held in sorted(state.permits.items()):
            move = self.next_move(
                at, held, works.get(held.permit.work), state, servers, heard, held.permit.id in recalled
            )
            if move is not None:
                moves.append((held, move))
        if moves:
            return [move for held, move in moves if self.may_send(now, move.permit, held.number)]
        pause = len(servers) * LOOK_COSTS + (GRANT_EVERY if self.granted_on == state.last_permit_entry else 0)
        if now < self.granted_at + pause:
            return []
        self.granted_at, self.granted_on = now, state.last_permit_entry
        permits = self.next_wave(at, state, servers)
        if not permits or not self.may_send(now, "", state.last_permit_entry):
            return []
        return [Grant(state.last_permit_entry, permits)]

    def may_send(self, now: int, key: str, based_on: int) -> bool:
        before = self.sent.get(key)
        if before is not None and before[0] == based_on and now < before[1] + SEND_AGAIN:
            return False
        if len(self.sent) > 4096:
            self.sent.clear()
        self.sent[key] = based_on, now
        return True

    def next_move(
        self,
        at: int,
        held: OpenPermit,
        work: Work | None,
        state: GroupState,
        servers: Mapping[str, Standing],
        heard: MemberReports,
        recall: bool,
    ) -> Move | None:
        permit, limits, on = held.permit, self.limits, state.last_permit_entry
        standing = servers.get(permit.server)
        if permit.phase is Phase.RETURNING:
            # Some may not have heard of a sooner end.
            last = msgspec.structs.replace(permit, ends=held.latest)
            if is_back(permit, standing, limits, at, held.done) and all_let_in(last, heard, limits, at):
                return Move(on, permit.id, Phase.CLOSED, permit.ends, held.done)
            return None
        returning = Move(on, permit.id, Phase.RETURNING, permit.ends)
        if work is None or permit.server not in work.servers:
            return returning  # It was declared away: given back.
        if permit.phase is Phase.OUT:
            # Work that is under way is not broken off: the promise to whoever does it runs to its end.
            return msgspec.structs.replace(returning, done=True) if at >= permit.ends else None
        if at >= permit.ends or recall or not self.fits(at, permit, standing, permit.ends, work):
            return returning
        if all_drained(permit, heard, limits):
            ends = at + work.duration_ns
            if self.fits(at, permit, standing, ends, work):
                return Move(on, permit.id, Phase.OUT, ends)
            return returning
        if at + work.duration_ns < permit.ends:
            return None
        # The drain takes longer than it should: no end before the work has its time, if that still fits.
        ends = permit.ends + max(limits.drain_ns // 2, SECOND)
        if at < permit.granted + DRAIN_MOST * limits.drain_ns and self.fits(at, permit, standing, ends, work):
            return Move(on, permit.id, Phase.DRAINING, ends)
        return returning

    def fits(self, at: int, permit: Permit, standing: Standing | None, ends: int, work: Work) -> bool:
        """Whether, with this end, it is back and warm before the opening closes and the work is due."""
        declared, limits = self.spans_of, self.limits
        tenants = (
            self.users.of(standing.zone)
            if standing is not None
            else tuple(tenant for tenant in declared.tenants if tenant.name in permit.tenants)
        )
        back = limits.let_in_by_all(ends) + limits.warmup_ns
        return back <= work.deadline and any(
            span.opens <= at and back + limits.clock_bound_ns <= span.closes
            for span in self.spans.of(tenants)
        )

    def recalled(self, at: int, state: GroupState, servers: Mapping[str, Standing]) -> set[str]:
        """The drains to break off, as a fault took capacity meanwhile: as few as let all agreements hold.

        A new leader that does not know yet how servers are takes nothing back for that.
        """
        draining = [held.permit for held in state.permits.values() if held.permit.phase is Phase.DRAINING]
        if not draining:
            return set()
        known = {
            name: one
            if one.trouble is not Trouble.UNKNOWN
            else msgspec.structs.replace(one, trouble=None, warm_at=0)
            for name, one in servers.items()
        }
        room, found = CapacityTracker(state.declared.tenants, known, at), set[str]()
        for held in state.permits.values():
            if held.permit.phase <= Phase.OUT:
                room.take(held.permit.server, held.permit)
        helps = [
            permit for permit in draining if permit.server in known and is_usable(known[permit.server], at)
        ]
        helps.sort(key=lambda permit: (-effective_capacity(known[permit.server]), permit.id))
        for tenant in state.declared.tenants:
            for permit in helps if room.lacks(tenant) else ():
                if permit.id not in found and tenant.name in room.out[permit.server] and room.lacks(tenant):
                    room.give(permit.server)
                    found.add(permit.id)
        return found

    def next_wave(self, at: int, state: GroupState, servers: Mapping[str, Standing]) -> tuple[Permit, ...]:
        """The servers that may all start now. What counts as out here counts so by any member's clock."""
        declared, limits = state.declared, self.limits
        if not any(self.open_now(at, self.users.of(zone)) for zone in {one.zone for one in servers.values()}):
            return ()
        jobs = [job for job in self.jobs(state) if job[1] in servers and job[2] <= at]
        if not jobs:
            return ()
        room, out_of = CapacityTracker(declared.tenants, servers, at), dict[str, int]()
        for held in state.permits.values():
            room.take(held.permit.server, held.permit)
            out_of[held.permit.work] = out_of.get(held.permit.work, 0) + 1
        board = Board(room, {name: seen for name, (_, seen) in (self.drains or {}).items()}, out_of, limits)
        chosen = board.pick(at, make_groups(declared, jobs, servers, at, self.spans, limits))
        return tuple(
            Permit(
                f"{job.work.name}/{job.server}/{self.tries(state, job.work.name, job.server) + 1}",
                job.work.name,
                job.server,
                Phase.DRAINING,
                at,
                at + limits.drain_ns + job.work.duration_ns,
                room.users_of(job.server),
                servers[job.server].weight,
            )
            for job in chosen
        )

    def open_now(self, at: int, tenants: tuple[Tenant, ...]) -> bool:
        return any(span.opens <= at < span.closes for span in self.spans.of(tenants))

    def drains_seen(self, at: int, state: GroupState) -> dict[str, tuple[int, int]]:
        """When each tenant last had a server drained, as granted and as seen. A grant may lie in the log for
        long before it is committed, so that the drain counts from when we saw it stand; a new leader counts
        it from its own beginning where the server still is out.
        """
        fresh, known = self.drains is None, self.drains or {}
        out = {name for held in state.permits.values() for name in held.permit.tenants}
        return {
            name: known[name]
            if name in known and known[name][0] == granted
            else (granted, max(at, granted) if not fresh or name in out else granted)
            for name, granted in state.drains.items()
        }

    def tries(self, state: GroupState, work: str, server: str) -> int:
        past = state.past.get((work, server))
        return past.tries if past else 0

    def jobs(self, state: GroupState) -> list[tuple[Work, str, int]]:
        """What is still to be done and not under way, and before when it is not tried again."""
        out, found = {held.permit.server for held in state.permits.values()}, []
        for work in state.declared.works:
            for server in work.servers:
                past = state.past.get((work.name, server))
                if server in out or (past is not None and past.done):
                    continue
                found.append(
                    (work, server, past.granted + past.tries * self.limits.retry_delay_ns if past else 0)
                )
        return found

    def plan(self, state: GroupState) -> Plan:
        """What would come from here on if nothing failed, by what the last look saw."""
        at, servers, _ = self.seen
        out = [Open(held.permit, self.back(held.permit, servers, at)) for held in state.permits.values()]
        return plan_maintenance(
            state.declared, self.jobs(state), out, dict(state.drains), servers, at, self.limits
        )

    def rows(self, state: GroupState, now: int) -> list[Row]:
        """For `show maintenance`, at any member; what comes next is known only where `due` looks, and worked
        out anew once a minute or when something changed.
        """
        rows = permit_rows(state)
        if self.apart:
            return [*rows, stopped_row()]
        if not self.seen.servers:
            return rows
        on = state.last_permit_entry
        if self.planned is None or self.planned[0] != on or now >= self.planned[1] + MINUTE:
            self.planned = on, now, plan_rows(self.plan(state))
        return [*rows, *self.planned[2]]

    def back(self, permit: Permit, servers: Mapping[str, Standing], at: int) -> int:
        if permit.phase is Phase.RETURNING:
            return max(at + SECOND, servers[permit.server].warm_at if permit.server in servers else 0)
        return self.limits.let_in_by_all(permit.ends) + self.limits.warmup_ns

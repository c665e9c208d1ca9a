"""Permit controller: how the leader decides on maintenance, from the committed state and members' reports.

It keeps nothing that a change of leader may not lose. All decisions follow from the committed state, so that
the next leader continues the same wave. Each command takes effect only on the state that it was decided on.
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
from ambershift.coordinator.maintenance.planning import DrainedServer, Plan, plan_maintenance
from ambershift.coordinator.maintenance.types import Permit, Phase, Standing, Tenant, Trouble, Work
from ambershift.coordinator.maintenance.wave_selection import WaveSelector, WindowCache, make_groups
from ambershift.coordinator.maintenance.windows import DAY
from ambershift.coordinator.promises.commands import Command, Grant, Move
from ambershift.coordinator.promises.maintenance_rows import Row, permit_rows, plan_rows, stopped_row
from ambershift.coordinator.promises.state import NOTHING_DECLARED, GroupState, OpenPermit

# A command that may be lost is submitted again; it takes effect only once, however often it is committed.
RESUBMIT_INTERVAL_NS = 3 * SECOND
# How long after a selection that granted nothing the next one follows if nothing changed.
SELECTION_INTERVAL_NS = SECOND
# A selection goes through all servers, so each adds to the pause: 2,000 servers are looked at once a second.
SELECTION_COST_PER_SERVER_NS = SECOND // 2000
# What fits now needs no more; only plans look further ahead.
WINDOW_HORIZON_NS = 3 * DAY
# A drain that takes this many times as long as it should is given up.
MAX_DRAIN_FACTOR = 4
MAX_SENT_COMMANDS = 4096  # Remembered for `RESUBMIT_INTERVAL_NS`.


class Snapshot(NamedTuple):
    """The input of the last call of `next_commands`."""

    at: int
    servers: Mapping[str, Standing]
    reports: MemberReports


class PermitController:
    """Grants permits and moves them from phase to phase; used by the leader, for one term.

    The attributes besides `limits` are what a leader knows beyond the log. Other leaders decide without them.

    Attributes:
        limits: The limits of maintenance, the same on every member so that a new leader decides alike.
        sent: By permit id, "" for grants: the entry that the last command was based on, and when it was sent.
        windows: When the tenants allow maintenance.
        windows_of: The declaration that `windows` was computed for.
        selected_at: When a wave was last selected, by the monotonic clock.
        selected_on: The last entry that had changed permits then.
        seen_drains: By tenant, when a server was last drained: as granted, and as seen by this leader.
    """

    def __init__(self, limits: Limits) -> None:
        """Start with the knowledge of a new leader."""
        self.limits = limits
        self.sent = dict[str, tuple[int, int]]()
        self.windows, self.windows_of = WindowCache(0, WINDOW_HORIZON_NS), NOTHING_DECLARED
        self._tenants = TenantIndex(())
        self.selected_at, self.selected_on = -(1 << 60), -1
        self.seen_drains: dict[str, tuple[int, int]] | None = None
        # The rows of the plan, with the entry and the time that they were made for.
        self._cached_plan: tuple[int, int, list[Row]] | None = None
        self._is_clock_skewed = False
        self._last_seen = Snapshot(0, {}, MemberReports((), {}, {}, {}))

    def next_commands(
        self, now: int, at: int, state: GroupState, servers: Mapping[str, Standing], reports: MemberReports
    ) -> list[Command]:
        """Return the commands to submit now; called by the leader every second, or when something changed.

        Args:
            now: The monotonic clock, in ns.
            at: The wall clock, Unix ns.
            state: The committed state.
            servers: The listed servers by id, as they would be without permits: a server that only a permit
                keeps out has no trouble.
            reports: What the members reported.
        """
        self._last_seen = Snapshot(at, servers, reports)
        clocks_ahead = [
            report.clock_ahead
            for report in reports.steering.values()
            if report.age <= self.limits.report_timeout_ns
        ]
        self._is_clock_skewed = is_clock_skewed(clocks_ahead, self.limits.clock_bound_ns)
        if self._is_clock_skewed or not clocks_ahead:
            return []  # Every member ends permits by its own clock, so nothing depends on this leader.
        if not self.windows.is_fresh(at) or self.windows_of != state.declared:
            self.windows, self.windows_of = WindowCache(at, WINDOW_HORIZON_NS), state.declared
            self._tenants = TenantIndex(state.declared.tenants)
        self.seen_drains = self._update_seen_drains(at, state)
        works = {work.name: work for work in state.declared.works}
        recalled = self._select_recalled(at, state, servers)
        moves = list[tuple[OpenPermit, Move]]()
        for _, held in sorted(state.permits.items()):
            move = self.next_move(
                at, held, works.get(held.permit.work), state, servers, reports, held.permit.id in recalled
            )
            if move is not None:
                moves.append((held, move))
        if moves:
            return [move for held, move in moves if self._may_send(now, move.permit, held.number)]
        pause = len(servers) * SELECTION_COST_PER_SERVER_NS
        pause += SELECTION_INTERVAL_NS if self.selected_on == state.last_permit_entry else 0
        if now < self.selected_at + pause:
            return []
        self.selected_at, self.selected_on = now, state.last_permit_entry
        permits = self._select_wave(at, state, servers)
        if not permits or not self._may_send(now, "", state.last_permit_entry):
            return []
        return [Grant(state.last_permit_entry, permits)]

    def _may_send(self, now: int, key: str, based_on: int) -> bool:
        """Return whether a command should be sent now, and remember that it is."""
        before = self.sent.get(key)
        if before is not None and before[0] == based_on and now < before[1] + RESUBMIT_INTERVAL_NS:
            return False
        if len(self.sent) > MAX_SENT_COMMANDS:
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
        reports: MemberReports,
        recall: bool,
    ) -> Move | None:
        """Return the next move of a permit; None if it stays as it is.

        Args:
            at: The wall clock.
            held: The permit.
            work: Its work; None if it is no longer declared.
            state: The committed state.
            servers: The listed servers by id.
            reports: What the members reported.
            recall: Whether the drain should be aborted because other servers failed.
        """
        permit, limits, based_on = held.permit, self.limits, state.last_permit_entry
        standing = servers.get(permit.server)
        if permit.phase is Phase.RETURNING:
            # A member may not have learned of a sooner end.
            latest = msgspec.structs.replace(permit, ends=held.latest_end)
            if is_back(permit, standing, limits, at, held.done) and all_let_in(latest, reports, limits, at):
                return Move(based_on, permit.id, Phase.CLOSED, permit.ends, held.done)
            return None
        returning = Move(based_on, permit.id, Phase.RETURNING, permit.ends)
        if work is None or permit.server not in work.servers:
            return returning  # It is no longer declared.
        if permit.phase is Phase.OUT:
            # Work that is under way isn't aborted: whoever does it may rely on the permit until its end.
            return msgspec.structs.replace(returning, done=True) if at >= permit.ends else None
        if at >= permit.ends or recall or not self._fits(at, permit, standing, permit.ends, work):
            return returning
        if all_drained(permit, reports, limits):
            ends = at + work.duration_ns
            if self._fits(at, permit, standing, ends, work):
                return Move(based_on, permit.id, Phase.OUT, ends)
            return returning
        if at + work.duration_ns < permit.ends:
            return None
        # The drain takes longer than expected: extend the permit so that the work has its time, if that fits.
        ends = permit.ends + max(limits.drain_ns // 2, SECOND)
        give_up_at = permit.granted + MAX_DRAIN_FACTOR * limits.drain_ns
        if at < give_up_at and self._fits(at, permit, standing, ends, work):
            return Move(based_on, permit.id, Phase.DRAINING, ends)
        return returning

    def _fits(self, at: int, permit: Permit, standing: Standing | None, ends: int, work: Work) -> bool:
        """Return whether, with this end, the server is warm before the opening closes and the deadline."""
        declared, limits = self.windows_of, self.limits
        tenants = (
            self._tenants.of(standing.zone)
            if standing is not None
            else tuple(tenant for tenant in declared.tenants if tenant.name in permit.tenants)
        )
        back = limits.let_in_by_all(ends) + limits.warmup_ns
        return back <= work.deadline and any(
            span.opens <= at and back + limits.clock_bound_ns <= span.closes
            for span in self.windows.of(tenants)
        )

    def _select_recalled(self, at: int, state: GroupState, servers: Mapping[str, Standing]) -> set[str]:
        """Return the drains to abort because servers failed meanwhile.

        They are as few as needed for all agreements to hold. Servers of unknown state count as usable: a new
        leader that doesn't know them yet recalls nothing for that.
        """
        draining = [held.permit for held in state.permits.values() if held.permit.phase is Phase.DRAINING]
        if not draining:
            return set()
        known = {
            name: standing
            if standing.trouble is not Trouble.UNKNOWN
            else msgspec.structs.replace(standing, trouble=None, warm_at=0)
            for name, standing in servers.items()
        }
        capacity, recalled = CapacityTracker(state.declared.tenants, known, at), set[str]()
        for held in state.permits.values():
            if held.permit.phase <= Phase.OUT:
                capacity.remove(held.permit.server, held.permit)
        candidates = [
            permit for permit in draining if permit.server in known and is_usable(known[permit.server], at)
        ]
        candidates.sort(key=lambda permit: (-effective_capacity(known[permit.server]), permit.id))
        for tenant in state.declared.tenants:
            for permit in candidates if capacity.violation(tenant) else ():
                if (
                    permit.id not in recalled
                    and tenant.name in capacity.out[permit.server]
                    and capacity.violation(tenant)
                ):
                    capacity.restore(permit.server)
                    recalled.add(permit.id)
        return recalled

    def _select_wave(self, at: int, state: GroupState, servers: Mapping[str, Standing]) -> tuple[Permit, ...]:
        """Return permits for the servers that may all start now.

        Servers with open permits count as out, so that the agreements hold by the clock of any member.
        """
        declared, limits = state.declared, self.limits
        zones = {standing.zone for standing in servers.values()}
        if not any(self._is_open(at, self._tenants.of(zone)) for zone in zones):
            return ()
        jobs = [job for job in self._open_jobs(state) if job[1] in servers and job[2] <= at]
        if not jobs:
            return ()
        capacity, out_counts = CapacityTracker(declared.tenants, servers, at), dict[str, int]()
        for held in state.permits.values():
            capacity.remove(held.permit.server, held.permit)
            out_counts[held.permit.work] = out_counts.get(held.permit.work, 0) + 1
        last_drains = {name: seen for name, (_, seen) in (self.seen_drains or {}).items()}
        selector = WaveSelector(capacity, last_drains, out_counts, limits)
        selected = selector.select(at, make_groups(declared, jobs, servers, at, self.windows, limits))
        return tuple(
            Permit(
                f"{job.work.name}/{job.server}/{self._tries(state, job.work.name, job.server) + 1}",
                job.work.name,
                job.server,
                Phase.DRAINING,
                at,
                at + limits.drain_ns + job.work.duration_ns,
                capacity.tenants_of(job.server),
                servers[job.server].weight,
            )
            for job in selected
        )

    def _is_open(self, at: int, tenants: tuple[Tenant, ...]) -> bool:
        return any(span.opens <= at < span.closes for span in self.windows.of(tenants))

    def _update_seen_drains(self, at: int, state: GroupState) -> dict[str, tuple[int, int]]:
        """Return when each tenant last had a server drained, as granted and as seen.

        A grant may wait in the log for long before it is committed, so a drain counts from when this leader
        saw it committed. For a new leader it counts from its start if the server is still out.
        """
        is_new, known = self.seen_drains is None, self.seen_drains or {}
        tenants_out = {name for held in state.permits.values() for name in held.permit.tenants}
        return {
            name: known[name]
            if name in known and known[name][0] == granted
            else (granted, max(at, granted) if not is_new or name in tenants_out else granted)
            for name, granted in state.last_drains.items()
        }

    def _tries(self, state: GroupState, work: str, server: str) -> int:
        history = state.history.get((work, server))
        return history.tries if history else 0

    def _open_jobs(self, state: GroupState) -> list[tuple[Work, str, int]]:
        """Return what is neither done nor under way, each with the time before which it isn't tried again."""
        out, jobs = {held.permit.server for held in state.permits.values()}, []
        for work in state.declared.works:
            for server in work.servers:
                history = state.history.get((work.name, server))
                if server in out or (history is not None and history.done):
                    continue
                not_before = history.granted + history.tries * self.limits.retry_delay_ns if history else 0
                jobs.append((work, server, not_before))
        return jobs

    def plan(self, state: GroupState) -> Plan:
        """Return what would follow if nothing failed, from what the last call of `next_commands` got."""
        at, servers, _ = self._last_seen
        out = [
            DrainedServer(held.permit, self._expected_back(held.permit, servers, at))
            for held in state.permits.values()
        ]
        return plan_maintenance(
            state.declared, self._open_jobs(state), out, dict(state.last_drains), servers, at, self.limits
        )

    def rows(self, state: GroupState, now: int) -> list[Row]:
        """Return the rows of `show maintenance`.

        Every member has the permits. The plan is known only where `next_commands` is called, and is made
        again when something changed, or after a minute.
        """
        rows = permit_rows(state)
        if self._is_clock_skewed:
            return [*rows, stopped_row()]
        if not self._last_seen.servers:
            return rows
        entry = state.last_permit_entry
        if self._cached_plan is None or self._cached_plan[0] != entry or now >= self._cached_plan[1] + MINUTE:
            self._cached_plan = entry, now, plan_rows(self.plan(state))
        return [*rows, *self._cached_plan[2]]

    def _expected_back(self, permit: Permit, servers: Mapping[str, Standing], at: int) -> int:
        """Return when a server that is out should be back and warm."""
        if permit.phase is Phase.RETURNING:
            return max(at + SECOND, servers[permit.server].warm_at if permit.server in servers else 0)
        return self.limits.let_in_by_all(permit.ends) + self.limits.warmup_ns

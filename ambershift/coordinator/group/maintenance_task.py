"""What a member does for maintenance, every half second or after a commit.

The leader grants and moves permits, by the permit controller. Each member declares the maintenance of its
settings, until that is committed or refused.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ambershift.coordinator.group.gossip import DRAINED, LET_IN
from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.permits import MemberReports, SteeringReport
from ambershift.coordinator.maintenance.types import Declared, Standing
from ambershift.coordinator.promises.codec import decode_outcome
from ambershift.coordinator.promises.commands import Command, Declare
from ambershift.coordinator.promises.permit_controller import PermitController
from ambershift.coordinator.replication.types import Status

SECOND = 1_000_000_000
INTERVAL_S = 0.5
MIN_INTERVAL_S = INTERVAL_S / 10  # Between two turns, as commits may come by the hundred.
# A command that isn't committed by then is judged again, by the state at that time.
SUBMIT_TIMEOUT_NS = 2 * SECOND
MAX_IN_FLIGHT = 64  # Commands that are submitted and not answered.
MAX_REASON_LENGTH = 400


class MaintenanceTask:
    """Submits the commands of maintenance, in a task of its own."""

    def __init__(
        self,
        member: Member,
        limits: Limits,
        declared: Declared | None,
        get_standings: Callable[[], Mapping[str, Standing]],
    ) -> None:
        """Prepare; `open` starts the task.

        Args:
            member: This member.
            limits: The limits that maintenance keeps.
            declared: What the settings declare; None where they say nothing.
            get_standings: Returns how each server stands, by its id.
        """
        self._member = member
        self._limits = limits
        self._declared = declared
        self._get_standings = get_standings
        self._controller = PermitController(limits)
        self._was_leader = False
        self._in_flight = set[asyncio.Task[None]]()
        self._task: asyncio.Task[None] | None = None
        self._last_refusal = ""  # Logged already.
        self._wake = asyncio.Event()
        member.commit_listeners.append(lambda state, command: self._wake.set())

    def open(self) -> None:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """End the task, and the commands in flight."""
        for task in (self._task, *self._in_flight):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                self._run_turn()
            except Exception as error:  # Permits end by themselves; an error here must not end the task.
                log_failure(self._member.note, "upkeep", error)
            await asyncio.sleep(MIN_INTERVAL_S)

    def _run_turn(self) -> None:
        member = self._member
        if member.replica is None or member.halted or member.replica.status is not Status.NORMAL:
            self._was_leader = False
            return
        if self._declared is not None and member.replica.leader is not None:
            committed = member.state.declared
            # A higher revision, declared by another member, is newer than this member's file.
            if (
                (committed.revision, committed) != (self._declared.revision, self._declared)
                and (committed.revision <= self._declared.revision)
                and not self._in_flight
            ):
                self._send(Declare(self._declared))
        if member.leads != self._was_leader:
            self._was_leader, self._controller = member.leads, PermitController(self._limits)
        if not self._was_leader or not (member.state.declared.works or member.state.permits):
            return
        commands = self._controller.next_commands(
            member.now(), member.wall(), member.state, self._get_standings(), self._member_reports()
        )
        for command in commands:
            if len(self._in_flight) < MAX_IN_FLIGHT:
                self._send(command)

    def _send(self, command: Command) -> None:
        task = asyncio.get_running_loop().create_task(self._submit(command))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _submit(self, command: Command) -> None:
        """Submit a command; one that isn't committed is judged again by a later turn."""
        reply = await self._member.submit("", command, SUBMIT_TIMEOUT_NS)
        outcome = decode_outcome(reply.answer) if reply.reason is None else None
        refusal = "" if outcome is None or outcome.done else f"{outcome.reason}: {outcome.text}"
        if refusal and refusal != self._last_refusal:
            self._member.note(
                "upkeep_refused", command=type(command).__name__.lower(), why=refusal[:MAX_REASON_LENGTH]
            )
        self._last_refusal = refusal
        if isinstance(command, Declare) and outcome is not None and not outcome.done:
            # The same file would be refused again and again; an operator must give it another revision.
            self._declared = None

    def _member_reports(self) -> MemberReports:
        """Return what all members say of the proxies they steer and of each permit."""
        gossip, now = self._member.gossip, self._member.now()
        drained, let_in = dict[str, set[str]](), dict[str, set[str]]()
        for permit in self._member.state.permits:
            reports = gossip.permit_reports(now, permit)
            drained[permit] = {name for name, progress in reports.items() if progress == DRAINED}
            let_in[permit] = {name for name, progress in reports.items() if progress == LET_IN}
        steers = {name: SteeringReport(*report) for name, report in gossip.steered_proxies(now).items()}
        spec = self._member.spec
        return MemberReports((*spec.voters, *spec.learners), steers, drained, let_in)

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows of `show maintenance`; times are whole seconds of Unix time."""
        return [
            _plain_row(msgspec.structs.asdict(row))
            for row in self._controller.rows(self._member.state, self._member.now())
        ]


def _plain_row(row: dict[str, Any]) -> dict[str, Any]:
    for name in ("granted", "ends", "nearest"):
        row[name] = row[name] // SECOND
    return {name: ",".join(value) if isinstance(value, tuple) else value for name, value in row.items()}

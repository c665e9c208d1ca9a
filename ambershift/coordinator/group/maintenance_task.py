"""Upkeep: what a member does for maintenance each second. The leader lays and moves permits, by the steward;
each member declares what its settings say, until that stands or is refused.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.permits import Heard, Steers
from ambershift.coordinator.maintenance.words import Declared, Standing
from ambershift.coordinator.promises.answers import read_answer
from ambershift.coordinator.promises.steward import Steward
from ambershift.coordinator.promises.words import Command, Declare
from ambershift.coordinator.replication.types import Status

SECOND = 1_000_000_000
EVERY, WAIT = 0.5, 2 * SECOND
# What is not committed by then is asked for again, in the state that stands then.
FLIGHT_MOST = 64


class MaintenanceTask:
    """`look` gives the servers as they stand; `declared` is None where the settings say nothing."""

    def __init__(
        self,
        member: Member,
        limits: Limits,
        declared: Declared | None,
        look: Callable[[], Mapping[str, Standing]],
    ) -> None:
        self.member, self.limits, self.declared, self.look = member, limits, declared, look
        self.steward, self.led = Steward(limits), False
        self.flying = set[asyncio.Task[None]]()
        self.task: asyncio.Task[None] | None = None
        self.told = ""
        self.asked = asyncio.Event()
        member.listeners.append(lambda state, command: self.asked.set())

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        for task in (self.task, *self.flying):
            if task is not None:
                task.cancel()

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(EVERY):
                    await self.asked.wait()
            except TimeoutError:
                pass
            self.asked.clear()
            try:
                self.turn()
            except Exception as error:  # Permits end by themselves; what is wrong here must not end the loop.
                log_failure(self.member.note, "upkeep", error)
            await asyncio.sleep(EVERY / 10)  # Commits may come by the hundred.

    def turn(self) -> None:
        member = self.member
        if member.replica is None or member.halted or member.replica.status is not Status.NORMAL:
            self.led = False
            return
        if self.declared is not None and member.replica.leader is not None:
            stands = member.state.declared
            # A higher revision that others have declared is newer than this member's file.
            if (
                (stands.revision, stands) != (self.declared.revision, self.declared)
                and (stands.revision <= self.declared.revision)
                and not self.flying
            ):
                self.send(Declare(self.declared))
        if member.leads != self.led:
            self.led, self.steward = member.leads, Steward(self.limits)
        if not self.led or not (member.state.declared.works or member.state.permits):
            return
        for command in self.steward.due(member.now(), member.wall(), member.state, self.look(), self.heard()):
            if len(self.flying) < FLIGHT_MOST:
                self.send(command)

    def send(self, command: Command) -> None:
        task = asyncio.get_running_loop().create_task(self.submit(command))
        self.flying.add(task)
        task.add_done_callback(self.flying.discard)

    async def submit(self, command: Command) -> None:
        """What does not come to stand is judged anew by what stands then."""
        reply = await self.member.submit("", command, WAIT)
        outcome = read_answer(reply.answer) if reply.reason is None else None
        text = "" if outcome is None or outcome.done else f"{outcome.reason}: {outcome.text}"
        if text and text != self.told:
            self.member.note("upkeep_refused", command=type(command).__name__.lower(), why=text[:400])
        self.told = text
        if isinstance(command, Declare) and outcome is not None and not outcome.done:
            self.declared = None  # The same file would be refused for ever; a person must give a revision.

    def heard(self) -> Heard:
        gossip, now = self.member.gossip, self.member.now()
        drained, let_in = dict[str, set[str]](), dict[str, set[str]]()
        for permit in self.member.state.permits:
            said = gossip.said(now, permit)
            drained[permit] = {name for name, word in said.items() if word == b"1"}
            let_in[permit] = {name for name, word in said.items() if word == b"2"}
        steers = {name: Steers(*one) for name, one in gossip.steers(now).items()}
        return Heard((*self.member.spec.voters, *self.member.spec.copies), steers, drained, let_in)

    def rows(self) -> list[dict[str, Any]]:
        """For `show maintenance`; times in whole seconds of Unix time."""
        return [
            plain(msgspec.structs.asdict(row))
            for row in self.steward.rows(self.member.state, self.member.now())
        ]


def plain(row: dict[str, Any]) -> dict[str, Any]:
    for name in ("granted", "ends", "nearest"):
        row[name] = row[name] // SECOND
    return {name: ",".join(value) if isinstance(value, tuple) else value for name, value in row.items()}

"""Asking: commands and reads of clients at a member, each answered once, within its own bound."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.promises.answers import encode
from ambershift.coordinator.promises.state import EMPTY, Promises
from ambershift.coordinator.promises.words import Command
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import Answer, Reason

SECOND = 1_000_000_000
# Beyond a client's own bound the replica has answered; this is against a loop that was held up.
GRACE = 1.0


class ClientCalls:
    """The part of a member that clients speak to."""

    replica: Replica | None
    halted: tuple[str, str] | None
    stopping: bool
    now: Callable[[], int]
    spec: MemberSpec

    def __init__(self) -> None:
        self.asked = dict[int, asyncio.Future[Answer]]()
        self.tickets = 0

    def perform(self, effects: list[Any]) -> None:
        raise NotImplementedError

    async def submit(self, token: str, command: Command, wait: int) -> Answer:
        """Answered within `wait` ns; a refusal by name says whether anything may stand."""
        return await self.ask(
            lambda now, ticket: self.running().submit(
                now, self.wall(), ticket, token, encode(command), now + wait
            ),
            wait,
        )

    async def read(self, wait: int) -> Answer:
        """Once answered, `state` has all that was promised when this was called."""
        return await self.ask(lambda now, ticket: self.running().read(now, ticket, now + wait), wait)

    async def ask(self, call: Callable[[int, int], list[Any]], wait: int) -> Answer:
        if self.stopping:
            return Answer(0, Reason.STOPPING, b"", 0)
        if self.replica is None or self.halted:
            return Answer(0, Reason.NO_MAJORITY, b"", SECOND)
        self.tickets += 1
        ticket, future = self.tickets, asyncio.get_running_loop().create_future()
        self.asked[ticket] = future
        self.perform(call(self.now(), ticket))
        try:
            async with asyncio.timeout(wait / SECOND + GRACE):
                return await asyncio.shield(future)
        except TimeoutError:
            return Answer(ticket, Reason.OUTCOME_UNKNOWN, b"", SECOND)
        finally:
            self.asked.pop(ticket, None)

    def answered(self, answer: Answer) -> None:
        future = self.asked.get(answer.ticket)
        if future is not None and not future.done():
            future.set_result(answer)

    def unknown_all(self) -> None:
        """The member takes no part any more: what waits may stand or not."""
        for ticket in list(self.asked):
            self.answered(Answer(ticket, Reason.OUTCOME_UNKNOWN, b"", SECOND))

    def running(self) -> Replica:
        assert self.replica is not None
        return self.replica

    def wall(self) -> int:
        return self.now() + self.spec.clock_ahead

    @property
    def state(self) -> Promises:
        """As committed, as far as this member knows."""
        found: Promises = self.replica.state if self.replica is not None else EMPTY
        return found

    @property
    def leads(self) -> bool:
        return self.replica is not None and self.halted is None and self.replica.leader == self.spec.me

"""Commands and reads of clients at a member, each answered once, within its own time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.promises.codec import encode_command
from ambershift.coordinator.promises.commands import Command
from ambershift.coordinator.promises.state import EMPTY, GroupState
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import Answer, Reason

SECOND = 1_000_000_000
# The replica answers within the client's limit; this much more covers a loop that was held up.
ANSWER_GRACE_S = 1.0


class ClientCalls:
    """The part of a member that clients call.

    Attributes:
        replica: The replica; None while the member has none.
        halted: Why the member takes no part, as a reason and words; None while it does.
        stopping: Whether the member is about to end.
        now: The monotonic clock, ns.
        spec: The member.
    """

    replica: Replica | None
    halted: tuple[str, str] | None
    stopping: bool
    now: Callable[[], int]
    spec: MemberSpec

    def __init__(self) -> None:
        """Start without calls."""
        self._pending_calls = dict[int, asyncio.Future[Answer]]()
        self._last_ticket = 0

    def perform(self, effects: list[Any]) -> None:
        """Carry out what the replica asks for."""
        raise NotImplementedError

    async def submit(self, token: str, command: Command, wait: int) -> Answer:
        """Submit a command and return the answer, within `wait` ns.

        A refusal's reason says whether the command may have been done all the same.
        """
        return await self._call(
            lambda now, ticket: self._running_replica().submit(
                now, self.wall(), ticket, token, encode_command(command), now + wait
            ),
            wait,
        )

    async def read(self, wait: int) -> Answer:
        """Wait until `state` has all that was committed before this call, `wait` ns at most."""
        return await self._call(
            lambda now, ticket: self._running_replica().read(now, ticket, now + wait), wait
        )

    async def _call(self, call: Callable[[int, int], list[Any]], wait: int) -> Answer:
        if self.stopping:
            return Answer(0, Reason.STOPPING, b"", 0)
        if self.replica is None or self.halted:
            return Answer(0, Reason.NO_MAJORITY, b"", SECOND)
        self._last_ticket += 1
        ticket, future = self._last_ticket, asyncio.get_running_loop().create_future()
        self._pending_calls[ticket] = future
        self.perform(call(self.now(), ticket))
        try:
            async with asyncio.timeout(wait / SECOND + ANSWER_GRACE_S):
                return await asyncio.shield(future)
        except TimeoutError:
            return Answer(ticket, Reason.OUTCOME_UNKNOWN, b"", SECOND)
        finally:
            self._pending_calls.pop(ticket, None)

    def deliver_answer(self, answer: Answer) -> None:
        """Complete the call that an answer belongs to, if it still waits."""
        future = self._pending_calls.get(answer.ticket)
        if future is not None and not future.done():
            future.set_result(answer)

    def fail_pending_calls(self) -> None:
        """Answer all calls that the outcome is unknown, as the member takes no part any more."""
        for ticket in list(self._pending_calls):
            self.deliver_answer(Answer(ticket, Reason.OUTCOME_UNKNOWN, b"", SECOND))

    def _running_replica(self) -> Replica:
        assert self.replica is not None
        return self.replica

    def wall(self) -> int:
        """Return this member's wall clock, Unix ns."""
        return self.now() + self.spec.clock_ahead

    @property
    def state(self) -> GroupState:
        """The committed state, as far as this member knows."""
        state: GroupState = self.replica.state if self.replica is not None else EMPTY
        return state

    @property
    def leads(self) -> bool:
        """Whether this member is the leader, as far as it knows."""
        return self.replica is not None and self.halted is None and self.replica.leader == self.spec.name

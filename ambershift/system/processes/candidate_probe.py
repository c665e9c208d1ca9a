"""Several control nodes asked beside each other for a sign; those that aren't chosen are let go."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from websockets.asyncio.connection import Connection

from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.node_selection.selector import BESIDE_S


@dataclass(frozen=True, slots=True, eq=False)
class Answered:
    """A control node that has been dialled, and its first sign."""

    ip: str
    connection: Connection
    sign: ControlNodeHeartbeat


class Asked:
    """Asks `ips` in their order, `at_once` now, one more for each that fails or takes long. `ask(ip)` gives
    what a node answered, or None. Call `close` in any case."""

    def __init__(
        self, ask: Callable[[str], Awaitable[Answered | None]], ips: Iterable[str], at_once: int
    ) -> None:
        self._ask, self._left, self._at_once = ask, list(ips), at_once
        self._under_way = set[asyncio.Future[Answered | None]]()
        self._answered: list[Answered] = []
        self._given = 0  # Of those answered, how many `next` has told.
        self._end: float | None = None  # By the loop's clock.

    async def next(self) -> Answered | None:
        """The next answer; None where there is none more, or time is up."""
        while self._given == len(self._answered):
            while self._left and len(self._under_way) < self._at_once:
                self._under_way.add(asyncio.ensure_future(self._ask(self._left.pop(0))))
            if not self._under_way or self._left_of_time() == 0:
                return None
            done, self._under_way = await asyncio.wait(
                self._under_way, timeout=self._patience(), return_when=asyncio.FIRST_COMPLETED
            )
            self._answered += [found for one in done if (found := _found(one)) is not None]
            self._at_once += not done
        self._given += 1
        return self._answered[self._given - 1]

    def give_up_after(self, seconds: float) -> None:
        """No answer is waited for beyond that."""
        self._end = asyncio.get_running_loop().time() + seconds

    def close(self, chosen: Answered | None) -> None:
        """Let all go but the one that is used."""
        for task in self._under_way:
            task.cancel()
            task.add_done_callback(let_go)
        for one in self._answered:
            if one is not chosen:
                one.connection.transport.abort()

    def _patience(self) -> float | None:
        """How long to wait for those under way before another is asked, or time is up."""
        bounds = [BESIDE_S if self._left else None, self._left_of_time()]
        return min((one for one in bounds if one is not None), default=None)

    def _left_of_time(self) -> float | None:
        """Seconds; None where no end was set."""
        return None if self._end is None else max(0.0, self._end - asyncio.get_running_loop().time())


def _found(task: asyncio.Future[Answered | None]) -> Answered | None:
    """A fault in asking one node must not end the search for another."""
    return None if task.cancelled() or task.exception() is not None else task.result()


def let_go(task: asyncio.Future[Answered | None]) -> None:
    """One that answered although another is used."""
    if (found := _found(task)) is not None:
        found.connection.transport.abort()

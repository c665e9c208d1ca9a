"""Several control nodes asked beside each other for a sign; those that aren't chosen are let go."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from websockets.asyncio.connection import Connection

from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.node_selection.selector import BESIDE_S


@dataclass(frozen=True, slots=True, eq=False)
class ProbeReply:
    """A control node that has been dialled, and its first sign."""

    ip: str
    connection: Connection
    heartbeat: ControlNodeHeartbeat


class CandidateProbe:
    """Asks `ips` in their order, `at_once` now, one more for each that fails or takes long. `ask(ip)` gives
    what a node answered, or None. Call `close` in any case."""

    def __init__(
        self, probe: Callable[[str], Awaitable[ProbeReply | None]], ips: Iterable[str], concurrency: int
    ) -> None:
        self._probe, self._remaining, self._concurrency = probe, list(ips), concurrency
        self._in_flight = set[asyncio.Future[ProbeReply | None]]()
        self._replies: list[ProbeReply] = []
        self._delivered = 0  # Of those answered, how many `next` has told.
        self._deadline: float | None = None  # By the loop's clock.

    async def next_reply(self) -> ProbeReply | None:
        """The next answer; None where there is none more, or time is up."""
        while self._delivered == len(self._replies):
            while self._remaining and len(self._in_flight) < self._concurrency:
                self._in_flight.add(asyncio.ensure_future(self._probe(self._remaining.pop(0))))
            if not self._in_flight or self._time_remaining() == 0:
                return None
            done, self._in_flight = await asyncio.wait(
                self._in_flight, timeout=self._wait_timeout(), return_when=asyncio.FIRST_COMPLETED
            )
            self._replies += [found for one in done if (found := _reply_of(one)) is not None]
            self._concurrency += not done
        self._delivered += 1
        return self._replies[self._delivered - 1]

    def limit_wait(self, seconds: float) -> None:
        """No answer is waited for beyond that."""
        self._deadline = asyncio.get_running_loop().time() + seconds

    def close(self, selected: ProbeReply | None) -> None:
        """Let all go but the one that is used."""
        for task in self._in_flight:
            task.cancel()
            task.add_done_callback(abort_unused)
        for one in self._replies:
            if one is not selected:
                one.connection.transport.abort()

    def _wait_timeout(self) -> float | None:
        """How long to wait for those under way before another is asked, or time is up."""
        bounds = [BESIDE_S if self._remaining else None, self._time_remaining()]
        return min((one for one in bounds if one is not None), default=None)

    def _time_remaining(self) -> float | None:
        """Seconds; None where no end was set."""
        return (
            None if self._deadline is None else max(0.0, self._deadline - asyncio.get_running_loop().time())
        )


def _reply_of(task: asyncio.Future[ProbeReply | None]) -> ProbeReply | None:
    """A fault in asking one node must not end the search for another."""
    return None if task.cancelled() or task.exception() is not None else task.result()


def abort_unused(task: asyncio.Future[ProbeReply | None]) -> None:
    """One that answered although another is used."""
    if (found := _reply_of(task)) is not None:
        found.connection.transport.abort()

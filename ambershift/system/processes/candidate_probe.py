"""Concurrent probes of control nodes: the first usable reply is selected, all others are closed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from websockets.asyncio.connection import Connection

from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.node_selection.selector import HEDGE_DELAY_S


@dataclass(frozen=True, slots=True, eq=False)
class ProbeReply:
    """A control node that was dialled and has sent its first heartbeat.

    Attributes:
        ip: Address of the control node.
        connection: The open connection; whoever doesn't use it aborts it.
        heartbeat: The first message on the connection.
    """

    ip: str
    connection: Connection
    heartbeat: ControlNodeHeartbeat


class CandidateProbe:
    """Probes control nodes in a given order, several at once, and yields their replies as they arrive.

    Another candidate is probed for each one that fails, or that takes longer than `HEDGE_DELAY_S`. Use it
    with `contextlib.closing`: `close` ends the probes in flight and aborts all connections but the selected
    one.
    """

    def __init__(
        self, probe: Callable[[str], Awaitable[ProbeReply | None]], ips: Iterable[str], concurrency: int
    ) -> None:
        """Prepare the probes; nothing is dialled before `next_reply`.

        Args:
            probe: Dials a control node; None if it doesn't answer or isn't usable.
            ips: The candidates, in the order to try them.
            concurrency: How many are probed at once at the start.
        """
        self.selected: ProbeReply | None = None  # `close` keeps the connection of this one.
        self._probe = probe
        self._remaining = list(ips)
        self._concurrency = concurrency
        self._in_flight = set[asyncio.Future[ProbeReply | None]]()
        self._replies: list[ProbeReply] = []
        self._delivered = 0  # How many of `_replies` `next_reply` has returned.
        self._deadline_s: float | None = None  # By the event loop's clock.

    async def next_reply(self) -> ProbeReply | None:
        """Return the next reply; None if there is no candidate left or the deadline has passed."""
        while self._delivered == len(self._replies):
            while self._remaining and len(self._in_flight) < self._concurrency:
                self._in_flight.add(asyncio.ensure_future(self._probe(self._remaining.pop(0))))
            if not self._in_flight or self._time_remaining_s() == 0:
                return None
            done, self._in_flight = await asyncio.wait(
                self._in_flight, timeout=self._wait_timeout_s(), return_when=asyncio.FIRST_COMPLETED
            )
            self._replies += [reply for task in done if (reply := _reply_of(task)) is not None]
            if not done:
                self._concurrency += 1
        self._delivered += 1
        return self._replies[self._delivered - 1]

    def limit_wait(self, seconds: float) -> None:
        """Set the deadline for further replies to `seconds` from now."""
        self._deadline_s = asyncio.get_running_loop().time() + seconds

    def close(self) -> None:
        """Cancel the probes in flight and abort all connections but the selected one."""
        for task in self._in_flight:
            cancel_probe(task)
        for reply in self._replies:
            if reply is not self.selected:
                reply.connection.transport.abort()

    def _wait_timeout_s(self) -> float | None:
        """Seconds until another candidate is probed or the deadline passes; None without either."""
        limits = [HEDGE_DELAY_S if self._remaining else None, self._time_remaining_s()]
        return min((limit for limit in limits if limit is not None), default=None)

    def _time_remaining_s(self) -> float | None:
        """Seconds until the deadline; None without one."""
        if self._deadline_s is None:
            return None
        return max(0.0, self._deadline_s - asyncio.get_running_loop().time())


def cancel_probe(task: asyncio.Future[ProbeReply | None]) -> None:
    """Cancel a probe.

    It may have completed in the same turn of the loop, before the cancellation arrives; then its connection
    is aborted, as nobody would close it otherwise.
    """
    task.cancel()
    task.add_done_callback(_abort_connection)


def _reply_of(task: asyncio.Future[ProbeReply | None]) -> ProbeReply | None:
    """The reply of a completed probe; a fault in one probe must not end the search for another node."""
    return None if task.cancelled() or task.exception() is not None else task.result()


def _abort_connection(task: asyncio.Future[ProbeReply | None]) -> None:
    if (reply := _reply_of(task)) is not None:
        reply.connection.transport.abort()

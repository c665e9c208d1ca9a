"""Makes the calls that carry orders to the relay, strictly in order and one at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.call_queue import Call, CallQueue
from ambershift.coordinator.routing.decoding import decoding
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.tap import Tap
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

DIAL_TIMEOUT_S = 0.3
WRITE_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 0.25
MAX_ANSWER_BYTES = 4096
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2
BUSY_DELAY_S = 0.1


class RelayClient:
    """Sends the queued calls to the relay and processes its answers."""

    def __init__(
        self, dialler: Dialler, address: str, encoder: codec.OrderEncoder, event_log: EventLog
    ) -> None:
        self.dialler, self.address, self.encoder, self.event_log = dialler, address, encoder, event_log
        self.queue = CallQueue()
        self.tap: Tap | None = None
        self.calls_available, self.retry_delay_s = asyncio.Event(), 0.0
        self.link: Link | None = None

    @property
    def calls(self) -> deque[Call]:
        """The queued calls, the one under way included."""
        return self.queue.calls

    def push(self, reply: Sequence[codec.RelayOrder]) -> None:
        """Queue the orders of one reply of the policy module."""
        if self.tap:
            self.tap.ordered(self.queue.reply_count + 1, reply)
        if merged := self.queue.push([self.encoder.encode(order) for order in reply]):
            self.event_log.count("calls_folded", merged)
        self.calls_available.set()

    async def run(self) -> None:
        """Make the queued calls, for ever."""
        while True:
            while self.calls:
                await self.attempt()
            self.calls_available.clear()
            await self.calls_available.wait()

    async def attempt(self) -> None:
        """Make the first call of the queue, which leaves it only once its outcome is known."""
        orders, clock = self.queue.head().orders, asyncio.get_running_loop().time
        try:
            link = await self.connect()
            started = clock()
            await link.write(codec.encode_call(orders), WRITE_TIMEOUT_S)
            line = await self.read_answer(link)
            with decoding():
                answer = codec.parse_answer(line, len(orders))
        except DisconnectedError as error:
            await self.on_failed_call(error)
            return
        self.retry_delay_s = 0.0
        outcome = self.queue.on_answer(answer)
        if outcome is None:
            self.event_log.count("calls_turned_away")
            await asyncio.sleep(BUSY_DELAY_S)
            return
        if isinstance(answer, codec.Done):
            duration_ms = round((clock() - started) * 1e3, 1)
            self.event_log.record("call", orders=len(orders), taken=answer.taken, ms=duration_ms)
        if outcome.lost_order is not None:
            self.event_log.record(outcome.reason, order=outcome.lost_order)
            if self.tap:
                self.tap.refused(outcome.lost_order)
        if outcome.settled_reply is not None and self.tap:
            self.tap.settled(outcome.settled_reply)

    async def connect(self) -> Link:
        """Return the open connection, or a new one.

        Raises:
            DisconnectedError: The relay can't be reached.
        """
        # The relay closes idle connections. After a move the call under way still ends at the old address.
        if self.link and (self.link.closed_by_peer() or self.link.address != self.address):
            self.close()
        if not self.link:
            self.link = await self.dialler.dial(self.address, DIAL_TIMEOUT_S)
            self.link.set_line_limits(MAX_ANSWER_BYTES, ANSWER_TIMEOUT_S)
        return self.link

    async def read_answer(self, link: Link) -> bytes:
        """Read the line that answers a call.

        Raises:
            DisconnectedError: It doesn't arrive in time, or several lines do.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not (lines := await link.read_lines(None)):
                    pass
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.SILENT) from None
        if len(lines) > 1:
            raise DisconnectedError(DisconnectReason.UNREADABLE, "two answers to one call")
        return lines[0]

    async def on_failed_call(self, error: DisconnectedError) -> None:
        """Wait before the retry: the call may have been carried out or not, and stays first in the queue."""
        self.close()
        self.event_log.record_disconnect("call", error, waiting=len(self.calls))
        await asyncio.sleep(self.retry_delay_s)
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, 2 * self.retry_delay_s))

    def move(self, address: str) -> None:
        """Make the next call at another address."""
        self.address, self.retry_delay_s = address, 0.0

    def close(self) -> None:
        """Close the connection."""
        if self.link:
            self.link.close()
        self.link = None

"""Relay: makes the calls that carry orders, strictly in order and one at a time, and heeds the answers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.call_queue import Call, CallQueue
from ambershift.coordinator.routing.decoding import reading
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.tap import Tap
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

DIAL_LIMIT, WRITE_LIMIT, ANSWER_LIMIT, ANSWER_MOST = 0.3, 0.5, 0.25, 4096
PAUSE_LEAST, PAUSE_MOST, BUSY_PAUSE = 0.02, 0.2, 0.1


class RelayClient:
    def __init__(
        self, dialler: Dialler, address: str, orders: codec.OrderEncoder, event_log: EventLog
    ) -> None:
        self.dialler, self.address, self.orders, self.event_log = dialler, address, orders, event_log
        self.row = CallQueue()
        self.tap: Tap | None = None
        self.wake, self.pause = asyncio.Event(), 0.0
        self.link: Link | None = None

    @property
    def calls(self) -> deque[Call]:
        return self.row.calls

    def push(self, reply: Sequence[codec.RelayOrder]) -> None:
        if self.tap:
            self.tap.ordered(self.row.reply_count + 1, reply)
        if folded := self.row.push([self.orders.encode(order) for order in reply]):
            self.event_log.count("calls_folded", folded)
        self.wake.set()

    async def run(self) -> None:
        while True:
            while self.calls:
                await self.attempt()
            self.wake.clear()
            await self.wake.wait()

    async def attempt(self) -> None:
        """Make the first call of the row; it leaves the row only once its outcome is known."""
        orders, clock = self.row.head().orders, asyncio.get_running_loop().time
        try:
            link = await self.connect()
            started = clock()
            await link.write(codec.encode_call(orders), WRITE_LIMIT)
            line = await self.answer(link)
            with reading():
                answer = codec.parse_answer(line, len(orders))
        except DisconnectedError as end:
            await self.broke(end)
            return
        self.pause = 0.0
        outcome = self.row.on_answer(answer)
        if outcome is None:
            self.event_log.count("calls_turned_away")
            await asyncio.sleep(BUSY_PAUSE)
            return
        if isinstance(answer, codec.Done):
            took = round((clock() - started) * 1e3, 1)
            self.event_log.record("call", orders=len(orders), taken=answer.taken, ms=took)
        if outcome.lost_order is not None:
            self.event_log.record(outcome.reason, order=outcome.lost_order)
            if self.tap:
                self.tap.refused(outcome.lost_order)
        if outcome.settled_reply is not None and self.tap:
            self.tap.settled(outcome.settled_reply)

    async def connect(self) -> Link:
        # The relay closes what is idle; after a move the call under way still ends where it began.
        if self.link and (self.link.closed_by_peer() or self.link.address != self.address):
            self.close()
        if not self.link:
            self.link = await self.dialler.dial(self.address, DIAL_LIMIT)
            self.link.set_line_limits(ANSWER_MOST, ANSWER_LIMIT)
        return self.link

    async def answer(self, link: Link) -> bytes:
        try:
            async with asyncio.timeout(ANSWER_LIMIT):
                while not (found := await link.read_lines(None)):
                    pass
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.SILENT) from None
        if len(found) > 1:
            raise DisconnectedError(DisconnectReason.UNREADABLE, "two answers to one call")
        return found[0]

    async def broke(self, end: DisconnectedError) -> None:
        """The call may have been carried out or not: it stays first in the row, and goes out again."""
        self.close()
        self.event_log.record_disconnect("call", end, waiting=len(self.calls))
        await asyncio.sleep(self.pause)
        self.pause = min(PAUSE_MOST, max(PAUSE_LEAST, 2 * self.pause))

    def move(self, address: str) -> None:
        self.address, self.pause = address, 0.0

    def close(self) -> None:
        if self.link:
            self.link.close()
        self.link = None

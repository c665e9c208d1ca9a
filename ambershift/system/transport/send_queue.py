"""What waits to be sent on one link: in order, bounded, written by one task."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec

WAITING_MOST = 24 << 20  # Bytes. Past this the peer doesn't read: the link begins anew.


class Outbox:
    def __init__(self, connection: Connection, count: Callable[[str, int], None] | None = None) -> None:
        """`count` is told each message written: its tag and its size."""
        self.connection, self.count = connection, count
        self.waiting = deque[tuple[str, bytes]]()
        self.size = 0
        self.filled = asyncio.Event()

    def put(self, message: msgspec.Struct) -> None:
        data = codec.encode(message)
        self.waiting.append((str(message.__struct_config__.tag), data))
        self.size += len(data)
        self.filled.set()
        if self.size > WAITING_MOST:
            self.break_off()

    def break_off(self) -> None:
        """End the connection without a farewell: it may be that nobody is there to hear one."""
        self.connection.transport.abort()

    async def run(self) -> None:
        """Write until the connection ends."""
        try:
            while True:
                await self.filled.wait()
                self.filled.clear()
                while self.waiting:
                    kind, data = self.waiting.popleft()
                    self.size -= len(data)
                    await self.connection.send(data)
                    if self.count:
                        self.count(kind, len(data))
        except ConnectionClosed:
            return

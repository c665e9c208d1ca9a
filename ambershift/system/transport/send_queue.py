"""What waits to be sent on one link: in order, bounded, written by one task."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec

MAX_PENDING_BYTES = 24 << 20  # Bytes. Past this the peer doesn't read: the link begins anew.


class SendQueue:
    def __init__(self, connection: Connection, on_written: Callable[[str, int], None] | None = None) -> None:
        """`count` is told each message written: its tag and its size."""
        self.connection, self._on_written = connection, on_written
        self._pending = deque[tuple[str, bytes]]()
        self.pending_bytes = 0
        self._has_pending = asyncio.Event()

    def put(self, message: msgspec.Struct) -> None:
        data = codec.encode(message)
        self._pending.append((str(message.__struct_config__.tag), data))
        self.pending_bytes += len(data)
        self._has_pending.set()
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.abort()

    def abort(self) -> None:
        """End the connection without a farewell: it may be that nobody is there to hear one."""
        self.connection.transport.abort()

    async def run(self) -> None:
        """Write until the connection ends."""
        try:
            while True:
                await self._has_pending.wait()
                self._has_pending.clear()
                while self._pending:
                    kind, data = self._pending.popleft()
                    self.pending_bytes -= len(data)
                    await self.connection.send(data)
                    if self._on_written:
                        self._on_written(kind, len(data))
        except ConnectionClosed:
            return

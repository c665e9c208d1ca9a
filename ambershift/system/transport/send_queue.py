"""The send queue of one link: ordered, bounded, and written by one task."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec

MAX_PENDING_BYTES = 24 << 20  # Above it the peer isn't reading: the link is aborted and dialled again.


class SendQueue:
    """Messages that wait to be written to one connection.

    Attributes:
        pending_bytes: Size of the encoded messages that wait.
    """

    def __init__(self, connection: Connection, on_written: Callable[[str, int], None] | None = None) -> None:
        """Create an empty queue; `run` has to be started to write it.

        Args:
            connection: The connection to write to.
            on_written: Called with the tag and the size in bytes of each message after it was written.
        """
        self.connection = connection
        self._on_written = on_written
        self._pending = deque[tuple[str, bytes]]()
        self.pending_bytes = 0
        self._has_pending = asyncio.Event()

    def put(self, message: msgspec.Struct) -> None:
        """Queue a message; more than `MAX_PENDING_BYTES` abort the connection."""
        data = codec.encode(message)
        self._pending.append((str(message.__struct_config__.tag), data))
        self.pending_bytes += len(data)
        self._has_pending.set()
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.abort()

    def abort(self) -> None:
        """End the connection without a closing handshake, since the peer may be unreachable."""
        self.connection.transport.abort()

    async def run(self) -> None:
        """Write what is queued until the connection ends."""
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

"""One connection, either way round: reads and writes with time limits, and one way of ending."""

from __future__ import annotations

import asyncio
import contextlib

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason, disconnected
from ambershift.coordinator.transport.framing import LineFramer

UNREAD_MOST = 128 * 1024
LINE_MOST = 1 << 20
UNFINISHED_LIMIT = 2.0


class Link:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pool: BufferPool, address: str = ""
    ) -> None:
        self.reader, self.writer, self.size, self.address = reader, writer, pool.size, address
        self.framer = LineFramer(pool, LINE_MOST)
        self.end: DisconnectedError | None = None
        self.line_within, self.line_since = UNFINISHED_LIMIT, 0.0
        writer.transport.set_write_buffer_limits(high=UNREAD_MOST)

    def set_line_limits(self, most: int, within: float) -> None:
        """How many bytes a line may have, and how many seconds may lie between its first and its last."""
        self.framer.most, self.line_within = most, within

    async def read_chunk(self, limit: float | None) -> bytes:
        """The next bytes, or b"" where the other side has disconnected in good order."""
        try:
            async with asyncio.timeout(limit):
                chunk = await self.reader.read(self.size)
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.SILENT) from None
        except (OSError, EOFError) as error:
            raise disconnected(error) from None
        if not chunk and self.end:
            raise self.end
        return chunk

    async def read_lines(self, limit: float | None) -> list[bytes]:
        """The lines that have come together: at least one, unless only a part of one has come."""
        if self.end:
            raise self.end
        clock = asyncio.get_running_loop().time
        if self.framer.partial.length:
            # Whoever begins a line and leaves it there, or lets it drip, would hold buffers that others need.
            left = max(0.0, self.line_since + self.line_within - clock())
            limit = left if limit is None else min(left, limit)
        chunk = await self.read_chunk(limit)
        if not chunk:
            raise DisconnectedError(
                DisconnectReason.CUT_SHORT if self.framer.partial.length else DisconnectReason.IDLE
            )
        found = list[bytes]()
        if not self.framer.partial.length or b"\n" in chunk:
            self.line_since = clock()
        try:
            for line in self.framer.feed(chunk):
                found.append(line)
        except DisconnectedError as end:  # What came whole before it still counts.
            self.end = end
        if self.end and not found:
            raise self.end
        return found

    async def write(self, data: bytes, limit: float) -> None:
        try:
            async with asyncio.timeout(limit):
                self.writer.write(data)
                await self.writer.drain()
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.UNREAD) from None
        except (OSError, EOFError) as error:
            raise disconnected(error) from None

    def write_nowait(self, data: bytes) -> None:
        """Write without waiting; one who never reads is cut off before much has piled up."""
        if self.writer.transport.get_write_buffer_size() > UNREAD_MOST // 2:
            raise DisconnectedError(DisconnectReason.UNREAD)
        self.writer.write(data)

    def closed_by_peer(self) -> bool:
        """Whether the other side has disconnected it already, as far as is known here."""
        return self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None

    def disconnect(self, how: DisconnectReason) -> None:
        """End it from outside: whoever reads from it is told how."""
        self.end = DisconnectedError(how)
        self.close()

    def close(self) -> None:
        self.framer.close()
        with contextlib.suppress(OSError, RuntimeError):
            if self.writer.transport.get_write_buffer_size():
                self.writer.transport.abort()  # Else closing would wait for one who does not read.
            self.writer.close()

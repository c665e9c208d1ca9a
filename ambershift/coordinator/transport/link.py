"""One connection, incoming or outgoing: reads and writes with timeouts, and one error for each way to end."""

from __future__ import annotations

import asyncio
import contextlib

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason, from_os_error
from ambershift.coordinator.transport.framing import LineFramer

MAX_UNREAD_BYTES = 128 * 1024  # Written and not yet read by the other side.
DEFAULT_MAX_LINE_BYTES = 1 << 20
DEFAULT_LINE_TIMEOUT_S = 2.0


class Link:
    """A connection; `address` is where it was dialled, empty for an accepted one."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pool: BufferPool, address: str = ""
    ) -> None:
        self.reader, self.writer, self.address = reader, writer, address
        self.read_size = pool.buffer_size
        self.framer = LineFramer(pool, DEFAULT_MAX_LINE_BYTES)
        self.error: DisconnectedError | None = None
        self.line_timeout_s, self.line_started = DEFAULT_LINE_TIMEOUT_S, 0.0
        writer.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)

    def set_line_limits(self, max_bytes: int, timeout_s: float) -> None:
        """Set the longest line, and the longest time from its first byte to its last."""
        self.framer.max_line_bytes, self.line_timeout_s = max_bytes, timeout_s

    async def read_chunk(self, timeout_s: float | None) -> bytes:
        """Return the next bytes, or b"" if the other side has closed the connection in order.

        Raises:
            DisconnectedError: Nothing arrives in time, or the connection has ended otherwise.
        """
        try:
            async with asyncio.timeout(timeout_s):
                chunk = await self.reader.read(self.read_size)
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.SILENT) from None
        except (OSError, EOFError) as error:
            raise from_os_error(error) from None
        if not chunk and self.error:
            raise self.error
        return chunk

    async def read_lines(self, timeout_s: float | None) -> list[bytes]:
        """Return the lines that arrived together; none if only a part of one has arrived.

        Raises:
            DisconnectedError: Nothing arrives in time, a line is invalid, or the connection has ended.
        """
        if self.error:
            raise self.error
        clock = asyncio.get_running_loop().time
        if self.framer.partial.length:
            # A peer that never ends a line, or sends it byte by byte, would hold buffers that others need.
            line_remaining_s = max(0.0, self.line_started + self.line_timeout_s - clock())
            timeout_s = line_remaining_s if timeout_s is None else min(line_remaining_s, timeout_s)
        chunk = await self.read_chunk(timeout_s)
        if not chunk:
            is_cut_short = bool(self.framer.partial.length)
            raise DisconnectedError(DisconnectReason.CUT_SHORT if is_cut_short else DisconnectReason.IDLE)
        lines = list[bytes]()
        if not self.framer.partial.length or b"\n" in chunk:
            self.line_started = clock()
        try:
            for line in self.framer.feed(chunk):
                lines.append(line)
        except DisconnectedError as error:  # The lines that were complete before it still count.
            self.error = error
        if self.error and not lines:
            raise self.error
        return lines

    async def write(self, data: bytes, timeout_s: float) -> None:
        """Write, and wait until the transport accepts more.

        Raises:
            DisconnectedError: The other side doesn't read, or the connection has ended.
        """
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(data)
                await self.writer.drain()
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.UNREAD) from None
        except (OSError, EOFError) as error:
            raise from_os_error(error) from None

    def write_nowait(self, data: bytes) -> None:
        """Write without waiting.

        Raises:
            DisconnectedError: Too much is unread already.
        """
        if self.writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES // 2:
            raise DisconnectedError(DisconnectReason.UNREAD)
        self.writer.write(data)

    def closed_by_peer(self) -> bool:
        """Tell whether the connection is known to have ended already."""
        return self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None

    def disconnect(self, reason: DisconnectReason) -> None:
        """Close the connection on behalf of another task; the task that reads from it gets the reason."""
        self.error = DisconnectedError(reason)
        self.close()

    def close(self) -> None:
        """Close the connection and release its buffers."""
        self.framer.close()
        with contextlib.suppress(OSError, RuntimeError):
            if self.writer.transport.get_write_buffer_size():
                self.writer.transport.abort()  # Closing would wait for a peer that doesn't read.
            self.writer.close()

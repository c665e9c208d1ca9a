"""One connection, either way round: reads and writes with time limits, and one way of ending."""

from __future__ import annotations

import asyncio
import contextlib

from ambershift.coordinator.transport.buffers import Pool
from ambershift.coordinator.transport.endings import EndedError, Ending, ended
from ambershift.coordinator.transport.lines import Framer

UNREAD_MOST = 128 * 1024
LINE_MOST = 1 << 20
UNFINISHED_LIMIT = 2.0


class Link:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pool: Pool, address: str = ""
    ) -> None:
        self.reader, self.writer, self.size, self.address = reader, writer, pool.size, address
        self.framer = Framer(pool, LINE_MOST)
        self.end: EndedError | None = None
        self.line_within, self.line_since = UNFINISHED_LIMIT, 0.0
        writer.transport.set_write_buffer_limits(high=UNREAD_MOST)

    def allow(self, most: int, within: float) -> None:
        """How many bytes a line may have, and how many seconds may lie between its first and its last."""
        self.framer.most, self.line_within = most, within

    async def chunk(self, limit: float | None) -> bytes:
        """The next bytes, or b"" where the other side has ended in good order."""
        try:
            async with asyncio.timeout(limit):
                chunk = await self.reader.read(self.size)
        except TimeoutError:
            raise EndedError(Ending.SILENT) from None
        except (OSError, EOFError) as error:
            raise ended(error) from None
        if not chunk and self.end:
            raise self.end
        return chunk

    async def lines(self, limit: float | None) -> list[bytes]:
        """The lines that have come together: at least one, unless only a part of one has come."""
        if self.end:
            raise self.end
        clock = asyncio.get_running_loop().time
        if self.framer.waiting.length:
            # Whoever begins a line and leaves it there, or lets it drip, would hold buffers that others need.
            left = max(0.0, self.line_since + self.line_within - clock())
            limit = left if limit is None else min(left, limit)
        chunk = await self.chunk(limit)
        if not chunk:
            raise EndedError(Ending.CUT_SHORT if self.framer.waiting.length else Ending.IDLE)
        found = list[bytes]()
        if not self.framer.waiting.length or b"\n" in chunk:
            self.line_since = clock()
        try:
            for line in self.framer.feed(chunk):
                found.append(line)
        except EndedError as end:  # What came whole before it still counts.
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
            raise EndedError(Ending.UNREAD) from None
        except (OSError, EOFError) as error:
            raise ended(error) from None

    def say(self, data: bytes) -> None:
        """Write without waiting; one who never reads is cut off before much has piled up."""
        if self.writer.transport.get_write_buffer_size() > UNREAD_MOST // 2:
            raise EndedError(Ending.UNREAD)
        self.writer.write(data)

    def gone(self) -> bool:
        """Whether the other side has ended it already, as far as is known here."""
        return self.reader.at_eof() or self.writer.is_closing() or self.reader.exception() is not None

    def leave(self, how: Ending) -> None:
        """End it from outside: whoever reads from it is told how."""
        self.end = EndedError(how)
        self.close()

    def close(self) -> None:
        self.framer.close()
        with contextlib.suppress(OSError, RuntimeError):
            if self.writer.transport.get_write_buffer_size():
                self.writer.transport.abort()  # Else closing would wait for one who does not read.
            self.writer.close()

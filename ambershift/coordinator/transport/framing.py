"""Splits received bytes into lines, however they are fragmented."""

from __future__ import annotations

from collections.abc import Iterator

from ambershift.coordinator.transport.buffers import BufferPool, PartialMessage
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


class LineFramer:
    """Collects the lines of one connection, each of at most `max_line_bytes`."""

    def __init__(self, pool: BufferPool, max_line_bytes: int) -> None:
        self.partial, self.max_line_bytes = PartialMessage(pool), max_line_bytes

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each line that is complete now; the lines before one that is too long still count.

        Raises:
            DisconnectedError: A line is too long, or no buffer is left for an incomplete one.
        """
        view, start = memoryview(chunk), 0
        while (end := chunk.find(b"\n", start)) >= 0:
            self.check_length(end - start)
            line = self.partial.take() + chunk[start:end] if self.partial.length else chunk[start:end]
            yield line.removesuffix(b"\r")
            start = end + 1
        self.check_length(len(chunk) - start)
        self.partial.append(view[start:])

    def check_length(self, added: int) -> None:
        """Check the length of the incomplete line with the bytes to add.

        Raises:
            DisconnectedError: It is too long.
        """
        if self.partial.length + added > self.max_line_bytes:
            raise DisconnectedError(DisconnectReason.TOO_LONG, f"over {self.max_line_bytes} bytes")

    def close(self) -> None:
        """Release the buffers of an incomplete line."""
        self.partial.take()

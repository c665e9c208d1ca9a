"""Finds the lines in what arrives, however it is cut up."""

from __future__ import annotations

from collections.abc import Iterator

from ambershift.coordinator.transport.buffers import BufferPool, PartialMessage
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


class LineFramer:
    def __init__(self, pool: BufferPool, most: int) -> None:
        self.partial, self.most = PartialMessage(pool), most

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each line that is whole by now; the lines ahead of one that is too long still count."""
        view, start = memoryview(chunk), 0
        while (end := chunk.find(b"\n", start)) >= 0:
            self.check(end - start)
            line = self.partial.end() + chunk[start:end] if self.partial.length else chunk[start:end]
            yield line.removesuffix(b"\r")
            start = end + 1
        self.check(len(chunk) - start)
        self.partial.add(view[start:])

    def check(self, more: int) -> None:
        if self.partial.length + more > self.most:
            raise DisconnectedError(DisconnectReason.TOO_LONG, f"over {self.most} bytes")

    def close(self) -> None:
        self.partial.end()

"""Finds the lines in what arrives, however it is cut up."""

from __future__ import annotations

from collections.abc import Iterator

from ambershift.coordinator.transport.buffers import Pool, Waiting
from ambershift.coordinator.transport.endings import EndedError, Ending


class Framer:
    def __init__(self, pool: Pool, most: int) -> None:
        self.waiting, self.most = Waiting(pool), most

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each line that is whole by now; the lines ahead of one that is too long still count."""
        view, start = memoryview(chunk), 0
        while (end := chunk.find(b"\n", start)) >= 0:
            self.check(end - start)
            line = self.waiting.end() + chunk[start:end] if self.waiting.length else chunk[start:end]
            yield line.removesuffix(b"\r")
            start = end + 1
        self.check(len(chunk) - start)
        self.waiting.add(view[start:])

    def check(self, more: int) -> None:
        if self.waiting.length + more > self.most:
            raise EndedError(Ending.TOO_LONG, f"over {self.most} bytes")

    def close(self) -> None:
        self.waiting.end()

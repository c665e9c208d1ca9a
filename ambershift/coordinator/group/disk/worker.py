"""Worker: the thread that the disk's calls wait on; writes that queue up meanwhile share one sync."""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from ambershift.coordinator.group.disk.folder import DiskError, Folder
from ambershift.coordinator.replication.types import Write

# Beyond it the disk hangs: a replica bounds what waits for promises far below.
QUEUE_MOST = 4096
# So many writes share a sync at most: what one failed sync leaves unknown stays small.
MAX_BATCH_WRITES = 512


class Listener(Protocol):
    """Both are called on the loop, `synced` in the order of tickets and never after `failed`."""

    def synced(self, ticket: int) -> None: ...

    def failed(self, reason: str) -> None:
        """Once, event `disk_failed`: the disk vouches for nothing beyond the last ticket told."""


class DiskWorker:
    """From `start` on the folder belongs to the thread."""

    def __init__(
        self,
        folder: Folder,
        listener: Listener,
        loop: asyncio.AbstractEventLoop,
        queue_most: int = QUEUE_MOST,
    ) -> None:
        self.folder, self.listener, self.loop, self.queue_most = folder, listener, loop, queue_most
        self.queue, self.wake = deque[Write](), threading.Condition()
        self.ending, self.over = False, False
        self.syncs = self.writes = 0
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def write(self, write: Write) -> None:
        """On the loop; waits for nothing. A full queue fails the disk: no write may be left out."""
        with self.wake:
            if self.over:
                return
            full = len(self.queue) >= self.queue_most
            if full:
                self.over = True
                self.queue.clear()
            else:
                self.queue.append(write)
            self.wake.notify()
        if full:
            self.listener.failed(f"it is too slow: {self.queue_most} writes wait")

    def close(self, patience_s: float = 5.0) -> bool:
        """What is queued is still synced, and told if the loop runs on; False where the disk hangs."""
        with self.wake:
            self.ending = True
            self.wake.notify()
        if self.thread.is_alive():
            self.thread.join(patience_s)
        return not self.thread.is_alive()

    def run(self) -> None:
        try:
            while batch := self.take():
                try:
                    self.folder.append(batch)
                except Exception as error:  # A thread that ends unheard would leave the replica waiting.
                    self.fail(str(error) if isinstance(error, DiskError) else repr(error)[:200])
                    return
                self.syncs, self.writes = self.syncs + 1, self.writes + len(batch)
                self.tell(self.synced, batch[-1].ticket)
        finally:
            self.folder.close()

    def take(self) -> list[Write]:
        with self.wake:
            while not self.queue and not self.ending and not self.over:
                self.wake.wait()
            return [self.queue.popleft() for _ in range(min(MAX_BATCH_WRITES, len(self.queue)))]

    def synced(self, ticket: int) -> None:
        if not self.over:
            self.listener.synced(ticket)

    def fail(self, reason: str) -> None:
        with self.wake:
            over, self.over = self.over, True
            self.queue.clear()
        if not over:
            self.tell(self.listener.failed, reason)

    def tell(self, call: Callable[..., None], *given: object) -> None:
        with suppress(RuntimeError):  # The loop has ended: nobody is left to be told.
            self.loop.call_soon_threadsafe(call, *given)

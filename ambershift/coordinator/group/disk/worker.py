"""The thread that waits for the disk; writes that are queued meanwhile share one sync (group commit)."""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from ambershift.coordinator.group.disk.folder import DiskError, Folder
from ambershift.coordinator.replication.types import Write

# With more the disk counts as hanging: a replica bounds its pending commands far below this.
MAX_QUEUED_WRITES = 4096
# So many writes share a sync at most, to bound how many one failed sync leaves unknown.
MAX_BATCH_WRITES = 512
CLOSE_TIMEOUT_S = 5.0


class DiskListener(Protocol):
    """Told of writes, on the event loop."""

    def synced(self, ticket: int) -> None:
        """All writes up to this ticket are durable. Called in the order of tickets, never after `failed`."""

    def failed(self, reason: str) -> None:
        """The disk failed, event `disk_failed`: only writes up to the last synced ticket are known durable.

        It is called once.
        """


class DiskWorker:
    """Appends writes to a folder, on its own thread. From `start` on the folder belongs to that thread.

    Attributes:
        syncs: How many batches were synced.
        writes: How many writes they held.
    """

    def __init__(
        self,
        folder: Folder,
        listener: DiskListener,
        loop: asyncio.AbstractEventLoop,
        max_queued_writes: int = MAX_QUEUED_WRITES,
    ) -> None:
        """Prepare; `start` starts the thread.

        Args:
            folder: The folder, already open.
            listener: Told of writes that are durable, and of a failure.
            loop: The event loop that the listener is called on.
            max_queued_writes: With more writes queued the disk counts as failed.
        """
        self._folder = folder
        self._listener = listener
        self._loop = loop
        self._max_queued_writes = max_queued_writes
        self._queue = deque[Write]()
        self._condition = threading.Condition()
        self._closing = False
        self._failed = False
        self.syncs = self.writes = 0
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def write(self, write: Write) -> None:
        """Queue a write, from the event loop. A full queue fails the disk, as no write may be left out."""
        with self._condition:
            if self._failed:
                return
            is_full = len(self._queue) >= self._max_queued_writes
            if is_full:
                self._failed = True
                self._queue.clear()
            else:
                self._queue.append(write)
            self._condition.notify()
        if is_full:
            self._listener.failed(f"it is too slow: {self._max_queued_writes} writes wait")

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> bool:
        """Sync what is queued, and end the thread; False where it hangs beyond the timeout.

        What is synced meanwhile is reported only if the event loop goes on.
        """
        with self._condition:
            self._closing = True
            self._condition.notify()
        if self._thread.is_alive():
            self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        try:
            while batch := self._next_batch():
                try:
                    self._folder.append(batch)
                except Exception as error:  # If the thread ended silently, the replica would wait for ever.
                    self._fail(str(error) if isinstance(error, DiskError) else repr(error)[:200])
                    return
                self.syncs, self.writes = self.syncs + 1, self.writes + len(batch)
                self._call_on_loop(self._report_synced, batch[-1].ticket)
        finally:
            self._folder.close()

    def _next_batch(self) -> list[Write]:
        """Wait for writes; return an empty list once there is nothing left to do."""
        with self._condition:
            while not self._queue and not self._closing and not self._failed:
                self._condition.wait()
            return [self._queue.popleft() for _ in range(min(MAX_BATCH_WRITES, len(self._queue)))]

    def _report_synced(self, ticket: int) -> None:
        if not self._failed:
            self._listener.synced(ticket)

    def _fail(self, reason: str) -> None:
        with self._condition:
            already_failed, self._failed = self._failed, True
            self._queue.clear()
        if not already_failed:
            self._call_on_loop(self._listener.failed, reason)

    def _call_on_loop(self, call: Callable[..., None], *args: object) -> None:
        with suppress(RuntimeError):  # The loop has ended: there is nobody to tell.
            self._loop.call_soon_threadsafe(call, *args)

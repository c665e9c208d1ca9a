"""A cache file next to the database, for state that may be lost: replaced as a whole by a thread of its own.

Nothing that is acknowledged depends on it, and nobody waits for it. It has another file and another thread
than the database, so that neither its faults nor its slowness reach what is acknowledged.
"""

from __future__ import annotations

import contextlib
import os
import queue
import threading
from collections.abc import Callable
from pathlib import Path

from ambershift.system.consensus.disk import sync_folder

TEMPORARY_SUFFIX = ".new"
MAX_SIZE_BYTES = 64 << 20  # A larger file was not written by this program.


class CacheFile:
    """One file, read at the start and rewritten now and then.

    Attributes:
        failed: Whether the last write failed.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Take the file's folder and name. The thread starts with the first write."""
        self._folder = Path(folder)
        self._path = self._folder / name
        self._temporary_path = self._folder / (name + TEMPORARY_SUFFIX)
        self._queue: queue.SimpleQueue[Callable[[], bytes] | None] = queue.SimpleQueue()
        self._is_writing = False
        self._thread: threading.Thread | None = None
        self.failed = False

    def read(self) -> bytes | None:
        """Return the content; None if there is no file, or it can't be read."""
        with contextlib.suppress(OSError):
            if self._path.stat().st_size <= MAX_SIZE_BYTES:
                return self._path.read_bytes()
        return None

    def write(self, encode: Callable[[], bytes]) -> bool:
        """Replace the content by what `encode` returns; it is called in the thread.

        Returns:
            False if another write is in progress: nothing is done then.
        """
        if self._is_writing:
            return False
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="side", daemon=True)
            self._thread.start()
        self._is_writing = True
        self.failed = False
        self._queue.put(encode)
        return True

    @property
    def is_writing(self) -> bool:
        """Whether a write is in progress."""
        return self._is_writing

    def close(self) -> None:
        """End the thread, without waiting: a write in progress may be lost."""
        self._queue.put(None)

    def _run(self) -> None:
        while (encode := self._queue.get()) is not None:
            self.failed = not self._replace(encode())
            self._is_writing = False

    def _replace(self, data: bytes) -> bool:
        try:
            with self._temporary_path.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            # Only a file that is complete on disk replaces the old one.
            self._temporary_path.replace(self._path)
            sync_folder(self._folder)
        except OSError:
            with contextlib.suppress(OSError):
                self._temporary_path.unlink()  # The last space of a full disk is for what is acknowledged.
            return False
        return True

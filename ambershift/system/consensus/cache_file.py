"""A file beside the store's for what may be lost: replaced as a whole by a thread of its own.

Nothing is acknowledged on it and nobody waits for it. It is another file and another thread than the store's,
so that neither its faults nor its slowness reach what is acknowledged.
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
MAX_SIZE_BYTES = 64 << 20  # A larger one is none of ours.


class CacheFile:
    def __init__(self, folder: str, name: str) -> None:
        self._folder, self._file = Path(folder), Path(folder) / name
        self._temporary = Path(folder) / (name + TEMPORARY_SUFFIX)
        self._queue: queue.SimpleQueue[Callable[[], bytes] | None] = queue.SimpleQueue()
        self._is_writing = False
        self._thread: threading.Thread | None = None
        self.failed = False  # Whether the last write did not come to its end.

    def read(self) -> bytes | None:
        """What it holds; None where there is none, or it can't be read."""
        try:
            if self._file.stat().st_size <= MAX_SIZE_BYTES:
                return self._file.read_bytes()
        except OSError:
            pass
        return None

    def write(self, encode: Callable[[], bytes]) -> bool:
        """Replace it by what `make` returns, called in the thread. False while a write is out."""
        if self._is_writing:
            return False
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="side", daemon=True)
            self._thread.start()
        self._is_writing, self.failed = True, False
        self._queue.put(encode)
        return True

    @property
    def is_writing(self) -> bool:
        return self._is_writing

    def close(self) -> None:
        """What is under way may be lost."""
        self._queue.put(None)

    def _run(self) -> None:
        while (make := self._queue.get()) is not None:
            self.failed = not self._replace(make())
            self._is_writing = False

    def _replace(self, data: bytes) -> bool:
        try:
            with open(self._temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            # Only what is whole on disk takes the old one's place.
            self._temporary.replace(self._file)
            sync_folder(self._folder)
            return True
        except OSError:
            with contextlib.suppress(OSError):
                self._temporary.unlink()  # A full disk's last room is for what is acknowledged.
            return False

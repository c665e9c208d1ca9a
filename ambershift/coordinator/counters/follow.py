"""Follows what perf writes: a file that grows, is cut or replaced, or a FIFO whose writer comes and goes."""

from __future__ import annotations

import os
import stat
from collections.abc import Callable

READ_MOST = 1 << 16  # In one look; what is left waits for the next.


class Follower:
    """One path. What goes wrong is told once by name, and again when it is over."""

    def __init__(self, path: str, note: Callable[..., None]) -> None:
        self.path, self.note, self.trouble = path, note, ""
        self.fd, self.place, self.identity = -1, 0, (0, 0)
        self.heard_at = 0

    def read(self, now: int, silent_ns: int) -> bytes:
        """What came since; `silent_ns` without anything is called lost."""
        try:
            if self.fd < 0:
                self._open()
            data = os.read(self.fd, READ_MOST)
            if not data and stat.S_ISREG(os.fstat(self.fd).st_mode) and self._moved():
                self.close()
                self._open()
                data = os.read(self.fd, READ_MOST)
        except BlockingIOError:
            data = b""
        except OSError as error:
            self.close()
            self._tell("missing" if isinstance(error, FileNotFoundError) else "unreadable")
            return b""
        self.place += len(data)
        self.heard_at = now if data or not self.heard_at else self.heard_at
        self._tell("silent" if now - self.heard_at > silent_ns else "")
        return data

    def _open(self) -> None:
        # Not held up by a FIFO that nobody writes yet.
        self.fd = os.open(self.path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        seen = os.fstat(self.fd)
        if not (stat.S_ISREG(seen.st_mode) or stat.S_ISFIFO(seen.st_mode)):
            raise OSError("neither a file nor a FIFO")
        first = self.identity == (0, 0)
        self.identity, self.place = (seen.st_dev, seen.st_ino), 0
        if first and stat.S_ISREG(seen.st_mode):
            # What lies there was counted nobody knows when; only what comes from now on has a time.
            self.place = os.lseek(self.fd, 0, os.SEEK_END)

    def _moved(self) -> bool:
        """Whether the file was cut short, or another stands under its name."""
        try:
            there = os.stat(self.path)
        except FileNotFoundError:
            return False  # Its writer may still hold it; `silent` will tell.
        return (there.st_dev, there.st_ino) != self.identity or there.st_size < self.place

    def _tell(self, trouble: str) -> None:
        if trouble != self.trouble:
            self.note(
                "source_back" if not trouble else "source_lost",
                file=self.path,
                reason=trouble or self.trouble,
            )
            self.trouble = trouble

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

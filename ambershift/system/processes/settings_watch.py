"""Notices that the settings file has changed: the platform may change it without a signal."""

from __future__ import annotations

import os

LOOK_S = 2.0


class Watched:
    """A file as it was when last looked at."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.seen = self._state()

    def changed(self) -> bool:
        """Whether it is another than at the last look; one that is away counts as unchanged."""
        before, now = self.seen, self._state()
        self.seen = now or before
        return now is not None and now != before

    def _state(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.file)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

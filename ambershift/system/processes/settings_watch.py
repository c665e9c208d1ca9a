"""Notices that the settings file has changed: the platform may change it without a signal."""

from __future__ import annotations

import os

POLL_INTERVAL_S = 2.0


class SettingsFileWatch:
    """A file as it was when last looked at."""

    def __init__(self, file: str) -> None:
        self.file = file
        self._last_state = self._read_state()

    def has_changed(self) -> bool:
        """Whether it is another than at the last look; one that is away counts as unchanged."""
        before, now = self._last_state, self._read_state()
        self._last_state = now or before
        return now is not None and now != before

    def _read_state(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.file)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

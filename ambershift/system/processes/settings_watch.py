"""Notices that the settings file has changed: the platform may change it without a signal."""

from __future__ import annotations

import os
from dataclasses import dataclass

POLL_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class FileState:
    """What tells one content of a file from another without reading it."""

    modified_ns: int
    size_bytes: int
    inode: int


class SettingsFileWatch:
    """Compares a file with what it was at the last look."""

    def __init__(self, file: str) -> None:
        """Take the file's present state as the first look."""
        self.file = file
        self._last_state = self._read_state()

    def has_changed(self) -> bool:
        """Whether the file differs from the last look; a file that is missing counts as unchanged."""
        previous = self._last_state
        current = self._read_state()
        self._last_state = current or previous
        return current is not None and current != previous

    def _read_state(self) -> FileState | None:
        try:
            status = os.stat(self.file)
        except OSError:
            return None
        return FileState(status.st_mtime_ns, status.st_size, status.st_ino)

"""For how long this process has known each group's revisions, to tell which events may be pruned."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class _FirstSeen(NamedTuple):
    revision: int
    seen_at_ns: int


class RevisionAges:
    """When this process first learned of each group's revisions.

    A process that restarts counts from then on, so that an event is retained too long rather than too short.
    """

    def __init__(self, retention_ns: int) -> None:
        """Create one without revisions.

        Args:
            retention_ns: For how long an event must be retained after this process learned of it.
        """
        self._retention_ns = retention_ns
        self._first_seen: dict[str, deque[_FirstSeen]] = {}

    def record(self, group: str, revision: int, now: int) -> None:
        """The group has reached this revision for certain: it isn't just proposed. `now` in ns."""
        first_seen = self._first_seen.setdefault(group, deque())
        if not first_seen or revision > first_seen[-1].revision:
            first_seen.append(_FirstSeen(revision, now))

    def prunable_revision(self, group: str, now: int) -> int:
        """The highest revision that is older than the retention time; 0 if none. `now` in ns."""
        first_seen = self._first_seen.get(group)
        prunable = 0
        while first_seen and now - first_seen[0].seen_at_ns >= self._retention_ns:
            prunable = first_seen[0].revision
            if len(first_seen) == 1:
                break  # Removed, the same revision would be recorded again, with a later time.
            first_seen.popleft()
        return prunable

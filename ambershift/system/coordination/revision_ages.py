"""How long ago this process first knew of a group's revisions, to tell which events may be forgotten."""

from __future__ import annotations

from collections import deque


class RevisionAges:
    """`keep` is how long (ns) an event must stay after this process first knew of it.

    A process that starts anew counts from then on, so that an event is kept too long rather than too short.
    """

    def __init__(self, keep: int) -> None:
        self._keep = keep
        self._marks: dict[str, deque[tuple[int, int]]] = {}

    def record(self, group: str, revision: int, now: int) -> None:
        """The group is known to have reached this revision (for certain, not just proposed)."""
        marks = self._marks.setdefault(group, deque())
        if not marks or revision > marks[-1][0]:
            marks.append((revision, now))

    def prunable_revision(self, group: str, now: int) -> int:
        """The highest revision that was known long enough ago; 0 if none."""
        marks = self._marks.get(group)
        found = 0
        while marks and now - marks[0][1] >= self._keep:
            found = marks[0][0]
            if len(marks) == 1:
                break  # Else the same revision would be noted anew.
            marks.popleft()
        return found

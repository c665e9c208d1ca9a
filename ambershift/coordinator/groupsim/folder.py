"""A simulated folder: writes that are synced, those that are on the way, and what they come to."""

from __future__ import annotations

from ambershift.coordinator.replication.types import Entry, PersistedState, Snapshot, Write


class ContradictionError(Exception):
    """A write that does not follow from those before it."""


class Folder:
    """`synced` is a list of writes that only grows; an old copy of the folder is a shorter one."""

    def __init__(self) -> None:
        self.synced = list[Write]()
        self.waiting = list[Write]()

    def sync(self, ticket: int) -> None:
        """All writes up to the ticket's are on the disk."""
        while self.waiting and self.waiting[0].ticket <= ticket:
            self.synced.append(self.waiting.pop(0))

    def crash(self, kept: int) -> None:
        """Of the writes that nobody was told of as synced the first `kept` got there all the same."""
        self.synced += self.waiting[:kept]
        self.waiting = []

    def saved(self) -> PersistedState | None:
        """What is vouched for; ContradictionError where the numbers of entries have a gap or come twice."""
        if not self.synced:
            return None
        snapshot: Snapshot | None = None
        entries = list[Entry]()
        for write in self.synced:
            if write.truncate_from:
                entries = [one for one in entries if one.number < write.truncate_from]
            if write.snapshot is not None:
                snapshot = write.snapshot
                entries = [one for one in entries if one.number > snapshot.number]
            for one in write.entries:
                last = entries[-1].number if entries else snapshot.number if snapshot else 0
                if one.number != last + 1:
                    raise ContradictionError(f"entry {one.number} is written behind {last}")
                entries.append(one)
        last_write = self.synced[-1]
        return PersistedState(
            last_write.group,
            last_write.incarnation,
            last_write.view,
            last_write.last_entry_view,
            last_write.committed,
            snapshot,
            tuple(entries),
        )

    def newest(self) -> int:
        """The highest number of an entry that was ever vouched for here."""
        return max(
            (
                max(
                    [entry.number for entry in write.entries[-1:]]
                    + ([write.snapshot.number] if write.snapshot else []),
                    default=0,
                )
                for write in self.synced
            ),
            default=0,
        )

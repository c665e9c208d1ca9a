"""The log in memory: the entries after a base that a snapshot stands for."""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.coordinator.replication.types import Entry

ENTRY_OVERHEAD_BYTES = 40  # Of an entry without its token and command, about.


class Log:
    """Numbers run without a gap from `base` + 1 to `last_number`. Views of entries never decrease."""

    __slots__ = ("base", "base_view", "entries", "size")

    def __init__(self, base: int = 0, base_view: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.base, self.base_view = base, base_view
        self.entries = list(entries)
        self.size = sum(entry_size(entry) for entry in self.entries)

    @property
    def last_number(self) -> int:
        """The number of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_view(self) -> int:
        """The view in which the last entry was written."""
        return self.entries[-1].view if self.entries else self.base_view

    def entry(self, number: int) -> Entry:
        """The entry of a number after the base."""
        assert number > self.base
        return self.entries[number - self.base - 1]

    def view_at(self, number: int) -> int:
        """The view in which an entry was written; -1 where the log does not tell."""
        if number == self.base:
            return self.base_view
        return self.entries[number - self.base - 1].view if self.base < number <= self.last_number else -1

    def entries_after(self, number: int, max_bytes: int) -> tuple[Entry, ...]:
        """The entries after a number, up to so many bytes but at least one if there is any."""
        found = list[Entry]()
        remaining = max_bytes
        for index in range(number - self.base, len(self.entries)):
            remaining -= entry_size(self.entries[index])
            if remaining < 0 and found:
                break
            found.append(self.entries[index])
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        assert entry.number == self.last_number + 1, (entry.number, self.last_number)
        assert entry.view >= self.last_view, (entry.number, self.last_number)
        self.entries.append(entry)
        self.size += entry_size(entry)

    def truncate_from(self, number: int) -> None:
        """Remove the entries from this number on."""
        assert number > self.base
        removed = self.entries[number - self.base - 1 :]
        self.size -= sum(entry_size(entry) for entry in removed)
        del self.entries[number - self.base - 1 :]

    def compact(self, number: int) -> None:
        """Remove the entries up to this number, which becomes the base."""
        if number <= self.base:
            return
        count = number - self.base
        self.base_view = self.entries[count - 1].view
        self.size -= sum(entry_size(entry) for entry in self.entries[:count])
        del self.entries[:count]
        self.base = number

    def reset_to(self, number: int, view: int) -> None:
        """Start after a snapshot. Later entries stay where the log has the snapshot's last entry."""
        if self.view_at(number) == view:
            self.compact(number)
        else:
            self.base, self.base_view, self.entries, self.size = number, view, [], 0


def entry_size(entry: Entry) -> int:
    """The size of an entry in bytes, about."""
    return ENTRY_OVERHEAD_BYTES + len(entry.command) + len(entry.token)

"""The log in memory: the entries after a base that a snapshot stands for."""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.coordinator.replication.types import Entry


class Log:
    """Numbers run without a gap from `base` + 1 to `top`. Views in it never go down."""

    __slots__ = ("base", "base_view", "entries", "size")

    def __init__(self, base: int = 0, base_view: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.base, self.base_view = base, base_view
        self.entries = list(entries)
        self.size = sum(weight(entry) for entry in self.entries)

    @property
    def top(self) -> int:
        return self.base + len(self.entries)

    @property
    def last(self) -> int:
        """The view in which the last entry was written."""
        return self.entries[-1].view if self.entries else self.base_view

    def at(self, number: int) -> Entry:
        assert number > self.base
        return self.entries[number - self.base - 1]

    def view_at(self, number: int) -> int:
        """-1 where it can't be told."""
        if number == self.base:
            return self.base_view
        return self.entries[number - self.base - 1].view if self.base < number <= self.top else -1

    def after(self, number: int, most: int) -> tuple[Entry, ...]:
        """What follows, up to so many bytes but at least one entry if there is any."""
        found = list[Entry]()
        for index in range(number - self.base, len(self.entries)):
            most -= weight(self.entries[index])
            if most < 0 and found:
                break
            found.append(self.entries[index])
        return tuple(found)

    def put(self, entry: Entry) -> None:
        assert entry.number == self.top + 1, (entry.number, self.top)
        assert entry.view >= self.last, (entry.number, self.top)
        self.entries.append(entry)
        self.size += weight(entry)

    def cut(self, number: int) -> None:
        """Void from this number on."""
        assert number > self.base
        gone = self.entries[number - self.base - 1 :]
        self.size -= sum(weight(entry) for entry in gone)
        del self.entries[number - self.base - 1 :]

    def compact(self, number: int) -> None:
        """Forget up to this number."""
        if number <= self.base:
            return
        count = number - self.base
        self.base_view = self.entries[count - 1].view
        self.size -= sum(weight(entry) for entry in self.entries[:count])
        del self.entries[:count]
        self.base = number

    def restart(self, number: int, view: int) -> None:
        """A snapshot takes its place: what follows it stays where it follows from the same entry."""
        if self.view_at(number) == view:
            self.compact(number)
        else:
            self.base, self.base_view, self.entries, self.size = number, view, [], 0


def weight(entry: Entry) -> int:
    """Bytes, about."""
    return 40 + len(entry.command) + len(entry.token)

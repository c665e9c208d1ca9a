"""The door of ids: whatever a front calls its servers, an instance knows them by small indices."""

from __future__ import annotations

from typing import Generic, TypeVar

Id = TypeVar("Id", int, str)


class IdIndex(Generic[Id]):
    """Maps a front's ids to small indices, in the order in which they were first listed, and back.

    No index is used twice, so that what is late in coming can't be taken for another's.
    """

    def __init__(self) -> None:
        self.indices: dict[Id, int] = {}
        self.ids: dict[int, Id] = {}
        self.next = 0

    def index(self, one: Id) -> int:
        """Return the index of an id, a new one if it has none yet."""
        if one not in self.indices:
            self.indices[one] = self.next
            self.ids[self.next] = one
            self.next += 1
        return self.indices[one]

    def lookup(self, one: Id) -> int | None:
        """Return the index of an id, None if it has none."""
        return self.indices.get(one)

    def forget(self, index: int) -> None:
        """Drop an index and its id; the index is never used again."""
        if index in self.ids:
            del self.indices[self.ids.pop(index)]

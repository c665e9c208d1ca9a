"""Small indices for ids: whatever a front calls its servers, an instance knows them by these numbers."""

from __future__ import annotations

from typing import Generic, TypeVar

Id = TypeVar("Id", int, str)


class IdIndex(Generic[Id]):
    """Maps a front's ids to small indices, in the order in which they were first listed, and back.

    No index is used twice: a late event of one server can't be taken for another's.
    """

    def __init__(self) -> None:
        self.indices: dict[Id, int] = {}
        self.ids: dict[int, Id] = {}
        self.next_index = 0

    def index(self, id: Id) -> int:
        """Return the index of an id, a new one if it has none yet."""
        if id not in self.indices:
            self.indices[id] = self.next_index
            self.ids[self.next_index] = id
            self.next_index += 1
        return self.indices[id]

    def lookup(self, id: Id) -> int | None:
        """Return the index of an id, None if it has none."""
        return self.indices.get(id)

    def forget(self, index: int) -> None:
        """Drop an index and its id; the index is never used again."""
        if index in self.ids:
            del self.indices[self.ids.pop(index)]

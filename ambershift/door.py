"""The door of ids: whatever a front calls its servers, an instance knows them by small indices."""

from __future__ import annotations

from typing import Generic, TypeVar

Id = TypeVar("Id", int, str)


class Door(Generic[Id]):
    """Maps a front's ids to small indices, in the order in which they were first listed, and back."""

    def __init__(self) -> None:
        self.indices: dict[Id, int] = {}
        self.ids: list[Id] = []

    def index(self, one: Id) -> int:
        if one not in self.indices:
            self.indices[one] = len(self.ids)
            self.ids.append(one)
        return self.indices[one]

    def known(self, one: Id) -> int | None:
        return self.indices.get(one)

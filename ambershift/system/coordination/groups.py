"""A group of cells: small keys that share one count of revisions and remember their last puts."""

from __future__ import annotations

from typing import Any

import msgspec

EVENTS_LEAST = 64
EVENTS_MOST = 2_000

Event = tuple[str, Any, int]  # Key, value, revision.


class Group(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """`cells` has each key's value and revision; `events` are all puts above `pruned`, in order."""

    revision: int
    pruned: int
    cells: dict[str, tuple[Any, int]]
    events: tuple[Event, ...]

    def known(self, key: str, value: Any) -> int | None:
        """The first revision of this value under this key."""
        for name, put, revision in reversed(self.events):
            if name == key and put == value:
                return revision
        found = self.cells.get(key)
        return found[1] if found is not None and found[0] == value else None

    def above(self, revision: int) -> tuple[Event, ...]:
        """The events above a revision that is not below `pruned`."""
        return self.events[max(0, len(self.events) - (self.revision - revision)) :]

    def put(self, key: str, value: Any, prune: int) -> Group:
        """The group after a put; events up to `prune` are forgotten, but the last ones stay."""
        revision = self.revision + 1
        events = (*self.events, (key, value, revision))
        pruned = max(self.pruned, min(prune, revision - EVENTS_LEAST), revision - EVENTS_MOST)
        return Group(revision, pruned, {**self.cells, key: (value, revision)}, events[pruned - self.pruned :])


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Group).decode
EMPTY = Group(0, 0, {}, ())


def read_group(value: bytes | None) -> Group:
    return EMPTY if value is None else _decode(value)


def write_group(group: Group) -> bytes:
    return _encode(group)


def group_of(key: str) -> str:
    """Keys that begin alike up to their first dot, dot included; a key without a dot is its own group."""
    head, dot, _ = key.partition(".")
    return head + dot

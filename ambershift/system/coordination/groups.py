"""A group of cells: small keys that share one count of revisions and remember their last puts."""

from __future__ import annotations

from typing import Any

import msgspec

MIN_RETAINED_EVENTS = 64
MAX_RETAINED_EVENTS = 2_000

PutEvent = tuple[str, Any, int]  # Key, value, revision.


class Group(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """`cells` has each key's value and revision; `events` are all puts above `pruned`, in order."""

    revision: int
    pruned_up_to: int
    cells: dict[str, tuple[Any, int]]
    events: tuple[PutEvent, ...]

    def first_revision_of(self, key: str, value: Any) -> int | None:
        """The first revision of this value under this key."""
        for name, put, revision in reversed(self.events):
            if name == key and put == value:
                return revision
        found = self.cells.get(key)
        return found[1] if found is not None and found[0] == value else None

    def events_after(self, revision: int) -> tuple[PutEvent, ...]:
        """The events above a revision that is not below `pruned`."""
        return self.events[max(0, len(self.events) - (self.revision - revision)) :]

    def put(self, key: str, value: Any, prune_up_to: int) -> Group:
        """The group after a put; events up to `prune` are forgotten, but the last ones stay."""
        revision = self.revision + 1
        events = (*self.events, (key, value, revision))
        pruned = max(
            self.pruned_up_to,
            min(prune_up_to, revision - MIN_RETAINED_EVENTS),
            revision - MAX_RETAINED_EVENTS,
        )
        return Group(
            revision, pruned, {**self.cells, key: (value, revision)}, events[pruned - self.pruned_up_to :]
        )


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Group).decode
EMPTY_GROUP = Group(0, 0, {}, ())


def decode_group(value: bytes | None) -> Group:
    return EMPTY_GROUP if value is None else _decode(value)


def encode_group(group: Group) -> bytes:
    return _encode(group)


def group_name(key: str) -> str:
    """Keys that begin alike up to their first dot, dot included; a key without a dot is its own group."""
    head, dot, _ = key.partition(".")
    return head + dot

"""A group of cells: keys that share one count of revisions, with their latest puts."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

MIN_RETAINED_EVENTS = 64
MAX_RETAINED_EVENTS = 2_000


class Cell(NamedTuple):
    """A key's value, and the revision of the put that set it."""

    value: Any
    revision: int


class PutEvent(NamedTuple):
    """One put, as watches receive it."""

    key: str
    value: Any
    revision: int


class Group(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """The value of a group's register.

    Attributes:
        revision: The number of puts so far.
        pruned_up_to: Events up to this revision are forgotten.
        cells: By key.
        events: All puts after `pruned_up_to`, in order and without gaps.
    """

    revision: int
    pruned_up_to: int
    cells: dict[str, Cell]
    events: tuple[PutEvent, ...]

    def first_revision_of(self, key: str, value: Any) -> int | None:
        """The revision of the put of this value under this key, if an event or the cell still has it."""
        for event in self.events[::-1]:
            if event.key == key and event.value == value:
                return event.revision
        cell = self.cells.get(key)
        return cell.revision if cell is not None and cell.value == value else None

    def events_after(self, revision: int) -> tuple[PutEvent, ...]:
        """The events after a revision, which must not be below `pruned_up_to`."""
        return self.events[max(0, len(self.events) - (self.revision - revision)) :]

    def put(self, key: str, value: Any, prune_up_to: int) -> Group:
        """The group after a put, without the events up to `prune_up_to`.

        At least `MIN_RETAINED_EVENTS` and at most `MAX_RETAINED_EVENTS` events stay.
        """
        revision = self.revision + 1
        pruned_up_to = max(
            self.pruned_up_to,
            min(prune_up_to, revision - MIN_RETAINED_EVENTS),
            revision - MAX_RETAINED_EVENTS,
        )
        events = (*self.events, PutEvent(key, value, revision))[pruned_up_to - self.pruned_up_to :]
        return Group(revision, pruned_up_to, {**self.cells, key: Cell(value, revision)}, events)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Group).decode
EMPTY_GROUP = Group(revision=0, pruned_up_to=0, cells={}, events=())


def decode_group(value: bytes | None) -> Group:
    """The group in a register's value; an empty one where the register was never written."""
    return EMPTY_GROUP if value is None else _decode(value)


def encode_group(group: Group) -> bytes:
    """A register's value (MessagePack)."""
    return _encode(group)


def group_name(key: str) -> str:
    """The part of a key up to its first dot, dot included; a key without a dot is its own group."""
    head, dot, _ = key.partition(".")
    return head + dot

"""Tells a group's new value by what was put since the old one, so that a put costs little however large."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.groups import Event, Group, read_group, write_group
from ambershift.system.interfaces import DeltaCodec


class Added(msgspec.Struct, frozen=True, array_like=True):
    """The events that were added, and up to which revision events are forgotten."""

    pruned: int
    events: tuple[Event, ...]


_decode = msgspec.msgpack.Decoder(Added).decode
_BEGINS = write_group(Group(0, 0, {}, ()))[:3]  # The array's head and its tag.


class GroupShape:
    """A `contracts.Shape` for any register: what is no group is told whole."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        if not (old.startswith(_BEGINS) and new.startswith(_BEGINS)):
            return None
        before, after = read_group(old), read_group(new)
        if not after.pruned <= before.revision <= after.revision or after.pruned < before.pruned:
            return None
        added = Added(after.pruned, after.above(before.revision))
        difference = msgspec.msgpack.encode(added)
        # The two may stem from unlike proposals, of which one was given up.
        return difference if len(difference) < len(new) and _add(before, added) == new else None

    def patch(self, old: bytes, difference: bytes) -> bytes:
        return _add(read_group(old), _decode(difference))


def _add(before: Group, added: Added) -> bytes:
    cells = dict(before.cells)
    for name, value, revision in added.events:
        cells[name] = (value, revision)
    events = (*before.events, *added.events)[added.pruned - before.pruned :]
    return write_group(Group(before.revision + len(added.events), added.pruned, cells, events))


SHAPE = GroupShape()


def shape_of(register: str) -> DeltaCodec:
    """The shape of a register's values; any other than a group's are small and told whole."""
    return SHAPE

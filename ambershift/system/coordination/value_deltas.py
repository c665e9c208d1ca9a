"""Tells a group's new value by what was put since the old one, so that a put costs little however large."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.groups import Group, PutEvent, decode_group, encode_group
from ambershift.system.interfaces import DeltaCodec


class GroupDelta(msgspec.Struct, frozen=True, array_like=True):
    """The events that were added, and up to which revision events are forgotten."""

    pruned: int
    events: tuple[PutEvent, ...]


_decode = msgspec.msgpack.Decoder(GroupDelta).decode
_GROUP_PREFIX = encode_group(Group(0, 0, {}, ()))[:3]  # The array's head and its tag.


class GroupDeltaCodec:
    """A `contracts.DeltaCodec` for any register: what is no group is told whole."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        if not (old.startswith(_GROUP_PREFIX) and new.startswith(_GROUP_PREFIX)):
            return None
        before, after = decode_group(old), decode_group(new)
        if (
            not after.pruned_up_to <= before.revision <= after.revision
            or after.pruned_up_to < before.pruned_up_to
        ):
            return None
        added = GroupDelta(after.pruned_up_to, after.events_after(before.revision))
        difference = msgspec.msgpack.encode(added)
        # The two may stem from unlike proposals, of which one was given up.
        return difference if len(difference) < len(new) and _apply(before, added) == new else None

    def patch(self, old: bytes, difference: bytes) -> bytes:
        return _apply(decode_group(old), _decode(difference))


def _apply(before: Group, added: GroupDelta) -> bytes:
    cells = dict(before.cells)
    for name, value, revision in added.events:
        cells[name] = (value, revision)
    events = (*before.events, *added.events)[added.pruned - before.pruned_up_to :]
    return encode_group(Group(before.revision + len(added.events), added.pruned, cells, events))


GROUP_DELTAS = GroupDeltaCodec()


def value_shape(register: str) -> DeltaCodec:
    """The shape of a register's values; any other than a group's are small and told whole."""
    return GROUP_DELTAS

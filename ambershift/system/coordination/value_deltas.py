"""Encodes a group's new value as the puts since the old one, so that a put to a large group costs little."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.groups import (
    EMPTY_GROUP,
    Cell,
    Group,
    PutEvent,
    decode_group,
    encode_group,
)
from ambershift.system.interfaces import DeltaCodec


class GroupDelta(msgspec.Struct, frozen=True, array_like=True):
    """The difference between two values of a group.

    Attributes:
        pruned_up_to: The newer value's.
        events: The puts that the newer value has in addition.
    """

    pruned_up_to: int
    events: tuple[PutEvent, ...]


_decode = msgspec.msgpack.Decoder(GroupDelta).decode
_ENCODED_GROUP_START = encode_group(EMPTY_GROUP)[:3]  # The array's header and its tag.


class GroupDeltaCodec:
    """The `DeltaCodec` of the values of all registers; those that aren't groups have no differences."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        """The encoded `GroupDelta` that `patch` applies; None where the complete value must be sent."""
        if not (old.startswith(_ENCODED_GROUP_START) and new.startswith(_ENCODED_GROUP_START)):
            return None
        before = decode_group(old)
        after = decode_group(new)
        if after.pruned_up_to < before.pruned_up_to:
            return None
        if not after.pruned_up_to <= before.revision <= after.revision:
            return None
        delta = GroupDelta(after.pruned_up_to, after.events_after(before.revision))
        encoded = msgspec.msgpack.encode(delta)
        # The two may come from concurrent proposals of which one was abandoned: then the delta yields another
        # value than `new`.
        return encoded if len(encoded) < len(new) and _apply(before, delta) == new else None

    def patch(self, old: bytes, difference: bytes) -> bytes:
        """The new value, from the old one and what `diff` returned."""
        return _apply(decode_group(old), _decode(difference))


def _apply(before: Group, delta: GroupDelta) -> bytes:
    cells = dict(before.cells)
    for event in delta.events:
        cells[event.key] = Cell(event.value, event.revision)
    events = (*before.events, *delta.events)[delta.pruned_up_to - before.pruned_up_to :]
    return encode_group(Group(before.revision + len(delta.events), delta.pruned_up_to, cells, events))


GROUP_DELTAS = GroupDeltaCodec()


def value_delta_codec(register: str) -> DeltaCodec:
    """The codec for differences of a register's values; one serves for all registers."""
    return GROUP_DELTAS

"""Which of the operator's dropped items all have forgotten: the content of one item.

That item's key is `COLLECTED_TOMBSTONES_KEY`.

A dropped item is kept as a version without content, so that no copy brings it back. The oldest are forgotten
in numbered batches (`consensus/tombstone_collector.py`). A copy that knows the batch before `drops`
begin learns from
them all that it may still have; one of longer ago can't tell what of it was dropped, and is replaced by what
others hold.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

import msgspec

from ambershift.system.messages.items import AGREED, LIMITS, ROUTE, SERVICE, Item, Key

COLLECTED_TOMBSTONES_KIND = "forgotten"
COLLECTED_TOMBSTONES_KEY: Key = (COLLECTED_TOMBSTONES_KIND, "configuration")
CONFIGURATION_KINDS = frozenset((ROUTE, SERVICE, LIMITS))  # The kinds that an operator sets and drops.
LISTED_TOMBSTONES_MAX = 1024  # Drops that are listed; the last two batches are in any case.
LISTED_BATCHES_MIN = 2


class CollectedTombstone(msgspec.Struct, frozen=True, array_like=True):
    """An item that was dropped under `version`, and the number of the batch with which it was forgotten."""

    kind: str
    name: str
    version: int
    batch: int

    @property
    def key(self) -> Key:
        return self.kind, self.name


class CollectedTombstones(msgspec.Struct, frozen=True, array_like=True):
    """`batch`: how many batches there were. `floor`: the highest version forgotten. `drops`, oldest first,
    are those of the last batches, each batch whole."""

    batch: int = 0
    highest_version: int = 0
    tombstones: tuple[CollectedTombstone, ...] = ()

    @property
    def required_batch(self) -> int:
        """The batch that a copy must know, to learn from `drops` all that it may still have."""
        return self.tombstones[0].batch - 1 if self.tombstones else 0

    @property
    def as_item(self) -> Item:
        return Item(*COLLECTED_TOMBSTONES_KEY, (self.batch, AGREED), msgspec.json.encode(self))

    def versions_by_key(self) -> Mapping[Key, int]:
        """Up to which version each listed item is gone."""
        versions: dict[Key, int] = {}
        for drop in self.tombstones:
            versions[drop.key] = max(drop.version, versions.get(drop.key, drop.version))
        return versions

    def with_batch(self, tombstones: Iterable[Item]) -> CollectedTombstones:
        """With one more batch."""
        batch = self.batch + 1
        collected = tuple(CollectedTombstone(one.kind, one.name, one.version[0], batch) for one in tombstones)
        drops = (*self.tombstones, *collected)
        while len(drops) > LISTED_TOMBSTONES_MAX and drops[0].batch <= batch - LISTED_BATCHES_MIN:
            drops = tuple(one for one in drops if one.batch > drops[0].batch)
        return CollectedTombstones(
            batch, max(self.highest_version, *(one.version for one in collected)), drops
        )


NO_COLLECTED_TOMBSTONES = CollectedTombstones()


def collected_tombstones_of(item: Item | None) -> CollectedTombstones:
    """What the item tells; `NO_COLLECTED_TOMBSTONES` where there is none."""
    return (
        NO_COLLECTED_TOMBSTONES
        if item is None or item.body is None
        else decode_collected_tombstones(item.body)
    )


@lru_cache(maxsize=4)
def decode_collected_tombstones(body: bytes) -> CollectedTombstones:
    return msgspec.json.decode(body, type=CollectedTombstones)

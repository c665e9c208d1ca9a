"""Tombstones of the operator's configuration that were collected: the content of one item.

That item's key is `COLLECTED_TOMBSTONES_KEY`. A dropped item stays as a tombstone, a version without content,
so that no outdated replica restores it. The oldest tombstones are collected in numbered batches
(`consensus/tombstone_collector.py`). A replica that knows the batch before the listed ones learns from the
list all that it may still have. One that was away for longer can't tell which of its items were dropped, and
replaces them by those of others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

import msgspec

from ambershift.system.messages.items import LIMITS, OPERATOR_AUTHOR, ROUTE, SERVICE, Item, Key

COLLECTED_TOMBSTONES_KIND = "forgotten"
COLLECTED_TOMBSTONES_KEY: Key = (COLLECTED_TOMBSTONES_KIND, "configuration")
CONFIGURATION_KINDS = frozenset((ROUTE, SERVICE, LIMITS))
LISTED_TOMBSTONES_MAX = 1024  # The last `LISTED_BATCHES_MIN` batches are listed even beyond it.
LISTED_BATCHES_MIN = 2


class CollectedTombstone(msgspec.Struct, frozen=True, array_like=True):
    """A tombstone that was collected.

    Attributes:
        version: The version under which the item was dropped.
        batch: Number of the batch with which the tombstone was collected.
    """

    kind: str
    name: str
    version: int
    batch: int

    @property
    def key(self) -> Key:
        """The key of the dropped item."""
        return self.kind, self.name


class CollectedTombstones(msgspec.Struct, frozen=True, array_like=True):
    """What was collected so far.

    Attributes:
        batch: How many batches there were.
        highest_version: The highest version collected (collected-up-to version).
        tombstones: Those of the last batches, oldest first; each listed batch is complete.
    """

    batch: int = 0
    highest_version: int = 0
    tombstones: tuple[CollectedTombstone, ...] = ()

    @property
    def required_batch(self) -> int:
        """The batch that a replica must know to learn from the list all that it may still have."""
        return self.tombstones[0].batch - 1 if self.tombstones else 0

    @property
    def as_item(self) -> Item:
        """The item that carries this state."""
        return Item(*COLLECTED_TOMBSTONES_KEY, (self.batch, OPERATOR_AUTHOR), msgspec.json.encode(self))

    def versions_by_key(self) -> Mapping[Key, int]:
        """Up to which version each listed item is dropped."""
        versions: dict[Key, int] = {}
        for tombstone in self.tombstones:
            versions[tombstone.key] = max(tombstone.version, versions.get(tombstone.key, tombstone.version))
        return versions

    def with_batch(self, tombstones: Iterable[Item]) -> CollectedTombstones:
        """This state and one batch more; whole batches are dropped beyond `LISTED_TOMBSTONES_MAX`."""
        batch = self.batch + 1
        added = tuple(CollectedTombstone(item.kind, item.name, item.version[0], batch) for item in tombstones)
        listed = (*self.tombstones, *added)
        while len(listed) > LISTED_TOMBSTONES_MAX and listed[0].batch <= batch - LISTED_BATCHES_MIN:
            listed = tuple(one for one in listed if one.batch > listed[0].batch)
        return CollectedTombstones(batch, max(self.highest_version, *(one.version for one in added)), listed)


NO_COLLECTED_TOMBSTONES = CollectedTombstones()


def collected_tombstones_of(item: Item | None) -> CollectedTombstones:
    """The state that the item carries; `NO_COLLECTED_TOMBSTONES` without an item or its body."""
    return (
        NO_COLLECTED_TOMBSTONES
        if item is None or item.body is None
        else decode_collected_tombstones(item.body)
    )


@lru_cache(maxsize=4)
def decode_collected_tombstones(body: bytes) -> CollectedTombstones:
    """Decode the body of the item."""
    return msgspec.json.decode(body, type=CollectedTombstones)

"""The items of this copy: the newest version of each key, in memory and on its way to the disk."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ambershift.system.consensus.bucket_checksums import BucketChecksums
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.items import (
    COLLECTED_INSTANCES_KEY,
    COLLECTED_INSTANCES_KIND,
    INSTANCE,
    Item,
    Key,
    collected_instance_ids,
    newest,
)
from ambershift.system.messages.tombstones import (
    COLLECTED_TOMBSTONES_KEY,
    COLLECTED_TOMBSTONES_KIND,
    CONFIGURATION_KINDS,
    CollectedTombstones,
    collected_tombstones_of,
)

ITEMS_TABLE = "items"
EVENT_CONFIGURATION_RESET = 212
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Item).decode


def row_key(key: Key) -> str:
    """The key of an item's row on disk, and its name among the bucket checksums."""
    return f"{key[0]}\x1f{key[1]}"


class ItemStore:
    """All items of this copy.

    Attributes:
        items: The newest version of each, tombstones too.
        tombstones: Of the operator's items, those that are deleted.
        buckets: The checksums of all items, by bucket.
        collected: The tombstones that all copies have dropped.
        resets: How often the configuration was dropped, as it missed too many batches of collected
            tombstones.
    """

    def __init__(self, out: EffectBuffer, journal: WriteQueue, rows: dict[str, bytes]) -> None:
        self._out = out
        self._journal = journal
        self.items: dict[Key, Item] = {}
        self.tombstones: dict[Key, Item] = {}
        self._by_row_key: dict[str, Item] = {}
        self.buckets = BucketChecksums()
        for row in rows.values():
            self._insert(_decode(row))
        self._cleared_keys = frozenset[Key]()
        if (clearing := self.items.get(COLLECTED_INSTANCES_KEY)) is not None:
            self._delete_cleared(clearing)
        self.collected = collected_tombstones_of(self.items.get(COLLECTED_TOMBSTONES_KEY))
        self._collected_versions = self.collected.versions_by_key()
        self.resets = 0

    def _insert(self, item: Item) -> None:
        name = row_key(item.key)
        self.items[item.key] = self._by_row_key[name] = item
        self.buckets.update(name, _encode(item.rank))
        if item.kind in CONFIGURATION_KINDS and item.body is None:
            self.tombstones[item.key] = item
        else:
            self.tombstones.pop(item.key, None)

    def merge(self, items: Iterable[Item], tombstone_batch: int | None = None) -> bool:
        """Merge what is newer. It is in memory at once: nothing is acknowledged before the disk has it.

        Args:
            items: Of another copy, or of a caller.
            tombstone_batch: The last batch of collected tombstones that the other copy knows; None: no copy.

        Returns:
            False where the other copy misses so many batches that its configuration may hold what was deleted
            and collected: then none of that is merged.
        """
        is_outdated = tombstone_batch is not None and tombstone_batch < self.collected.required_batch
        is_incomplete = False
        merged = []
        for item in items:
            if is_outdated and item.kind in CONFIGURATION_KINDS:
                is_incomplete = True
                continue
            if not self._is_newer(item):
                continue
            self._insert(item)
            self._journal.put(ITEMS_TABLE, row_key(item.key), _encode(item))
            merged.append(item)
            if item.kind == COLLECTED_INSTANCES_KIND:
                self._delete_cleared(item)
            elif item.kind == COLLECTED_TOMBSTONES_KIND:
                self._collect(collected_tombstones_of(item))
        if merged:
            self._out.items_updated(merged)
        return not is_incomplete

    def _is_newer(self, item: Item) -> bool:
        """Whether the item is newer than what is stored, and was neither cleared nor collected."""
        if item.key in self._cleared_keys or item.version[0] <= self._collected_versions.get(item.key, -1):
            return False
        stored = self.items.get(item.key)
        return stored is None or newest(stored, item) is not stored

    def _delete_cleared(self, clearing: Item) -> None:
        """Delete the instances it names. That all copies do so on merging one item keeps them alike."""
        self._cleared_keys = frozenset((INSTANCE, instance) for instance in collected_instance_ids(clearing))
        for key in self._cleared_keys:
            self._delete(key)

    def _delete(self, key: Key) -> None:
        if self.items.pop(key, None) is not None:
            name = row_key(key)
            del self._by_row_key[name]
            self.buckets.remove(name)
            self.tombstones.pop(key, None)
            self._journal.put(ITEMS_TABLE, name, None)

    def _collect(self, collected: CollectedTombstones) -> None:
        """Delete what is listed as collected.

        Where this copy may have more that was deleted, all that is as old goes: what is still in force comes
        back from others.
        """
        known_batch = self.collected.batch
        self.collected = collected
        self._collected_versions = collected.versions_by_key()
        for key, version in self._collected_versions.items():
            if (stored := self.items.get(key)) is not None and stored.version[0] <= version:
                self._delete(key)
        if known_batch < collected.required_batch:
            old_keys = [
                key
                for key, item in self.items.items()
                if key[0] in CONFIGURATION_KINDS and item.version[0] <= collected.highest_version
            ]
            for key in old_keys:
                self._delete(key)
            self.resets += 1
            needed = collected.required_batch
            self._out.log(
                EVENT_CONFIGURATION_RESET, known_batch=known_batch, required_batch=needed, items=len(old_keys)
            )

    def stored(self, keys: Iterable[Key]) -> tuple[Item, ...]:
        """The items with these keys that are stored: what was cleared isn't."""
        return tuple(self.items[key] for key in keys if key in self.items)

    def by_row_keys(self, row_keys: Iterable[str]) -> tuple[Item, ...]:
        """The items with these `row_key`s, all of which are stored."""
        return tuple(self._by_row_key[name] for name in row_keys)

"""The items held here: merged one by one, the newest of each name, in memory and on their way to the disk."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ambershift.system.consensus.bucket_checksums import BucketChecksums
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.items import (
    CLEARED,
    CLEARED_INSTANCES_KEY,
    INSTANCE,
    Item,
    Key,
    cleared_instances,
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
EVENT_REPLACED = 212
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Item).decode


def row_key(key: Key) -> str:
    return f"{key[0]}\x1f{key[1]}"


class ItemStore:
    def __init__(self, out: EffectBuffer, journal: WriteQueue, rows: dict[str, bytes]) -> None:
        self._out, self._journal = out, journal
        self.items: dict[Key, Item] = {}
        self.tombstones: dict[Key, Item] = {}  # Of the operator's items, those that are dropped.
        self._by_row_key: dict[str, Item] = {}
        self.buckets = BucketChecksums()
        for data in rows.values():
            self._insert(_decode(data))
        self._cleared_keys = frozenset[Key]()
        if (held := self.items.get(CLEARED_INSTANCES_KEY)) is not None:
            self._delete_cleared(held)
        self.collected = collected_tombstones_of(self.items.get(COLLECTED_TOMBSTONES_KEY))
        self._collected_versions = self.collected.versions_by_key()
        self.resets = 0  # How often the configuration was thrown away, as being of before the drops listed.

    def _insert(self, item: Item) -> None:
        name = row_key(item.key)
        self.items[item.key] = self._by_row_key[name] = item
        self.buckets.update(name, _encode(item.rank))
        if item.kind in CONFIGURATION_KINDS and item.body is None:
            self.tombstones[item.key] = item
        else:
            self.tombstones.pop(item.key, None)

    def merge(self, items: Iterable[Item], tombstone_batch: int | None = None) -> bool:
        """Take in what is newer. It is in memory at once: nothing is acknowledged before the disk has it.

        `batch`: the last one that the machine knows whose copy they are of. False where it misses so many
        that its configuration may hold what was dropped and forgotten: then none of that is taken."""
        is_outdated = tombstone_batch is not None and tombstone_batch < self.collected.required_batch
        is_incomplete = False
        merged = []
        for item in items:
            if is_outdated and item.kind in CONFIGURATION_KINDS:
                is_incomplete = True
                continue
            if item.key in self._cleared_keys or item.version[0] <= self._collected_versions.get(
                item.key, -1
            ):
                continue
            held = self.items.get(item.key)
            if held is not None and newest(held, item) is held:
                continue
            self._insert(item)
            self._journal.put(ITEMS_TABLE, row_key(item.key), _encode(item))
            merged.append(item)
            if item.kind == CLEARED:
                self._delete_cleared(item)
            elif item.kind == COLLECTED_TOMBSTONES_KIND:
                self._collect(collected_tombstones_of(item))
        if merged:
            self._out.items_updated(merged)
        return not is_incomplete

    def _delete_cleared(self, clearing: Item) -> None:
        """Drop what it names. That everybody does so on merging one item keeps all copies alike."""
        self._cleared_keys = frozenset((INSTANCE, id) for id in cleared_instances(clearing))
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
        """Drop what it lists. Where this copy may have more that was dropped, all that is as old goes: what
        stands of it comes back from others."""
        known, self.collected, self._collected_versions = (
            self.collected.batch,
            collected,
            collected.versions_by_key(),
        )
        for key, version in self._collected_versions.items():
            if (held := self.items.get(key)) is not None and held.version[0] <= version:
                self._delete(key)
        if known < collected.required_batch:
            old = [
                key
                for key, one in self.items.items()
                if key[0] in CONFIGURATION_KINDS and one.version[0] <= collected.highest_version
            ]
            for key in old:
                self._delete(key)
            self.resets += 1
            self._out.log(EVENT_REPLACED, known=known, needed=collected.required_batch, items=len(old))

    def stored(self, keys: Iterable[Key]) -> tuple[Item, ...]:
        """Of these, what is held: what was cleared isn't."""
        return tuple(self.items[key] for key in keys if key in self.items)

    def by_row_keys(self, row_keys: Iterable[str]) -> tuple[Item, ...]:
        return tuple(self._by_row_key[name] for name in row_keys)

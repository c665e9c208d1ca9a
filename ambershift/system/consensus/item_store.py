"""The items held here: merged one by one, the newest of each name, in memory and on their way to the disk."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ambershift.system.consensus.bucket_checksums import Buckets
from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.write_queue import Journal
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

TABLE = "items"
EVENT_REPLACED = 212
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Item).decode


def row_key(key: Key) -> str:
    return f"{key[0]}\x1f{key[1]}"


class Store:
    def __init__(self, out: Outbox, journal: Journal, rows: dict[str, bytes]) -> None:
        self._out, self._journal = out, journal
        self.items: dict[Key, Item] = {}
        self.drops: dict[Key, Item] = {}  # Of the operator's items, those that are dropped.
        self._named: dict[str, Item] = {}
        self.buckets = Buckets()
        for data in rows.values():
            self._keep(_decode(data))
        self._cleared = frozenset[Key]()
        if (held := self.items.get(CLEARED_INSTANCES_KEY)) is not None:
            self._clear(held)
        self.forgotten = collected_tombstones_of(self.items.get(COLLECTED_TOMBSTONES_KEY))
        self._gone = self.forgotten.versions_by_key()
        self.replaced = 0  # How often the configuration was thrown away, as being of before the drops listed.

    def _keep(self, item: Item) -> None:
        name = row_key(item.key)
        self.items[item.key] = self._named[name] = item
        self.buckets.put(name, _encode(item.rank))
        if item.kind in CONFIGURATION_KINDS and item.body is None:
            self.drops[item.key] = item
        else:
            self.drops.pop(item.key, None)

    def merge(self, items: Iterable[Item], batch: int | None = None) -> bool:
        """Take in what is newer. It is in memory at once: nothing is acknowledged before the disk has it.

        `batch`: the last one that the machine knows whose copy they are of. False where it misses so many
        that its configuration may hold what was dropped and forgotten: then none of that is taken."""
        outdated = batch is not None and batch < self.forgotten.required_batch
        left_out = False
        fresh = []
        for item in items:
            if outdated and item.kind in CONFIGURATION_KINDS:
                left_out = True
                continue
            if item.key in self._cleared or item.version[0] <= self._gone.get(item.key, -1):
                continue
            held = self.items.get(item.key)
            if held is not None and newest(held, item) is held:
                continue
            self._keep(item)
            self._journal.put(TABLE, row_key(item.key), _encode(item))
            fresh.append(item)
            if item.kind == CLEARED:
                self._clear(item)
            elif item.kind == COLLECTED_TOMBSTONES_KIND:
                self._forget(collected_tombstones_of(item))
        if fresh:
            self._out.news(fresh)
        return not left_out

    def _clear(self, by: Item) -> None:
        """Drop what it names. That everybody does so on merging one item keeps all copies alike."""
        self._cleared = frozenset((INSTANCE, id) for id in cleared_instances(by))
        for key in self._cleared:
            self._drop(key)

    def _drop(self, key: Key) -> None:
        if self.items.pop(key, None) is not None:
            name = row_key(key)
            del self._named[name]
            self.buckets.drop(name)
            self.drops.pop(key, None)
            self._journal.put(TABLE, name, None)

    def _forget(self, by: CollectedTombstones) -> None:
        """Drop what it lists. Where this copy may have more that was dropped, all that is as old goes: what
        stands of it comes back from others."""
        known, self.forgotten, self._gone = self.forgotten.batch, by, by.versions_by_key()
        for key, version in self._gone.items():
            if (held := self.items.get(key)) is not None and held.version[0] <= version:
                self._drop(key)
        if known < by.required_batch:
            old = [
                key
                for key, one in self.items.items()
                if key[0] in CONFIGURATION_KINDS and one.version[0] <= by.highest_version
            ]
            for key in old:
                self._drop(key)
            self.replaced += 1
            self._out.log(EVENT_REPLACED, known=known, needed=by.required_batch, items=len(old))

    def held(self, keys: Iterable[Key]) -> tuple[Item, ...]:
        """Of these, what is held: what was cleared isn't."""
        return tuple(self.items[key] for key in keys if key in self.items)

    def named(self, names: Iterable[str]) -> tuple[Item, ...]:
        return tuple(self._named[name] for name in names)

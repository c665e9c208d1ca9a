"""The items held here: merged one by one, the newest of each name, in memory and on their way to the disk."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ambershift.system.consensus.digests import Buckets
from ambershift.system.consensus.journal import Journal
from ambershift.system.consensus.outbox import Outbox
from ambershift.system.messages.items import CLEARED, INSTANCE, THE_CLEARED, Item, Key, cleared_by, newest

TABLE = "items"
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Item).decode


def row_key(key: Key) -> str:
    return f"{key[0]}\x1f{key[1]}"


class Store:
    def __init__(self, out: Outbox, journal: Journal, rows: dict[str, bytes]) -> None:
        self._out, self._journal = out, journal
        self.items: dict[Key, Item] = {}
        self._named: dict[str, Item] = {}
        self.buckets = Buckets()
        for data in rows.values():
            self._keep(_decode(data))
        self._cleared = frozenset[Key]()
        if (held := self.items.get(THE_CLEARED)) is not None:
            self._clear(held)

    def _keep(self, item: Item) -> None:
        name = row_key(item.key)
        self.items[item.key] = self._named[name] = item
        self.buckets.put(name, _encode(item.rank))

    def merge(self, items: Iterable[Item]) -> None:
        """Take in what is newer. It is in memory at once: nothing is acknowledged before the disk has it."""
        fresh = []
        for item in items:
            if item.key in self._cleared:
                continue
            held = self.items.get(item.key)
            if held is not None and newest(held, item) is held:
                continue
            self._keep(item)
            self._journal.put(TABLE, row_key(item.key), _encode(item))
            fresh.append(item)
            if item.kind == CLEARED:
                self._clear(item)
        if fresh:
            self._out.news(fresh)

    def _clear(self, by: Item) -> None:
        """Drop what it names. That everybody does so on merging one item keeps all copies alike."""
        self._cleared = frozenset((INSTANCE, id) for id in cleared_by(by))
        for key in self._cleared:
            if self.items.pop(key, None) is not None:
                name = row_key(key)
                del self._named[name]
                self.buckets.drop(name)
                self._journal.put(TABLE, name, None)

    def held(self, keys: Iterable[Key]) -> tuple[Item, ...]:
        """Of these, what is held: what was cleared isn't."""
        return tuple(self.items[key] for key in keys if key in self.items)

    def named(self, names: Iterable[str]) -> tuple[Item, ...]:
        return tuple(self._named[name] for name in names)

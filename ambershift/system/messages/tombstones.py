"""Which of the operator's dropped items all have forgotten: the content of one item, `THE_FORGOTTEN`.

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

FORGOTTEN = "forgotten"
THE_FORGOTTEN: Key = (FORGOTTEN, "configuration")
CONFIGURATION = frozenset((ROUTE, SERVICE, LIMITS))  # The kinds that an operator sets and drops.
LISTED = 1024  # Drops that are listed; the last two batches are in any case.
BATCHES_LEAST = 2


class Drop(msgspec.Struct, frozen=True, array_like=True):
    """An item that was dropped under `version`, and the number of the batch with which it was forgotten."""

    kind: str
    name: str
    version: int
    batch: int

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Forgotten(msgspec.Struct, frozen=True, array_like=True):
    """`batch`: how many batches there were. `floor`: the highest version forgotten. `drops`, oldest first,
    are those of the last batches, each batch whole."""

    batch: int = 0
    floor: int = 0
    drops: tuple[Drop, ...] = ()

    @property
    def enough(self) -> int:
        """The batch that a copy must know, to learn from `drops` all that it may still have."""
        return self.drops[0].batch - 1 if self.drops else 0

    @property
    def item(self) -> Item:
        return Item(*THE_FORGOTTEN, (self.batch, AGREED), msgspec.json.encode(self))

    def versions(self) -> Mapping[Key, int]:
        """Up to which version each listed item is gone."""
        found: dict[Key, int] = {}
        for drop in self.drops:
            found[drop.key] = max(drop.version, found.get(drop.key, drop.version))
        return found

    def after(self, dropped: Iterable[Item]) -> Forgotten:
        """With one more batch."""
        batch = self.batch + 1
        fresh = tuple(Drop(one.kind, one.name, one.version[0], batch) for one in dropped)
        drops = (*self.drops, *fresh)
        while len(drops) > LISTED and drops[0].batch <= batch - BATCHES_LEAST:
            drops = tuple(one for one in drops if one.batch > drops[0].batch)
        return Forgotten(batch, max(self.floor, *(one.version for one in fresh)), drops)


NOTHING_FORGOTTEN = Forgotten()


def forgotten_of(item: Item | None) -> Forgotten:
    """What the item tells; `NOTHING_FORGOTTEN` where there is none."""
    return NOTHING_FORGOTTEN if item is None or item.body is None else read_forgotten(item.body)


@lru_cache(maxsize=4)
def read_forgotten(body: bytes) -> Forgotten:
    return msgspec.json.decode(body, type=Forgotten)

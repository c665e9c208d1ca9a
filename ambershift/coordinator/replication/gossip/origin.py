"""Origin: what one member has said in one of its lives, in the order of its versions. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from operator import itemgetter
from typing import NamedTuple

ROW_BYTES = 32  # Of a row besides its key and body, at most.


class StoredRecord(NamedTuple):
    version: int
    kind: int
    key: str
    body: bytes
    since: int  # When its origin saw it, by this member's clock.


class OriginLog:
    """One life of a member; records lie in the order of their versions."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.last_version = incarnation, 0
        self.records = dict[tuple[int, str], StoredRecord]()
        # Versions with their records' places, those since replaced too, so that a delta finds its beginning.
        self.order = list[tuple[int, tuple[int, str]]]()

    def add(self, held: StoredRecord) -> None:
        self.records[held.kind, held.key] = held
        self.order.append((held.version, (held.kind, held.key)))
        if len(self.order) > 2 * len(self.records) + 1024:
            self.order = [(one.version, (one.kind, one.key)) for one in self.records.values()]

    def after(self, version: int) -> Iterator[StoredRecord]:
        for at in range(bisect_right(self.order, version, key=itemgetter(0)), len(self.order)):
            number, place = self.order[at]
            held = self.records.get(place)
            if held is not None and held.version == number:
                yield held


def encoded_size(held: StoredRecord) -> int:
    return ROW_BYTES + len(held.key) + len(held.body)

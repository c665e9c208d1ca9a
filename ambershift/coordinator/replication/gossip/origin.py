"""The records of one origin, in the order of their versions. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from operator import itemgetter
from typing import NamedTuple

RECORD_OVERHEAD_BYTES = 32  # Of an encoded record without its key and body, at most.
# `OriginLog.order` may hold so many entries for each record, and so many more, before it is rebuilt.
MAX_ORDER_PER_RECORD = 2
SPARE_ORDER_ENTRIES = 1024


class StoredRecord(NamedTuple):
    """A record as this member keeps it."""

    version: int
    kind: int
    key: str
    body: bytes
    observed_at: int  # When its origin observed it, by this member's clock, ns.


class OriginLog:
    """The records of one incarnation of a member, in the order of their versions."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.last_version = incarnation, 0
        self.records = dict[tuple[int, str], StoredRecord]()
        # Each version with its kind and key, replaced records included: a delta finds its beginning by it.
        self.order = list[tuple[int, tuple[int, str]]]()

    def add(self, record: StoredRecord) -> None:
        """Add a record with a newer version; it replaces the one of the same kind and key."""
        self.records[record.kind, record.key] = record
        self.order.append((record.version, (record.kind, record.key)))
        if len(self.order) > MAX_ORDER_PER_RECORD * len(self.records) + SPARE_ORDER_ENTRIES:
            self.order = [(kept.version, (kept.kind, kept.key)) for kept in self.records.values()]

    def after(self, version: int) -> Iterator[StoredRecord]:
        """The records with later versions."""
        for index in range(bisect_right(self.order, version, key=itemgetter(0)), len(self.order)):
            later_version, kind_and_key = self.order[index]
            record = self.records.get(kind_and_key)
            if record is not None and record.version == later_version:
                yield record


def encoded_size(record: StoredRecord) -> int:
    """The size of a record in a message, bytes, at most."""
    return RECORD_OVERHEAD_BYTES + len(record.key) + len(record.body)

"""The order in which stored records expire. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

# Expiry time (ns), origin, incarnation, version, and the record's kind and key.
ExpiryEntry = tuple[int, str, int, int, tuple[int, str]]

# The heap may hold so many entries for each record, and so many more, before stale ones are removed.
MAX_ENTRIES_PER_RECORD = 4
SPARE_ENTRIES = 1024


class ExpiryQueue:
    """A heap of expiry times.

    Entries of replaced records stay until there are many of them, as finding each one would cost more.
    """

    def __init__(self) -> None:
        self.heap = list[ExpiryEntry]()

    def add(
        self,
        at: int,
        origin: str,
        incarnation: int,
        version: int,
        kind_and_key: tuple[int, str],
        record_count: int,
    ) -> None:
        """Add a record that expires at `at`.

        `record_count` is how many records the store has: with too many entries for them, only the newest of
        each record stays.
        """
        heapq.heappush(self.heap, (at, origin, incarnation, version, kind_and_key))
        if len(self.heap) > MAX_ENTRIES_PER_RECORD * record_count + SPARE_ENTRIES:
            newest = dict[tuple[str, tuple[int, str]], ExpiryEntry]()
            for entry in self.heap:
                known = newest.get((entry[1], entry[4]))
                if known is None or known[2:4] < entry[2:4]:
                    newest[entry[1], entry[4]] = entry
            self.heap = list(newest.values())
            heapq.heapify(self.heap)

    def due(self, now: int) -> Iterator[tuple[str, int, int, tuple[int, str]]]:
        """Remove and return what has expired: origin, incarnation, version, and kind and key."""
        while self.heap and self.heap[0][0] <= now:
            yield heapq.heappop(self.heap)[1:]

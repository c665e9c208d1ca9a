"""Ages: in which order held records get too old. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

Due = tuple[int, str, int, int, tuple[int, str]]


class ExpiryQueue:
    """Entries of records since replaced stay until they are many, as looking for them costs more."""

    def __init__(self) -> None:
        self.heap = list[Due]()

    def add(
        self, at: int, name: str, incarnation: int, version: int, place: tuple[int, str], held: int
    ) -> None:
        """`held` is how many records there are: with over four entries each, only the newest of each stay."""
        heapq.heappush(self.heap, (at, name, incarnation, version, place))
        if len(self.heap) > 4 * held + 1024:
            newest = dict[tuple[str, tuple[int, str]], Due]()
            for one in self.heap:
                known = newest.get((one[1], one[4]))
                if known is None or known[2:4] < one[2:4]:
                    newest[one[1], one[4]] = one
            self.heap = list(newest.values())
            heapq.heapify(self.heap)

    def due(self, now: int) -> Iterator[tuple[str, int, int, tuple[int, str]]]:
        while self.heap and self.heap[0][0] <= now:
            yield heapq.heappop(self.heap)[1:]

"""Sets of fingerprints, made for exploring level by level: they are asked about many at once, and never
forget.

`Runs` keeps sorted arrays, each at least twice as long as the next, as a log-structured store does: a batch
is sorted, looked up in each run by binary search, and merged in. It takes 8 or 16 bytes a state, where a
Python set of integers takes about a hundred. `Plain` is that set, to measure against.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import numpy as np
from numpy.typing import NDArray

Words = NDArray[np.uint64]
LOW = (1 << 64) - 1


class Visited(Protocol):
    def add(self, batch: Sequence[int]) -> list[int]:
        """Take a batch in; gives the places in it of those that are new, each only where it came first."""

    def __len__(self) -> int: ...

    def nbytes(self) -> int: ...


class Plain:
    def __init__(self) -> None:
        self.held = set[int]()

    def add(self, batch: Sequence[int]) -> list[int]:
        fresh = []
        for at, one in enumerate(batch):
            if one not in self.held:
                self.held.add(one)
                fresh.append(at)
        return fresh

    def __len__(self) -> int:
        return len(self.held)

    def nbytes(self) -> int:
        import sys

        return sys.getsizeof(self.held) + sum(map(sys.getsizeof, self.held))


class Runs:
    """`bits` is 64 or 128. A run holds high words in order, and the low words that go with them."""

    def __init__(self, bits: int = 128) -> None:
        self.bits = bits
        self.runs = list[tuple[Words, Words]]()
        self.count = 0

    def add(self, batch: Sequence[int]) -> list[int]:
        if not batch:
            return []
        if self.bits == 64:
            high = np.fromiter(batch, np.uint64, len(batch))
            low = np.zeros(len(batch), np.uint64)
        else:
            high = np.fromiter((one >> 64 for one in batch), np.uint64, len(batch))
            low = np.fromiter((one & LOW for one in batch), np.uint64, len(batch))
        # Sorted by words and then by place, so that of equal ones the first to come stands first.
        order = np.lexsort((np.arange(len(batch)), low, high))
        high, low = high[order], low[order]
        fresh = np.ones(len(batch), bool)
        fresh[1:] = (high[1:] != high[:-1]) | (low[1:] != low[:-1])
        for run in self.runs:
            fresh &= ~held(run, high, low)
        if fresh.any():
            self.merge(high[fresh], low[fresh])
        self.count += int(fresh.sum())
        return sorted(order[fresh].tolist())

    def merge(self, high: Words, low: Words) -> None:
        while self.runs and len(self.runs[-1][0]) < 2 * len(high):
            other = self.runs.pop()
            high, low = np.concatenate((other[0], high)), np.concatenate((other[1], low))
            order = np.lexsort((low, high)) if self.bits == 128 else np.argsort(high, kind="stable")
            high, low = high[order], low[order] if self.bits == 128 else low[:0]
        self.runs.append((high, low if self.bits == 128 else np.zeros(0, np.uint64)))

    def __len__(self) -> int:
        return self.count

    def nbytes(self) -> int:
        return sum(high.nbytes + low.nbytes for high, low in self.runs)


def held(run: tuple[Words, Words], high: Words, low: Words) -> NDArray[np.bool_]:
    """Which of the words the run holds."""
    at = np.searchsorted(run[0], high)
    inside = at < len(run[0])
    found = np.zeros(len(high), bool)
    found[inside] = run[0][at[inside]] == high[inside]
    if not len(run[1]):
        return found
    # High words that are equal and low ones that aren't are rare: these are looked at one by one.
    same = found.copy()
    same[found] = run[1][at[found]] == low[found]
    for one in np.flatnonzero(found & ~same):
        end = np.searchsorted(run[0], high[one], side="right")
        same[one] = bool((run[1][at[one] : end] == low[one]).any())
    return same


def collision_chance(states: int, bits: int) -> float:
    """The chance at most that two of so many states share a fingerprint, and one of them was left out."""
    return min(1.0, float(states) * (states - 1) / 2 / 2.0**bits)

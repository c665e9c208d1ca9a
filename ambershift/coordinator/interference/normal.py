"""What a group of jobs normally needs on a kind of machine: cycles an instruction, from all nodes' sketches.

A node's sketch is a histogram of log CPI in whole numbers. A pool holds the newest sketch of each node: its
merge is the greater of two, so order, repeats and detours change nothing. Sums are worked out of that, in
whole numbers, the same on every member.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
import numpy as np
import numpy.typing as npt

BINS, LOW, WIDTH = 800, -3.0, 0.01  # From CPI 0.05 to 148, in steps of 1 %.
CAP = 360  # Samples that a sketch weighs at most: older ones halve away, and no node outweighs the others.
HALF_LIFE = 360  # Slots.
COUNT_LEAST = 90  # Samples in all, before anything is called normal; a quarter of an hour at 10 s.
SIGMA = 1.4826  # Makes the median deviation of a normal distribution its standard deviation.
SPREAD_LEAST = 0.02  # No narrower: two bins, and perf's own error.
THRESHOLD = 2.0  # CPI squared (Zhang et al. 2013): two standard deviations over the mean.
OTHERS_LEAST = 4  # Nodes that must agree before a further one is called a liar.
LIE_SIGMAS, LIE_LEAST = 8.0, math.log(1.5)


class Sketch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One node's. `at` is the end of its newest sample; equal times go to the fuller one."""

    at: int
    count: int
    bins: tuple[tuple[int, int], ...]  # Bin and count, by bin.


Pool = Mapping[str, Sketch]


class Normal(NamedTuple):
    """Logarithms of cycles an instruction: median and robust spread."""

    middle: float
    spread: float
    samples: int
    nodes: int

    @property
    def threshold(self) -> float:
        return self.middle + THRESHOLD * self.spread


class Gatherer:
    """Builds one node's sketch of one group of jobs."""

    __slots__ = ("at", "bins", "total")

    def __init__(self) -> None:
        self.at, self.total = 0, 0
        self.bins = dict[int, int]()

    def add(self, at: int, log_cpi: float) -> None:
        bin_ = min(BINS - 1, max(0, int((log_cpi - LOW) / WIDTH)))
        self.bins[bin_] = self.bins.get(bin_, 0) + 1
        self.total += 1
        self.at = max(self.at, at)
        if self.total > CAP:
            # Rounded up, but bins of one go: what is rare fades, and the rest keeps its shape.
            self.bins = {bin_: (count + 1) // 2 for bin_, count in self.bins.items() if count > 1}
            self.total = sum(self.bins.values())

    def sketch(self) -> Sketch:
        return Sketch(self.at, self.total, tuple(sorted(self.bins.items())))


def sound(sketch: Sketch) -> bool:
    """Whether a sketch that was heard says what a gatherer could have said."""
    last = -1
    for bin_, count in sketch.bins:
        if not last < bin_ < BINS or count < 1:
            return False
        last = bin_
    return 0 < sketch.count <= CAP and sum(count for _, count in sketch.bins) == sketch.count


def merge(one: Pool, other: Pool) -> dict[str, Sketch]:
    """Commutative, associative and idempotent: the newest of each node."""
    merged = dict(one)
    for node, sketch in other.items():
        merged[node] = max(sketch, merged.get(node, sketch))
    return merged


def aged(sketch: Sketch, now: int, slot_ns: int) -> npt.NDArray[np.int64]:
    """Its counts, halved for each half life; whole numbers, so that all members see the same."""
    counts = np.zeros(BINS, np.int64)
    halvings = max(0, now - sketch.at) // (HALF_LIFE * slot_ns)
    if halvings < 10:
        for bin_, count in sketch.bins:
            counts[bin_] = count << 10 >> halvings
    return counts


def middle_bin(counts: npt.NDArray[np.int64]) -> float:
    """The median, spread evenly within its bin."""
    sums = np.cumsum(counts)
    half = int(sums[-1]) / 2
    at = int(np.searchsorted(sums, half))
    below = int(sums[at - 1]) if at else 0
    return at + (half - below) / int(counts[at])


def normal(pool: Pool, now: int, without: Iterable[str] = (), slot_ns: int = 10_000_000_000) -> Normal | None:
    """None while there is too little evidence. `now` decides what is old: the same for all members."""
    left_out = frozenset(without)
    counts, nodes, count = np.zeros(BINS, np.int64), 0, 0
    for node, sketch in pool.items():
        if node in left_out:
            continue
        one = aged(sketch, now, slot_ns)
        if one.any():
            counts += one
            nodes, count = nodes + 1, count + sketch.count
    if count < COUNT_LEAST:
        return None
    middle = middle_bin(counts)
    apart = np.abs(np.arange(BINS) + 0.5 - middle)
    order = np.argsort(apart, kind="stable")
    sums = np.cumsum(counts[order])
    spread = float(apart[order[int(np.searchsorted(sums, int(sums[-1]) / 2))]]) * WIDTH * SIGMA
    return Normal(LOW + WIDTH * middle, max(SPREAD_LEAST, spread), count, nodes)


def own_middle(sketch: Sketch) -> float:
    seen = 0
    for bin_, count in sketch.bins:
        if 2 * (seen + count) >= sketch.count:
            return LOW + WIDTH * (bin_ + (sketch.count / 2 - seen) / count)
        seen += count
    return LOW


def liars(pools: Mapping[tuple[str, str], Pool]) -> frozenset[str]:
    """Nodes whose figures don't fit the others' for the same groups on the same kind of machine.

    Neighbours make a job slow; nothing makes it much faster than it is on all other nodes, and nothing of
    theirs makes all jobs of a node slow by the same. So a node lies if one of its groups is far too fast, or
    all of two and more are far off.
    """
    off, compared = dict[str, int](), dict[str, int]()
    fast = set[str]()
    for pool in pools.values():
        middles = {
            node: own_middle(one) for node, one in sorted(pool.items()) if one.count >= COUNT_LEAST // 3
        }
        if len(middles) <= OTHERS_LEAST:
            continue
        values = np.array(list(middles.values()))
        centre = float(np.median(values))
        bound = max(LIE_LEAST, LIE_SIGMAS * SIGMA * float(np.median(np.abs(values - centre))))
        for node, value in middles.items():
            compared[node] = compared.get(node, 0) + 1
            if abs(value - centre) > bound:
                off[node] = off.get(node, 0) + 1
                if value < centre:
                    fast.add(node)
    return frozenset(fast | {node for node, count in off.items() if count >= 2 and count == compared[node]})

"""Which samples can be learned from: bounds of what a machine can do, and what a job told before."""

from __future__ import annotations

import math

from ambershift.coordinator.interference.words import Sample, Unusable

SECOND = 1_000_000_000
SPAN_LEAST, SPAN_MOST = 0.05, 1.5  # Of a slot.
# A sample from ahead of its member's clock would push older slots out before their time.
AHEAD_MOST, AHEAD_SLOTS = 2 * SECOND, 2
LATE_MOST = 60 * SECOND  # What waited on the way.
COUNTED_LEAST = 0.5
CPUS_MOST = 4_096.0
GHZ_LEAST, GHZ_MOST = 0.05, 12.0  # Cycles a ns of task clock; no machine clocks beyond.
CPI_LEAST, CPI_MOST = 0.08, 200.0  # No core retires over 12 a cycle; beyond 200 nothing useful runs.
SAME_MOST = 3  # Exactly the same ratio so often in a row is written, not counted.
NAME_MOST = 128


class Told:
    """What one job of one node told last."""

    __slots__ = ("at", "figures", "ratio", "same")

    def __init__(self) -> None:
        self.at = 0
        self.figures: tuple[float, ...] = ()
        self.ratio, self.same = 0.0, 0


def judge(sample: Sample, now: int, told: Told, slot_ns: int = 10 * SECOND) -> Unusable | None:
    """None where it can be learned from; `told` is moved on. An idle job's sample, all 0, can."""
    figures = (sample.cycles, sample.instructions, sample.cache_misses, sample.task_ns)
    names = (sample.node, sample.kind, sample.job, sample.tenant)
    if not all(names[:3]) or any(len(name) > NAME_MOST or "|" in name for name in names):
        return Unusable.UNREADABLE
    if not all(map(math.isfinite, (*figures, sample.counted))):
        return Unusable.IMPOSSIBLE
    if min(figures) < 0:
        return Unusable.WRAPPED
    if not SPAN_LEAST <= sample.span_ns / slot_ns <= SPAN_MOST or not 0.0 <= sample.counted <= 1.0:
        return Unusable.IMPOSSIBLE
    if not -LATE_MOST <= sample.at - now <= max(AHEAD_MOST, AHEAD_SLOTS * slot_ns):
        return Unusable.SKEWED
    if sample.at == told.at:
        return Unusable.REPEATED if figures == told.figures else Unusable.CONTRADICTING
    if sample.at < told.at:
        return Unusable.REPEATED
    overlap = told.at and sample.at - told.at < sample.span_ns // 2
    before, told.at, told.figures = told.figures, sample.at, figures
    if overlap:
        return Unusable.CONTRADICTING  # Two intervals that each say they had the same time.
    if not any(figures):
        told.ratio, told.same = 0.0, 0
        return None
    if figures == before:
        return Unusable.REPEATED
    if sample.counted < COUNTED_LEAST:
        return Unusable.TOO_LITTLE
    return possible(sample, told)


def possible(sample: Sample, told: Told) -> Unusable | None:
    cycles, instructions, task = sample.cycles, sample.instructions, sample.task_ns
    if not cycles or not instructions or not task:
        return Unusable.CONTRADICTING  # One of them ran and another did not.
    if task > CPUS_MOST * sample.span_ns or not GHZ_LEAST <= cycles / task <= GHZ_MOST:
        return Unusable.IMPOSSIBLE
    ratio = cycles / instructions
    if not CPI_LEAST <= ratio <= CPI_MOST or sample.cache_misses > instructions:
        return Unusable.IMPOSSIBLE
    told.same = told.same + 1 if math.isclose(ratio, told.ratio, rel_tol=1e-9) else 0
    told.ratio = ratio
    return Unusable.IMPOSSIBLE if told.same >= SAME_MOST else None

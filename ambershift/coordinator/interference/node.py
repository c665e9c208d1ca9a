"""One node's samples by slot, and what is worked out of them at the end of each block."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ambershift.coordinator.interference import records, victims
from ambershift.coordinator.interference.normal import Gatherer, Normal
from ambershift.coordinator.interference.sift import Told
from ambershift.coordinator.interference.suspects import BLOCK, Finding, findings, present, swings
from ambershift.coordinator.interference.words import Sample, Unusable

SLOT_NS = 10_000_000_000
BLOCKS = 12  # An hour of evidence.
WINDOW = BLOCK * BLOCKS
CYCLES, INSTRUCTIONS, TASK, SPAN = range(4)
Normals = Callable[[str, str], Normal | None]  # Of a kind of machine and a group.


def group_of(tenant: str, job: str) -> str:
    """Jobs of one tenant run the same program; a job without a tenant is a group of its own."""
    return tenant or job


class Job:
    __slots__ = ("group", "kind", "last", "row", "told")

    def __init__(self, row: int, kind: str, group: str) -> None:
        self.row, self.kind, self.group = row, kind, group
        self.told, self.last = Told(), 0


class Block(NamedTuple):
    """A look at the end of a block."""

    evidence: list[records.Evidence]
    all_slow: int  # Slots from which nothing was learned.


class Node:
    def __init__(self, name: str, slot_ns: int = SLOT_NS) -> None:
        self.name, self.slot_ns = name, slot_ns
        self.jobs = dict[str, Job]()
        self.gathered = dict[tuple[str, str], Gatherer]()  # By kind of machine and group.
        self.newest = 0  # Slot; all up to it and back by WINDOW are kept.
        self.looked = 0  # Block: all before it are learned from.
        self.at = 0
        self._figures = np.zeros((4, 0, WINDOW), np.float32)

    def job(self, sample: Sample, most: int) -> Job | None:
        """The job of a sample; None where the node has as many as are kept."""
        found = self.jobs.get(sample.job)
        group = group_of(sample.tenant, sample.job)
        if found is not None and (found.kind, found.group) != (sample.kind, group):
            self.forget(sample.job)  # Another job under an old name.
            found = None
        if found is None:
            if len(self.jobs) >= most:
                return None
            taken = {one.row for one in self.jobs.values()}
            row = next(row for row in range(most) if row not in taken)
            while row >= self._figures.shape[1]:
                more = np.zeros((4, 1, WINDOW), np.float32)
                self._figures = np.concatenate([self._figures, more], axis=1)
            found = self.jobs[sample.job] = Job(row, sample.kind, group)
        return found

    def forget(self, name: str) -> None:
        gone = self.jobs.pop(name)
        self._figures[:, gone.row] = 0.0
        if not any((one.kind, one.group) == (gone.kind, gone.group) for one in self.jobs.values()):
            self.gathered.pop((gone.kind, gone.group), None)

    def add(self, job: Job, sample: Sample) -> bool:
        """False where its slot is learned from already."""
        slot = (sample.at - sample.span_ns // 2) // self.slot_ns
        if slot // BLOCK < self.looked:
            return False
        if slot > self.newest:
            gone = np.arange(max(self.newest + 1, slot - WINDOW + 1), slot + 1) % WINDOW
            self._figures[:, :, gone] = 0.0
            self.newest = slot
        if not self.looked:
            self.looked = slot // BLOCK
        self._figures[:, job.row, slot % WINDOW] += (
            sample.cycles,
            sample.instructions,
            sample.task_ns,
            sample.span_ns,
        )
        job.last = self.at = max(self.at, sample.at)
        return True

    def ripe(self, now: int) -> bool:
        """Whether a block has ended, with time for what comes late."""
        return bool(self.newest) and min(self.newest, now // self.slot_ns - 3) // BLOCK > self.looked

    def series(self) -> tuple[npt.NDArray[np.int64], npt.NDArray[np.float64], npt.NDArray[np.float64]]:
        """Slots of whole blocks up to `looked`, and by row log CPI and use; NaN where unknown."""
        end = self.looked * BLOCK
        slots = np.arange(max(end - WINDOW, self.newest - WINDOW + 1), end)
        figures = self._figures[:, :, slots % WINDOW].astype(np.float64)
        with np.errstate(invalid="ignore", divide="ignore"):
            cpi = np.log(figures[CYCLES] / figures[INSTRUCTIONS])
            use = np.where(figures[SPAN] > 0, figures[TASK] / figures[SPAN], np.nan)
        return slots, np.where(np.isfinite(cpi), cpi, np.nan), use

    def look(self, now: int, normals: Normals, accused: frozenset[tuple[str, str]] = frozenset()) -> Block:
        """Learn from the blocks that have ended, and find who suffers and what goes with it. What a victim
        needs while one who is `accused` of slowing it is busy is not its normal.
        """
        first = self.looked * BLOCK
        self.looked = min(self.newest, now // self.slot_ns - 3) // BLOCK
        slots, cpi, use = self.series()
        names = sorted(self.jobs)
        normal = {name: normals(self.jobs[name].kind, self.jobs[name].group) for name in names}
        overs, limits = np.full(cpi.shape, np.nan), np.full(len(cpi), np.inf)
        for name in names:
            row, one = self.jobs[name].row, normal[name]
            if one is not None:
                overs[row] = victims.excess(cpi[row], use[row], one)
                limits[row] = one.threshold - one.middle
        slow = victims.all_slow(overs, limits)
        fresh = slots >= first
        filled = present(use, slots)
        busy = swings(filled)
        calm = filled <= (np.nanmin(filled, axis=1, initial=np.inf) + busy / 2)[:, None]
        for name in names:
            job = self.jobs[name]
            harm = [other.row for other in self.jobs.values() if (job.group, other.group) in accused]
            self._learn(job, slots, cpi, use, fresh & ~slow & calm[harm].all(0))
        lately = slots >= slots[-1] - victims.MINUTES * victims.SLOTS_A_MINUTE + 1 if len(slots) else fresh
        slow_now = bool(2 * slow[lately].sum() > lately.sum())
        kept = np.where(slow, np.nan, overs)
        made = [
            self._evidence(name, slots, kept, filled, busy, overs, normal[name], slow_now) for name in names
        ]
        return Block(made, int((slow & fresh).sum()))

    def _learn(
        self,
        job: Job,
        slots: npt.NDArray[np.int64],
        cpi: npt.NDArray[np.float64],
        use: npt.NDArray[np.float64],
        wanted: npt.NDArray[np.bool_],
    ) -> None:
        gathered = self.gathered.setdefault((job.kind, job.group), Gatherer())
        for at in np.flatnonzero(wanted & ~np.isnan(cpi[job.row]) & (use[job.row] >= victims.USE_LEAST)):
            gathered.add(int(slots[at] + 1) * self.slot_ns, float(cpi[job.row, at]))

    def _evidence(
        self,
        name: str,
        slots: npt.NDArray[np.int64],
        kept: npt.NDArray[np.float64],
        use: npt.NDArray[np.float64],
        busy: npt.NDArray[np.float64],
        overs: npt.NDArray[np.float64],
        normal: Normal | None,
        slow_now: bool,
    ) -> records.Evidence:
        job = self.jobs[name]
        others = [one for one in sorted(self.jobs) if one != name]
        rows = [self.jobs[one].row for one in others]
        end = self.looked * BLOCK * self.slot_ns
        suffering = normal is not None and victims.suffers(overs[job.row], normal)
        reason, met = "", list[records.Met]()
        ran = [row for row in rows if np.nansum(use[row]) > 0]
        if normal is None:
            reason = Unusable.TOO_LITTLE.value
        elif not ran:
            reason = Unusable.ALONE.value
        elif slow_now:
            reason = Unusable.ALL_SLOW.value
        if normal is not None and ran:
            others_over = kept[rows]
            known = ~np.isnan(others_over)
            common = np.where(known.any(0), np.where(known, others_over, np.inf).min(0), np.nan)
            found = findings(kept[job.row], use[job.row], use[rows], busy[rows], common, slots)
            met = [
                packed(self.jobs[other].group, one)
                for other, one in zip(others, found, strict=True)
                if one is not None
            ]
            if not met and not reason:
                reason = Unusable.TOO_LITTLE.value
        level = victims.level(overs[job.row])
        return records.Evidence(
            records.VERSION,
            end,
            self.name,
            name,
            job.group,
            suffering and not reason,
            round(level * records.LEVEL),
            reason,
            tuple(met[: records.ROWS_MOST]),
        )


def packed(group: str, found: Finding) -> records.Met:
    def whole(value: float, parts: int) -> int:
        return max(-records.FIGURE_MOST, min(records.FIGURE_MOST, round(value * parts)))

    return records.Met(
        group,
        whole(found.slope, records.SLOPE),
        max(1, math.ceil(min(found.error, 1e4) * records.ERROR)),
        max(records.FREEDOM, whole(found.freedom, records.FREEDOM)),
        max(0, whole(found.busy, records.BUSY)),
    )

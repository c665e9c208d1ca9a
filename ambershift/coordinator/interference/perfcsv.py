"""Reads the interval CSV form of `perf stat -x, -I` into samples, one interval of one job each.

A line has the fields that perf-stat's manual names under CSV FORMAT: time stamp in seconds since perf's
start, value, unit, event, with `--for-each-cgroup` the group's name, run time of the counter in ns,
percentage of the time it was counted, and optionally a metric with its unit. perf has scaled the value up
already where the percentage is under 100.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from ambershift.coordinator.interference.words import Sample, Unusable

SECOND = 1_000_000_000
LINE_MOST = 1_024
COUNTED_LEAST = 0.5  # Under half counted, the scaling guesses more than it has seen.
WRAP_LEAST = 2.0**47  # The counters have 48 bits; a difference of half of that in one interval is a wrap.
AHEAD_MOST, LATE_MOST = 2 * SECOND, 45 * SECOND  # What a process that was held up still reads is late.
METRIC_OFF = 0.05  # perf prints its metrics with two digits.
EVENTS = {
    "cycles": "cycles",
    "cpu-cycles": "cycles",
    "instructions": "instructions",
    "cache-misses": "cache-misses",
    "task-clock": "task-clock",
}
WANTED = ("cycles", "instructions", "cache-misses", "task-clock")
UNITS_NS = {"": 1e6, "msec": 1e6, "ms": 1e6, "usec": 1e3, "us": 1e3, "nsec": 1.0, "ns": 1.0, "sec": 1e9}


class Line(NamedTuple):
    stamp: int  # ns since perf's start.
    event: str
    value: float | None  # None: not counted.
    counted: float
    metric: tuple[float, str] | None


class Job(NamedTuple):
    """Whose counters a file has. `cgroup` picks the rows of one group where the file has several."""

    node: str
    kind: str
    name: str
    tenant: str = ""
    cgroup: str = ""


def event_name(text: str) -> str:
    """`cpu_core/cycles/u`, `cycles:uk` and `cycles` are the same to us."""
    if "/" in text:
        text = text.split("/")[1]
    return EVENTS.get(text.split(":")[0].lower(), "")


def number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def read_line(text: str, cgroup: str) -> Line | None:
    """One row; None for what is no counter of ours. ValueError where it can't be read."""
    fields = [field.strip() for field in text.split(",")]
    if len(fields) < 6:
        raise ValueError("too few fields")
    stamp = number(fields[0])
    if stamp < 0:
        raise ValueError("a time before perf's start")
    event = event_name(fields[3])
    if not event:
        if fields[3] == fields[1] == "":
            return None  # A further metric of the line above.
        if not fields[3]:
            raise ValueError("no event")
        return None
    rest = fields[4:]
    if cgroup:
        if rest[0].strip("/") != cgroup.strip("/"):
            return None
        rest = rest[1:]
    if len(rest) < 2:
        raise ValueError("too few fields")
    number(rest[0])
    percent = number(rest[1])
    value = None if fields[1] in ("<not counted>", "<not supported>") else number(fields[1])
    if value is not None and event == "task-clock":
        value *= UNITS_NS[fields[2]] if fields[2] in UNITS_NS else number("nan")
    metric = None
    if len(rest) >= 4 and rest[2] and rest[3]:
        metric = number(rest[2]), rest[3]
    return Line(round(stamp * SECOND), event, value, percent / 100.0, metric)


class PerfReader:
    """Follows one job's rows. `took` counts why intervals or rows were of no use."""

    def __init__(self, job: Job, start: int | None = None) -> None:
        """`start`: Unix ns at which perf's time stamps count 0. None: the first row tells, as it comes when
        its interval ends; that interval began nobody knows when and is left out.
        """
        self.job, self.start = job, start or 0
        self._known = start is not None
        self.took = Counter[Unusable]()
        self.intervals = 0
        self._left = b""
        self._stamp = -1
        self._before, self._partial = 0, False
        self._rows = dict[str, Line]()
        self._bad: Unusable | None = None
        self._last: tuple[float, ...] = ()

    def feed(self, data: bytes, now: int) -> list[Sample]:
        """The intervals that `data` completes; it may end in the middle of a line."""
        found = list[Sample]()
        *lines, self._left = (self._left + data).split(b"\n")
        if len(self._left) > LINE_MOST:
            # What has no end in sight is given up now; its end comes as a line that can't be read.
            self._left = self._left[: LINE_MOST + 1]
        if not self._known:
            self._begin(lines, now)
        for raw in lines:
            found += self._line(raw, now)
        return found

    def _begin(self, lines: list[bytes], now: int) -> None:
        """The newest row tells when perf began: it was written just now, those before it earlier."""
        for raw in reversed(lines):
            try:
                line = read_line(raw[:LINE_MOST].decode("utf-8", "replace"), self.job.cgroup)
            except (ValueError, IndexError):
                continue
            if line is not None:
                self.start, self._known, self._partial = now - line.stamp, True, True
                return

    def _line(self, raw: bytes, now: int) -> list[Sample]:
        if len(raw) > LINE_MOST:
            self.took[Unusable.UNREADABLE] += 1
            return []
        text = raw.decode("utf-8", "replace").strip()
        if not text or text.startswith("#"):
            return []
        try:
            line = read_line(text, self.job.cgroup)
        except (ValueError, IndexError):
            self.took[Unusable.UNREADABLE] += 1
            return []
        if line is None:
            return []
        found = list[Sample]()
        if line.stamp != self._stamp:
            found = self.flush()
            if line.stamp < self._stamp:
                # perf was started anew: its stamps count from its new start, and what the first interval
                # spans is known from them.
                self.took[Unusable.WRAPPED] += 1
                self.start, self._before, self._last, self._partial = now - line.stamp, 0, (), False
            elif self._stamp >= 0:
                self._before = self._stamp
            self._stamp = line.stamp
            self._align(line.stamp, now)
        if line.event in self._rows:
            self._bad = Unusable.REPEATED if self._rows[line.event] == line else Unusable.CONTRADICTING
        self._rows[line.event] = line
        return found

    def _align(self, stamp: int, now: int) -> None:
        """Align with perf's own clock: where that runs ahead of ours, or far behind, ours holds."""
        if not now - LATE_MOST <= self.start + stamp <= now + AHEAD_MOST:
            self.start, self._bad = now - stamp, Unusable.SKEWED
        else:
            self.start = min(self.start, now - stamp)  # No row comes before its interval's end.

    def flush(self) -> list[Sample]:
        """The interval that is under way, as far as it came."""
        if not self._rows:
            return []
        rows, bad = self._rows, self._bad
        self._rows, self._bad = {}, None
        made = bad or self._made(rows)
        partial, self._partial = self._partial, False
        if partial:
            return []
        if isinstance(made, Unusable):
            self.took[made] += 1
            return []
        self.intervals += 1
        return [made]

    def _made(self, rows: dict[str, Line]) -> Sample | Unusable:
        span = self._stamp - self._before
        job, at = self.job, self.start + self._stamp
        clock = rows.get("task-clock")
        if (
            clock is not None
            and clock.value == 0.0
            and all(one.value in (None, 0.0) for one in rows.values())
        ):
            self._last = ()
            idle = 0.0, 0.0, 0.0, 0.0, 1.0
            return Sample(job.node, job.kind, job.name, job.tenant, at, span, *idle)
        values = tuple(rows[name].value if name in rows else None for name in WANTED)
        known = tuple(value for value in values if value is not None)
        if len(known) < len(WANTED):
            return Unusable.NOT_COUNTED
        if min(known) < 0 or max(known[:3]) >= WRAP_LEAST:
            return Unusable.WRAPPED
        counted = min(line.counted for line in rows.values())
        if counted < 0.0 or max(line.counted for line in rows.values()) > 1.001:
            return Unusable.IMPOSSIBLE
        if counted < COUNTED_LEAST:
            return Unusable.TOO_LITTLE
        if known == self._last:
            return Unusable.REPEATED
        self._last = known
        cycles, instructions, misses, task = known
        told = rows["instructions"].metric
        if told is not None and "per cycle" in told[1] and cycles:
            ours = instructions / cycles
            if abs(told[0] - ours) > 0.006 + METRIC_OFF * ours:
                return Unusable.CONTRADICTING
        return Sample(
            job.node,
            job.kind,
            job.name,
            job.tenant,
            at,
            span,
            cycles,
            instructions,
            misses,
            task,
            min(1.0, counted),
        )

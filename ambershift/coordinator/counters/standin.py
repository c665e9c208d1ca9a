"""`python -m ambershift.coordinator.counters.standin`: perf's interval CSV for a planted world.

--folder D  one file a job, D/NODE.JOB.csv    --interval 1s    --speed 1 (slots a second of that interval)
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from ambershift.coordinator.counters.worlds import EPOCH, SLOT_NS, Plan, Plant, World
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.settings.checks import duration

SECOND = 1_000_000_000


def rows(sample: Sample, stamp: int, cgroup: str = "") -> Iterator[str]:
    """The four rows that perf would print for this interval, `stamp` ns after its start."""
    at, percent = f"{stamp // SECOND:6}.{stamp % SECOND:09}", f"{100 * sample.counted:.2f}"
    run = round(sample.task_ns * sample.counted)
    per = sample.instructions / sample.cycles if sample.cycles else 0.0
    group = f",{cgroup}" if cgroup else ""
    idle = not sample.task_ns
    for event, value, metric in (
        ("cycles", sample.cycles, ","),
        ("instructions", sample.instructions, f"{per:.2f},insn per cycle"),
        ("cache-misses", sample.cache_misses, ","),
    ):
        yield (
            f"{at},<not counted>,,{event}{group},0,0.00,,"
            if idle
            else f"{at},{value:.0f},,{event}{group},{run},{percent},{metric}"
        )
    used = sample.task_ns / sample.span_ns
    yield (
        f"{at},{sample.task_ns / 1e6:.2f},msec,task-clock{group},{round(sample.task_ns)},100.00,"
        f"{used:.3f},CPUs utilized"
    )


def file_of(folder: Path, sample: Sample) -> Path:
    return folder / f"{sample.node}.{sample.job}.csv"


def written(world: World, at: int, interval: int) -> Iterator[tuple[Sample, str]]:
    """Slot `at` as if it took `interval` ns: a sample of each job, and its rows."""
    squeeze = interval / SLOT_NS
    for sample in world.slot(at):
        squeezed = Sample(
            sample.node,
            sample.kind,
            sample.job,
            sample.tenant,
            sample.at,
            interval,
            sample.cycles * squeeze,
            sample.instructions * squeeze,
            sample.cache_misses * squeeze,
            sample.task_ns * squeeze,
            sample.counted,
        )
        stamp = round((sample.at - EPOCH * SLOT_NS) * squeeze)
        yield sample, "\n".join(rows(squeezed, stamp)) + "\n"


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m ambershift.coordinator.counters.standin", description=__doc__
    )
    parser.add_argument("--folder", required=True, type=Path)
    parser.add_argument("--interval", default="10s")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--slots", type=int, default=720)
    parser.add_argument("--faulty", type=float, default=0.0)
    parser.add_argument("--plant", action="append", default=[], metavar="CULPRIT:VICTIM:SLOPE")
    given = parser.parse_args()
    interval = duration(given.interval)
    if interval is None:
        parser.error(f"'{given.interval}' is no time such as \"10s\"")
    plants = tuple(
        Plant(culprit, victim, float(slope))
        for culprit, victim, slope in (text.split(":") for text in given.plant)
    )
    world = World(given.seed, Plan(nodes=given.nodes, plants=plants, faulty=given.faulty, slots=given.slots))
    files = {}
    start = time.monotonic_ns()
    for at in range(given.slots):
        due = start + (at + 1) * interval
        time.sleep(max(0, due - time.monotonic_ns()) / SECOND)
        for sample, text in written(world, at, interval):
            path = file_of(given.folder, sample)
            if path not in files:
                files[path] = path.open("a", encoding="utf-8")
                files[path].write("# started on a stand-in\n\n")
            files[path].write(text)
            files[path].flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

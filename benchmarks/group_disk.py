"""Measures the folder: `python -m benchmarks.group_disk [--quick] [--folder PATH]`, from the root.

Beside the disk as it is run, in the same run on the same folder: a sync for each write, no mark (one sync a
batch), and the sync on the loop itself.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import statistics
import tempfile
import time

from ambershift.coordinator.group.disk import worker
from ambershift.coordinator.group.disk.files import RealFiles
from ambershift.coordinator.group.disk.folder import Folder
from ambershift.coordinator.group.disk.worker import DiskWorker
from ambershift.coordinator.replication.types import Entry, Snapshot, Write

WALL = 1_800_000_000_000_000_000


def write(ticket: int, size: int = 200, many: int = 1) -> Write:
    first = (ticket - 1) * many + 1
    new = tuple(Entry(1, at, WALL, f"token-{at}", os.urandom(size)) for at in range(first, first + many))
    return Write(ticket, "g", WALL, 1, 1, first, new, 0, None)


class Unmarked(Folder):
    def advance_mark(self) -> None:
        pass


class Waiting:
    """`writers` clients, each with one write under way, as promises to many connections are."""

    def __init__(self) -> None:
        self.waits = dict[int, asyncio.Future[None]]()

    def synced(self, ticket: int) -> None:
        for one in [one for one in self.waits if one <= ticket]:
            self.waits.pop(one).set_result(None)

    def failed(self, reason: str) -> None:
        raise SystemExit(reason)


async def play(place: str, kind: type[Folder], writers: int, count: int, shared: int) -> tuple[float, ...]:
    folder = kind(RealFiles(place), "archive", "n1")
    folder.open(WALL)
    waiting, loop = Waiting(), asyncio.get_running_loop()
    worker.MAX_BATCH_WRITES = shared
    disk = DiskWorker(folder, waiting, loop)
    disk.start()
    took, held, ticket = list[float](), list[float](), 0

    async def client(times: int) -> None:
        nonlocal ticket
        for _ in range(times):
            ticket += 1
            one = write(ticket)
            started = time.perf_counter()
            waiting.waits[ticket] = done = loop.create_future()
            disk.write(one)
            held.append(time.perf_counter() - started)
            await done
            took.append(time.perf_counter() - started)

    started = time.perf_counter()
    await asyncio.gather(*[client(count // writers) for _ in range(writers)])
    spent = time.perf_counter() - started
    syncs = disk.syncs
    disk.close()
    return (len(took) / spent, *quantiles(took), quantiles(held)[1], len(took) / syncs)


def on_the_loop(place: str, count: int) -> tuple[float, ...]:
    folder = Folder(RealFiles(place), "archive", "n1")
    folder.open(WALL)
    took = []
    for at in range(count):
        one, started = write(at + 1), time.perf_counter()
        folder.append([one])
        took.append(time.perf_counter() - started)
    folder.close()
    return (count / sum(took), *quantiles(took), quantiles(took)[1], 1.0)


def quantiles(took: list[float]) -> tuple[float, float]:
    cut = statistics.quantiles(took, n=100)
    return cut[49] * 1000, cut[98] * 1000


def appends(root: str, quick: bool) -> None:
    print("| how | writes under way | writes/s | p50 ms | p99 ms | loop held up, p99 ms | writes a sync |")
    print("| --- " * 7 + "|")
    for writers in (1, 10, 100):
        count = (300 if quick else 2000) * (1 if writers == 1 else 5 if writers == 10 else 10)
        rows = (
            ("shared sync and mark (as run)", Folder, 512),
            ("a sync for each write", Folder, 1),
            ("shared sync, no mark", Unmarked, 512),
        )
        for name, kind, shared in rows:
            place = tempfile.mkdtemp(dir=root)
            times = count if shared > 1 else min(count, 2000)
            shown = asyncio.run(play(place, kind, writers, times, shared))
            print(f"| {name} | {writers} | " + " | ".join(f"{one:.3g}" for one in shown) + " |", flush=True)
        if writers == 1:
            shown = on_the_loop(tempfile.mkdtemp(dir=root), count)
            print("| on the loop itself | 1 | " + " | ".join(f"{one:.3g}" for one in shown) + " |")


def openings(root: str, quick: bool) -> None:
    print(
        "\n| entries held | bytes | open, ms | write anew, ms | snapshot of as many bytes, ms |\n"
        + "| --- " * 5
        + "|"
    )
    for count in (100, 1_000, 10_000) if quick else (1_000, 10_000, 100_000):
        place = tempfile.mkdtemp(dir=root)
        folder = Folder(RealFiles(place), "archive", "n1")
        folder.open(WALL)
        for at in range(10):
            folder.append([write(at + 1, many=count // 10)])
        size = folder.log_size
        folder.close()
        started = time.perf_counter()
        again = Folder(RealFiles(place), "archive", "n1")
        opened = again.open(WALL)
        took = time.perf_counter() - started
        assert opened.saved is not None
        assert len(opened.saved.entries) == count
        started = time.perf_counter()
        again.compact()
        anew = time.perf_counter() - started
        snapshot = Snapshot(count, 1, os.urandom(size), ())
        started = time.perf_counter()
        again.append([Write(99, "g", WALL, 1, 1, count, (), 0, snapshot)])
        print(
            f"| {count} | {size} | {took * 1e3:.1f} | {anew * 1e3:.1f} | "
            f"{(time.perf_counter() - started) * 1e3:.1f} |",
            flush=True,
        )
        again.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer writes")
    parser.add_argument("--folder", help="where the folders are made; else where temporary files are")
    given = parser.parse_args()
    root = tempfile.mkdtemp(dir=given.folder)
    try:
        appends(root, given.quick)
        openings(root, given.quick)
    finally:
        shutil.rmtree(root)


if __name__ == "__main__":
    main()

"""Random schedules of faults on groups of real processes: `python -m benchmarks.group_processes`.

One seed gives one schedule. The processes' own timing is the machine's, so that a failure is printed whole:
its seed, schedule, what broke, and the last lines of each member.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from ambershift.coordinator.standins import schedules
from ambershift.coordinator.standins.rig import Rig

LIMIT = 120.0


class Result(NamedTuple):
    seed: int
    members: int
    broken: list[str]
    trace: list[str]
    faults: Counter[str]
    operations: Counter[str]


async def one(seed: int) -> Result:
    chance = random.Random(seed)
    members = chance.choice((3, 3, 3, 5))
    disk = [chance.random() < 0.7 for _ in range(members)]
    faults = schedules.draw(seed, members)
    with tempfile.TemporaryDirectory(prefix="rig-") as place:
        broken, trace = list[str](), [f"{members} members, with folders: {disk}"]
        trace += [fault.show() for fault in faults]
        counts, operations = Counter[str](), Counter[str]()
        try:
            async with (
                asyncio.timeout(LIMIT),
                Rig(Path(place), members, disk, proxies=2, seed=seed, rate=1.0) as rig,
            ):
                try:
                    await rig.settled(40.0)
                    broken, runner, history = await schedules.run(rig, faults, seed)
                    trace = [trace[0], *runner.done]
                    counts, operations = runner.counts, Counter(history.counts())
                finally:
                    trace.append(rig.tail(25))
        except (AssertionError, TimeoutError, OSError) as error:
            broken.append(f"{type(error).__name__}: {error}")
    return Result(seed, members, broken, trace, counts, operations)


async def main(count: int, jobs: int, first: int, most: float) -> int:
    started, left = time.monotonic(), iter(range(first, first + count))
    failed, faults, operations, done = list[Result](), Counter[str](), Counter[str](), 0

    async def worker() -> None:
        nonlocal done
        for seed in left:
            if time.monotonic() > started + most:
                return
            result = await one(seed)
            done += 1
            faults.update(result.faults)
            operations.update(result.operations)
            if result.broken:
                failed.append(result)
                print(f"\nseed {result.seed} broke a rule:")
                for line in (*result.broken, "schedule:", *result.trace):
                    print(f"  {line}", flush=True)
            if done % 20 == 0:
                took = time.monotonic() - started
                print(f"{done} of {count}, {len(failed)} failed, {took:.0f} s", flush=True)

    await asyncio.gather(*(worker() for _ in range(jobs)))
    print(f"\n{done} schedules from seed {first}, {len(failed)} failed, {time.monotonic() - started:.0f} s")
    print("faults:", ", ".join(f"{kind} {number}" for kind, number in sorted(faults.items())))
    print("operations:", ", ".join(f"{kind} {number}" for kind, number in sorted(operations.items())))
    return 1 if failed else 0


if __name__ == "__main__":
    words = argparse.ArgumentParser(prog="python -m benchmarks.group_processes", description=__doc__)
    words.add_argument("--schedules", type=int, default=1000)
    words.add_argument("--jobs", type=int, default=2, help="Groups that run at the same time.")
    words.add_argument("--seed", type=int, default=1, help="The first one's; each next one has one more.")
    words.add_argument("--minutes", type=float, default=240.0, help="After that no further one is begun.")
    told = words.parse_args()
    sys.exit(asyncio.run(main(told.schedules, told.jobs, told.seed, 60 * told.minutes)))

"""Random schedules of faults on a simulated group: `python -m benchmarks.group_schedules --seeds 100000`.

One seed is one history. A failure is shrunk on request, and printed as a trace; exit code 1 if there is one.
"""

from __future__ import annotations

import argparse
import contextlib
import gc
import multiprocessing
import sys
import time
from collections import Counter

from ambershift.coordinator.groupsim.plan import plan
from ambershift.coordinator.groupsim.shrink import shrink, told
from ambershift.coordinator.groupsim.world import Verdict, run_seed
from ambershift.modelcheck.mutants import broken, by_name, simulated

CHUNK = 50
Part = tuple[int, int, int, int, Counter[str], list[Verdict]]


def part(given: tuple[int, int, bool]) -> Part:
    """Seeds of one chunk: how many, events, operations, those done, what happened, and failures."""
    first, many, beyond = given
    events = operations = done = 0
    counts, wrong = Counter[str](), list[Verdict]()
    gc.collect()
    gc.disable()  # A world is small, and gone as a whole.
    for seed in range(first, first + many):
        found = run_seed(seed, beyond)
        events, operations, done = events + found.events, operations + found.operations, done + found.done
        counts.update(found.counts)
        if found.wrong is not None:
            wrong.append(found._replace(history=(), trace=()))
    return many, events, operations, done, counts, wrong


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--from", dest="first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--beyond", action="store_true", help="faults beyond the promise: it must refuse")
    parser.add_argument("--shrink", action="store_true", help="leave out faults as long as it fails")
    parser.add_argument("--trace", action="store_true", help="print the whole trace of the first failure")
    parser.add_argument("--most", type=int, default=5, help="stop after so many failures")
    parser.add_argument("--mutant", help="with one place of the real machines broken")
    given = parser.parse_args()
    mutant = {**by_name(), **simulated()}[given.mutant] if given.mutant else None
    with broken(mutant) if mutant else contextlib.nullcontext():
        return schedules(given)


def schedules(given: argparse.Namespace) -> int:
    started, seeds, events, operations, done = time.monotonic(), 0, 0, 0, 0
    counts, wrong = Counter[str](), list[Verdict]()
    chunks = [
        (at, min(CHUNK, given.first + given.seeds - at), given.beyond)
        for at in range(given.first, given.first + given.seeds, CHUNK)
    ]
    # Forked, so that workers have the machine as a mutant has left it.
    with multiprocessing.get_context("fork").Pool(given.jobs) as pool:
        for many, more, asked, good, what, found in pool.imap(part, chunks):
            seeds, events, operations, done = seeds + many, events + more, operations + asked, done + good
            counts.update(what)
            wrong += found
            for one in found:
                print(f"seed {one.seed}: {one.wrong}", flush=True)
            if len(wrong) >= given.most:
                pool.terminate()
                break
    seconds = time.monotonic() - started
    print(
        f"{seeds} seeds, {events} events, {operations} operations, {done} promises acknowledged, "
        f"{len(wrong)} failures; {seconds:.0f} s with {given.jobs} jobs, "
        f"{60 * seeds / seconds:.0f} seeds a minute"
    )
    print(", ".join(f"{name} {many}" for name, many in sorted(counts.items())))
    if wrong and (given.shrink or given.trace):
        failing = plan(wrong[0].seed, given.beyond)
        print("\n".join(told(shrink(failing) if given.shrink else failing)))
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(main())

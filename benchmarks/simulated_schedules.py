"""Simulated control nodes in trouble: `python -m benchmarks.simulated_schedules --seeds 1-1000 --jobs 1`.

One seed is one history. The first failure is shrunk to the fewest troubles that still fail; exit code 1 if
there is one. With `--forgetting` whole nodes forget each dropped item at once. With `--fleet` proxies stand
before the control nodes, and what is judged is when changes are in force at them; failures are not shrunk.
With `--variant NAME` one place of the real classes is broken, with `all` each in its turn. A variant that no
seed finds is tried in its scripted world, if it has one (`simulation/scripts.py`).
"""

from __future__ import annotations

import argparse
import contextlib
import gc
import multiprocessing
import sys
import time
from collections.abc import Callable
from functools import partial

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.simulation import fleet_troubles, variants_fleet, variants_forgetting
from ambershift.system.simulation.forgetting_soon import forgetting_soon
from ambershift.system.simulation.histories import Played, play, play_cluster
from ambershift.system.simulation.scripts import SCRIPTS
from ambershift.system.simulation.shrinking import shrink
from ambershift.system.simulation.variants import BY_NAME, VARIANTS

Player = Callable[[int], Played]
NAMES = {**BY_NAME, **variants_fleet.BY_NAME, **variants_forgetting.BY_NAME}
CHUNK = 5
COLLECTED = 100  # Worlds are full of cycles: collected seldom, all at once.


def of_nodes(seed: int) -> Played:
    return play(seed)


def of_forgetting_nodes(seed: int) -> Played:
    """Of each item that is dropped the drop is forgotten within half a second; two drops are listed."""
    with forgetting_soon():
        return play_cluster(seed)


def of_fleet(seed: int) -> Played:
    """The changes acknowledged count as what was told."""
    found = fleet_troubles.play(seed)
    return Played(found.broken, dict.fromkeys(found.troubles, ""), told=found.acknowledged)


def played(player: Player, seed: int) -> Played:
    """A failure inside is a failure of the seed."""
    if seed % COLLECTED == 0:
        gc.collect()
    try:
        return player(seed)
    except Exception as why:
        return Played([f"failed inside: {why!r}"], {})


def part(player: Player, seeds: range) -> list[tuple[int, int, int, list[str]]]:
    """Of each seed what callers were told, its troubles, and what is broken."""
    gc.disable()
    found = []
    for seed in seeds:
        one = played(player, seed)
        found.append((seed, one.told, len(one.troubles), one.broken))
    return found


def scripted(variant: str) -> bool:
    """Whether its scripted world finds that variant."""
    if variant not in SCRIPTS:
        return False
    with broken(BY_NAME[variant]):
        found = SCRIPTS[variant]()
    words = found[0] if found else "nothing found"
    print(f"{variant}: script {SCRIPTS[variant].__name__}: {words}", flush=True)
    return bool(found)


def schedules(
    first: int, last: int, jobs: int, variant: str, most: int, told: bool, player: Player = of_nodes
) -> int | None:
    """The first seed that fails. In each line: seeds, outcomes, troubles, failures, seconds."""
    started = time.monotonic()
    seeds = outcomes = troubles = 0
    wrong = list[tuple[int, list[str]]]()
    chunks = [range(at, min(at + CHUNK, last + 1)) for at in range(first, last + 1, CHUNK)]
    name = variant or "as it runs"
    with contextlib.ExitStack() as stack:
        if variant:
            stack.enter_context(broken(NAMES[variant]))
        if jobs > 1:
            pool = stack.enter_context(multiprocessing.get_context("fork").Pool(jobs))
            results = pool.imap(partial(part, player), chunks)
        else:
            results = map(partial(part, player), chunks)  # type: ignore[assignment]
        for found in results:
            for seed, some, befell, bad in found:
                seeds, outcomes, troubles = seeds + 1, outcomes + some, troubles + befell
                if bad:
                    wrong.append((seed, bad))
                    if told:
                        print(f"seed {seed}: {'; '.join(bad[:3])}", flush=True)
            if len(wrong) >= most:
                break
        seconds = time.monotonic() - started
        at = wrong[0][0] if wrong else "none"
        print(
            f"{name}: {seeds} seeds, {outcomes} outcomes, {troubles} troubles, {len(wrong)} failures, "
            f"first {at}; {seconds:.0f} s, {jobs} jobs",
            flush=True,
        )
        if not wrong:
            return None
        if told and player is of_nodes:
            print("\n".join(shrink(wrong[0][0])))
        return wrong[0][0]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-1000", help="first-last")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--variant", default="", choices=["", "all", *NAMES])
    parser.add_argument("--fleet", action="store_true", help="proxies before the control nodes")
    parser.add_argument("--forgetting", action="store_true", help="dropped items are forgotten at once")
    parser.add_argument("--most", type=int, default=1, help="stop after so many failures")
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    begin, end = int(first), int(last or first)
    if given.variant == "all":
        missed = [
            one.name
            for one in VARIANTS
            if schedules(begin, end, given.jobs, one.name, 1, False) is None and not scripted(one.name)
        ]
        print(f"{len(VARIANTS) - len(missed)} of {len(VARIANTS)} found; missed: {missed or 'none'}")
        return int(bool(missed))
    player = of_fleet if given.fleet else of_forgetting_nodes if given.forgetting else of_nodes
    found = schedules(begin, end, given.jobs, given.variant, given.most, True, player) is not None
    return int(found or scripted(given.variant))


if __name__ == "__main__":
    sys.exit(main())

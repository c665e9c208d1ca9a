"""Scores against a plain threshold and plain correlation on planted worlds, and what heard state costs.

python -m benchmarks.interference quality|none|sizes [--worlds N]    prints the rows of docs/measurements
"""

from __future__ import annotations

import argparse
import math
import os
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import numpy as np

from ambershift.coordinator.counters.worlds import EPOCH, SLOT_NS, Plan, Plant, World
from ambershift.coordinator.interference.engine import Engine
from ambershift.coordinator.interference.records import Put
from ambershift.coordinator.interference.suspects import BLOCK

SECOND = 1_000_000_000
PLANTS = Plant("batch", "games", 0.08), Plant("crawl", "chat", 0.12)
WEAK = Plant("batch", "games", 0.03), Plant("crawl", "chat", 0.05)
HARD = {"slow": 0.3, "liars": 0.2, "faulty": 0.04}
Pairs = dict[tuple[str, str], int]  # With the slot in which each was accused first.


class Told(NamedTuple):
    wanted: set[tuple[str, str]]
    accused: Pairs


def due(engine: Engine, now: int) -> list[Put]:
    made = engine.due(now)
    while engine.next_at - now < SECOND:
        made += engine.due(now)
    return made


def ours(world: World) -> Pairs:
    engine, accused = Engine("n1"), Pairs()
    for slot in range(world.plan.slots):
        now = (EPOCH + slot + 1) * SLOT_NS + SECOND
        engine.samples(now, world.slot(slot))
        if slot % 6 == 4:
            due(engine, now)
            for score in engine.scores():
                if score.accused:
                    accused.setdefault((score.victim, score.suspect), slot)
    return accused


def neighbours(world: World, job: int) -> list[int]:
    first = job // world.per_node * world.per_node
    return [row for row in range(first, first + world.per_node) if row != job]


def threshold(world: World) -> Pairs:
    """Mean and two deviations of a group on a kind of machine for three minutes of five; the busiest is
    accused. It sees the counters without faults.
    """
    accused = Pairs()
    classes = dict[tuple[str, str], list[int]]()
    for job in range(world.jobs):
        classes.setdefault((world.kind[job], world.group[job]), []).append(job)
    uses = np.nan_to_num(world.uses)
    for end in range(3 * BLOCK, world.plan.slots + 1, BLOCK):
        for jobs in classes.values():
            seen = np.where(uses[jobs, :end] >= 0.25, world.log_cpi[jobs, :end], np.nan)
            if np.isnan(seen).all():
                continue
            limit = np.nanmean(seen) + 2 * np.nanstd(seen)
            for at, job in enumerate(jobs):
                if (seen[at, -BLOCK:].reshape(5, 6) > limit).mean(1).round().sum() >= 3:
                    lately = uses[:, end - BLOCK : end].mean(1)
                    worst = max(neighbours(world, job), key=lately.__getitem__)
                    accused.setdefault((world.group[job], world.group[worst]), end)
    return accused


def correlation(world: World) -> Pairs:
    """Pearson's of CPI and a neighbour's use over the last hour, over 0.35 as CPI squared has it."""
    accused = Pairs()
    for end in range(3 * BLOCK, world.plan.slots + 1, BLOCK):
        start = max(0, end - 12 * BLOCK)
        for job in range(world.jobs):
            for other in neighbours(world, job):
                x, y = world.uses[other, start:end], world.log_cpi[job, start:end]
                both = ~np.isnan(x) & ~np.isnan(world.uses[job, start:end])
                if both.sum() < 3 * BLOCK or x[both].std() == 0.0:
                    continue
                if np.corrcoef(x[both], y[both])[0, 1] > 0.35:
                    accused.setdefault((world.group[job], world.group[other]), end)
    return accused


WAYS: dict[str, Callable[[World], Pairs]] = {
    "scores": ours,
    "plain threshold": threshold,
    "plain correlation": correlation,
}


def one(work: tuple[str, int, Plan]) -> Told:
    way, seed, plan = work
    world = World(seed, plan)
    return Told(world.expected(), WAYS[way](world))


def row(name: str, way: str, told: list[Told]) -> str:
    wanted = sum(len(each.wanted) for each in told)
    right = [slot for each in told for pair, slot in each.accused.items() if pair in each.wanted]
    # A planted pair that meets on one node only is neither asked for nor wrong to accuse.
    planted = {(plant.victim, plant.culprit) for plant in PLANTS} if wanted else set[tuple[str, str]]()
    wrong = [sum(pair not in each.wanted and pair not in planted for pair in each.accused) for each in told]
    share = f"{len(right) / (len(right) + sum(wrong)):.2f}" if right or sum(wrong) else "-"
    return (
        f"| {name} | {way} | {len(told)} | {wanted} | {share} | "
        f"{f'{len(right) / wanted:.2f}' if wanted else '-'} | "
        f"{f'{statistics.median(right) / 6:.0f}' if right else '-'} | {sum(wrong)} | "
        f"{sum(each > 0 for each in wrong) / len(told):.3f} |"
    )


HEAD = (
    "| worlds | way | how many | planted | precision | recall | min to find | wrong | "
    "worlds with a wrong one |"
)


def compare(plans: dict[str, Plan], worlds: int, first: int, ways: list[str], workers: int) -> None:
    print(HEAD + "\n" + "| --- " * 9 + "|")
    with ProcessPoolExecutor(workers) as pool:
        for name, plan in plans.items():
            for way in ways:
                works = [(way, seed, plan) for seed in range(first, first + worlds)]
                print(row(name, way, list(pool.map(one, works))), flush=True)


def sizes() -> None:
    print(
        "| nodes | records | bytes a round | ms to look at all | ms to score | us a sample |\n"
        + "| --- " * 6
        + "|"
    )
    points = list[tuple[int, int, float]]()
    for nodes in (10, 100, 1_000):
        plan = Plan(nodes=nodes, plants=PLANTS, slots=4 * BLOCK + 5)
        world, engine, taking, count = World(1, plan), Engine("n1"), 0.0, 0
        looking, puts = 0.0, list[Put]()
        for slot in range(plan.slots):
            now, samples = (EPOCH + slot + 1) * SLOT_NS + SECOND, world.slot(slot)
            started = time.perf_counter()
            engine.samples(now, samples)
            taking, count = taking + time.perf_counter() - started, count + len(samples)
            if slot % BLOCK == 4:
                engine.next_at = 0
                started = time.perf_counter()
                engine._scored_at = now  # Scoring is timed apart.
                puts = due(engine, now)
                looking = time.perf_counter() - started
        started = time.perf_counter()
        engine.refresh()
        scoring = time.perf_counter() - started
        size = sum(len(put.key) + len(put.body) for put in puts)
        points.append((nodes, size, looking + scoring))
        print(
            f"| {nodes} | {len(puts)} | {size} | {looking * 1e3:.0f} | {scoring * 1e3:.0f} | "
            f"{taking / count * 1e6:.1f} |",
            flush=True,
        )
    (low, small, quick), (high, large, slow) = points[0], points[-1]
    span = math.log(high / low)
    print(
        f"\nExponents over nodes: bytes {math.log(large / small) / span:.2f}, "
        f"time {math.log(slow / quick) / span:.2f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("quality", "large", "none", "sizes"))
    parser.add_argument("--worlds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--workers", type=int, default=2)
    given = parser.parse_args()
    ways = list(WAYS)
    match given.part:
        case "quality":
            compare(
                {
                    "planted": Plan(plants=PLANTS),
                    "planted, hard": Plan(plants=PLANTS, **HARD),
                    "planted, weak": Plan(plants=WEAK),
                },
                given.worlds,
                given.first,
                ways,
                given.workers,
            )
        case "large":
            compare(
                {"100 nodes, hard": Plan(nodes=100, plants=PLANTS, slots=360, **HARD)},
                given.worlds,
                given.first,
                ways,
                given.workers,
            )
        case "none":
            compare(
                {"none planted": Plan(), "none planted, hard": Plan(**HARD)},
                given.worlds,
                given.first,
                ["scores"],
                given.workers,
            )
        case "sizes":
            sizes()


if __name__ == "__main__":
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
    main()

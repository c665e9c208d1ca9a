"""Measures the model checker: `python -m benchmarks.model_checking [--quick]`, from the root."""

from __future__ import annotations

import argparse
import random
import time

from ambershift.modelcheck.explore import Options, Result, explore
from ambershift.modelcheck.mutants import MUTANTS, broken
from ambershift.modelcheck.registry import models
from ambershift.modelcheck.visited import Plain, Runs, Visited


def row(name: str, result: Result) -> str:
    rate = result.states / max(result.seconds, 1e-6)
    return (
        f"| {name} | {result.states} | {result.edges} | {result.depth} | {result.bounded or 'all of it'} | "
        f"{result.seconds:.1f} | {rate:.0f} | {result.bytes_a_state:.1f} | {result.chance:.0e} |"
    )


def all_models(quick: bool, workers: int) -> None:
    print("| model | states | steps | depth | how far | s | states/s | bytes a state | collision at most |")
    print("| --- " * 9 + "|")
    for name in (
        "row",
        "news-small",
        "news",
        "collector",
        "admin",
        "attempt-small",
        "attempt",
        "policy",
        "replication",
        "replication-tokens",
        "replication-folders",
        "permits",
    ):
        most = 20_000 if quick else 400_000
        result = explore(models()[name], Options(workers=workers, states=most, memory_mb=8000))
        assert result.fault is None, result.fault
        print(row(name, result), flush=True)


def reductions(quick: bool) -> None:
    print(
        "\n| model | depth | states with symmetry | without | factor | s with | s without |\n"
        + "| --- " * 7
        + "|"
    )
    for name, full_depth in (("row", 10), ("news", 10), ("collector", 7), ("attempt-small", None)):
        depth = min(full_depth or 8, 7) if quick else full_depth
        with_it, without = (
            explore(models()[name], Options(depth=depth, symmetry=one)) for one in (True, False)
        )
        print(
            f"| {name} | {with_it.depth} | {with_it.states} | {without.states} | "
            f"{without.states / with_it.states:.2f} | {with_it.seconds:.1f} | {without.seconds:.1f} |",
            flush=True,
        )


def ample(quick: bool) -> None:
    print(
        "\n| model | states with ample sets | without | factor | s with | s without |\n" + "| --- " * 6 + "|"
    )
    for name in ("attempt-small", "attempt-one-table"):
        most = 20_000 if quick else None
        with_it, without = (
            explore(models()[name], Options(reduction=one, states=most)) for one in (True, False)
        )
        print(
            f"| {name} | {with_it.states} | {without.states} | {without.states / with_it.states:.2f} | "
            f"{with_it.seconds:.1f} | {without.seconds:.1f} |",
            flush=True,
        )


def scaling(quick: bool) -> None:
    print("\n| workers | row to depth 11, s | states/s | over one worker |\n" + "| --- " * 4 + "|")
    first = 0.0
    for workers in (1, 2, 4, 8):
        result = explore(models()["row"], Options(depth=8 if quick else 11, workers=workers))
        first = first or result.seconds
        print(
            f"| {workers} | {result.seconds:.1f} | {result.states / result.seconds:.0f} | "
            f"{first / result.seconds:.2f} |",
            flush=True,
        )


def sets(quick: bool) -> None:
    print(
        "\n| fingerprints | set | bytes each | s to add, batches of 32,768 | s to look up again |\n"
        + "| --- " * 5
        + "|"
    )
    for count in (10_000, 100_000) if quick else (10_000, 100_000, 1_000_000):
        rng = random.Random(1)
        marks = [rng.getrandbits(128) for _ in range(count)]
        for name, made in (
            ("runs, 128 bits", Runs(128)),
            ("runs, 64 bits", Runs(64)),
            ("Python's set", Plain()),
        ):
            given = [one >> 64 for one in marks] if "64" in name else marks
            held: Visited = made
            took = []
            for _ in range(2):
                started = time.monotonic()
                for at in range(0, count, 1 << 15):
                    held.add(given[at : at + (1 << 15)])
                took.append(time.monotonic() - started)
            print(
                f"| {count} | {name} | {held.nbytes() / count:.0f} | {took[0]:.2f} | {took[1]:.2f} |",
                flush=True,
            )


def mutants() -> None:
    print("\n| mutant | model | property | steps | states | s |\n" + "| --- " * 6 + "|")
    for one in MUTANTS:
        if one.property:
            with broken(one):
                result = explore(models()[one.model], Options())
            assert result.fault is not None, one.name
            assert result.fault.property == one.property, one.name
            print(
                f"| {one.name} | {one.model} | {one.property} | {len(result.fault.places)} | "
                f"{result.states} | "
                f"{result.seconds:.1f} |",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="smaller worlds")
    parser.add_argument("--workers", type=int, default=8)
    given = parser.parse_args()
    all_models(given.quick, given.workers)
    reductions(given.quick)
    ample(given.quick)
    scaling(given.quick)
    sets(given.quick)
    mutants()


if __name__ == "__main__":
    main()

"""Plays the parts, each in a process of its own, and prints tables: `python -m benchmarks.capacity`."""

from __future__ import annotations

import argparse
import importlib
import json
import os
import platform
import subprocess
import sys
import time
from dataclasses import asdict
from pathlib import Path

from benchmarks.capacity import sums
from benchmarks.capacity.meter import exponent, middle, shown, spread
from benchmarks.capacity.world import SIZES

LIMIT_S = 120.0
# The part, what its sizes are told by, how often it is played.
PARTS = {
    "messages": ("backends", 1),
    "proxy": ("backends", 3),
    "registry": ("backends", 3),
    "controller": ("pools times proxies", 3),
    "assigner": ("proxies", 3),
    "copies": ("routes", 3),
    "links": ("links", 1),
    "requests": ("routes", 3),
    "tenants": ("tenants", 3),
}

SPECIAL = {"links": (50, 150, 400), "pools times proxies": (448, 4_488, 41_440)}


def play(part: str, size: int, limit: float) -> dict[str, float]:
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", "--one", part, str(size)],
        stdout=subprocess.PIPE,
        timeout=limit,
        check=True,
    )
    found: dict[str, float] = json.loads(done.stdout)
    return found


def part_of(name: str, times: int) -> dict[str, list[list[float]]]:
    """For each thing measured the values of all plays, a list a size."""
    found: dict[str, list[list[float]]] = {}
    began = time.monotonic()
    for size in range(len(SIZES)):
        for _ in range(times):
            left = LIMIT_S - (time.monotonic() - began)
            for key, value in play(name, size, max(left, 1.0)).items():
                found.setdefault(key, [[] for _ in SIZES])[size].append(value)
    return found


def table(name: str, found: dict[str, list[list[float]]], by: str) -> None:
    sizes = SPECIAL.get(by) or [asdict(size)[by] for size in SIZES]
    print(f"\n## {name}\n\n| what | " + " | ".join(f"{size:,} {by}" for size in sizes) + " | exponent |")
    print("| --- " * (len(SIZES) + 2) + "|")
    for key, values in found.items():
        what, _, unit = key.partition("|")
        mids = [middle(one) for one in values if one]
        told = exponent(sizes, mids) if len(mids) == len(sizes) else "-"
        cells = [spread(one) if one else "" for one in values]
        print(f"| {what}, {unit} | " + " | ".join(cells) + f" | {told} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="PART", help=f"of {', '.join(PARTS)}; none: all")
    parser.add_argument("--quick", action="store_true", help="each part once")
    parser.add_argument("--saved", type=Path, metavar="FILE", help="keep medians there, and use those kept")
    parser.add_argument("--one", nargs=2, metavar=("PART", "SIZE"), help=argparse.SUPPRESS)
    asked = parser.parse_args()
    if asked.one:
        part, size = asked.one
        module = importlib.import_module(f"benchmarks.capacity.{part}")
        json.dump(module.play(SIZES[int(size)]), sys.stdout)
        return
    if unknown := set(asked.parts) - PARTS.keys():
        parser.error(f"no such part: {', '.join(sorted(unknown))}")
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}, load {os.getloadavg()[0]:.1f}")
    every: dict[str, dict[str, list[float]]] = {}
    if asked.saved and asked.saved.exists():
        every = json.loads(asked.saved.read_text())
    for name in asked.parts or PARTS:
        by, times = PARTS[name]
        began = time.monotonic()
        found = part_of(name, 1 if asked.quick else times)
        table(name, found, by)
        every[name] = {key: [middle(one) for one in values] for key, values in found.items()}
        if asked.saved:
            asked.saved.write_text(json.dumps(every, indent=1))
        print(f"\n{name}: {shown(time.monotonic() - began)} s", flush=True)
    if every.keys() >= PARTS.keys():
        sums.tell(every)


if __name__ == "__main__":
    main()

"""Digests of all that simulated clusters send, write and answer: `python -m benchmarks.behaviour_digest`.

Two versions of the code with equal digests did the same, byte by byte and at the same simulated times. Of
each seed the SHA-256 takes every message between machines as encoded, every transaction's rows, every answer
to a caller (HTTP status, headers and body; plain values of the store's outcomes), and the numbers of log
events. No name of a class, field, function or file of Python goes into it.

    --seeds 1-20 --kind control        prints one line a seed: kind, seed, digest, messages, writes, answers
    --write FILE                       writes these lines to FILE
    --check FILE                       plays what FILE lists (of --kind and --seeds, if given), compares; exit
                                       code 1 if one differs
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import hashlib
import multiprocessing
import random
import secrets
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec

from ambershift.system.simulation.observing import observed
from benchmarks.simulated_schedules import of_fleet, of_forgetting_nodes, of_nodes

PLAYERS = {"control": of_nodes, "fleet": of_fleet, "forgetting": of_forgetting_nodes}
DEFAULT_SEEDS = {"control": range(1, 201), "fleet": range(1, 101), "forgetting": range(1, 101)}
COUNTED = ("send", "write", "answer")
HEADING = "# By benchmarks/behaviour_digest.py: kind, seed, SHA-256, messages, writes, answers."
Case = tuple[str, int]
"""A kind and a seed."""


class Digest:
    """An observer of one seed's history that hashes what it is shown."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        self._hash = hashlib.sha256()
        self._types: dict[type, int] = {}
        self._encode = msgspec.msgpack.Encoder().encode

    def __call__(self, kind: str, time_ns: int, values: tuple[Any, ...]) -> None:
        """Take one event."""
        self.counts[kind] += 1
        self._hash.update(self._encode((kind, time_ns, self._plain(values))))

    def _plain(self, value: Any) -> Any:
        """The value without names: of an object the number of its class, by first appearance, and fields."""
        if value is None or isinstance(value, (bool, int, float, str, bytes)):
            return value
        if isinstance(value, (tuple, list)):
            return [self._plain(one) for one in value]
        if isinstance(value, dict):
            return [[self._plain(key), self._plain(one)] for key, one in value.items()]
        if isinstance(value, (set, frozenset)):
            return sorted(self._encode(self._plain(one)) for one in value)
        number = self._types.setdefault(type(value), len(self._types))
        if isinstance(value, msgspec.Struct):
            names: Iterable[str] = value.__struct_fields__
        elif dataclasses.is_dataclass(value):
            names = [one.name for one in dataclasses.fields(value)]
        else:
            raise TypeError(f"an observed value of {type(value)} has no form without names")
        return [number, *(self._plain(getattr(value, name)) for name in names)]

    def line(self, kind: str, seed: int) -> str:
        """One line of the file of digests."""
        counts = " ".join(str(self.counts[one]) for one in COUNTED)
        return f"{kind} {seed} {self._hash.hexdigest()} {counts}"


def played(case: Case) -> str:
    """Play one seed and return its line.

    The garbage collector stands still meanwhile, as it may end coroutines of simulated processes at any time.
    A proxy's incarnation comes from `secrets`, even in a simulation, so that module's bytes are by the seed.
    """
    kind, seed = case
    digest = Digest()
    token_bytes = random.Random(f"{seed} secrets").randbytes
    gc.collect()
    gc.disable()
    try:
        with patch.object(secrets, "token_bytes", token_bytes), observed(digest):
            found = PLAYERS[kind](seed)
            digest("log", 0, (len(found.broken), len(found.troubles), found.told))
    finally:
        gc.enable()
    return digest.line(kind, seed)


def lines_of(cases: list[Case], processes: int) -> Iterator[str]:
    """The lines of these cases, in order, played by so many processes."""
    if processes > 1:
        with multiprocessing.get_context("spawn").Pool(processes) as pool:
            yield from pool.imap(played, cases)
    else:
        yield from map(played, cases)


def read(path: Path) -> dict[Case, str]:
    """The lines of a file of digests by kind and seed; lines that begin with # are comments."""
    lines = [one for one in path.read_text().splitlines() if one and not one.startswith("#")]
    return {(kind, int(seed)): one for one in lines for kind, seed in [one.split()[:2]]}


def main() -> int:
    """Play, print, and compare or write."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", default="", help="first-last")
    parser.add_argument("--kind", choices=[*PLAYERS], action="append", help="may be repeated; default: all")
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--check", type=Path, metavar="FILE")
    parser.add_argument("--write", type=Path, metavar="FILE")
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    asked = range(int(first), int(last or first) + 1) if first else None
    kinds = given.kind or list(PLAYERS)
    known = read(given.check) if given.check else {}
    if given.check:
        cases = [one for one in known if one[0] in kinds and (asked is None or one[1] in asked)]
    else:
        cases = [(kind, seed) for kind in kinds for seed in (asked or DEFAULT_SEEDS[kind])]
    if not cases:
        parser.error("nothing to play")
    started, lines, differ = time.monotonic(), list[str](), 0
    for case, line in zip(cases, lines_of(cases, given.processes), strict=True):
        lines.append(line)
        if not given.check:
            print(line, flush=True)
        elif line != known[case]:
            differ += 1
            print(f"differs: {known[case]}\n    now: {line}", flush=True)
    seconds = time.monotonic() - started
    print(f"{len(cases)} seeds, {differ} differ; {seconds:.0f} s, {given.processes} processes")
    if given.write:
        given.write.write_text("".join(f"{one}\n" for one in [HEADING, *lines]))
    return int(differ > 0)


if __name__ == "__main__":
    sys.exit(main())

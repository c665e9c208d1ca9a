"""How old the configuration of simulated proxies gets: `python -m benchmarks.configuration_age`.

For each number of proxies before nine control nodes: the age that proxies know of in a storm of changes; then
two control nodes are cut off for six seconds. Beside the code as it runs, in the same run, the plain way: a
node tells whether it is in touch, and proxies go by that word (`node-judged-by-its-word`).
"""

from __future__ import annotations

import argparse
import contextlib
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.messages import codec, proxy_link
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.simulation.fleet_history import Judge, Storm
from ambershift.system.simulation.variants_fleet import BY_NAME
from ambershift.system.state_machine import NS_PER_SECOND

NODES, GAP_S, SETTLE_S, SPAN_S, CUT_S = 9, 0.27, 8.0, 8.0, 6.0
APART = ("10.0.0.1", "10.0.0.4")  # Two of one region, each alone.
PLAIN = "node-judged-by-its-word"


@dataclass
class Figures:
    """Ages in seconds; `lacked`: how long any proxy lacked what was acknowledged, at the most."""

    ages: list[float] = field(default_factory=list)
    dials: int = 0
    lacked: float = 0.0
    late: int = 0
    took: float = 0.0

    def age(self, share: float) -> float:
        return sorted(self.ages)[int(share * (len(self.ages) - 1))]


@contextlib.contextmanager
def way(name: str) -> Iterator[None]:
    with broken(BY_NAME[name]) if name else contextlib.nullcontext():
        yield


def measure(proxies: int, seed: int) -> Figures:
    began = time.monotonic()
    fleet = Fleet(seed, NODES, proxies)
    streets = Streets(fleet, seed)
    storm = Storm(fleet, streets, GAP_S)
    judge = Judge(fleet, storm)
    with streets.loop.current():
        streets.loop.create_task(storm.begin())
    fleet.run(SETTLE_S)
    end = fleet.now + int((SPAN_S + CUT_S + SETTLE_S) * NS_PER_SECOND)
    with streets.loop.current():
        streets.loop.create_task(storm.run(lambda: fleet.now > end))
    found = Figures()
    for _ in range(int(SPAN_S / 0.1)):
        fleet.run(0.1)
        for name, front in fleet.fronts.items():
            if (proved := front.attachment.selector.proven_as_of) is not None:
                found.ages.append((fleet.steady(name) - proved) / NS_PER_SECOND)
    before = fleet.dialled
    links = {(a, b) for a in fleet.boxes for b in fleet.boxes if a != b and (a in APART or b in APART)}
    judge.disturb(*fleet.boxes)
    judge.longest.clear()
    fleet.cut |= links
    fleet.run(CUT_S)
    fleet.cut -= links
    judge.disturb(*fleet.boxes)
    fleet.run(SETTLE_S)
    found.dials = fleet.dialled - before
    found.lacked = max(judge.longest.values(), default=0) / NS_PER_SECOND
    found.late, found.took = len(judge.late), time.monotonic() - began
    return found


def signs() -> str:
    """What a sign takes on a link, in bytes without its frame."""
    cores = tuple(
        proxy_link.ControlNodeAddress(f"10.{at}.0.20", f"szolnok-{at}", "szolnok") for at in range(NODES)
    )
    whole, short = (
        len(codec.encode(proxy_link.ControlNodeHeartbeat(some, True, 70, 300))) for some in (cores, ())
    )
    return f"a sign: {short} bytes, with the list of {NODES} control nodes {whole}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[9, 90, 900])
    parser.add_argument("--seeds", type=int, default=3, help="runs of each")
    given = parser.parse_args()
    print(signs())
    print("| proxies | way | seed | age p50, s | p99 | most | lacked most, s | late | dials | took, s |")
    print("| --- " * 10 + "|")
    for proxies in given.proxies:
        for seed in range(1, given.seeds + 1):
            for name in ("", PLAIN):
                with way(name):
                    one = measure(proxies, seed)
                ages = " | ".join(f"{one.age(share):.2f}" for share in (0.5, 0.99, 1))
                print(
                    f"| {proxies} | {name or 'as it runs'} | {seed} | {ages} | {one.lacked:.2f} "
                    f"| {one.late} | {one.dials} | {one.took:.0f} |",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Measures the replica: `python -m benchmarks.replication [--quick]`, from the root. No sockets, no disk.

CPU a promise and a step by number of members, every message packed and read again; simulated time without a
leader after a kill, a cut and a stop; what it takes to catch up by size of state; the pause of a snapshot.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections import deque
from typing import Any

from ambershift.coordinator.replication.messages import decode, encode
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, MS
from ambershift.coordinator.replication.types import Answer, Entry, Send, Status, Write
from tests.support.simulated_replicas import SECOND, WALL, CountingMachine, Simulation


class Bulky(CountingMachine):
    """A state of so many bytes, which takes no time to change."""

    def __init__(self, size: int) -> None:
        self.size = size

    def apply(self, state: tuple[int, int], entry: Entry) -> tuple[tuple[int, int], bytes]:
        return (state[0] + 1, 0), b"Done."

    def pack(self, state: tuple[int, int]) -> bytes:
        return super().pack(state).ljust(self.size)


class Direct:
    """Members in one process; each message is packed, and read where it arrives. Syncs are told at once."""

    def __init__(self, count: int, disk: bool, machine: CountingMachine | None = None) -> None:
        names = [f"n{index}" for index in range(count)]
        self.names, machine = names, machine or Bulky(0)
        self.members = {
            name: Replica(name, names, [], machine, 1, 1 + index, None, disk, noop=b"-")
            for index, name in enumerate(names)
        }
        self.now, self.answers, self.sent, self.queue = 0, 0, 0, deque[tuple[str, str, bytes]]()
        self.steps: list[int] = []
        for _ in range(100):
            self.now += 10 * MS
            for name in names:
                self.call(name, "tick", self.now, WALL)
            self.pump()

    def call(self, name: str, what: str, *given: Any) -> None:
        began = time.perf_counter_ns()
        effects = getattr(self.members[name], what)(*given)
        self.steps.append(time.perf_counter_ns() - began)
        for effect in effects:
            if isinstance(effect, Send):
                data = encode(effect.message)
                self.sent += len(data)
                self.queue.append((name, effect.to, data))
            elif isinstance(effect, Write):
                self.call(name, "write_synced", self.now, effect.ticket)
            elif isinstance(effect, Answer):
                assert effect.reason is None
                self.answers += 1

    def submit(self, ticket: int) -> None:
        self.call("n0", "submit", self.now, WALL, ticket, f"t{ticket}", b"x" * 120, self.now + SECOND)

    def pump(self) -> None:
        while self.queue:
            source, to, data = self.queue.popleft()
            if to in self.members:
                self.call(to, "receive", self.now, source, decode(data))


def promises(count: int, disk: bool, burst: int, rounds: int) -> str:
    net = Direct(count, disk)
    net.steps.clear()
    net.sent = 0
    began = time.process_time()
    for turn in range(rounds):
        net.now += MS
        for index in range(burst):
            net.submit(turn * burst + index)
        net.pump()
        net.call("n0", "tick", net.now, WALL)
        net.pump()
    spent = time.process_time() - began
    assert net.answers == burst * rounds, net.answers
    steps = sorted(net.steps)
    middle, high = steps[len(steps) // 2], steps[len(steps) * 99 // 100]
    return (
        f"| {count} | {'yes' if disk else 'no'} | {burst} | {spent / net.answers * 1e6:.0f} | "
        f"{net.answers / spent:,.0f} | {net.sent / net.answers:,.0f} | {middle / 1e3:.0f} | "
        f"{high / 1e3:.0f} |"
    )


def without_leader(kind: str, voters: int, seeds: int) -> str:
    gaps = []
    for seed in range(seeds):
        sim = Simulation(seed, voters, tuning=DEFAULT_TUNING)
        for name in sim.hosts:
            sim.start(name)
        sim.run(SECOND + sim.random.randint(0, 100) * MS)
        old = next(name for name, host in sim.hosts.items() if host.replica and host.replica.leader == name)
        others = [name for name in sim.voters if name != old]
        if kind.startswith("kill"):
            sim.crash(old, tell=kind != "kill, link not told")
            if kind == "kill, back at once":
                sim.start(old)
        elif kind == "stop":
            sim.pause(old)
        else:
            sim.cuts = {pair for other in others for pair in ((old, other), (other, old))}
        began = sim.now
        ticket = sim.submit(others[0], "a", b"x", 10 * SECOND)
        while ticket in sim.waiting:
            sim.run(MS)
        gaps.append((sim.now - began) / MS)
    gaps.sort()
    return f"| {kind} | {voters} | {statistics.median(gaps):.0f} | {gaps[len(gaps) * 99 // 100]:.0f} |"


def catch_up(size: int) -> str:
    machine = Bulky(size)
    net = Direct(3, False, machine)
    for index in range(DEFAULT_TUNING.snapshot_interval_entries + 100):
        net.now += MS
        net.submit(index)
        net.pump()
    slow = max(net.steps) / MS
    net.members["n2"] = Replica("n2", net.names, [], machine, 1, 99, None, False, now=net.now, noop=b"-")
    net.steps.clear()
    net.sent, began = 0, time.process_time()
    late, head = net.members["n2"], net.members["n0"]
    while late.status is not Status.NORMAL or late.committed < head.committed:
        net.now += 10 * MS
        for name in net.names:
            net.call(name, "tick", net.now, WALL)
        net.pump()
    spent = time.process_time() - began
    entries = len(net.members["n0"].core.log.entries)
    return (
        f"| {size / 1e6:.1f} | {slow:.1f} | {entries:,} | {net.sent / 1e6:.1f} | {spent * 1e3:.0f} | "
        f"{max(net.steps) / MS:.1f} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    print(
        "| members | disk | at once | CPU us a promise, all members | promises a CPU second "
        "| bytes a promise | step us (median) | p99 |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for count in (1, 3) if quick else (1, 3, 5, 7):
        for disk in (False, True):
            for burst in (1, 32):
                print(promises(count, disk, burst, 20 if quick else 400), flush=True)
    print("\n| fault | voters | until a promise stands again, ms (median) | p99 |\n| --- | --- | --- | --- |")
    for kind in ("kill", "kill, link not told", "kill, back at once", "cut", "stop"):
        for voters in (3,) if quick else (3, 5):
            print(without_leader(kind, voters, 5 if quick else 100), flush=True)
    print(
        "\n| state MB | snapshot's step ms | entries beside | MB sent to recover one | CPU ms, all members "
        "| longest step ms |\n| --- | --- | --- | --- | --- | --- |"
    )
    for size in (0, 100_000) if quick else (0, 100_000, 1_000_000, 10_000_000):
        print(catch_up(size), flush=True)


if __name__ == "__main__":
    main()

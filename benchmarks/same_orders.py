"""Compares two forms of the decision module order by order: `python -m benchmarks.same_orders OLD [NEW]`.

OLD and NEW are commits of this repository, or `.` for the checkout; both are given the same events, and of
each step the orders must be the same to the byte. Events are drawn: days in worlds of different terms, with a
plain model of the channel that carries the orders out. `--tests` also plays what reaches the module while
tests of this repository run; `--values` changes each tuned value of NEW in turn and tells which of the
changes no drawn day shows.
"""

from __future__ import annotations

import argparse
import contextlib
import importlib
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import ambershift
from ambershift import interface as api
from benchmarks.fleet_beat import unpack
from tests.support import policy_model

ROOT = Path(__file__).parent.parent

S, MS = 1_000_000_000, 1_000_000


def policy_at(revision: str) -> dict[str, ModuleType]:
    """The modules of `ambershift.policy` as they are at a commit, beside the interface of this checkout."""
    place = str(ROOT / "ambershift")
    if revision != ".":
        place = tempfile.mkdtemp() + "/ambershift"
        unpack(revision, str(Path(place).parent))
    before, path = loaded(), ambershift.__path__
    ambershift.__path__ = [place]
    for name in before:
        del sys.modules[name]
    try:
        importlib.import_module("ambershift.policy")
        return loaded()
    finally:
        for name in loaded():
            del sys.modules[name]
        sys.modules.update(before)
        ambershift.__path__ = path


def loaded() -> dict[str, ModuleType]:
    return {name: one for name, one in sys.modules.items() if f"{name}.".startswith("ambershift.policy.")}


class DifferError(Exception):
    pass


class Both:
    """Stands for the module in the model: both forms take the steps, and their orders are compared."""

    forms: tuple[Any, ...] = ()
    events, orders, steps = Counter[str](), Counter[str](), 0

    def __init__(self) -> None:
        self.pair = [form() for form in self.forms]

    def step(self, now: int, events: list[api.Event]) -> list[api.Order]:
        told = [outcome(one, now, events) for one in self.pair]
        Both.steps += 1
        Both.events.update(type(event).__name__ for event in events)
        Both.orders.update(type(order).__name__ for order in told[0][0])
        if told[0][1] != told[1][1]:
            raise DifferError(f"at {now} on {events}:\n  {told[0][1]}\n  {told[1][1]}")
        return told[0][0]


def outcome(module: Any, now: int, events: list[api.Event]) -> tuple[list[api.Order], bytes]:
    orders = module.step(now, events)
    return orders, repr(orders).encode()


class World(policy_model.Plain):
    """The plain model without its complaints: drawn days are worse than any that the rules hold for."""

    def check(self) -> None:
        pass

    def carry_out(self, order: api.Order) -> list[int]:
        if isinstance(order, api.Share):  # A slice may be held by a server that was never listed.
            self.listed.setdefault(order.server, policy_model.entry(order.server, 0, api.Phase.GONE))
        return super().carry_out(order)


TERMS: dict[str, dict[str, Any]] = {
    "two zones": {},
    "one zone, small grace": {"zones": 1, "grace": S, "way_most": S // 10, "levels": "silent"},
    "no message limit, no levels": {"zones": 3, "message_limit": 0, "levels": "silent", "strikes": 0},
    "only draining binds": {"zones": 4, "only_draining_binds": True, "must_watch": True},
    "groups of many kinds": {
        "groups": tuple(policy_model.group(utility=1.0 + at % 3, budget=S // (1 + at)) for at in range(5))
    },
    "slow channel": {"lines_per_s": 60.0, "waiting_limit": 120.0, "message_limit": 6, "cold": 0},
    "slices": {"slices": 8, "zones": 2},
    "slices of single owners": {"slices": 12, "single_owner": True, "message_limit": 0},
    "parts of zones": {
        "zones": 4, "proxies": 140.0, "message_limit": 0, "lines_per_s": 1200.0, "waiting_limit": 12_800.0,
        "grace": 12 * S, "cold": 17 * S, "strikes": 5,
    },
    "parts, many zones, none avoids": {
        "zones": 6, "proxies": 300.0, "message_limit": 0, "waiting_limit": 29_000.0, "strikes": 40,
        "grace": 30 * S, "only_draining_binds": True, "must_watch": True,
    },
}  # fmt: skip
LARGE = ("parts of zones", "parts, many zones, none avoids")


class Day:
    """Draws what happens: moods of servers and of ways between zones that last a while, and changes."""

    def __init__(self, name: str, seed: int) -> None:
        self.rng = rng = random.Random(f"{name} {seed}")
        large = name in LARGE
        self.servers, self.crowd = rng.randint(40, 130) if large else rng.randint(1, 24), 140 if large else 12
        self.terms = policy_model.make_terms(**TERMS[name])
        self.tries = rng.choice([3, 15, 40])
        self.world = World(self.terms, [self.entry(index) for index in range(self.servers)], 100 * S)
        self.mood: dict[Any, tuple[float, int]] = {}

    def entry(self, index: int, phase: api.Phase = api.Phase.READY, since: int = 0) -> api.Entry:
        zone = -1 if self.rng.random() < 0.002 else index % self.terms.zones
        weight = self.rng.choice([0.0, 0.5]) if self.rng.random() < 0.01 else 1.0 + index % 3
        return api.Entry(index, zone, phase, weight, since)

    def moods(self) -> None:
        rng, zones = self.rng, range(self.terms.zones)
        self.mood = {key: one for key, one in self.mood.items() if rng.random() < 0.9}
        share, ms = rng.choice([0.3, 0.7, 1.0]), rng.choice([0, 90, 250, 320, 600])
        if rng.random() < 0.1:
            chosen = rng.sample(range(self.servers), min(self.servers, rng.randint(1, 4)))
            self.mood |= {index: (share, ms) for index in chosen}
        if rng.random() < 0.04:
            self.mood[rng.choice(zones), rng.choice(zones)] = share, ms
        if rng.random() < 0.04:
            self.mood |= {(near, rng.choice(zones)): (1.0, 0) for near in zones}
        if rng.random() < 0.04:
            self.mood["all"] = rng.choice([0.0, 0.15, 0.5]), rng.choice([200, 270, 400, 900])

    def met(self) -> list[api.Event]:
        rng, found = self.rng, list[api.Event]()
        for _ in range(rng.choice([0, 4, 16, 30])):
            server, near = rng.randrange(self.servers + 1), rng.randrange(self.terms.zones)
            ways = server, (near, server % self.terms.zones), "all"
            share, ms = max((self.mood[way] for way in ways if way in self.mood), default=(0.01, 100))
            tries = rng.randrange(self.tries)
            bad = sum(rng.random() < share for _ in range(tries))
            span = rng.choice([S // 2, S, S, 2 * S, 5 * S]) if rng.random() < 0.1 else S
            found.append(api.Met(near, server, tries, bad, ms * MS + rng.randrange(MS), span, ()))
        return found

    def joins(self) -> list[api.Event]:
        rng, found = self.rng, list[api.Event]()
        for _ in range(rng.choice([0, 0, 1, 3, self.crowd]) if rng.random() < 0.2 else 0):
            proxy = rng.randrange(self.crowd)
            zone = -1 if rng.random() < 0.005 else proxy % self.terms.zones
            found.append(
                api.Left(proxy)
                if rng.random() < 0.4
                else api.Joined(proxy, zone, rng.choice([0.0, 1.0, 5.0]), True)
            )
        return found

    def lists(self) -> list[api.Event]:
        rng, found = self.rng, list[api.Event]()
        if rng.random() < 0.12:
            new = rng.choice([0, 0, 0, 1, self.servers // 8])
            self.servers += new if self.servers < 200 else 0
            most = min(self.servers, rng.choice([1, 2, 3, self.servers // 3]))
            chosen = rng.sample(range(self.servers), most)
            phase = rng.choice(list(api.Phase))
            entries = tuple(self.entry(index, phase, rng.choice([0, self.world.now])) for index in chosen)
            found.append(api.Listed(False, rng.random() < 0.1, entries))
        if rng.random() < 0.02:
            some = [index for index in range(self.servers) if rng.random() < rng.choice([0.0, 0.8, 1.0])]
            found.append(api.Listed(True, rng.random() < 0.3, tuple(self.entry(index) for index in some)))
        return found + [api.ListFailed()] * (rng.random() < 0.03)

    def odd(self) -> list[api.Event]:
        """Slices come and go; answers to marks are lost, late and made up; what the module does not heed."""
        rng, world = self.rng, self.world
        found = list[api.Event]()
        if rng.random() < 0.05:
            found.append(api.Applied(rng.randrange(60), S, rng.randrange(self.crowd)))
        if world.way and rng.random() < 0.05:
            del world.way[: rng.randrange(len(world.way))]
        for number in range(self.terms.slices):
            if rng.random() < 0.03:
                found.append(api.Given(number) if rng.random() < 0.5 else api.Taken(number))
                if isinstance(found[-1], api.Given) and rng.random() < 0.6:
                    found.append(api.Held(number, rng.randrange(self.servers), 1.0))
        if rng.random() < 0.02:
            found += [
                api.Due(0),
                api.Left(9999),
                api.Usage(9999, 0, 1, 0, S),
                api.Probed(0, True, 1, ()),
                api.Mail(1, b""),
                api.Heat(0, 0, 1, 0, S),
            ]
        return found

    def play(self, rounds: int) -> None:
        rng, world = self.rng, self.world
        for _ in range(rounds):
            self.moods()
            usage = [
                api.Usage(rng.randrange(self.crowd), 0, rng.randrange(20), 0, rng.choice([S, S, 5 * S]))
                for _ in range(rng.choice([0, 4, 12]))
            ]
            events = [*self.joins(), *self.lists(), *self.met(), *usage, *self.odd()]
            if rng.random() < 0.3:
                world.tell(*events)  # Between two wakes.
                events = []
            world.run(rng.choice([S // 10, S // 10, S // 2, S, 2 * S]), *events)
            if rng.random() < 0.001:
                world.run(310 * S)
            if rng.random() < 0.002:
                world.wakes.clear()
                world.tell(api.Born(rng.randrange(1 << 30), self.terms))


def drawn(events: int, seed: int, rounds: int) -> Iterator[str]:
    """Plays days until so many events have passed; tells the name of each."""
    start = Both.events.total()
    while True:
        for name in TERMS:
            Day(name, seed).play(rounds)
            yield f"{name}, seed {seed}"
            if Both.events.total() >= start + events:
                return
        seed += 1


def use(old: dict[str, ModuleType], new: dict[str, ModuleType]) -> None:
    Both.forms = tuple(one["ambershift.policy"].TableManager for one in (old, new))
    policy_model.TableManager = Both  # The name that the model starts its module by.


def recorded(tests: list[str]) -> list[list[tuple[int, list[api.Event]]]]:
    """Runs tests with a tap on the module; gives what reached each instance, step by step."""
    import pytest

    from ambershift.policy import TableManager

    real, found = TableManager.step, list[list[tuple[int, list[api.Event]]]]()
    rows = dict[int, tuple[Any, list[tuple[int, list[api.Event]]]]]()

    def step(self: TableManager, now: int, events: Any) -> list[api.Order]:
        if id(self) not in rows:  # Also keeps the module, lest another get its id.
            rows[id(self)] = self, []
            found.append(rows[id(self)][1])
        rows[id(self)][1].append((now, list(events)))
        return real(self, now, events)

    TableManager.step = step  # type: ignore[method-assign]
    try:
        if code := pytest.main(["-q", "-n", "0", "-p", "no:cacheprovider", *tests]):
            raise SystemExit(f"the tests to record from failed: {code}")
    finally:
        TableManager.step = real  # type: ignore[method-assign]
    return found


def values(package: dict[str, ModuleType]) -> list[str]:
    return sorted(
        {
            name
            for module in package.values()
            for name, one in vars(module).items()
            if name.isupper() and isinstance(one, int | float)
        }
    )


@contextlib.contextmanager
def changed(package: dict[str, ModuleType], name: str) -> Iterator[None]:
    """A value changed wherever it was imported to; what was computed from it on import stays."""
    owners = [(module, getattr(module, name)) for module in package.values() if hasattr(module, name)]
    for module, real in owners:
        setattr(module, name, type(real)(real * 1.5) + (real in (1, -1)))
    try:
        yield
    finally:
        for module, real in owners:
            setattr(module, name, real)


def shown(new: dict[str, ModuleType], name: str, asked: argparse.Namespace) -> str:
    days = 1
    with changed(new, name):
        try:
            for _ in drawn(asked.events, asked.seed, asked.rounds):
                days += 1
        except DifferError:
            return f"seen on day {days}"
        except Exception as error:  # A value that makes the module fail is a difference too.
            return f"seen on day {days}, by {type(error).__name__}"
    return f"seen on none of {days - 1} days"


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, epilog="example: python -m benchmarks.same_orders HEAD~1"
    )
    parser.add_argument("old")
    parser.add_argument("new", nargs="?", default=".")
    parser.add_argument("--events", type=int, default=100_000, help="how many to draw at least")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=150, help="of a day")
    parser.add_argument("--tests", nargs="+", default=[], help="files of tests to record from")
    parser.add_argument("--values", nargs="*", help="change each value, or these: what shows it?")
    asked = parser.parse_args()
    rows = recorded(asked.tests) if asked.tests else []
    old, new = policy_at(asked.old), policy_at(asked.new)
    use(old, new)
    if asked.values is not None:
        for name in asked.values or values(new):
            print(f"{name}: {shown(new, name, asked)}", flush=True)
        return 0
    try:
        for row in rows:
            pair = Both()
            for now, events in row:
                pair.step(now, events)
        if rows:
            print(
                f"recorded: {len(rows)} instances, {Both.steps} steps, {Both.events.total()} events, "
                f"{Both.orders.total()} orders, the same"
            )
        days = sum(1 for _ in drawn(asked.events, asked.seed, asked.rounds))
    except DifferError as error:
        print(f"not the same after {Both.steps} steps, {error}")
        return 1
    print(f"{days} drawn days of {len(TERMS)} terms; in all {Both.steps} steps, the same orders")
    for word, counts in (("events", Both.events), ("orders", Both.orders)):
        told = ", ".join(f"{name} {count}" for name, count in counts.most_common())
        print(f"{word}: {counts.total()} ({told})")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

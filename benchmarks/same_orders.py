"""Compares two forms of the decision module order by order: `python -m benchmarks.same_orders OLD [NEW]`.

OLD and NEW are commits of this repository, or `.` for the checkout; both are given the same events, and of
each step the orders must be the same to the byte. Each form runs with the interface of its own commit: events
and orders are translated by the position of classes in the unions and of fields in classes, and by value, so
that names may differ. Events are drawn: days in worlds of different terms, with a plain model of the channel
that carries the orders out. `--tests` also plays what reaches the module while tests of this repository run;
`--values` changes each tuned value of NEW in turn and tells which of the changes no drawn day shows.
"""

from __future__ import annotations

import argparse
import contextlib
import importlib
import random
import sys
import tempfile
import typing
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from enum import Enum, EnumType
from pathlib import Path
from types import ModuleType
from typing import Any

import ambershift
from ambershift import interface as api
from benchmarks.fleet_beat import unpack
from tests.support import policy_model

ROOT = Path(__file__).parent.parent

S = 1_000_000_000  # Times are ns.
MS = 1_000_000

Types = dict[type, type]


class Form:
    """The decision module as it is at a commit, loaded beside this checkout with an interface of its own.

    Attributes:
        package: The modules of `ambershift.policy`, by name.
        interface: The `ambershift.interface` that these modules import.
    """

    def __init__(self, revision: str) -> None:
        """Load it; `.` stands for the checkout."""
        place = str(ROOT / "ambershift")
        if revision != ".":
            place = tempfile.mkdtemp() + "/ambershift"
            unpack(revision, str(Path(place).parent))
        with own_modules(place) as loaded:
            importlib.import_module("ambershift.policy")
            importlib.import_module("ambershift.interface")
            modules = loaded()
        self.interface = modules["ambershift.interface"]
        self.package = {
            name: one for name, one in modules.items() if f"{name}.".startswith("ambershift.policy.")
        }
        self.types = TypePairs(self.interface)

    def manager(self) -> FormManager:
        """Return an instance that takes events and gives orders in the types of this checkout."""
        return FormManager(self.package["ambershift.policy"].TableManager(), self.types)


class FormManager:
    """Translates events to the types of a form, and its orders back."""

    def __init__(self, module: Any, types: TypePairs) -> None:
        self._module, self._types = module, types

    def step(self, now: int, events: list[api.Event]) -> list[api.Order]:
        """Step the form."""
        orders = self._module.step(now, [translate(event, self._types.to_form) for event in events])
        return [translate(order, self._types.from_form) for order in orders]


@contextlib.contextmanager
def own_modules(place: str) -> Iterator[Callable[[], dict[str, ModuleType]]]:
    """Import `ambershift` from another folder for a while; what is imported then is kept apart."""

    def submodules() -> dict[str, ModuleType]:
        return {name: one for name, one in sys.modules.items() if name.startswith("ambershift.")}

    def attributes() -> dict[str, ModuleType]:
        return {name: one for name, one in vars(ambershift).items() if isinstance(one, ModuleType)}

    before, attributes_before, path = submodules(), attributes(), ambershift.__path__
    for name in before:
        del sys.modules[name]
    for name in attributes_before:  # `from ambershift import interface` would take it from here.
        delattr(ambershift, name)
    ambershift.__path__ = [place]
    try:
        yield submodules
    finally:
        for name in submodules():
            del sys.modules[name]
        for name in attributes():
            delattr(ambershift, name)
        sys.modules.update(before)
        vars(ambershift).update(attributes_before)
        ambershift.__path__ = path


class TypePairs:
    """Pairs the types of this checkout's interface with those of another, both ways.

    Classes are paired by their position in the unions `Event` and `Order`, those nested in them by the
    position of the field; enums by position too, and their values must be the same.

    Raises:
        SystemExit: The two are not built alike.
    """

    def __init__(self, interface: ModuleType) -> None:
        self.to_form, self.from_form, self._interface = Types(), Types(), interface
        self._pair(api.Event, interface.Event)
        self._pair(api.Order, interface.Order)

    def _pair(self, ours: Any, theirs: Any) -> None:
        if hasattr(ours, "_fields") and hasattr(theirs, "_fields"):
            if self._enter(ours, theirs):
                self._pair_all(ours, field_types(ours, api), field_types(theirs, self._interface))
        elif isinstance(ours, EnumType) and isinstance(theirs, EnumType):
            self._enter(ours, theirs)
            if [one.value for one in ours] != [one.value for one in theirs]:
                raise SystemExit(f"{ours.__name__} has other values than {theirs.__name__}")
        elif typing.get_args(ours) and typing.get_origin(ours) is typing.get_origin(theirs):
            self._pair_all(ours, typing.get_args(ours), typing.get_args(theirs))
        elif ours is not theirs:
            raise SystemExit(f"{ours} of this interface has {theirs} in its place in the other")

    def _enter(self, ours: Any, theirs: Any) -> bool:
        """Return whether the pair is new."""
        is_new = ours not in self.to_form and theirs not in self.from_form
        if is_new:
            self.to_form[ours], self.from_form[theirs] = theirs, ours
        elif self.to_form.get(ours) is not theirs:
            raise SystemExit(f"{ours.__name__} and {theirs.__name__} do not always stand in the same places")
        return is_new

    def _pair_all(self, place: Any, ours: Sequence[Any], theirs: Sequence[Any]) -> None:
        if len(ours) != len(theirs):
            raise SystemExit(f"{place} has {len(ours)} parts, {len(theirs)} in the other interface")
        for one, other in zip(ours, theirs, strict=True):
            self._pair(one, other)


def field_types(record: Any, interface: ModuleType) -> list[Any]:
    """Return the types of a class's fields, in order."""
    hints = typing.get_type_hints(record, globalns=vars(interface))
    return [hints[name] for name in record._fields]


def translate(value: Any, types: Types) -> Any:
    """Return a value with each record and enum member in it as the paired type; all else stays as it is."""
    kind = type(value)
    if kind is tuple:
        return tuple([translate(one, types) for one in value])
    other = types.get(kind)
    if other is None:
        return value
    if isinstance(value, Enum):
        return other(value.value)
    return other(*[translate(one, types) for one in value])


class DifferError(Exception):
    """The orders of the two forms differ."""


class ComparedModules:
    """Stands for the decision module in the model: both forms take each step, and their orders are compared.

    Attributes:
        forms: The two forms.
        events: How many events of each type there were, in all instances.
        orders: How many orders of each type the first form gave.
        steps: How many steps there were.
    """

    forms: tuple[Form, ...] = ()
    events, orders, steps = Counter[str](), Counter[str](), 0

    def __init__(self) -> None:
        self.pair = [form.manager() for form in self.forms]

    def step(self, now: int, events: list[api.Event]) -> list[api.Order]:
        """Step both forms; returns the first one's orders.

        Raises:
            DifferError: The second one's are others.
        """
        outcomes = [outcome(one, now, events) for one in self.pair]
        ComparedModules.steps += 1
        ComparedModules.events.update(type(event).__name__ for event in events)
        ComparedModules.orders.update(type(order).__name__ for order in outcomes[0][0])
        if outcomes[0][1] != outcomes[1][1]:
            raise DifferError(f"at {now} on {events}:\n  {outcomes[0][1]}\n  {outcomes[1][1]}")
        return outcomes[0][0]


def outcome(module: Any, now: int, events: list[api.Event]) -> tuple[list[api.Order], bytes]:
    """Step a module; returns its orders, and the text by which they are compared, floats exactly."""
    orders = module.step(now, events)
    return orders, repr(orders).encode()


class World(policy_model.PolicyModel):
    """The model of the policy tests without checks: its rules don't hold for days as bad as these."""

    def check(self) -> None:
        """Check nothing."""

    def carry_out(self, order: api.Order) -> list[int]:
        """Carry out an order."""
        if isinstance(order, api.SetWeight):  # A slice may be held by a server that was never listed.
            self.listed.setdefault(order.server, policy_model.entry(order.server, 0, api.Phase.GONE))
        return super().carry_out(order)


# Settings of each world; the names are seeds too, so that another name would draw other days.
TERMS: dict[str, dict[str, Any]] = {
    "two zones": {},
    "one zone, small grace": {
        "zones": 1, "grace": S, "max_propagation_delay": S // 10, "admission_mode": "silent",
    },
    "no message limit, no levels": {
        "zones": 3, "message_limit": 0, "admission_mode": "silent", "avoidance_failures": 0,
    },
    "only draining binds": {"zones": 4, "only_draining_binds": True, "must_watch": True},
    "groups of many kinds": {
        "groups": tuple(policy_model.group(utility=1.0 + at % 3, budget=S // (1 + at)) for at in range(5))
    },
    "slow channel": {"lines_per_s": 60.0, "queue_limit": 120.0, "message_limit": 6, "cold": 0},
    "slices": {"slices": 8, "zones": 2},
    "slices of single owners": {"slices": 12, "single_owner": True, "message_limit": 0},
    "parts of zones": {
        "zones": 4, "expected_proxies": 140.0, "message_limit": 0, "lines_per_s": 1200.0,
        "queue_limit": 12_800.0, "grace": 12 * S, "cold": 17 * S, "avoidance_failures": 5,
    },
    "parts, many zones, none avoids": {
        "zones": 6, "expected_proxies": 300.0, "message_limit": 0, "queue_limit": 29_000.0,
        "avoidance_failures": 40, "grace": 30 * S, "only_draining_binds": True, "must_watch": True,
    },
}  # fmt: skip
LARGE = ("parts of zones", "parts, many zones, none avoids")


class Day:
    """Draws what happens: conditions of servers and of paths between zones, which last a while, and changes.

    Attributes:
        servers: How many servers were listed so far.
        proxies: How many proxies there can be.
        max_attempts: Of a report.
        conditions: Failure rate and mean latency in ms, by server, by path, or of "all" paths.
    """

    def __init__(self, name: str, seed: int) -> None:
        self.rng = rng = random.Random(f"{name} {seed}")
        large = name in LARGE
        self.servers = rng.randint(40, 130) if large else rng.randint(1, 24)
        self.proxies = 140 if large else 12
        self.terms = policy_model.make_terms(**TERMS[name])
        self.max_attempts = rng.choice([3, 15, 40])
        self.world = World(self.terms, [self.entry(index) for index in range(self.servers)], 100 * S)
        self.conditions: dict[Any, tuple[float, int]] = {}

    def entry(self, index: int, phase: api.Phase = api.Phase.READY, since: int = 0) -> api.Entry:
        zone = -1 if self.rng.random() < 0.002 else index % self.terms.zones
        weight = self.rng.choice([0.0, 0.5]) if self.rng.random() < 0.01 else 1.0 + index % 3
        return api.Entry(index, zone, phase, weight, since)

    def change_conditions(self) -> None:
        """End some conditions and begin others."""
        rng, zones = self.rng, range(self.terms.zones)
        self.conditions = {key: one for key, one in self.conditions.items() if rng.random() < 0.9}
        rate, ms = rng.choice([0.3, 0.7, 1.0]), rng.choice([0, 90, 250, 320, 600])
        if rng.random() < 0.1:
            chosen = rng.sample(range(self.servers), min(self.servers, rng.randint(1, 4)))
            self.conditions |= {index: (rate, ms) for index in chosen}
        if rng.random() < 0.04:
            self.conditions[rng.choice(zones), rng.choice(zones)] = rate, ms
        if rng.random() < 0.04:
            self.conditions |= {(proxy_zone, rng.choice(zones)): (1.0, 0) for proxy_zone in zones}
        if rng.random() < 0.04:
            self.conditions["all"] = rng.choice([0.0, 0.15, 0.5]), rng.choice([200, 270, 400, 900])

    def server_reports(self) -> list[api.Event]:
        """Draw reports of servers, by the conditions."""
        rng, found = self.rng, list[api.Event]()
        for _ in range(rng.choice([0, 4, 16, 30])):
            server, proxy_zone = rng.randrange(self.servers + 1), rng.randrange(self.terms.zones)
            places = server, (proxy_zone, server % self.terms.zones), "all"
            rate, ms = max(
                (self.conditions[place] for place in places if place in self.conditions), default=(0.01, 100)
            )
            attempts = rng.randrange(self.max_attempts)
            failures = sum(rng.random() < rate for _ in range(attempts))
            span = rng.choice([S // 2, S, S, 2 * S, 5 * S]) if rng.random() < 0.1 else S
            found.append(
                api.ServerReport(
                    proxy_zone, server, attempts, failures, ms * MS + rng.randrange(MS), span, ()
                )
            )
        return found

    def joins(self) -> list[api.Event]:
        """Draw proxies that join and leave."""
        rng, found = self.rng, list[api.Event]()
        for _ in range(rng.choice([0, 0, 1, 3, self.proxies]) if rng.random() < 0.2 else 0):
            proxy = rng.randrange(self.proxies)
            zone = -1 if rng.random() < 0.005 else proxy % self.terms.zones
            found.append(
                api.Left(proxy)
                if rng.random() < 0.4
                else api.Joined(proxy, zone, rng.choice([0.0, 1.0, 5.0]), True)
            )
        return found

    def lists(self) -> list[api.Event]:
        """Draw changes of the list."""
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

    def unusual_events(self) -> list[api.Event]:
        """Slices come and go; answers to marks are lost, late or made up; events that the module ignores."""
        rng, world = self.rng, self.world
        found = list[api.Event]()
        if rng.random() < 0.05:
            found.append(api.Applied(rng.randrange(60), S, rng.randrange(self.proxies)))
        if world.pending_acks and rng.random() < 0.05:
            del world.pending_acks[: rng.randrange(len(world.pending_acks))]
        for number in range(self.terms.slices):
            if rng.random() < 0.03:
                found.append(api.SliceAssigned(number) if rng.random() < 0.5 else api.SliceRevoked(number))
                if isinstance(found[-1], api.SliceAssigned) and rng.random() < 0.6:
                    found.append(api.SliceRestored(number, rng.randrange(self.servers), 1.0))
        if rng.random() < 0.02:
            found += [
                api.TimerFired(0),
                api.Left(9999),
                api.DemandReport(9999, 0, 1, 0, S),
                api.Probed(0, True, 1, ()),
                api.PeerMessage(1, b""),
                api.SliceLoad(0, 0, 1, 0, S),
            ]
        return found

    def play(self, rounds: int) -> None:
        """Play the day."""
        rng, world = self.rng, self.world
        for _ in range(rounds):
            self.change_conditions()
            demand = [
                api.DemandReport(
                    rng.randrange(self.proxies), 0, rng.randrange(20), 0, rng.choice([S, S, 5 * S])
                )
                for _ in range(rng.choice([0, 4, 12]))
            ]
            events = [*self.joins(), *self.lists(), *self.server_reports(), *demand, *self.unusual_events()]
            if rng.random() < 0.3:
                world.tell(*events)  # Between two timers.
                events = []
            world.run(rng.choice([S // 10, S // 10, S // 2, S, 2 * S]), *events)
            if rng.random() < 0.001:
                world.run(310 * S)
            if rng.random() < 0.002:
                world.timers.clear()
                world.tell(api.Started(rng.randrange(1 << 30), self.terms))


def play_days(events: int, seed: int, rounds: int) -> Iterator[str]:
    """Play days until so many events have passed; yields the name of each."""
    start = ComparedModules.events.total()
    while True:
        for name in TERMS:
            Day(name, seed).play(rounds)
            yield f"{name}, seed {seed}"
            if ComparedModules.events.total() >= start + events:
                return
        seed += 1


def use(old: Form, new: Form) -> None:
    """Let the model run these two forms."""
    ComparedModules.forms = (old, new)
    policy_model.TableManager = ComparedModules  # The model creates its module by this name.


def record_steps(tests: list[str]) -> list[list[tuple[int, list[api.Event]]]]:
    """Run tests while recording; returns time and events of each step of each instance.

    Raises:
        SystemExit: A test failed.
    """
    import pytest

    from ambershift.policy import TableManager

    real, found = TableManager.step, list[list[tuple[int, list[api.Event]]]]()
    instances = dict[int, tuple[Any, list[tuple[int, list[api.Event]]]]]()

    def step(self: TableManager, now: int, events: Any) -> list[api.Order]:
        if id(self) not in instances:  # Keeps the module too, so that no other gets its id.
            instances[id(self)] = self, []
            found.append(instances[id(self)][1])
        instances[id(self)][1].append((now, list(events)))
        return real(self, now, events)

    TableManager.step = step  # type: ignore[method-assign]
    try:
        if code := pytest.main(["-q", "-n", "0", "-p", "no:cacheprovider", *tests]):
            raise SystemExit(f"the tests to record from failed: {code}")
    finally:
        TableManager.step = real  # type: ignore[method-assign]
    return found


def constants(package: dict[str, ModuleType]) -> list[str]:
    """Return the names of the numeric constants of a form."""
    return sorted(
        {
            name
            for module in package.values()
            for name, one in vars(module).items()
            if name.isupper() and isinstance(one, int | float)
        }
    )


@contextlib.contextmanager
def changed_constant(package: dict[str, ModuleType], name: str) -> Iterator[None]:
    """Change a constant in each module that has it; what was computed from it on import stays."""
    owners = [(module, getattr(module, name)) for module in package.values() if hasattr(module, name)]
    for module, real in owners:
        setattr(module, name, type(real)(real * 1.5) + (real in (1, -1)))
    try:
        yield
    finally:
        for module, real in owners:
            setattr(module, name, real)


def first_difference(package: dict[str, ModuleType], name: str, asked: argparse.Namespace) -> str:
    """Say on which day a changed constant shows."""
    days = 1
    with changed_constant(package, name):
        try:
            for _ in play_days(asked.events, asked.seed, asked.rounds):
                days += 1
        except DifferError:
            return f"seen on day {days}"
        except Exception as error:  # A constant that makes the module fail is a difference too.
            return f"seen on day {days}, by {type(error).__name__}"
    return f"seen on none of {days - 1} days"


def main() -> int:
    """Run the comparison; returns the exit status."""
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
    instances = record_steps(asked.tests) if asked.tests else []
    old, new = Form(asked.old), Form(asked.new)
    use(old, new)
    if asked.values is not None:
        for name in asked.values or constants(new.package):
            print(f"{name}: {first_difference(new.package, name, asked)}", flush=True)
        return 0
    try:
        for steps in instances:
            pair = ComparedModules()
            for now, events in steps:
                pair.step(now, events)
        if instances:
            print(
                f"recorded: {len(instances)} instances, {ComparedModules.steps} steps, "
                f"{ComparedModules.events.total()} events, {ComparedModules.orders.total()} orders, the same"
            )
        days = sum(1 for _ in play_days(asked.events, asked.seed, asked.rounds))
    except DifferError as error:
        print(f"not the same after {ComparedModules.steps} steps, {error}")
        return 1
    print(f"{days} drawn days of {len(TERMS)} terms; in all {ComparedModules.steps} steps, the same orders")
    for word, counts in (("events", ComparedModules.events), ("orders", ComparedModules.orders)):
        told = ", ".join(f"{name} {count}" for name, count in counts.most_common())
        print(f"{word}: {counts.total()} ({told})")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

"""One seed, one history: members, network, faults and clients in virtual time, and what came of it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from ambershift.coordinator.groupsim.chance import Chance
from ambershift.coordinator.groupsim.clients import Client
from ambershift.coordinator.groupsim.faults import Faults
from ambershift.coordinator.groupsim.history import Operation
from ambershift.coordinator.groupsim.judge import Judge, WrongError
from ambershift.coordinator.groupsim.network import Network
from ambershift.coordinator.groupsim.plan import CALM_AT, MS, SECOND, Plan, plan
from ambershift.coordinator.groupsim.process import Process

START = 1_700_000_000 * SECOND  # The wall clock when a world begins.
END = CALM_AT + 8 * SECOND
EVENTS_MOST = 200_000


class Verdict(NamedTuple):
    """`wrong` is None where all held, else what did not; `trace` is told only where it was asked for."""

    seed: int
    wrong: str | None
    events: int
    operations: int
    done: int
    trace: tuple[str, ...]
    history: tuple[Operation, ...]
    counts: dict[str, int]


class World:
    def __init__(self, plan: Plan, traced: bool = False) -> None:
        self.plan, self.traced = plan, traced
        self.now, self.order, self.events = 0, 0, 0
        self.line = list[tuple[int, int, Callable[..., None], tuple[Any, ...]]]()
        self.trace = list[str]()
        self.counts = dict[str, int]()
        self.starts = 0
        self.judge = Judge(self)
        self.network = Network(self, Chance(plan.seed, 2))
        self.processes = {
            name: Process(self, name, Chance(plan.seed, 10 + at), plan.drift[at])
            for at, name in enumerate(plan.voters + plan.copies)
        }
        self.faults = Faults(self)
        self.clients = [Client(self, f"u{at}", Chance(plan.seed, 100 + at)) for at in range(plan.clients)]

    def at(self, when: int, what: Callable[..., None], *given: Any) -> None:
        self.order += 1
        heapq.heappush(self.line, (max(when, self.now), self.order, what, given))

    def tell(self, who: str, what: str) -> None:
        if self.traced:
            self.trace.append(f"{self.now / MS:9.2f} {who}: {what}")

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def run(self) -> None:
        for process in self.processes.values():
            process.start()
        for one in self.plan.faults:
            self.at(one.at, self.faults.begin, one)
        for client in self.clients:
            self.at(20 * MS, client.next)
        self.at(CALM_AT, self.calm)
        while self.line and not self.over():
            self.now, _, what, given = heapq.heappop(self.line)
            if self.now > END:
                break
            self.events += 1
            if self.events > EVENTS_MOST:
                raise WrongError("the members never come to rest: messages without end")
            what(*given)
        self.judge.finally_(self)

    def calm(self) -> None:
        """All faults end, and what is asked now must be done within the bound."""
        self.tell("world", "all faults end")
        self.faults.end_all()
        for client in self.clients:
            client.wind_up()

    def over(self) -> bool:
        return self.now > CALM_AT and all(one.finished for one in self.clients) and self.judge.even(self)


def run(plan: Plan, traced: bool = False) -> Verdict:
    """The world to its end; a raised error of the machine is a fault like any other."""
    world, wrong = World(plan, traced), None
    try:
        world.run()
    except WrongError as error:
        wrong = str(error)
    except Exception as error:  # The machines must take whatever the world does.
        wrong = f"raised {error!r}"
        if traced:
            import traceback

            world.trace += traceback.format_exc().splitlines()
    if wrong is not None:
        world.tell("world", f"WRONG: {wrong}")
    return Verdict(
        plan.seed,
        wrong,
        world.events,
        len(world.judge.history),
        world.judge.done,
        tuple(world.trace),
        tuple(world.judge.history),
        world.counts,
    )


def run_seed(seed: int, beyond: bool = False) -> Verdict:
    return run(plan(seed, beyond))

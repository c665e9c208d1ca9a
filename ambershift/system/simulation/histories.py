"""Histories by seed: callers at work among troubles; then all is healed, and what was told is judged."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine
from dataclasses import dataclass
from typing import Any

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.simulation.callers import GROUPS, Application
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.cluster import Cluster
from ambershift.system.simulation.judging import Judge
from ambershift.system.simulation.lists import LISTS, Lists
from ambershift.system.simulation.operator_history import OperatorHistory
from ambershift.system.simulation.operators import Numbers, Operator
from ambershift.system.simulation.readers import Reader
from ambershift.system.simulation.troubles import LEAVING, MIXED, MOVING, Troubles, heal
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

KINDS = (MIXED, MOVING, LEAVING, MOVING)


@dataclass(frozen=True, slots=True)
class Played:
    """What is broken, and the troubles that befell, by their names."""

    broken: list[str]
    troubles: dict[str, str]
    told: int = 0  # How many outcomes callers were told.


def callers(world: Lists) -> None:
    ips = [ip for ip, box in world.boxes.items() if box.replica is not None and box.frozen is None]
    if not ips:
        return
    ip = world.chance.choice(ips)
    if world.chance.random() < 0.6:  # Mostly at the same proposer.
        ip = ips[0]
    kind = world.chance.choice(("append", "append", "read", "touch", "put", "put", "freshen"))
    if kind == "put":
        world.put(ip, f"r{world.chance.randrange(5)}")
    else:
        world.change(kind, ip)


def play_lists(seed: int, seconds: float = 12, skip: Collection[str] = ()) -> Played:
    """A history of lists."""
    world = Lists(seed, loss=(0, 0.01, 0.1)[seed % 3], count=(5, 6, 3, 4, 5)[seed % 5])
    kinds = KINDS[seed % len(KINDS)]
    if seed % 4:
        world.run(2.5)  # Else trouble begins with the founding.
    end = world.now + int(seconds * NS_PER_SECOND)
    troubles = Troubles(world, seed, kinds, skip)
    world.told = lambda: troubles.success() if world.now < end else None
    at = world.now
    while at < end:
        at += world.chance.randrange(20 * NS_PER_MS, 120 * NS_PER_MS)
        world.at(at, lambda: callers(world))
    troubles.plan(end, (1000, 3000)[seed // 2 % 2] * NS_PER_MS)
    world.run(seconds + 4)
    heal(world)
    world.run(4)
    broken = []
    for ip in [ip for ip, box in world.boxes.items() if not box.gone]:
        last = [world.freshen(ip), *(world.change("append", ip, f"list/{index}") for index in range(LISTS))]
        world.run(2)
        broken += [
            f"{op.kind} at {ip} fails though all is well: {op.told!r}"
            for op in last
            if not isinstance(op.told, CallSucceeded)
        ]
    return Played(broken + world.judge(), troubles.happened, len(world.ops))


def play_cluster(seed: int, seconds: float = 8, skip: Collection[str] = ()) -> Played:
    """A history of applications, two operators and a reader, at control nodes whole."""
    cluster = Cluster(seed, loss=(0, 0.01, 0.1)[seed % 3], count=(5, 6, 3, 4, 5)[seed % 5])
    kinds = KINDS[seed % len(KINDS)]
    cluster.run(2.5 if seed % 4 else 0.5)
    end = cluster.now + int(seconds * NS_PER_SECOND)
    troubles = Troubles(cluster, seed, kinds, skip)
    streets, judge, history = Streets(cluster, seed), Judge(), OperatorHistory()
    streets.success = lambda: troubles.success() if cluster.now < end else None
    homes = list(cluster.boxes)
    applications = [Application(f"a{at}", streets, judge, homes[at % len(homes)]) for at in range(8)]
    numbers = Numbers()
    operator, rival = (Operator(streets, history, numbers, first) for first in (True, False))
    reader = Reader(streets, history)

    def over() -> bool:
        return cluster.now >= end

    def go(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        with streets.loop.current():
            return streets.loop.create_task(work)

    tasks = [go(one.run(over)) for one in applications]
    tasks += [go(applications[at].watch(f"g{at % GROUPS}.", over)) for at in range(3)]
    tasks += [go(one.run(over)) for one in (operator, rival, reader)]
    troubles.plan(end, (1000, 3000)[seed // 2 % 2] * NS_PER_MS)
    cluster.run(seconds + 4)
    heal(cluster)
    cluster.run(4)
    _finish(cluster, tasks, 70)
    if seed % 2:  # The day's close: what was acknowledged outlives all processes.
        for ip in [ip for ip, box in cluster.boxes.items() if not box.gone]:
            cluster.kill(ip)
            cluster.at(
                cluster.now + streets.chance.randrange(2 * NS_PER_SECOND),
                lambda ip=ip: cluster.start(ip),  # type: ignore[misc]
            )
        cluster.run(6)
    _finish(cluster, [go(operator.again()) for _ in range(4)], 10)
    afters = {group: max((one.upto for one in told), default=0) for group, told in judge.told.items()}

    async def last() -> None:
        await applications[0].last_look(afters)
        if not await operator.read():
            history.notes.append("configurations: nothing comes back though all is well")
        for ip in [ip for ip, box in cluster.boxes.items() if not box.gone]:
            if not await reader.look(ip):
                history.notes.append(f"reader at {ip}: no items though all is well")

    _finish(cluster, [go(last())], 60)
    failed = [f"inside: {one}" for one in cluster.failed[:3]]
    told = judge.outcomes() + len(history.sights)
    return Played(failed + judge.judge() + history.judge(), troubles.happened, told)


def _finish(cluster: Cluster, tasks: list[asyncio.Task[Any]], most: float) -> None:
    """Until all have ended; what failed in one is raised."""
    end = cluster.now + int(most * NS_PER_SECOND)
    while cluster.now < end and not all(task.done() for task in tasks):
        cluster.run(0.25)
    for task in tasks:
        if task.done():
            task.result()
        else:
            cluster.failed.append(f"a caller has not come to its end: {task.get_coro()}")


def play(seed: int, seconds: float = 8, skip: Collection[str] = ()) -> Played:
    """Two seeds of seven are histories of lists, the others are of whole control nodes."""
    return (play_lists if seed % 7 < 2 else play_cluster)(seed, seconds, skip)

"""Random schedules of faults for the rig: drawn from a seed, carried out one by one, then mended."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from ambershift.coordinator.standins.histories import History
from ambershift.coordinator.standins.rig import Rig

STEPS_MOST, PAUSE_MOST = 6, 1.5
KINDS = {
    "kill": 2.0,
    "kill wiped": 3.0,
    "restart": 5.0,
    "stop": 2.0,
    "go on": 4.0,
    "cut one way": 2.0,
    "cut": 2.0,
    "isolate": 2.0,
    "split": 1.0,
    "hold": 1.0,
    "slow": 1.0,
    "reset at": 2.0,
    "half open": 1.0,
    "heal": 3.0,
    "old folder": 2.0,
}


class Fault(NamedTuple):
    """`after` is the pause before it, in seconds; members are by their place, so that it fits any rig."""

    after: float
    kind: str
    one: int
    other: int
    figure: int

    def show(self) -> str:
        return f"after {self.after:.2f} s {self.kind} n{self.one + 1} n{self.other + 1} {self.figure}"


def draw(seed: int, members: int) -> list[Fault]:
    """A schedule; the same seed gives the same one."""
    chance, found = random.Random(seed), list[Fault]()
    for _ in range(chance.randrange(2, STEPS_MOST + 1)):
        one, other = chance.sample(range(members), 2)
        kind = chance.choices(list(KINDS), list(KINDS.values()))[0]
        found.append(Fault(chance.random() ** 2 * PAUSE_MOST, kind, one, other, chance.randrange(1, 3000)))
    return found


class Runner:
    """Carries a schedule out on a rig. It never wipes so many that a majority of the holders is gone: beyond
    that nothing is promised.
    """

    def __init__(self, rig: Rig, history: History) -> None:
        self.rig, self.history = rig, history
        self.blank = set[str]()  # Started without a folder, and not yet back to normal.
        self.done, self.counts = list[str](), Counter[str]()
        self.copies = dict[str, Path]()

    async def carry_out(self, fault: Fault) -> None:
        await asyncio.sleep(fault.after)
        names = self.rig.names
        acted = await self.act(fault, names[fault.one], names[fault.other])
        self.counts[fault.kind] += acted
        self.done.append(f"{self.rig.now():.2f} {fault.show()}{'' if acted else ' (passed over)'}")

    async def act(self, fault: Fault, one: str, other: str) -> bool:
        rig, net = self.rig, self.rig.net
        match fault.kind:
            case "kill" | "kill wiped" | "old folder":
                return await self.lose(fault.kind, one)
            case "restart":
                return await self.restart()
            case "stop":
                if able := rig.members[one].running:
                    rig.members[one].stop()
                return able
            case "go on":
                return self.go_on()
            case "cut one way" | "cut":
                net.cut(one, other, fault.kind == "cut")
            case "isolate":
                net.split([one], [name for name in rig.names if name != one])
            case "split":
                net.split(rig.names[:1], rig.names[1:2], rig.names[2:])
            case "hold":
                net.hold(one, other)
            case "slow":
                net.slow(one, other, 1000.0 + fault.figure)
            case "reset at":
                net.reset_at(one, other, fault.figure)
            case "half open":
                net.half_open(one, other)
            case "heal":
                net.heal()
        return True

    async def lose(self, kind: str, name: str) -> bool:
        member = self.rig.members[name]
        if not member.alive:
            return False
        old = kind == "old folder" and member.folder is not None
        if old and name not in self.copies:
            self.copies[name] = member.keep_copy("old")
            return True
        wiped = kind == "kill wiped" or member.folder is None
        if (wiped or old) and not await self.spare(name):
            return False
        if wiped or old:
            self.blank.add(name)
        await self.rig.kill(name, wipe=wiped)
        if old:
            member.put_back(self.copies.pop(name))
        return True

    async def spare(self, name: str) -> bool:
        """Whether a majority holds what is promised without this one: the others that were not wiped, or that
        were and are back.
        """
        for other in list(self.blank):
            rows = await self.rig.rows(other, "show group json") if self.rig.members[other].running else []
            if any(row.get("name") == other and row.get("state") == "normal" for row in rows):
                self.blank.discard(other)
        return 2 * (len(self.rig.names) - len(self.blank | {name})) > len(self.rig.names)

    async def restart(self) -> bool:
        dead = [name for name in self.rig.names if not self.rig.members[name].alive]
        for name in dead[:1]:
            await self.rig.start(name)
        return bool(dead)

    def go_on(self) -> bool:
        stopped = [member for member in self.rig.members.values() if member.alive and member.stopped]
        for member in stopped:
            member.go_on()
        return bool(stopped)

    async def mend(self) -> None:
        """No fault any more: all run, and all links pass."""
        self.go_on()
        self.rig.net.heal()
        for name in self.rig.names:
            if not self.rig.members[name].alive:
                await self.rig.start(name)


async def run(
    rig: Rig, faults: list[Fault], seed: int, operators: int = 3
) -> tuple[list[str], Runner, History]:
    """Everything that broke a rule, in words; empty where none did."""
    history = History(rig, [f"{one['zone']}/{one['id']}" for one in rig.discovery.now["servers"][:4]])
    runner, over, broken = Runner(rig, history), asyncio.Event(), list[str]()
    tasks = [
        asyncio.create_task(
            history.operator(
                f"op{at}", random.Random(seed * 100 + at), lambda: not over.is_set(), rig.running, 2.0
            )
        )
        for at in range(operators)
    ]
    checks: list[Callable[[], Awaitable[None]]] = [runner.mend, lambda: rig.settled(40.0)]
    try:
        for fault in faults:
            await runner.carry_out(fault)
        for check in checks:
            await check()
    except AssertionError as error:
        broken.append(f"not settled: {error}")
    over.set()
    for task in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(task, BaseException):
            broken.append(f"an operator ended: {task!r}")
    if not broken:
        try:
            for name in rig.names:
                await history.read_at_last(name)
        except AssertionError as error:
            broken.append(str(error))
    if (violation := history.violation()) is not None:
        broken += violation.lines()
    for member in rig.members.values():
        broken += [f"{member.name}: {line}" for line in member.raw[:5]]
        broken += [f"{member.name}: {line}" for line in member.log if line.get("event") == "failure"][:5]
    return broken, runner, history

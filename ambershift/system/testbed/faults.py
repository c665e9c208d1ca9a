"""What happens in the middle of a rehearsal: losses, orderly ends, changes, works on backends."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from ambershift.system.testbed.book import COLD_S, Route
from ambershift.system.testbed.processes import Child
from ambershift.system.testbed.rig import Rig, until
from ambershift.system.testbed.settings import CONTROL_NODE, PROXY

BACK_S, CORE_BACK_S, READY_S = 2.5, 0.5, 20.0
HEARS_S = 1.0  # A process that is just being started can't hear a signal yet.


class Faults:
    """Each method is one trouble, whole. `broken` has what a process did wrong at its own end."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.site, self.chance = rig, rig.site, rig.chance
        self.broken = list[str]()

    def pick(self, kind: str) -> Child:
        """The second half of the machines is for losses, so that what ends in order is another one."""
        return self.rig.of(kind)[-1]

    async def back(self, child: Child) -> None:
        await child.start()
        began = time.monotonic()
        if child.machine.kind == PROXY:
            await until(f"{child.machine.name} ready again", lambda: self.rig.ready(child.machine), READY_S)
            self.rig.say(f"{child.machine.name} is back, ready after {time.monotonic() - began:.1f} s")
        else:
            self.rig.say(f"{child.machine.name} is started again")

    async def lose(self, kind: str, wipe: bool = False) -> None:
        """SIGKILL, and back after a while; with `wipe` a control node comes back with an empty disk."""
        child = self.pick(kind)
        self.rig.say(f"{child.machine.name} is killed{' and loses its disk' if wipe else ''}")
        await child.kill()
        if wipe:
            child.wipe()
        await asyncio.sleep(BACK_S)
        await self.back(child)

    async def lose_core(self) -> None:
        """All control nodes are killed at one moment, and are back within a second; their disks stay."""
        children = self.rig.of(CONTROL_NODE)
        self.rig.say("all control nodes are killed")
        await asyncio.gather(*(child.kill() for child in children))
        await asyncio.sleep(CORE_BACK_S)
        await asyncio.gather(*(self.back(child) for child in children))

    async def freeze(self) -> None:
        """A control node stands still, and goes on as if nothing had been."""
        child = self.pick(CONTROL_NODE)
        self.rig.say(f"{child.machine.name} is frozen")
        child.freeze()
        await asyncio.sleep(BACK_S)
        child.thaw()
        self.rig.say(f"{child.machine.name} goes on")

    async def end_in_order(self, kind: str = PROXY) -> None:
        """SIGTERM: it serves what it has, goes by itself within the grace, and comes back."""
        child = self.rig.of(kind)[0]
        grace = self.site.bounds["GraceS"]
        began = time.monotonic()
        self.rig.say(f"{child.machine.name} gets SIGTERM")
        self.rig.judge.lost_spans.append((self.site.front(child.machine), began, began + grace + 1))
        if await child.terminate(grace):
            self.rig.say(f"{child.machine.name} has ended in order after {time.monotonic() - began:.1f} s")
        else:
            self.broken.append(f"{child.machine.name} didn't end in order within {grace:g} s of SIGTERM")
        await self.back(child)

    async def reread(self) -> None:
        """SIGHUP to everyone: nothing may change but what the file says."""
        for child in self.rig.children.values():
            if child.process and child.alive and child.up_for > HEARS_S:
                child.process.send_signal(signal.SIGHUP)
        self.rig.say("SIGHUP to all")

    async def replace_backend(self) -> None:
        """One leaves in order; another life of the same service starts elsewhere in its zone, cold."""
        old = self.chance.choice(self.rig.backends)
        new = self.rig.backend(old.service, old.zone, cold_s=COLD_S)
        self.rig.say(f"backend {old.id} of {old.service} leaves, {new.id} comes")
        self.rig.backends.append(new)
        await new.start()
        if not await old.leave(self.site.bounds["DrainMs"] / 1e3, self.rig.acknowledge_s):
            self.broken.append(f"backend {old.id}: its leaving was not acknowledged")
        self.rig.backends.remove(old)

    async def crash_backend(self) -> None:
        """One is gone without a word; its address goes to another service."""
        old = self.chance.choice(self.rig.backends)
        services = self.rig.book.services
        other = services[(services.index(old.service) + 1) % len(services)]
        old.crash()
        self.rig.backends.remove(old)
        self.rig.say(f"backend {old.id} of {old.service} crashes; {other} gets its address")
        await asyncio.sleep(self.site.bounds["ReuseHoldS"])
        new = self.rig.backend(other, old.zone, old.address, COLD_S)
        self.rig.backends.append(new)
        await new.start()

    async def evacuate(self, seconds: float) -> None:
        zone = list(self.site.zones)[-1]
        await self.rig.operator.evacuate(zone)
        await asyncio.sleep(seconds)
        await self.rig.operator.take_back(zone)

    async def configure(self) -> None:
        """A route moves, one is new; once it must be in force every ready proxy is asked for the new one."""
        if await self.rig.operator.shift():
            await self.probe(list(self.rig.book.routes.values())[-1], "served", "")

    async def drop(self) -> None:
        """A route goes; clients no longer ask for it, but every ready proxy is asked once."""
        route = self.chance.choice(list(self.rig.book.routes.values()))
        if await self.rig.operator.drop(route.name):
            await self.probe(route, "failed", "404")

    async def probe(self, route: Route, outcome: str, reason: str) -> None:
        await asyncio.sleep(self.site.bounds["ConfigApplyMs"] / 1e3)
        for child in self.rig.of(PROXY):
            if not await self.rig.ready(child.machine):
                continue
            found = await self.rig.clients[0].probe(self.site.front(child.machine), route)
            if found != (outcome, reason) and found[1].isdecimal() and int(found[1]) < 500:
                self.rig.judge.fault(
                    "handled by an old configuration", f"{route.name} at {child.machine.name}: {found[1]}"
                )

    async def invalid(self) -> None:
        await self.rig.operator.invalid()


Planned = tuple[float, Callable[[], Awaitable[None]]]


def plan(faults: Faults, seconds: float, lose: str, wipe: bool) -> list[Planned]:
    """When each trouble begins, in seconds from the start of traffic."""
    found: list[Planned] = [
        (0.08, faults.configure),
        (0.12, faults.replace_backend),
        (0.15, faults.invalid),
        (0.45, lambda: faults.evacuate(0.2 * seconds)),
        (0.5, faults.configure),
        (0.6, faults.end_in_order),
        (0.65, faults.crash_backend),
        (0.7, faults.reread),
        (0.75, faults.drop),
    ]
    losses: dict[str, Callable[[], Awaitable[None]]] = {
        "proxy": lambda: faults.lose(PROXY),
        "control": lambda: faults.lose(CONTROL_NODE, wipe),
        "core": faults.lose_core,
        "frozen": faults.freeze,
    }
    if loss := losses.get(lose):
        found.append((0.25, loss))
    return sorted(((share * seconds, act) for share, act in found), key=lambda one: one[0])

"""A rehearsal put together: the system's processes, and the world of stand-ins around them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ambershift.system.testbed.backends import COLD_RATE, WORK_S, Backend
from ambershift.system.testbed.book import Book
from ambershift.system.testbed.callers import GROUPS, Caller
from ambershift.system.testbed.clients import Client
from ambershift.system.testbed.histories import History
from ambershift.system.testbed.judge import Judge
from ambershift.system.testbed.operator import Operator
from ambershift.system.testbed.processes import Child, checkouts, end_all
from ambershift.system.testbed.settings import CONTROL_NODE, PROXY, Machine, Site
from ambershift.system.testbed.speech import BrokenOffError, LateError, NotReachedError, once

LOOK_S, STEP_S = 0.25, 0.02
CLIENTS_A_ZONE = 3


@dataclass(eq=False)
class NotMetError(Exception):
    """A condition didn't come true within its bound."""

    what: str
    within: float

    def __str__(self) -> str:
        return f"not within {self.within:g} s: {self.what}"


Condition = Callable[[], bool | Awaitable[bool]]


async def until(what: str, condition: Condition, within: float) -> None:
    """Wait for a condition; raises `NotMetError`."""
    end = time.monotonic() + within
    while True:
        found = condition()
        if found if isinstance(found, bool) else await found:
            return
        if time.monotonic() >= end:
            raise NotMetError(what, within)
        await asyncio.sleep(STEP_S)


class Rig:
    """Use as `async with Rig(site, ...) as rig`: all ends with it. `say` gets each line to be shown."""

    def __init__(
        self,
        site: Site,
        backends: int,
        rate: float,
        say: Callable[[str], None],
        services: int = 4,
        routes: int = 12,
        callers: int = 6,
        work_s: float = WORK_S,
        other_checkout: Path | None = None,
    ) -> None:
        self.site, self.say, self.rate, self.work_s = site, say, rate, work_s
        self.chance = random.Random(site.seed)
        bounds = site.bounds
        self.judge = Judge(
            bounds["ConfigApplyMs"] / 1e3, bounds["DrainMs"] / 1e3, bounds["EvacuationMs"] / 1e3
        )
        self.history = History()
        self.book = Book(self.chance, list(dict.fromkeys(site.zones.values())), services, routes)
        machines = site.machines
        self.children = {
            name: Child(site, machines[name], checkout)
            for name, checkout in checkouts(machines.values(), other_checkout).items()
        }
        self.cold_bound = COLD_RATE * bounds["ColdOverrun"] + bounds["ColdSlack"]
        self.backends = list[Backend]()
        zones = list(site.zones)
        for at in range(backends):
            self.backends.append(
                self.backend(self.book.services[at % services], zones[(at // services + at) % len(zones)])
            )
        self.acknowledge_s = bounds["AckMs"] / 1e3
        self.operator = Operator(self.book, self.judge, self.controls, self.acknowledge_s, self.chance, say)
        self.clients = [self.client(zone, number) for zone in zones for number in range(CLIENTS_A_ZONE)]
        self.callers = [
            Caller(
                f"a{at}.{self.chance.getrandbits(16):x}",
                self.near_controls(zones[at % len(zones)]),
                self.history,
                self.chance,
            )
            for at in range(callers)
        ]
        self.tasks = set[asyncio.Task[Any]]()
        self.under_way = set[asyncio.Task[Any]]()
        self.stopped, self.late = False, 0.0  # The most seconds that this program woke up too late.

    # Who calls whom.
    def controls(self) -> list[str]:
        return [self.site.control(one) for one in self.site.of(CONTROL_NODE)]

    def near_controls(self, zone: str) -> Callable[[], list[str]]:
        return lambda: [self.site.control(one) for one in self.site.near(zone)]

    def client(self, zone: str, number: int) -> Client:
        return Client(
            zone,
            self.site.zones[zone],
            number > 0,
            self.judge,
            lambda: [self.site.directory(one) for one in self.site.near(zone)],
            self.chance,
        )

    def backend(self, service: str, zone: str, address: str = "", cold_s: float = 0.0) -> Backend:
        address = address or f"{self.site.address(zone)}:{self.site.ports.backend}"
        return Backend(
            service,
            address,
            zone,
            self.site.zones[zone],
            self.judge,
            self.cold_bound,
            self.near_controls(zone),
            self.site.heartbeat_ms / 1e3,
            self.chance,
            cold_s,
            self.work_s,
        )

    def of(self, kind: str) -> list[Child]:
        return [child for child in self.children.values() if child.machine.kind == kind]

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Start and end.
    async def __aenter__(self) -> Rig:
        try:
            await asyncio.gather(*(child.start() for child in self.children.values()))
            await asyncio.gather(*(backend.start() for backend in self.backends))
            self.spawn(self.look())
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def close(self) -> None:
        self.stopped = True
        for task in [*self.tasks, *self.under_way]:
            task.cancel()
        await asyncio.gather(*self.tasks, *self.under_way, return_exceptions=True)
        for backend in self.backends:
            backend.crash()
        for client in self.clients:
            client.close()
        await end_all(list(self.children.values()), self.site.bounds["GraceS"])

    async def look(self) -> None:
        """Read what the children cost, so that a life that ends by itself is counted up to then."""
        while True:
            for child in self.children.values():
                child.look()
            due = time.monotonic() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.late = max(self.late, time.monotonic() - due)

    async def ready(self, machine: Machine) -> bool:
        """Whether the platform's check finds this proxy ready."""
        try:
            found = await once(self.site.readiness(machine), "GET", "/ambershift/readiness", limit=1.0)
        except (NotReachedError, BrokenOffError, LateError):
            return False
        return found.status == 200

    async def all_ready(self) -> bool:
        return all(await asyncio.gather(*(self.ready(child.machine) for child in self.of(PROXY))))

    async def settle(self, within: float) -> None:
        """The first configuration is accepted, every backend's beat acknowledged, every proxy ready."""
        began = time.monotonic()
        first = self.spawn(self.operator.first(within))
        await self.standing("the first configuration acknowledged", first.done, within)
        if not first.result():
            raise NotMetError("the first configuration acknowledged", within)
        await self.standing(
            "every backend's beat acknowledged",
            lambda: all(one.known.is_set() for one in self.backends),
            within,
        )
        await self.standing("every proxy ready", self.all_ready, within)
        self.say(
            f"{len(self.of(CONTROL_NODE))} nodes, {len(self.of(PROXY))} proxies and {len(self.backends)} "
            f"backends are up after {time.monotonic() - began:.1f} s"
        )

    async def standing(self, what: str, condition: Condition, within: float) -> None:
        """Wait for a condition, but no longer than all processes run; raises `NotMetError`."""

        async def met() -> bool:
            if fallen := [name for name, child in self.children.items() if child.fell]:
                raise NotMetError(f"{what}, as {fallen[0]} has ended by itself", within)
            found = condition()
            return found if isinstance(found, bool) else await found

        await until(what, met, within)

    # Traffic.
    def call_applications(self) -> None:
        for caller in self.callers:
            self.under_way.add(asyncio.ensure_future(caller.run(lambda: self.stopped)))
        for at in range(min(GROUPS, len(self.callers))):
            self.spawn(self.callers[at].watch(f"g{at}.", lambda: self.stopped))

    async def send(self, seconds: float) -> None:
        """Requests at the rate, by chance from all clients over all routes that stand."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while time.monotonic() < end:
            due += self.chance.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            client = self.chance.choice(self.clients)
            route = self.chance.choice(list(self.book.routes.values()))
            task = asyncio.ensure_future(client.request(route))
            self.under_way.add(task)
            task.add_done_callback(self.under_way.discard)

    async def finish(self, within: float) -> None:
        """Take no more, and let what is under way come to its end."""
        self.stopped = True
        if self.under_way:
            _, left = await asyncio.wait(self.under_way, timeout=within)
            for task in left:
                task.cancel()
        for caller in self.callers[:1]:
            with contextlib.suppress(ValueError, KeyError):
                await caller.last_look()

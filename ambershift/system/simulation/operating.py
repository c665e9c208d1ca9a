"""A simulated operator that changes items and evacuates, desks that read them, and a judge of all seen."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ambershift.system.configuration.layout import rows
from ambershift.system.contracts import NotHeldError
from ambershift.system.messages.items import ROUTE, SERVICE, ZONE, Item, Key
from ambershift.system.simulation.callers import Streets
from ambershift.system.simulation.house import ZONES, Process

ROUTES, SERVICES, ORDER_MOST = 4, 2, 6.0
FINAL = (400, 409, 412, 413, 422)
LOOKED = ("z0", "z1")


@dataclass(slots=True)
class Change:
    """One version of an item as it was sent; `body` None drops it. `at` is when it was acknowledged."""

    version: int
    body: dict[str, Any] | None
    sent: float
    at: float | None = None
    refused: bool = False


@dataclass(slots=True)
class Order:
    """An evacuation (`out`), or that it is taken back."""

    out: bool
    sent: float
    at: float | None = None
    refused: bool = False


@dataclass(slots=True)
class Sight:
    """What was seen of all items, by one who asked at `sent` and was answered at `at`."""

    sent: float
    at: float
    items: dict[Key, tuple[int, dict[str, Any]]]  # Version and body of what stands.
    zones: dict[str, bool] | None  # Where orders can be seen: which zones are evacuated.


@dataclass
class Books:
    """All that was sent, and all that was seen."""

    changes: dict[Key, list[Change]] = field(default_factory=dict)
    orders: dict[str, list[Order]] = field(default_factory=dict)
    sights: list[Sight] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def judge(self) -> list[str]:
        found = list(self.notes)
        for sight in self.sights:
            for key in self.changes.keys() | sight.items.keys():
                if wrong := self._item(key, sight):
                    found.append(f"{' '.join(key)} at {sight.at:.3f}: {wrong}")
            for zone, out in (sight.zones or {}).items():
                if not _explained(self.orders.get(zone, []), sight, out):
                    found.append(f"zone {zone} at {sight.at:.3f}: {out} is none of its orders")
        return found

    def _item(self, key: Key, sight: Sight) -> str | None:
        changes = self.changes.get(key, [])
        floor = max((one.version for one in changes if one.at is not None and one.at < sight.sent), default=0)
        seen = sight.items.get(key)
        if seen is None:
            # Dropped by what is at least as new, or not there yet.
            if floor and not any(
                one.body is None and one.version >= floor and not one.refused and one.sent < sight.at
                for one in changes
            ):
                return f"is missing, version {floor} was acknowledged"
            return None
        version, body = seen
        of = next((one for one in changes if one.version == version and one.sent < sight.at), None)
        if of is None or of.body != body:
            return f"version {version} was never sent so"
        if of.refused:
            return f"version {version} was refused"
        return f"version {version} after {floor} was acknowledged" if version < floor else None


def _explained(orders: list[Order], sight: Sight, out: bool) -> bool:
    """Orders of a zone are given one after the other; the last one acknowledged holds, or one after it.

    One that never got an answer may have come up after all, but not over one given after it."""
    last = max(
        (at for at, one in enumerate(orders) if one.at is not None and one.at < sight.sent), default=-1
    )
    states = {orders[last].out if last >= 0 else False}
    states |= {one.out for one in orders[last + 1 :] if one.sent < sight.at and not one.refused}
    if last < 0:
        states.add(False)
    return out in states


class Operator:
    def __init__(self, streets: Streets, books: Books) -> None:
        self.streets, self.books, self.chance = streets, books, streets.chance
        self.version = 0
        self._sent: list[tuple[dict[str, Any], list[Change]]] = []

    async def run(self, until: Callable[[], bool]) -> None:
        await self.modify([self._service(at) for at in range(SERVICES)], [], 60)
        while not until():
            way = self.chance.choice(("change", "change", "evacuate", "evacuate", "read", "bad", "old"))
            if way == "change":
                await self.change()
            elif way == "evacuate":
                await self.evacuate(self.chance.choice(LOOKED))
            elif way == "bad":
                await self.invalid()
            elif way == "old":
                await self.again()
            else:
                await self.read()
            await asyncio.sleep(self.chance.expovariate(8))

    def _service(self, at: int) -> tuple[Key, dict[str, Any]]:
        self.version += self.chance.randrange(1, 4)
        name = f"s{at}"
        return (SERVICE, name), {
            "Name": name,
            "ConnectionCap": self.version,
            "ConfigVersion": f"r{self.version}",
        }

    def _route(self, name: str, service: str) -> tuple[Key, dict[str, Any]]:
        self.version += self.chance.randrange(1, 4)
        return (ROUTE, name), {
            "Name": name,
            "Host": "h.example",
            "PathPrefix": f"/{self.version}/",
            "RouteType": "idempotent",
            "Service": service,
            "ConfigVersion": f"r{self.version}",
        }

    async def change(self) -> None:
        names = self.chance.sample([f"r{at}" for at in range(ROUTES)], self.chance.randrange(1, ROUTES))
        dropped = names[:1] if self.chance.random() < 0.3 else []
        items = [self._route(name, f"s{self.chance.randrange(SERVICES)}") for name in names[len(dropped) :]]
        await self.modify(items, dropped, self.chance.choice((0.3, ORDER_MOST)))

    async def modify(
        self, items: list[tuple[Key, dict[str, Any]]], dropped: list[str], patience: float
    ) -> None:
        """One call, sent again unchanged until there is a clear answer or patience ends."""
        changes = list[Change]()
        now = self.streets.now()
        for key, body in items:
            changes.append(Change(int(body["ConfigVersion"][1:]), body, now))
            self.books.changes.setdefault(key, []).append(changes[-1])
        remove = []
        for name in dropped:
            self.version += 1
            changes.append(Change(self.version, None, now))
            self.books.changes.setdefault((ROUTE, name), []).append(changes[-1])
            remove.append({"Name": name, "ConfigVersion": f"r{self.version}"})
        document = {
            "Upsert": {
                "Services": [body for (kind, _), body in items if kind == SERVICE],
                "Routes": [body for (kind, _), body in items if kind == ROUTE],
            },
            "Remove": {"Routes": remove},
        }
        self._sent.append((document, changes))
        found = await self.streets.rpc("configuration.modify", "", document, patience)
        if found.status == 200:
            for one in changes:
                one.at = self.streets.now()
        elif found.status in FINAL:
            self.books.notes.append(f"a valid configuration was refused: {found.status} {found.body}")
        elif found.untouched:
            for one in changes:
                one.refused = True

    async def again(self) -> None:
        """An older change arrives once more."""
        if self._sent:
            document, changes = self.chance.choice(self._sent)
            for one in changes:
                one.refused = False
            found = await self.streets.rpc("configuration.modify", "", document, 1.0)
            for one in changes if found.status == 200 else ():
                one.at = one.at or self.streets.now()

    async def invalid(self) -> None:
        _, body = self._route(f"r{self.chance.randrange(ROUTES)}", "nobody")
        document = {"Upsert": {"Routes": [body]}}
        self.books.changes.setdefault((ROUTE, body["Name"]), []).append(
            Change(self.version, body, self.streets.now(), None, True)
        )
        found = await self.streets.rpc("configuration.modify", "", document, 1.0)
        if found.status == 200:
            self.books.notes.append("an invalid configuration was acknowledged")

    async def evacuate(self, zone: str) -> None:
        orders = self.books.orders.setdefault(zone, [])
        order = Order(not orders[-1].out if orders else True, self.streets.now())
        orders.append(order)
        name = "evacuation.initiate" if order.out else "evacuation.terminate"
        found = await self.streets.rpc(name, zone, None, self.chance.choice((0.3, ORDER_MOST)))
        if found.status == 200:
            order.at = self.streets.now()
        elif found.untouched:
            order.refused = True

    async def read(self) -> bool:
        found = await self.streets.rpc("configuration.retrieve", "", None)
        if found.status != 200:
            return False
        items = {
            (kind, body["Name"]): (int(body["ConfigVersion"][1:]), body)
            for part, kind in (("Routes", ROUTE), ("Services", SERVICE))
            for body in rows(part, found.body[part])
        }
        self.books.sights.append(Sight(found.sent, self.streets.now(), items, None))
        return True


class Desk:
    """Reads all items as a desk does: at a control node that has merged what enough copies hold."""

    def __init__(self, streets: Streets, books: Books) -> None:
        self.streets, self.books = streets, books

    async def run(self, until: Callable[[], bool]) -> None:
        while not until():
            await self.look(self.streets.addresses()[0])
            await asyncio.sleep(self.streets.chance.expovariate(5))

    async def look(self, ip: str) -> bool:
        house, sent = self.streets.house, self.streets.now()
        seen = self.streets.loop.create_future()

        async def merge(process: Process) -> None:
            try:
                await process.shelf.freshen(1.0)
            except NotHeldError:
                return
            items = dict(process.shelf.items())

            def told() -> None:
                if not seen.done():
                    seen.set_result(items)

            house.at(house.now + house.way(), told)

        def begin(process: Process) -> None:
            process.loop.create_task(merge(process))

        house.at(house.now + house.way(), lambda: house.step(ip, house.boxes[ip].life, begin))
        try:
            async with asyncio.timeout(2.0):
                items: dict[Key, Item] = await seen
        except TimeoutError:
            return False
        standing = {
            key: (item.version[0], msgspec.json.decode(item.body))
            for key, item in items.items()
            if key[0] != ZONE and item.body is not None
        }
        zones = {
            zone: (item := items.get((ZONE, zone))) is not None and item.body == b"true" for zone in ZONES
        }
        self.books.sights.append(Sight(sent, self.streets.now(), standing, zones))
        return True

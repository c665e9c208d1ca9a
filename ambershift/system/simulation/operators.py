"""Simulated operators: rivals that change the same items, at times under one version, and send again."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from ambershift.system.configuration.layout import rows
from ambershift.system.messages.items import ROUTE, SERVICE, Key
from ambershift.system.simulation.calling import Found, Streets
from ambershift.system.simulation.operator_history import Change, OperatorHistory, Order, SentCall, Sight

ROUTES, PATIENCE_MOST = 4, 6.0
LASTING, DROPPED = "s0", "s1"  # A service that is never dropped, and one that is.
REFUSALS = (400, 409, 412, 413, 422)
ZONES_EVACUATED = ("z0", "z1")
SAME_VERSION = 0.3  # How often a change takes the version of the last one, whoever sent that.
ANSWERS_LOST = 0.1
PAUSES_A_SECOND = 8

Named = tuple[Key, dict[str, Any] | None]  # An item of a call, `None` where it is dropped.


class Numbers:
    """Versions, which all operators of a history share, and numbers that make each content its own."""

    def __init__(self) -> None:
        self.version = 0
        self._contents = itertools.count(1)

    def content(self) -> int:
        return next(self._contents)


class Operator:
    """Of several, each has its own `name`, and all share history and numbers. One of them evacuates."""

    def __init__(
        self,
        streets: Streets,
        history: OperatorHistory,
        numbers: Numbers | None = None,
        evacuates: bool = True,
    ) -> None:
        self.streets, self.history, self.chance = streets, history, streets.chance
        self.numbers = numbers or Numbers()
        acts = [self.change, self.change, self.change, self.read, self.invalid, self.again, self.service]
        self._acts: list[Callable[[], Any]] = [*acts, *([self.evacuate] * 3 if evacuates else [])]

    async def run(self, until: Callable[[], bool]) -> None:
        await self.modify([self._service(name) for name in (LASTING, DROPPED)], 60)
        while not until():
            await self.chance.choice(self._acts)()
            await asyncio.sleep(self.chance.expovariate(PAUSES_A_SECOND))

    # Items.

    def _version(self) -> int:
        if self.numbers.version == 0 or self.chance.random() >= SAME_VERSION:
            self.numbers.version += self.chance.randrange(1, 4)
        return self.numbers.version

    def _service(self, name: str) -> Named:
        version, content = self._version(), self.numbers.content()
        return (SERVICE, name), {"Name": name, "ConnectionCap": content, "ConfigVersion": f"r{version}"}

    def _route(self, name: str, service: str) -> Named:
        version, content = self._version(), self.numbers.content()
        return (ROUTE, name), {
            "Name": name,
            "Host": "h.example",
            "PathPrefix": f"/{content}/",
            "RouteType": "idempotent",
            "Service": service,
            "ConfigVersion": f"r{version}",
        }

    # Calls.

    async def change(self) -> None:
        names = self.chance.sample([f"r{at}" for at in range(ROUTES)], self.chance.randrange(1, ROUTES))
        dropped = names[:1] if self.chance.random() < 0.3 else []
        service = self.chance.choice((LASTING, LASTING, DROPPED))
        items = [self._route(name, service) for name in names[len(dropped) :]]
        items += [((ROUTE, name), None) for name in dropped]
        await self.modify(items, self.chance.choice((0.3, PATIENCE_MOST)), service != LASTING)

    async def service(self) -> None:
        """Drop the one that may be dropped, or set it anew. Where routes name it, it must be refused."""
        item = self._service(DROPPED) if self.chance.random() < 0.5 else ((SERVICE, DROPPED), None)
        await self.modify([item], PATIENCE_MOST, True)

    async def modify(self, items: list[Named], patience: float, may_be_invalid: bool = False) -> None:
        """One call, sent again unchanged until there is a clear answer or patience ends."""
        call = self._call(items)
        found = await self._send(call, patience)
        if found.status == 200:
            self._acknowledged(call)
        elif found.status in REFUSALS:
            expected = (found.status == 409 and self.history.has_rival(call)) or (
                found.status == 400 and may_be_invalid
            )
            if not expected:
                self.history.notes.append(f"a valid configuration was refused: {found.status} {found.body}")
            self._refused(call)
        elif found.untouched:
            self._refused(call)

    def _call(self, items: list[Named]) -> SentCall:
        now = self.streets.now()
        call = SentCall({"Upsert": {}, "Remove": {}}, {})
        for key, body in items:
            version = self._version() if body is None else int(body["ConfigVersion"][1:])
            part = "Remove" if body is None else "Upsert"
            fields = {"Name": key[1], "ConfigVersion": f"r{version}"} if body is None else body
            name = "Routes" if key[0] == ROUTE else "Services"
            call.document[part].setdefault(name, []).append(fields)
            call.changes[key] = Change(version, body, now)
            self.history.changes.setdefault(key, []).append(call.changes[key])
        self.history.calls.append(call)
        return call

    async def _send(self, call: SentCall, patience: float) -> Found:
        call.under_way += 1
        try:
            return await self.streets.rpc(
                "configuration.modify", "", call.document, patience, lost=ANSWERS_LOST
            )
        finally:
            call.under_way -= 1

    def _acknowledged(self, call: SentCall) -> None:
        for one in call.changes.values():
            one.at = one.at or self.streets.now()

    def _refused(self, call: SentCall) -> None:
        """Nothing of it holds, unless another copy is out that may be taken still."""
        for one in call.changes.values():
            one.refused = call.under_way == 0 and one.at is None

    async def again(self) -> None:
        """An older call arrives once more, at times at two machines at once."""
        if not self.history.calls:
            return
        call = self.chance.choice(self.history.calls)
        was_refused = [one.refused for one in call.changes.values()]
        for one in call.changes.values():
            one.refused = False
        copies = self.chance.choice((1, 1, 2))
        answers = await asyncio.gather(*(self._send(call, 1.0) for _ in range(copies)))
        statuses = [one.status for one in answers]
        if 200 in statuses:
            self._acknowledged(call)
        refused = [one for one in answers if one.status in REFUSALS]
        if refused and call.acknowledged:
            self.history.notes.append(f"an acknowledged order was refused: {refused[0].body}")
        elif len(refused) == copies or (all(was_refused) and all(one.untouched for one in answers)):
            self._refused(call)

    async def invalid(self) -> None:
        call = self._call([self._route(f"r{self.chance.randrange(ROUTES)}", "nobody")])
        self._refused(call)
        found = await self._send(call, 1.0)
        if found.status == 200:
            self.history.notes.append("an invalid configuration was acknowledged")
        self.history.calls.remove(call)  # Sent again it would count as one that may hold.

    async def evacuate(self, zone: str = "") -> None:
        zone = zone or self.chance.choice(ZONES_EVACUATED)
        orders = self.history.orders.setdefault(zone, [])
        order = Order(not orders[-1].out if orders else True, self.streets.now())
        orders.append(order)
        name = "evacuation.initiate" if order.out else "evacuation.terminate"
        found = await self.streets.rpc(name, zone, None, self.chance.choice((0.3, PATIENCE_MOST)))
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
        self.history.sights.append(Sight(found.sent, self.streets.now(), items, None))
        return True

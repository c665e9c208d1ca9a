"""A storm of changes on a simulated fleet, and the judge of when each proxy has them in force.

The rule (CONFIG): what was acknowledged is in force `ConfigApplyMs` later at each proxy in touch. A proxy is
in touch while for `ContactMs` nothing befell it, the control nodes were settled, and it had a path to each of
those that reaches most of them.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ambershift.system.messages.items import ROUTE, SERVICE, Item, Key
from ambershift.system.simulation.calling import Found, Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

LOOK = 20 * NS_PER_MS
ON_THE_WAY = 100 * NS_PER_MS  # Messages are under way for less, where nothing befalls the links.
ROUTES = 12
AT_ONCE = 8  # Changes under way.
PATIENCE_S = 20.0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    key: Key
    version: int
    at: int  # ns


@dataclass(frozen=True, slots=True)
class Late:
    """A proxy in touch that lacks a version acknowledged `for_ns` ago."""

    proxy: str
    key: Key
    version: int
    at: int
    for_ns: int

    def __str__(self) -> str:
        return (
            f"{self.at / NS_PER_SECOND:.3f} s: {self.proxy} lacks {self.key[1]} {self.version}, "
            f"acknowledged {self.for_ns / NS_PER_SECOND:.3f} s before"
        )


class Storm:
    """An operator that sends a change of one route each `gap_s`."""

    def __init__(self, fleet: Fleet, streets: Streets, gap_s: float) -> None:
        self.fleet, self.streets, self.gap_s = fleet, streets, gap_s
        self.acknowledged: list[Acknowledged] = []
        self.refused: list[Found] = []
        self.version = 0
        self._under_way = 0

    async def begin(self) -> None:
        """All items, before the first change."""
        self.version += 1
        routes = [self._route(at) for at in range(ROUTES)]
        service = {"Name": "s", "ConfigVersion": f"r{self.version}", "ConnectionCap": 9}
        await self._modify([(ROUTE, one["Name"]) for one in routes], routes, [service])

    async def run(self, until: Callable[[], bool]) -> None:
        while not until():
            if self._under_way < AT_ONCE:
                asyncio.ensure_future(self.change())
            await asyncio.sleep(self.gap_s)

    async def change(self) -> None:
        self.version += 1
        route = self._route(self.version % ROUTES)
        await self._modify([(ROUTE, route["Name"])], [route], [])

    def _route(self, at: int) -> dict[str, Any]:
        return {
            "Name": f"r{at}",
            "Host": f"h{at}.example",
            "PathPrefix": f"/{self.version}/",
            "RouteType": "idempotent",
            "Service": "s",
            "ConfigVersion": f"r{self.version}",
        }

    async def _modify(
        self, keys: list[Key], routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        version = self.version
        upsert = {"Routes": routes, "Services": services}
        self._under_way += 1
        try:
            found = await self.streets.rpc(
                "configuration.modify", "", {"Upsert": upsert}, PATIENCE_S, lost=0.0
            )
        finally:
            self._under_way -= 1
        if found.status == 200:
            now = self.fleet.now
            self.acknowledged += [Acknowledged(key, version, now) for key in keys]
            self.acknowledged += [Acknowledged((SERVICE, one["Name"]), version, now) for one in services]
        elif found.status:
            self.refused.append(found)


class Judge:
    """Looks at each proxy all the while. `disturb` is to be called with whatever befalls the machines.

    `untrue`: where a control node or a proxy took itself for newer than it was.
    """

    def __init__(self, fleet: Fleet, storm: Storm) -> None:
        self.fleet, self.storm = fleet, storm
        self.late: list[Late] = []
        self.untrue: list[str] = []
        self.longest = defaultdict[str, int](int)  # How long each proxy lacked what was acknowledged, ns.
        self._disturbed: dict[str, int] = {}
        self._seen = set[tuple[str, Key, int]]()
        self._looked = 0
        self._look()

    def broken(self) -> list[str]:
        """All that was wrong, in words."""
        refused = [f"refused: {one}" for one in self.storm.refused]
        return [*map(str, self.late), *self.untrue, *refused]

    def disturb(self, *machines: str) -> None:
        """Something begins or ends at these machines now; control nodes unsettle all."""
        for one in machines:
            self._disturbed[one] = self.fleet.now

    def settled(self) -> bool:
        bound = int(self.fleet.bounds.contact * NS_PER_SECOND)
        nodes = [ip for ip, box in self.fleet.boxes.items() if not box.gone]
        calm = all(self.fleet.now - self._disturbed.get(ip, -bound) >= bound for ip in nodes)
        return calm and bool(self.majority())

    def majority(self) -> set[str]:
        """Control nodes that run and reach most of them, both ways."""
        nodes = [ip for ip, box in self.fleet.boxes.items() if not box.gone]
        runs = {
            ip
            for ip in nodes
            if self.fleet.boxes[ip].replica is not None and self.fleet.boxes[ip].frozen is None
        }
        reach = {ip: {one for one in runs if self._path(ip, one)} for ip in runs}
        return {ip for ip, others in reach.items() if 2 * len(others) > len(nodes)}

    def _path(self, one: str, other: str) -> bool:
        return not {(one, other), (other, one)} & self.fleet.cut

    def in_touch(self, proxy: str) -> bool:
        bound = int(self.fleet.bounds.contact * NS_PER_SECOND)
        calm = self.fleet.now - self._disturbed.get(proxy, -bound) >= bound
        return (
            calm
            and self.fleet.fronts[proxy].frozen is None
            and self.settled()
            and all(self._path(proxy, ip) for ip in self.majority())
        )

    def _look(self) -> None:
        self.fleet.at(self.fleet.now + LOOK, self._look)
        self._look_at_proofs()
        apply = int(self.fleet.bounds.config_apply * NS_PER_SECOND)
        for name, front in self.fleet.fronts.items():
            touched: bool | None = None
            for one in self.storm.acknowledged[-300:]:
                held = front.server.routing.items.get(one.key)
                since = self.fleet.now - one.at
                if since == 0 or (held is not None and held.version[0] >= one.version):
                    continue
                self.longest[name] = max(self.longest[name], since)
                if since <= apply or (name, one.key, one.version) in self._seen:
                    continue
                if touched is None:
                    touched = self.in_touch(name)
                if touched:
                    self._seen.add((name, one.key, one.version))
                    self.late.append(Late(name, one.key, one.version, self.fleet.now, since))

    def _look_at_proofs(self) -> None:
        """What was acknowledged before the moment that was proved must be there."""
        for ip, box in self.fleet.boxes.items():
            if box.replica is not None and (proved := box.replica.contact.proven_until()) is not None:
                self._compare(ip, proved, box.replica.store.items)
        bound = int(self.fleet.bounds.contact * NS_PER_SECOND)
        for name, front in self.fleet.fronts.items():
            calm = self.fleet.now - self._disturbed.get(name, -bound) >= bound
            if calm and (proved := front.attachment.selector.proven_as_of) is not None:
                self._compare(name, proved, front.server.routing.items)

    def _compare(self, machine: str, proved: int, held: Mapping[Key, Item]) -> None:
        moment = self.fleet.moment(machine, proved) - ON_THE_WAY
        for one in reversed(self.storm.acknowledged[-50:]):
            if one.at >= moment:
                continue
            if (found := held.get(one.key)) is None or found.version[0] < one.version:
                self.untrue.append(
                    f"{self.fleet.now / NS_PER_SECOND:.3f} s: {machine} lacks {one.key[1]} {one.version}, "
                    f"acknowledged {(moment - one.at) / NS_PER_SECOND:.3f} s before what it took for proved"
                )

"""Scripted worlds of configurations: two operators at once, and a machine that comes back with old state."""

from __future__ import annotations

import asyncio
from typing import Any

from ambershift.system.simulation.calling import Found, Streets
from ambershift.system.simulation.house import House
from ambershift.system.simulation.scripts_house import _until_done
from ambershift.system.steps import MS, SECOND

MODIFY = "configuration.modify"
AWAY_S = 6.0
OFFERS, OFFER_EACH_S = 60, 0.02


def _service(cap: int) -> dict[str, Any]:
    return {"Upsert": {"Services": [{"Name": "s", "ConfigVersion": "r5", "ConnectionCap": cap}]}}


class _At(Streets):
    """A caller that knows one machine only."""

    def __init__(self, house: House, seed: int, ip: str) -> None:
        super().__init__(house, seed)
        self._ip = ip

    def addresses(self) -> list[str]:
        return [self._ip]


def rivals(seed: int = 1, apart: int = 5 * MS) -> list[str]:
    """Two contents under one version, sent to two machines `apart` ns one after the other."""
    house = House(seed, loss=0, count=6)
    house.run(2.5)
    streets = [_At(house, seed, ip) for ip in ("10.0.0.2", "10.0.0.5")]

    async def send(at: int) -> Found:
        await asyncio.sleep(at * apart / SECOND)
        return await streets[at].rpc(MODIFY, "", _service(at + 1), 5.0, lost=0)

    tasks = []
    for at in range(2):
        with streets[at].loop.current():
            tasks.append(streets[at].loop.create_task(send(at)))
    house.run(8)
    statuses = [task.result().status for task in tasks]
    if sorted(statuses) != [200, 409]:
        return [f"two contents of one version were answered {statuses}"]
    wrong = []
    for ip in sorted(house.boxes):
        reader = _At(house, seed, ip)
        seen = _until_done(house, reader, reader.rpc("configuration.retrieve", "", None))
        rows = seen.body["Services"]["Rows"]
        if [row[1] for row in rows] != [statuses.index(200) + 1]:
            wrong.append(f"{ip} shows {rows}, not what was acknowledged")
    return wrong


def offered_on_return(seed: int = 1, way: str = "killed") -> list[str]:
    """A service is dropped while a machine is away (`killed`, `cut` or `frozen`), which is then offered a
    route to it again and again from the moment that it returns."""
    house = House(seed, loss=0, count=6)
    house.run(2.5)
    away, there = "10.0.0.2", _At(house, seed, "10.0.0.5")
    back = _At(house, seed, away)
    others = house.boxes.keys() - {away}

    def sure(document: dict[str, Any]) -> None:
        found = _until_done(house, there, there.rpc(MODIFY, "", document, 5.0, lost=0))
        assert found.status == 200, found

    sure(_service(1))
    house.run(1)
    links = {pair for ip in others for pair in ((ip, away), (away, ip))}
    if way == "killed":
        house.kill(away)
    elif way == "cut":
        house.cut |= links
    else:
        house.freeze(away)
    sure({"Remove": {"Services": [{"Name": "s", "ConfigVersion": "r6"}]}})
    house.run(AWAY_S)
    if way == "killed":
        house.start(away)
    elif way == "cut":
        house.cut -= links
    else:
        house.thaw(away)
    return _until_done(house, back, _offers(back))  # type: ignore[no-any-return]


async def _offers(streets: Streets) -> list[str]:
    route = {"Host": "h", "PathPrefix": "/", "RouteType": "idempotent", "Service": "s"}
    found = []
    for number in range(OFFERS):
        row = {**route, "Name": f"r{number}", "ConfigVersion": "r7"}
        answer = await streets.rpc(MODIFY, "", {"Upsert": {"Routes": [row]}}, 0.001, lost=0)
        if answer.status == 200:
            found.append(f"offer {number}: a route to a dropped service was acknowledged")
        await asyncio.sleep(OFFER_EACH_S)
    return found

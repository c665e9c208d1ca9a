"""Scripted worlds of configurations: two operators at once, and a machine that comes back with old state."""

from __future__ import annotations

import asyncio
from typing import Any

from ambershift.system.simulation.calling import Found, Streets
from ambershift.system.simulation.cluster import Cluster
from ambershift.system.simulation.scripts_cluster import _until_done
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MODIFY = "configuration.modify"
AWAY_S = 6.0
OFFERS, OFFER_EACH_S = 60, 0.02


def _service(cap: int) -> dict[str, Any]:
    return {"Upsert": {"Services": [{"Name": "s", "ConfigVersion": "r5", "ConnectionCap": cap}]}}


class _At(Streets):
    """A caller that knows one machine only."""

    def __init__(self, cluster: Cluster, seed: int, ip: str) -> None:
        super().__init__(cluster, seed)
        self._ip = ip

    def addresses(self) -> list[str]:
        return [self._ip]


def rivals(seed: int = 1, apart: int = 5 * NS_PER_MS) -> list[str]:
    """Two contents under one version, sent to two machines `apart` ns one after the other."""
    cluster = Cluster(seed, loss=0, count=6)
    cluster.run(2.5)
    streets = [_At(cluster, seed, ip) for ip in ("10.0.0.2", "10.0.0.5")]

    async def send(at: int) -> Found:
        await asyncio.sleep(at * apart / NS_PER_SECOND)
        return await streets[at].rpc(MODIFY, "", _service(at + 1), 5.0, lost=0)

    tasks = []
    for at in range(2):
        with streets[at].loop.current():
            tasks.append(streets[at].loop.create_task(send(at)))
    cluster.run(8)
    statuses = [task.result().status for task in tasks]
    if sorted(statuses) != [200, 409]:
        return [f"two contents of one version were answered {statuses}"]
    wrong = []
    for ip in sorted(cluster.boxes):
        reader = _At(cluster, seed, ip)
        seen = _until_done(cluster, reader, reader.rpc("configuration.retrieve", "", None))
        rows = seen.body["Services"]["Rows"]
        if [row[1] for row in rows] != [statuses.index(200) + 1]:
            wrong.append(f"{ip} shows {rows}, not what was acknowledged")
    return wrong


def offered_on_return(seed: int = 1, way: str = "killed") -> list[str]:
    """A service is dropped while a machine is away (`killed`, `cut` or `frozen`), which is then offered a
    route to it again and again from the moment that it returns.
    """
    cluster = Cluster(seed, loss=0, count=6)
    cluster.run(2.5)
    away, there = "10.0.0.2", _At(cluster, seed, "10.0.0.5")
    back = _At(cluster, seed, away)
    others = cluster.boxes.keys() - {away}

    def sure(document: dict[str, Any]) -> None:
        found = _until_done(cluster, there, there.rpc(MODIFY, "", document, 5.0, lost=0))
        assert found.status == 200, found

    sure(_service(1))
    cluster.run(1)
    links = {pair for ip in others for pair in ((ip, away), (away, ip))}
    if way == "killed":
        cluster.kill(away)
    elif way == "cut":
        cluster.cut |= links
    else:
        cluster.freeze(away)
    sure({"Remove": {"Services": [{"Name": "s", "ConfigVersion": "r6"}]}})
    cluster.run(AWAY_S)
    if way == "killed":
        cluster.start(away)
    elif way == "cut":
        cluster.cut -= links
    else:
        cluster.thaw(away)
    return _until_done(cluster, back, _offers(back))  # type: ignore[no-any-return]


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

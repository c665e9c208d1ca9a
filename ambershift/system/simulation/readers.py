"""Reads all items as a proxy does: at a control node that has merged what enough copies hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ambershift.system.interfaces import OutcomeUnknownError
from ambershift.system.messages.items import ZONE, Item, Key
from ambershift.system.messages.tombstones import CONFIGURATION_KINDS
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.cluster import ZONES, Process
from ambershift.system.simulation.operator_history import OperatorHistory, Sight

READS_A_SECOND = 5


class Reader:
    def __init__(self, streets: Streets, history: OperatorHistory) -> None:
        self.streets, self.history = streets, history

    async def run(self, until: Callable[[], bool]) -> None:
        while not until():
            await self.look(self.streets.addresses()[0])
            await asyncio.sleep(self.streets.chance.expovariate(READS_A_SECOND))

    async def look(self, ip: str) -> bool:
        cluster, sent = self.streets.cluster, self.streets.now()
        seen = self.streets.loop.create_future()

        async def merge(process: Process) -> None:
            try:
                await process.store.read_quorum(1.0)
            except OutcomeUnknownError:
                return
            items = dict(process.store.items())

            def told() -> None:
                if not seen.done():
                    seen.set_result(items)

            cluster.at(cluster.now + cluster.way(), told)

        def begin(process: Process) -> None:
            process.loop.create_task(merge(process))

        cluster.at(cluster.now + cluster.way(), lambda: cluster.step(ip, cluster.boxes[ip].life, begin))
        try:
            async with asyncio.timeout(2.0):
                items: dict[Key, Item] = await seen
        except TimeoutError:
            return False
        standing = {
            key: (item.version[0], msgspec.json.decode(item.body))
            for key, item in items.items()
            if key[0] in CONFIGURATION_KINDS and item.body is not None
        }
        zones = {
            zone: (item := items.get((ZONE, zone))) is not None and item.body == b"true" for zone in ZONES
        }
        self.history.sights.append(Sight(sent, self.streets.now(), standing, zones))
        return True

"""How simulated callers reach control nodes: connections, silence, further tries, lost answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.simulation.cluster import Cluster
from ambershift.system.simulation.loop import simulated_loop
from ambershift.system.simulation.sockets import BrokenOffError, Connection, NotReachedError
from ambershift.system.state_machine import NS_PER_SECOND

SILENCE, PATIENCE = 1.0, 5.0
LOST_ANSWERS = 0.005
REFUSALS = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class Found:
    """The first clear answer (status 0: none); when its call was sent; `untouched`: nothing was ever done."""

    status: int
    body: dict[str, Any]
    sent: float
    untouched: bool


class Streets:
    """What all callers share: their loop, and ways to the control nodes."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.chance = cluster, random.Random(f"{seed} callers")
        self.loop = simulated_loop(
            lambda: cluster.now, lambda when, handle: cluster.at(when, lambda: self.loop.run(handle))
        )
        self._number = 0
        self.success: Callable[[], None] = lambda: None  # A caller has just been told of one.

    def now(self) -> float:
        return self.cluster.now / NS_PER_SECOND

    def addresses(self) -> list[str]:
        """All that serve, or did until lately, in no order."""
        found = [ip for ip, box in self.cluster.boxes.items() if not box.gone]
        self.chance.shuffle(found)
        return found

    async def ask(
        self, ip: str, method: str, target: str, body: bytes, silence: float, lost: float = LOST_ANSWERS
    ) -> tuple[int, bytes]:
        """Raises `NotReachedError`, `BrokenOffError` or `TimeoutError`."""
        path, _, query = target.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(b"content-length", b"%d" % len(body))],
        }
        self._number += 1
        answer = self.loop.create_future()
        cluster = self.cluster
        connection = Connection(
            self._number,
            scope,
            body,
            answer,
            lambda told: cluster.at(cluster.now + cluster.way(), told),
            self.chance.random() < lost,
        )
        cluster.connect(ip, connection)
        try:
            async with asyncio.timeout(silence):
                found: tuple[int, bytes] = await answer
                return found
        except TimeoutError:
            cluster.close(ip, connection)
            raise

    async def call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        patience: float = PATIENCE,
        silence: float = SILENCE,
        final: Callable[[int], bool] = lambda status: status < 500,
        at: str = "",
        lost: float = LOST_ANSWERS,
    ) -> Found:
        """`at` is asked first; of the answers a share `lost` doesn't come back."""
        data = b"" if body is None else msgspec.json.encode(body)
        begun, pause, untouched = self.now(), 0.02, True
        addresses = self.addresses()
        if at in addresses:
            addresses = [at, *addresses]
        turn = 0
        sent = begun
        while self.now() - begun < patience:
            ip = addresses[turn % len(addresses)]
            turn += 1
            sent = self.now()
            try:
                status, told = await self.ask(ip, method, target, data, silence, lost)
                if status == 200:
                    self.cluster.at(self.cluster.now, self.success)
                if status not in REFUSALS and final(status):
                    return Found(status, msgspec.json.decode(told or b"{}"), sent, untouched)
                untouched &= status in REFUSALS
            except NotReachedError:
                pass
            except (BrokenOffError, TimeoutError):
                untouched = False
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.5)
        return Found(0, {}, sent, untouched)

    async def rpc(
        self,
        name: str,
        of: str,
        body: dict[str, Any] | None,
        patience: float = PATIENCE,
        at: str = "",
        lost: float = LOST_ANSWERS,
    ) -> Found:
        target = f"/ambershift/rpc?call={name}&of={of}"
        return await self.call("POST", target, body, patience, at=at, lost=lost)

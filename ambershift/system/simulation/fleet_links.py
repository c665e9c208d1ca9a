"""A proxy's connections with simulated control nodes, in the place of websockets."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from websockets.exceptions import ConnectionClosedError

from ambershift.system.messages import codec
from ambershift.system.simulation.observing import observe
from ambershift.system.simulation.world import Box
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from ambershift.system.transport.links import DIAL_TIMEOUT_S
from ambershift.system.transport.send_queue import SendQueue

HELD_UP = 200 * NS_PER_MS  # How often a sender tries again over a path that is cut.
BYTE = 4000  # ns a byte takes to a proxy: a link of 2 Mbit/s.
TRIPS_OF_A_DIAL = 4  # TCP's and HTTP's handshakes.


class FleetNetwork(Protocol):
    """What connections need of the simulated cluster that they belong to, as `fleet.Fleet` has it."""

    now: int
    dialled: int
    cut: set[tuple[str, str]]
    boxes: dict[str, Box]

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Do something at a time of the simulation, in ns."""

    def step(self, ip: str, life: int, event: Any) -> None:
        """Give an event to one incarnation of a control node."""

    def way_to(self, line: ProxyLink) -> int:
        """Return how long a message takes between the two ends, in ns."""

    def hang_up(self, line: ProxyLink) -> None:
        """Tell the control node that the proxy has closed the connection."""


class ProxyLink:
    """A connection of a proxy with one incarnation of a control node, in place of a websocket."""

    def __init__(self, fleet: FleetNetwork, proxy: str, ip: str, life: int) -> None:
        self.fleet, self.proxy, self.ip, self.life = fleet, proxy, ip, life
        self.ended = False
        self.transport = self  # Of which only `abort` is used.
        self._received = deque[bytes]()
        self._waiting: asyncio.Future[None] | None = None
        self._under_way: dict[bool, deque[tuple[int, bytes]]] = {True: deque(), False: deque()}

    # The proxy's end.

    async def send(self, data: bytes) -> None:
        if self.ended:
            raise ConnectionClosedError(None, None)
        self.carry(True, data)

    def abort(self) -> None:
        self.end()
        self.fleet.at(self.fleet.now + self.fleet.way_to(self), lambda: self.fleet.hang_up(self))

    def __aiter__(self) -> ProxyLink:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self.recv()
        except ConnectionClosedError:
            raise StopAsyncIteration from None

    async def recv(self) -> bytes:
        while not self._received:
            if self.ended:
                raise ConnectionClosedError(None, None)
            self._waiting = asyncio.get_running_loop().create_future()
            await self._waiting
        return self._received.popleft()

    # The network.

    def carry(self, to_node: bool, data: bytes) -> None:
        observe("send", self.fleet.now, self.proxy, self.ip, to_node, data)
        queue = self._under_way[to_node]
        when = self.fleet.now + self.fleet.way_to(self) + (0 if to_node else len(data) * BYTE)
        when = max(when, queue[-1][0] if queue else 0)
        queue.append((when, data))
        self.fleet.at(when, lambda: self._arrive(to_node))

    def _arrive(self, to_node: bool) -> None:
        queue = self._under_way[to_node]
        ends = (self.proxy, self.ip) if to_node else (self.ip, self.proxy)
        while queue and queue[0][0] <= self.fleet.now and not self.ended:
            if ends in self.fleet.cut:
                self.fleet.at(self.fleet.now + HELD_UP, lambda: self._arrive(to_node))
                return
            _, data = queue.popleft()
            if to_node:
                self.fleet.step(self.ip, self.life, FromProxy(self, codec.decode(data)))
            else:
                self._received.append(data)
                self._wake()

    def end(self) -> None:
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proxy has dialled."""

    line: ProxyLink


@dataclass(frozen=True, slots=True)
class HungUp:
    """Its end of the connection is closed."""

    line: ProxyLink


@dataclass(frozen=True, slots=True)
class FromProxy:
    """What it has sent."""

    line: ProxyLink
    message: msgspec.Struct


class ProxyLinks:
    """The dialler of one proxy, as `processes.attachment.Dialler`."""

    def __init__(self, fleet: FleetNetwork, name: str) -> None:
        self.fleet, self.name = fleet, name

    async def dial(self, ip: str) -> Any:
        fleet, line = self.fleet, ProxyLink(self.fleet, self.name, ip, -1)
        fleet.dialled += 1
        await asyncio.sleep(TRIPS_OF_A_DIAL * fleet.way_to(line) / NS_PER_SECOND)
        box = fleet.boxes.get(ip)
        cut = {(self.name, ip), (ip, self.name)} & fleet.cut
        if cut or box is None or box.frozen is not None:
            await asyncio.sleep(DIAL_TIMEOUT_S)
            raise TimeoutError
        if box.replica is None:
            raise ConnectionRefusedError
        line.life = box.life
        fleet.step(ip, box.life, Accepted(line))
        return line

    def send_queue(self, connection: Any, peer: str, masked: bool) -> SendQueue:
        return SendQueue(connection)

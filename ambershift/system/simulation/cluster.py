"""Whole control nodes: their stores and their API as they run, on simulated disks, links, clocks, sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, replace
from typing import Any

import msgspec

from ambershift.system.consensus.replicated_store import ReplicatedStore
from ambershift.system.control_api.application import ControlApi
from ambershift.system.control_api.context import NodeContext
from ambershift.system.coordination.value_deltas import value_delta_codec
from ambershift.system.messages import replication
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.simulation.loop import SimulatedLoop, simulated_loop
from ambershift.system.simulation.observing import observe
from ambershift.system.simulation.sockets import Connection
from ambershift.system.simulation.world import Box, World
from ambershift.system.state_machine import (
    NS_PER_MS,
    NS_PER_SECOND,
    MessageReceived,
    Tick,
    Write,
    WriteCompleted,
)

EPOCH = 1_700_000_000 * NS_PER_SECOND
RETRANSMISSION_ROUND_TRIP_NS = 70 * NS_PER_MS  # Between regions.
ZONES = {"z0": "r0", "z1": "r1", "z2": "r2", "z3": "r0", "z4": "r1", "z5": "r2"}


@dataclass(frozen=True, slots=True)
class Place(ProcessSettings):
    """Beside what a process is told, the time of day at its machine; none of the real classes asks for it."""

    wall: Callable[[], int]


class StorageBackend:
    """A simulated disk, as `consensus.disk.Disk`."""

    quarantine_reason: str | None = None

    def __init__(
        self,
        world: Cluster,
        box: Box,
        rows: dict[str, dict[str, bytes]],
        done: Callable[[int, str | None], None],
    ) -> None:
        self._world, self._box, self._rows, self.done = world, box, rows, done

    def open(self) -> dict[str, dict[str, bytes]]:
        return self._rows

    def write(self, write: Write) -> None:
        self._world.write(self._box, write)

    def close(self) -> None:
        """All that is out goes on."""


class Backends:
    """Nobody beats in a drill."""

    async def heartbeat(self, id: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        return 200, {}

    async def deregister(self, id: str) -> tuple[int, dict[str, Any]]:
        return 200, {}

    def proxy_addresses(self, region: str, zone: str, host: str) -> Sequence[str]:
        return ()


@dataclass
class Process:
    """One life of a control node."""

    loop: SimulatedLoop
    store: ReplicatedStore
    control_api: ControlApi
    bottom: StorageBackend
    open: set[Connection]  # What it has read, or will once it runs on.


@dataclass(frozen=True, slots=True)
class Arrived:
    """A connection with a request on it; then, that its caller has closed it."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class Closed:
    connection: Connection


class Cluster(World):
    """`drift` is by how much steady clocks may run apart; each has its own beginning."""

    def __init__(self, seed: int, loss: float = 0.01, count: int = 6, drift: float = 0.01) -> None:
        self.processes: dict[str, Process] = {}
        self.failed: list[str] = []  # What went wrong inside and was caught there.
        self.drift = drift
        self.clocks: dict[str, tuple[int, float]] = {}
        super().__init__(seed, loss, count)

    # Machines.

    def steady(self, ip: str) -> int:
        if ip not in self.clocks:
            begin = self.chance.randrange(1, 10**6) * NS_PER_SECOND
            self.clocks[ip] = begin, 1 + self.chance.uniform(-self.drift, self.drift)
        begin, pace = self.clocks[ip]
        return begin + int(self.now * pace)

    def settings(self, box: Box) -> ProcessSettings:
        local = replace(super().settings(box), zones=ZONES)
        return Place(
            **{one.name: getattr(local, one.name) for one in fields(local)},
            wall=lambda: EPOCH + self.now + box.wall,
        )

    def begin(self, box: Box, rows: dict[str, dict[str, bytes]]) -> None:
        ip, life = box.ip, box.life
        loop = simulated_loop(
            lambda: self.now, lambda when, handle: self.at(when, lambda: self.step(ip, life, handle))
        )
        bottoms: list[StorageBackend] = []

        def bottom(folder: str, own: str, done: Callable[[int, str | None], None]) -> StorageBackend:
            bottoms.append(StorageBackend(self, box, rows, done))
            return bottoms[0]

        def send(to: str, message: msgspec.Struct) -> None:
            self.send(ip, to, message)

        def steady() -> int:
            return self.steady(ip)

        settings = self.settings(box)
        store = ReplicatedStore(
            settings,
            send=send,
            steady_ns=steady,
            seed=self.chance.getrandbits(62),
            delta_codecs=value_delta_codec,
            log=self.log,
            open_disk=bottom,
        )
        with loop.current():
            context = NodeContext(ip=settings.ip, store=store, monotonic_ns=steady, send=send, log=self.log)
            control_api = ControlApi(settings, context, Backends(), self.chance.getrandbits(62))
            begun = store.start()
            try:
                begun.send(None)
            except StopIteration:
                pass
            else:
                raise AssertionError("a simulated disk opens at once")
        box.replica = store.replica
        self.processes[ip] = Process(loop, store, control_api, bottoms[0], set())

    def log(self, number: int, fields: dict[str, Any]) -> None:
        """Nobody reads it, but what fails within must not pass unseen."""
        observe("log", self.now, number)
        if "error" in fields:
            self.failed.append(f"event {number}: {fields}")

    def kill(self, ip: str) -> None:
        super().kill(ip)
        process = self.processes.pop(ip, None)
        for connection in sorted(process.open if process else (), key=lambda one: one.number):
            connection.break_off()

    def happen(self, box: Box, event: Any) -> None:
        process = self.processes[box.ip]
        if isinstance(event, asyncio.Handle):
            process.loop.run(event)
            return
        with process.loop.current():
            if isinstance(event, Tick):
                process.store.tick()
                process.control_api.tick()
            elif isinstance(event, MessageReceived):
                copied = type(event.message).__module__ == replication.__name__
                if copied:
                    process.store.receive_message(event.sender, event.message)
                else:
                    process.control_api.handle_message(event.sender, event.message)
            elif isinstance(event, WriteCompleted):
                process.bottom.done(event.token, event.fault)
            elif isinstance(event, Arrived):
                event.connection.serve(process.control_api, process.loop)
            elif isinstance(event, Closed):
                event.connection.closed()
            else:
                event(process)

    # Callers' connections: no cut befalls them.

    def connect(self, ip: str, connection: Connection) -> None:
        def arrive() -> None:
            box = self.boxes[ip]
            process = self.processes.get(ip)
            if box.replica is None or process is None:
                connection.refuse()
                return
            connection.life = box.life
            process.open.add(connection)
            connection.ended = lambda: process.open.discard(connection)
            self.step(ip, box.life, Arrived(connection))

        self.at(self._there(ip), arrive)

    def close(self, ip: str, connection: Connection) -> None:
        """Its caller has lost patience.

        After a partition TCP retransmits the request first, and a round trip later the end of the connection.
        """
        is_retransmitted = self.now < self.boxes[ip].held_up
        when = self._there(ip) + (RETRANSMISSION_ROUND_TRIP_NS if is_retransmitted else 0)
        self.at(when, lambda: self.step(ip, connection.life, Closed(connection)))

    def _there(self, ip: str) -> int:
        """When what leaves a caller now comes to that machine; what left earlier came before."""
        box = self.boxes[ip]
        when = max(self.now, box.held_up) + self.way()
        box.last = max(when, box.last + 1)
        return box.last

    def way(self) -> int:
        return NS_PER_MS // 2 + self.chance.randrange(2 * NS_PER_MS)

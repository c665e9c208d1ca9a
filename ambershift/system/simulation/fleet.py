"""Whole control nodes with their controllers, and proxies attached to them, on simulated links."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from ambershift.system.distribution.controller import Controller
from ambershift.system.messages import codec, registry_sync
from ambershift.system.processes.attachment import Attachment
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds
from ambershift.system.simulation.cluster import ZONES, Cluster
from ambershift.system.simulation.fleet_links import Accepted, FromProxy, HungUp, ProxyLink, ProxyLinks
from ambershift.system.simulation.loop import SimulatedLoop, simulated_loop
from ambershift.system.simulation.observing import observe
from ambershift.system.simulation.world import Box
from ambershift.system.state_machine import NS_PER_MS, MessageReceived, Tick

GREET_S, REPORT_S = 0.25, 1.0


@dataclass
class Front:
    """One proxy: its proxy and attachment as they run."""

    settings: ProcessSettings
    loop: SimulatedLoop
    server: ProxyServer
    attachment: Attachment
    frozen: list[asyncio.Handle] | None = None


class Fleet(Cluster):
    """`proxies` are named front-1 and so on, spread evenly over the zones."""

    def __init__(self, seed: int, count: int = 9, proxies: int = 9, config_apply: float = 2.5) -> None:
        self.bounds = replace(TimerBounds(), config_apply=config_apply)
        self.controllers: dict[str, tuple[RegistryService, Controller]] = {}
        self.lines: dict[tuple[str, str], ProxyLink] = {}  # By control node and proxy.
        self.dialled = 0
        self.fronts: dict[str, Front] = {}
        self.logged: list[tuple[int, str, int, dict[str, Any]]] = []  # Time, proxy, number, fields.
        super().__init__(seed, loss=0, count=count)
        for number in range(1, proxies + 1):
            self._start_proxy(f"front-{number}", list(ZONES)[(number - 1) % len(ZONES)])

    # Control nodes.

    def settings(self, box: Box) -> ProcessSettings:
        return replace(super().settings(box), bounds=self.bounds)

    def begin(self, box: Box, rows: dict[str, dict[str, bytes]]) -> None:
        super().begin(box, rows)
        ip, process, settings = box.ip, self.processes[box.ip], self.settings(box)
        chance = random.Random(self.chance.getrandbits(62))

        def send(to: str, message: msgspec.Struct) -> None:
            self.send(ip, to, message)

        def send_proxy(name: str, message: msgspec.Struct) -> None:
            if (line := self.lines.get((ip, name))) is not None:
                line.carry(False, codec.encode(message))

        def steady() -> int:
            return self.steady(ip)

        with process.loop.current():
            registry = RegistryService(
                settings,
                process.store,
                RegistryIO(send=send, steady=steady, log=self.log),
                seed=chance.getrandbits(62),
            )
            controller = Controller(
                settings,
                process.store,
                registry,
                send_proxy,
                send,
                steady,
                chance.getrandbits(62),
                self.log,
            )
            registry.load_snapshot(None)
        self.controllers[ip] = registry, controller

    def kill(self, ip: str) -> None:
        super().kill(ip)
        self.controllers.pop(ip, None)
        for key in [key for key in self.lines if key[0] == ip]:
            line = self.lines.pop(key)
            self.at(self.now + self.way_to(line), line.end)

    def happen(self, box: Box, event: Any) -> None:
        process = self.processes[box.ip]
        registry, controller = self.controllers[box.ip]
        with process.loop.current():
            if (
                isinstance(event, MessageReceived)
                and type(event.message).__module__ == registry_sync.__name__
            ):
                registry.receive(event.sender, event.message)
                controller.receive_from_control_node(event.sender, event.message)
                return
            if isinstance(event, Accepted):
                self._accept(box.ip, event.line, controller)
                return
            if isinstance(event, FromProxy):
                if self.lines.get((box.ip, event.line.proxy)) is event.line:
                    controller.receive_from_proxy(event.line.proxy, event.message)
                return
            if isinstance(event, HungUp):
                if self.lines.get((box.ip, event.line.proxy)) is event.line:
                    del self.lines[box.ip, event.line.proxy]
                    controller.proxy_lost(event.line.proxy)
                return
        super().happen(box, event)
        if isinstance(event, Tick):
            with process.loop.current():
                registry.tick()
                controller.tick()

    def _accept(self, ip: str, line: ProxyLink, controller: Controller) -> None:
        before = self.lines.get((ip, line.proxy))
        if before is not None:
            before.end()
        self.lines[ip, line.proxy] = line
        controller.proxy_linked(line.proxy)

    def hang_up(self, line: ProxyLink) -> None:
        self.step(line.ip, line.life, HungUp(line))

    def moment(self, machine: str, steady: int) -> int:
        """When that machine's steady clock told this."""
        begin, pace = self.clocks[machine]
        return int((steady - begin) / pace)

    # Proxies.

    def _start_proxy(self, name: str, zone: str) -> None:
        settings = replace(
            super().settings(Box("10.0.0.1")),
            name=name,
            machine_class="front",
            ip=name,
            zone=zone,
            region=ZONES[zone],
            zones=ZONES,
            data_directory=None,
            bounds=self.bounds,
        )
        loop = simulated_loop(
            lambda: self.now, lambda when, handle: self.at(when, lambda: self._run(name, handle))
        )

        def log(number: int, fields: dict[str, Any]) -> None:
            observe("log", self.now, name, number)
            self.logged.append((self.now, name, number, fields))

        def steady() -> int:
            return self.steady(name)

        with loop.current():
            server = ProxyServer(settings, steady, random.Random(self.chance.getrandbits(62)))
            attachment = Attachment(settings, server, ProxyLinks(self, name), steady, log)
            self.fronts[name] = Front(settings, loop, server, attachment)
            loop.create_task(attachment.run())
            loop.create_task(self._greet(attachment))
            loop.create_task(self._report(server, attachment, steady))

    async def _greet(self, attachment: Attachment) -> None:
        while True:
            attachment.send_hello()
            await asyncio.sleep(GREET_S)

    async def _report(self, server: ProxyServer, attachment: Attachment, steady: Any) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            attachment.send_report(server.take_report(steady()))

    def _run(self, name: str, handle: asyncio.Handle) -> None:
        front = self.fronts[name]
        if front.frozen is not None:
            front.frozen.append(handle)
        else:
            front.loop.run(handle)

    def freeze_proxy(self, name: str) -> None:
        front = self.fronts[name]
        front.frozen = front.frozen or []

    def thaw_proxy(self, name: str) -> None:
        front = self.fronts[name]
        missed, front.frozen = front.frozen or [], None
        for handle in missed:
            front.loop.run(handle)

    def way_to(self, line: ProxyLink) -> int:
        """One way between a proxy and a control node; each message takes a little of its own."""
        near = self.fronts[line.proxy].settings.region == f"r{(int(line.ip.rpartition('.')[2]) - 1) % 3}"
        return (NS_PER_MS if near else 20 * NS_PER_MS) + self.chance.randrange(NS_PER_MS)

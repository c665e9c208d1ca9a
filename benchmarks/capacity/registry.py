"""A control node's list and directory: beats, ticks, changes, words of the other five, and memory."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, cast

import msgspec

from ambershift.system.distribution.controller import Controller
from ambershift.system.distribution.traffic_rates import TrafficRates
from ambershift.system.messages import codec, registry_sync
from ambershift.system.messages.proxy_link import LoadReport
from ambershift.system.processes import control_node  # All that a control node's process imports counts.
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found, megabytes, micros
from benchmarks.capacity.world import CONTROL_NODES, Held, Size

assert control_node


def coded(_: str, message: msgspec.Struct) -> None:
    codec.encode(message)


def ended(work: Coroutine[Any, Any, Any]) -> Any:
    """The result of a coroutine that never has to wait here."""
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waits")


class Scene:
    """One control node's registry on a chosen clock, and what the five others tell it."""

    def __init__(self, size: Size) -> None:
        self.size, self.now, self.sent = size, 1000 * NS_PER_SECOND, 0
        self.own = [at for at in range(size.backends) if at % CONTROL_NODES == 0]
        self.proxies = [at for at in range(size.proxies) if at % CONTROL_NODES == 0]
        self.ledger = Held(size)
        self.sequence = 0
        self.registry = RegistryService(
            world.local(size), self.ledger, RegistryIO(self.send, lambda: self.now, lambda *_: None), 1
        )
        self.registry.listen(lambda put, gone: None)

    def send(self, ip: str, message: msgspec.Struct) -> None:
        self.sent += len(codec.encode(message))

    def beats(self, bodies: list[tuple[str, bytes]]) -> None:
        for id, body in bodies:
            ended(self.registry.heartbeat(id, body))

    def bodies(self, some: list[int]) -> list[tuple[str, bytes]]:
        self.sequence += 1
        return [(world.backend(self.size, at).id, world.beat(self.size, at, self.sequence)) for at in some]

    def told(self, peer: int, flows: bool = True) -> bytes:
        """All records of another control node."""
        size, mine = self.size, range(peer, self.size.backends, CONTROL_NODES)
        zones = size.names[peer::CONTROL_NODES] if flows else []
        return codec.encode(
            registry_sync.RegistryDelta(
                9,
                -1,
                8,
                tuple(world.lived(size, at) for at in mine),
                tuple(world.attached(size, at) for at in range(peer, size.proxies, CONTROL_NODES)),
                tuple(
                    registry_sync.PoolRate(zone, world.service(at), 12_345)
                    for zone in zones
                    for at in range(size.services)
                ),
                (),
                size.proxies,
            )
        )

    def hear(self, peer: int, data: bytes) -> None:
        self.registry.receive(world.cores(self.size)[peer].ip, codec.decode(data))

    def second(self) -> None:
        """The twenty ticks of a second."""
        for _ in range(20):
            self.now += 50 * NS_PER_MS
            self.registry.tick()


def reports(size: Size) -> float:
    """What the sums of traffic keep of each proxy linked here."""
    count, flows, data = 100, TrafficRates(), codec.encode(world.report(size))
    before = megabytes()
    for at in range(15 * count):
        report = codec.decode(data)
        assert isinstance(report, LoadReport)
        flows.report(at, world.proxy_name(at % count), size.names[0], NS_PER_SECOND, report.requests)
    return (megabytes() - before) * 1e3 / count


def play(size: Size) -> Found:
    found: Found = {}
    scene = Scene(size)
    registry, before = scene.registry, megabytes()
    registry.tick()
    first, told = scene.bodies(scene.own), [scene.told(peer) for peer in range(1, CONTROL_NODES)]
    found["first beat of a life|µs"] = micros(lambda _: scene.beats(first), 1) / len(first)
    greets = [world.hello(size, at) for at in scene.proxies]
    found["greet a proxy|µs"] = micros(lambda at: registry.proxy_connected(greets[at]), len(greets))
    found["hear all of another control node|ms"] = (
        micros(lambda at: scene.hear(at + 1, told[at]), CONTROL_NODES - 1) / 1e3
    )
    found["memory: records|MB"] = megabytes() - before
    again = scene.bodies(scene.own)
    found["beat that changes nothing|µs"] = micros(lambda _: scene.beats(again), 1) / len(again)
    scene.second()
    found["ticks of a second|ms"] = micros(lambda _: scene.second(), 1) / 1e3
    new = scene.bodies([size.backends + at for at in range(40)])
    found["beat that changes the list|µs"] = micros(lambda at: scene.beats(new[at : at + 1]), len(new))
    zone = size.names[1]
    found["a resolution|µs"] = micros(lambda _: registry.proxy_addresses("", zone), 20)
    found["count the proxies|µs"] = micros(lambda _: registry.max_proxies(), 20)
    controller = Controller(
        world.local(size), scene.ledger, registry, coded, scene.send, lambda: scene.now, 1, lambda *_: None
    )
    controller.completion_task = cast(Any, 1)  # No loop runs here.
    names = [world.hello(size, at) for at in scene.proxies[:9]]
    found["first words of a first link, coded|ms"] = (
        micros(lambda at: controller.receive_from_proxy(names[0].name, names[0]), 1) / 1e3
    )
    found["first words of each other, coded|ms"] = (
        micros(lambda at: controller.receive_from_proxy(names[at + 1].name, names[at + 1]), 8) / 1e3
    )
    controller.pool_assigners.update_routes(scene.ledger.items().values())
    found["routes looked at again|ms"] = (
        micros(lambda _: controller.pool_assigners.update_routes(scene.ledger.items().values()), 3) / 1e3
    )
    found["15 s of a proxy's reports|KB"] = reports(size)
    scene.sent = 0
    scene.second()
    found["bytes to the others after 40 new lives|B"] = scene.sent
    return found

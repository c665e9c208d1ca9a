"""A controller with real tables: what pools and proxies cost it each second, and what it sends.

Sizes are smaller here, and by pools times proxies: at the whole size it is more than a machine has.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import msgspec

from ambershift.system.distribution.controller import Controller
from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import BackendUpdate, Barrier, Hello, ItemUpdate
from ambershift.system.processes import control_node
from ambershift.system.state_machine import NS_PER_SECOND
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found, megabytes, micros
from benchmarks.capacity.registry import Scene, ended
from benchmarks.capacity.world import CONTROL_NODES, SIZES, Size

assert control_node
SMALL, MIDDLE, _ = SIZES
# 448, 4,488 and 41,440 pools times proxies.
BETWEEN = replace(SMALL, routes=240, backends=875, services=24, proxies=187, zones=12, regions=6)
OURS = (SMALL, BETWEEN, MIDDLE)


class Dealing(Scene):
    """A scene with the controller, whose own proxies greet, report each second and answer marks."""

    def __init__(self, size: Size) -> None:
        super().__init__(size)
        self.bytes, self.marks = Counter[str](), list[tuple[str, Barrier]]()
        self.messages, self.report = Counter[str](), world.report(size)
        self.controller = Controller(
            world.local(size),
            self.ledger,
            self.registry,
            self.tell,
            self.send,
            lambda: self.now,
            1,
            lambda *_: None,
        )

    def tell(self, name: str, message: msgspec.Struct) -> None:
        kind = type(message).__name__
        self.bytes[kind] += len(codec.encode(message))
        self.messages[kind] += 1
        if isinstance(message, Barrier):
            self.marks.append((name, message))

    def step(self) -> None:
        """Twenty ticks; marks are answered at the next, a report comes from each own proxy."""
        for at in range(20):
            self.now += NS_PER_SECOND // 20
            marks, self.marks = self.marks, []
            for name, mark in marks:
                self.controller.receive_from_proxy(name, mark)
            self.registry.tick()
            self.controller.tick()
            for number in self.proxies[at::20]:
                self.controller.receive_from_proxy(world.proxy_name(number), self.report)

    def quiet_second(self) -> None:
        """One in which all own backends beat, too, so that none falls silent."""
        self.beats(self.bodies(self.own))
        self.step()


async def play_in_loop(size: Size) -> Found:
    found: Found = {}
    scene = Dealing(size)
    scene.registry.tick()
    scene.beats(scene.bodies(scene.own))
    for peer in range(1, CONTROL_NODES):
        scene.hear(peer, scene.told(peer))
    scene.now += 4 * NS_PER_SECOND
    scene.beats(scene.bodies(scene.own))
    scene.step()
    before = megabytes()
    hellos = [world.hello(size, at) for at in scene.proxies]
    found["greet a proxy|µs"] = micros(lambda at: greet(scene, hellos[at]), len(hellos))
    first = sum(scene.bytes[one.__name__] for one in (ItemUpdate, BackendUpdate)) / len(hellos)
    found["told to a new link at once|B"] = first
    await asyncio.sleep(0)
    for _ in range(6):
        scene.quiet_second()
        await asyncio.sleep(0)
    found["tables and proxies in memory|MB"] = megabytes() - before
    scene.bytes.clear()
    scene.messages.clear()
    found["a second of quiet|ms"] = micros(lambda _: scene.quiet_second(), 3) / 1e3
    for kind in ("ControlNodeHeartbeat", "TableEntry", "BindTable", "Barrier"):
        found[f"{kind} in a quiet second a link|B"] = scene.bytes[kind] / 3 / len(hellos)
    report = scene.report
    found["hear a report|µs"] = micros(
        lambda at: scene.controller.receive_from_proxy(
            world.proxy_name(scene.proxies[at % len(hellos)]), report
        ),
        60,
    )
    scene.step()
    scene.bytes.clear()
    id, drained = world.backend(size, 0).id, world.beat(size, 0, 999, "draining")
    ended(scene.registry.tombstones.write(id, 0, "", ""))
    scene.registry.tombstones._durable_versions[id] = 1
    ended(scene.registry.heartbeat(id, drained))
    found["the second after a drain|ms"] = micros(lambda _: scene.quiet_second(), 1) / 1e3
    found["told of a drain a link|B"] = (
        sum(scene.bytes.values()) - scene.bytes["ControlNodeHeartbeat"]
    ) / len(hellos)
    return found


def greet(scene: Dealing, hello: Hello) -> None:
    scene.controller.receive_from_proxy(hello.name, hello)


def play(size: Size) -> Found:
    return asyncio.run(play_in_loop(OURS[SIZES.index(size)]))

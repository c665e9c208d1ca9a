"""Simulated control nodes by one seed: time, links, disks, processes that are killed, stopped and started.

What disks hold after a kill is what was synced, and of the write that was out all or nothing. Links keep
their order, but lose and repeat messages.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ambershift.system.consensus.effect_buffer import ItemsUpdated
from ambershift.system.consensus.replica import Replica
from ambershift.system.interfaces import DeltaCodec
from ambershift.system.messages import codec
from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds
from ambershift.system.simulation.observing import observe
from ambershift.system.state_machine import (
    NS_PER_MS,
    NS_PER_SECOND,
    CompleteCall,
    MessageReceived,
    ScheduleTick,
    Send,
    Tick,
    Write,
    WriteCompleted,
)

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


@dataclass
class Box:
    """A machine: its disk outlives its process, and `initial` tells it how it is started next."""

    ip: str
    initial: bool = True
    disk: dict[str, dict[str, bytes]] = field(default_factory=dict)
    replica: Replica | None = None  # None while no process runs.
    life: int = 0
    frozen: list[Any] | None = None  # What arrives while the process stands still.
    fault: str | None = None  # Of its disk: "full", "failed" or "stalled".
    out: Write | None = None  # The write being synced.
    held_up: int = 0  # Till when nothing of its callers comes through.
    last: int = 0  # When the last thing from a caller comes.
    wall: int = 0  # How far its time of day is off, in ns.
    gone: bool = False


class World:
    def __init__(self, seed: int, loss: float = 0.01, count: int = 6) -> None:
        self.chance = random.Random(seed)
        self.now = 0
        self.loss = loss
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._orders = itertools.count()
        self.boxes: dict[str, Box] = {}
        self.cut: set[tuple[str, str]] = set()
        self._last: dict[tuple[str, str], int] = {}
        self._calls: dict[tuple[str, int, int], Callable[[Any], None]] = {}
        self._number = 0
        self.told: Callable[[], None] = lambda: None  # Called when a caller has just been told of success.
        self.sent: dict[str, list[int]] = {}
        self.late: Callable[[str, str, msgspec.Struct], bool] = lambda sender, to, message: False
        self.caught: list[tuple[str, str, msgspec.Struct]] = []  # What is `late`, until it is let go.
        for index in range(1, count + 1):
            self.boxes[f"10.0.0.{index}"] = Box(f"10.0.0.{index}")
        for ip in list(self.boxes):
            self.start(ip)

    # Time.

    def at(self, when: int, what: Callable[[], None]) -> None:
        # Drawn before the push: a killed process's coroutines may be collected, and come here, at any time.
        order = next(self._orders)
        heapq.heappush(self._heap, (max(when, self.now), order, what))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * NS_PER_SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.now = end

    # Machines.

    def settings(self, box: Box) -> ProcessSettings:
        index = int(box.ip.rpartition(".")[2])
        seeds = SEEDS if box.initial else [ip for ip, one in self.boxes.items() if not one.gone][:3]
        return ProcessSettings(
            file="",
            name=box.ip,
            machine_class="core",
            ip=box.ip,
            zone=f"z{(index - 1) % 6}",
            region=f"r{(index - 1) % 3}",
            counted=True,
            initial=box.initial,
            data_directory="-",
            internal_ports=(1, 2),
            seeds=tuple(f"{ip}:1" for ip in seeds),
            listen_addresses={},
            zones={},
            heartbeat_interval_s=1.5,
            tolerated_losses=(1, 1, 1),
            bounds=TimerBounds(),
        )

    def start(self, ip: str) -> None:
        box = self.boxes[ip]
        if box.replica is not None or box.gone:
            return
        box.life += 1
        self.begin(box, {kind: dict(rows) for kind, rows in box.disk.items()})
        box.initial = False
        self._tick(ip, box.life)

    def begin(self, box: Box, rows: dict[str, dict[str, bytes]]) -> None:
        """A process starts on this machine with what its disk holds."""
        box.replica = Replica(
            self.settings(box),
            seed=self.chance.getrandbits(62),
            delta_codecs=self.shape,
            rows=rows,
            now=self.now,
        )

    def shape(self, register: str) -> DeltaCodec | None:
        return None

    def kill(self, ip: str) -> None:
        box = self.boxes[ip]
        if box.out is not None and self.chance.random() < 0.5:
            self._apply(box, box.out)
        box.replica, box.frozen, box.out = None, None, None

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.boxes[ip].disk = {}

    def replace(self, ip: str) -> str:
        """Take a machine out for good; an empty one at a new address will do for it."""
        self.kill(ip)
        self.boxes[ip].gone = True
        self._number += 1
        fresh = f"10.0.1.{int(ip.rpartition('.')[2]) + 6 * self._number}"
        self.boxes[fresh] = Box(fresh, initial=False)
        return fresh

    def retire(self, ip: str) -> None:
        """Its process is told to end, and goes on for a while."""
        box = self.boxes[ip]
        if box.replica is not None and box.frozen is None:
            box.replica.failure_detector.start_leaving()

    def remove(self, ip: str) -> None:
        """Take a machine out for good, with nobody in its place."""
        self.kill(ip)
        self.boxes[ip].gone = True

    def freeze(self, ip: str) -> None:
        if self.boxes[ip].frozen is None:
            self.boxes[ip].frozen = []

    def thaw(self, ip: str) -> None:
        box = self.boxes[ip]
        missed, box.frozen = box.frozen or [], None
        for event in missed:
            self.step(ip, box.life, event)

    def _tick(self, ip: str, life: int) -> None:
        box = self.boxes[ip]
        if box.replica is None or box.life != life:
            return
        if box.frozen is None:
            self.step(ip, life, Tick())
        self.at(
            self.now + 50 * NS_PER_MS + self.chance.randrange(2 * NS_PER_MS), lambda: self._tick(ip, life)
        )

    def step(self, ip: str, life: int, event: Any) -> None:
        box = self.boxes[ip]
        if box.replica is None or box.life != life:
            return
        if box.frozen is not None:
            box.frozen.append(event)
            return
        self.happen(box, event)

    def happen(self, box: Box, event: Any) -> None:
        """An event reaches a process that runs."""
        assert box.replica is not None
        ip, life = box.ip, box.life
        for effect in box.replica.step(self.now, event):
            if isinstance(effect, Send):
                self.send(ip, effect.recipient, effect.message)
            elif isinstance(effect, Write):
                self.write(box, effect)
            elif isinstance(effect, CompleteCall):
                observe("answer", self.now, ip, effect.call_id, effect.outcome)
                done = self._calls.pop((ip, life, effect.call_id), None)
                if done is not None:
                    done(effect.outcome)
            elif isinstance(effect, ScheduleTick):
                self.at(effect.at_ns, lambda: self.step(ip, life, Tick()))
            else:
                assert isinstance(effect, ItemsUpdated) or effect.number

    # Network and disk.

    def send(self, sender: str, to: str, message: msgspec.Struct) -> None:
        data = codec.encode(message)
        observe("send", self.now, sender, to, data)
        self.sent.setdefault(type(message).__name__, []).append(len(data))
        if self.late(sender, to, message):
            self.caught.append((sender, to, message))
            return
        if to not in self.boxes or (sender, to) in self.cut or self.chance.random() < self.loss:
            return
        link = sender, to
        when = self.now + self.trip(sender, to) + self.chance.randrange(4 * NS_PER_MS)
        if self.chance.random() < self.loss:  # Again after a reconnection, behind what came since.
            self.at(when + self.chance.randrange(800 * NS_PER_MS), lambda: self._arrive(link, data))
        when = self._last[link] = max(when, self._last.get(link, 0) + 1)
        self.at(when, lambda: self._arrive(link, data))

    def trip(self, sender: str, to: str) -> int:
        near = int(sender.rpartition(".")[2]) % 3 == int(to.rpartition(".")[2]) % 3
        return NS_PER_MS if near else 20 * NS_PER_MS

    def let_go(self, wanted: Callable[[str, str, msgspec.Struct], bool]) -> None:
        """What was late and is `wanted` arrives, all that waited for it is done."""
        some, self.caught = (
            [one for one in self.caught if wanted(*one)],
            [one for one in self.caught if not wanted(*one)],
        )
        for sender, to, message in some:
            self._arrive((sender, to), codec.encode(message))

    def _arrive(self, link: tuple[str, str], data: bytes) -> None:
        if link not in self.cut:
            self.step(link[1], self.boxes[link[1]].life, MessageReceived(link[0], codec.decode(data)))

    @staticmethod
    def _apply(box: Box, write: Write) -> None:
        for kind, name, value in write.rows:
            if value is None:
                box.disk.get(kind, {}).pop(name, None)
            else:
                box.disk.setdefault(kind, {})[name] = value

    def write(self, box: Box, write: Write) -> None:
        assert box.out is None
        observe("write", self.now, box.ip, write.rows)
        box.out, life = write, box.life

        def done() -> None:
            if box.replica is None or box.life != life:
                return
            if box.fault == "stalled":
                self.at(self.now + 50 * NS_PER_MS, done)
                return
            if box.fault is None or self.chance.random() < 0.3:  # A refused write may be there all the same.
                self._apply(box, write)
            box.out = None
            self.step(box.ip, life, WriteCompleted(write.token, box.fault))

        self.at(self.now + NS_PER_MS // 2 + self.chance.randrange(4 * NS_PER_MS), done)

    # Callers.

    def call(self, ip: str, make: Callable[[int], Any], done: Callable[[Any], None]) -> None:
        box = self.boxes[ip]
        if box.replica is None or box.frozen is not None:
            return
        self._number += 1
        self._calls[(ip, box.life, self._number)] = done
        self.step(ip, box.life, make(self._number))

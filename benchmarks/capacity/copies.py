"""Six replicas that hand each other messages: what a put and a change of a register cost, and memory."""

from __future__ import annotations

import tempfile
import threading
from collections import Counter
from typing import Any

import msgspec

from ambershift.system.consensus.disk import Disk
from ambershift.system.consensus.effect_buffer import ItemsUpdated
from ambershift.system.consensus.events import ChangeRegister, Event, ReadQuorum, WriteItems
from ambershift.system.consensus.replica import Replica
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages import codec, replication
from ambershift.system.messages.items import ROUTE
from ambershift.system.processes import control_node
from ambershift.system.state_machine import (
    NS_PER_MS,
    NS_PER_SECOND,
    CompleteCall,
    MessageReceived,
    Send,
    Tick,
    Write,
    WriteCompleted,
)
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found, elsewhere, megabytes, micros
from benchmarks.capacity.world import CONTROL_NODES, Size

assert control_node
PUTS = 60


class Exchange:
    """All six in one process; a write is on disk at once, a message arrives at once, in the order sent."""

    def __init__(self, size: Size) -> None:
        self.now, self.size = 1000 * NS_PER_SECOND, size
        self.ips = [one.ip for one in world.cores(size)]
        self.nodes: dict[str, Replica] = {}
        self.bytes, self.messages, self.answers = Counter[str](), Counter[str](), 0
        self.written = 0
        self.lines: list[tuple[str, Event]] = []
        for at, ip in enumerate(self.ips):
            self.nodes[ip] = Replica(
                world.local(size, at), seed=at + 1, delta_codecs=lambda _: None, rows={}, now=self.now
            )
        for _ in range(40):
            self.tick()

    def tick(self) -> None:
        self.now += 50 * NS_PER_MS
        for ip in self.ips:
            self.give(ip, Tick())

    def give(self, ip: str, event: Event) -> None:
        self.lines.append((ip, event))
        while self.lines:
            to, one = self.lines.pop(0)
            for effect in self.nodes[to].step(self.now, one):
                self.carry(to, effect)

    def carry(self, ip: str, effect: Any) -> None:
        if isinstance(effect, Send):
            kind = type(effect.message).__name__
            data = codec.encode(effect.message)
            self.bytes[kind] += len(data)
            self.messages[kind] += 1
            if effect.recipient in self.nodes:
                self.lines.append((effect.recipient, MessageReceived(ip, codec.decode(data))))
        elif isinstance(effect, Write):
            self.written += sum(len(value or b"") for _, _, value in effect.rows)
            self.lines.append((ip, WriteCompleted(effect.token)))
        elif isinstance(effect, CompleteCall):
            assert not isinstance(effect.outcome, Exception), effect.outcome
            self.answers += 1
        else:
            assert isinstance(effect, ItemsUpdated) or effect

    def called(self, event: Event) -> None:
        before = self.answers
        self.give(self.ips[0], event)
        assert self.answers == before + 1


def changes(exchange: Exchange, size: Size, found: Found) -> None:
    routes = [world.changed(size, at, 9 + at) for at in range(PUTS)]
    exchange.bytes.clear()
    exchange.messages.clear()
    exchange.written = 0
    found["put of one route, all six|µs"] = micros(
        lambda at: exchange.called(WriteItems(at, (routes[at],), 2.0)), PUTS
    )
    found["put of one route, between the six|B"] = sum(exchange.bytes.values()) / PUTS
    found["put of one route, messages|number"] = sum(exchange.messages.values()) / PUTS
    found["put of one route, to all disks|B"] = exchange.written / PUTS
    for told, length in (("100", 100), ("1,000", 1_000), ("10,000", 10_000)):
        register = f"l/{told}"

        def change(value: bytes | None, since: int, now: int, length: int = length) -> ChangeOutcome:
            return ChangeOutcome(bytes(length), None)

        exchange.called(ChangeRegister(7, register, change, 2.0))
        exchange.bytes.clear()
        found[f"change of a register of {told} bytes, all six|µs"] = micros(
            lambda at, register=register, change=change: exchange.called(  # type: ignore[misc]
                ChangeRegister(at, register, change, 2.0)
            ),
            PUTS,
        )
        found[f"change of a register of {told} bytes, between the six|B"] = (
            sum(exchange.bytes.values()) / PUTS
        )


def play(size: Size) -> Found:
    found: Found = {}
    call = elsewhere(lambda: [codec.encode(replication.MergeItems(1, 1, world.items(size)))])
    exchange = Exchange(size)
    before = megabytes()

    def all_items(_: int) -> None:
        merge = codec.decode(call.pop())
        assert isinstance(merge, replication.MergeItems)
        exchange.called(WriteItems(1, merge.items, 20.0))

    found["put of all items, all six|ms"] = micros(all_items, 1) / 1e3
    found["memory of all items, one of six|MB"] = (megabytes() - before) / CONTROL_NODES
    found["freshen, all six|µs"] = micros(lambda at: exchange.called(ReadQuorum(at, 2.0)), PUTS)
    exchange.bytes.clear()
    ticks = micros(lambda _: exchange.tick(), 20) * 20 / 1e3
    found["a second of ticks, one of six|ms"] = ticks / CONTROL_NODES
    found["a quiet second, one to the five|B"] = sum(exchange.bytes.values()) / CONTROL_NODES
    changes(exchange, size, found)
    found["digests of the buckets, encoded|µs"] = micros(
        lambda _: msgspec.msgpack.encode(exchange.nodes[exchange.ips[0]].store.buckets.bucket_digest()), 200
    )
    found |= disk(size)
    return found


def disk(size: Size) -> Found:
    """Transactions of one row into a file that has all items."""
    count, done = 200, threading.Semaphore(0)
    data = b"x" * 250
    with tempfile.TemporaryDirectory() as folder:
        made = Disk(folder, "10.0.0.1", lambda token, fault: done.release())
        made.open()
        first = tuple((ROUTE, f"r-{at}", data) for at in range(size.routes))
        made.write(Write(1, (("meta", "ip", b"10.0.0.1"), *first)))
        done.acquire()

        def one(at: int) -> None:
            made.write(Write(at, ((ROUTE, f"r-{at % size.routes}", data),)))
            done.acquire()

        found = {"a row to the disk, processor|µs": micros(one, count)}
        made.close()
    return found

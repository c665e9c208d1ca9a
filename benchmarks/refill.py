"""What a control node fetches that was away during many changes: `python -m benchmarks.refill`.

Simulated replicas (five, links of 1 and 20 ms, no bound on bytes). One is cut off, or loses its disk, while
items change in calls of 400; then it is let in again. Told are the simulated time until its copy equals the
others', the bytes of the answers that it got (deflated, as on the wire), and what this process spent.
With `--kill` the one that it fetches from is killed after the first part.
"""

from __future__ import annotations

import argparse
import hashlib
import sys
import time
from dataclasses import dataclass

from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.events import WriteItems
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.items import OPERATOR_AUTHOR, ROUTE, Item
from ambershift.system.messages.replication import SyncResponse
from ambershift.system.simulation.world import World
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

A_CALL = 400
AWAY, AT = "10.0.0.5", "10.0.0.1"
PLAIN = b"x" * 130
STEP_S, BOUND_S = 0.01, 60.0


@dataclass(frozen=True)
class Figures:
    """Simulated seconds until equal, messages and bytes of answers, processor seconds, largest message."""

    equal_s: float
    answers: int
    size: int
    processor_s: float
    largest: int


def body(item: int, version: int) -> bytes:
    """About as large as a route, and as hard to deflate."""
    return hashlib.blake2b(b"%d %d" % (item, version), digest_size=32).hexdigest().encode() + PLAIN


def put(world: World, items: list[Item]) -> None:
    told: list[object] = []
    world.call(AT, lambda call: WriteItems(call, items, 3.0), told.append)
    for _ in range(400):
        world.run(0.01)
        if told:
            break
    if told != [CallSucceeded(None)]:
        raise RuntimeError(f"a put of {len(items)} items was told {told}")


def change(world: World, items: int, changes: int, version: int) -> int:
    """So many changes, over all items in turn."""
    for first in range(0, changes, A_CALL):
        version += 1
        some = range(first, min(first + A_CALL, changes))
        put(
            world,
            [Item(ROUTE, f"r{at % items}", (version, OPERATOR_AUTHOR), body(at, version)) for at in some],
        )
    return version


def equal(world: World) -> bool:
    replicas = [box.replica for box in world.boxes.values() if box.replica is not None]
    return len(replicas) >= 4 and len({one.store.buckets.total for one in replicas}) == 1


def fetched(world: World, kill: bool) -> Figures:
    """From now until all copies are equal."""
    sizes = world.sent.setdefault(SyncResponse.__name__, [])
    before, began, worked = len(sizes), world.now, time.process_time()
    killed = not kill
    while not equal(world) and world.now - began < BOUND_S * NS_PER_SECOND:
        world.run(STEP_S)
        parts = [size for size in sizes[before:] if size > 1000]
        if not killed and parts:
            killed = True
            world.kill(AT)
    spent = time.process_time() - worked
    got = sizes[before:]
    return Figures((world.now - began) / NS_PER_SECOND, len(got), sum(got), spent, max(got, default=0))


def measure(items: int, changes: int, wiped: bool, kill: bool) -> Figures:
    world = World(1, loss=0, count=5)
    world.run(3)
    version = change(world, items, items, 0)
    links = {link for ip in world.boxes if ip != AWAY for link in ((ip, AWAY), (AWAY, ip))}
    world.cut |= links
    change(world, items, changes, version)
    world.run(2)
    if wiped:
        world.wipe(AWAY)
        world.start(AWAY)
    world.cut.clear()
    return fetched(world, kill)


def start_ms(items: int) -> float:
    """How long a start takes to read so many rows."""
    journal = WriteQueue(EffectBuffer(AT))
    store = ItemStore(EffectBuffer(AT), journal, {})
    store.merge(Item(ROUTE, f"r{at}", (1, OPERATOR_AUTHOR), body(at, 1)) for at in range(items))
    rows = {key: value for (_, key), value in journal._pending_rows.items() if value is not None}
    began = time.process_time()
    ItemStore(EffectBuffer(AT), WriteQueue(EffectBuffer(AT)), rows)
    return (time.process_time() - began) * NS_PER_SECOND / NS_PER_MS


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, nargs="+", default=[100, 1_000, 10_000])
    parser.add_argument("--changes", type=int, nargs="+", default=[1_000, 10_000, 100_000])
    parser.add_argument("--kill", action="store_true")
    given = parser.parse_args()
    for items in given.items:
        print(f"{items} items: a start reads them in {start_ms(items):.1f} ms", flush=True)
        for changes in given.changes:
            for wiped in (False, True):
                one = measure(items, changes, wiped, given.kill)
                way = "disk lost" if wiped else "cut off"
                print(
                    f"{items} items, {changes} changes, {way}: equal after {one.equal_s:.2f} s, "
                    f"{one.answers} answers, {one.size / 1e3:.0f} KB, largest {one.largest / 1e3:.0f} KB, "
                    f"{one.processor_s:.2f} s of processor",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())

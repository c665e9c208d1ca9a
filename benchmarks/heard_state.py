"""Measures heard state: `python -m benchmarks.heard_state [--quick]`, from the root.

Three members each say what a coordinator says of its servers, and exchange every second, in virtual time and
with real bytes. Beside it in the same run: each member pushes all that it holds to each other every second.
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc

from ambershift.coordinator.replication.gossip.messages import (
    Delta,
    DeltaRecord,
    Message,
    OriginDelta,
    decode,
    encode,
)
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import RecordKind

S = 1_000_000_000
NAMES = ("n1", "n2", "n3")
# A second, of the servers: starts, and those that are told one by one every other second.
STARTS, ILL = 0.001, 0.01


def say(store: GossipStore, now: int, servers: int, rng: random.Random) -> None:
    """As group/observation_exchange.py: starts, outliers and a sample every 2 s, shares and levels seldom."""
    for _ in range(rng.randrange(2) + int(STARTS * servers)):
        store.put(
            now, RecordKind.SERVER_START, f"server-{rng.randrange(servers):05d}", now.to_bytes(8, "big")
        )
    if now // S % 2 == 0:
        for at in range(int(ILL * servers)):
            store.put(now, RecordKind.ATTEMPT_STATS, f"server-{at:05d}\x1fzone-{at % 4}", rng.randbytes(30))
        for zone in range(4):
            store.put(
                now,
                RecordKind.ATTEMPT_STATS,
                f"\x1fzone-{zone}",
                rng.randbytes(30 * min(40, servers // 4 + 1)),
            )
    if now // S % 7 == 0:
        for zone in range(4):
            store.put(now, RecordKind.ZONE_LEVEL, f"zone-{zone}", rng.randbytes(10))
            store.put(now, RecordKind.ZONE_SHARE, f"zone-{zone}", rng.randbytes(12))


def exchange(one: GossipStore, other: GossipStore, now: int) -> tuple[int, int]:
    """One asks the other; bytes both ways, and messages."""
    talk: list[tuple[GossipStore, GossipStore, Message]] = [(one, other, one.digest())]
    size = count = 0
    while talk:
        sender, to, message = talk.pop()
        data = encode(message)
        size, count = size + len(data), count + 1
        answers, _ = to.receive(now, decode(data))
        talk += [(to, sender, answer) for answer in answers]
    return size, count


def push(one: GossipStore, other: GossipStore, now: int) -> int:
    """All that it holds, as one message."""
    parts = tuple(
        OriginDelta(
            name,
            origin.incarnation,
            0,
            origin.last_version,
            tuple(
                DeltaRecord(held.version, held.kind, held.key, held.body, now - held.observed_at)
                for held in origin.records.values()
            ),
        )
        for name, origin in one.origins.items()
    )
    data = encode(Delta(parts, False))
    other.receive(now, decode(data) if len(data) <= 1 << 20 else Delta(parts, False))
    return len(data)


def run(servers: int, seconds: int, full: bool) -> tuple[float, float, float]:
    """Bytes a second of all members together, and ms of work a second, and messages, once it runs evenly."""
    rng = random.Random(servers)
    stores = [GossipStore(name, 1) for name in NAMES]
    size = count = spent = 0.0
    for second in range(60 + seconds):
        now = (1000 + second) * S
        for store in stores:
            say(store, now, servers, rng)
        started = time.process_time()
        sent = messages = 0
        for one in stores:
            for other in stores:
                if one is not other:
                    some, few = (push(one, other, now), 1) if full else exchange(one, other, now)
                    sent, messages = sent + some, messages + few
            one.sweep(now)
        if second >= 60:
            spent += time.process_time() - started
            size, count = size + sent, count + messages
    return size / seconds, spent / seconds * 1000, count / seconds


def costs(quick: bool) -> None:
    print(
        "| servers | how | bytes a second, all members | a server and second | messages a second | "
        "work, ms a second |\n" + "| --- " * 6 + "|"
    )
    for servers in (10, 100, 1_000, 10_000):
        for name, full in (("deltas", False), ("all is pushed", True)):
            seconds = 10 if quick or (full and servers > 1_000) else 60
            size, work, count = run(servers, seconds, full)
            print(
                f"| {servers} | {name} | {size:.0f} | {size / servers:.1f} | {count:.1f} | {work:.1f} |",
                flush=True,
            )


def catching_up(quick: bool) -> None:
    print(
        "\n| records held | bytes to a new member | messages | ms | memory, bytes a record |\n"
        + "| --- " * 5
        + "|"
    )
    for records in (100, 1_000, 10_000) if quick else (1_000, 10_000, 100_000):
        tracemalloc.start()
        known = GossipStore("n1", 1)
        for at in range(min(records, 50_000)):
            known.put(0, RecordKind.SERVER_START, f"server-{at:05d}", bytes(8))
        rows = tuple(
            DeltaRecord(at + 1, RecordKind.SERVER_START, f"server-{at:05d}", bytes(8), 0)
            for at in range(records - 50_000)
        )
        known.receive(0, Delta((OriginDelta("n2", 1, 0, len(rows), rows),), False))
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        fresh, started = GossipStore("n3", 1), time.perf_counter()
        size, count = exchange(fresh, known, S)
        assert fresh.count == records
        print(
            f"| {records} | {size} | {count} | {(time.perf_counter() - started) * 1e3:.0f} | "
            f"{memory / records:.0f} |",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter")
    given = parser.parse_args()
    costs(given.quick)
    catching_up(given.quick)


if __name__ == "__main__":
    main()

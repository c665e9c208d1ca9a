"""Watches resume from a saved revision: one control node answers with an old state, and then with 410."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from hashlib import blake2b
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HISTORY_S,
    NOT_RUN,
    Application,
    CannotRunError,
    Platform,
    Record,
    ask,
    until_served,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 3.5
BEFORE_S, UNTIL_RESUMED_S = 4.0, 42.0
APPLICATIONS, KEYS = 4, 8
PAUSE_S = 0.25  # Between two puts of one application: 16 puts a second in all.
GROUP = "g1."
REPEATED_S = 3.0  # At the end of a day each call is repeated for at least so long.


def proposer_of(platform: Platform) -> int:
    """Which control node the calls on the group are forwarded to: the first by rendezvous hashing."""
    return min(
        range(len(platform.nodes)),
        key=lambda at: blake2b(f"{platform.nodes[at].ip} g/{GROUP}".encode(), digest_size=8).digest(),
    )


async def put_often(
    application: Application, keys: list[str], acknowledged: list[int], stop: asyncio.Event
) -> None:
    count = 0
    while not stop.is_set():
        count += 1
        revision = await application.put(random.choice(keys), f"{application.name}-{count}")
        if revision is not None:
            acknowledged.append(revision)
        await asyncio.sleep(PAUSE_S * random.uniform(0.6, 1.4))


async def watch_once(
    address: str, after: int, record: Record, name: str, final: tuple[int, ...]
) -> tuple[int, int]:
    """One watch, repeated until an answer is final: its status, and the revision in it."""
    end = time.monotonic() + REPEATED_S
    while True:
        target = f"/ambershift/watch/{GROUP}?after={after}&WaitMs=1000"
        record(f"{name} to {address}: watch after {after}")
        answer = await ask(address, "GET", target, None, 2.5)
        status, body = answer or (0, {})
        revision = int(body.get("Revision", 0))
        record(f"{name} from {address}: {status}, {len(body.get('Events', ()))} events up to {revision}")
        if status in final:
            return status, revision
        if time.monotonic() >= end:
            raise CannotRunError(f"{address} doesn't answer a watch")
        await asyncio.sleep(0.1)


async def play(platform: Platform, record: Record) -> int:
    for node in platform.nodes:
        platform.start(node)
    killed = platform.nodes[proposer_of(platform)]
    keys = [f"{GROUP}{number:x}" for number in range(KEYS)]
    await until_served(platform, keys[0])
    acknowledged: list[int] = []
    stop = asyncio.Event()
    controls = [node.control for node in platform.nodes]
    applications = [
        Application(f"a{number}", controls[number:] + controls[:number], record)
        for number in range(APPLICATIONS)
    ]
    tasks = [asyncio.create_task(put_often(one, keys, acknowledged, stop)) for one in applications]
    await asyncio.sleep(BEFORE_S)
    # A watcher in each zone learns the present revision, saves it, and asks for no events for a while.
    saved = [(await watch_once(address, 0, record, "watcher", (200,)))[1] for address in controls]
    if TROUBLE:
        platform.signal(killed, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        platform.start(killed)
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(UNTIL_RESUMED_S)
    broken = 0
    for node, revision in zip(platform.nodes, saved, strict=True):
        newest = max(acknowledged)
        name = f"watcher {node.zone}"
        status, received = await watch_once(node.control, revision, record, name, (200, 410))
        received_at = time.monotonic()
        if status == 410:
            continue  # The saved revision is older than HistoryS.
        if received < newest:
            record(
                f"{node.name}: a watch that resumed from {revision} got {received}, "
                f"though {newest} had been acknowledged",
                show=True,
            )
        status, _ = await watch_once(node.control, received, record, name, (200, 410))
        age_s = time.monotonic() - received_at
        if status == 410 and age_s < HISTORY_S:
            broken += 1
            record(
                f"LOST: {node.name} answers 410 for revision {received}, received {age_s:.3f} s ago",
                show=True,
            )
    stop.set()
    await asyncio.gather(*tasks)
    if platform.fallen():
        raise CannotRunError(f"{platform.fallen()} ended by themselves")
    record(
        f"{len(acknowledged)} puts, {broken} of {len(saved)} watches got a 410 they must not get", show=True
    )
    return BROKEN if broken else HELD


def main() -> int:
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # The processes are ended then, too.
    record = Record(HERE / "record.txt")
    platform = Platform(record)
    try:
        return asyncio.run(play(platform, record))
    except Exception as error:  # Python would exit with 1, which means that the rule was broken.
        record(f"couldn't run: {error!r}", show=True)
        return NOT_RUN
    finally:
        platform.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())

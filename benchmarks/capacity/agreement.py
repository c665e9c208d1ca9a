"""What the configuration's register costs by the number of items: `python -m benchmarks.capacity.agreement`.

A change of three routes, judged against so many items that stand, with full lists of what is remembered.
"""

from __future__ import annotations

import statistics
import time

import msgspec

from ambershift.system.configuration.agreement import (
    REFUSED_MOST,
    SUPERSEDED_MOST,
    Agreement,
    Progress,
    Refusal,
    decide,
    digest_of,
)
from ambershift.system.configuration.change_request import Order, read_order
from ambershift.system.messages import codec
from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.replication import Accept

SIZES = (77, 770, 7_700)
SERVICES_A_ROUTE = 10  # One service for so many routes.
RUNS = 30


def order(names: range, version: int) -> Order:
    routes = [
        {
            "Name": f"r-{number:x}", "Host": f"h{number}.example", "PathPrefix": f"/p{number}/",
            "RouteType": "idempotent", "TimeoutMs": 1500 + version % 7, "TargetMs": 600, "Priority": 2,
            "Service": f"s{number % 7}", "MaxAttempts": 2, "ConfigVersion": f"r{version}",
        }
        for number in names
    ]  # fmt: skip
    services = [{"Name": f"s{number}", "ConfigVersion": "r1", "ConnectionCap": 110} for number in range(7)]
    return read_order(msgspec.json.encode({"Upsert": {"Routes": routes, "Services": services}}))


def remembered() -> Agreement:
    """A register whose lists are full."""
    progress, agreement, held = Progress(0), Agreement(0, ()), dict[Key, Item]()
    for version in range(2, SUPERSEDED_MOST + 4):
        agreement, _ = decide(order(range(1), version), agreement, progress, held)
        progress.has_stored(agreement.end)
    refused = tuple(Refusal(digest_of(order(range(1), number)), False) for number in range(REFUSED_MOST))
    return msgspec.structs.replace(agreement, refused=refused)


def on_link(value: bytes) -> int:
    return len(codec.encode(Accept(5, 7, "configuration", (9, 9), None, None, value)))


def main() -> None:
    full = remembered()
    print("| routes | judged, ms | register, bytes | its accept on a link, bytes | all at once: ms, bytes |")
    print("| --- | --- | --- | --- | --- |")
    for size in SIZES:
        held = {item.key: item for item in order(range(size), 1).items}
        change = order(range(3), 1_000)
        spans = []
        for _ in range(RUNS):
            begun = time.perf_counter()
            after, _ = decide(change, full, Progress(full.end, full.end), held)
            spans.append((time.perf_counter() - begun) * 1e3)
        begun = time.perf_counter()
        whole, _ = decide(order(range(size), 1), Agreement(0, ()), Progress(0), {})
        first = (time.perf_counter() - begun) * 1e3
        value = msgspec.msgpack.encode(after)
        print(
            f"| {size} | {statistics.median(spans):.2f} | {len(value)} | {on_link(value)} "
            f"| {first:.1f}, {on_link(msgspec.msgpack.encode(whole))} |"
        )


if __name__ == "__main__":
    main()

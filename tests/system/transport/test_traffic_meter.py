"""Traffic of links, counted by scope and kind of message."""

from __future__ import annotations

import contextlib

from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import Barrier, ItemUpdate
from ambershift.system.transport.send_queue import SendQueue
from ambershift.system.transport.traffic_meter import (
    REPORT_INTERVAL_NS,
    TrafficMeter,
    frame_bytes,
    traffic_scope,
)


def test_frame_bytes_and_traffic_scope() -> None:
    assert [frame_bytes(size, False) - size for size in (125, 126, 65_535, 65_536)] == [2, 4, 4, 10]
    assert frame_bytes(10, True) == 16
    local = ("a1", "a")
    assert [traffic_scope(local, peer) for peer in (local, ("a2", "a"), ("b1", "b"), None)] == [
        "zone",
        "region",
        "abroad",
        "unknown",
    ]


def test_counts_are_reported_each_interval_and_accumulate() -> None:
    meter = TrafficMeter(("a1", "a"), {"x": ("b1", "b"), "y": ("a1", "a")}.get)
    for peer in ("x", "x", "y", "z"):
        meter.record(peer, True, "cb", 20)
    counts = {"abroad": {"cb": [2, 52]}, "unknown": {"cb": [1, 26]}, "zone": {"cb": [1, 26]}}
    assert meter.report_if_due(REPORT_INTERVAL_NS - 1) is None
    assert meter.report_if_due(REPORT_INTERVAL_NS) == counts
    assert meter.report_if_due(REPORT_INTERVAL_NS + 1) is None
    meter.record("x", False, "cb", 20)
    assert (later := meter.report_if_due(2 * REPORT_INTERVAL_NS)) and later["abroad"] == {"cb": [3, 74]}


async def test_message_is_counted_only_after_it_is_written() -> None:
    class BrokenConnection:
        def __init__(self) -> None:
            self.sent: list[bytes] = []

        async def send(self, data: bytes) -> None:
            if self.sent:
                raise ConnectionResetError
            self.sent.append(data)

    counted, connection = list[tuple[str, int]](), BrokenConnection()
    queue = SendQueue(connection, lambda *message: counted.append(message))  # type: ignore[arg-type]
    queue.put(Barrier(1))
    queue.put(ItemUpdate((), True))
    with contextlib.suppress(ConnectionResetError):
        await queue.run()
    assert counted == [("fm", len(codec.encode(Barrier(1))))] and len(connection.sent) == 1

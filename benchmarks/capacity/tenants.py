"""Tenants as items at a proxy, which no message brings today; and packed: hash, version and homes of each."""

from __future__ import annotations

import bisect
import hashlib

import msgspec

from ambershift.system.messages import codec, proxy_link
from ambershift.system.messages.items import Item
from ambershift.system.proxy.routing import Routing
from benchmarks.capacity.meter import Found, elsewhere, megabytes, micros
from benchmarks.capacity.world import Size

PART = 1_000
ENTRY = 16  # Bytes: 8 of the name's hash, 6 of the version, 2 for the number of its set of homes.


def item(at: int) -> Item:
    body = {"Name": f"t-{at:06}", "ServingRegions": [f"region{at % 29:02}"], "ConfigVersion": "r7"}
    return Item("tenant", f"t-{at:06}", (7, ""), msgspec.json.encode(body))


def hashed(at: int) -> int:
    return int.from_bytes(hashlib.blake2b(f"t-{at:06}".encode(), digest_size=8).digest(), "big")


def told(size: Size) -> list[bytes]:
    return [
        codec.encode(
            proxy_link.ItemUpdate(
                tuple(item(at) for at in range(first, min(first + PART, size.tenants))), False
            )
        )
        for first in range(0, size.tenants, PART)
    ]


def play(size: Size) -> Found:
    found: Found = {}
    data = elsewhere(lambda: told(size))
    found["as items: to be sent|MB"] = sum(map(len, data)) / 1e6
    before, routing = megabytes(), Routing()

    def hear(at: int) -> None:
        message = codec.decode(data[at])
        assert isinstance(message, proxy_link.ItemUpdate)
        routing.merge(message.items)

    found["as items: hear all|ms"] = micros(hear, len(data)) * len(data) / 1e3
    found["as items: memory|MB"] = megabytes() - before
    before = megabytes()
    packed = bytearray().join(
        one.to_bytes(8, "big") + bytes(ENTRY - 8) for one in sorted(hashed(at) for at in range(size.tenants))
    )
    found["packed: to be sent, and memory|MB"] = len(packed) / 1e6

    def first(at: int) -> int:
        return int.from_bytes(packed[at * ENTRY : at * ENTRY + 8], "big")

    def look(at: int) -> int:
        return bisect.bisect_left(range(size.tenants), hashed(at % size.tenants), key=first)

    found["packed: look-up|µs"] = micros(look, 2_000)
    return found

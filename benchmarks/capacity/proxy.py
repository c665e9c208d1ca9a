"""A proxy: memory by what it was told, processor time of hearing it, of a look-up, a pick and a report."""

from __future__ import annotations

import random
import time
from functools import partial

from ambershift.system.messages import codec, proxy_link
from ambershift.system.processes import proxy  # All that a proxy's process imports counts in its memory.
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.state_machine import NS_PER_SECOND
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found, elsewhere, megabytes, micros, peak_megabytes
from benchmarks.capacity.world import Size

TRIES = 2_000
assert proxy


def heard(proxy: ProxyServer, data: bytes) -> None:
    """As the link hands it on."""
    proxy.handle_message(codec.decode(data))


def told(size: Size) -> list[bytes]:
    lives = tuple(world.backend(size, at) for at in range(size.backends))
    messages = (
        proxy_link.ItemUpdate(world.items(size), True),
        proxy_link.BackendUpdate(lives, (), True),
        *(world.bind(size, at) for at in range(size.services)),
    )
    return [codec.encode(one) for one in messages]


def again(proxy: ProxyServer, data: bytes, _: int) -> None:
    heard(proxy, data)


def play(size: Size) -> Found:
    found: Found = {}
    proxy = ProxyServer(world.local(size), time.monotonic_ns, random.Random(1))
    data = elsewhere(lambda: told(size))
    binds = data[2:]
    before = found["memory: before|MB"] = megabytes()
    for name, one in zip(("items", "backends"), data, strict=False):
        found[f"hear {name}, whole|ms"] = micros(partial(again, proxy, one), 1) / 1e3
        found[f"memory: {name}|MB"] = megabytes() - before
        before = megabytes()
    found["hear a bind|µs"] = micros(lambda at: heard(proxy, binds[at]), len(binds))
    pools = [proxy.backend_view.pool(world.service(at)) for at in range(size.services)]
    found["memory: tables|MB"] = megabytes() - before
    data.clear()
    binds.clear()
    found["memory: all|MB"], found["memory: peak|MB"] = megabytes(), peak_megabytes()
    hosts = [
        (route.host.encode(), f"{route.prefix}2f".encode())
        for route in (world.route(size, at * 31 % size.routes) for at in range(64))
    ]
    found["route look-up|µs"] = micros(lambda at: proxy.routing.find(*hosts[at % 64]), TRIES)
    found["pick|µs"] = micros(
        lambda at: proxy.pick(pools[at % len(pools)], time.monotonic_ns(), [], NS_PER_SECOND), TRIES
    )
    changes(size, proxy, found)
    return found


def changes(size: Size, proxy: ProxyServer, found: Found) -> None:
    routes = [
        codec.encode(proxy_link.ItemUpdate((world.changed(size, at, 9 + at),), False)) for at in range(60)
    ]
    found["hear one route|µs"] = micros(lambda at: heard(proxy, routes[at]), len(routes))
    new = [
        codec.encode(proxy_link.BackendUpdate((world.backend(size, size.backends + at),), (), False))
        for at in range(60)
    ]
    found["hear one new backend|µs"] = micros(lambda at: heard(proxy, new[at]), len(new))
    gone = [
        codec.encode(proxy_link.BackendUpdate((), (world.backend(size, size.backends + at).id,), False))
        for at in range(60)
    ]
    found["hear one backend gone|µs"] = micros(lambda at: heard(proxy, gone[at]), len(gone))
    line = codec.encode(proxy_link.TableEntry(world.service(1), 111, world.backend(size, 1).id, 5.0))

    def edited(_: int) -> None:
        heard(proxy, line)
        proxy.backend_view.pool(world.service(1))

    found["hear a line, and lay the pool out|µs"] = micros(edited, 500)
    cores = codec.encode(proxy_link.ControlNodeHeartbeat(world.cores(size), True, size.proxies))
    heard(proxy, cores)  # The first tells how many proxies there are.
    found["hear a sign of life|µs"] = micros(lambda _: heard(proxy, cores), 500)

    def second(at: int) -> None:
        for one in range(95):
            proxy.request_counts[world.service(one % size.services)] = 1
        for life in list(proxy.backend_view.instances.values())[:95]:
            life.attempts = 1
        codec.encode(proxy.take_report(time.monotonic_ns() + at))

    found["a report of 95 requests|µs"] = micros(second, 60)

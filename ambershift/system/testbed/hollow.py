"""Many proxies that are links only, against real nodes: what a proxy, a route and a backend cost them."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import resource
import secrets
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import (
    BackendLoad,
    Barrier,
    ControlNodeAddress,
    Hello,
    ItemUpdate,
    LoadReport,
    pool_name,
)
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.testbed.processes import cost_of
from ambershift.system.testbed.rig import NotMetError, Rig, until
from ambershift.system.testbed.settings import CONTROL_NODE, Site
from ambershift.system.transport.link_path import PROXY, PeerIdentity
from ambershift.system.transport.links import Links
from ambershift.system.transport.send_queue import SendQueue

REPORT_S, DIALS_AT_ONCE, SETTLE_S, UP_S = 1.0, 32, 6.0, 120.0
CAME_MEAN = 20  # Requests a second that each hollow proxy reports, spread over the pools.


class HollowProxy:
    """Says Hello, reports, reads all that is pushed, and answers marks. `got` counts bytes by kind."""

    def __init__(self, site: Site, number: int, zone: str, pools: list[str], chance: random.Random) -> None:
        self.name, self.zone, self.chance = f"hollow-{number}", zone, chance
        self.site, self.pools = site, pools
        self.life = secrets.token_hex(4)
        selector = ControlNodeSelector(self.name, zone, site.zones[zone], ())
        selector.control_nodes = tuple(
            ControlNodeAddress(one.ip, one.zone, one.region) for one in site.of(CONTROL_NODE)
        )
        self.ip = selector.candidates(0)[0]
        self.address = f"127.{site.block}.{200 + number // 250 % 50}.{1 + number % 250}:{site.ports.front}"
        self.got = Counter[str]()
        self.complete = False
        self.breaks = self.undialled = 0

    async def run(self, gate: asyncio.Semaphore) -> None:
        links = Links(
            PeerIdentity(PROXY, self.name, self.life),
            self.site.ports.internal,
            lambda *_: None,
            lambda _: None,
            lambda _: None,
            lambda *_: None,
        )
        while True:
            await asyncio.sleep(self.chance.uniform(0, 0.8) if self.breaks or self.undialled else 0)
            try:
                async with gate:
                    connection = await links.dial(self.ip)
            except OSError:
                self.undialled += 1
                continue
            with contextlib.suppress(OSError, ConnectionClosed, codec.UnreadableError):
                outbox = SendQueue(connection)
                tasks = [asyncio.ensure_future(one) for one in (outbox.run(), self.report(outbox))]
                self.greet(outbox)
                try:
                    async for data in connection:
                        self.hear(outbox, data if isinstance(data, bytes) else data.encode())
                finally:
                    for task in tasks:
                        task.cancel()
            self.breaks += 1

    def greet(self, outbox: SendQueue) -> None:
        outbox.put(Hello(self.name, self.life, self.zone, self.address, self.complete, False))

    def hear(self, outbox: SendQueue, data: bytes) -> None:
        message = codec.decode(data)
        self.got[type(message).__name__] += len(data)
        if isinstance(message, Barrier):
            outbox.put(message)
        elif isinstance(message, ItemUpdate) and message.complete and not self.complete:
            self.complete = True
            self.greet(outbox)

    async def report(self, outbox: SendQueue) -> None:
        await asyncio.sleep(self.chance.uniform(0, REPORT_S))
        while True:
            came = dict(Counter(self.chance.choices(self.pools, k=self.chance.randrange(2 * CAME_MEAN))))
            outbox.put(LoadReport(round(REPORT_S * 1000), came, tuple[BackendLoad, ...]()))
            await asyncio.sleep(REPORT_S)


def available_share() -> float:
    """The part of the machine's memory that is still to be had."""
    sizes = {
        line.partition(":")[0]: int(line.split()[1])
        for line in Path("/proc/meminfo").read_text().splitlines()
    }
    return sizes["MemAvailable"] / sizes["MemTotal"]


async def measure(site: Site, asked: argparse.Namespace, say: Callable[[str], None]) -> int:
    """Fill the configuration, link the hollow proxies, and print what it costs for `seconds`."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    chance = random.Random(site.seed)
    async with Rig(site, asked.backends, asked.rate, say, asked.services, asked.routes) as rig:
        zones = list(site.zones)
        pools = sorted(
            {
                pool_name(service, route.homes)
                for route in rig.book.routes.values()
                for service in route.services
            }
        )
        proxies = [HollowProxy(site, at, zones[at % len(zones)], pools, chance) for at in range(asked.hollow)]
        try:
            await rig.settle(UP_S)
            gate = asyncio.Semaphore(DIALS_AT_ONCE)
            began, before = time.monotonic(), spent(rig)
            for proxy in proxies:
                rig.spawn(proxy.run(gate))
            await until(
                "every hollow proxy has all items",
                lambda: all(one.complete for one in proxies) or available_share() < 0.5,
                UP_S,
            )
            if available_share() < 0.5:
                say("stopped: half of this machine's memory is in use")
                return 1
            each = ", ".join(f"{now - was:.2f}" for was, now in zip(before, spent(rig), strict=True))
            say(
                f"{len(proxies)} hollow proxies have all after {time.monotonic() - began:.1f} s; processor "
                f"seconds of this program and each control node: {each}"
            )
            await asyncio.sleep(SETTLE_S)  # Not a verdict: first tables are dealt meanwhile.
            say(f"bytes to each so far: {by_kind(proxies, 1.0)}")
            await span(rig, proxies, asked.seconds)
        except NotMetError as why:
            say(str(why))
            return 1
    return 0


def spent(rig: Rig) -> list[float]:
    """Processor seconds so far: this program's, then each control node's."""
    costs = [cost_of(child.process.pid) for child in rig.of(CONTROL_NODE) if child.process]
    return [time.process_time(), *(cost.cpu if cost else 0.0 for cost in costs)]


def by_kind(proxies: list[HollowProxy], over: float) -> str:
    """Bytes that each was sent on the mean, divided by `over`, the most first."""
    kinds = Counter[str]()
    for proxy in proxies:
        kinds.update(proxy.got)
    return (
        ", ".join(f"{name} {size / over / len(proxies):.1f}" for name, size in kinds.most_common()) or "none"
    )


async def span(rig: Rig, proxies: list[HollowProxy], seconds: float) -> None:
    """Look twice, `seconds` apart, and print the difference for each control node."""
    children = rig.of(CONTROL_NODE)
    for proxy in proxies:
        proxy.got.clear()
    costs = {child.machine.ip: cost_of(child.process.pid) for child in children if child.process}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    lasted = time.monotonic() - began
    print(
        f"\n{'control node':28} {'links':>6} {'MiB now':>8} {'MiB peak':>9} {'proc s/s':>9} "
        f"{'bytes/s a link':>15}"
    )
    for child in children:
        ip = child.machine.ip
        mine = [proxy for proxy in proxies if proxy.ip == ip]
        before, now = costs.get(ip), cost_of(child.process.pid) if child.process else None
        if before is None or now is None:
            print(f"{child.machine.name:28} has ended by itself")
            continue
        bytes_each = sum(sum(one.got.values()) for one in mine) / lasted / max(1, len(mine))
        print(
            f"{child.machine.name:28} {len(mine):>6} {now.now:>8.1f} {now.peak:>9.1f} "
            f"{(now.cpu - before.cpu) / lasted:>9.4f} {bytes_each:>15.1f}"
        )
    print(f"\nbytes a second a link by kind: {by_kind(proxies, lasted)}")
    print(
        f"links that broke: {sum(one.breaks for one in proxies)}, dials that failed: "
        f"{sum(one.undialled for one in proxies)}"
    )

"""One real control node process with many hollow proxies: processor time, memory and bytes of a link."""

from __future__ import annotations

import asyncio
import random
import resource
import tempfile
import time
from collections import Counter
from pathlib import Path

from ambershift.system.messages.proxy_link import pool_name
from ambershift.system.testbed.hollow import DIALS_AT_ONCE, HollowDesk
from ambershift.system.testbed.processes import cost_of
from ambershift.system.testbed.rig import Rig, until
from ambershift.system.testbed.settings import CONTROL_NODE, Site
from benchmarks.capacity.meter import Found, cpu_of
from benchmarks.capacity.world import SIZES, Size

LINKS = (50, 150, 400)
SPANS, SPAN_S, SETTLE_S, UP_S = 3, 4.0, 4.0, 60.0


async def play_in_loop(count: int, folder: Path) -> Found:
    site = Site(folder, 1, 0, 7)
    chance, spans = random.Random(7), list[Found]()
    async with Rig(site, 24, 0, lambda _: None, 4, 12) as rig:
        await rig.settle(UP_S)
        child = rig.of(CONTROL_NODE)[0].process
        assert child is not None
        before = cost_of(child.pid)
        pools = sorted(
            {
                pool_name(service, route.homes)
                for route in rig.book.routes.values()
                for service in route.services
            }
        )
        zones, gate = list(site.zones), asyncio.Semaphore(DIALS_AT_ONCE)
        proxies = [HollowDesk(site, at, zones[at % len(zones)], pools, chance) for at in range(count)]
        spent = cpu_of(child.pid)
        for proxy in proxies:
            rig.spawn(proxy.run(gate))
        await until("every hollow proxy has all items", lambda: all(one.complete for one in proxies), UP_S)
        dialled = cpu_of(child.pid) - spent
        await asyncio.sleep(SETTLE_S)
        for _ in range(SPANS):
            for proxy in proxies:
                proxy.got.clear()
            began, spent = time.monotonic(), cpu_of(child.pid)
            await asyncio.sleep(SPAN_S)
            lasted = time.monotonic() - began
            spans.append(
                {
                    "processor a second, all|ms": (cpu_of(child.pid) - spent) / lasted * 1e3,
                    "sent a second a link|B": sent(proxies) / lasted / count,
                }
            )
        after = cost_of(child.pid)
        assert before is not None
        assert after is not None
    found = {key: sorted(one[key] for one in spans)[SPANS // 2] for key in spans[0]}
    mib = 1.048576
    return found | {
        "memory over that without links|MB": (after.now - before.now) * mib,
        "peak of memory|MB": after.peak * mib,
        "taking a link in|ms": dialled / count * 1e3,
        "links that broke|number": sum(one.breaks for one in proxies),
    }


def sent(proxies: list[HollowDesk]) -> int:
    kinds = Counter[str]()
    for proxy in proxies:
        kinds.update(proxy.got)
    return sum(kinds.values())


def play(size: Size) -> Found:
    import uvloop

    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    with (
        tempfile.TemporaryDirectory(prefix="ambershift-capacity-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(play_in_loop(LINKS[SIZES.index(size)], Path(folder)))

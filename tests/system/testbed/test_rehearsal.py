"""The system as real processes among stand-ins; and the judges, which must find what they are there for."""

import asyncio
import json
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ambershift.system.testbed.book import Book, change, items_of
from ambershift.system.testbed.faults import Faults
from ambershift.system.testbed.histories import Given, Got, History, Hold, Put
from ambershift.system.testbed.judge import Judge, digest_of, seal_of
from ambershift.system.testbed.operator import differences
from ambershift.system.testbed.processes import Child
from ambershift.system.testbed.report import table
from ambershift.system.testbed.rig import Rig, until
from ambershift.system.testbed.settings import BOUNDS, CONTROL_NODE, PROXY, Site

pytestmark = pytest.mark.timeout(90)


def rehearse(folder: Path, act: Callable[[Rig, Faults], Awaitable[None]]) -> None:
    """Three control nodes, two proxies and four backends; whatever happens, every promise is to be kept."""

    async def whole() -> None:
        site = Site(
            folder,
            control_nodes=3,
            proxies=2,
            zone_count=3,
            heartbeat_ms=300,
            bounds={**BOUNDS, "GraceS": 2, "DrainMs": 1000},
        )
        said = list[str]()
        # Work that is long against its rate: whoever ends at once breaks something off.
        made = Rig(site, 4, 40.0, said.append, services=2, routes=4, callers=3, work_s=0.15)
        async with asyncio.timeout(80), made as rig:
            faults = Faults(rig)
            await rig.settle(20.0)
            rig.call_applications()
            traffic = rig.spawn(rig.send(60.0))
            await act(rig, faults)
            traffic.cancel()
            await rig.finish(5.0)
            found = await rig.operator.read_back(6.0)
            ends = [*faults.broken, *(name for name, child in rig.children.items() if child.fell)]
            lines, kept = table(rig, found, ends)
            assert kept, "\n".join([*said, *lines])

    asyncio.run(whole())


async def shown(rig: Rig) -> dict[str, Any]:
    """What the command `members` prints of the first control node."""
    address = rig.site.control(rig.site.of(CONTROL_NODE)[0])
    command = (sys.executable, "-m", "ambershift.system", "members", address)
    child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    out, _ = await child.communicate()
    assert child.returncode == 0
    return dict(msgspec.json.decode(out))


async def served(rig: Rig, more: int) -> None:
    goal = rig.judge.counts["served"] + more
    await until(f"{more} more requests served", lambda: rig.judge.counts["served"] >= goal, 15.0)


def test_a_control_node_lost_and_a_proxy_ended_in_order_lose_nothing(tmp_path: Path) -> None:
    async def act(rig: Rig, faults: Faults) -> None:
        await served(rig, 50)
        losing = rig.spawn(faults.lose("core"))
        await served(rig, 30)
        await losing
        assert await rig.operator.shift()
        ending = rig.spawn(faults.end_in_order())
        await served(rig, 60)
        await ending
        await served(rig, 20)
        seen = await shown(rig)
        assert len(seen["Voters"]) == 3 and seen["Complete"] == 3 and seen["Bears"] == 1
        counts, reasons = rig.judge.counts, rig.judge.reasons
        # What is answered late tells of this machine's speed; what has no answer at all tells of the system.
        unanswered = sum(
            count for reason, count in reasons.items() if not reason.isdigit() and reason != "late"
        )
        assert unanswered <= 0.05 * counts["requests"], reasons
        assert counts["served"] + reasons["late"] > 0.85 * counts["requests"], reasons
        assert rig.history.counts["answered"] > 10

    rehearse(tmp_path, act)


def test_sighup_while_a_process_loads_is_heard_once_it_listens(tmp_path: Path) -> None:
    """Without the mask it ends the process: the platform tells of a changed file whenever it has changed."""

    async def whole() -> None:
        child = Child(site := Site(tmp_path, control_nodes=1, proxies=1, zone_count=1), site.of(PROXY)[0])
        await child.start()
        try:
            assert child.process
            status = Path(f"/proc/{child.process.pid}/status")
            await until(
                "it loads, with SIGHUP blocked",
                lambda: any(
                    int(line.split()[1], 16) & 1
                    for line in status.read_text().splitlines()
                    if line.startswith("SigBlk")
                ),
                10.0,
            )
            child.process.send_signal(signal.SIGHUP)
            await until(
                "the file read again",
                lambda: not child.alive or any(line.get("n") == 4 for line in child.lines()),
                10.0,
            )
            assert child.alive
        finally:
            await child.kill()

    asyncio.run(whole())


# The judges.
def judge_with(services: frozenset[str] = frozenset({"a"})) -> tuple[Judge, Book]:
    book = Book(random.Random(3), ["r1", "r2", "r3"], 3, 4)
    judge = Judge(apply_s=0.0, drain_s=0.0, evacuation_s=0.0)
    for route in book.routes.values():
        judge.acknowledged(judge.will_send(route))
    return judge, book


def test_requests_that_break_a_promise_are_found() -> None:
    judge, book = judge_with()
    routes = list(book.routes.values())
    once, homed, digest = routes[1], routes[3], digest_of("POST", "/x", b"b")
    service = next(iter(once.services))
    assert not once.repeatable and homed.homes

    judge.sends("t1", once, digest)
    judge.ran("t1", digest, "i1", service, "r1")
    assert judge.answered("t1", 200, "t1", seal_of("i1", "t1", b"whole"), b"whole") and not judge.faults
    assert not judge.answered("t1", 200, "t1", seal_of("i1", "t1", b"whole"), b"who")
    assert not judge.answered("t1", 200, "t9", seal_of("i1", "t1", b"whole"), b"whole")
    assert judge.faults.pop("mixed answers") == 2 and not judge.faults
    judge.ran("t1", digest, "i2", service, "r1")
    assert judge.faults.pop("ran twice what may run once") == 1 and not judge.faults
    judge.sends("t2", once, digest)
    judge.answered("t2", 503, "", None, b"")
    judge.ran("t2", digest, "i1", service, "r1")
    assert judge.faults.pop("ran after a promise that it never will") == 1 and not judge.faults
    judge.sends("t3", once, digest)
    judge.ran("t3", digest_of("POST", "/y", b"b"), "i1", service, "r1")
    judge.ran("t4", digest, "i1", service, "r1")
    assert judge.faults.pop("ran what no client sent") == 2 and not judge.faults
    judge.ran("t3", digest, "i1", "nobody", "r1")
    assert judge.faults.pop("ran at a service it may not reach") == 1
    judge.faults.clear()
    judge.sends("t5", homed, digest)
    judge.ran("t5", digest, "i1", next(iter(homed.services)), "r3")
    assert judge.faults.pop("ran away from home") == 1 and not judge.faults

    moved = book.shift(once.name)
    form = judge.will_send(moved)
    judge.sends("t6", moved, digest)
    judge.ran("t6", digest, "i1", service, "r1")  # Not acknowledged yet: either may be in force.
    judge.acknowledged(form)
    time.sleep(0.001)
    judge.sends("t7", moved, digest)
    assert not judge.faults
    judge.ran("t7", digest, "i1", service, "r1")
    assert judge.faults.pop("handled by an old configuration") == 1 and not judge.faults
    judge.left["i1"] = judge.evacuated["z1"] = time.monotonic() - 1
    judge.offered("i1", "z1", cold=True, bound=1)
    judge.offered("i2", "z2", cold=True, bound=1)
    judge.offered("i2", "z2", cold=True, bound=1)
    assert dict(judge.faults) == {
        "sent to a backend that left": 1,
        "sent to a zone evacuated": 1,
        "too much to a cold backend": 1,
    }
    judge.faults.clear()
    judge.lost_spans.append(("d1", 0.0, time.monotonic() + 9))
    judge.closed("t6", "d1", read=False, why="closed")
    judge.closed("t6", "d2", read=True, why="closed")
    assert not judge.faults
    judge.closed("t6", "d1", read=True, why="closed")
    judge.answered("t6", 404, "", None, b"")
    assert dict(judge.faults) == {"lost at an orderly end": 1, "refused what is allowed": 1}


def test_calls_out_of_order_are_found() -> None:
    good = History()
    good.holds["l"] = [Hold("a", 1, 0, 1, 2), Hold("b", 2, 1.5, 2, 3), Hold("b", 2, 2.5, 2.6, 4)]
    good.numbers["n"] = [Given(0, 5, 7), Given(1, 2, 6), Given(3, 4, 8)]
    good.puts = [
        Put("g.1", "x", 0, 0, 1, 1, False),
        Put("g.1", "y", 1, 2, 3, 3, False),
        Put("g.2", "z", 0, 2, 3, 2, False),
        Put("g.2", "w", 0, 4, 5, None, True),
    ]
    good.gets = [Got("g.1", "x", 1, 1.5), Got("g.2", None, 0, 2.5), Got("g.1", "y", 3, 2.5)]
    good.named = [("g.2", 2)]
    good.events["g.@a"] = [[("g.1", "x", 1)], [("g.2", "z", 2), ("g.1", "y", 3)]]
    good.spans["g."] = [(0, 1), (1, 3)]
    assert good.judge() == []

    def found(change: Callable[[History], None]) -> str:
        bad = History()
        for name in ("holds", "numbers", "events", "spans"):
            getattr(bad, name).update({key: list(value) for key, value in getattr(good, name).items()})
        bad.puts, bad.gets, bad.named = list(good.puts), list(good.gets), list(good.named)
        change(bad)
        return "; ".join(bad.judge())

    assert "held it at once" in found(lambda one: one.holds["l"].append(Hold("a", 9, 2.4, 2.5, 3)))
    assert "two holders got fence 2" in found(lambda one: one.holds["l"].append(Hold("a", 2, 5, 6, 7)))
    assert "fence 1 after 2" in found(lambda one: one.holds["l"].append(Hold("a", 1, 5, 6, 7)))
    assert "given twice" in found(lambda one: one.numbers["n"].append(Given(6, 7, 8)))
    assert "5 given after 8" in found(lambda one: one.numbers["n"].append(Given(6, 7, 5)))
    assert "read at 1 after 3" in found(lambda one: one.gets.append(Got("g.1", "x", 1, 4)))
    assert "nobody put" in found(lambda one: one.gets.append(Got("g.1", "z", 3, 4)))
    assert "refused" in found(lambda one: one.gets.append(Got("g.2", "w", 4, 6)))
    assert "one value at" in found(lambda one: one.gets.append(Got("g.1", "y", 4, 6)))
    assert "past 3" in found(lambda one: one.puts.append(Put("g.1", "v", 1, 6, 7, 9, False)))
    assert "which no put got" in found(lambda one: one.named.append(("g.1", 8)))
    assert "don't rise" in found(lambda one: one.events["g.@a"].append([("g.1", "x", 1)]))
    assert "passed over [3, 2]" in found(lambda one: one.events["g.@a"].pop())


def test_what_is_read_back_is_compared_item_by_item() -> None:
    book = Book(random.Random(4), ["r1", "r2"], 2, 3)
    sent = items_of(json.loads(json.dumps(book.whole())))
    assert sent and differences(sent, items_of(book.whole())) == []
    first, second, third = list(book.routes)
    book.shift(first)
    book.drop(second)
    later = items_of(book.whole())
    found = " ".join(differences(later, sent))
    assert f"Routes {first}: ConfigVersion" in found and f"Routes {second} was not sent" in found
    assert third not in found
    assert f"Routes {second} is missing" in differences(sent, later)
    assert [row[0] for row in change([book.routes[first]])["Upsert"]["Routes"]["Rows"]] == [first]


def test_proxies_of_a_site_have_addresses_of_their_own(tmp_path: Path) -> None:
    site = Site(tmp_path, 6, 7)
    ips = [one.ip for one in site.machines.values()]
    assert len(set(ips)) == 13 and len(set(site.zones.values())) == 3
    zone = list(site.zones)[4]
    assert site.near(zone)[0].zone == zone and site.near(zone)[1].region == site.zones[zone]
    assert len(site.of(PROXY)) == 7 and site.tolerated == 1

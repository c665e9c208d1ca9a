"""Measures the runtime socket: `python -m benchmarks.runtime_socket [--quick]`, from the root.

A coordinator runs as a process of its own among the tests' stand-ins, with reports at a steady pace.
Clients are coroutines of this process, so that the rates are those of both sides together. Each figure
comes with the plain alternative of the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from ambershift.coordinator.runtime.client import Client
from tests.support.coordinator_process import SETTINGS, Discovery, Relay, configure, listing, until
from tests.support.policy_model import free_port

ROOT = Path(__file__).parent.parent

ZONES, PROXIES = ("east", "west"), 8
REPORTS_EVERY = 0.02


class Running(NamedTuple):
    """A coordinator and its surroundings; `steps` is where its timings go."""

    relay: Relay
    process: asyncio.subprocess.Process
    path: str
    steps: Path
    names: list[str]

    async def timings(self) -> dict[str, Any]:
        """What its steps took since the last call, in microseconds."""
        before = self.count()
        self.process.send_signal(signal.SIGUSR1)
        await until(lambda: self.count() > before)
        found: dict[str, Any] = json.loads(self.steps.read_text().splitlines()[-1])
        return found

    def count(self) -> int:
        return self.steps.read_text().count("\n") if self.steps.exists() else 0

    def memory_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS"))) / 1024


@contextlib.asynccontextmanager
async def running(servers: int, way: str) -> AsyncIterator[Running]:
    """`way` is `paced` or `plain`, `socket` for neither timed, `off` for `run` without a socket, or
    `bare` for the platform's own start.
    """
    relay, discovery = Relay(), Discovery()
    info = SETTINGS["family_info"] | {"most_waiting": 20_000.0, "egress_per_s": 10_000.0}
    relay.answering = True
    relay.channel.__init__(info)  # type: ignore[misc]
    known = [
        {
            "id": f"s-{at}",
            "addr": f"127.0.0.1:{9000 + at % 1000}",
            "zone": ZONES[at % 2],
            "kind": "m",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        for at in range(servers)
    ]
    discovery.now = listing(5, *known)
    hosts = [await asyncio.start_server(one.serve, "127.0.0.1", 0) for one in (relay, discovery)]
    ports = [one.sockets[0].getsockname()[1] for one in hosts]
    with tempfile.TemporaryDirectory() as folder:
        place, listen = Path(folder), free_port()
        configuration = configure(listen, ports[1], ports[0], discovery.now)
        configuration["settings"] = SETTINGS | {"family_info": info}
        (place / "config.json").write_text(json.dumps(configuration))
        (place / "run.hcl").write_text(
            f'runtime {{\n socket "{place}/r.sock" {{}}\n max_connections = 128\n}}\n'
        )
        words = {
            "bare": ["-m", "ambershift"],
            "off": ["-m", "ambershift", "run"],
            "socket": ["-m", "ambershift", "run", "--settings", str(place / "run.hcl")],
        }.get(way) or [
            "-m",
            "benchmarks.timed_run",
            str(place / "steps"),
            way,
            "run",
            "--settings",
            str(place / "run.hcl"),
        ]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "BALANCER_NAME": "n1", "BALANCER_CONFIG": str(place / "config.json")},
        )
        names = [f"{ZONES[at % 2]}/s-{at}" for at in range(servers)]
        tasks = [asyncio.create_task(relay.live())]
        try:
            await until(lambda: relay.followed)
            for proxy in range(PROXIES):
                relay.news(f"hello {proxy} {ZONES[proxy % 2]} 21.5 1")
            await until(lambda: sum(order.startswith("attach") for order in relay.carried) >= PROXIES, 60)
            tasks.append(asyncio.create_task(report(listen, servers)))
            yield Running(relay, process, str(place / "r.sock"), place / "steps", names)
        finally:
            for task in tasks:
                task.cancel()
            process.terminate()
            await process.wait()
            for one in hosts:
                one.close()
            relay.drop()


async def report(port: int, servers: int) -> None:
    """A collector's reports, so that steps have their ordinary work."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"agent zone=east\r\n")
    at = 0
    while True:
        for _ in range(2):
            at += 1
            writer.write(
                f"outcomes zone=east server=s-{at % servers} tries=5 failed=0 mean_ms=40 "
                f"span_ms=1000\r\n".encode()
            )
        await asyncio.sleep(REPORTS_EVERY)


async def rate(one: Running, clients: int, count: int, make: Any) -> tuple[float, HdrHistogram]:
    """Commands a second, and what their answers took in microseconds."""
    took, clock = HdrHistogram(1, 60_000_000, 3), asyncio.get_running_loop().time

    async def client(number: int) -> None:
        async with Client(one.path, 30.0) as api:
            for at in range(count // clients):
                started = clock()
                reply = await api.run(make(number, at))
                assert not reply.failed, reply
                took.record_value(max(1, int((clock() - started) * 1e6)))

    started = clock()
    await asyncio.gather(*map(client, range(clients)))
    return count / (clock() - started), took


async def answers(servers: int, count: int, rounds: int) -> None:
    async with running(servers, "paced") as one:
        names = one.names[:-4]
        kinds = {
            "show version": lambda number, at: "show version",
            "get weight": lambda number, at: f"get weight {names[(number * 31 + at) % len(names)]}",
            "set state, no change": lambda number, at: (
                f"enable server {names[(number * 31 + at) % len(names)]}"
            ),
        }
        for kind, make in kinds.items():
            for clients in (1, 10, 50):
                found = [await rate(one, clients, count, make) for _ in range(rounds)]
                rates = [each for each, _ in found]
                spread = (max(rates) - min(rates)) / statistics.median(rates)
                whole = HdrHistogram(1, 60_000_000, 3)
                for _, took in found:
                    whole.add(took)
                print(
                    f"| {servers} | {kind} | {clients} | {statistics.median(rates):.0f} | {spread:.0%} | "
                    + " | ".join(f"{whole.get_value_at_percentile(p) / 1000:.2f}" for p in (50, 99, 99.9)),
                    "|",
                )


def flood(names: list[str], seed: int) -> tuple[list[list[str]], set[str]]:
    """1,000 commands of 50 clients, a third of them sent twice, and the servers that end up out."""
    chance, out = random.Random(seed), dict[str, bool]()
    rows: list[list[str]] = [[] for _ in range(50)]
    sent = 0
    while sent < 1000:
        at = chance.randrange(len(names))
        out[names[at]] = chance.random() < 0.5
        twice = 1 + (chance.random() < 0.5)
        rows[at % 50] += [f"{'disable' if out[names[at]] else 'enable'} server {names[at]}"] * min(
            twice, 1000 - sent
        )
        sent += twice
    return rows, {name for name, away in out.items() if away}


async def flooding(servers: int, way: str, seed: int) -> tuple[float, int, int, int, int, float]:
    """The ratio of step times, distinct effects, eject lines, messages a proxy, most lines waiting,
    seconds.
    """
    async with running(servers, way) as one:
        await asyncio.sleep(3.0)
        await one.timings()
        await asyncio.sleep(3.0)
        calm = await one.timings()
        rows, out = flood(one.names[:40] if servers > 44 else one.names[:-4], seed)
        one.relay.carried.clear()
        one.relay.channel.messages.clear()
        clock = asyncio.get_running_loop().time
        started = clock()

        async def client(row: list[str]) -> None:
            async with Client(one.path, 30.0) as each:
                for text in row:
                    reply = await each.run(text)
                    assert not reply.failed, reply

        await asyncio.gather(*map(client, rows))
        took = clock() - started
        busy = await one.timings()
        async with Client(one.path) as each:
            for zone in ZONES:
                await each.run(f"wait 60s srv-applied {zone}/*", limit=70.0)
        lines = [order for order in one.relay.carried if "eject" in order.split(",")[0]]
        last = {order.split(",")[1]: order.startswith("eject") for order in lines}
        assert {name for name, away in last.items() if away} == {name.split("/")[1] for name in out}
        most = max(map(len, one.relay.channel.messages.values()))
        return busy["p99"] / calm["p99"], len(out), len(lines), most, round(one.relay.channel.most), took


async def memory() -> None:
    for way, title in (
        ("bare", "python -m ambershift"),
        ("off", "run without settings"),
        ("socket", "run with a socket"),
    ):
        async with running(30, way) as one:
            await asyncio.sleep(1.0)
            print(f"| {title} | {one.memory_mb():.1f} |")


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one round of a tenth of the commands")
    parser.add_argument("--part", choices=["answers", "flood", "memory"], help="only this one")
    given = parser.parse_args()
    if given.part in (None, "answers"):
        await all_answers(given.quick)
    if given.part in (None, "flood"):
        await all_floods(given.quick)
    if given.part in (None, "memory"):
        print("\n| program | resident MB |\n| --- | --- |")
        await memory()


async def all_answers(quick: bool) -> None:
    rounds, count = (1, 200) if quick else (5, 2000)
    print(
        "| servers | command | clients | commands/s | spread | p50 ms | p99 ms | p99.9 ms "
        "|\n" + "| --- " * 8 + "|"
    )
    for servers in (30, 300, 3000):
        await answers(servers, count, rounds)


async def all_floods(quick: bool) -> None:
    print(
        "\n| servers | way | round | step p99, flood over calm | distinct effects | eject lines | "
        "messages a proxy | "
        "most lines waiting | flood took s |\n" + "| --- " * 9 + "|"
    )
    for servers in (44, 300, 3000):
        for way in ("paced", "plain"):
            for at in range(1 if quick else 3):
                ratio, *rest, took = await flooding(servers, way, at)
                print(
                    f"| {servers} | {way} | {at + 1} | {ratio:.2f} | {' | '.join(map(str, rest))} | "
                    f"{took:.2f} |"
                )


if __name__ == "__main__":
    asyncio.run(main())

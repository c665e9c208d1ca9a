"""Runs a coordinator as a process, with a stand-in relay and a stand-in discovery service."""

import asyncio
import contextlib
import fcntl
import json
import os
import shlex
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from ambershift.coordinator.standins.discovery import Discovery
from ambershift.coordinator.standins.relay import Relay
from ambershift.coordinator.standins.world import SETTINGS, listing, server, until
from tests.support.policy_model import free_port

__all__ = ["SETTINGS", "Discovery", "Relay", "RunningCoordinator", "listing", "server", "until"]
ROOT = Path(__file__).parents[2]


class RunningCoordinator:
    """A coordinator process, its log, and the stand-ins that it works with."""

    def __init__(
        self,
        relay: Relay,
        discovery: Discovery,
        process: asyncio.subprocess.Process,
        address: tuple[str, int],
    ) -> None:
        self.relay, self.discovery, self.process, self.address = relay, discovery, process, address
        self.log = list[dict[str, Any]]()

    async def read_log(self) -> None:
        assert self.process.stdout
        async for line in self.process.stdout:
            self.log.append(json.loads(line))

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.log if line["event"] == event]

    async def probe(self, *first: bytes) -> bytes:
        """Send `first` and a probe, in pieces, and return the answer."""
        reader, writer = await asyncio.open_connection(*self.address)
        for piece in (*first, b"pro", b"be\r\n"):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        answer = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        return answer

    async def join(self, zone: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as the collector of a zone, and wait until that is logged."""
        reader, writer = await asyncio.open_connection(*self.address)
        before = len(self.logged("collector"))
        writer.write(f"agent zone={zone}\r\n".encode())
        await until(lambda: len(self.logged("collector")) > before, 1.0)
        return reader, writer

    def servers_in_table(self, table: int) -> set[str]:
        """Return the servers in a table, by the orders that the relay has carried out."""
        found = set[str]()
        for words in (order.split(",") for order in self.relay.carried):
            if words[0] == "put" and int(words[1]) == table:
                (found.add if float(words[3]) else found.discard)(words[2])
        return found

    def attached_tables(self) -> dict[int, int]:
        """Return the table that each proxy is attached to, by the orders that the relay has carried out."""
        return {
            int(words[1]): int(words[2])
            for words in (order.split(",") for order in self.relay.carried)
            if words[0] == "attach"
        }


def command() -> list[str]:
    """Return the command that `deploy/` runs, with this interpreter."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    return [sys.executable if word.endswith("bin/python") else word for word in shlex.split(run)[1:]]


async def start_process(
    folder: Path, configuration: Any, out: int = asyncio.subprocess.PIPE, words: Sequence[str] = ()
) -> asyncio.subprocess.Process:
    (folder / "config.json").write_text(json.dumps(configuration))
    return await launch_process(folder, out, words)


async def launch_process(
    folder: Path, out: int = asyncio.subprocess.PIPE, words: Sequence[str] = ()
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *command(),
        *words,
        cwd=ROOT,
        stdout=out,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "BALANCER_NAME": "n1", "BALANCER_CONFIG": str(folder / "config.json")},
    )


def configure(listen: int, discovery: int, relay: int, known: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "relay": {"address": f"127.0.0.1:{relay}"},
        "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
    }


@contextlib.asynccontextmanager
async def running_coordinator(
    folder: Path,
    known: dict[str, Any],
    listed: dict[str, Any],
    read: bool = True,
    sockets: int = 1024,
    words: Sequence[str] = (),
    settings: Any = None,
) -> AsyncIterator[RunningCoordinator]:
    """Run a coordinator; `known` and `listed` are the first and the current server list."""
    relay, discovery = Relay(), Discovery()
    discovery.now = listed
    servers = [await asyncio.start_server(one.serve, "127.0.0.1", 0) for one in (relay, discovery)]
    ports = [one.sockets[0].getsockname()[1] for one in servers]
    listen, (unread, out) = free_port(), os.pipe()
    fcntl.fcntl(out, fcntl.F_SETPIPE_SZ, 4096)
    configuration = configure(listen, ports[1], ports[0], known)
    configuration["limits"]["sockets"] = sockets
    configuration["settings"] = settings or SETTINGS
    process = await start_process(folder, configuration, asyncio.subprocess.PIPE if read else out, words)
    os.close(out)
    running = RunningCoordinator(relay, discovery, process, ("127.0.0.1", listen))
    tasks = [asyncio.create_task(relay.live())]
    if read:
        tasks.append(asyncio.create_task(running.read_log()))
    try:
        await until(lambda: relay.followed)
        yield running
        assert not running.logged("failure")
        assert running.process.returncode in (None, 0)
    finally:
        if running.process.returncode is None:  # The process may have been restarted meanwhile.
            running.process.kill()
        await running.process.wait()
        os.close(unread)
        for one in (*tasks, *servers):
            (one.cancel if isinstance(one, asyncio.Task) else one.close)()
        relay.drop()


Scenario = Callable[[RunningCoordinator], Awaitable[None]]


def run_scenario(
    folder: Path,
    scenario: Scenario,
    known: dict[str, Any] | None = None,
    listed: dict[str, Any] | None = None,
    read: bool = True,
    sockets: int = 1024,
    words: Sequence[str] = (),
    settings: Any = None,
) -> None:
    usual = listing(5, *(server(number) for number in range(6)))

    async def whole() -> None:
        async with running_coordinator(
            folder, known or usual, listed or usual, read, sockets, words, settings
        ) as running:
            await scenario(running)

    asyncio.run(whole())

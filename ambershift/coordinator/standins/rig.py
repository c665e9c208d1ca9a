"""The rig: several coordinators as processes, the world around each of them, and breakers between them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ambershift.coordinator.runtime.client import ClientError, Reply
from ambershift.coordinator.standins.agents import Agent
from ambershift.coordinator.standins.breaker import Net
from ambershift.coordinator.standins.discovery import Discovery
from ambershift.coordinator.standins.fleet import Fleet
from ambershift.coordinator.standins.processes import Member
from ambershift.coordinator.standins.relay import Relay
from ambershift.coordinator.standins.world import SETTINGS, listing, server, until

SETTINGS_OF_RIG: dict[str, Any] = {**SETTINGS, "limits": {"may_probe": False, "dial_timeout": 250.0}}
RELAY, AGENTS, TALK, CLONE, DISCOVERY, BREAKERS = 6400, 7300, 7100, 7190, 8500, 20000
TURNS = itertools.count()


def own_host() -> str:
    """An address of this machine that no other rig uses: ports on it can't be taken by others meanwhile."""
    turn = os.getpid() * 16 + next(TURNS) % 16
    return f"127.{64 + (turn >> 16 & 63)}.{turn >> 8 & 255}.{turn & 255 or 1}"


class Rig:
    """Use as `async with Rig(place, 3) as rig`. `grouped` False starts coordinators that share nothing."""

    def __init__(
        self,
        place: Path,
        count: int,
        disk: bool | Sequence[bool] = True,
        grouped: bool = True,
        proxies: int = 6,
        servers: int = 8,
        extra: str = "",
        seed: int = 1,
        rate: float = 5.0,
        voters: int | None = None,
        ahead: Sequence[str] = (),
    ) -> None:
        self.place, self.host = place, own_host()
        self.names = [f"n{at + 1}" for at in range(count)]
        listens = [TALK + at for at in range(count)]
        self.net = Net(self.host, self.names, listens, BREAKERS)
        self.discovery = Discovery()
        self.discovery.now = listing(5, *(server(at) for at in range(servers)))
        rules = SETTINGS_OF_RIG["rules"]
        self.cold, self.grace = rules["cold"] / 1e3, rules["stop_sending_within"] / 1e3
        self.fleet = Fleet(
            SETTINGS_OF_RIG["zones"],
            [one["name"] for one in SETTINGS_OF_RIG["classes"]],
            self.discovery.now["servers"],
            proxies,
            self.cold,
            rate,
            time.monotonic,
            seed,
        )
        self.members = dict[str, Member]()
        self.tasks, self.servers = list[asyncio.Task[None]](), list[asyncio.Server]()
        for at, name in enumerate(self.names):
            self.fleet.add(name, Relay(SETTINGS_OF_RIG["family_info"]))
            self.fleet.relays[name].answering = True
            copies = disk if isinstance(disk, bool) else disk[at]
            group = self.group_text(at, voters or count) if grouped else ""
            self.members[name] = Member(name, place / name, self.configure(at, name), group, extra, copies)
            if ahead:
                self.members[name].clock_ahead = ahead[at]
        self.agents = [
            Agent(self.fleet, name, zone, (self.host, AGENTS + at))
            for at, name in enumerate(self.names)
            for zone in self.fleet.zones
        ]

    def group_text(self, at: int, voters: int) -> str:
        """What stands in the group block of one member: the others are reached over its own breakers."""
        rows = []
        for other, name in enumerate(self.names):
            port = TALK + at if other == at else self.net.breakers[self.names[at], name].port
            votes = "" if other < voters else "  votes = false"
            rows.append(f'  member "{name}" {{\n    address = "{self.host}:{port}"\n  {votes}\n  }}\n')
        return f'  name = "rig"\n  listen = "{self.host}:{TALK + at}"\n{"".join(rows)}'

    def configure(self, at: int, name: str) -> dict[str, Any]:
        return {
            "name": name,
            "listen": f"{self.host}:{AGENTS + at}",
            "discovery": f"{self.host}:{DISCOVERY}",
            "seed": f"{1000 + at:x}",
            "relay": {"address": f"{self.host}:{RELAY + at}"},
            "known": self.discovery.now,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS_OF_RIG,
        }

    async def __aenter__(self) -> Rig:
        places: list[tuple[Callable[..., Any], int]] = [(self.discovery.serve, DISCOVERY)]
        places += [(relay.serve, RELAY + at) for at, relay in enumerate(self.fleet.relays.values())]
        for serve, port in places:
            self.servers.append(await asyncio.start_server(serve, self.host, port))
        await self.net.open()
        runs = [
            self.fleet.send,
            *(relay.live for relay in self.fleet.relays.values()),
            *(agent.run for agent in self.agents),
        ]
        self.tasks = [asyncio.create_task(run()) for run in runs]
        try:
            await asyncio.gather(*(member.start() for member in self.members.values()))
            relays = self.fleet.relays.values()
            await until(
                lambda: all(relay.followers for relay in relays) or len(self.running()) < len(relays), 60.0
            )
            assert len(self.running()) == len(relays), f"a member ended at its start\n{self.tail()}"
        except BaseException:
            await self.end()
            raise
        for at, proxy in enumerate(self.fleet.proxies):
            self.fleet.move(proxy, self.names[at % len(self.names)])
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.end()

    async def end(self) -> None:
        for member in self.members.values():
            if member.alive:
                await member.kill()
        for task in self.tasks:
            task.cancel()
        self.net.close()
        for one in self.servers:
            one.close()
        for relay in self.fleet.relays.values():
            relay.drop()
        readers = [member.reader for member in self.members.values() if member.reader]
        await asyncio.gather(*self.tasks, *readers, return_exceptions=True)

    def now(self) -> float:
        return time.monotonic()

    def running(self) -> list[str]:
        return [name for name, member in self.members.items() if member.running]

    async def kill(self, name: str, wipe: bool = False) -> None:
        """Its proxies go to the others at once."""
        await self.members[name].kill(wipe)
        self.fleet.relays[name].drop()
        self.fleet.died(name)
        self.fleet.take_over(name, self.running())

    async def start(self, name: str) -> None:
        await self.members[name].start()

    def clone(self, name: str) -> Member:
        """A further process that says it is this member, with a copy of its folder and a place of its own to
        listen; the others' links go to the real one.
        """
        real, at = self.members[name], self.names.index(name)
        others = f'listen = "{self.host}:{TALK + at}"', f'listen = "{self.host}:{CLONE}"'
        configuration = {**real.configuration, "listen": f"{self.host}:{CLONE + 1}"}
        clone = Member(
            name,
            self.place / f"{name}-clone",
            configuration,
            real.group.replace(*others),
            real.extra,
            real.folder is not None,
        )
        if real.folder:
            clone.put_back(real.keep_copy("cloned"))
        return clone

    def restart_server(self, server: str) -> None:
        """The work at a server is done: it starts anew, cold, and discovery tells so."""
        entry = next(one for one in self.discovery.now["servers"] if one["id"] == server)
        self.fleet.servers[server].started = self.now()
        self.discovery.change({**entry, "started_ms": round(time.time() * 1e3)})

    async def work(self, servers: Sequence[str], takes: float) -> None:
        """Somebody works at each of these once no proxy sends there, for so long; until cancelled."""
        since = dict[str, float]()
        left = list(servers)
        while left:
            await asyncio.sleep(0.05)
            for name in list(left):
                if not self.fleet.unused(name):
                    since.pop(name, None)
                elif self.now() >= since.setdefault(name, self.now()) + takes:
                    left.remove(name)
                    self.restart_server(name)

    def spread(self) -> None:
        """The proxies in turn over all that run, as they were at the beginning."""
        names = self.running()
        for at, proxy in enumerate(self.fleet.proxies):
            if proxy.member != names[at % len(names)]:
                self.fleet.move(proxy, names[at % len(names)])

    async def rows(self, name: str, command: str) -> list[dict[str, Any]]:
        found = await self.members[name].rows(command)
        return found if isinstance(found, list) else []

    async def leader(self, among: Sequence[str] = (), limit: float = 30.0) -> str:
        """The member that a majority of those asked calls leader, and that calls itself so."""
        found: str = await self.eventually(lambda: self.find_leader(among), limit, "a leader")
        return found

    async def find_leader(self, among: Sequence[str] = ()) -> str:
        found = dict[str, str]()
        names = [name for name in among or self.names if self.members[name].running]
        for name, rows in zip(
            names, await asyncio.gather(*(self.rows(name, "show group json") for name in names)), strict=True
        ):
            found[name] = next((row["name"] for row in rows if row.get("leader")), "")
        for name, said in found.items():
            if said == name and 2 * sum(one == name for one in found.values()) > len(names):
                return name
        return ""

    async def eventually(self, ask: Callable[[], Any], limit: float, what: str) -> Any:
        """Ask again until the answer is something; the limit only bounds a failure."""
        found = None
        try:
            async with asyncio.timeout(limit):
                while not (found := await ask()):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"not within {limit:g} s: {what}\n{self.tail()}") from None
        return found

    async def settled(self, limit: float = 30.0) -> None:
        """All that run are normal members under one leader, each with all that is committed."""

        async def ask() -> bool:
            names = self.running()
            views = await asyncio.gather(*(self.rows(name, "show group json") for name in names))
            own = [
                next((row for row in rows if row.get("name") == name), None)
                for name, rows in zip(names, views, strict=True)
            ]
            leaders = {row["name"] for rows in views for row in rows if row.get("leader")}
            return (
                all(row is not None and row["state"] == "normal" for row in own)
                and len(leaders) == 1
                and len({row["committed"] for row in own if row}) == 1
            )

        await self.eventually(ask, limit, "all members settled")

    async def say(self, name: str, command: str, limit: float = 10.0) -> Reply:
        return await self.members[name].ask(command, limit)

    async def tell(self, name: str, command: str, limit: float = 30.0) -> None:
        """Say it until it is done; the same token all the while, so that it acts once."""
        token = f"rig-{next(TURNS)}-{os.getpid()}"

        async def ask() -> bool:
            with contextlib.suppress(ClientError):
                return not (await self.say(name, f"once {token} {command}")).failed
            return False

        await self.eventually(ask, limit, f"'{command}' done at {name}")

    def tail(self, lines: int = 12) -> str:
        """The last that each member said, for a failure."""
        rows = []
        for member in self.members.values():
            state = "runs" if member.running else "stopped" if member.alive else "dead"
            rows.append(f"{member.name} ({state}):")
            rows += [f"  {line}" for line in member.raw[-lines:]]
            rows += [
                f"  {str(line)[:400]}"
                for line in [one for one in member.log if one.get("event") not in ("call", "totals")][-lines:]
            ]
        return "\n".join(rows)

"""Try it: coordinators of one group among stand-ins, of which one is lost with its folder."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import tempfile
import time
from pathlib import Path

from ambershift.coordinator.runtime.client import ClientError
from ambershift.coordinator.standins.histories import History
from ambershift.coordinator.standins.rig import Rig

DRAINED, SETTLE = "east/s-0", 10.0


class Trial:
    """One run: what is told goes to standard output, what breaks a rule to `broken`."""

    def __init__(self, rig: Rig, seconds: float, seed: int) -> None:
        self.rig, self.until, self.chance = rig, time.monotonic() + seconds, random.Random(seed)
        self.titles = [f"{one['zone']}/{one['id']}" for one in rig.discovery.now["servers"]]
        self.history = History(rig, self.titles[3:])
        self.broken = list[str]()
        self.started = time.monotonic()
        self.promised = dict[str, str]()

    def tell(self, text: str) -> None:
        print(f"{time.monotonic() - self.started:6.1f} s  {text}", flush=True)

    def rule(self, kept: bool, text: str) -> None:
        self.tell(f"{'kept  ' if kept else 'BROKEN'}  {text}")
        if not kept:
            self.broken.append(text)

    async def promise(self, member: str, command: str, server: str, wish: str) -> None:
        await self.rig.tell(member, command)
        self.promised[server] = wish
        self.tell(f"promised by {member}: {command}")

    async def holders(self) -> dict[str, list[str]]:
        """By server that something was promised for, the members that say so."""
        found = dict[str, list[str]]()
        for name in self.rig.running():
            held = {row["server"]: row["wish"] for row in await self.rig.rows(name, "show standing json")}
            for server, wish in self.promised.items():
                if held.get(server, "").startswith(wish):
                    found.setdefault(server, []).append(name)
        return found

    async def held_by(self, names: list[str], limit: float = 20.0) -> None:
        async def ask() -> bool:
            found = await self.holders()
            return all(set(names) <= set(found.get(server, ())) for server in self.promised)

        with contextlib.suppress(AssertionError):
            await self.rig.eventually(ask, limit, "all hold what was promised")
        found = await self.holders()
        for server, wish in self.promised.items():
            who = ", ".join(holders := found.get(server, [])) or "none"
            self.rule(set(names) <= set(holders), f"'{wish}' of {server} is held by {who}")

    async def run(self) -> None:
        rig, names = self.rig, list(self.rig.names)
        await rig.eventually(self.steered, SETTLE, "all proxies bound")
        leader = await rig.leader()
        self.tell(
            f"{len(names)} coordinators run on {rig.host}; {leader} leads; "
            f"{len(rig.fleet.proxies)} proxies send to {len(rig.fleet.servers)} servers"
        )
        going = asyncio.Event()
        operators = [
            asyncio.create_task(
                self.history.operator(
                    f"op{at}", random.Random(self.chance.random()), lambda: not going.is_set(), rig.running
                )
            )
            for at in range(2)
        ]
        try:
            await self.promise(names[0], f"disable server {DRAINED}", DRAINED, "maint")
            await self.promise(names[1], "set server west/s-1 state drain", "west/s-1", "drain")
            await self.held_by(names)
            await rig.eventually(self.drained, SETTLE, "the drained servers unused")
            at = time.monotonic()
            await self.promise(leader, f"disable server {self.titles[2]}", self.titles[2], "maint")
            await rig.kill(leader, wipe=True)
            self.tell(
                f"killed {leader}, the leader, at the moment of its answer, and removed its folder; "
                "its proxies go to the others"
            )
            rest = rig.running()
            await self.held_by(rest)
            now = await rig.leader(rest)
            self.tell(f"{now} leads, {time.monotonic() - at:.1f} s after")
            await rig.start(leader)
            await rig.settled()
            self.tell(f"{leader} is back without its folder, and has recovered what the others hold")
            await self.held_by(names)
            rig.spread()
            while time.monotonic() < self.until:
                await asyncio.sleep(0.2)
        finally:
            going.set()
            await asyncio.gather(*operators, return_exceptions=True)
        await rig.settled()
        await self.held_by(names)
        self.judge(at)

    async def steered(self) -> bool:
        return all(proxy.steered for proxy in self.rig.fleet.proxies)

    async def drained(self) -> bool:
        return all(self.rig.fleet.unused(server.split("/")[1]) for server in self.promised)

    def judge(self, since: float) -> None:
        fleet, drained = self.rig.fleet, list(self.promised)[:2]
        ids, which = [one.split("/")[1] for one in drained], " or ".join(drained)
        sent, all_sent = (
            sum(len(fleet.servers[one].since(at)) for one in names)
            for names, at in ((ids, since), (fleet.servers, 0.0))
        )
        self.rule(sent == 0, f"of {all_sent} flows none went to {which} over the change of leader and after")
        again = [one for name in ids for one in fleet.let_in(name, since)]
        self.rule(not again, f"no proxy let {which} in again, or drained it twice")
        for one in again[:5]:
            print(f"          proxy {one.proxy} let {one.server} in {one.at - since:.2f} s after")
        violation = self.history.violation()
        count = len(self.history.operations)
        self.rule(violation is None, f"{count} operations of two operators have one order that explains all")
        for line in violation.lines() if violation else ():
            print(f"          {line}")
        failures = sum(len(member.logged("failure")) for member in self.rig.members.values())
        self.rule(failures == 0, f"no coordinator met an error that it did not foresee ({failures})")


async def main(seconds: float, members: int, seed: int, place: Path) -> int:
    async with Rig(place, members, seed=seed) as rig:
        trial = Trial(rig, seconds, seed)
        try:
            await trial.run()
        except (AssertionError, ClientError) as error:
            trial.rule(False, f"the run came to its end: {error}")
        print(f"\n{'A rule broke: see above.' if trial.broken else 'No rule broke.'}")
        if trial.broken:
            print(rig.tail())
    return 1 if trial.broken else 0


if __name__ == "__main__":
    words = argparse.ArgumentParser(prog="python -m ambershift.coordinator.standins", description=__doc__)
    words.add_argument("--seconds", type=float, default=60.0, help="How long to run; 60 unless given.")
    words.add_argument("--members", type=int, default=3, choices=(3, 5, 7))
    words.add_argument("--seed", type=int, default=1)
    told = words.parse_args()
    with tempfile.TemporaryDirectory(prefix="ambershift-try-") as folder:
        sys.exit(asyncio.run(main(told.seconds, told.members, told.seed, Path(folder))))

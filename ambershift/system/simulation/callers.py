"""Simulated applications: they lock, renew, give back, count, put, read, watch, and go on after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ambershift.system.simulation.calling import PATIENCE, SILENCE, Streets
from ambershift.system.simulation.judging import Judge, Told
from ambershift.system.testbed.histories import Given, Got, Hold, Put

LOCKS, NUMBERS, GROUPS, KEYS = 2, 2, 2, 3
HOLDS = (0.15, 0.4, 1.0, 2.5)


class Application:
    """One application; `home` is the control node it mostly calls first."""

    def __init__(self, name: str, streets: Streets, judge: Judge, home: str) -> None:
        self.name, self.streets, self.judge, self.home = name, streets, judge, home
        self.chance = streets.chance
        self.values = 0

    def _at(self) -> str:
        return self.home if self.chance.random() < 0.5 else ""

    async def run(self, until: Callable[[], bool]) -> None:
        acts = (self.lock, self.lock, self.number, self.put, self.put, self.get)
        while not until():
            await self.chance.choice(acts)()
            await asyncio.sleep(self.chance.expovariate(15))

    # Locks.

    async def lock(self, name: str = "", patience: float = SILENCE) -> bool:
        """Take one and keep it for a while. Whether there was an answer."""
        name = name or f"l{self.chance.randrange(LOCKS)}"
        hold = self.chance.choice(HOLDS)
        wish = {"Holder": self.name, "HoldMs": round(hold * 1000)}
        answered = False
        for _ in range(self.chance.randrange(1, 30)):
            found = await self.streets.rpc("locks.initiate", name, wish, patience, self._at())
            answered |= found.status in (200, 409)
            if found.status != 409:
                break
            await asyncio.sleep(self.chance.choice((0.01, 0.05, 0.2)))
        since, until = self.streets.now(), found.sent + hold
        if found.status != 200 or since >= until:
            return answered
        asked, fence = found.sent, int(found.body["fence"])
        way = self.chance.choice(("back", "back", "die", "sleep", "keep", "keep"))
        while way == "keep" and self.streets.now() < until:
            await asyncio.sleep(self.chance.uniform(0, 1.05) * (until - self.streets.now()))
            if self.streets.now() >= until or self.chance.random() < 0.2:
                break
            hold = self.chance.choice(HOLDS)
            again = {"Holder": self.name, "HoldMs": round(hold * 1000)}
            anew = self.chance.random() < 0.2  # The holder asks as if it had nothing.
            found = await self.streets.rpc(
                "locks.initiate" if anew else "locks.heartbeat",
                name,
                again if anew else {**again, "fence": fence},
                SILENCE,
                self._at(),
            )
            if found.status == 409 or self.streets.now() >= until:
                break
            if found.status == 200:
                until = max(until, found.sent + hold)
                if anew and found.body["fence"] != fence:
                    self.judge.holds[name].append(Hold(self.name, fence, asked, since, self.streets.now()))
                    asked, since, fence = found.sent, self.streets.now(), int(found.body["fence"])
        if way in ("back", "keep"):
            await asyncio.sleep(self.chance.uniform(0, 0.3))
            until = min(until, self.streets.now())
            self.judge.holds[name].append(Hold(self.name, fence, asked, since, until))
            await self.streets.rpc(
                "locks.terminate", name, {"Holder": self.name, "fence": fence}, SILENCE, self._at()
            )
        else:
            self.judge.holds[name].append(Hold(self.name, fence, asked, since, until))
            if way == "sleep":  # Past its time, and then goes on as if nothing were.
                await asyncio.sleep(until - self.streets.now() + self.chance.uniform(0, 0.2))
                found = await self.streets.rpc(
                    "locks.heartbeat",
                    name,
                    {"Holder": self.name, "HoldMs": round(hold * 1000), "fence": fence},
                    SILENCE,
                )
                if found.status == 200:  # Nobody had it meanwhile, or this is told of below.
                    self.judge.holds[name].append(
                        Hold(self.name, fence, found.sent, self.streets.now(), found.sent + hold)
                    )
        return answered

    async def number(self, name: str = "") -> bool:
        name = name or f"n{self.chance.randrange(NUMBERS)}"
        found = await self.streets.call("POST", f"/ambershift/numbers/{name}", {}, at=self._at())
        if found.status == 200:
            value = int(found.body["Value"])
            self.judge.numbers[name].append(Given(found.sent, self.streets.now(), value))
        return found.status == 200

    # Cells.

    def key(self) -> str:
        return f"g{self.chance.randrange(GROUPS)}.{self.chance.randrange(KEYS):x}"

    async def get(self, key: str = "") -> int | None:
        key = key or self.key()
        found = await self.streets.rpc("cells.retrieve", key, None, at=self._at())
        if found.status not in (200, 404):
            return None
        revision = int(found.body["Revision"]) if found.status == 200 else 0
        self.judge.gets.append(
            Got(key, found.body.get("Value") if found.status == 200 else None, revision, found.sent)
        )
        return revision

    async def put(self) -> None:
        key = self.key()
        over = await self.get(key)
        if over is None:
            return
        self.values += 1
        value, body = f"{self.name}-{self.values}", dict[str, Any]()
        body["Value"] = value
        blind = self.chance.random() < 0.2
        if not blind:
            body["AppliesTo"] = over
        sent = self.streets.now()
        self.judge.sent_values[value] = key
        patience = self.chance.choice((0.5, PATIENCE))  # Some give up after one try.
        found = await self.streets.rpc("cells.replace", key, body, patience, self._at())
        revision = int(found.body["Revision"]) if found.status == 200 else None
        if revision is not None and blind:
            over = revision
        refused = found.status == 412 or (found.status == 0 and found.untouched)
        self.judge.puts.append(Put(key, value, over, sent, self.streets.now(), revision, refused))
        if found.status == 412:
            self.judge.named.append((key, int(found.body["Revision"])))

    async def watch(self, group: str, until: Callable[[], bool]) -> None:
        """Follow a group from where it stands."""
        after = 0
        while not until():
            after = await self.look(group, after, self.chance.choice((200, 1000, 2000)))
            await asyncio.sleep(self.chance.choice((0.005, 0.1, 0.3)))

    async def look(self, group: str, after: int, wait: int, patience: float = 0.001) -> int:
        """One call of a watch (again only for `patience`): up to which revision all is known now."""
        found = await self.streets.call(
            "GET",
            f"/ambershift/watch/{group}?after={after}&WaitMs={wait}",
            None,
            patience,
            wait / 1000 + SILENCE,
            at=self._at(),
        )
        if found.status == 410:
            self.judge.notes.append(f"watch of {group}: 410 for {after}, which is young")
        if found.status != 200:
            return after
        events = tuple(
            (str(one["Name"]), str(one["Value"]), int(one["Revision"])) for one in found.body["Events"]
        )
        self.judge.told[group].append(Told(found.sent, after, int(found.body["Revision"]), events))
        return max(after, int(found.body["Revision"]))

    async def last_look(self, group_afters: dict[str, int]) -> None:
        """When all is well again everything is asked for once more, and must be answered."""
        for key in sorted({put.key for put in self.judge.puts}):
            if await self.get(key) is None:
                self.judge.notes.append(f"key {key}: can't be read though all is well")
        for name in [f"n{at}" for at in range(NUMBERS)]:
            if not await self.number(name):
                self.judge.notes.append(f"number {name}: isn't given though all is well")
        for name in [f"l{at}" for at in range(LOCKS)]:
            if not await self.lock(name, PATIENCE):
                self.judge.notes.append(f"lock {name}: no answer though all is well")
        for group, after in group_afters.items():
            before = len(self.judge.told[group])
            await self.look(group, after, 100, PATIENCE)
            if len(self.judge.told[group]) == before:
                self.judge.notes.append(f"watch of {group}: no answer though all is well")

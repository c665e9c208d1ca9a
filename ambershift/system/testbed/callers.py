"""Stand-in applications: take locks, draw numbers, put and read cells, watch a group, in every zone."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from ambershift.system.testbed.histories import Given, Got, History, Hold, Put, group_of
from ambershift.system.testbed.speech import Answer, BrokenOffError, LateError, NotReachedError, once

SILENCE_S, PATIENCE_S, AIM_S = 1.0, 5.0, 0.2
LOCKS, NUMBERS, GROUPS, KEYS = 4, 3, 2, 4
HOLD_S, WATCH_MS = 1.0, 1000
PAUSE_S = 0.15
JSON = {"Content-Type": "application/json"}


class Caller:
    """One application. `controls` is nearest first; it goes on to another after a failure or silence."""

    def __init__(
        self, name: str, controls: Callable[[], Sequence[str]], history: History, chance: random.Random
    ) -> None:
        self.name, self.controls, self.history, self.chance = name, controls, history, chance
        self.values = 0

    async def call(
        self,
        kind: str,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        patience: float = PATIENCE_S,
        silence: float = SILENCE_S,
        counted: bool = True,
    ) -> tuple[int, dict[str, Any]] | None:
        """Status and body of the first clear answer, None where there was none. 5xx and 429 go on."""
        data = b"" if body is None else json.dumps(body).encode()
        began, pause = time.monotonic(), 0.02
        turn = 0
        found: Answer | None = None
        while time.monotonic() - began < patience:
            addresses = self.controls()
            address = addresses[turn % len(addresses)]
            turn += 1
            try:
                found = await once(address, method, target, JSON, data, silence)
                if found.status < 500 and found.status != 429:
                    break
                self.history.reasons[f"{kind} {found.status}"] += 1
            except (NotReachedError, BrokenOffError, LateError) as why:
                self.history.reasons[f"{kind} {type(why).__name__}"] += 1
            found = None
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.5)
        if counted:
            self.history.counts["calls"] += 1
            self.history.counts["answered"] += found is not None
            self.history.counts["in aim"] += found is not None and time.monotonic() - began <= AIM_S
        if found is None:
            return None
        try:
            read = json.loads(found.body or b"{}")
        except ValueError:
            read = {}
        return found.status, read if isinstance(read, dict) else {}

    async def run(self, until: Callable[[], bool]) -> None:
        acts = (self.lock, self.number, self.put, self.put, self.get)
        while not until():
            await self.chance.choice(acts)()
            await asyncio.sleep(self.chance.expovariate(1 / PAUSE_S))

    # Locks.
    async def lock(self) -> None:
        name = f"l{self.chance.randrange(LOCKS)}"
        sent = time.monotonic()
        hold_ms = round(HOLD_S * 1000)
        found = await self.call(
            "lock",
            "POST",
            f"/ambershift/rpc?call=locks.initiate&of={name}",
            {"Holder": self.name, "HoldMs": hold_ms},
            SILENCE_S,
        )
        if not found or found[0] != 200 or "fence" not in found[1]:
            return
        since, fence = time.monotonic(), int(found[1]["fence"])
        until = sent + HOLD_S
        if since >= until:
            return
        way = self.chance.random()
        await asyncio.sleep(self.chance.uniform(0, 0.3))
        if way < 0.3 and time.monotonic() < until:
            sent_again = time.monotonic()
            again = await self.call(
                "renewal",
                "POST",
                f"/ambershift/rpc?call=locks.heartbeat&of={name}",
                {"Holder": self.name, "fence": fence, "HoldMs": hold_ms},
                SILENCE_S,
            )
            if again and again[0] == 200 and time.monotonic() < until:
                until = sent_again + HOLD_S
        if way < 0.8:  # The others die while they hold it: nobody gives it back.
            until = min(until, time.monotonic())
            await self.call(
                "giving back",
                "POST",
                f"/ambershift/rpc?call=locks.terminate&of={name}",
                {"Holder": self.name, "fence": fence},
                SILENCE_S,
                counted=False,
            )
        self.history.holds[name].append(Hold(self.name, fence, sent, since, until))

    async def number(self, name: str = "") -> None:
        name = name or f"n{self.chance.randrange(NUMBERS)}"
        sent = time.monotonic()
        found = await self.call("number", "POST", f"/ambershift/numbers/{name}", {})
        if found and found[0] == 200:
            self.history.numbers[name].append(Given(sent, time.monotonic(), int(found[1]["Value"])))

    # Cells.
    def key(self) -> str:
        return f"g{self.chance.randrange(GROUPS)}.{self.chance.randrange(KEYS):x}"

    async def get(self, key: str = "") -> int | None:
        key = key or self.key()
        sent = time.monotonic()
        found = await self.call("read", "POST", f"/ambershift/rpc?call=cells.retrieve&of={key}", None)
        if not found or found[0] not in (200, 404):
            return None
        revision = int(found[1]["Revision"]) if found[0] == 200 else 0
        self.history.gets.append(Got(key, found[1].get("Value") if found[0] == 200 else None, revision, sent))
        return revision

    async def put(self) -> None:
        key = self.key()
        over = await self.get(key)
        if over is None:
            return
        self.values += 1
        value = f"{self.name}-{self.values}"
        sent = time.monotonic()
        found = await self.call(
            "put", "POST", f"/ambershift/rpc?call=cells.replace&of={key}", {"Value": value, "AppliesTo": over}
        )
        status, body = found or (0, {})
        revision = int(body["Revision"]) if status == 200 else None
        self.history.puts.append(Put(key, value, over, sent, time.monotonic(), revision, status == 412))
        if status == 412 and "Revision" in body:
            self.history.named.append((key, int(body["Revision"])))

    async def watch(self, group: str, until: Callable[[], bool]) -> None:
        """Follow a group from now on; what was seen stands under "GROUP@NAME"."""
        after = 0
        title = f"{group}@{self.name}"
        while not until():
            found = await self.call(
                "watch",
                "GET",
                f"/ambershift/watch/{group}?after={after}&WaitMs={WATCH_MS}",
                None,
                silence=WATCH_MS / 1000 + SILENCE_S,
                counted=False,
            )
            if not found or found[0] != 200 or "Revision" not in found[1]:
                if found and found[0] == 410:
                    self.history.reasons["watch 410"] += 1
                    after = 0
                await asyncio.sleep(0.1)
                continue
            revision = int(found[1]["Revision"])
            if after:  # With 0 only the present revision is asked for.
                events = [
                    (str(one["Name"]), str(one["Value"]), int(one["Revision"]))
                    for one in found[1].get("Events", ())
                ]
                self.history.events[title].append(events)
                self.history.spans[group].append((after, max(after, revision)))
            after = max(after, revision)

    async def last_look(self) -> None:
        """When all is over: every key is read, every number drawn once more."""
        for key in sorted({put.key for put in self.history.puts}):
            await self.get(key)
        for name in sorted(self.history.numbers):
            await self.number(name)


__all__ = ["Caller", "group_of"]

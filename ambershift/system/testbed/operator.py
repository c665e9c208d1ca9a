"""Stand-in operator: sends the configuration until it is accepted, changes it, evacuates, reads all back."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from ambershift.system.testbed.book import Book, Route, change, items_of
from ambershift.system.testbed.judge import Judge
from ambershift.system.testbed.speech import Answer, BrokenOffError, LateError, NotReachedError, once

SILENCE_S, FOLLOWED_MOST = 1.0, 2
FINAL = (400, 409, 412, 413, 422)
MODIFY, READ = (f"/ambershift/rpc?call=configuration.{name}" for name in ("modify", "retrieve"))


async def call_any(
    addresses: Sequence[str],
    method: str,
    target: str,
    body: bytes,
    within: float,
    final: Callable[[Answer], bool],
    silence: float = SILENCE_S,
) -> Answer | None:
    """Ask one after the other, with a pause that grows, until an answer is final; None where none came."""
    end, pause, at = time.monotonic() + within, 0.05, 0
    while time.monotonic() < end:
        address = addresses[at % len(addresses)]
        at += 1
        try:
            answer = await follow(address, method, target, body, silence)
        except (NotReachedError, BrokenOffError, LateError):
            answer = None
        if answer is not None and final(answer):
            return answer
        await asyncio.sleep(min(pause, max(0.0, end - time.monotonic())))
        pause = min(2 * pause, 1.0)
    return None


async def follow(address: str, method: str, target: str, body: bytes, silence: float) -> Answer:
    headers = {"Content-Type": "application/json"} if body else {}
    for _ in range(FOLLOWED_MOST + 1):
        answer = await once(address, method, target, headers, body, silence)
        place = {name.lower(): value for name, value in answer.headers.items()}.get("location", "")
        if answer.status != 307 or not place.startswith("http://"):
            break
        address, _, rest = place.removeprefix("http://").partition("/")
        target = f"/{rest}"
    return answer


def clear(answer: Answer) -> bool:
    return 200 <= answer.status < 300 or answer.status in FINAL


class Operator:
    """`controls` is the list of control addresses as the operator has it. `log` takes one line each."""

    def __init__(
        self,
        book: Book,
        judge: Judge,
        controls: Callable[[], Sequence[str]],
        acknowledge_s: float,
        chance: random.Random,
        log: Callable[[str], None],
    ) -> None:
        self.book, self.judge, self.controls = book, judge, controls
        self.acknowledge_s, self.chance, self.log = acknowledge_s, chance, log
        self.orders = self.unacknowledged = 0

    def shuffled(self) -> list[str]:
        found = list(self.controls())
        self.chance.shuffle(found)
        return found

    async def order(self, name: str, target: str, body: bytes, within: float | None = None) -> bool:
        """One order until it is acknowledged; late ones are counted."""
        self.orders += 1
        began = time.monotonic()
        answer = await call_any(
            self.shuffled(),
            "POST",
            target,
            body,
            within or self.acknowledge_s,
            clear,
            SILENCE_S + len(body) / 1e6,
        )
        good = answer is not None and 200 <= answer.status < 300
        if good:
            self.log(f"acknowledged after {time.monotonic() - began:.2f} s: {name}")
        else:
            self.unacknowledged += 1
            self.log(f"NOT acknowledged ({answer.status if answer else 'no clear answer'}): {name}")
        return good

    async def send(
        self, name: str, document: dict[str, Any], routes: Sequence[Route], within: float | None = None
    ) -> bool:
        forms = [self.judge.will_send(route) for route in routes]
        good = await self.order(name, MODIFY, json.dumps(document, separators=(",", ":")).encode(), within)
        for form in forms if good else ():
            self.judge.acknowledged(form)
        return good

    async def first(self, within: float) -> bool:
        """All items, repeated until it is accepted."""
        routes = list(self.book.routes.values())
        return await self.send(
            f"first configuration, {len(routes)} routes and {len(self.book.services)} services",
            self.book.whole(),
            routes,
            within,
        )

    async def shift(self) -> bool:
        """A route goes to another service; another one is added."""
        moved = self.book.shift(self.chance.choice(list(self.book.routes)))
        added = self.book.add()
        return await self.send(
            f"{moved.name} goes to {moved.split[0][0]}, {added.name} is new",
            change([moved, added]),
            [moved, added],
        )

    async def drop(self, name: str) -> bool:
        version = self.book.drop(name)
        self.judge.will_drop(name)
        good = await self.send(f"{name} is dropped", change(drop=[(name, version)]), [])
        if good:
            self.judge.drop_acknowledged(name)
        return good

    async def invalid(self) -> bool:
        """A call that must be refused: it names a service that nobody has. Whether it was."""
        route = next(iter(self.book.routes.values()))
        bad = Route("r-bad", route.host, "/bad/", True, (("nobody0", 1),), self.book.version + 1)
        answer = await call_any(
            self.shuffled(), "POST", MODIFY, json.dumps(change([bad])).encode(), self.acknowledge_s, clear
        )
        refused = answer is not None and answer.status in FINAL
        self.log(
            "refused as it must be: a route to a service that nobody has"
            if refused
            else "NOT refused: a route to a service that nobody has"
        )
        if answer is not None and not refused:
            self.judge.fault("acknowledged what is invalid", "a route to a service that nobody has")
        return refused

    async def evacuate(self, zone: str) -> bool:
        good = await self.order(
            f"evacuation of {zone}", f"/ambershift/rpc?call=evacuation.initiate&of={zone}", b""
        )
        if good:
            self.judge.evacuated[zone] = time.monotonic()
        return good

    async def take_back(self, zone: str) -> bool:
        self.judge.evacuated.pop(zone, None)
        return await self.order(
            f"evacuation of {zone} taken back", f"/ambershift/rpc?call=evacuation.terminate&of={zone}", b""
        )

    async def read_back(self, within: float) -> list[str]:
        """What differs between the configuration sent and the one retrieved; empty where they are equal.

        Where a change had no clear answer nothing can be said of its items: such ones are told as well.
        """
        sent = items_of(self.book.whole())
        body = None
        last = ["nothing came back"]
        end = time.monotonic() + within
        while time.monotonic() < end:
            answer = await call_any(
                self.shuffled(), "POST", READ, b"", end - time.monotonic(), lambda found: found.status == 200
            )
            if answer is None:
                break
            try:
                body = items_of(json.loads(answer.body))
            except (ValueError, KeyError, TypeError, AttributeError) as why:
                last = [f"can't be read: {why!r}"]
            else:
                last = differences(sent, body)
                if not last:
                    return []
            await asyncio.sleep(0.2)
        return last


def differences(
    sent: dict[tuple[str, str], dict[str, Any]], got: dict[tuple[str, str], dict[str, Any]]
) -> list[str]:
    found = [f"{' '.join(key)} is missing" for key in sent.keys() - got.keys()]
    found += [f"{' '.join(key)} was not sent, or was dropped" for key in got.keys() - sent.keys()]
    for key in sent.keys() & got.keys():
        one, other = sent[key], {name: value for name, value in got[key].items()}
        found += [
            f"{' '.join(key)}: {name} is {other.get(name)!r}, was sent as {one.get(name)!r}"
            for name in sorted(one.keys() | other.keys())
            if one.get(name) != other.get(name)
        ]
    return sorted(found)

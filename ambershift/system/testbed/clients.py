"""Stand-in clients: ask the directory, send requests on kept or new connections, try again as told."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence

from ambershift.system.testbed.book import Route
from ambershift.system.testbed.judge import PROMISES, Judge, digest_of
from ambershift.system.testbed.speech import Answer, BrokenOffError, LateError, Line, NotReachedError, once

ASKED_MOST, ASKED_S, TRIES = 3, 1.0, 3
NEVER_AGAIN = (400, 401, 404, 413, 431)
DEADLINE_S, AIM_S = 1.5, 0.5
BODY_MOST, CHUNKED = 400, 0.3
AVOIDED_S = 2.0  # How long an address that failed is skipped.


class Client:
    """One caller in a zone. `pooled` keeps connections, else each request opens one."""

    def __init__(
        self,
        zone: str,
        region: str,
        pooled: bool,
        judge: Judge,
        directories: Callable[[], Sequence[str]],
        chance: random.Random,
    ) -> None:
        self.zone, self.region, self.pooled, self.judge = zone, region, pooled, judge
        self.directories, self.chance = directories, chance
        self.addresses: tuple[str, ...] = ()
        self.until = 0.0
        self.resolving = asyncio.Lock()
        self.failed = dict[str, float]()
        self.lines = list[Line]()

    def close(self) -> None:
        for line in self.lines:
            line.close()

    async def resolve(self, host: str) -> None:
        """Renew what the directory said, where it is old; it is kept while no new answer can be had."""
        async with self.resolving:
            if time.monotonic() < self.until:
                return
            query = f"/ambershift/resolution?Name={host}&Region={self.region}&Zone={self.zone}"
            for address in list(self.directories())[:ASKED_MOST]:
                try:
                    answer = await once(address, "GET", query, limit=ASKED_S)
                    found = json.loads(answer.body)
                    addresses = tuple(str(one) for one in found["Addresses"])
                    ttl = min(float(found["TtlS"]), 2.0)
                except (NotReachedError, BrokenOffError, LateError, ValueError, KeyError, TypeError):
                    self.judge.counts["directory failed"] += 1
                    continue
                if answer.status != 200 or not addresses:
                    self.judge.counts["directory failed"] += 1
                    continue
                self.judge.counts["directory answered"] += 1
                self.addresses, self.until = addresses, time.monotonic() + ttl
                for line in [one for one in self.lines if one.address not in addresses]:
                    self.lines.remove(line)
                    line.close()
                return

    async def line(self, fresh: bool) -> Line:
        """A connection to send on. Raises `NotReachedError`."""
        while self.lines and not fresh and self.pooled:
            line = self.lines.pop(self.chance.randrange(len(self.lines)))
            if line.unasked():
                self.judge.fault("bytes that no request asked for", line.address)
            if line.free:
                return line
            line.close()
        now = time.monotonic()
        choice = [one for one in self.addresses if now > self.failed.get(one, 0)] or list(self.addresses)
        if not choice:
            raise NotReachedError("no address")
        address = self.chance.choice(choice)
        try:
            return await Line.open(address)
        except NotReachedError:
            self.failed[address] = now + AVOIDED_S
            raise

    async def request(self, route: Route, most_s: float = DEADLINE_S) -> str:
        """One request with its further tries; the outcome is told to the judge."""
        began = time.monotonic()
        repeatable, reason = route.repeatable, "none"
        method = self.chance.choice(("GET", "GET", "POST") if repeatable else ("POST", "DELETE"))
        body = self.chance.randbytes(self.chance.randrange(BODY_MOST)) if method == "POST" else b""
        target = f"{route.prefix}{self.chance.randrange(1000):x}?q={self.chance.randrange(99)}"
        outcome, steps = "failed", list[str]()
        for count in range(TRIES):
            left = most_s - (time.monotonic() - began)
            if left <= 0:
                break
            outcome, reason, pause = await self.one(route, method, target, body, left, count > 0, steps)
            steps.append(f"{reason or outcome} at {time.monotonic() - began:.3f}")
            if outcome == "served" or pause is None:
                break
            left = most_s - (time.monotonic() - began)
            await asyncio.sleep(max(0.0, min(pause, left / 3)))
        waited = time.monotonic() - began
        self.judge.finished(
            outcome, waited, outcome == "served" and waited <= AIM_S, reason, [route.name, *steps]
        )
        return outcome

    async def probe(self, address: str, route: Route) -> tuple[str, str]:
        """One try, sent directly to one proxy; it earns nothing. Its outcome and why."""
        try:
            line = await Line.open(address)
        except NotReachedError:
            return "failed", "not reached"
        outcome, reason, _ = await self.send(line, route, "GET", f"{route.prefix}probe", b"", DEADLINE_S)
        line.close()
        return outcome, reason

    async def one(
        self, route: Route, method: str, target: str, body: bytes, left: float, fresh: bool, steps: list[str]
    ) -> tuple[str, str, float | None]:
        """One try: its outcome, why, and the pause before another (None: no other may be made)."""
        if time.monotonic() >= self.until:
            asked = time.monotonic()
            await self.resolve(route.host)
            steps.append(f"directory {time.monotonic() - asked:.3f}")
        try:
            line = await self.line(fresh)
        except NotReachedError as why:
            return "failed", f"not reached: {why.address}", 0.05
        steps.append(f"{line.address} ({line.used})")
        return await self.send(line, route, method, target, body, left)

    async def send(
        self, line: Line, route: Route, method: str, target: str, body: bytes, left: float
    ) -> tuple[str, str, float | None]:
        attempt = f"{self.chance.getrandbits(64):016x}"
        self.judge.sends(attempt, route, digest_of(method, target, body))
        headers = {
            "Host": route.host,
            "X-Attempt-Id": attempt,
            "X-Deadline-Remaining": str(round(left * 1000)),
        }
        if not self.pooled:
            headers["Connection"] = "close"
        try:
            answer = await line.ask(
                method, target, headers, body, left, chunked=bool(body) and self.chance.random() < CHUNKED
            )
        except BrokenOffError as why:
            self.judge.closed(attempt, line.address, why.read, why.reason)
            self.failed[line.address] = time.monotonic() + AVOIDED_S
            dropped = " (a backend's doing)" if self.judge.tries[attempt].dropped else ""
            return "failed", f"closed{dropped}", 0.02 if route.repeatable or not why.read else None
        except LateError:
            self.judge.tries[attempt].ended = "late"
            return "failed", "late", None
        fields = {name.lower(): value for name, value in answer.headers.items()}
        if self.pooled and line.free and "close" not in fields.get("connection", "").lower():
            self.lines.append(line)
        else:
            line.close()
        return self.weigh(route, attempt, answer, fields)

    def weigh(
        self, route: Route, attempt: str, answer: Answer, fields: dict[str, str]
    ) -> tuple[str, str, float | None]:
        served = self.judge.answered(
            attempt, answer.status, fields.get("x-attempt-id", ""), fields.get("x-server-seal"), answer.body
        )
        if served:
            return "served", "", None
        if answer.status in PROMISES:
            try:
                after = float(fields.get("retry-after", "0.05"))
            except ValueError:
                after = 0.05
            return "refused", str(answer.status), after
        again = route.repeatable and answer.status >= 300 and answer.status not in NEVER_AGAIN
        dropped = " (a backend's doing)" if self.judge.tries[attempt].dropped else ""
        return "failed", f"{answer.status}{dropped}", 0.05 if again else None

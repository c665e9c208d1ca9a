"""Stand-in backends: serve, beat, drain, leave, crash, and now and then misbehave as real ones do."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from ambershift.system.testbed.answering import Asked, Reply, Spoken
from ambershift.system.testbed.book import COLD_RATE, COLD_S
from ambershift.system.testbed.judge import Judge, digest_of, seal_of
from ambershift.system.testbed.speech import Answer, BrokenOffError, LateError, NotReachedError, once

SLOTS, QUEUE, IDLE_S = 4, 12, 6.0
WORK_S, LONGEST = 0.06, 5  # Mean; the longest work in means.
TURNED, EXTRA, LOST, CLOSES = 0.01, 0.01, 0.005, 0.01  # Shares of requests.
CALL_S = 1.0


class Backend:
    """One life. `controls` gives the addresses to beat to, nearest first."""

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        region: str,
        judge: Judge,
        cold_bound: float,
        controls: Callable[[], Sequence[str]],
        beat_s: float,
        chance: random.Random,
        cold_s: float = 0.0,
        work_s: float = WORK_S,
    ) -> None:
        self.service, self.address, self.zone, self.region = service, address, zone, region
        self.judge, self.controls, self.beat_s, self.chance = judge, controls, beat_s, chance
        self.cold_bound, self.work_s = cold_bound, work_s
        self.id = f"i-{chance.getrandbits(32):08x}"
        self.cold_until = time.monotonic() + cold_s
        self.state, self.sequence, self.target = "ready", 0, ""
        self.known = asyncio.Event()  # Set by the first beat that was acknowledged.
        self.slots, self.waiting = asyncio.Semaphore(SLOTS), 0
        self.running = self.ran = 0
        self.at_work = set[str]()
        self.beats = self.beats_failed = 0
        self.spoken = Spoken(
            self.handle, IDLE_S, lambda: self.state == "draining" or chance.random() < CLOSES
        )
        self.beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.spoken.listen(self.address)
        self.beating = asyncio.ensure_future(self.beat())

    def crash(self) -> None:
        """It says nothing to anybody."""
        for attempt in self.at_work:
            self.judge.broke_off(attempt)
        if self.beating:
            self.beating.cancel()
        self.spoken.break_off()

    async def leave(self, drain_s: float, limit: float) -> bool:
        """Drain in order and end. Whether the draining was acknowledged in time."""
        self.state = "draining"
        if self.beating:
            self.beating.cancel()
        end = time.monotonic() + limit
        acknowledged = False
        while not acknowledged and time.monotonic() < end:
            acknowledged = await self.beat_once()
            if not acknowledged:
                await asyncio.sleep(0.2)
        if acknowledged:
            self.judge.left.setdefault(self.id, time.monotonic())
        self.beating = asyncio.ensure_future(self.beat())
        await asyncio.sleep(drain_s + 0.5)
        self.beating.cancel()
        for address in self.controls():
            if await self.call(address, "instances.deregister", b""):
                break
        self.crash()
        return acknowledged

    # Beats.
    async def beat(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                if await self.beat_once():
                    self.known.set()
            await asyncio.sleep(self.beat_s * self.chance.uniform(0.9, 1.1))

    async def beat_once(self) -> bool:
        self.sequence += 1
        self.beats += 1
        cold = max(0, round((self.cold_until - time.monotonic()) * 1000))
        body = json.dumps(
            {
                "Address": self.address,
                "Information": {
                    "Service": self.service,
                    "ConfigVersion": "v1",
                    "Zone": self.zone,
                    "CapacitySlots": SLOTS,
                },
                "Condition": {"State": self.state, "Sequence": self.sequence, "ColdRemainingMs": cold},
            }
        ).encode()
        for address in dict.fromkeys([*([self.target] if self.target else []), *self.controls()]):
            answer = await self.call(address, "instances.heartbeat", body)
            if answer is None:
                if address == self.target:
                    self.target = ""
                continue
            with contextlib.suppress(ValueError):
                found: Any = json.loads(answer.body or b"{}")
                if isinstance(found, dict) and isinstance(found.get("HeartbeatTarget"), str):
                    self.target = found["HeartbeatTarget"]
            return True
        self.beats_failed += 1
        return False

    async def call(self, address: str, name: str, body: bytes) -> Answer | None:
        """None without an acknowledgement."""
        try:
            answer = await once(
                address,
                "POST",
                f"/ambershift/rpc?call={name}&of={self.id}",
                {"Content-Type": "application/json"},
                body,
                CALL_S,
            )
        except (NotReachedError, BrokenOffError, LateError):
            return None
        return answer if 200 <= answer.status < 300 and len(answer.body) <= 4096 else None

    # Requests.
    async def handle(self, asked: Asked, gone: asyncio.Event) -> Reply | None:
        headers = {name.lower(): value for name, value in asked.headers.items()}
        load = {"X-Server-Load": f"{self.running},{self.waiting},{SLOTS}", "X-Responding-Instance": self.id}
        if asked.target == "/health":
            cold = max(0, round((self.cold_until - time.monotonic()) * 1000))
            return Reply(200 if self.state == "ready" else 503, {**load, "X-Cold-Remaining-Ms": str(cold)})
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance", self.id) != self.id:
            return self.turn_away(421, attempt)
        self.judge.offered(self.id, self.zone, time.monotonic() < self.cold_until, self.cold_bound)
        if not attempt:
            return self.turn_away(400, attempt)
        if self.waiting >= QUEUE or self.chance.random() < TURNED:
            return self.turn_away(503, attempt)
        left = float(headers.get("x-deadline-remaining", "2000")) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(left):
                await self.slots.acquire()
        except TimeoutError:
            return self.turn_away(503, attempt)
        finally:
            self.waiting -= 1
        try:
            return await self.work(asked, attempt, left, gone, load)
        finally:
            self.slots.release()

    async def work(
        self, asked: Asked, attempt: str, left: float, gone: asyncio.Event, load: dict[str, str]
    ) -> Reply | None:
        if gone.is_set():
            return None
        self.judge.ran(
            attempt, digest_of(asked.method, asked.target, asked.body), self.id, self.service, self.region
        )
        self.ran, self.running = self.ran + 1, self.running + 1
        self.at_work.add(attempt)
        try:
            takes = min(self.chance.expovariate(1 / self.work_s), LONGEST * self.work_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(takes, left)):
                    await gone.wait()
        finally:
            self.running -= 1
            self.at_work.discard(attempt)
        if gone.is_set():
            return None
        pad = "x" * self.chance.randrange(600)
        body = json.dumps({"attempt": attempt, "at": self.id, "pad": pad}).encode()
        fields = {"X-Attempt-Id": attempt, "X-Server-Seal": seal_of(self.id, attempt, body), **load}
        dice = self.chance.random()
        if dice < LOST:
            self.judge.broke_off(attempt)
            return None if dice < LOST / 2 else Reply(200, fields, body, cut=len(body) // 2)
        extra = b""
        if dice < LOST + EXTRA:  # One answer too many: it belongs to no request.
            extra = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: extra\r\n"
                "Content-Length: 5\r\n\r\nextra"
            ).encode()
        return Reply(200, fields, body, extra=extra)

    def turn_away(self, status: int, attempt: str) -> Reply:
        return Reply(status, {"X-Not-Executed": "1", "X-Attempt-Id": attempt or "-", "Retry-After": "0.1"})


__all__ = ["COLD_RATE", "COLD_S", "WORK_S", "Backend"]

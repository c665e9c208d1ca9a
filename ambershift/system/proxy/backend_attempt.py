"""One attempt at one backend: a connection, the request on it, its outcome, and the backend's statistics."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import httpcore

from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.connection_pool import Connections, patience
from ambershift.system.proxy.headers import Headers, load_of, read_answer
from ambershift.system.proxy.http_exchange import Reply, TryError, Wire, exchange
from ambershift.system.proxy.retry_policy import Ending, Outcome, Stage, Tries, outcome
from ambershift.system.state_machine import NS_PER_SECOND


@dataclass(slots=True)
class Came:
    """The result of an attempt. `reply` where a backend's answer may be passed on, with these headers."""

    by: Try
    outcome: Outcome
    stage: Stage
    headers: Headers
    reply: Reply | None = None


class Try:
    """Runs once. From its making on, it counts as a request of ours at the backend."""

    def __init__(
        self, connections: Connections, steady: Callable[[], int], life: Life, near: bool, paid: bool
    ) -> None:
        """`paid`: from the service's retry budget. `near`: in the proxy's own region."""
        self.connections, self.steady, self.life, self.near = connections, steady, life, near
        self.paid = paid
        self.wire: Wire | None = None
        self.left = False
        self.started = steady()
        self._timer: asyncio.TimerHandle | None = None
        self._open = True
        life.started(self.started)

    async def run(
        self, tries: Tries, attempt: bytes, make: Callable[[Wire, Life, int], httpcore.Request]
    ) -> Came:
        try:
            wire = await self._connect(tries)
            now = self.steady()
            if self.left or now >= tries.deadline or not self.life.open(now):
                wire.net.close()
                raise TryError(Stage.CONNECTED, Ending.LEFT)
            self.wire = wire
            self._timer = asyncio.get_running_loop().call_later(
                (tries.deadline - now) / NS_PER_SECOND, wire.net.give_up
            )
            left = tries.deadline - now
            usual = self.life.patience()
            reply = await exchange(
                wire,
                make(wire, self.life, left),
                attempt,
                min(left, usual if tries.repeatable else left) / NS_PER_SECOND,
                self.connections.hold,
            )
        except TryError as why:
            self._book(why.stage, why.ending)
            return Came(self, outcome(why.stage, why.ending), why.stage, [])
        except BaseException:
            self.close()
            raise
        return self._judge(wire, reply, attempt)

    async def rest(self, reply: Reply) -> AsyncIterator[bytes]:
        """The parts of a large answer that were still to come. Raises `TryError` where it breaks off."""
        assert reply.rest is not None
        assert self.wire is not None
        try:
            async for part in reply.rest:
                yield part
        except TryError as why:
            self._book(why.stage, why.ending)
            raise
        self._well(self.wire, reply)

    def leave(self) -> None:
        """The client has left: end it now, so that the backend may drop the request."""
        if not self._open:
            return  # The connection may serve another request by now.
        self.left = True
        if self.wire is not None:
            self.wire.net.give_up()

    def close(self) -> None:
        """End the attempt, whatever was under way; one that has ended already is not touched."""
        if self._open:
            self._over()
            self.life.given_up()
            if self.wire is not None:
                self.wire.net.close()

    async def _connect(self, tries: Tries) -> Wire:
        found = self.connections.idle_one(self.life, not tries.repeatable)
        if found is not None:
            return found
        left = tries.deadline - self.started
        return await self.connections.open(self.life, patience(self.near, tries.connects, left))

    def _judge(self, wire: Wire, reply: Reply, attempt: bytes) -> Came:
        told, headers = read_answer(reply.status, reply.headers, attempt)
        came_to = outcome(Stage.WHOLE, Ending.ANSWERED, told)
        now = self.steady()
        waiting = load_of(reply.headers) if told.ours else None
        if waiting is not None:
            self.life.load_told(now, waiting)
        if reply.foreign:
            self.connections.strange(self.life)
        if not told.ours:
            self._book(Stage.WHOLE, Ending.GARBLED)
            wire.net.close()
            return Came(self, came_to, Stage.WHOLE, headers)
        if came_to is Outcome.GOOD:
            if reply.rest is None:
                self._well(wire, reply)
            return Came(self, came_to, Stage.WHOLE, headers, reply)
        self._over()
        if reply.rest is None:
            self.connections.keep(self.life, wire, reply.headers)
        else:
            wire.net.close()
        if came_to is Outcome.NOT_RUN:
            self.life.turned_away(now, gone=reply.status == 421)
        else:
            self.life.ended_badly(now, now - self.started, proof=False)
        return Came(
            self,
            came_to,
            Stage.WHOLE,
            headers,
            reply if came_to is Outcome.FAILED and reply.rest is None else None,
        )

    def _well(self, wire: Wire, reply: Reply) -> None:
        self._over()
        now = self.steady()
        self.connections.keep(self.life, wire, reply.headers)
        self.life.ended_well(now, now - self.started)

    def _book(self, stage: Stage, ending: Ending) -> None:
        """It brought no answer."""
        self._over()
        if self.left or ending is Ending.LEFT:
            self.life.given_up()
            return
        now, life = self.steady(), self.life
        dead = life.heard < self.started
        if ending is Ending.LOST and not dead:
            life.load_told(now, 1)  # Some reset what is too much for them.
        life.ended_badly(now, now - self.started, proof=dead and ending is not Ending.GARBLED)
        if ending is Ending.GARBLED:
            self.connections.strange(self.life)

    def _over(self) -> None:
        self._open = False
        if self._timer is not None:
            self._timer.cancel()

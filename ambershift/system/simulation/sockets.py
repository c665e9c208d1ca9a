"""A caller's connection with one request, between its own loop and that of a simulated process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ambershift.system.simulation.loop import SimulatedLoop
from ambershift.system.simulation.observing import observe
from ambershift.system.state_machine import NS_PER_SECOND


@dataclass(eq=False)
class NotReachedError(Exception):
    """Nothing listened there."""


@dataclass(eq=False)
class BrokenOffError(Exception):
    """It ended without an answer: what was asked may have been done."""


class Connection:
    """`later(what)` has `what` called after a way to the caller. `lost`: the answer never gets there."""

    def __init__(
        self,
        number: int,
        scope: dict[str, Any],
        body: bytes,
        answer: asyncio.Future[Any],
        later: Callable[[Callable[[], None]], None],
        lost: bool,
    ) -> None:
        self.number, self.life = number, -1
        self._scope, self._body, self._answer, self._later, self._lost = scope, body, answer, later, lost
        self._gone: asyncio.Future[Any] | None = None
        self._loop: SimulatedLoop | None = None
        self._left = False
        self._status = 0
        self.ended: Callable[[], None] = lambda: None

    # The caller's side.

    def _tell(self, result: Any) -> None:
        def told() -> None:
            if self._answer.done():
                return
            if isinstance(result, Exception):
                self._answer.set_exception(result)
            else:
                self._answer.set_result(result)

        self._later(told)

    def refuse(self) -> None:
        self._tell(NotReachedError())

    def break_off(self) -> None:
        self._tell(BrokenOffError())

    # The process's side.

    def serve(self, application: Callable[..., Awaitable[None]], loop: SimulatedLoop) -> None:
        self._loop = loop
        self._gone = loop.create_future()
        if self._left:
            self._gone.set_result(None)
        loop.create_task(self._run(application))

    def closed(self) -> None:
        """The caller's end is there to be read."""
        self._left = True
        if self._gone is not None and not self._gone.done():
            self._gone.set_result(None)

    async def _run(self, application: Callable[..., Awaitable[None]]) -> None:
        try:
            await application(self._scope, self._receive, self._send)
        finally:
            self.ended()

    async def _receive(self) -> dict[str, Any]:
        if self._body is not None:
            body, self._body = self._body, None  # type: ignore[assignment]
            return {"type": "http.request", "body": body}
        assert self._gone is not None
        await asyncio.shield(self._gone)
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        assert self._loop is not None
        observe("answer", int(self._loop.time() * NS_PER_SECOND), self.number, *message.items())
        if message["type"] == "http.response.start":
            self._status = message["status"]
        else:
            self._tell(BrokenOffError() if self._lost else (self._status, message["body"]))

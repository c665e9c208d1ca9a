"""Forwarded calls under way: what was handed to which machine, and who waits for the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ambershift.system.coordination.replies import Reply
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse

Sender = Callable[[str, msgspec.Struct], None]


class PendingCalls:
    """`begin` is drawn at each start, so that no number is ever used by two lives of a process."""

    def __init__(self, send: Sender, begin: int) -> None:
        self._send, self._number = send, begin
        self._pending: dict[int, tuple[str, asyncio.Future[Reply]]] = {}

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def forward(
        self, to: str, number: int, name: str, of: str, body: bytes, left: int
    ) -> asyncio.Future[Reply]:
        """`left` in ms. Whoever loses interest in the outcome cancels the future."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[number] = to, future
        future.add_done_callback(lambda _: self._forget(number, future))
        self._send(to, ForwardedCall(number, name, of, body, left))
        return future

    def _forget(self, number: int, future: asyncio.Future[Reply]) -> None:
        # The same forwarded call may have been handed to another one meanwhile, under the same number.
        if self._pending.get(number, ("", None))[1] is future:
            del self._pending[number]

    def complete(self, sender: str, outcome: ForwardedResponse) -> None:
        to, future = self._pending.get(outcome.number, ("", None))
        if future is not None and to == sender and not future.done():
            future.set_result(Reply(outcome.status, outcome.body))

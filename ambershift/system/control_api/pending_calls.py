"""Calls that this node has forwarded to other control nodes and that are pending there."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ambershift.system.control_api.context import Sender
from ambershift.system.coordination.replies import Reply
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse


@dataclass(frozen=True, slots=True)
class _PendingCall:
    recipient: str
    reply: asyncio.Future[Reply]


class PendingCalls:
    """Numbers this node's calls, and matches responses to those that were forwarded.

    The first number is drawn at each start: no number is ever used by two incarnations of a process, so that
    a late response to the one before can't be taken for a response to this one's call.
    """

    def __init__(self, send: Sender, first_number: int) -> None:
        self._send = send
        self._number = first_number
        self._pending: dict[int, _PendingCall] = {}

    def next_number(self) -> int:
        """The number of a new call; unique for this node."""
        self._number += 1
        return self._number

    def forward(self, recipient: str, call: ForwardedCall) -> asyncio.Future[Reply]:
        """Send a call to a control node (by ip). Who doesn't need the reply any more cancels the future."""
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[call.number] = _PendingCall(recipient, reply)
        reply.add_done_callback(lambda _: self._forget(call.number, reply))
        self._send(recipient, call)
        return reply

    def _forget(self, number: int, reply: asyncio.Future[Reply]) -> None:
        # The same call may have been forwarded to another node meanwhile, under the same number.
        pending = self._pending.get(number)
        if pending is not None and pending.reply is reply:
            del self._pending[number]

    def complete(self, sender: str, response: ForwardedResponse) -> None:
        """A response has arrived. One that isn't awaited from this sender (any more) is ignored."""
        pending = self._pending.get(response.number)
        if pending is not None and pending.recipient == sender and not pending.reply.done():
            pending.reply.set_result(Reply(response.status, response.body))

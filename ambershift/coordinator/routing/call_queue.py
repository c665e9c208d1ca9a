"""The queue of calls to the relay, without input or output: what goes out next, and what an answer means.

`RelayClient` makes the first call and passes its answer on; the model checker drives the same queue.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from ambershift.coordinator.protocol import relay as codec

SETTLES_NOTHING = 0


class Call(NamedTuple):
    """Orders that go out together.

    Attributes:
        orders: The encoded orders.
        settles: The last reply that is settled once the orders are answered, or `SETTLES_NOTHING`.
    """

    orders: tuple[str, ...]
    settles: int


class Outcome(NamedTuple):
    """What an answer means.

    Attributes:
        call: The call that was answered.
        lost_order: The order that the relay will never carry out, if any.
        reason: Why it won't, as the name of a log event.
        settled_reply: The reply up to which everything is settled, if that is known now.
    """

    call: Call
    lost_order: str | None = None
    reason: str = ""
    settled_reply: int | None = None


class CallQueue:
    """Calls in strict order and one at a time; the first leaves the queue only once its outcome is known."""

    def __init__(self) -> None:
        self.calls = deque[Call]()
        self.reply_count = 0

    def push(self, orders: Sequence[str]) -> int:
        """Append the orders of one reply of the policy module.

        Returns:
            How many queued calls were merged with it.
        """
        self.reply_count += 1
        merged = 0
        if len(self.calls) > 1:
            # The relay is unavailable. The first call may have been carried out and stays as it is; the rest
            # becomes one reply, or outdated calls would fill the channel when the relay returns.
            first, *rest = self.calls
            orders = codec.coalesce([order for call in rest for order in call.orders] + list(orders))
            self.calls, merged = deque([first]), len(rest)
        *parts, last = codec.split(orders)
        # Of a reply that is split only the last part settles anything: not even the reply before this one,
        # which may have been merged into it.
        self.calls.extend(Call(tuple(part), SETTLES_NOTHING) for part in parts)
        self.calls.append(Call(tuple(last), self.reply_count))
        return merged

    def head(self) -> Call:
        """Return the call to make next."""
        return self.calls[0]

    def on_answer(self, answer: codec.Answer) -> Outcome | None:
        """Process the relay's answer to the first call.

        A call without an answer isn't reported here: it stays first, and is repeated before any later one.

        Returns:
            The outcome; None if the relay was busy and the call has to be repeated.
        """
        if isinstance(answer, codec.Busy):
            return None
        call = self.calls.popleft()
        if isinstance(answer, codec.Misread):
            return self.on_misread(call)
        if answer.taken < len(call.orders):
            # The orders before the rejected one stand. It will never be accepted, and would hold up the rest.
            rest = call.orders[answer.taken + 1 :]
            if rest:
                self.calls.appendleft(Call(rest, call.settles))
            settled = None if rest else call.settles or None
            return Outcome(call, call.orders[answer.taken], "order_not_taken", settled)
        return Outcome(call, settled_reply=call.settles or None)

    def on_misread(self, call: Call) -> Outcome:
        """Split a call of which nothing was carried out into single orders, so that only one is lost."""
        if len(call.orders) == 1:
            return Outcome(call, call.orders[0], "order_not_read", call.settles or None)
        parts = [Call((order,), SETTLES_NOTHING) for order in call.orders[:-1]]
        self.calls.extendleft(reversed([*parts, Call(call.orders[-1:], call.settles)]))
        return Outcome(call)

    def snapshot(self) -> tuple[tuple[Call, ...], int]:
        """Return the whole state as values, for the model checker."""
        return tuple(self.calls), self.reply_count

    @classmethod
    def restore(cls, state: tuple[tuple[Call, ...], int]) -> CallQueue:
        """Build a queue from a state that `snapshot` returned."""
        queue = cls()
        queue.calls, queue.reply_count = deque(state[0]), state[1]
        return queue

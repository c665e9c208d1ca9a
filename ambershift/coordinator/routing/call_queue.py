"""The row of calls to the relay, without input or output: what goes out next, and what an outcome means.

The relay driver makes the first call and tells the outcome; the model checker drives the same row.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from ambershift.coordinator.protocol import relay as codec

NONE = 0


class Call(NamedTuple):
    """Orders that go out together; `settles` is the last reply that is settled once they are answered, NONE
    where
    they settle none.
    """

    orders: tuple[str, ...]
    settles: int


class Outcome(NamedTuple):
    """What an answer means: the call it was for, the order that the relay will never carry out, if any, why,
    and the reply up to which all is settled, if that is known now.
    """

    call: Call
    lost_order: str | None = None
    reason: str = ""
    settled_reply: int | None = None


class CallQueue:
    """Calls strictly in order and one at a time. The first one leaves only once its outcome is known."""

    def __init__(self) -> None:
        self.calls, self.reply_count = deque[Call](), 0

    def push(self, texts: Sequence[str]) -> int:
        """Take one reply's orders in; gives the number of calls that were folded into it."""
        self.reply_count += 1
        folded = 0
        if len(self.calls) > 1:
            # The relay is away. The first call may have been carried out and stays as it is; the rest becomes
            # one reply, or on its return a row of stale ones would fill the channel with messages.
            first, *rest = self.calls
            texts = codec.coalesce([order for call in rest for order in call.orders] + list(texts))
            self.calls, folded = deque([first]), len(rest)
        *parts, last = codec.split(texts)
        # Of what is cut only the last part settles anything: not even the reply before this one, which may be
        # folded into it.
        self.calls.extend(Call(tuple(part), NONE) for part in parts)
        self.calls.append(Call(tuple(last), self.reply_count))
        return folded

    def head(self) -> Call:
        return self.calls[0]

    def on_answer(self, answer: codec.Answer) -> Outcome | None:
        """The relay has answered for the first call; None where it was turned away and goes out again.

        A call without an answer needs no word here: it stays first, and goes out again before any later one.
        """
        if isinstance(answer, codec.Busy):
            return None
        call = self.calls.popleft()
        if isinstance(answer, codec.Misread):
            return self.on_misread(call)
        if answer.taken < len(call.orders):
            # Those before it stand and it never will: it would hold up all that come after.
            rest = call.orders[answer.taken + 1 :]
            if rest:
                self.calls.appendleft(Call(rest, call.settles))
            return Outcome(
                call, call.orders[answer.taken], "order_not_taken", None if rest else call.settles or None
            )
        return Outcome(call, settled_reply=call.settles or None)

    def on_misread(self, call: Call) -> Outcome:
        """Nothing of the call was carried out: its orders go out singly, so that one alone is lost."""
        if len(call.orders) == 1:
            return Outcome(call, call.orders[0], "order_not_read", call.settles or None)
        parts = [Call((order,), NONE) for order in call.orders[:-1]]
        self.calls.extendleft(reversed([*parts, Call(call.orders[-1:], call.settles)]))
        return Outcome(call)

    def snapshot(self) -> tuple[tuple[Call, ...], int]:
        """The whole state as values, for the checker."""
        return tuple(self.calls), self.reply_count

    @classmethod
    def restore(cls, state: tuple[tuple[Call, ...], int]) -> CallQueue:
        row = cls()
        row.calls, row.reply_count = deque(state[0]), state[1]
        return row

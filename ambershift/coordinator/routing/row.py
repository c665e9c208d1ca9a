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
    """Orders that go out together; `upto` is the last reply that is settled once they are answered, NONE
    where
    they settle none.
    """

    orders: tuple[str, ...]
    upto: int


class Outcome(NamedTuple):
    """What an answer means: the call it was for, the order that the relay will never carry out, if any, why,
    and the reply up to which all is settled, if that is known now.
    """

    call: Call
    lost: str | None = None
    why: str = ""
    settled: int | None = None


class Row:
    """Calls strictly in order and one at a time. The first one leaves only once its outcome is known."""

    def __init__(self) -> None:
        self.calls, self.replies = deque[Call](), 0

    def push(self, texts: Sequence[str]) -> int:
        """Take one reply's orders in; gives the number of calls that were folded into it."""
        self.replies += 1
        folded = 0
        if len(self.calls) > 1:
            # The relay is away. The first call may have been carried out and stays as it is; the rest becomes
            # one reply, or on its return a row of stale ones would fill the channel with messages.
            first, *rest = self.calls
            texts = codec.fold([order for call in rest for order in call.orders] + list(texts))
            self.calls, folded = deque([first]), len(rest)
        *parts, last = codec.split(texts)
        # Of what is cut only the last part settles anything: not even the reply before this one, which may be
        # folded into it.
        self.calls.extend(Call(tuple(part), NONE) for part in parts)
        self.calls.append(Call(tuple(last), self.replies))
        return folded

    def first(self) -> Call:
        return self.calls[0]

    def answered(self, answer: codec.Answer) -> Outcome | None:
        """The relay has answered for the first call; None where it was turned away and goes out again.

        A call without an answer needs no word here: it stays first, and goes out again before any later one.
        """
        if isinstance(answer, codec.Busy):
            return None
        call = self.calls.popleft()
        if isinstance(answer, codec.Misread):
            return self.misread(call)
        if answer.taken < len(call.orders):
            # Those before it stand and it never will: it would hold up all that come after.
            rest = call.orders[answer.taken + 1 :]
            if rest:
                self.calls.appendleft(Call(rest, call.upto))
            return Outcome(
                call, call.orders[answer.taken], "order_not_taken", None if rest else call.upto or None
            )
        return Outcome(call, settled=call.upto or None)

    def misread(self, call: Call) -> Outcome:
        """Nothing of the call was carried out: its orders go out singly, so that one alone is lost."""
        if len(call.orders) == 1:
            return Outcome(call, call.orders[0], "order_not_read", call.upto or None)
        parts = [Call((order,), NONE) for order in call.orders[:-1]]
        self.calls.extendleft(reversed([*parts, Call(call.orders[-1:], call.upto)]))
        return Outcome(call)

    def freeze(self) -> tuple[tuple[Call, ...], int]:
        """The whole state as values, for the checker."""
        return tuple(self.calls), self.replies

    @classmethod
    def thaw(cls, state: tuple[tuple[Call, ...], int]) -> Row:
        row = cls()
        row.calls, row.replies = deque(state[0]), state[1]
        return row

"""Histories of clients' operations: whether some order explains all that the clients saw.

A history is linearizable if each operation can be given one moment between its call and its answer, so
that a plain register behaves like that (Herlihy, Wing 1990). The search is that of Wing and Gong (1993) with
Lowe's memory (2017), a register at a time, as a history is linearizable if each key's is. Kept: the list of
events that operations are lifted out of, and the memory of what was placed with what it came to. Changed:
an outcome that is unknown may have its moment at any time after the call, or none at all.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    READ = "read"  # `value` is what was seen, None for a register that nobody wrote.
    WRITE = "write"
    ONCE = "once"  # A write that has its effect the first time its token comes, and none after that.


class Outcome(StrEnum):
    DONE = "done"
    REFUSED = "refused"  # Told that it has no effect, now or later.
    UNKNOWN = "unknown"  # No answer, or one that says so: it may yet have its effect.


class Operation(NamedTuple):
    """Times are those of one clock that all clients share; `returned` is None where no answer came."""

    client: str
    key: str
    kind: Kind
    value: str | None
    called: int
    returned: int | None
    outcome: Outcome
    token: str = ""


class Violation(NamedTuple):
    """`placed` is the longest order found; `stuck` are the operations of which none could come next."""

    key: str
    placed: tuple[Operation, ...]
    stuck: tuple[Operation, ...]

    def lines(self) -> list[str]:
        return [
            f"register {self.key}: no order explains what was seen",
            *(f"  placed {show(one)}" for one in self.placed[-6:]),
            *(f"  none of these can come next: {show(one)}" for one in self.stuck),
        ]


def show(one: Operation) -> str:
    token = f" token {one.token}" if one.token else ""
    return f"{one.client} {one.kind} {one.value}{token} [{one.called}..{one.returned}] {one.outcome}"


# What is known of a register: its value, and the tokens that had their effect.
Register = tuple[str | None, frozenset[str]]
NOTHING: Register = (None, frozenset())


def after(register: Register, one: Operation) -> Register | None:
    """What the register is after the operation; None where it could not have gone like that."""
    value, tokens = register
    if one.kind is Kind.READ:
        return register if one.value == value else None
    if one.kind is Kind.WRITE:
        return one.value, tokens
    return register if one.token in tokens else (one.value, tokens | {one.token})


def matters(operations: Sequence[Operation]) -> list[Operation]:
    """Without those that can't make a difference: refused ones, reads without an answer, and unknown writes
    whose value nobody saw, which may as well have had no effect.
    """
    seen = {one.value for one in operations if one.kind is Kind.READ and one.outcome is Outcome.DONE}
    done = {one.token for one in operations if one.outcome is Outcome.DONE}
    return [
        one
        for one in operations
        if one.outcome is Outcome.DONE
        or (
            one.outcome is Outcome.UNKNOWN
            and one.kind is not Kind.READ
            and (one.value in seen or (one.kind is Kind.ONCE and one.token in done))
        )
    ]


class Event:
    """A call or an answer in the list that the search lifts operations out of."""

    __slots__ = ("answer", "before", "behind", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.answer: Event | None = None  # Of a call; None where no answer bounds it.
        self.before: Event = self
        self.behind: Event | None = None

    def lift(self) -> None:
        self.before.behind = self.behind
        if self.behind is not None:
            self.behind.before = self.before

    def put_back(self) -> None:
        self.before.behind = self
        if self.behind is not None:
            self.behind.before = self


def listed(operations: Sequence[Operation]) -> Event:
    """The events by time behind a head; of the same time calls come first, so that both may be said to
    overlap.
    """
    events = list[tuple[int, int, Event]]()
    for number, one in enumerate(operations):
        call = Event(number)
        events.append((one.called, 0, call))
        if one.outcome is Outcome.DONE:
            if one.returned is None or one.returned < one.called:
                raise ValueError(f"done without a time of answer: {show(one)}")
            call.answer = Event(number)
            events.append((one.returned, 1, call.answer))
    head = last = Event(-1)
    for _, _, event in sorted(events, key=lambda one: (one[0], one[1])):
        last.behind, event.before, last = event, last, event
    return head


def explain(key: str, operations: Sequence[Operation]) -> Violation | None:
    """None where an order explains one register's history."""
    operations = matters(operations)
    left = sum(one.outcome is Outcome.DONE for one in operations)
    head = listed(operations)
    register, placed, memory = NOTHING, 0, set[tuple[int, Register]]()
    way = list[tuple[Event, Register]]()
    longest, stuck = list[int](), list[int]()
    at = head.behind
    tried = list[int]()
    while left:
        if (at is not None and operations[at.number].outcome is not Outcome.DONE) or (
            at is not None and at.answer is not None
        ):
            tried.append(at.number)
            following = after(register, operations[at.number])
            mark = (placed | 1 << at.number, following or NOTHING)
            if following is not None and mark not in memory:
                memory.add(mark)
                way.append((at, register))
                register, placed = following, mark[0]
                at.lift()
                if at.answer is not None:
                    at.answer.lift()
                    left -= 1
                at, tried = head.behind, []
            else:
                at = at.behind
            continue
        # An answer whose call has no place yet, or the end: nothing goes further from here.
        if len(way) >= len(longest):
            longest, stuck = [event.number for event, _ in way], tried
        if not way:
            return Violation(
                key, tuple(operations[one] for one in longest), tuple(operations[one] for one in stuck)
            )
        last, register = way.pop()
        placed &= ~(1 << last.number)
        if last.answer is not None:
            last.answer.put_back()
            left += 1
        last.put_back()
        at, tried = last.behind, []
    return None


def check(history: Iterable[Operation]) -> Violation | None:
    """None if the history is linearizable, else the first register that isn't. Raises ValueError for an
    operation that is done without an answer.
    """
    by_key = dict[str, list[Operation]]()
    for one in history:
        by_key.setdefault(one.key, []).append(one)
    for key in sorted(by_key):
        if (found := explain(key, by_key[key])) is not None:
            return found
    return None

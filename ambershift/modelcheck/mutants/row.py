"""Broken rows."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.call_queue import Call, CallQueue, Outcome
from ambershift.modelcheck.mutants.words import Mutant


def first_is_last(real: Any) -> Any:
    return lambda row: row.calls[-1]


def goes_behind(real: Any) -> Any:
    """A call that is turned away goes to the end of the row."""

    def on_answer(row: CallQueue, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.rotate(-1)
        found: Outcome | None = real(row, answer)
        return found

    return on_answer


def fold_without(word: str) -> Callable[[Any], Any]:
    return lambda real: lambda orders: [one for one in real(orders) if not one.startswith(word)]


def fold_keeps_the_first(real: Any) -> Any:
    return lambda orders: list(reversed(real(list(reversed(orders)))))


def fold_nothing(real: Any) -> Any:
    return lambda orders: list(orders)


def busy_is_done(real: Any) -> Any:
    def on_answer(row: CallQueue, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.popleft()
            return None
        found: Outcome | None = real(row, answer)
        return found

    return on_answer


def rest_is_dropped(real: Any) -> Any:
    def on_answer(row: CallQueue, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Done) and answer.taken < len(row.head().orders):
            call = row.calls.popleft()
            return Outcome(call, call.orders[answer.taken], "order_not_taken", call.settles)
        found: Outcome | None = real(row, answer)
        return found

    return on_answer


def misread_drops_all(real: Any) -> Any:
    return lambda row, call: Outcome(call, call.orders[0], "order_not_read", call.settles)


def parts_settle_the_reply_before(real: Any) -> Any:
    def on_misread(row: CallQueue, call: Call) -> Outcome:
        found: Outcome = real(row, call)
        if len(call.orders) > 1:
            for at in range(len(call.orders) - 1):
                row.calls[at] = row.calls[at]._replace(settles=call.settles - 1)
        return found

    return on_misread


def settled_at_the_refusal(real: Any) -> Any:
    def on_answer(row: CallQueue, answer: codec.Answer) -> Outcome | None:
        upto = row.head().settles
        found: Outcome | None = real(row, answer)
        return found._replace(settled_reply=upto) if found is not None and found.lost_order else found

    return on_answer


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "later-call-first",
        "row",
        "settled-means-held",
        "a later call is sent before the unknown one",
        CallQueue,
        "head",
        first_is_last,
    ),
    Mutant(
        "turned-away-goes-behind",
        "row",
        "settled-means-held",
        "a call that is turned away goes last",
        CallQueue,
        "on_answer",
        goes_behind,
    ),
    Mutant(
        "fold-drops-a-bind",
        "row",
        "the-last-word-is-held",
        "folding loses who uses a table",
        codec,
        "coalesce",
        fold_without("attach"),
    ),
    Mutant(
        "fold-keeps-the-first-word",
        "row",
        "the-last-word-is-held",
        "folding keeps what a later order made void",
        codec,
        "coalesce",
        fold_keeps_the_first,
    ),
    Mutant(
        "busy-is-done",
        "row",
        "the-last-word-is-held",
        "a call that was turned away counts as carried out",
        CallQueue,
        "on_answer",
        busy_is_done,
    ),
    Mutant(
        "rest-is-dropped",
        "row",
        "the-last-word-is-held",
        "what follows a refused order is forgotten",
        CallQueue,
        "on_answer",
        rest_is_dropped,
    ),
    Mutant(
        "misread-drops-all",
        "row",
        "the-last-word-is-held",
        "a misread call is given up whole",
        CallQueue,
        "on_misread",
        misread_drops_all,
    ),
    Mutant(
        "parts-settle",
        "row",
        "settled-means-held",
        "parts of a folded call settle the reply before",
        CallQueue,
        "on_misread",
        parts_settle_the_reply_before,
    ),
    Mutant(
        "settled-at-the-refusal",
        "row",
        "settled-means-held",
        "a reply settles while its rest still waits",
        CallQueue,
        "on_answer",
        settled_at_the_refusal,
    ),
    Mutant(
        "nothing-is-folded",
        "row",
        "what-waits-is-bounded",
        "what waits is not folded",
        codec,
        "coalesce",
        fold_nothing,
    ),
    Mutant(
        "harmless-marks-are-dropped",
        "row",
        "",
        "folding leaves out marks, which nobody waits for in a cut",
        codec,
        "coalesce",
        fold_without("fence"),
    ),
)

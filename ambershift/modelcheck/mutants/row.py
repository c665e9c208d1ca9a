"""Broken rows."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.row import Call, Outcome, Row
from ambershift.modelcheck.mutants.words import Mutant


def first_is_last(real: Any) -> Any:
    return lambda row: row.calls[-1]


def goes_behind(real: Any) -> Any:
    """A call that is turned away goes to the end of the row."""

    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.rotate(-1)
        found: Outcome | None = real(row, answer)
        return found

    return answered


def fold_without(word: str) -> Callable[[Any], Any]:
    return lambda real: lambda orders: [one for one in real(orders) if not one.startswith(word)]


def fold_keeps_the_first(real: Any) -> Any:
    return lambda orders: list(reversed(real(list(reversed(orders)))))


def fold_nothing(real: Any) -> Any:
    return lambda orders: list(orders)


def busy_is_done(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.popleft()
            return None
        found: Outcome | None = real(row, answer)
        return found

    return answered


def rest_is_dropped(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Done) and answer.taken < len(row.first().orders):
            call = row.calls.popleft()
            return Outcome(call, call.orders[answer.taken], "order_not_taken", call.upto)
        found: Outcome | None = real(row, answer)
        return found

    return answered


def misread_drops_all(real: Any) -> Any:
    return lambda row, call: Outcome(call, call.orders[0], "order_not_read", call.upto)


def parts_settle_the_reply_before(real: Any) -> Any:
    def misread(row: Row, call: Call) -> Outcome:
        found: Outcome = real(row, call)
        if len(call.orders) > 1:
            for at in range(len(call.orders) - 1):
                row.calls[at] = row.calls[at]._replace(upto=call.upto - 1)
        return found

    return misread


def settled_at_the_refusal(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        upto = row.first().upto
        found: Outcome | None = real(row, answer)
        return found._replace(settled=upto) if found is not None and found.lost else found

    return answered


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "later-call-first",
        "row",
        "settled-means-held",
        "a later call is sent before the unknown one",
        Row,
        "first",
        first_is_last,
    ),
    Mutant(
        "turned-away-goes-behind",
        "row",
        "settled-means-held",
        "a call that is turned away goes last",
        Row,
        "answered",
        goes_behind,
    ),
    Mutant(
        "fold-drops-a-bind",
        "row",
        "the-last-word-is-held",
        "folding loses who uses a table",
        codec,
        "fold",
        fold_without("attach"),
    ),
    Mutant(
        "fold-keeps-the-first-word",
        "row",
        "the-last-word-is-held",
        "folding keeps what a later order made void",
        codec,
        "fold",
        fold_keeps_the_first,
    ),
    Mutant(
        "busy-is-done",
        "row",
        "the-last-word-is-held",
        "a call that was turned away counts as carried out",
        Row,
        "answered",
        busy_is_done,
    ),
    Mutant(
        "rest-is-dropped",
        "row",
        "the-last-word-is-held",
        "what follows a refused order is forgotten",
        Row,
        "answered",
        rest_is_dropped,
    ),
    Mutant(
        "misread-drops-all",
        "row",
        "the-last-word-is-held",
        "a misread call is given up whole",
        Row,
        "misread",
        misread_drops_all,
    ),
    Mutant(
        "parts-settle",
        "row",
        "settled-means-held",
        "parts of a folded call settle the reply before",
        Row,
        "misread",
        parts_settle_the_reply_before,
    ),
    Mutant(
        "settled-at-the-refusal",
        "row",
        "settled-means-held",
        "a reply settles while its rest still waits",
        Row,
        "answered",
        settled_at_the_refusal,
    ),
    Mutant(
        "nothing-is-folded",
        "row",
        "what-waits-is-bounded",
        "what waits is not folded",
        codec,
        "fold",
        fold_nothing,
    ),
    Mutant(
        "harmless-marks-are-dropped",
        "row",
        "",
        "folding leaves out marks, which nobody waits for in a cut",
        codec,
        "fold",
        fold_without("fence"),
    ),
)

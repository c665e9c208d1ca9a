"""Broken comparing of the news of two connections."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.routing import compared
from ambershift.modelcheck.mutants.words import Mutant


def both_begin_anew(real: Any) -> Any:
    def begin(self: compared.Compared, place: int) -> None:
        real(self, place)
        self.streams[place].ahead.clear()
        self.streams[place].stated.clear()

    return begin


def not_compared_while_the_other_is_up(real: Any) -> Any:
    def reconcile(
        self: compared.Compared, stream: Any, other: Any, only: Any = None, just: bool = False
    ) -> None:
        if not (just and other.level):
            real(self, stream, other, only, just)

    return reconcile


def wrong_side(real: Any) -> Any:
    def reconcile(
        self: compared.Compared, stream: Any, other: Any, only: Any = None, just: bool = False
    ) -> None:
        real(self, other, stream, only, just)

    return reconcile


def takes_no_heed_of_what_is_ahead(real: Any) -> Any:
    return lambda self, other: set()


def never_compared(real: Any) -> Any:
    return lambda *words: None


def told_twice(real: Any) -> Any:
    return lambda one, other: False


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "both-begin-anew",
        "news-small",
        "nothing-is-told-twice",
        "a new connection forgets what the old one told first",
        compared.Compared,
        "begin",
        both_begin_anew,
    ),
    Mutant(
        "not-compared-beside-the-other",
        "news-small",
        "nothing-is-told-twice",
        "what stands is not compared while the other is up",
        compared.Compared,
        "reconcile",
        not_compared_while_the_other_is_up,
    ),
    Mutant(
        "wrong-side",
        "news",
        "nothing-is-told-twice",
        "the news are compared with the other's view",
        compared.Compared,
        "reconcile",
        wrong_side,
    ),
    Mutant(
        "ahead-is-not-heeded",
        "news",
        "nothing-is-told-twice",
        "what the other told first is taken for missed",
        compared.Compared,
        "pending",
        takes_no_heed_of_what_is_ahead,
    ),
    Mutant(
        "never-compared",
        "news-small",
        "what-is-known-is-what-stands",
        "what stands is not compared on return",
        compared.Compared,
        "reconcile",
        never_compared,
    ),
    Mutant(
        "each-is-told",
        "news-small",
        "nothing-is-told-twice",
        "what both bring is told twice",
        compared,
        "same",
        told_twice,
    ),
    Mutant(
        "harmless-ahead",
        "news",
        "",
        "half as many news may be ahead",
        compared,
        "AHEAD_MOST",
        lambda real: real // 2,
    ),
)

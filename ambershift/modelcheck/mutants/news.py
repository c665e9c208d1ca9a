"""Broken comparing of the news of two connections."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.routing import stream_merger
from ambershift.modelcheck.mutants.words import Mutant


def both_begin_anew(real: Any) -> Any:
    def on_connected(self: stream_merger.StreamMerger, place: int) -> None:
        real(self, place)
        self.streams[place].unmatched.clear()
        self.streams[place].from_snapshot.clear()

    return on_connected


def not_compared_while_the_other_is_up(real: Any) -> Any:
    def reconcile(
        self: stream_merger.StreamMerger, stream: Any, other: Any, only: Any = None, just: bool = False
    ) -> None:
        if not (just and other.synced):
            real(self, stream, other, only, just)

    return reconcile


def wrong_side(real: Any) -> Any:
    def reconcile(
        self: stream_merger.StreamMerger, stream: Any, other: Any, only: Any = None, just: bool = False
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
        stream_merger.StreamMerger,
        "on_connected",
        both_begin_anew,
    ),
    Mutant(
        "not-compared-beside-the-other",
        "news-small",
        "nothing-is-told-twice",
        "what stands is not compared while the other is up",
        stream_merger.StreamMerger,
        "reconcile",
        not_compared_while_the_other_is_up,
    ),
    Mutant(
        "wrong-side",
        "news",
        "nothing-is-told-twice",
        "the news are compared with the other's view",
        stream_merger.StreamMerger,
        "reconcile",
        wrong_side,
    ),
    Mutant(
        "ahead-is-not-heeded",
        "news",
        "nothing-is-told-twice",
        "what the other told first is taken for missed",
        stream_merger.StreamMerger,
        "pending",
        takes_no_heed_of_what_is_ahead,
    ),
    Mutant(
        "never-compared",
        "news-small",
        "what-is-known-is-what-stands",
        "what stands is not compared on return",
        stream_merger.StreamMerger,
        "reconcile",
        never_compared,
    ),
    Mutant(
        "each-is-told",
        "news-small",
        "nothing-is-told-twice",
        "what both bring is told twice",
        stream_merger,
        "equivalent",
        told_twice,
    ),
    Mutant(
        "harmless-ahead",
        "news",
        "",
        "half as many news may be ahead",
        stream_merger,
        "MAX_UNMATCHED",
        lambda real: real // 2,
    ),
)

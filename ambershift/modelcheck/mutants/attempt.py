"""Broken attempts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ambershift import interface as api
from ambershift.attempt.machine import Attempt, Evidence
from ambershift.modelcheck.mutants.words import Mutant


def slips_run_again(real: Any) -> Any:
    def may(self: Attempt, again: Any, bearing: Any, server: int, now: int) -> bool:
        if bearing.repeat is api.Idempotency.NON_RETRIABLE:
            bearing = bearing._replace(repeat=api.Idempotency.RETRIABLE)
        allowed: bool = real(self, again, bearing, server, now)
        return allowed

    return may


def resets_prove_nothing_ran(real: Any) -> Any:
    return lambda self, evidence, server, sent_at: self


def only_the_last_try_counts(real: Any) -> Any:
    def failed(self: Attempt, evidence: Evidence, server: int, sent_at: int) -> Attempt:
        if evidence is Evidence.NOT_RUN:
            return self._replace(first=-1, since=-1)
        found: Attempt = real(self, evidence, server, sent_at)
        return found

    return failed


def bearing_with(**changes: Any) -> Callable[[Any], Any]:
    def change(real: Any) -> Any:
        return lambda self, again, bearing, server, now: real(
            self, again, bearing._replace(**changes), server, now
        )

    return change


def one_try_too_many(real: Any) -> Any:
    return lambda self, again, bearing, server, now: real(
        self._replace(tries=max(0, self.tries - 1)), again, bearing, server, now
    )


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "slips-run-again",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a slip is sent again after a time-out",
        Attempt,
        "may",
        slips_run_again,
    ),
    Mutant(
        "resets-prove-nothing-ran",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a reset with bytes sent counts as proof",
        Attempt,
        "failed",
        resets_prove_nothing_ran,
    ),
    Mutant(
        "only-the-last-try-counts",
        "attempt-one-table",
        "deduped-takes-effect-once",
        "a refusal makes the time-out before it forgotten",
        Attempt,
        "failed",
        only_the_last_try_counts,
    ),
    Mutant(
        "outside-the-window",
        "attempt-small",
        "deduped-takes-effect-once",
        "the window of a key does not count",
        Attempt,
        "may",
        bearing_with(window=1 << 60),
    ),
    Mutant(
        "arrives-too-late",
        "attempt-small",
        "deduped-takes-effect-once",
        "the way of a try does not count",
        Attempt,
        "may",
        bearing_with(way=0),
    ),
    Mutant(
        "outside-the-group",
        "attempt-apart",
        "deduped-takes-effect-once",
        "a key is taken for known everywhere",
        Attempt,
        "may",
        bearing_with(everywhere=True),
    ),
    Mutant(
        "one-try-too-many",
        "attempt-small",
        "no-more-tries-than-the-way-allows",
        "the first try is not counted",
        Attempt,
        "may",
        one_try_too_many,
    ),
)

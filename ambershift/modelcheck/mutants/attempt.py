"""Broken attempts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ambershift import interface as api
from ambershift.attempt.machine import AttemptHistory, Evidence
from ambershift.modelcheck.mutants.words import Mutant


def slips_run_again(real: Any) -> Any:
    def may_send(self: AttemptHistory, policy: Any, constraints: Any, server: int, now: int) -> bool:
        if constraints.idempotency is api.Idempotency.NON_RETRIABLE:
            constraints = constraints._replace(idempotency=api.Idempotency.RETRIABLE)
        allowed: bool = real(self, policy, constraints, server, now)
        return allowed

    return may_send


def resets_prove_nothing_ran(real: Any) -> Any:
    return lambda self, evidence, server, sent_at: self


def only_the_last_try_counts(real: Any) -> Any:
    def record_failure(self: AttemptHistory, evidence: Evidence, server: int, sent_at: int) -> AttemptHistory:
        if evidence is Evidence.NOT_RUN:
            return self._replace(first_server=-1, first_sent_at=-1)
        found: AttemptHistory = real(self, evidence, server, sent_at)
        return found

    return record_failure


def with_constraints(**changes: Any) -> Callable[[Any], Any]:
    def change(real: Any) -> Any:
        return lambda self, policy, constraints, server, now: real(
            self, policy, constraints._replace(**changes), server, now
        )

    return change


def one_try_too_many(real: Any) -> Any:
    return lambda self, policy, constraints, server, now: real(
        self._replace(attempts=max(0, self.attempts - 1)), policy, constraints, server, now
    )


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "slips-run-again",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a slip is sent again after a time-out",
        AttemptHistory,
        "may_send",
        slips_run_again,
    ),
    Mutant(
        "resets-prove-nothing-ran",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a reset with bytes sent counts as proof",
        AttemptHistory,
        "record_failure",
        resets_prove_nothing_ran,
    ),
    Mutant(
        "only-the-last-try-counts",
        "attempt-one-table",
        "deduped-takes-effect-once",
        "a refusal makes the time-out before it forgotten",
        AttemptHistory,
        "record_failure",
        only_the_last_try_counts,
    ),
    Mutant(
        "outside-the-window",
        "attempt-small",
        "deduped-takes-effect-once",
        "the window of a key does not count",
        AttemptHistory,
        "may_send",
        with_constraints(dedup_window=1 << 60),
    ),
    Mutant(
        "arrives-too-late",
        "attempt-small",
        "deduped-takes-effect-once",
        "the way of a try does not count",
        AttemptHistory,
        "may_send",
        with_constraints(travel_time=0),
    ),
    Mutant(
        "outside-the-group",
        "attempt-apart",
        "deduped-takes-effect-once",
        "a key is taken for known everywhere",
        AttemptHistory,
        "may_send",
        with_constraints(dedup_everywhere=True),
    ),
    Mutant(
        "one-try-too-many",
        "attempt-small",
        "no-more-tries-than-the-way-allows",
        "the first try is not counted",
        AttemptHistory,
        "may_send",
        one_try_too_many,
    ),
)

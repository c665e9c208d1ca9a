"""Broken desks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ambershift.coordinator.admin import batching, controller, coverage, evaluation
from ambershift.coordinator.admin.types import Stage
from ambershift.coordinator.routing.call_queue import CallQueue
from ambershift.modelcheck.mutants.words import Mutant


def refuses_nothing(real: Any) -> Any:
    return lambda *words: None


def heirs_are_here(real: Any) -> Any:
    return lambda *words: False


def lends_nobody(real: Any) -> Any:
    return lambda self, world, now: world


def held_is_dropped(real: Any) -> Any:
    return lambda self, server, since: None


def wishes_are_passed_over(real: Any) -> Any:
    return lambda world, server, warmth, now: world.listed[server]


def applied_once_told(real: Any) -> Any:
    return lambda data_plane, server, told: Stage.APPLIED if told.entry is not None else Stage.GATHERED


def a_cut_drops_the_row(real: Any) -> Any:
    def push(row: CallQueue, texts: Sequence[str]) -> int:
        while len(row.calls) > 1:
            row.calls.pop()
        folded: int = real(row, texts)
        return folded

    return push


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "refuses-nothing",
        "admin",
        "an-accepted-command-is-never-lost",
        "the last server may be taken away",
        evaluation,
        "uncovered",
        refuses_nothing,
    ),
    Mutant(
        "no-heir",
        "admin",
        "commands-leave-no-proxy-with-nothing",
        "a server leaves before its heir is let in",
        controller,
        "awaits_replacement",
        heirs_are_here,
    ),
    Mutant(
        "lends-nobody",
        "admin",
        "the-lost-are-stood-in-for",
        "with all others lost the drained stay out",
        coverage.Lender,
        "lend",
        lends_nobody,
    ),
    Mutant(
        "held-is-dropped",
        "admin",
        "an-accepted-command-is-never-lost",
        "a wish that must wait is forgotten",
        batching.ChangeBatcher,
        "hold",
        held_is_dropped,
    ),
    Mutant(
        "wishes-are-passed-over",
        "admin",
        "an-accepted-command-is-never-lost",
        "the list's word alone is told",
        controller,
        "effective_entry",
        wishes_are_passed_over,
    ),
    Mutant(
        "applied-once-told",
        "admin",
        "what-is-shown-as-applied-is",
        "a wish shows as applied once it is told",
        controller,
        "stage",
        applied_once_told,
    ),
    Mutant(
        "a-cut-drops-the-row",
        "admin",
        "the-lost-are-stood-in-for",
        "what waits in a cut is dropped",
        CallQueue,
        "push",
        a_cut_drops_the_row,
    ),
    Mutant(
        "harmless-quiet",
        "admin",
        "",
        "wishes are gathered for twice as long",
        batching,
        "BATCH_QUIET_NS",
        lambda real: 2 * real,
    ),
)

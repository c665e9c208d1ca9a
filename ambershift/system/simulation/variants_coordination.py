"""Broken variants of locks, numbers, keys, watches and evacuations."""

from __future__ import annotations

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.consensus import (
    acceptor,
)
from ambershift.system.control_api import (
    asgi,
    configuration_calls,
    coordination_calls,
    evacuations,
    pause_detector,
    watches,
)
from ambershift.system.coordination import cells, groups, locks
from ambershift.system.simulation import coordination_mistakes
from ambershift.system.simulation.variant import constant, of

VARIANTS: tuple[Mutant, ...] = (
    of(
        "hold-counted-from-the-first",
        "ONE",
        "a renewal does not move the hold's beginning",
        acceptor.Acceptor,
        "known_since",
        coordination_mistakes.known_since_the_first,
    ),
    of(
        "hold-without-margin",
        "ONE",
        "clocks are taken to run alike",
        locks,
        "CLOCK_DRIFT_MARGIN_NS",
        constant(0),
    ),
    of(
        "shorter-renewal-cuts-short",
        "ONE",
        "a renewal for less ends what was promised for longer",
        locks.Lease,
        "remaining_ms",
        coordination_mistakes.shorter_cuts_short,
    ),
    of(
        "fence-reused",
        "ONE",
        "the next holder gets the fence of the last",
        locks,
        "acquire",
        coordination_mistakes.fence_of_before,
    ),
    of(
        "fence-forgotten",
        "ONE",
        "a lock given back begins its fences anew",
        locks,
        "release",
        coordination_mistakes.fence_forgotten,
    ),
    of(
        "late-run-takes-again",
        "WORTH",
        "a late run of a call takes a lock that it had before",
        locks,
        "acquire",
        coordination_mistakes.each_run_a_new_call,
    ),
    of(
        "late-return-ends-a-new-hold",
        "ONE",
        "an old giving back ends what was asked for anew",
        locks,
        "release",
        coordination_mistakes.kept_is_given_back,
    ),
    of(
        "put-over-any-revision",
        "ORDER",
        "AppliesTo is not looked at",
        cells,
        "compare_and_set",
        coordination_mistakes.put_unchecked,
    ),
    of(
        "put-again-gets-a-new-revision",
        "MIXED",
        "a put that comes again is another one",
        groups.Group,
        "first_revision_of",
        coordination_mistakes.never_known,
    ),
    of(
        "events-forgotten-early",
        "LOST",
        "only the last event is remembered",
        groups.Group,
        "put",
        coordination_mistakes.last_event_only,
    ),
    of(
        "watch-tells-nothing-from-memory",
        "STALE",
        "an empty span is told without asking the others",
        watches.Watches,
        "_confirm_no_events",
        coordination_mistakes.nothing_from_memory,
    ),
    of(
        "watch-told-before-held",
        "MIXED",
        "a watch tells what is proposed",
        coordination_calls.CoordinationCalls,
        "propose",
        coordination_mistakes.told_before_held,
    ),
    of(
        "version-by-the-time-of-day",
        "LOST",
        "an evacuation's version is the clock's",
        evacuations.Evacuations,
        "_next_item",
        coordination_mistakes.by_the_time_of_day,
    ),
    of(
        "evacuation-without-asking",
        "LOST",
        "an evacuation goes above what is known here",
        evacuations.Evacuations,
        "execute",
        coordination_mistakes.without_freshening,
    ),
    of(
        "read-back-without-asking",
        "STALE",
        "a configuration is read from this copy alone",
        configuration_calls.ConfigurationCalls,
        "retrieve",
        coordination_mistakes.without_freshening,
    ),
    of(
        "late-order-carried-out",
        "LOST",
        "an order is done however late it is read",
        evacuations.Evacuations,
        "_ensure_current",
        constant(coordination_mistakes.however_late),
    ),
    of(
        "stopped-unnoticed",
        "WORTH",
        "what waited in a stopped process is done when it wakes",
        pause_detector.PauseDetector,
        "tick",
        constant(lambda self, now: 0),
    ),
    of(
        "order-of-one-who-left",
        "LOST",
        "an order is done though its caller has gone",
        asgi.CallerConnection,
        "is_closed",
        constant(coordination_mistakes.nobody_left),
    ),
    of(
        "end-of-connection-awaited-too-briefly",
        "LOST",
        "an order is done if its connection ends a round trip later",
        evacuations,
        "DISCONNECT_WAIT_S",
        constant(0.03),
    ),
)

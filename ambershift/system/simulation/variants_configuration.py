"""Broken variants of how configurations are agreed."""

from __future__ import annotations

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.configuration import agreement
from ambershift.system.control_api import configuration_calls, pending_calls
from ambershift.system.simulation import configuration_mistakes, mistakes
from ambershift.system.simulation.variant import constant, of

VARIANTS: tuple[Mutant, ...] = (
    of(
        "configuration-decided-here",
        "CONFIG",
        "a machine decides a change by the newest copies, without the register",
        configuration_calls.ConfigurationCalls,
        "modify",
        configuration_mistakes.decided_here,
    ),
    of(
        "other-content-acknowledged",
        "CONFIG",
        "another content under a version that is held is acknowledged",
        agreement,
        "same_content",
        constant(lambda one, other: True),
    ),
    of(
        "checked-against-an-old-copy",
        "CONFIG",
        "a machine that may lack settled items judges all the same",
        agreement.Proposal,
        "__call__",
        configuration_mistakes.any_copy_will_do,
    ),
    of(
        "confirmed-by-one-copy",
        "CONFIG",
        "a change is acknowledged before a majority stores it",
        configuration_calls.ConfigurationCalls,
        "_store_items",
        configuration_mistakes.acknowledged_before_stored,
    ),
    of(
        "settled-before-stored",
        "CONFIG",
        "items are no longer listed though no majority is known to store them",
        configuration_calls.ConfigurationCalls,
        "_store_items",
        configuration_mistakes.counted_before_stored,
    ),
    of(
        "only-the-last-try-counts",
        "CONFIG",
        "a change that wrote something is told as never done, as its last try did nothing",
        configuration_calls,
        "Proposal",
        configuration_mistakes.last_try_only,
    ),
    of(
        "refusal-forgotten",
        "CONFIG",
        "another copy of a call that was refused is judged anew",
        agreement,
        "_refusing",
        configuration_mistakes.refusal_forgotten,
    ),
    of(
        "listed-items-not-looked-at",
        "CONFIG",
        "a change is judged against the store alone",
        agreement,
        "_by_key",
        configuration_mistakes.valid_by_itself,
    ),
    of(
        "superseded-contents-alike",
        "CONFIG",
        "under an overtaken version any content is acknowledged",
        agreement,
        "_superseded",
        configuration_mistakes.digests_alike,
    ),
    of(
        "call-numbers-of-the-life-before",
        "ONE",
        "calls that are forwarded are numbered anew at each start",
        pending_calls.PendingCalls,
        "__init__",
        mistakes.numbered_anew,
    ),
)

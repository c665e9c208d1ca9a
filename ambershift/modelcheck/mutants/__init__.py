"""Broken variants of the machines that run, each changed in one place, which the checker must catch.

What a variant breaks is a mistake that somebody could make. The harmless ones change something that does not
matter: to report one of these would be a false alarm.
"""

from __future__ import annotations

from ambershift.modelcheck.mutants import admin, attempt, collector, news, permits, policy, replication, row
from ambershift.modelcheck.mutants.words import Mutant, broken

__all__ = ["MUTANTS", "SIMULATED", "Mutant", "broken", "by_name", "simulated"]

MUTANTS: tuple[Mutant, ...] = (
    *row.MUTANTS,
    *news.MUTANTS,
    *collector.MUTANTS,
    *admin.MUTANTS,
    *attempt.MUTANTS,
    *policy.MUTANTS,
    *replication.MUTANTS,
    *permits.MUTANTS,
)
SIMULATED: tuple[Mutant, ...] = replication.SIMULATED


def by_name() -> dict[str, Mutant]:
    return {one.name: one for one in MUTANTS}


def simulated() -> dict[str, Mutant]:
    """Those that random schedules show, by a seed each."""
    return {one.name: one for one in SIMULATED}

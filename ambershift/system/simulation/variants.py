"""All broken variants of the running classes, which the simulation must find."""

from __future__ import annotations

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.simulation import variants_configuration, variants_consensus, variants_coordination

VARIANTS: tuple[Mutant, ...] = (
    *variants_consensus.VARIANTS,
    *variants_coordination.VARIANTS,
    *variants_configuration.VARIANTS,
)
BY_NAME = {one.name: one for one in VARIANTS}

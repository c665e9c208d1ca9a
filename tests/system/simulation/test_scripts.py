"""Scripted worlds: none finds anything in the classes as they run, each finds its broken variant."""

from __future__ import annotations

import pytest

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.simulation.scripts import SCRIPTS
from ambershift.system.simulation.scripts_cluster import late_order
from ambershift.system.simulation.variants import BY_NAME


@pytest.mark.parametrize("variant", SCRIPTS)
def test_a_script_finds_its_variant_and_nothing_else(variant: str) -> None:
    script = SCRIPTS[variant]
    assert script() == []
    with broken(BY_NAME[variant]):
        assert script() != []


@pytest.mark.parametrize(
    ("variant", "found"),
    [("stopped-unnoticed", False), ("order-of-one-who-left", False), ("late-order-carried-out", True)],
)
def test_of_the_guards_against_an_order_that_a_stopped_process_reads_either_is_enough(
    variant: str,
    found: bool,
) -> None:
    with broken(BY_NAME[variant]):
        assert bool(late_order(stopped=True)) == found

"""Control nodes' replicas in the small: explored shallowly here, deeper by `ambershift check-model`."""

from __future__ import annotations

from ambershift.modelcheck import trace
from ambershift.modelcheck.explore import Options, explore
from ambershift.modelcheck.mutants.words import broken
from ambershift.modelcheck.registry import models
from ambershift.system.simulation.variants import BY_NAME


def test_no_two_steps_break_the_order_of_a_list() -> None:
    model = models()["consensus"]
    result = explore(model, Options(depth=2))
    assert result.fault is None, trace.text(model, result.fault)
    assert result.states > 500


def test_half_of_the_voters_is_found_to_be_too_few_within_two_steps() -> None:
    with broken(BY_NAME["one-copy-too-few"]):
        result = explore(models()["consensus"], Options(depth=2))
    assert result.fault is not None and result.fault.property == "one-order"

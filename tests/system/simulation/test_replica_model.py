"""Control nodes' replicas in the small: explored shallowly here, deeper by `ambershift check-model`."""

from __future__ import annotations

import pytest

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


def test_two_operators_with_one_version_get_one_content_whoever_leaves_or_starts_anew() -> None:
    model = models()["agreement"]
    result = explore(model, Options(depth=5))
    assert result.fault is None, trace.text(model, result.fault)
    assert result.states > 10_000


@pytest.mark.parametrize(
    "variant", ["other-content-acknowledged", "checked-against-an-old-copy", "listed-items-not-looked-at"]
)
def test_agreement_finds_its_broken_variants(variant: str) -> None:
    with broken(BY_NAME[variant]):
        assert explore(models()["agreement"], Options(depth=7)).fault is not None

"""Two operators with one version, and a node that returns with outdated state, as an operator sees it."""

from __future__ import annotations

import pytest

from ambershift.system.simulation.scripts_configuration import offered_on_return, rivals
from ambershift.system.state_machine import NS_PER_MS


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("apart", [0, 5, 50, 500])
def test_one_of_two_contents_of_a_version_is_agreed_and_the_other_rejected(apart: int, seed: int) -> None:
    assert rivals(seed, apart * NS_PER_MS) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("way", ["killed", "cut", "frozen"])
def test_returning_node_with_outdated_state_reverts_nothing(way: str, seed: int) -> None:
    assert offered_on_return(seed, way) == []

"""Proxies as they run, before simulated control nodes in trouble: changes are in force in time."""

import pytest

from ambershift.system.simulation.fleet_troubles import play, storm_while_cut

# A region and one more; one or two of each region; two of a zone and another, each alone. The last is the
# incident: two of a region, each alone.
CUTS = (((1, 4, 7, 2), False), ((2, 4, 6, 8), False), ((1, 7, 5), True), ((1, 4), True), ((1, 7), True))
SEEDS = (5, 10, 25, 54)  # Other histories that broke: see docs/incidents/2026-12-02-config-while-cut.md.


@pytest.mark.parametrize(("apart", "alone"), CUTS, ids=str)
def test_changes_reach_proxies_in_time_while_their_control_nodes_are_cut_off(
    apart: tuple[int, ...], alone: bool
) -> None:
    judge = storm_while_cut(1, apart, alone=alone)
    assert len(judge.storm.acknowledged) > 60
    assert [str(one) for one in judge.late] == []


@pytest.mark.parametrize("seed", SEEDS)
def test_changes_reach_proxies_in_time_among_troubles(seed: int) -> None:
    played = play(seed)
    assert played.acknowledged > 30 and played.troubles
    assert played.broken == []

"""Proxies as they run, before simulated control nodes in trouble: changes are in force in time."""

import pytest

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.messages.items import ROUTE
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.simulation.fleet_history import Acknowledged, Judge, Storm
from ambershift.system.simulation.fleet_troubles import play, storm_while_cut
from ambershift.system.simulation.variants_fleet import BY_NAME
from ambershift.system.state_machine import NS_PER_SECOND

# A region and one more; one or two of each region; two of a zone and another, each alone. The last is the
# incident: two of a region, each alone.
CUTS = (((1, 4, 7, 2), False), ((2, 4, 6, 8), False), ((1, 7, 5), True), ((1, 4), True), ((1, 7), True))
SEEDS = (5, 10, 16, 25, 33)  # Most broke before: see docs/incidents/2026-12-02-config-while-cut.md.


@pytest.mark.parametrize(("apart", "alone"), CUTS, ids=str)
def test_changes_reach_proxies_in_time_while_their_control_nodes_are_cut_off(
    apart: tuple[int, ...], alone: bool
) -> None:
    judge = storm_while_cut(1, apart, alone=alone)
    assert len(judge.storm.acknowledged) > 60
    assert judge.broken() == []


@pytest.mark.parametrize("seed", SEEDS)
def test_changes_reach_proxies_in_time_among_troubles(seed: int) -> None:
    played = play(seed)
    assert played.acknowledged > 30 and played.troubles
    assert played.broken == []


@pytest.mark.parametrize(
    ("variant", "apart", "alone", "lasts"),
    [
        ("a-beat-is-contact", (1, 4), True, 14.0),
        ("node-judged-by-its-word", (1, 4), True, 8.0),
        ("never-searches", (1, 4), True, 8.0),
        ("any-other-node", (1, 4, 7, 2), False, 8.0),
    ],
)
def test_a_mistake_is_found(variant: str, apart: tuple[int, ...], alone: bool, lasts: float) -> None:
    with broken(BY_NAME[variant]):
        assert storm_while_cut(1, apart, lasts, alone).broken()


def test_a_process_that_stood_still_and_counts_beats_that_waited_is_found() -> None:
    with broken(BY_NAME["old-beats-are-contact"]):
        assert play(33).broken


def test_a_proxy_that_was_cut_off_or_stood_still_itself_is_not_called_late() -> None:
    """Those of which the rule doesn't hold: the judge must tell them apart, or it would hide others."""
    fleet = Fleet(3)
    storm = Storm(fleet, Streets(fleet, 3), 0.27)
    judge = Judge(fleet, storm)
    fleet.run(5)
    storm.acknowledged.append(Acknowledged((ROUTE, "r"), 1, fleet.now - 3 * NS_PER_SECOND))
    judge.disturb("front-1")
    fleet.freeze_proxy("front-2")
    fleet.cut.add(("10.0.0.3", "front-3"))
    fleet.run(0.05)
    assert {one.proxy for one in judge.late} == {f"front-{at}" for at in range(4, 10)}
    judge.late.clear()
    storm.acknowledged.append(Acknowledged((ROUTE, "s"), 1, fleet.now - 3 * NS_PER_SECOND))
    judge.disturb("10.0.0.9")  # The control nodes are not settled.
    fleet.run(3.9)
    assert not judge.late
    fleet.run(0.2)
    assert len([one for one in judge.late if one.key == (ROUTE, "s")]) == 7


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_nearer_node_that_hangs_keeps_nobody_from_leaving_one_without_contact(seed: int) -> None:
    """All of a region stand still, so its proxy is linked abroad; that node loses contact just as one of the
    region is asked."""
    fleet = Fleet(seed)
    storm = Storm(fleet, Streets(fleet, seed), 0.27)
    with storm.streets.loop.current():
        storm.streets.loop.create_task(storm.begin())
    fleet.run(4)
    for number in (1, 4, 7):
        fleet.freeze(f"10.0.0.{number}")
    selector, name = fleet.fronts["front-1"].attachment.selector, "front-1"
    ahead = NS_PER_SECOND // 2
    while selector.linked_ip in (None, "10.0.0.1", "10.0.0.4", "10.0.0.7") or not selector.nearer_candidate(
        fleet.steady(name) + ahead
    ):
        fleet.run(0.02)
        assert fleet.now < 60 * NS_PER_SECOND
    left = selector.linked_ip
    fleet.cut |= {link for ip in fleet.boxes for link in ((ip, left), (left, ip)) if ip != left}
    oldest = 0
    for _ in range(150):
        fleet.run(0.02)
        assert selector.proven_as_of is not None
        oldest = max(oldest, fleet.steady(name) - selector.proven_as_of)
    assert selector.linked_ip != left
    # A look, dials abroad, a sign and its age where nothing has befallen the node.
    assert oldest < selector.max_configuration_age_ns + NS_PER_SECOND // 2


def test_a_node_that_is_busy_when_it_is_dialled_has_time_for_its_first_sign() -> None:
    """1.7 s is what it takes one at the full size to answer those that come from a lost one (CAPACITY.md)."""
    fleet = Fleet(1)
    fleet.run(4)
    front, ip = fleet.fronts["front-1"], "10.0.0.2"
    with front.loop.current():
        asked = front.loop.create_task(front.attachment.search.probe(ip))
    fleet.run(0.09)  # It has accepted; its sign is on the way.
    fleet.cut.add((ip, "front-1"))
    fleet.run(1.7)
    assert not asked.done()
    fleet.cut.clear()
    fleet.run(0.3)
    found = asked.result()
    assert found is not None and front.attachment.selector.is_sender_current(found.heartbeat)


def test_a_link_that_ends_is_replaced_though_a_node_that_hangs_is_being_asked() -> None:
    fleet, name = Fleet(1), "front-1"
    fleet.run(4)
    for number in (1, 4, 7):
        fleet.freeze(f"10.0.0.{number}")
    selector = fleet.fronts[name].attachment.selector
    while selector.linked_ip in (None, "10.0.0.1", "10.0.0.4", "10.0.0.7") or not selector.nearer_candidate(
        fleet.steady(name)
    ):
        fleet.run(0.02)
        assert fleet.now < 60 * NS_PER_SECOND
    fleet.run(0.15)  # It is asked, and hangs for a second.
    left = selector.linked_ip
    assert left is not None
    fleet.kill(left)
    fleet.run(1.2)  # Three that hang are passed by, 0.25 s each; to wait for the one asked takes 0.7 s more.
    assert selector.linked_ip not in (None, left)

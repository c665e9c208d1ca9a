"""Membership changes: seats of lost and leaving voters, sets that shrink and grow, two losses in a row."""

from __future__ import annotations

import itertools

import pytest

from ambershift.system.consensus import membership
from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.membership_plan import MIN_VOTERS, VoterView, loss_tolerance, plan_voters
from ambershift.system.consensus.membership_view import membership_status
from ambershift.system.messages.replication import NodeRecord, Voter
from ambershift.system.simulation.lists import Lists
from ambershift.system.simulation.loss_pairs import LOSSES, MOMENTS, Pair, play_pair
from ambershift.system.simulation.world import Box
from tests.system.consensus.conftest import StartedLists

TOLERATED = (1, 1, 1)


def member(number: int) -> Voter:
    return Voter(f"10.0.0.{number}", f"z{number}", f"r{number % 3}", number)


def learner(number: int) -> NodeRecord:
    one = member(number)
    return NodeRecord(one.ip, one.zone, one.region, one.disk_id, 0, False, True)


def planned(states: str, *learners: int) -> str:
    """A letter each: there, Lost, Gone (lost for long), leaving (E), Silent to this one alone, Filling."""
    voters = [
        VoterView(
            member(at), state not in "LGS", state in "LG", state == "G", state == "E", state not in "LGF"
        )
        for at, state in enumerate(states, 1)
    ]
    found = plan_voters(voters, [learner(number) for number in learners], TOLERATED)
    return " ".join(one.ip.rpartition(".")[2] for one in found.voters)


@pytest.mark.parametrize(
    ("states", "learners", "after"),
    [
        ("......", (), "1 2 3 4 5 6"),
        ("L.....", (), "1 2 3 4 5 6"),  # Not yet: it may be back.
        ("G.....", (), "2 3 4 5 6"),
        ("L.....", (7,), "7 2 3 4 5 6"),
        ("G....", (), "1 2 3 4 5"),  # Four would bear no more than four of five.
        ("GG...", (), "3 4 5"),
        ("GG....", (), "2 3 4 5 6"),
        ("GGG", (), "1 2 3"),
        ("GG.", (), "1 2 3"),  # Too few copies, and no majority to agree on it.
        ("E.....", (), "2 3 4 5 6"),
        ("E....", (), "1 2 3 4 5"),
        ("E....", (6,), "6 2 3 4 5"),
        ("EL...", (6,), "1 6 3 4 5"),  # The lost seat first.
        ("EE.", (4, 5), "4 2 3"),  # A majority stays with those that are heard: learners may have died.
        ("EE...", (6, 7), "7 6 3 4 5"),
        ("EEE..", (6, 7, 8), "7 8 3 4 5"),
        ("LE.", (4, 5), "4 2 3"),
        ("ES.", (4,), "1 2 3"),
        ("EF.", (4,), "1 2 3"),
        ("EESS.", (), "1 2 3 4 5"),  # Those that leave may be all that there is.
        ("EE.S.", (), "1 2 3 4 5"),
        ("....", (5,), "1 2 3 4 5"),
        ("....", (5, 6), "1 2 3 4 5"),  # Six bear no more than five.
        ("...", (4,), "1 2 3"),
        ("...", (4, 5), "1 2 3 4 5"),
        (".....", (6,), "1 2 3 4 5"),
    ],
)
def test_plan_of_the_next_voters(states: str, learners: tuple[int, ...], after: str) -> None:
    assert planned(states, *learners) == after


def test_plan_adds_no_learners_that_would_give_one_region_the_majority() -> None:
    voters = [VoterView(member(number)) for number in (1, 2, 3)]
    found = plan_voters(voters, [learner(4), learner(7)], TOLERATED)  # Both of the region of the first.
    assert not found.grows and len(found.voters) == 3
    assert plan_voters(voters, [learner(4), learner(5)], TOLERATED).grows


@pytest.mark.parametrize("size", range(3, 8))
def test_plan_changes_voters_only_to_tolerate_more_losses(size: int) -> None:
    for states in itertools.product(".LGES", repeat=size):
        kept = [int(number) for number in planned("".join(states)).split()]
        there = states.count(".")
        present = sum(states[number - 1] == "." for number in kept)
        assert len(kept) >= MIN_VOTERS and present == there  # Nobody who is there loses its vote.
        if len(kept) < size:
            assert loss_tolerance(present, len(kept)) > loss_tolerance(there, size)
            assert loss_tolerance(present, len(kept)) >= 0


def written(world: Lists, ips: list[str]) -> bool:
    ops = [world.change("append", ip, "list/0", within=3) for ip in ips if world.boxes[ip].replica]
    world.run(4)
    return all(isinstance(op.told, CallSucceeded) for op in ops)


@pytest.mark.parametrize("told", [True, False])
def test_cluster_goes_on_after_three_of_six_nodes_left_for_good(
    told: bool, started_lists: StartedLists
) -> None:
    world = started_lists(5, 6)
    for ip in sorted(world.boxes)[:3]:
        if told:
            world.retire(ip)
            world.run(1)
            box = world.boxes[ip]
            assert box.replica is not None
            # A set of five or four bears no more without one of its seats.
            assert box.replica.failure_detector.has_left() or not box.replica.is_leaving_voters()
        world.remove(ip)
        world.run(10)
        left = [one for one, box in world.boxes.items() if not box.gone]
        assert written(world, left)
    found = world.boxes["10.0.0.6"].replica
    assert found is not None
    seen = membership_status(found.voters, found.peer_directory, found.failure_detector)
    assert [one.ip for one in seen.voters if one.is_alive and one.is_complete] == [
        "10.0.0.4",
        "10.0.0.5",
        "10.0.0.6",
    ]
    assert seen.tolerated_losses >= 0 and world.judge() == []


def epochs(world: Lists) -> dict[str, tuple[int, int]]:
    """Of each machine the epoch that it knows, and how many vote in it."""
    return {
        ip: (box.replica.voters.epoch, len(box.replica.voters.ips_by_proximity))
        for ip, box in world.boxes.items()
        if box.replica is not None
    }


def cut_off(world: Lists, apart: set[str]) -> None:
    others = world.boxes.keys() - apart
    world.cut |= {pair for a in apart for b in others for pair in ((a, b), (b, a))}


def test_partitioned_halves_keep_their_voters_and_a_minority_forms_no_set(
    started_lists: StartedLists,
) -> None:
    world = started_lists(6, 6)
    before = epochs(world)
    cut_off(world, {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    world.run(20)
    assert epochs(world) == before
    world.cut.clear()
    world.run(3)
    assert written(world, list(world.boxes))
    cut_off(world, {"10.0.0.1", "10.0.0.2"})
    world.run(12)
    after = epochs(world)
    assert {after[f"10.0.0.{number}"][1] for number in (3, 4, 5, 6)} == {5}
    assert {after[f"10.0.0.{number}"] for number in (1, 2)} == {before["10.0.0.1"]}
    world.cut.clear()
    world.run(8)  # The one that was left out is a learner now, and would add nothing.
    assert {size for _, size in epochs(world).values()} == {5} and written(world, list(world.boxes))
    assert world.judge() == []


def test_next_change_waits_until_replicas_are_complete(started_lists: StartedLists) -> None:
    world = started_lists(8, 6)
    replica = world.boxes["10.0.0.1"].replica
    assert replica is not None
    watching, members = replica.failure_detector, replica._membership
    assert not members._awaits_completion()
    watching._complete_epochs["10.0.0.2"] = 0
    assert members._awaits_completion()  # Five of six are complete, and four are enough.
    watching._complete_epochs["10.0.0.3"] = 0
    assert (
        not members._awaits_completion()
    )  # One more lost would leave no majority of complete ones: change now.


def test_learner_that_comes_and_goes_is_not_added(started_lists: StartedLists) -> None:
    world = started_lists(9, 4)
    world.boxes["10.0.0.5"] = Box("10.0.0.5", initial=False)
    for _ in range(4):
        world.start("10.0.0.5")
        world.run(membership.JOIN_DELAY_NS / 1e9 - 1)
        world.kill("10.0.0.5")
        world.run(2)
    assert {size for _, size in epochs(world).values()} == {3}  # Four would have two in one region.
    world.start("10.0.0.5")
    world.run(membership.JOIN_DELAY_NS / 1e9 + 2)
    assert {size for _, size in epochs(world).values()} == {5}


@pytest.mark.parametrize("count", [5, 6])
@pytest.mark.parametrize("first", LOSSES)
@pytest.mark.parametrize("second", LOSSES)
@pytest.mark.parametrize("moment", MOMENTS)
def test_second_loss_at_any_moment_after_the_first_is_tolerated(
    first: str, second: str, moment: str, count: int
) -> None:
    outcome = play_pair(Pair(first, second, moment, count))
    assert outcome.broken == [] and outcome.wrote


@pytest.mark.parametrize("first", LOSSES)
@pytest.mark.parametrize("second", LOSSES)
def test_two_losses_are_tolerated_with_a_region_lost_in_between(first: str, second: str) -> None:
    outcome = play_pair(Pair(first, second, "later", 6, between=True))
    assert outcome.broken == [] and outcome.wrote


def test_leaving_voters_are_not_removed_while_others_have_just_died(
    started_lists: StartedLists,
) -> None:
    """They are back in a second, and with the fifth they are the majority."""
    world = started_lists(5, 5)
    for ip in ("10.0.0.4", "10.0.0.5"):
        world.remove(ip)
    world.run(0.8)
    for ip in ("10.0.0.1", "10.0.0.3"):
        world.retire(ip)
    world.run(1)
    for ip in ("10.0.0.1", "10.0.0.3"):
        world.kill(ip)
    world.run(1)
    for ip in ("10.0.0.1", "10.0.0.3"):
        world.start(ip)
    world.run(6)
    assert written(world, ["10.0.0.1", "10.0.0.2", "10.0.0.3"])


def test_seats_of_leaving_voters_are_not_all_given_to_learners_that_just_died(
    started_lists: StartedLists,
) -> None:
    """Found by seed 470: two of five leave the voters and are taken out for good, and within a second two of
    the three that are left are told to end. They are back in a second; the two learners never are."""
    world = started_lists(5, 5)
    for ip in ("10.0.0.2", "10.0.0.3"):
        world.retire(ip)
    world.run(1)
    replica = world.boxes["10.0.0.1"].replica
    assert replica is not None and replica.voters.ips == {"10.0.0.1", "10.0.0.4", "10.0.0.5"}
    for ip in ("10.0.0.2", "10.0.0.3"):  # Started anew, they no longer leave.
        world.kill(ip)
        world.start(ip)
    world.run(0.6)
    for ip in ("10.0.0.2", "10.0.0.3"):
        world.remove(ip)
    for ip in ("10.0.0.4", "10.0.0.5"):
        world.retire(ip)
    world.run(1.5)
    for ip in ("10.0.0.4", "10.0.0.5"):
        world.kill(ip)
        world.start(ip)
    world.run(8)
    assert written(world, ["10.0.0.1", "10.0.0.4", "10.0.0.5"])

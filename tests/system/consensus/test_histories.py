"""Histories of control nodes in trouble, judged from outside; each seed one history."""

from __future__ import annotations

import pytest

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.simulation import scripts_voters
from ambershift.system.simulation.histories import play_lists as play
from ambershift.system.simulation.lists import Lists as World
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


@pytest.mark.parametrize("seed", range(24))
def test_history_of_seed_is_explained_by_some_order(seed: int) -> None:
    assert play(seed, seconds=8).broken == []


@pytest.mark.parametrize("first", [False, True])
def test_a_value_accepted_alone_under_earlier_voters_never_comes_up_over_later_ones(first: bool) -> None:
    assert scripts_voters.accepted_alone(first) == []


@pytest.mark.parametrize("unsynced", [False, True])
@pytest.mark.parametrize("seed", [1, 3])
def test_voters_that_were_left_behind_hold_nothing(seed: int, unsynced: bool) -> None:
    assert scripts_voters.left_behind(seed, unsynced) == []


def test_a_proposer_that_forgot_its_ballots_uses_none_of_them_again() -> None:
    assert [scripts_voters.forgetful(seed) for seed in (1, 3, 4, 8)] == [[]] * 4


def test_a_voter_is_not_chosen_again_with_the_disk_that_it_lost() -> None:
    """One that had part in the change, but hasn't yet heard from the machine itself that its disk is new."""
    world = World(7, loss=0, count=3)
    world.run(2.5)
    stale, lost, _ = sorted(world.boxes)
    behind = world.boxes[stale].replica
    assert behind is not None
    known = behind.peer_directory.nodes[lost]
    world.wipe(lost)
    world.cut.add((lost, stale))
    world.start(lost)
    epoch = behind.voters.epoch
    while behind.voters.epoch == epoch and world.now < 6 * NS_PER_SECOND:
        world.run(0.001)
    assert behind.voters.epoch == epoch + 1
    behind.peer_directory.nodes[lost] = known  # As if no other had told of it either.
    world.cut.clear()
    epochs = []
    for _ in range(100):
        world.run(0.05)
        epochs.append(behind.voters.epoch)
    fresh = world.boxes[lost].replica
    assert (
        fresh is not None
        and fresh.voters.can_vote
        and fresh.voters.configuration == behind.voters.configuration
    )
    assert set(epochs) == {epoch + 1}


def test_a_voter_is_settled_once_it_has_been_back_for_a_while() -> None:
    world = World(5, loss=0, count=5)
    one, two = sorted(world.boxes)[:2]

    def settled(ip: str) -> frozenset[str]:
        replica = world.boxes[ip].replica
        assert replica is not None
        return replica.failure_detector.settled_voters()

    world.run(1.5)
    assert settled(one) == frozenset()  # Nobody is: all are.
    world.run(4)
    assert settled(one) == settled(two) == frozenset(world.boxes)
    world.kill(two)
    world.run(1.2)
    assert two not in settled(one)
    world.start(two)
    world.run(1.5)
    assert two not in settled(one) and two not in settled(two)
    world.run(1.5)
    assert settled(one) == settled(two) == frozenset(world.boxes)
    world.freeze(two)
    world.run(1.2)
    world.thaw(two)
    world.run(1)
    assert two not in settled(one) and two not in settled(two)
    world.run(1.5)
    assert settled(one) == settled(two) == frozenset(world.boxes)
    replica = world.boxes[two].replica
    assert replica is not None
    replica.failure_detector.start_leaving()  # About to end.
    world.run(0.1)
    assert two not in settled(one) and two not in settled(two)


def test_a_register_is_taken_over_in_two_trips() -> None:
    world = World(7, loss=0, count=6)
    world.run(6)
    for _ in range(30):
        world.change("append", "10.0.0.1", "list/0")
        world.run(0.2)
    short = max(world.sent["Accept"][-3:])
    held = {ip: box.replica._acceptor.state("list/0") for ip, box in world.boxes.items() if box.replica}
    behind = next(ip for ip, record in held.items() if len(record.value or b"") < 30 * 8)
    lacking = len(world.sent.get("MissingBase", ()))
    op = world.change("append", behind, "list/0")
    world.run(0.5)
    assert (
        isinstance(op.told, CallSucceeded) and op.ended is not None and op.ended - op.begun < 120 * NS_PER_MS
    )
    assert lacking == len(world.sent.get("MissingBase", ()))
    assert max(world.sent["Accept"][-4:]) > 30 * 8
    world.change("append", behind, "list/0")
    world.run(0.2)
    assert max(world.sent["Accept"][-3:]) <= short + 2  # A difference again; the ballot is longer.
    assert world.judge() == []


def test_a_lease_of_long_ago_costs_a_trip_and_no_pause() -> None:
    for seed in range(6):
        world = World(seed, loss=0, count=6)
        world.run(6)
        for ip in ("10.0.0.1", "10.0.0.2", "10.0.0.1"):
            op = world.change("append", ip, "list/0")
            world.run(1)
        assert (
            isinstance(op.told, CallSucceeded)
            and op.ended is not None
            and op.ended - op.begun < 170 * NS_PER_MS
        )


def test_a_read_is_confirmed_by_voters_that_took_no_part() -> None:
    for seed in range(6):
        world = World(seed, loss=0, count=6)
        world.run(6)
        for _ in range(3):
            world.change("append", "10.0.0.1", "list/0")
            world.run(0.5)
        world.kill(
            next(
                ip
                for ip, box in world.boxes.items()
                if box.replica and ip != "10.0.0.1" and box.replica._acceptor.state("list/0").value
            )
        )
        prepared = len(world.sent["Prepare"])
        op = world.change("read", "10.0.0.1", "list/0")
        world.run(1)
        assert (
            isinstance(op.told, CallSucceeded)
            and op.ended is not None
            and op.ended - op.begun < 200 * NS_PER_MS
        )
        assert len(world.sent["Prepare"]) == prepared + 2 and world.judge() == []

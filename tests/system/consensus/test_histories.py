"""Histories of control nodes in trouble, judged from outside; each seed one history."""

from __future__ import annotations

import pytest

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.simulation import scripts_voters
from ambershift.system.simulation.histories import play_lists as play
from ambershift.system.simulation.lists import Lists as World
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from tests.system.consensus.conftest import StartedLists


@pytest.mark.parametrize("seed", range(24))
def test_random_history_is_linearizable(seed: int) -> None:
    assert play(seed, seconds=8).broken == []


@pytest.mark.parametrize("first", [False, True])
def test_value_accepted_alone_in_earlier_epoch_never_replaces_later_ones(first: bool) -> None:
    assert scripts_voters.accepted_alone(first) == []


@pytest.mark.parametrize("unsynced", [False, True])
@pytest.mark.parametrize("seed", [1, 3])
def test_voters_of_earlier_epoch_form_no_quorum(seed: int, unsynced: bool) -> None:
    assert scripts_voters.left_behind(seed, unsynced) == []


@pytest.mark.parametrize("seed", [1, 3, 4, 8])
def test_proposer_without_memory_reuses_no_ballot(seed: int) -> None:
    assert scripts_voters.forgetful(seed) == []


def test_voter_is_not_chosen_again_with_its_lost_disk(started_lists: StartedLists) -> None:
    """One that had part in the change, but hasn't yet heard from the machine itself that its disk is new."""
    world = started_lists(7, 3)
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


def test_returned_voter_is_settled_after_a_while() -> None:
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


def test_register_is_taken_over_in_two_round_trips(started_lists: StartedLists) -> None:
    world = started_lists(7, 6, 6)
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


@pytest.mark.parametrize("seed", range(6))
def test_expired_proposer_lease_costs_one_round_trip_and_no_backoff(
    seed: int, started_lists: StartedLists
) -> None:
    world = started_lists(seed, 6, 6)
    for ip in ("10.0.0.1", "10.0.0.2", "10.0.0.1"):
        op = world.change("append", ip, "list/0")
        world.run(1)
    assert (
        isinstance(op.told, CallSucceeded) and op.ended is not None and op.ended - op.begun < 170 * NS_PER_MS
    )


@pytest.mark.parametrize("seed", range(6))
def test_read_is_confirmed_by_voters_that_missed_the_write(seed: int, started_lists: StartedLists) -> None:
    world = started_lists(seed, 6, 6)
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
        isinstance(op.told, CallSucceeded) and op.ended is not None and op.ended - op.begun < 200 * NS_PER_MS
    )
    assert len(world.sent["Prepare"]) == prepared + 2 and world.judge() == []

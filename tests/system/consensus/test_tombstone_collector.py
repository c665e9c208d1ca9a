"""Dropped items are forgotten by all, and nothing brings them back: no copy, no proxy, no late call."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import ReadQuorum, WriteItems
from ambershift.system.consensus.replica import Replica
from ambershift.system.consensus.tombstone_collector import TombstoneCollector
from ambershift.system.messages import tombstones
from ambershift.system.messages.items import ROUTE, Item, Key
from ambershift.system.messages.replication import MergeItems, SyncResponse
from ambershift.system.messages.tombstones import (
    COLLECTED_TOMBSTONES_KEY,
    CollectedTombstones,
    collected_tombstones_of,
)
from ambershift.system.simulation.histories import play_cluster
from ambershift.system.simulation.variants_forgetting import BY_NAME
from ambershift.system.simulation.world import World
from tests.support.configuration_items import drop, route

AWAY = "10.0.0.6"


# What is listed.


def test_complete_batches_are_listed_and_always_the_last_two(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tombstones, "LISTED_TOMBSTONES_MAX", 3)
    told = CollectedTombstones()
    assert told.required_batch == 0 and collected_tombstones_of(None) == told
    for number in range(1, 6):
        told = told.with_batch([drop(f"a{number}", 10 * number), drop(f"b{number}", 10 * number - 1)])
        assert collected_tombstones_of(told.as_item) == told and told.highest_version == 10 * number
        assert {one.batch for one in told.tombstones} == {number, number - 1} - {0}
        assert told.required_batch == max(0, number - 2)
    again = told.with_batch([drop("a5", 70)])
    assert again.versions_by_key() == {(ROUTE, "a5"): 70, (ROUTE, "b5"): 49} and again.required_batch == 4


@given(st.lists(st.integers(1, 5), max_size=12), st.integers(1, 8))
def test_replica_at_required_batch_learns_of_all_later_tombstones(sizes: list[int], listed: int) -> None:
    told, all_told = CollectedTombstones(), [CollectedTombstones()]
    drops: list[list[Key]] = [[]]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(tombstones, "LISTED_TOMBSTONES_MAX", listed)
        for number, size in enumerate(sizes, 1):
            some = [drop(f"{number}-{at}", number) for at in range(size)]
            told = told.with_batch(some)
            all_told.append(told)
            drops.append([one.key for one in some])
    for known in range(told.required_batch, told.batch + 1):
        missed = {key for some in drops[known + 1 :] for key in some}
        assert missed <= told.versions_by_key().keys()


# Control nodes.


def put(world: World, *items: Item, at: str = "10.0.0.1") -> None:
    told: list[object] = []
    world.call(at, lambda call: WriteItems(call, items, 2.5), told.append)
    world.run(1)
    assert told == [CallSucceeded(None)]


def replicas(world: World) -> dict[str, Replica]:
    return {ip: box.replica for ip, box in world.boxes.items() if box.replica is not None}


def cut_off(world: World) -> set[tuple[str, str]]:
    return {link for ip in world.boxes if ip != AWAY for link in ((ip, AWAY), (AWAY, ip))}


def started() -> World:
    world = World(5, loss=0)
    world.run(3)
    put(world, *(route(f"r{at}", at) for at in range(1, 9)))
    return world


@pytest.mark.usefixtures("early_collection")
def test_replicas_and_disks_collect_tombstones_and_keep_other_items() -> None:
    world = started()
    for at in range(1, 6):
        put(world, drop(f"r{at}", 10 + at))
    world.run(6)
    left = {(ROUTE, f"r{at}") for at in (6, 7, 8)}
    for ip, one in replicas(world).items():
        assert one.store.items.keys() == left | {COLLECTED_TOMBSTONES_KEY} and not one.store.tombstones
        assert one.store.collected.batch == 5 and one.store.collected.highest_version == 15
        assert world.boxes[ip].disk["items"].keys() == {f"{kind}\x1f{name}" for kind, name in one.store.items}
    put(world, drop("r5", 15), route("r4", 4))  # What comes late, from a copy of before, is not taken.
    world.run(1)
    assert all(
        one.store.items.keys() == left | {COLLECTED_TOMBSTONES_KEY} for one in replicas(world).values()
    )
    put(world, route("r5", 16))
    world.run(1)
    assert all((ROUTE, "r5") in one.store.items for one in replicas(world).values())


def forgotten_meanwhile(world: World) -> None:
    """One of six voters is cut off until it is left out; five drops are forgotten."""
    world.cut |= cut_off(world)
    for at in range(1, 6):
        put(world, drop(f"r{at}", 10 + at))
    world.run(16)
    voters = replicas(world)["10.0.0.1"].voters
    assert AWAY not in voters.ips
    assert replicas(world)["10.0.0.1"].store.collected.batch == 5
    assert (ROUTE, "r1") in replicas(world)[AWAY].store.items


def away_while_all_forget(world: World) -> None:
    forgotten_meanwhile(world)
    world.cut.clear()
    world.run(6)


@pytest.mark.usefixtures("early_collection")
def test_long_absent_replica_revives_nothing_and_loses_nothing() -> None:
    world = started()
    away_while_all_forget(world)
    standing = {(ROUTE, "r6"), (ROUTE, "r7"), (ROUTE, "r8"), COLLECTED_TOMBSTONES_KEY}
    assert [one.store.items.keys() for one in replicas(world).values()] == [standing] * 6
    assert {ip for ip, one in replicas(world).items() if one.store.resets} == {AWAY}
    told: list[object] = []
    world.call(AWAY, lambda call: ReadQuorum(call, 1.0), told.append)
    world.run(1)
    assert told == [CallSucceeded(None)]


@pytest.mark.usefixtures("early_collection")
@pytest.mark.parametrize("variant", ["old-copies-are-merged", "old-configuration-is-kept"])
def test_merging_an_outdated_replica_is_detected(variant: str) -> None:
    world = started()
    with broken(BY_NAME[variant]):
        away_while_all_forget(world)
    back = [(ROUTE, "r1") in one.store.items for one in replicas(world).values()]
    assert any(back)


def read_by_one_that_comes_back() -> set[Key]:
    """What it lacks of what stands, the moment that a reading of its own is told to be done."""
    world, lacking = started(), set[Key]()
    forgotten_meanwhile(world)
    near = "10.0.0.3"  # Without it all answers come at about the same time.
    world.cut = {(near, AWAY), (AWAY, near)}
    standing, done = replicas(world)["10.0.0.1"].store.items.keys(), list[object]()

    def told(outcome: object) -> None:
        done.append(outcome)
        if outcome == CallSucceeded(None):
            lacking.update(standing - replicas(world)[AWAY].store.items.keys())

    for _ in range(40):
        world.call(AWAY, lambda call: ReadQuorum(call, 1.0), told)
        world.run(0.05)
    world.run(1)
    assert CallSucceeded(None) in done
    return lacking


@pytest.mark.usefixtures("early_collection")
def test_quorum_read_counts_no_response_from_before_a_reset() -> None:
    """Some answers were asked for before the list of drops came."""
    assert read_by_one_that_comes_back() == set()
    with broken(BY_NAME["fetched-parts-outlive-a-replacement"]):
        assert read_by_one_that_comes_back()


def put_by_one_that_comes_back() -> int:
    """How many of five voters hold its item when its put is told to be done; 5 where it isn't."""
    world, holding = started(), list[int]()
    forgotten_meanwhile(world)
    world.cut.clear()

    def told(outcome: object) -> None:
        if outcome == CallSucceeded(None):
            others = [one for ip, one in replicas(world).items() if ip != AWAY]
            holding.append(sum((ROUTE, "new") in one.store.items for one in others))

    world.call(AWAY, lambda call: WriteItems(call, (route("new", 900),), 3.0), told)
    world.run(4)
    return min(holding, default=5)


@pytest.mark.usefixtures("early_collection")
def test_write_of_returned_replica_is_acknowledged_once_a_quorum_stores_it() -> None:
    assert put_by_one_that_comes_back() >= 3
    with broken(BY_NAME["puts-of-old-copies-are-acknowledged"]):
        assert put_by_one_that_comes_back() < 3


def misses_at_the_most() -> int:
    """How many batches any voter missed on its disk when the next one was agreed. One of five hears puts on
    a majority late: the messages to it that carry the list alone are lost."""
    world, missed = World(5, loss=0, count=5), list[int]()
    world.run(3)
    deaf = "10.0.0.5"

    def late(sender: str, to: str, message: msgspec.Struct) -> bool:
        if to != deaf or not isinstance(message, MergeItems | SyncResponse):
            return False
        return [one.key for one in message.items] == [COLLECTED_TOMBSTONES_KEY]

    put(world, *(route(f"r{at}", at) for at in range(1, 9)))
    world.late = late
    for at in range(1, 7):
        put(world, drop(f"r{at}", 10 + at))
        world.run(1)
        agreed = max(one.store.collected.batch for one in replicas(world).values())
        missed.append(agreed - replicas(world)[deaf].store.collected.batch)
    return max(missed)


@pytest.mark.usefixtures("early_collection")
def test_no_voter_misses_two_batches_of_tombstones() -> None:
    assert misses_at_the_most() <= 1
    with broken(BY_NAME["batches-not-put-on-all"]):
        assert misses_at_the_most() > 1


def test_concurrent_proposals_of_a_batch_agree_on_one(monkeypatch: pytest.MonkeyPatch) -> None:
    agreed: list[CollectedTombstones] = []
    monkeypatch.setattr(TombstoneCollector, "_write_batch", lambda self, one: agreed.append(one))
    world = started()
    for number, ip in enumerate(("10.0.0.1", "10.0.0.4", "10.0.0.1")):
        after = CollectedTombstones().with_batch([drop(f"r{number}", 10)])
        replicas(world)[ip]._tombstone_collector._agree_on_batch(CollectedTombstones(), after)
    world.run(3)
    assert len(agreed) == 3 and len(set(agreed)) == 1 and agreed[0].batch == 1


@pytest.mark.usefixtures("early_collection")
def test_tombstone_is_kept_while_a_voter_may_lack_it() -> None:
    world = started()
    world.cut |= cut_off(world)
    put(world, drop("r1", 11))
    world.run(3)  # It isn't left out yet.
    assert all(not one.store.collected.batch for one in replicas(world).values())
    with broken(BY_NAME["forgotten-by-a-majority"]):
        world.run(3)
        assert replicas(world)["10.0.0.1"].store.collected.batch == 1


def test_number_of_kept_tombstones_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The bounds as they are: ten times as many drops leave no more behind."""
    world = World(5, loss=0, count=3)
    world.run(3)
    for first in range(0, 12_800, 400):
        put(world, *(drop(f"r{at}", 1 + at) for at in range(first, first + 400)))
    world.run(500)
    for one in replicas(world).values():
        assert (
            len(one.store.tombstones) < 1024 + 256
            and one.store.collected.highest_version >= 12_800 - 1024 - 256
        )
        assert len(one.store.collected.tombstones) <= 1024 + 256 and len(one.store.items) < 1300


@pytest.mark.usefixtures("early_collection")
@pytest.mark.parametrize("seed", [1, 29, 78, 187, 242])
def test_answers_to_operators_hold_while_tombstones_are_collected(seed: int) -> None:
    assert play_cluster(seed).broken == []


@pytest.mark.usefixtures("early_collection")
def test_late_calls_accepted_below_the_version_floor_are_detected() -> None:
    with broken(BY_NAME["late-calls-judged-without-the-floor"]):
        assert play_cluster(3).broken

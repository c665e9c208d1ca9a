"""Dropped items are forgotten by all, and nothing brings them back: no copy, no proxy, no late call."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.configuration.agreement import (
    Accepted,
    Agreement,
    BelowFloor,
    Conflict,
    Outcome,
    Progress,
    decide,
)
from ambershift.system.configuration.change_request import read_order
from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import ReadQuorum, WriteItems
from ambershift.system.consensus.replica import Replica
from ambershift.system.consensus.tombstone_collector import TombstoneCollector
from ambershift.system.distribution.pushes import Pushes
from ambershift.system.messages import tombstones
from ambershift.system.messages.items import AGREED, ROUTE, SERVICE, Item, Key
from ambershift.system.messages.proxy_link import BackendUpdate, ItemUpdate
from ambershift.system.messages.replication import MergeItems, SyncResponse
from ambershift.system.messages.tombstones import (
    COLLECTED_TOMBSTONES_KEY,
    CollectedTombstones,
    collected_tombstones_of,
)
from ambershift.system.node_selection.selector import Choice
from ambershift.system.processes.attachment_log import AttachmentLog
from ambershift.system.processes.control_link import ControlLink
from ambershift.system.proxy.routing import Routing
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.simulation.fleet_history import ROUTES, Storm
from ambershift.system.simulation.forgetting_soon import forgetting_soon
from ambershift.system.simulation.histories import play_cluster
from ambershift.system.simulation.variants_forgetting import BY_NAME
from ambershift.system.simulation.world import World
from ambershift.system.state_machine import NS_PER_SECOND

AWAY = "10.0.0.6"


def route(name: str, version: int) -> Item:
    body = {"Host": "h", "PathPrefix": f"/{name}", "RouteType": "idempotent", "Service": "s"}
    return Item(ROUTE, name, (version, AGREED), msgspec.json.encode(body))


def drop(name: str, version: int) -> Item:
    return Item(ROUTE, name, (version, AGREED))


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
        assert play_cluster(29).broken


# Calls.


def decided(held: list[Item], *items: Item, names: tuple[str, ...] = ()) -> Outcome:
    upsert = [
        {**msgspec.json.decode(one.body), "Name": one.name, "ConfigVersion": f"r{one.version[0]}"}
        for one in items
        if one.body is not None
    ]
    remove = [{"Name": one.name, "ConfigVersion": f"r{one.version[0]}"} for one in items if one.body is None]
    document = {"Upsert": {"Routes": upsert}, "Remove": {"Routes": remove}}
    order = read_order(msgspec.json.encode(document))
    told = CollectedTombstones().with_batch([drop("gone", 50)]).as_item
    store = {one.key: one for one in [*held, told]}
    return decide(order, Agreement(0, ()), Progress(0), store)[1]


SERVICE_S = Item(SERVICE, "s", (1, AGREED), b"{}")


@pytest.mark.parametrize(
    ("item", "kind"),
    [
        (route("gone", 40), BelowFloor),  # Dropped, or new: nobody can tell.
        (drop("gone", 50), BelowFloor),
        (route("new", 50), BelowFloor),
        (route("new", 51), Accepted),
        (route("kept", 41), Accepted),  # It is held: its versions are known.
        (route("kept", 30), BelowFloor),  # Overtaken, by a content that isn't remembered any more.
        (drop("kept", 40), Conflict),
        (drop("kept", 42), Accepted),
    ],
)
def test_change_below_the_version_floor_is_neither_accepted_nor_rejected(
    item: Item, kind: type[Outcome]
) -> None:
    assert type(decided([SERVICE_S, route("kept", 40)], item)) is kind


# Proxies.


def test_proxy_collects_tombstones_with_its_control_node() -> None:
    pushes, routing = Pushes(), Routing()
    told = CollectedTombstones().with_batch([drop("r1", 11)])
    routing.begin_link()
    items = {one.key: one for one in (route("r1", 1), route("r2", 2))}
    for one in pushes.greet("proxy", items.values(), BackendUpdate((), (), True)):
        routing.merge(getattr(one.message, "items", ()))
    routing.complete_link()
    for one in pushes.items([drop("r1", 11)]) + pushes.items([told.as_item]):
        assert isinstance(one.message, ItemUpdate)
        routing.merge(one.message.items)
    assert routing.items.keys() == {(ROUTE, "r2"), COLLECTED_TOMBSTONES_KEY} and routing.routes == 1
    routing.merge([route("r1", 1)])
    assert routing.find(b"h", b"/r1") is None and not routing.unusable
    # A new link is told of nothing that all have forgotten.
    held = [route("r2", 2), told.as_item]
    sent = pushes.greet("other", held, BackendUpdate((), (), True))
    assert [list(one.message.items) for one in sent if isinstance(one.message, ItemUpdate)] == [held]


def many(first: int = 1) -> CollectedTombstones:
    """So many batches that a copy of before the first must be replaced; of routes `r1` and on."""
    with forgetting_soon():
        told = CollectedTombstones()
        for at in range(first, first + 5):
            told = told.with_batch([drop(f"r{at}", 10 + at)])
        return told


def test_long_absent_proxy_serves_only_items_of_the_new_link() -> None:
    routing, told = Routing(), many()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 9), route("late", 99)])
    routing.complete_link()
    routing.begin_link()
    routing.merge([told.as_item, route("r9", 9)])
    assert routing.find(b"h", b"/r1") is not None  # It serves on until all has been told.
    routing.complete_link()
    assert (
        routing.items.keys() == {(ROUTE, "r9"), (ROUTE, "late"), COLLECTED_TOMBSTONES_KEY}
        and not routing.unusable
    )
    assert routing.find(b"h", b"/r1") is None and routing.routes == 2


def test_proxy_leaves_a_control_node_with_older_items() -> None:
    routing = Routing()
    routing.begin_link()
    routing.merge([many().as_item, route("r9", 9)])
    routing.complete_link()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 10)])
    assert routing.unusable and not routing.merge([route("r2", 2)])
    assert routing.items.keys() == {(ROUTE, "r9"), COLLECTED_TOMBSTONES_KEY}
    routing.begin_link()  # Another one.
    routing.merge([many().as_item, route("r9", 10)])
    assert not routing.unusable and routing.items[ROUTE, "r9"].version[0] == 10


def test_items_received_before_the_control_node_was_reset_are_discarded() -> None:
    routing = Routing()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 9)])
    routing.merge([many().as_item])  # It has just heard of it.
    assert routing.unusable
    routing.complete_link()
    assert not routing.complete
    routing.begin_link()
    routing.merge([many().as_item, route("r9", 9)])
    routing.complete_link()
    assert routing.complete and routing.items.keys() == {(ROUTE, "r9"), COLLECTED_TOMBSTONES_KEY}


@pytest.mark.usefixtures("early_collection")
def test_returned_proxy_drops_items_whose_tombstones_were_collected() -> None:
    """As they run: cut off from all control nodes while five routes are dropped and forgotten."""
    fleet = Fleet(1)
    streets = Streets(fleet, 1)
    storm = Storm(fleet, streets, 1.0)

    def go(call: Coroutine[Any, Any, Any]) -> None:
        with streets.loop.current():
            streets.loop.create_task(call)

    go(storm.begin())
    fleet.run(4)
    links = {link for ip in fleet.boxes for link in ((ip, "front-1"), ("front-1", ip))}
    fleet.cut |= links
    rows = [{"Name": f"r{at}", "ConfigVersion": f"r{100 + at}"} for at in range(5)]
    go(streets.rpc("configuration.modify", "", {"Remove": {"Routes": rows}}, 5.0, lost=0))
    fleet.run(8)
    batches = {box.replica.store.collected.batch for box in fleet.boxes.values() if box.replica is not None}
    assert batches == {5}
    routings = {name: front.server.routing for name, front in fleet.fronts.items()}
    assert (ROUTE, "r0") in routings["front-1"].items and routings["front-1"].routes == ROUTES
    fleet.cut -= links
    fleet.run(6)
    for routing in routings.values():
        assert routing.routes == ROUTES - 5 and routing.items == routings["front-2"].items
    assert not fleet.failed


def test_link_with_outdated_items_is_left_and_its_items_are_not_reported_as_applied() -> None:
    selector, server, log = Choice("p", "z", "r", ("a", "b")), Mock(), Mock()
    events = AttachmentLog(selector, Mock(), lambda: 7 * NS_PER_SECOND, log)
    link = ControlLink(selector, server, Mock(), lambda: 7 * NS_PER_SECOND, log, events)
    server.hear.return_value = []
    server.routing.unusable = True
    link.outbox = outbox = Mock()
    selector.up(7 * NS_PER_SECOND, "a")
    for _ in range(2):  # What is on the way still is void.
        link.receive(outbox, ItemUpdate((route("r1", 1),), False))
    assert events.abandoned_links == {"outdated": 1}
    assert events.configuration_version == 0 and link.outbox is None
    assert [call.args[0] for call in log.call_args_list] == [112]
    assert outbox.abort.called and selector.linked is None
    assert selector.candidates(7 * NS_PER_SECOND)[0] == "b"

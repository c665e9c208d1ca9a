"""Old tombstones are collected everywhere, and no late message revives their instances."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import WriteItems
from ambershift.system.consensus.item_store import row_key
from ambershift.system.consensus.replica import Replica
from ambershift.system.distribution.proxy_updates import ProxyUpdates
from ambershift.system.messages.items import COLLECTED_INSTANCES_KEY, COLLECTED_INSTANCES_KIND, INSTANCE, Item
from ambershift.system.messages.proxy_link import BackendUpdate
from ambershift.system.proxy.routing import Routing
from ambershift.system.registry import endpoint_list, process_health, tombstone_expiry
from ambershift.system.registry.tombstone_expiry import (
    COLLECTION_BATCH,
    COLLECTION_INTERVAL_NS,
    MAX_COLLECTED_IDS,
    TOMBSTONE_RETENTION_NS,
    TombstoneExpiry,
)
from ambershift.system.simulation.world import World as Copies
from tests.support.simulated_exchange import NS_PER_SECOND, SimulatedExchange

MINUTE = 60 * NS_PER_SECOND


def tombstone(id: str, version: int = 2) -> Item:
    return Item(INSTANCE, id, (version, ""), b"{}")


def collected(version: int, *ids: str) -> Item:
    return Item(COLLECTED_INSTANCES_KIND, "instances", (version, "1"), msgspec.json.encode(ids))


def test_tombstones_stay_bounded_at_ten_times_the_restarts() -> None:
    """54,000 restarts a day for two days; each instance drains, then signs off."""
    expiry, now, most, collected_ids = TombstoneExpiry(), 0, 0, Counter[str]()
    gap = 86_400 * NS_PER_SECOND // 54_000
    for number in range(2 * 54_000):
        now += gap
        expiry.record(now - 8 * NS_PER_SECOND, f"i-{number}")
        expiry.record(now, f"i-{number}")
        out = expiry.expired(now, lambda id: False)
        assert len(out) <= COLLECTION_BATCH
        collected_ids.update(out)
        expiry.remove(out)
        most = max(most, len(expiry.recorded_at))
    assert most <= (TOMBSTONE_RETENTION_NS + 2 * COLLECTION_INTERVAL_NS) // gap and set(
        collected_ids.values()
    ) == {1}
    # Even then the ids that are still rejected span more than ten minutes, and the item with them is bounded.
    assert MAX_COLLECTED_IDS * gap > 10 * MINUTE
    # After hours in which nothing could be collected all is, the oldest first.
    late = TombstoneExpiry()
    for number in range(10 * COLLECTION_BATCH):
        late.record(number, f"i-{number:05}")
    for turn in range(10):
        out = late.expired(TOMBSTONE_RETENTION_NS + MINUTE + turn * COLLECTION_INTERVAL_NS, lambda id: False)
        late.remove(out)
        assert out == [f"i-{turn * COLLECTION_BATCH + at:05}" for at in range(COLLECTION_BATCH)]
        assert (
            late.expired(
                TOMBSTONE_RETENTION_NS + MINUTE + (turn + 1) * COLLECTION_INTERVAL_NS - 1, lambda id: False
            )
            == []
        )
    assert not late.recorded_at


def test_tombstone_of_a_reported_instance_is_retained_again() -> None:
    expiry, reported = TombstoneExpiry(), {"a"}
    expiry.record(0, "a")
    expiry.record(0, "b")
    assert expiry.expired(TOMBSTONE_RETENTION_NS - 1, reported.__contains__) == []
    assert expiry.expired(TOMBSTONE_RETENTION_NS - 1 + COLLECTION_INTERVAL_NS, reported.__contains__) == ["b"]
    reported.clear()
    assert "a" not in expiry.expired(2 * TOMBSTONE_RETENTION_NS, reported.__contains__)
    assert "a" in expiry.expired(
        2 * TOMBSTONE_RETENTION_NS + 2 * COLLECTION_INTERVAL_NS, reported.__contains__
    )


@pytest.fixture
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten all times to a hundredth, except those that count in heartbeats."""
    for where, name, value in (
        (tombstone_expiry, "TOMBSTONE_RETENTION_NS", 18),
        (tombstone_expiry, "COLLECTION_INTERVAL_NS", 1),
        (process_health, "MAX_HEARTBEAT_DELAY_NS", 9),
        (endpoint_list, "RETENTION_NS", 6),
    ):
        monkeypatch.setattr(where, name, value * NS_PER_SECOND)


def stored_tombstones(world: SimulatedExchange) -> list[set[str]]:
    return [
        {id for kind, id in node.replicated_state.stored if kind == INSTANCE} for node in world.nodes.values()
    ]


async def cluster_of_three() -> SimulatedExchange:
    world = SimulatedExchange("a1", "b1", "c1")
    for zone, ip in (("a1", "1"), ("b1", "2"), ("c1", "3")):
        for number in range(2):
            world.add_backend(f"{zone}-{number}", "s0", zone, ip)
    await world.run(5)
    return world


@pytest.mark.usefixtures("short_times")
async def test_tombstones_are_collected_everywhere_and_a_late_heartbeat_is_rejected() -> None:
    world = await cluster_of_three()
    body = world.backends.pop("a1-0")[1]
    world.backends["a1-0"] = "1", body, world.now
    assert (await world.send_heartbeat("a1-0", State="draining"))[0] == 200
    assert (await world.nodes["2"].registry.deregister("a1-0"))[0] == 200
    del world.backends["a1-0"]
    # One that drains and stops, and one that goes on draining: its tombstone is not collected.
    for id in ("b1-0", "c1-0"):
        assert (await world.send_heartbeat(id, State="draining"))[0] == 200
    world.backends["c1-0"][1]["Condition"]["State"] = "draining"
    del world.backends["b1-0"]
    await world.run(10)
    # A control node without contact can't tell what peers receive: it collects
    # nothing, and the next one does.
    alone = {("1", ip) for ip in "23"} | {(ip, "1") for ip in "23"}
    world.cut_links |= alone
    await world.run(7)
    assert stored_tombstones(world) == [{"a1-0", "b1-0", "c1-0"}] * 3
    await world.run(10)
    assert stored_tombstones(world) == [{"a1-0", "b1-0", "c1-0"}, {"c1-0"}, {"c1-0"}]
    world.cut_links -= alone
    world.nodes["1"].replicated_state.merge(world.nodes["2"].replicated_state.stored.values())
    await world.run(20)
    assert stored_tombstones(world) == [{"c1-0"}] * 3
    # One control node has collected for all.
    assert [
        any(one.kind == COLLECTED_INSTANCES_KIND for one in node.replicated_state.written)
        for node in world.nodes.values()
    ] == [
        False,
        True,
        False,
    ]
    for node in world.nodes.values():
        state = node.registry.state_machine
        assert set(state.endpoint_list.tombstones) == set(state.tombstone_expiry.recorded_at) == {"c1-0"}
        assert {"a1-0", "b1-0"} <= state.endpoint_list.collected
    late = {**body, "Condition": {"State": "ready", "Sequence": 1, "ColdRemainingMs": 0}}
    assert (await world.nodes["3"].registry.heartbeat("a1-0", late))[0] == 200
    await world.run(0.3)
    assert not any("a1-0" in node.registry.endpoints() for node in world.nodes.values())
    # A replica that was away and still has the tombstone doesn't bring it back anywhere.
    world.nodes["3"].replicated_state.merge([tombstone("a1-0")])
    assert stored_tombstones(world) == [{"c1-0"}] * 3


@pytest.mark.usefixtures("short_times")
@pytest.mark.parametrize("still", [7, 40])
async def test_paused_control_node_revives_no_instance(still: int) -> None:
    """A control node that stood still reports no instance that has ended meanwhile.

    After a pause shorter than the retention it learns of the tombstones. After a longer one it drops all that
    it knew, and ignores heartbeats that have waited for it.
    """
    world = await cluster_of_three()
    world.paused.add("3")
    world.cut_links |= {("3", "1"), ("3", "2")}  # It stores nothing meanwhile, either.
    waiting = world.backends["c1-0"][1]
    for ip in ("1", "2"):
        assert (await world.nodes[ip].registry.deregister("c1-0"))[0] == 200
    del world.backends["c1-0"]
    world.backends["c1-1"] = "1", *world.backends["c1-1"][1:]
    await world.run(still)
    assert ("c1-0" in stored_tombstones(world)[0]) == (still < 18)
    assert not world.nodes["3"].replicated_state.stored
    node = world.nodes["3"].registry
    for other in "12":
        state = world.nodes[other].registry.state_machine
        state.endpoint_list.collected = frozenset()  # As if many others had been collected since.
    world.paused.clear()
    world.cut_links.clear()
    late = {**waiting, "Condition": {"State": "ready", "Sequence": 99, "ColdRemainingMs": 0}}
    await node.heartbeat("c1-0", late)  # It has waited for the process.
    node.tick()
    await node.heartbeat("c1-0", late)
    for _ in range(20):
        await world.run(0.1)
        assert not any("c1-0" in world.nodes[ip].ready_ids() for ip in "12")
    assert {"a1-0", "b1-0", "c1-1"} <= world.nodes["3"].ready_ids()


def test_replicas_converge_after_a_collection_that_one_missed() -> None:
    world = Copies(5, loss=0, count=5)
    world.run(2.5)
    one, away = "10.0.0.1", "10.0.0.4"

    def put(*items: Item) -> None:
        told: list[object] = []
        world.call(one, lambda call: WriteItems(call, items, 1.5), told.append)
        world.run(1)
        assert told == [CallSucceeded(None)]

    def replicas() -> list[Replica]:
        return [box.replica for box in world.boxes.values() if box.replica is not None]

    put(tombstone("old", 1), tombstone("older"), tombstone("new"))
    world.cut |= {(away, ip) for ip in world.boxes} | {(ip, away) for ip in world.boxes}
    put(collected(1, "old", "older", "never held"))
    put(tombstone("old"))  # Acknowledged, and nothing is held of it.
    world.cut.clear()
    world.run(4)
    assert [set(one.store.items) for one in replicas()] == [{COLLECTED_INSTANCES_KEY, (INSTANCE, "new")}] * 5
    assert len({one.store.buckets.total for one in replicas()}) == 1
    # A later list need not name them any more: whoever still has them gives them back, which does no harm.
    world.kill(away)
    put(collected(2, "new"))
    world.run(0.5)
    world.start(away)
    world.run(4)
    assert [set(one.store.items) for one in replicas()] == [{COLLECTED_INSTANCES_KEY}] * 5
    world.run(1)
    assert [list(box.disk["items"]) for box in world.boxes.values()] == [
        [row_key(COLLECTED_INSTANCES_KEY)]
    ] * 5


def test_proxies_and_controllers_drop_the_same_tombstones() -> None:
    pushes = ProxyUpdates()
    sent = pushes.add_proxy("proxy", [tombstone("a"), tombstone("b")], BackendUpdate((), (), True))
    sent += pushes.update_items([collected(1, "a"), tombstone("c")])
    assert {id for kind, id in pushes.sent_items if kind == INSTANCE} == {"b", "c"}
    routing = Routing()
    for one in sent:
        routing.merge(getattr(one.message, "items", ()))
    routing.merge([tombstone("a")])  # From a control node that was away.
    assert {id for kind, id in routing.items if kind == INSTANCE} == {"b", "c"}

"""The distribution in small deployments: which tables proxies get, in which order, and what is held back."""

from __future__ import annotations

import asyncio
from collections import defaultdict

import msgspec

from ambershift import interface as api
from ambershift.system.distribution.assigner import Assigner, PoolBackend
from ambershift.system.distribution.pools import Pool
from ambershift.system.distribution.terms import terms_for
from ambershift.system.distribution.traffic_rates import TrafficRates
from ambershift.system.messages.items import ROUTE, ZONE, Item
from ambershift.system.messages.proxy_link import (
    BackendUpdate,
    Barrier,
    BindTable,
    ControlNodeHeartbeat,
    EjectBackend,
    ItemUpdate,
    TableEntry,
)
from tests.support.simulated_exchange import NS_PER_MS, NS_PER_SECOND, ZONES, SimulatedExchange

CONTROL_NODES = {"a": "1", "b": "2", "c": "3"}


async def route(world: SimulatedExchange, service: str, *home_regions: str, name: str = "r") -> None:
    body = {"Name": name, "Service": service, "TargetMs": 500, "ServingRegions": home_regions}
    await world.nodes["3"].replicated_state.write([Item(ROUTE, name, (1, ""), msgspec.json.encode(body))], 1)


async def serve(
    world: SimulatedExchange,
    counts: dict[str, int],
    *home_regions: str,
    utilization: float = 0.41,
    **rates: int,
) -> None:
    """Start backends of service `s` and a proxy in each zone, and wait until tables are settled.

    Args:
        world: The control nodes.
        counts: Backends in each zone; they are named like "a1.0".
        home_regions: The home regions of the service's route.
        utilization: The part of all slots that is in use; at 0.41 the overload threshold is 0.95.
        rates: Requests per second at the proxy of each zone, 20 where none are given.
    """
    total_rate = sum(rates.get(zone, 20) for zone in ZONES)
    world.reported_mean_ms = round(1000 * utilization * 4 * sum(counts.values()) / total_rate)
    for zone, count in counts.items():
        for number in range(count):
            world.add_backend(f"{zone}.{number}", "s", zone, CONTROL_NODES[ZONES[zone]])
    await route(world, "s", *home_regions)
    await world.run(4)
    for zone in ZONES:
        pool = "|".join(("s", *home_regions))
        world.connect_proxy(f"proxy {zone}", CONTROL_NODES[ZONES[zone]], zone, **{pool: rates.get(zone, 20)})
    await world.run(50)


def tables(world: SimulatedExchange, of: str = "") -> dict[str, set[str]]:
    """The table that each zone's proxy uses now, by replaying what it was sent."""
    found = dict[str, set[str]]()
    for node in world.nodes.values():
        for proxy, messages in node.sent_to_proxies.items():
            number, backend_ids = -1, set[str]()
            for message in messages:
                match message:
                    case BindTable():
                        number, backend_ids = message.table, {id for id, _ in message.entries}
                    case TableEntry() if message.table == number:
                        (backend_ids.add if message.weight else backend_ids.discard)(message.backend_id)
            found[proxy.removeprefix("proxy ")] = backend_ids
    return found


def zones_in(ids: set[str]) -> dict[str, int]:
    counts = defaultdict[str, int](int)
    for id in ids:
        counts[id.partition(".")[0]] += 1
    return dict(counts)


async def test_zones_keep_their_own_backends_and_lend_spare_ones_within_their_region_first(
    world: SimulatedExchange,
) -> None:
    # The counts of a real service: b1 and c1 have a backend to spare, a2 and b2 have one of the two that are
    # their share. For a2, whose share is 2.03, one alone is overload, so that it borrows from another region.
    await serve(world, {"a1": 2, "a2": 1, "b1": 3, "b2": 1, "c1": 3, "c2": 2}, b2=18)
    found = {zone: zones_in(ids) for zone, ids in tables(world).items()}
    assert found == {
        "a1": {"a1": 2},
        "a2": {"a2": 1, "c1": 1},
        "b1": {"b1": 2},
        "b2": {"b2": 1, "b1": 1},
        "c1": {"c1": 2},
        "c2": {"c2": 2},
    }
    entries = [
        entry
        for node in world.nodes.values()
        for sent in node.sent_to_proxies.values()
        for message in sent
        if isinstance(message, BindTable)
        for entry in message.entries
    ]
    assert {weight for _, weight in entries} == {4.0}  # The slots of each backend.


async def test_traffic_of_all_proxies_decides_the_shares_and_all_control_nodes_agree(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2), utilization=0.6, a1=90, a2=90, b1=20, b2=20, c1=10, c2=10)
    found = tables(world)
    # The share is 4.5 a zone in region a: each of its zones is lent one.
    assert [len(found[zone]) for zone in sorted(ZONES)] == [3, 3, 2, 1, 1, 2]
    # No two controllers lend out the same backend.
    assert sorted(id for ids in found.values() for id in ids) == sorted(world.backends)


async def test_overload_of_one_zone_binds_all_proxies_to_the_table_of_all_backends(
    world: SimulatedExchange,
) -> None:
    # The share is 1.83 backends a zone: one backend lost of two isn't overload yet, or each drain would send
    # half of all requests to other regions.
    await serve(world, dict.fromkeys(ZONES, 2) | {"a1": 1})
    assert [len(ids) for _, ids in sorted(tables(world).items())] == [1, 2, 2, 2, 2, 2]
    world.proxies["proxy a1"] = "1", {"s": 25}  # Its share is 2.2 now.
    await world.run(40)
    assert all(ids == set(world.backends) for ids in tables(world).values())
    world.proxies["proxy a1"] = "1", {"s": 15}
    await world.run(40)
    assert len(tables(world)["a1"]) == 1


async def test_home_regions_limit_a_pool_and_zones_outside_them_borrow(world: SimulatedExchange) -> None:
    await serve(world, dict.fromkeys(ZONES, 3), "a", "b")
    found = {zone: zones_in(ids) for zone, ids in tables(world).items()}
    assert all(zone[0] in "ab" for counts in found.values() for zone in counts)
    assert {zone: list(found[zone]) for zone in ("a1", "b2")} == {"a1": ["a1"], "b2": ["b2"]}
    assert sum(found["c1"].values()) >= 1 and sum(found["c2"].values()) >= 1


async def test_a_backend_is_in_tables_only_while_it_is_warm_and_its_zone_not_evacuated(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2))
    await world.send_heartbeat("a1.0", ColdRemainingMs=2500)
    await world.run(1.2)
    assert not any("a1.0" in ids for ids in tables(world).values())
    await world.send_heartbeat("a1.0", ColdRemainingMs=1000)
    await world.run(2.5)
    assert "a1.0" in tables(world)["a1"]
    for version, body in ((1, b"true"), (2, b"false")):
        await world.nodes["2"].replicated_state.write([Item(ZONE, "a1", (version, ""), body)], 1)
        await world.run(2)
        is_evacuated = not any(id.startswith("a1") for ids in tables(world).values() for id in ids)
        assert is_evacuated == (body == b"true")
    assert not any(
        isinstance(one, EjectBackend) for sent in world.nodes["1"].sent_to_proxies.values() for one in sent
    )


async def test_a_hello_is_answered_with_items_then_the_endpoint_list_then_tables(
    world: SimulatedExchange,
) -> None:
    state = world.nodes["1"].replicated_state
    await serve(world, dict.fromkeys(ZONES, 2))
    state.write_gate.clear()
    world.proxies.pop("proxy a1")
    world.nodes["1"].controller.proxy_linked("new")
    sent = world.connect_proxy("new", "1", "a1", ready=False, s=20)
    await world.run(1)
    kinds = [type(one) for one in sent if not isinstance(one, ControlNodeHeartbeat)]
    assert kinds[:4] == [ItemUpdate, BackendUpdate, BindTable, Barrier]
    assert sent[2].complete and len(sent[2].updated) == 12
    assert not any(one.complete for one in sent if isinstance(one, ItemUpdate))
    await route(world, "t", name="later")
    state.write_gate.set()
    await world.run(0.1)
    told = [one for one in sent if isinstance(one, ItemUpdate)]
    assert [[item.name for item in one.items] for one in told] == [["r"], ["later"], []] and told[-1].complete
    world.connect_proxy("new", "1", "a1", ready=True, s=20)  # The same link: only `ready` differs.
    assert sum(isinstance(one, BackendUpdate) for one in sent) == 1
    world.connect_proxy("new", "1", "a1", ready=True, s=20)  # One that changes nothing is of a new link.
    world.nodes["1"].controller.proxy_linked("new")
    world.connect_proxy("new", "1", "a1", ready=False, s=20)
    await world.run(0.5)
    assert sum(isinstance(one, BackendUpdate) for one in sent) == 3


async def test_completion_is_confirmed_only_to_links_whose_hello_came_before_the_quorum_read(
    world: SimulatedExchange,
) -> None:
    await world.run(4)
    state = world.nodes["1"].replicated_state
    state.write_gate.clear()
    for _ in range(2):
        world.nodes["1"].controller.proxy_linked("new")
        sent = world.connect_proxy("new", "1", "a1")
        await world.run(0.1)
    state.write_gate.set()
    while not any(isinstance(one, ItemUpdate) and one.complete for one in sent):
        await asyncio.sleep(0)
    assert state.quorum_reads == 2


async def test_quorum_read_is_repeated_until_a_majority_answers(world: SimulatedExchange) -> None:
    world.nodes["1"].replicated_state.writes_succeed = False
    sent = world.connect_proxy("new", "1", "a1", ready=False)
    await world.run(0.1)
    assert not any(isinstance(one, ItemUpdate) and one.complete for one in sent)
    world.nodes["1"].replicated_state.writes_succeed = True
    await asyncio.sleep(0.25)  # `QUORUM_READ_RETRY_DELAY_S` has passed.
    assert any(isinstance(one, ItemUpdate) and one.complete for one in sent)


async def test_a_draining_backend_is_ejected_before_table_entries_and_the_barrier(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2), utilization=0.3)
    await route(world, "s", "a", name="second")  # Another pool with the same backends.
    del world.backends["a2.0"]  # Its heartbeats stop: it leaves with the endpoint list.
    await world.run(8)
    sent = world.nodes["1"].sent_to_proxies["proxy a1"]
    before = len(sent)
    assert "a2.0" in [id for one in sent if isinstance(one, BackendUpdate) for id in one.removed_ids]
    assert not any(isinstance(one, EjectBackend) for one in sent)
    assert await world.send_heartbeat("a1.0", State="draining") == (200, {})
    await world.run(1.5)
    told = [one for one in sent[before:] if isinstance(one, EjectBackend | TableEntry | Barrier)]
    assert told[0] == EjectBackend("a1.0", True) and sum(isinstance(one, EjectBackend) for one in told) == 1
    assert TableEntry("s", 0, "a1.0", 0.0) in told and isinstance(told[-1], Barrier)


async def test_a_restarted_control_node_removes_nothing_at_proxies_until_its_list_is_complete(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2))
    for ip in world.zones:
        world.start(ip)
    sent = [world.connect_proxy(f"proxy {zone}", CONTROL_NODES[ZONES[zone]], zone, s=20) for zone in ZONES][0]
    await world.run(2)
    assert not any(one.complete for one in sent if isinstance(one, BackendUpdate))
    assert not any(isinstance(one, BindTable) for one in sent)
    assert [one.max_proxies for one in sent if isinstance(one, ControlNodeHeartbeat)][-1] == 256
    await world.run(2.5)
    complete = [one for one in sent if isinstance(one, BackendUpdate) and one.complete]
    assert len(complete) == 1 and {one.id for one in complete[0].updated} == set(world.backends)
    assert tables(world)["a1"] == {"a1.0", "a1.1"}


async def test_a_proxy_that_changes_its_control_node_counts_once_and_gets_its_table(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2))
    world.disconnect_proxy("proxy a1")
    sent = world.connect_proxy("proxy a1", "2", "a1", s=20)
    await world.run(3)
    assert [one.table for one in sent if isinstance(one, BindTable)] == [0]
    pools = [node.controller.pool_assigners for node in world.nodes.values()]
    assert all(set(one.proxies) == set(world.proxies) for one in pools)
    assert [one.proxies["proxy a1"][1] for one in pools] == ["2", "", "2"]
    world.stopped.add("2")
    await world.run(6)
    assert "proxy a1" not in pools[0].proxies and "proxy c1" in pools[0].proxies


def test_assigner_does_not_wait_for_proxies_of_other_control_nodes() -> None:
    zones = {"a1": "a", "b1": "b"}
    assigner = Assigner("s", terms_for(Pool("s", "s", (), 500), zones), 7)
    assigner.update_backends(
        {f"b{number}": PoolBackend(number % 2, api.Phase.READY, 4.0) for number in range(60)}
    )
    for number in range(400):
        assigner.add_proxy(f"there {number}", number % 2, False)
    assigner.add_proxy("here", 0, True)
    sends = [
        one for at in range(8) if (changes := assigner.step(at * 250 * NS_PER_MS)) for one in changes.messages
    ]
    assert any(isinstance(message, BindTable) for _, message in sends)


def test_rates_are_published_when_they_have_changed_by_a_tenth() -> None:
    rates, now = TrafficRates(), 100 * NS_PER_SECOND
    published = list[int]()
    for rate in [50] * 20 + [53] * 20 + [80] * 20:
        now += NS_PER_SECOND
        rates.report(now, "proxy", "a1", 1000 * NS_PER_MS, {"s": rate})
        published += [one.rate for one in rates.take_changes(now, ["s"])[0]]
    assert published[0] == 5000 and 3 <= len(published) <= 7 and abs(published[-1] - 8000) <= 800
    assert published[1] > 5500
    rates.remove_proxy("proxy")
    assert rates.take_changes(now + 3 * NS_PER_SECOND, ["s"]) == ([], [("a1", "s")])

"""Distribution: which tables proxies get in small deployments, in which order, what is held back."""

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

KEEPERS = {"a": "1", "b": "2", "c": "3"}


async def route(world: SimulatedExchange, service: str, *homes: str, name: str = "r") -> None:
    body = {"Name": name, "Service": service, "TargetMs": 500, "ServingRegions": homes}
    await world.nodes["3"].replicated_state.write([Item(ROUTE, name, (1, ""), msgspec.json.encode(body))], 1)


async def serve(
    world: SimulatedExchange, counts: dict[str, int], *homes: str, full: float = 0.41, **rates: int
) -> None:
    """So many backends of service `s` a zone, named like "a1.0"; a proxy a zone, with requests a second (20).

    Answers take so long that they fill that part of all slots; at 0.41 the threshold of overload is 0.95.
    """
    came = sum(rates.get(zone, 20) for zone in ZONES)
    world.reported_mean_ms = round(1000 * full * 4 * sum(counts.values()) / came)
    for zone, count in counts.items():
        for number in range(count):
            world.add_backend(f"{zone}.{number}", "s", zone, KEEPERS[ZONES[zone]])
    await route(world, "s", *homes)
    await world.run(4)
    for zone in ZONES:
        pool = "|".join(("s", *homes))
        world.connect_proxy(f"proxy {zone}", KEEPERS[ZONES[zone]], zone, **{pool: rates.get(zone, 20)})
    await world.run(50)


def tables(world: SimulatedExchange, of: str = "") -> dict[str, set[str]]:
    """The table that each zone's proxy uses now, by replaying what it was sent."""
    found = dict[str, set[str]]()
    for node in world.nodes.values():
        for proxy, messages in node.sent_to_proxies.items():
            number, lines = -1, set[str]()
            for one in messages:
                match one:
                    case BindTable():
                        number, lines = one.table, {id for id, _ in one.entries}
                    case TableEntry() if one.table == number:
                        (lines.add if one.weight else lines.discard)(one.backend_id)
            found[proxy.removeprefix("proxy ")] = lines
    return found


def zones_in(ids: set[str]) -> dict[str, int]:
    counts = defaultdict[str, int](int)
    for id in ids:
        counts[id.partition(".")[0]] += 1
    return dict(counts)


async def test_zones_keep_their_own_and_lend_in_their_region_first(world: SimulatedExchange) -> None:
    # The counts of a real service: b1 and c1 have one to spare; a2 and b2 one of two, for a2 too little.
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
    weights = [
        line
        for node in world.nodes.values()
        for sent in node.sent_to_proxies.values()
        for one in sent
        if isinstance(one, BindTable)
        for line in one.entries
    ]
    assert {weight for _, weight in weights} == {4.0}  # As listed.


async def test_traffic_of_all_proxies_makes_the_shares_and_one_answer_everywhere(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2), full=0.6, a1=90, a2=90, b1=20, b2=20, c1=10, c2=10)
    found = tables(world)
    assert [len(found[zone]) for zone in sorted(ZONES)] == [3, 3, 2, 1, 1, 2]  # Due 4.5 in a: lent one each.
    # No two controllers give the same backend away.
    assert sorted(id for ids in found.values() for id in ids) == sorted(world.backends)


async def test_a_zone_far_over_its_due_sends_all_to_the_table_of_all(world: SimulatedExchange) -> None:
    # Due 1.83 each: a pair that lost one is no reason yet, or each drain would send half of all abroad.
    await serve(world, dict.fromkeys(ZONES, 2) | {"a1": 1})
    assert [len(ids) for _, ids in sorted(tables(world).items())] == [1, 2, 2, 2, 2, 2]
    world.proxies["proxy a1"] = "1", {"s": 25}  # Due 2.2 there.
    await world.run(40)
    assert all(ids == set(world.backends) for ids in tables(world).values())
    world.proxies["proxy a1"] = "1", {"s": 15}
    await world.run(40)
    assert len(tables(world)["a1"]) == 1


async def test_homes_bound_a_pool_and_zones_outside_them_borrow(world: SimulatedExchange) -> None:
    await serve(world, dict.fromkeys(ZONES, 3), "a", "b")
    found = {zone: zones_in(ids) for zone, ids in tables(world).items()}
    assert all(zone[0] in "ab" for counts in found.values() for zone in counts)
    assert {zone: list(found[zone]) for zone in ("a1", "b2")} == {"a1": ["a1"], "b2": ["b2"]}
    assert sum(found["c1"].values()) >= 1 and sum(found["c2"].values()) >= 1


async def test_a_backend_is_in_tables_only_while_it_is_warm_and_its_zone_is_open(
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
        shut = not any(id.startswith("a1") for ids in tables(world).values() for id in ids)
        assert shut == (body == b"true")
    assert not any(
        isinstance(one, EjectBackend) for sent in world.nodes["1"].sent_to_proxies.values() for one in sent
    )


async def test_a_hello_is_answered_with_items_the_list_and_then_binds(world: SimulatedExchange) -> None:
    ledger = world.nodes["1"].replicated_state
    await serve(world, dict.fromkeys(ZONES, 2))
    ledger.write_gate.clear()
    world.proxies.pop("proxy a1")
    world.nodes["1"].controller.proxy_linked("new")
    sent = world.connect_proxy("new", "1", "a1", ready=False, s=20)
    await world.run(1)
    kinds = [type(one) for one in sent if not isinstance(one, ControlNodeHeartbeat)]
    assert kinds[:4] == [ItemUpdate, BackendUpdate, BindTable, Barrier]
    assert sent[2].complete and len(sent[2].updated) == 12
    assert not any(one.complete for one in sent if isinstance(one, ItemUpdate))
    await route(world, "t", name="later")
    ledger.write_gate.set()
    await world.run(0.1)
    told = [one for one in sent if isinstance(one, ItemUpdate)]
    assert [[item.name for item in one.items] for one in told] == [["r"], ["later"], []] and told[-1].complete
    world.connect_proxy("new", "1", "a1", ready=True, s=20)  # The same link.
    assert sum(isinstance(one, BackendUpdate) for one in sent) == 1
    world.connect_proxy("new", "1", "a1", ready=True, s=20)  # Another one, since it says nothing new.
    world.nodes["1"].controller.proxy_linked("new")
    world.connect_proxy("new", "1", "a1", ready=False, s=20)
    await world.run(0.5)
    assert sum(isinstance(one, BackendUpdate) for one in sent) == 3


async def test_the_sign_that_all_is_merged_is_for_links_that_asked_before(world: SimulatedExchange) -> None:
    await world.run(4)
    ledger = world.nodes["1"].replicated_state
    ledger.write_gate.clear()
    for _ in range(2):
        world.nodes["1"].controller.proxy_linked("new")
        sent = world.connect_proxy("new", "1", "a1")
        await world.run(0.1)
    ledger.write_gate.set()
    while not any(isinstance(one, ItemUpdate) and one.complete for one in sent):
        await asyncio.sleep(0)
    assert ledger.quorum_reads == 2


async def test_freshening_goes_on_until_enough_answer(world: SimulatedExchange) -> None:
    world.nodes["1"].replicated_state.writes_succeed = False
    sent = world.connect_proxy("new", "1", "a1", ready=False)
    await world.run(0.1)
    assert not any(isinstance(one, ItemUpdate) and one.complete for one in sent)
    world.nodes["1"].replicated_state.writes_succeed = True
    await asyncio.sleep(0.25)  # The pause before the next try.
    assert any(isinstance(one, ItemUpdate) and one.complete for one in sent)


async def test_a_draining_backend_is_withdrawn_before_lines_and_the_mark(world: SimulatedExchange) -> None:
    await serve(world, dict.fromkeys(ZONES, 2), full=0.3)
    await route(world, "s", "a", name="second")  # Another pool with the same backend.
    del world.backends["a2.0"]  # It goes missing, and with the list.
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


async def test_a_new_control_node_takes_nothing_from_proxies_until_it_has_heard_all(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2))
    for ip in world.zones:
        world.start(ip)
    sent = [world.connect_proxy(f"proxy {zone}", KEEPERS[ZONES[zone]], zone, s=20) for zone in ZONES][0]
    await world.run(2)
    assert not any(one.complete for one in sent if isinstance(one, BackendUpdate))
    assert not any(isinstance(one, BindTable) for one in sent)
    assert [one.max_proxies for one in sent if isinstance(one, ControlNodeHeartbeat)][-1] == 256
    await world.run(2.5)
    whole = [one for one in sent if isinstance(one, BackendUpdate) and one.complete]
    assert len(whole) == 1 and {one.id for one in whole[0].updated} == set(world.backends)
    assert tables(world)["a1"] == {"a1.0", "a1.1"}


async def test_a_proxy_that_changes_its_control_node_counts_once_and_gets_its_table(
    world: SimulatedExchange,
) -> None:
    await serve(world, dict.fromkeys(ZONES, 2))
    world.disconnect_proxy("proxy a1")
    sent = world.connect_proxy("proxy a1", "2", "a1", s=20)
    await world.run(3)
    assert [one.table for one in sent if isinstance(one, BindTable)] == [0]
    floors = [node.controller.pool_assigners for node in world.nodes.values()]
    assert all(set(floor.proxies) == set(world.proxies) for floor in floors)
    assert [floor.proxies["proxy a1"][1] for floor in floors] == ["2", "", "2"]
    world.stopped.add("2")
    await world.run(6)
    assert "proxy a1" not in floors[0].proxies and "proxy c1" in floors[0].proxies


def test_the_channel_does_not_wait_for_proxies_of_other_control_nodes() -> None:
    zones = {"a1": "a", "b1": "b"}
    assigner = Assigner("s", terms_for(Pool("s", "s", (), 500), zones), 7)
    assigner.update_backends(
        {f"b{number}": PoolBackend(number % 2, api.Phase.READY, 4.0) for number in range(60)}
    )
    for number in range(400):
        assigner.add_proxy(f"there {number}", number % 2, False)
    assigner.add_proxy("here", 0, True)
    sends = [one for at in range(8) if (dealt := assigner.step(at * 250 * NS_PER_MS)) for one in dealt.sends]
    assert any(isinstance(message, BindTable) for _, message in sends)


def test_flows_are_told_when_they_have_moved_by_a_tenth() -> None:
    flows, now = TrafficRates(), 100 * NS_PER_SECOND
    told = list[int]()
    for rate in [50] * 20 + [53] * 20 + [80] * 20:
        now += NS_PER_SECOND
        flows.report(now, "proxy", "a1", 1000 * NS_PER_MS, {"s": rate})
        told += [flow.rate for flow in flows.take_changes(now, ["s"])[0]]
    assert told[0] == 5000 and 3 <= len(told) <= 7 and abs(told[-1] - 8000) <= 800
    assert told[1] > 5500
    flows.remove_proxy("proxy")
    assert flows.take_changes(now + 3 * NS_PER_SECOND, ["s"]) == ([], [("a1", "s")])

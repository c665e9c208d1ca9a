"""Proxies for clients of hosts whose requests have to be answered in another region."""

from __future__ import annotations

from ambershift.system.distribution.traffic_rates import TrafficRates
from ambershift.system.messages.items import ROUTE, Item
from ambershift.system.messages.proxy_link import host_counter_name, parse_host_counter_name
from ambershift.system.proxy.routing import Routing
from ambershift.system.registry.home_regions import (
    MIN_RATE_PER_100S,
    REDIRECT_MIN_SHARE,
    RETAIN_MIN_SHARE,
    HomeRegions,
)
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.proxy_rig import route
from tests.support.simulated_exchange import SimulatedExchange

ALL, BOUND = host_counter_name("h.example", ()), host_counter_name("h.example", ("b", "a"))


def rates(total: float, bound: float) -> dict[str, int]:
    return {ALL: int(total), BOUND: int(bound), "service|a|b": 77}


def test_clients_are_redirected_by_the_share_of_requests_homed_elsewhere() -> None:
    homes = HomeRegions()
    assert (
        parse_host_counter_name(BOUND) == ("h.example", ("a", "b"))
        and parse_host_counter_name("service|a|b") is None
    )
    homes.update(rates(1000, 1000 * REDIRECT_MIN_SHARE - 1))
    assert not homes.regions_for("h.example", "c")
    homes.update(rates(1000, 1000 * REDIRECT_MIN_SHARE))
    assert homes.regions_for("h.example", "c") == {"a", "b"} == homes.regions_for("H.Example:80", "c")
    assert (
        not homes.regions_for("h.example", "a")
        and not homes.regions_for("other", "c")
        and not homes.regions_for("h.example", "")
    )
    homes.update(rates(1000, 1000 * RETAIN_MIN_SHARE))
    assert homes.regions_for("h.example", "c")  # Hysteresis: a little less changes nothing.
    homes.update(rates(MIN_RATE_PER_100S - 1, 0))
    assert homes.regions_for("h.example", "c")  # Too few requests decide nothing.
    homes.update(rates(1000, 1000 * RETAIN_MIN_SHARE - 1))
    assert not homes.regions_for("h.example", "c")
    homes.update(rates(1000, 1000 * REDIRECT_MIN_SHARE - 1))
    assert not homes.regions_for("h.example", "c")
    homes.update(rates(1000, 900))
    assert homes.regions_for("h.example", "c")
    homes.update({ALL: 1000})  # The host has no homes any more.
    assert not homes.regions_for("h.example", "c")


def test_only_regions_common_to_all_homes_are_returned() -> None:
    homes, other = HomeRegions(), host_counter_name("h.example", ("b", "c"))
    homes.update({ALL: 1000, BOUND: 500, other: 500})
    assert homes.regions_for("h.example", "d") == {"b"} and not homes.regions_for("h.example", "c")
    homes.update({ALL: 1000, host_counter_name("h.example", ("a",)): 500, other: 500})
    assert not homes.regions_for("h.example", "d")


def test_requests_are_counted_for_hosts_with_homes() -> None:
    routing = Routing()
    free, bound = route("free", "/free/"), route("bound", "/bound/", ServingRegions=["b", "a"])
    name, host = "books.example", b"books.example"
    routing.merge([free])
    assert (found := routing.find(host, b"/free/x")) and routing.counter_names(found) == []
    routing.merge([bound])
    assert routing.counter_names(found) == [host_counter_name(name, ())]
    assert (late := routing.find(host, b"/bound/x"))
    assert routing.counter_names(late) == [host_counter_name(name, ()), host_counter_name(name, ("a", "b"))]
    routing.merge([Item(ROUTE, "bound", (9, ""), None)])
    assert routing.counter_names(found) == []


def test_host_rates_are_reported_and_withdrawn() -> None:
    flows = TrafficRates()
    flows.report(NS_PER_SECOND, "proxy", "a1", NS_PER_SECOND, {"s": 3, ALL: 5, BOUND: 4})
    moved, gone = flows.take_changes(2 * NS_PER_SECOND, ["s"])
    assert {one.pool: one.rate for one in moved} == {"s": 300, ALL: 500, BOUND: 400} and not gone
    flows.report(20 * NS_PER_SECOND, "proxy", "a1", NS_PER_SECOND, {})
    _, gone = flows.take_changes(20 * NS_PER_SECOND, ["s"])
    assert sorted(gone) == sorted([("a1", ALL), ("a1", BOUND)])


async def test_directory_returns_home_proxies_while_two_are_ready() -> None:
    world = SimulatedExchange("a1", "b1", "c1")
    find = world.nodes["3"].registry.proxy_addresses
    for name, ip, zone in (("p", "1", "a1"), ("q", "2", "b1"), ("r", "3", "c1")):
        world.connect_proxy(name, ip, zone, **{ALL: 50, BOUND: 40})
    await world.run(6)
    assert sorted(find("c", "c1", "h.example")) == sorted(find("", "c1", "h.example")) == ["p:80", "q:80"]
    assert find("a", "a1", "h.example") == ["p:80"] and find("c", "c1", "other") == ["r:80"]
    world.connect_proxy("q", "2", "b1", leaving=True)
    await world.run(0.3)
    assert find("c", "c1", "h.example") == ["r:80"]

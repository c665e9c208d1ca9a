"""Proxies drop items whose tombstones were collected, and don't bring them back."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import pytest

from ambershift.system.distribution.proxy_updates import ProxyUpdates
from ambershift.system.messages.items import ROUTE
from ambershift.system.messages.proxy_link import BackendUpdate, ItemUpdate
from ambershift.system.messages.tombstones import (
    COLLECTED_TOMBSTONES_KEY,
    CollectedTombstones,
)
from ambershift.system.proxy.routing import Routing
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.simulation.fleet_history import ROUTES, Storm
from ambershift.system.simulation.forgetting_soon import forgetting_soon
from tests.support.configuration_items import drop, route


def test_proxy_collects_tombstones_with_its_control_node() -> None:
    updates, routing = ProxyUpdates(), Routing()
    collected = CollectedTombstones().with_batch([drop("r1", 11)])
    routing.begin_link()
    items = {item.key: item for item in (route("r1", 1), route("r2", 2))}
    for update in updates.add_proxy("proxy", items.values(), BackendUpdate((), (), True)):
        routing.merge(getattr(update.message, "items", ()))
    routing.complete_link()
    for update in updates.update_items([drop("r1", 11)]) + updates.update_items([collected.as_item]):
        assert isinstance(update.message, ItemUpdate)
        routing.merge(update.message.items)
    assert routing.items.keys() == {(ROUTE, "r2"), COLLECTED_TOMBSTONES_KEY} and routing.route_count == 1
    routing.merge([route("r1", 1)])
    assert routing.find(b"h", b"/r1") is None and not routing.control_node_outdated
    # A new link isn't sent what was collected.
    held = [route("r2", 2), collected.as_item]
    sent = updates.add_proxy("other", held, BackendUpdate((), (), True))
    assert [list(update.message.items) for update in sent if isinstance(update.message, ItemUpdate)] == [held]


def collected_batches(first: int = 1) -> CollectedTombstones:
    """Five batches, of routes `r1` and on; a proxy without the first of them can't catch up from the list."""
    with forgetting_soon():
        collected = CollectedTombstones()
        for number in range(first, first + 5):
            collected = collected.with_batch([drop(f"r{number}", 10 + number)])
        return collected


def test_long_absent_proxy_serves_only_items_of_the_new_link() -> None:
    routing, collected = Routing(), collected_batches()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 9), route("late", 99)])
    routing.complete_link()
    routing.begin_link()
    routing.merge([collected.as_item, route("r9", 9)])
    assert routing.find(b"h", b"/r1") is not None  # It serves the old items until the new ones are complete.
    routing.complete_link()
    assert (
        routing.items.keys() == {(ROUTE, "r9"), (ROUTE, "late"), COLLECTED_TOMBSTONES_KEY}
        and not routing.control_node_outdated
    )
    assert routing.find(b"h", b"/r1") is None and routing.route_count == 2


def test_proxy_leaves_a_control_node_with_older_items() -> None:
    routing = Routing()
    routing.begin_link()
    routing.merge([collected_batches().as_item, route("r9", 9)])
    routing.complete_link()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 10)])
    assert routing.control_node_outdated and not routing.merge([route("r2", 2)])
    assert routing.items.keys() == {(ROUTE, "r9"), COLLECTED_TOMBSTONES_KEY}
    routing.begin_link()  # To another control node.
    routing.merge([collected_batches().as_item, route("r9", 10)])
    assert not routing.control_node_outdated and routing.items[ROUTE, "r9"].version[0] == 10


def test_items_received_before_the_control_node_was_reset_are_discarded() -> None:
    routing = Routing()
    routing.begin_link()
    routing.merge([route("r1", 1), route("r9", 9)])
    routing.merge([collected_batches().as_item])  # The control node has just learned of it.
    assert routing.control_node_outdated
    routing.complete_link()
    assert not routing.complete
    routing.begin_link()
    routing.merge([collected_batches().as_item, route("r9", 9)])
    routing.complete_link()
    assert routing.complete and routing.items.keys() == {(ROUTE, "r9"), COLLECTED_TOMBSTONES_KEY}


@pytest.mark.usefixtures("early_collection")
def test_returned_proxy_drops_items_whose_tombstones_were_collected() -> None:
    """A proxy is partitioned while five routes are dropped and their tombstones collected."""
    fleet = Fleet(1)
    streets = Streets(fleet, 1)
    storm = Storm(fleet, streets, 1.0)

    def start(call: Coroutine[Any, Any, Any]) -> None:
        with streets.loop.current():
            streets.loop.create_task(call)

    start(storm.begin())
    fleet.run(4)
    links = {link for ip in fleet.boxes for link in ((ip, "front-1"), ("front-1", ip))}
    fleet.cut |= links
    rows = [{"Name": f"r{number}", "ConfigVersion": f"r{100 + number}"} for number in range(5)]
    start(streets.rpc("configuration.modify", "", {"Remove": {"Routes": rows}}, 5.0, lost=0))
    fleet.run(8)
    batches = {box.replica.store.collected.batch for box in fleet.boxes.values() if box.replica is not None}
    assert batches == {5}
    routings = {name: front.server.routing for name, front in fleet.fronts.items()}
    assert (ROUTE, "r0") in routings["front-1"].items and routings["front-1"].route_count == ROUTES
    fleet.cut -= links
    fleet.run(6)
    for routing in routings.values():
        assert routing.route_count == ROUTES - 5 and routing.items == routings["front-2"].items
    assert not fleet.failed

"""The snapshot of the endpoint list: loaded after the loss of all control nodes, ignored if unreadable."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from ambershift.system.messages.items import INSTANCE, Item
from ambershift.system.messages.proxy_link import BackendUpdate
from ambershift.system.registry.records import Instance
from ambershift.system.registry.service import PROXIES_WHILE_INCOMPLETE
from ambershift.system.registry.snapshot import (
    MIN_WRITE_INTERVAL_NS,
    SnapshotError,
    SnapshotSchedule,
    decode_snapshot,
    encode_snapshot,
)
from ambershift.system.state_machine import NS_PER_MS
from tests.support.simulated_exchange import NS_PER_SECOND, ControlNode, SimulatedExchange

NOW = 1000 * NS_PER_SECOND
INSTANCE_ONE = Instance("one", "s0", "10.9.0.1:80", "a1", 4, 7, False, 0, NOW - 5 * NS_PER_SECOND)


def snapshot_of(world: SimulatedExchange, ip: str) -> bytes:
    registry = world.nodes[ip].registry
    return encode_snapshot(
        ip, world.now, registry.state_machine.max_proxies(world.now), list(registry.endpoints().values())
    )


async def run_cluster(cold: int = 0) -> tuple[SimulatedExchange, dict[str, bytes]]:
    """Run control nodes, and return them with the snapshots that they have on disk when all end."""
    world = SimulatedExchange("a1", "b1", "c1")
    for ip, zone in world.zones.items():
        for number in range(3):
            world.add_backend(f"{zone}-{number}", f"s{number % 2}", zone, ip)
    world.add_backend("cold", "s0", "a1", "1", ColdRemainingMs=cold)
    await world.run(5)
    return world, {ip: snapshot_of(world, ip) for ip in world.nodes}


def restart_all(world: SimulatedExchange, snapshots: dict[str, bytes]) -> None:
    for ip in world.zones:
        world.start(ip)
    for ip, data in snapshots.items():
        world.nodes[ip].registry.load_snapshot(data)


async def test_snapshot_is_served_at_once_and_lost_instances_time_out() -> None:
    world, snapshots = await run_cluster()
    here = set(world.backends)
    lost = {id: world.backends.pop(id) for id in ("a1-1", "b1-2")}
    beating, world.backends = world.backends, {}
    restart_all(world, snapshots)
    told = world.connect_proxy("proxy", "2", "b1")
    await world.run(0.5)
    first = next(one for one in told if isinstance(one, BackendUpdate))
    assert {one.id for one in first.updated} == here and not first.complete
    assert all(one.unconfirmed for one in first.updated)
    world.backends = beating
    await world.run(1.5)  # A heartbeat confirms an instance, and proxies are notified.
    confirmed = {
        one.id
        for list in told
        if isinstance(list, BackendUpdate)
        for one in list.updated
        if not one.unconfirmed
    }
    assert confirmed == set(world.backends)
    assert all(node.ready_ids() == here for node in world.nodes.values())
    await world.run(5)
    assert all(node.ready_ids() == here - lost.keys() for node in world.nodes.values())


async def test_snapshot_restores_the_number_of_proxies() -> None:
    world, _ = await run_cluster()
    for number in range(7):
        world.connect_proxy(f"proxy{number}", "1", "a1")
    await world.run(0.3)
    snapshot, usual = snapshot_of(world, "2"), world.nodes["2"].registry.max_proxies()
    restart_all(world, {"2": snapshot})
    assert world.nodes["2"].registry.max_proxies() == usual < PROXIES_WHILE_INCOMPLETE
    assert world.nodes["1"].registry.max_proxies() == PROXIES_WHILE_INCOMPLETE  # Nothing is known here.


async def test_control_node_without_contact_keeps_its_snapshot() -> None:
    world, snapshots = await run_cluster()
    world.backends = {}
    restart_all(world, snapshots)
    world.stopped |= {"2", "3"}
    await world.run(20)
    world.stopped.clear()
    world.add_backend("s0", "s0", "a1", "1")  # Once a service has a live instance, its silent ones leave.
    await world.run(4)
    assert len(world.nodes["1"].ready_ids()) == 11
    await world.run(2)
    assert "a1-0" not in world.nodes["1"].ready_ids()


async def test_tombstones_and_reused_addresses_win_over_the_snapshot() -> None:
    world, snapshots = await run_cluster()
    world.backends = {}
    restart_all(world, {})
    for ip in world.zones:  # As items on its disk, which reach no listener.
        world.nodes[ip].replicated_state.stored |= {
            (INSTANCE, id): Item(INSTANCE, id, (version, ""), b"{}")
            for id, version in (("a1-0", 2), ("a1-1", 1))
        }
        world.nodes[ip].registry.load_snapshot(snapshots[ip])
    endpoints = world.nodes["1"].registry.endpoints()
    assert "a1-0" not in endpoints and endpoints["a1-1"].draining  # Before any tick.
    world.add_backend("new", "s9", "b1", "1", address="b1-1:80")
    await world.send_heartbeat("new")
    await world.run(0.5)
    assert all("b1-1" not in node.ready_ids() and "new" in node.ready_ids() for node in world.nodes.values())


async def test_newer_instance_keeps_its_address_from_one_in_the_snapshot() -> None:
    world, _ = await run_cluster()
    world.add_backend("old", "s9", "a1", "1")
    await world.run(0.3)
    snapshot = snapshot_of(world, "1")
    world.stopped.add("1")
    world.backends.pop("old")
    # A peer has known it for longer than the snapshot says of the old one.
    world.add_backend("new", "s9", "b1", "2", address="old:80")
    await world.run(4)
    world.start("1")
    world.nodes["1"].registry.load_snapshot(snapshot)
    await world.run(1)
    assert "new" in world.nodes["1"].ready_ids() and "old" not in world.nodes["1"].ready_ids()


async def test_heartbeat_wins_over_the_snapshot_at_any_sequence() -> None:
    world, snapshots = await run_cluster()
    restart_all(world, {"1": snapshots["1"]})
    world.backends["b1-0"][1]["Condition"]["Sequence"] = -1
    await world.send_heartbeat("b1-0", "1", ColdRemainingMs=9000)
    instance = world.nodes["1"].registry.endpoints()["b1-0"]
    assert instance.warming_until > world.now and not instance.unconfirmed


async def test_snapshot_keeps_the_warm_up_time_left() -> None:
    world, snapshots = await run_cluster(cold=8000)
    before = world.nodes["1"].registry.endpoints()["cold"].warming_until - world.now
    world.now += 3 * NS_PER_SECOND
    restart_all(world, snapshots)
    left = world.nodes["1"].registry.endpoints()["cold"].warming_until - world.now
    assert before - NS_PER_MS < left <= before


@pytest.mark.parametrize("change", ["torn", "short", "empty", "foreign", "newer", "other"])
def test_unreadable_snapshot_is_ignored(change: str) -> None:
    data = encode_snapshot("1", NOW, 9, [INSTANCE_ONE])
    assert [one.id for one in decode_snapshot("1", NOW, data)[1]] == ["one"]
    if change == "newer":
        body = msgspec.msgpack.encode([2, "1", 0, []])
        data = hashlib.blake2b(body, digest_size=16).digest() + body
    elif change == "other":
        data = hashlib.blake2b(b"\x01", digest_size=16).digest() + b"\x01"
    else:
        torn = data.replace(b"10.9.0.1", b"10.9.0.2")
        data = {"torn": torn, "short": data[:-1], "empty": b"", "foreign": data}[change]
    with pytest.raises(SnapshotError):
        decode_snapshot("9" if change == "foreign" else "1", NOW, data)
    node = ControlNode(SimulatedExchange("a1"), "1")
    node.registry.settings = replace(node.registry.settings, ip="9" if change == "foreign" else "1")
    node.registry.load_snapshot(data)
    assert node.log_events[-1][0] == 305 and not node.registry.endpoints()


def test_snapshot_is_written_after_changes_and_when_an_instance_is_warm() -> None:
    schedule = SnapshotSchedule()
    assert not schedule.due(NOW, 0)
    schedule.changed = True
    assert schedule.due(NOW, 9)
    schedule.written(NOW, 9, [INSTANCE_ONE, replace(INSTANCE_ONE, warming_until=NOW + 3 * NS_PER_SECOND)])
    assert not schedule.due(NOW + MIN_WRITE_INTERVAL_NS, 9)
    schedule.changed = True
    assert not schedule.due(NOW + MIN_WRITE_INTERVAL_NS - 1, 9) and schedule.due(
        NOW + MIN_WRITE_INTERVAL_NS, 9
    )
    schedule.changed = False
    assert not schedule.due(NOW + MIN_WRITE_INTERVAL_NS, 9) and schedule.due(
        NOW + MIN_WRITE_INTERVAL_NS, 10
    )  # Another proxy.
    assert schedule.due(NOW + 3 * NS_PER_SECOND, 9)


class Side:
    """A side file that keeps what it is given."""

    def __init__(self) -> None:
        self.failed, self.writes = False, list[bytes]()

    def write(self, make: Any) -> bool:
        self.failed = False
        self.writes.append(make())
        return True


async def test_only_a_complete_list_is_written_and_a_failed_write_is_repeated() -> None:
    world, _ = await run_cluster()
    registry = world.nodes["1"].registry
    registry.cache_file = side = Side()
    await world.run(0.2)
    assert {one.id for one in decode_snapshot("1", world.now, side.writes[-1])[1]} == set(world.backends)
    await world.run(5)
    assert len(side.writes) == 1
    side.failed = True
    await world.run(0.2)
    assert len(side.writes) == 2
    # The last ones of a service stay listed when silent, yet are not in the snapshot.
    for id in ("a1-0", "a1-1", "b1-1", "c1-1"):
        world.backends.pop(id)
    await world.run(12)
    assert "a1-1" in world.nodes["1"].ready_ids()
    assert {one.id for one in decode_snapshot("1", world.now, side.writes[-1])[1]} == set(world.backends)
    world.start("1")
    world.nodes["1"].registry.cache_file = side = Side()
    await world.run(3)
    assert not side.writes

"""The snapshot of the endpoint list: loaded after the loss of all control nodes, ignored if unreadable."""

from __future__ import annotations

import asyncio
import hashlib
import os
import threading
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from ambershift.system.consensus import cache_file
from ambershift.system.consensus.cache_file import CacheFile
from ambershift.system.consensus.events import ReadQuorum
from ambershift.system.consensus.replica import Replica
from ambershift.system.messages import codec
from ambershift.system.messages.items import INSTANCE, Item
from ambershift.system.messages.proxy_link import Backend, BackendUpdate, ControlNodeHeartbeat, ItemUpdate
from ambershift.system.messages.replication import Announcement, SyncRequest
from ambershift.system.node_selection.selector import Choice
from ambershift.system.processes import candidate_probe, candidate_search
from ambershift.system.processes.candidate_search import CandidateSearch
from ambershift.system.proxy import awaited, handling
from ambershift.system.proxy.backend_view import BackendView
from ambershift.system.registry.records import Instance
from ambershift.system.registry.service import PROXIES_WHILE_INCOMPLETE
from ambershift.system.registry.snapshot import (
    MIN_WRITE_INTERVAL_NS,
    SnapshotError,
    SnapshotSchedule,
    decode_snapshot,
    encode_snapshot,
)
from ambershift.system.settings.local import Bounds, Local
from ambershift.system.state_machine import NS_PER_MS, PeerConnected, Send, WriteCompleted
from ambershift.system.transport import links
from ambershift.system.transport.link_path import CONTROL_NODE, PeerIdentity
from tests.support import proxy_rig
from tests.support.simulated_exchange import NS_PER_SECOND, ZONES, ControlNode, SimulatedExchange

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


def test_proxy_prefers_confirmed_instances_to_those_of_a_snapshot() -> None:
    view = BackendView("a", ZONES, lambda service: 3 * NS_PER_SECOND)
    told = Backend("one", "s", "x:1", "a1", 4, False, 2000)
    view.take(NOW, BackendUpdate((told,), (), True))
    until = view.lives["one"].cold_until
    other = Backend("two", "s", "x:2", "b1", 4, False, 0, True)
    view.evacuate("b1")
    view.take_back(NOW, "b1")
    view.take(NOW + 3 * NS_PER_SECOND, BackendUpdate((replace_cold(told), other), (), False))
    assert view.lives["one"].cold_until == until
    assert view.lives["two"].cold_until == NOW + 4 * NS_PER_SECOND  # It may be from before.


def replace_cold(told: Backend) -> Backend:
    return msgspec.structs.replace(told, warm_up_ms=0, unconfirmed=True)


@pytest.fixture
def side(tmp_path: Path) -> Iterator[CacheFile]:
    made = CacheFile(str(tmp_path), "list")
    yield made
    made.close()


def write(side: CacheFile, data: bytes) -> None:
    done = threading.Event()

    def make() -> bytes:
        done.set()
        return data

    assert side.write(make) and done.wait(10)
    while side.is_writing:
        os.sched_yield()


def test_cache_file_is_replaced_atomically_or_kept(
    side: CacheFile, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert side.read() is None
    write(side, b"first")
    assert side.read() == b"first" and not side.failed

    def full(handle: int) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as broken:
        broken.setattr(cache_file.os, "fsync", full)
        write(side, b"second")
    assert side.failed and side.read() == b"first" and os.listdir(tmp_path) == ["list"]
    write(side, b"third")
    assert side.read() == b"third" and not side.failed


def test_write_of_cache_file_blocks_nobody(side: CacheFile) -> None:
    gate = threading.Event()

    def make() -> bytes:
        gate.wait(10)
        return b"late"

    assert side.write(make) and not side.write(lambda: b"more")
    gate.set()
    while side.is_writing:
        os.sched_yield()
    assert side.read() == b"late"


def test_new_link_gets_announcement_and_pending_sync_requests_at_once() -> None:
    ips = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    seeds = tuple(f"{ip}:1" for ip in ips)
    settings = Local(
        "", "one", "core", ips[0], "z", "r", True, True, None, (1, 2), seeds, {}, {}, 1.5, (1, 0, 0), Bounds()
    )
    replica = Replica(settings, seed=7, delta_codecs=lambda name: None, rows={}, now=NOW)
    replica.step(NOW, WriteCompleted(1))
    asked = replica.step(NOW, ReadQuorum(1, 1.0))
    assert {
        one.recipient for one in asked if isinstance(one, Send) and isinstance(one.message, SyncRequest)
    } == set(ips[1:])
    again = [one for one in replica.step(NOW + NS_PER_MS, PeerConnected(ips[2])) if isinstance(one, Send)]
    assert {one.recipient for one in again} == {ips[2]}
    assert [type(one.message) for one in again] == [Announcement, SyncRequest]


class Dialled:
    """What is taken for a connection: it comes up once `up` is set, and then brings `sign`."""

    def __init__(self, sign: ControlNodeHeartbeat) -> None:
        self.up, self.transport, self.sign = asyncio.Event(), Mock(), sign

    async def recv(self) -> bytes:
        return codec.encode(self.sign)


def search_by_dials(dials: dict[str, OSError | Dialled]) -> tuple[CandidateSearch, Choice]:
    """One whose dials come to what is given."""

    async def dial(ip: str) -> Any:
        found = dials[ip]
        if isinstance(found, OSError):
            raise found
        await found.up.wait()
        return found

    selector, links = Choice("p", "z", "r", ()), Mock()
    links.dial = dial
    return CandidateSearch(selector, links, lambda: NOW, Mock()), selector


async def test_proxy_dials_the_next_node_beside_a_silent_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "BESIDE_S", 0.0)
    silent, there = (Dialled(ControlNodeHeartbeat((), True, 1, 0)) for _ in range(2))
    there.up.set()
    made, selector = search_by_dials({"a": OSError(), "b": silent, "c": there})
    found = await asyncio.wait_for(made.find_current(["a", "b", "c"]), 10)
    assert found is not None and found.ip == "c" and not there.transport.abort.called
    assert list(selector.failed) == ["a"]
    assert await search_by_dials({"a": OSError()})[0].find_current(["a"]) is None


def test_without_a_link_a_current_node_is_preferred_for_a_moment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "BESIDE_S", 0.0)
    old, late = (
        Dialled(ControlNodeHeartbeat((), False, 1, 60_000)),
        Dialled(ControlNodeHeartbeat((), True, 1, 0)),
    )
    old.up.set()

    async def run(up: bool) -> str:
        made, _ = search_by_dials({"a": old, "b": late})
        if up:
            asyncio.get_running_loop().call_soon(late.up.set)
        else:
            monkeypatch.setattr(candidate_search, "RESERVE_S", 0.0)
        found = await asyncio.wait_for(made.find_current(["a", "b"]), 10)
        assert found is not None
        return found.ip

    assert asyncio.run(run(False)) == "a" and not old.transport.abort.called
    monkeypatch.undo()
    monkeypatch.setattr(candidate_probe, "BESIDE_S", 0.0)
    assert asyncio.run(run(True)) == "b" and old.transport.abort.called


@pytest.mark.parametrize(("age_ms", "taken"), [(0, True), (60_000, False)])
def test_nearer_node_is_chosen_only_if_current(age_ms: int, taken: bool) -> None:
    there = Dialled(ControlNodeHeartbeat((), True, 1, age_ms))
    there.up.set()
    made, selector = search_by_dials({"a": there})
    found = asyncio.run(made.probe_nearer("a"))
    assert (found is not None) == taken and there.transport.abort.called == (not taken)
    assert ("a" in selector.failed) == (not taken)


async def test_node_that_answers_too_late_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "BESIDE_S", 0.0)
    one, other = (Dialled(ControlNodeHeartbeat((), True, 1, 0)) for _ in range(2))
    asked = candidate_probe.CandidateProbe(search_by_dials({"a": one, "b": other})[0].probe, ["a", "b"], 2)
    one.up.set()
    chosen = await asked.next_reply()
    other.up.set()
    await asyncio.sleep(0)  # It has come up, but is not told any more.
    asked.selected = chosen
    asked.close()
    for _ in range(5):
        await asyncio.sleep(0)
    assert other.transport.abort.called and not one.transport.abort.called


@pytest.mark.parametrize(("young", "dials"), [(0.0, 2), (60.0, 1)])
async def test_peer_that_dials_us_is_redialled_if_our_dial_hangs(
    monkeypatch: pytest.MonkeyPatch, young: float, dials: int
) -> None:
    monkeypatch.setattr(links, "MIN_DIAL_AGE_S", young)
    made = links.Links(PeerIdentity(CONTROL_NODE, "1", "a"), 1, Mock(), Mock(), Mock(), Mock())
    begun = list[str]()

    async def dial(ip: str) -> Any:
        begun.append(ip)
        await asyncio.Event().wait()

    made.dial = dial  # type: ignore[method-assign]
    made.set_peers(["2"])
    await asyncio.sleep(0)
    made.redial_if_stuck("3")
    made.redial_if_stuck("2")
    for _ in range(3):
        await asyncio.sleep(0)
    assert begun == ["2"] * dials
    await made.close()


@pytest.mark.parametrize("most", [200, 0])
def test_request_waits_a_moment_at_a_proxy_that_has_just_started(
    monkeypatch: pytest.MonkeyPatch, most: int
) -> None:
    monkeypatch.setattr(handling, "WAIT", 10.0)
    monkeypatch.setattr(awaited, "MOST", most)

    async def playing() -> None:
        async def well(head: bytes, body: bytes, writer: Any) -> bytes:
            return proxy_rig.answer(head)

        async with proxy_rig.Rig(well, items=ItemUpdate(proxy_rig.PLAIN.items, False)) as rig:
            heads = rig.shelves[0].heads
            asked = asyncio.ensure_future(rig.ask())
            if most:
                while not rig.proxy.admission.flying:
                    await asyncio.sleep(0)
                assert not heads
                rig.proxy.hear(ItemUpdate((), True))
            status, head, _ = await asked
            assert (status, b"retry-after" in head) == ((200, False) if most else (503, True))
            if not most:
                monkeypatch.setattr(awaited, "MOST", 1)
                monkeypatch.setattr(handling, "WAIT", 0.0)
                assert (await rig.ask())[0] == 503 and not heads

    proxy_rig.run(playing)

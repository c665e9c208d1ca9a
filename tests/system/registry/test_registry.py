"""Backends and proxies as three control nodes know them: heartbeats, sign-offs, time-outs, the directory."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from ambershift.system.messages.proxy_link import ItemUpdate
from tests.support.simulated_exchange import NS_PER_SECOND, SimulatedExchange


def is_ready(world: SimulatedExchange, id: str) -> list[bool]:
    return [id in node.ready_ids() for ip, node in world.nodes.items() if ip not in world.stopped]


async def test_draining_is_acknowledged_once_stored_and_reported_at_once(world: SimulatedExchange) -> None:
    replicated_state = world.nodes["1"].replicated_state
    sent = world.connect_proxy("proxy", "1", "a1")
    replicated_state.write_gate.clear()
    first = asyncio.ensure_future(world.send_heartbeat("a1-0", State="draining"))
    again = asyncio.ensure_future(world.send_heartbeat("a1-0", State="draining"))
    await world.run(0.3)
    assert not first.done() and not again.done()
    assert is_ready(world, "a1-0") == [False] * 3
    replicated_state.write_gate.set()
    assert [await first, await again] == [(200, {}), (200, {})]
    assert [item.key for item in replicated_state.written] == [("instance", "a1-0")]
    assert any(isinstance(one, ItemUpdate) and one.items and one.items[0].version == (1, "") for one in sent)
    # It drains for good, and later heartbeats write nothing; another control node writes for itself.
    await world.run(3)
    assert is_ready(world, "a1-0") == [False] * 3 and len(replicated_state.written) == 1
    assert await world.send_heartbeat("a1-0", "2", State="ready") == (200, {"HeartbeatTarget": "1:8080"})
    await world.run(0.3)
    assert is_ready(world, "a1-0") == [False] * 3 and not world.nodes["2"].replicated_state.written
    assert (
        await world.send_heartbeat("a1-0", "2", State="draining") == (200, {})
        and world.nodes["2"].replicated_state.written
    )
    assert await world.nodes["3"].registry.deregister("a1-0") == (200, {})
    assert all("a1-0" not in node.registry.endpoints() for node in world.nodes.values())


async def test_tombstone_that_is_not_stored_is_not_acknowledged(world: SimulatedExchange) -> None:
    world.nodes["1"].replicated_state.writes_succeed = False
    assert (await world.send_heartbeat("a1-0", State="draining"))[0] == 503
    assert (await world.nodes["1"].registry.deregister("a1-1"))[0] == 503
    assert (await world.send_heartbeat("a1-0", State="ready"))[0] == 200  # It drains all the same.
    await world.run(0.3)
    assert is_ready(world, "a1-0") == [False] * 3
    world.nodes["1"].replicated_state.writes_succeed = True
    assert (await world.send_heartbeat("a1-0", State="draining"))[0] == 200


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Address": "nowhere"}, "Address"),
        ({"Information": {}}, "Information.CapacitySlots"),
        ({"Condition": {"State": "odd", "Sequence": 1}}, "Condition.State"),
        ({"Condition": {"State": "ready", "Sequence": True}}, "Condition.Sequence"),
    ],
)
def test_malformed_heartbeat_is_rejected_with_the_field(change: dict[str, Any], field: str) -> None:
    world = SimulatedExchange("a1")
    world.add_backend("one", "s", "a1", "1")
    body = world.backends["one"][1] | change
    status, answer = asyncio.run(world.nodes["1"].registry.heartbeat("one", body))
    assert status == 400 and answer["Error"].startswith(f"{field}: ")


async def test_newest_heartbeat_wins_at_any_control_node(world: SimulatedExchange) -> None:
    def cold() -> list[bool]:
        return [node.registry.endpoints()["a1-0"].warming_until > world.now for node in world.nodes.values()]

    body = world.backends["a1-0"][1]
    late = body | {"Condition": body["Condition"] | {"ColdRemainingMs": 9000}}
    await world.send_heartbeat("a1-0")
    for ip in ("1", "3"):  # Where its heartbeats go, and elsewhere.
        assert (await world.nodes[ip].registry.heartbeat("a1-0", late))[0] == 200
        await world.run(0.4)
        assert cold() == [False] * 3
    await world.send_heartbeat("a1-0", "2", ColdRemainingMs=9000)
    await world.run(0.4)
    assert cold() == [True] * 3
    await world.send_heartbeat("a1-0", "1", ColdRemainingMs=0)
    await world.run(0.4)
    assert cold() == [False] * 3


async def test_heartbeat_is_redirected_to_the_nearest_live_control_node(world: SimulatedExchange) -> None:
    assert await world.send_heartbeat("b1-0", "1") == (200, {"HeartbeatTarget": "2:8080"})
    assert await world.send_heartbeat("b1-0", "2") == (200, {})
    world.add_backend("b2-0", "s0", "b2", "1")
    assert await world.send_heartbeat("b2-0") == (200, {"HeartbeatTarget": "2:8080"})
    assert await world.send_heartbeat("b2-0", "2") == (200, {})
    world.add_backend("b2-0", "s0", "b2", "1")
    world.stopped.add("2")
    assert await world.send_heartbeat("b2-0") == (200, {})


async def test_idle_exchange_costs_few_bytes_and_lost_messages_are_repaired(world: SimulatedExchange) -> None:
    before = world.bytes_sent
    await world.run(4)
    assert world.bytes_sent - before <= 4 * 6 * 12  # Six ways, an announcement each.
    world.cut_links |= {("1", "3")}  # Messages are lost, for less than any time-out.
    await world.send_heartbeat("a1-0", ColdRemainingMs=4000)
    world.add_backend("new", "s0", "a1", "1")
    await world.run(0.5)
    world.cut_links.clear()
    await world.run(1.2)
    instance = world.nodes["3"].registry.endpoints()["a1-0"]
    assert "new" in world.nodes["3"].ready_ids() and instance.warming_until > world.now + 2 * NS_PER_SECOND


async def test_silent_backend_times_out_and_returns(world: SimulatedExchange) -> None:
    kept = world.backends.pop("a1-0")
    await world.run(4.4)
    assert is_ready(world, "a1-0") == [True] * 3
    await world.run(1.5)
    assert is_ready(world, "a1-0") == [False] * 3
    world.backends["a1-0"] = kept
    await world.send_heartbeat("a1-0")
    await world.run(0.3)
    assert is_ready(world, "a1-0") == [True] * 3


async def test_mass_failure_extends_the_timeout(world: SimulatedExchange) -> None:
    silent = {id: world.backends.pop(id) for id in ("a1-0", "a1-1", "a1-2")}
    await world.run(6.2)
    assert all(is_ready(world, id) == [True] * 3 for id in silent)
    world.backends["a1-0"] = silent["a1-0"]
    await world.send_heartbeat("a1-0", "2")
    await world.run(3)
    assert [is_ready(world, id) for id in silent] == [[True] * 3, [False] * 3, [False] * 3]


async def test_backends_of_a_lost_control_node_have_time_to_move(world: SimulatedExchange) -> None:
    world.stopped.add("1")
    lost = {id: world.backends.pop(id) for id in list(world.backends) if id.startswith("a1")}
    await world.run(2)
    world.backends["a1-0"] = lost["a1-0"]
    await world.send_heartbeat("a1-0", "3")
    await world.run(3)
    assert all(is_ready(world, id) == [True] * 2 for id in lost)
    await world.run(1)
    assert [is_ready(world, id) for id in lost] == [[True] * 2, *[[False] * 2] * 3]


async def test_backends_of_a_restarted_control_node_stay_listed(world: SimulatedExchange) -> None:
    kept = {id: world.backends.pop(id) for id in list(world.backends) if id.startswith("a1")}
    world.start("1")
    await world.run(4)
    assert [is_ready(world, id)[1:] for id in sorted(kept)] == [[True] * 2] * 4
    world.backends["a1-1"] = kept["a1-1"]
    await world.send_heartbeat("a1-1")
    await world.run(2)
    assert [is_ready(world, id)[1:] for id in sorted(kept)] == [[False] * 2, [True] * 2, *[[False] * 2] * 2]


async def test_control_node_without_contact_rejects_heartbeats_and_times_out_nobody(
    world: SimulatedExchange,
) -> None:
    world.cut_links |= {(one, other) for one in "123" for other in "123" if "1" in (one, other)}
    moved = {id: kept for id, kept in world.backends.items() if kept[0] == "1"}
    await world.run(0.1)
    assert (await world.send_heartbeat("a1-0"))[0] == 503
    for id in moved:
        await world.send_heartbeat(id, "2")
    del world.backends["b1-0"]
    await world.run(8)
    assert world.nodes["1"].ready_ids() == {*world.backends, "b1-0"}
    assert world.nodes["3"].ready_ids() == set(world.backends)
    world.cut_links.clear()
    await world.run(1.5)
    assert world.nodes["1"].ready_ids() == set(world.backends)


async def test_timeouts_never_empty_a_service(world: SimulatedExchange) -> None:
    for id in [id for id in world.backends if id[-1] in "02"]:  # All of service s0.
        del world.backends[id]
    await world.run(12)
    assert all(is_ready(world, f"{zone}-0") == [True] * 3 for zone in ("a1", "b1", "c1"))
    world.add_backend("new", "s0", "a1", "1")
    await world.run(0.3)
    assert world.nodes["3"].ready_ids() == set(world.backends)


async def test_paused_process_does_not_time_out_everybody(world: SimulatedExchange) -> None:
    sent = world.connect_proxy("proxy", "1", "a1")
    world.paused.add("1")
    await world.run(30)
    assert not [id for id in world.nodes["2"].ready_ids() if id.startswith("a1")]
    world.paused.clear()
    late = {id: world.backends.pop(id) for id in list(world.backends) if id.startswith("a1")}
    world.nodes["1"].registry.tick()  # Before it has read what has arrived meanwhile.
    assert world.nodes["1"].registry.proxy_addresses("a", "a1") == ["proxy:80"]
    await world.run(1)
    assert len([id for id in world.nodes["1"].ready_ids() if id.startswith("a1")]) == 4 and sent
    world.backends |= late
    await world.run(3)
    assert world.nodes["2"].ready_ids() == set(world.backends)


async def test_address_belongs_to_the_instance_seen_last(world: SimulatedExchange) -> None:
    old = world.backends.pop("a1-0")
    world.add_backend("b1-new", "s9", "b1", "2", address="a1-0:80")
    await world.run(0.3)
    assert is_ready(world, "a1-0") == [False] * 3 and is_ready(world, "b1-new") == [True] * 3
    old[1]["Condition"]["Sequence"] += 5
    assert await world.nodes["3"].registry.heartbeat("a1-0", old[1]) == (200, {"HeartbeatTarget": "1:8080"})
    await world.run(0.3)
    assert is_ready(world, "a1-0") == [False] * 3 and is_ready(world, "b1-new") == [True] * 3


async def test_directory_returns_the_nearest_ready_proxies(world: SimulatedExchange) -> None:
    find = world.nodes["3"].registry.proxy_addresses
    assert find("a", "a1") == []
    for name, ip, zone in (("p", "1", "a1"), ("q", "1", "a2"), ("r", "2", "b1"), ("s", "3", "b1")):
        world.connect_proxy(name, ip, zone)
    world.connect_proxy("t", "1", "a1", ready=False)
    await world.run(0.3)
    assert sorted(find("a", "a1")) == ["p:80", "q:80"]  # There is but one in the zone: those of the region.
    assert sorted(find("b", "b1")) == ["r:80", "s:80"] and len(find("c", "c1")) == 4
    assert len({tuple(find("c", "c1")) for _ in range(20)}) > 1
    assert world.nodes["3"].registry.max_proxies() == 5 + 2 + 6
    world.connect_proxy("s", "3", "b1", leaving=True)
    assert find("b", "b2") == ["r:80"]
    world.connect_proxy("s", "2", "b1")  # A message that was on its way: this incarnation drains.
    world.disconnect_proxy("p")
    world.disconnect_proxy("r")
    await world.run(0.5)
    assert find("b", "b1") == ["r:80"] and sorted(find("a", "a1")) == ["p:80", "q:80"]
    world.disconnect_proxy("s")
    world.connect_proxy("r", "1", "b1", ready=False)  # On another link before it is taken for lost here.
    await world.run(0.3)
    assert "r:80" not in find("b", "b1")
    world.connect_proxy("r", "1", "b1")
    await world.run(0.7)
    assert find("b", "b1") == ["r:80"] and find("a", "a1") == ["q:80"]
    world.stopped.add("1")
    await world.run(1.2)
    assert len(find("c", "c1")) == 2
    await world.run(1.0)
    assert find("c", "c1") == []
    world.start("3")
    await world.run(6)
    assert (
        world.nodes["3"].registry.max_proxies() == 5 + 2 + 6
    )  # The most that any control node has ever known.


async def test_proxies_of_a_silent_control_node_are_left_out_while_half_remain(
    world: SimulatedExchange,
) -> None:
    find = world.nodes["3"].registry.proxy_addresses
    for name, ip, zone in (("p", "1", "a1"), ("q", "1", "a1"), ("r", "2", "b1"), ("s", "3", "b1")):
        world.connect_proxy(name, ip, zone)
    for name in "tu":  # These don't count.
        world.connect_proxy(name, "3", "c1", ready=False)
    await world.run(0.3)
    assert sorted(find("a", "a1")) == ["p:80", "q:80"]
    world.stopped.add("1")
    await world.run(0.1)
    assert sorted(find("a", "a1")) == ["r:80", "s:80"]
    world.connect_proxy("p", "2", "a1")  # Only its control node was lost.
    await world.run(0.3)
    assert find("a", "a1") == ["p:80"]
    world.stopped.add("2")  # Of four, one is left. It would be overloaded, and the others may be alive.
    await world.run(0.1)
    assert sorted(find("a", "a1")) == ["p:80", "q:80"]


async def test_silent_proxy_leaves_the_directory_until_its_next_message(world: SimulatedExchange) -> None:
    world.connect_proxy("p", "1", "a1")
    await world.run(0.5)
    kept = world.proxies.pop("p")
    await world.run(3.2)
    assert world.nodes["2"].registry.proxy_addresses("a", "a1") == []
    world.proxies["p"] = kept
    await world.run(1.3)
    assert world.nodes["2"].registry.proxy_addresses("a", "a1") == ["p:80"]


class ExchangeMachine(RuleBasedStateMachine):
    """Moves, crashes, drains, cuts and restarts in any order: once all is calm, the lists have what runs."""

    zones = st.sampled_from(["a1", "b1", "c1"])
    ips = st.sampled_from(["1", "2", "3"])

    @initialize()
    def begin(self) -> None:
        self.world, self.started = SimulatedExchange("a1", "b1", "c1"), 0
        self.run(4)

    def run(self, seconds: float) -> None:
        asyncio.run(self.world.run(seconds))

    @rule(zone=zones, ip=ips, reuse=st.booleans())
    def start(self, zone: str, ip: str, reuse: bool) -> None:
        self.started += 1
        address = ""
        if reuse and self.world.backends:
            old = sorted(self.world.backends)[0]
            address = self.world.backends.pop(old)[1]["Address"]
            self.run(2)
        self.world.add_backend(f"i{self.started}", f"s{self.started % 2}", zone, ip, address=address)

    @rule(at=st.integers(0, 9), ip=ips)
    def move(self, at: int, ip: str) -> None:
        if self.world.backends and ip not in self.world.stopped:
            asyncio.run(
                self.world.send_heartbeat(sorted(self.world.backends)[at % len(self.world.backends)], ip)
            )

    @rule(at=st.integers(0, 9), drain=st.booleans())
    def end(self, at: int, drain: bool) -> None:
        if len(self.world.backends) > 2:
            id = sorted(self.world.backends)[at % len(self.world.backends)]
            if drain and self.world.backends[id][0] not in self.world.stopped:
                asyncio.run(self.world.send_heartbeat(id, State="draining"))
            del self.world.backends[id]

    @rule(one=ips, other=ips)
    def cut(self, one: str, other: str) -> None:
        self.world.cut_links ^= {(one, other)}

    @rule(ip=ips)
    def restart(self, ip: str) -> None:
        self.world.start(ip)

    @rule(tenths=st.integers(1, 60))
    def wait(self, tenths: int) -> None:
        self.run(tenths / 10)

    def teardown(self) -> None:
        self.world.cut_links.clear()
        self.run(12)
        services = {body["Information"]["Service"] for _, body, _ in self.world.backends.values()}
        for node in self.world.nodes.values():
            ready = [endpoint for endpoint in node.registry.endpoints().values() if not endpoint.draining]
            assert {endpoint.id for endpoint in ready if endpoint.service in services} == set(
                self.world.backends
            )


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=25, stateful_step_count=12, deadline=None, derandomize=True)

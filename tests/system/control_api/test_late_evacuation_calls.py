"""Evacuation calls that a partition or a stopped process held up until their caller had left."""

from __future__ import annotations

import asyncio

import pytest

from ambershift.system.control_api.evacuations import DISCONNECT_WAIT_S, DropReason
from ambershift.system.control_api.log_events import EVACUATION_APPLIED, EVACUATION_CALL_DROPPED
from ambershift.system.control_api.pause_detector import STALE_PERIOD_NS, PauseDetector
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.fake_control_nodes import IPS, ONE_WAY_DELAY_S, FakeCluster

ZONE = "riga-a"
INITIATE, TERMINATE = "evacuation.initiate", "evacuation.terminate"
SILENCE_S = 1.0  # A caller leaves after this.


def is_evacuated(cluster: FakeCluster) -> bool:
    return cluster.items[("zone", ZONE)].body == b"true"


def drop_reasons(cluster: FakeCluster) -> list[str]:
    return [fields["reason"] for _, number, fields in cluster.logged if number == EVACUATION_CALL_DROPPED]


@pytest.mark.parametrize("round_trip_s", [0.0, 0.02, 0.07, 0.15, 0.28])
@pytest.mark.parametrize(("held_up", "later"), [(TERMINATE, INITIATE), (INITIATE, TERMINATE)])
async def test_a_held_up_call_undoes_no_later_one(
    cluster: FakeCluster, held_up: str, later: str, round_trip_s: float
) -> None:
    # Guards against EVAC: the end of the connection comes a round trip after the request that TCP resends.
    slow, other, _ = IPS
    for operation in (later, held_up, later):
        assert (await cluster.rpc(other, operation, ZONE))[0] == 200
    item = cluster.items[("zone", ZONE)]
    assert await cluster.rpc(slow, held_up, ZONE, closed_after_s=round_trip_s) == (0, None)
    await asyncio.sleep(1)
    assert cluster.items[("zone", ZONE)] == item
    assert drop_reasons(cluster) == [DropReason.CALLER_DISCONNECTED]


async def test_a_caller_that_leaves_during_the_quorum_read_gets_nothing_applied(cluster: FakeCluster) -> None:
    # Guards against EVAC: the version would be above those of calls acknowledged since the caller left.
    during_the_read_s = DISCONNECT_WAIT_S + ONE_WAY_DELAY_S
    assert await cluster.rpc(IPS[0], INITIATE, ZONE, closed_after_s=during_the_read_s) == (0, None)
    await asyncio.sleep(1)
    assert not cluster.items and drop_reasons(cluster) == [DropReason.CALLER_DISCONNECTED]


@pytest.mark.parametrize("cut_s", [0.2, 0.5, 0.65, 0.8, 0.95, 1.0, 1.2, 2.0, 30.0])
@pytest.mark.parametrize("round_trip_s", [0.006, 0.07, 0.15])
async def test_whatever_the_length_of_the_partition_the_last_call_wins(
    cluster: FakeCluster, cut_s: float, round_trip_s: float
) -> None:
    # Guards against EVAC: a call that arrives before its caller leaves is executed before the next one.
    slow, other, _ = IPS
    assert (await cluster.rpc(slow, INITIATE, ZONE))[0] == 200
    request_arrives_s = cut_s + round_trip_s / 2
    end_arrives_s = max(SILENCE_S + round_trip_s / 2, request_arrives_s + round_trip_s)

    async def hold_up() -> None:
        await asyncio.sleep(request_arrives_s)
        await cluster.rpc(slow, TERMINATE, ZONE, closed_after_s=end_arrives_s - request_arrives_s)

    held_up = asyncio.create_task(hold_up())
    await asyncio.sleep(SILENCE_S)
    assert (await cluster.rpc(other, TERMINATE, ZONE))[0] == 200
    assert (await cluster.rpc(other, INITIATE, ZONE))[0] == 200
    await held_up
    await asyncio.sleep(1)
    assert is_evacuated(cluster)


async def test_a_call_whose_caller_waits_is_acknowledged_within_its_patience(cluster: FakeCluster) -> None:
    began = cluster.loop.now
    assert (await cluster.rpc(IPS[0], INITIATE, ZONE, closed_after_s=SILENCE_S))[0] == 200
    patience_s = SILENCE_S - 2 * ONE_WAY_DELAY_S  # The call and its answer are on their way meanwhile.
    assert cluster.loop.now - began < patience_s and is_evacuated(cluster)
    (fields,) = [fields for _, number, fields in cluster.logged if number == EVACUATION_APPLIED]
    assert (fields["zone"], fields["evacuated"], fields["version"]) == (ZONE, True, 1)
    assert DISCONNECT_WAIT_S * 1000 <= fields["read_ms_ago"] < patience_s * 1000


@pytest.mark.parametrize("stopped_after_s", [0.1, DISCONNECT_WAIT_S + ONE_WAY_DELAY_S])
async def test_a_process_stopped_while_it_executes_a_call_drops_it(
    cluster: FakeCluster, stopped_after_s: float
) -> None:
    node = cluster.nodes[IPS[0]]
    node.tick()
    call = asyncio.create_task(cluster.rpc(IPS[0], INITIATE, ZONE))
    await asyncio.sleep(stopped_after_s)
    cluster.loop.now += 5
    assert (await call)[0] == 503
    assert not cluster.items and len(drop_reasons(cluster)) == 1


async def test_a_call_without_quorum_contact_is_dropped_at_once(cluster: FakeCluster) -> None:
    cluster.stores[IPS[0]].has_contact = False
    began = cluster.loop.now
    assert (await cluster.rpc(IPS[0], INITIATE, ZONE))[0] == 503
    assert cluster.loop.now == began and drop_reasons(cluster) == [DropReason.NO_QUORUM_CONTACT]


def test_a_pause_after_a_call_was_read_is_noticed_also_when_others_are_current_again() -> None:
    detector = PauseDetector()
    detector.tick(0)
    assert not detector.was_stopped_since(0, NS_PER_SECOND // 2)
    resumed_at = 5 * NS_PER_SECOND
    detector.tick(resumed_at)
    later = resumed_at + STALE_PERIOD_NS
    assert detector.was_stopped_since(NS_PER_SECOND, later) and not detector.is_stale(later)
    assert not detector.was_stopped_since(resumed_at, later)

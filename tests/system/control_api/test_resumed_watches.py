"""Watches that resume from a revision that their callers saved, at nodes that keep copies of the group."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from ambershift.system.control_api.log_events import WATCH_EVENTS_PRUNED, WATCH_MET_OLD_COPY
from ambershift.system.control_api.subscriptions import COPY_VALIDITY_NS, FRESHNESS_NS, Subscriptions
from ambershift.system.coordination.groups import EMPTY_GROUP, Group, decode_group, encode_group
from ambershift.system.messages.forwarding import ForwardedResponse
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.fake_control_nodes import IPS, FakeCluster, proposer_ranking

GROUP = "g1."
FIRST_CHOICE, TAKES_OVER, OTHER = proposer_ranking("g/" + GROUP)
PUT_INTERVAL_S = 0.08
WATCH_WAIT_MS = 500


class Writer:
    """An application that puts new values all the time; `newest` is the last acknowledged revision."""

    def __init__(self, cluster: FakeCluster) -> None:
        self.cluster = cluster
        self.newest = 0
        self._count = 0

    async def put(self, at: str) -> None:
        self._count += 1
        status, reply = await self.cluster.rpc(at, "cells.replace", GROUP + "a", {"Value": self._count})
        if status == 200:
            self.newest = reply["Revision"]

    async def run(self) -> None:
        while True:
            await self.put(OTHER)
            await asyncio.sleep(PUT_INTERVAL_S)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        task = asyncio.create_task(self.run())
        yield
        task.cancel()


async def watch(cluster: FakeCluster, at: str, after: int) -> tuple[int, Any]:
    return await cluster.call(at, "GET", f"/ambershift/watch/{GROUP}?after={after}&WaitMs={WATCH_WAIT_MS}")


async def assert_resumed_watch_is_not_cut_off(writer: Writer, at: str, saved: int) -> None:
    acknowledged = writer.newest
    status, reply = await watch(writer.cluster, at, saved)
    if status == 410:
        return  # It is older than `HistoryS`.
    assert status == 200
    assert reply["Revision"] >= acknowledged
    assert [event["Revision"] for event in reply["Events"]] == list(range(saved + 1, reply["Revision"] + 1))
    assert (await watch(writer.cluster, at, reply["Revision"]))[0] == 200


@pytest.mark.parametrize("idle_s", [0.5, 5, 28, 42, 58])
@pytest.mark.parametrize("away_s", [0.9, 3.5, 12])
async def test_a_node_that_proposed_for_a_while_answers_no_watch_from_its_old_copy(
    cluster: FakeCluster, away_s: float, idle_s: float
) -> None:
    # Guards against LOST: the copy's revision is pruned at the proposer, so the watch's next call gets 410.
    writer = Writer(cluster)
    async with writer.running():
        await asyncio.sleep(3)
        saved = writer.newest
        cluster.partition(FIRST_CHOICE)
        await asyncio.sleep(away_s)
        cluster.partition()
        await asyncio.sleep(idle_s)
        for at in IPS:
            await assert_resumed_watch_is_not_cut_off(writer, at, saved)
    assert cluster.stores[TAKES_OVER].rounds > 0


@pytest.mark.parametrize("away_s", [2, 20, 45])
async def test_a_proposer_that_was_away_answers_no_watch_from_its_old_copy(
    cluster: FakeCluster, away_s: float
) -> None:
    # Guards against LOST: the first choice too keeps a copy, and others have proposed since.
    writer = Writer(cluster)
    async with writer.running():
        await asyncio.sleep(1)
        await watch(cluster, FIRST_CHOICE, writer.newest)  # It keeps a copy from now on.
        saved = writer.newest - 1
        cluster.partition(FIRST_CHOICE)
        await asyncio.sleep(away_s)
    cluster.partition()
    for at in IPS:
        await assert_resumed_watch_is_not_cut_off(writer, at, saved)


async def test_old_copies_and_pruned_events_are_logged(cluster: FakeCluster) -> None:
    writer = Writer(cluster)
    async with writer.running():
        await asyncio.sleep(1)
        cluster.partition(FIRST_CHOICE)
        await asyncio.sleep(2)
        cluster.partition()
        await asyncio.sleep(40)
        assert (await watch(cluster, TAKES_OVER, 1))[0] == 410
    logged = {number: fields for ip, number, fields in cluster.logged if ip == TAKES_OVER}
    assert logged[WATCH_EVENTS_PRUNED] == {"group": GROUP, "after": 1}
    assert logged[WATCH_MET_OLD_COPY]["revision"] > 1
    assert 38_000 < logged[WATCH_MET_OLD_COPY]["read_ms_ago"] < 42_000


def group_at(revision: int) -> Group:
    group = EMPTY_GROUP
    for number in range(revision):
        group = group.put(GROUP + "a", number, 0)
    return group


def test_a_copy_answers_for_as_long_as_it_is_valid_and_only_where_the_node_keeps_it_fresh() -> None:
    subscriptions = Subscriptions()
    subscriptions.retain(0, GROUP, group_at(5), 0)
    assert subscriptions.subscribe(COPY_VALIDITY_NS - 1, 1, GROUP, 3, False) is None
    assert subscriptions.subscribe(COPY_VALIDITY_NS - 1, 2, GROUP, 3, True) is not None
    assert subscriptions.subscribe(COPY_VALIDITY_NS, 3, GROUP, 3, True) is None
    assert subscriptions.groups_to_refresh(COPY_VALIDITY_NS) == [GROUP]
    completed = subscriptions.update(COPY_VALIDITY_NS, GROUP, group_at(5), COPY_VALIDITY_NS)
    assert [token for token, _ in completed] == [1, 3]


def test_a_round_that_outlasted_a_pause_of_the_process_completes_no_watch() -> None:
    # Guards against LOST: what was read before the pause may be pruned by now.
    subscriptions = Subscriptions()
    subscriptions.subscribe(0, 1, GROUP, 3, True)
    resumed_at = 40 * NS_PER_SECOND
    assert subscriptions.update(resumed_at, GROUP, group_at(5), 0) == []
    assert subscriptions.subscribe(resumed_at, 2, GROUP, 3, True) is None
    assert subscriptions.groups_to_refresh(resumed_at) == [GROUP]
    assert len(subscriptions.update(resumed_at, GROUP, group_at(5), resumed_at - FRESHNESS_NS + 1)) == 2


def test_a_round_that_is_reported_late_replaces_no_newer_copy() -> None:
    subscriptions = Subscriptions()
    subscriptions.retain(0, GROUP, group_at(5), 0)
    subscriptions.retain(1, GROUP, group_at(4), 1)
    reply = subscriptions.subscribe(2, 1, GROUP, 4, True)
    assert reply is not None and b'"Revision":5' in reply.body


def test_a_notification_is_followed_although_an_old_copy_has_its_revision() -> None:
    # Guards against a watch that waits for events that the node has but doesn't answer from.
    subscriptions = Subscriptions()
    subscriptions.retain(0, GROUP, group_at(5), 0)
    assert subscriptions.subscribe(COPY_VALIDITY_NS, 1, GROUP, 3, False) is None
    assert subscriptions.revision_to_fetch_after(GROUP, 5) == 3


def put_elsewhere(cluster: FakeCluster) -> int:
    """A put through a node that isn't simulated. Returns the group's revision after it."""
    register = "g/" + GROUP
    group = decode_group(cluster.registers[register]).put(GROUP + "a", "elsewhere", 0)
    cluster.registers[register] = encode_group(group)
    return group.revision


async def test_a_node_that_was_stopped_passes_on_no_reply_from_before(
    cluster: FakeCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against LOST: the reply waited in a socket, and its revision is pruned by now.
    writer = Writer(cluster)
    await writer.put(OTHER)
    node, newest = cluster.nodes[OTHER], 0
    receive = node.handle_message

    def receive_after_a_stop(sender: str, message: msgspec.Struct) -> None:
        nonlocal newest
        if isinstance(message, ForwardedResponse) and b"Events" in message.body and not newest:
            cluster.loop.now += 40
            newest = put_elsewhere(cluster)
        receive(sender, message)

    path = f"/ambershift/watch/{GROUP}?after={writer.newest}&WaitMs=60000"
    waiting = asyncio.create_task(cluster.call(OTHER, "GET", path))
    await asyncio.sleep(0.2)
    monkeypatch.setattr(node, "handle_message", receive_after_a_stop)
    await writer.put(TAKES_OVER)
    status, reply = await waiting
    assert newest and (status, reply["Revision"]) == (200, newest)


async def test_a_node_that_was_stopped_passes_on_no_events_that_it_asked_for_before(
    cluster: FakeCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against LOST, as above: the events that a notification made the node fetch.
    writer = Writer(cluster)
    await writer.put(OTHER)
    node, newest = cluster.nodes[FIRST_CHOICE], 0
    receive = node.handle_message

    def receive_after_a_stop(sender: str, message: msgspec.Struct) -> None:
        nonlocal newest
        if isinstance(message, ForwardedResponse) and not newest:
            cluster.loop.now += 40
            newest = put_elsewhere(cluster)
        receive(sender, message)

    path = f"/ambershift/watch/{GROUP}?after={writer.newest}&WaitMs=60000"
    waiting = asyncio.create_task(cluster.call(FIRST_CHOICE, "GET", path))
    await asyncio.sleep(0.2)
    monkeypatch.setattr(node, "handle_message", receive_after_a_stop)
    cluster.stores[FIRST_CHOICE].faults = ["refused"]
    await writer.put(TAKES_OVER)  # It proposes, and notifies the first choice.
    status, reply = await waiting
    assert newest and (status, reply["Revision"]) == (200, newest)

"""Which node a call is forwarded to, and which answers of it count."""

from __future__ import annotations

import asyncio

from ambershift.system.control_api.pending_calls import PendingCalls
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse
from tests.support.fake_control_nodes import ONE_WAY_DELAY_S, FakeCluster, proposer_ranking


async def number(cluster: FakeCluster, at: str) -> int:
    return (await cluster.call(at, "POST", "/ambershift/numbers/n"))[0]


async def test_unresponsive_proposer_is_skipped_for_a_second_despite_heartbeats(cluster: FakeCluster) -> None:
    owner, other, entry = proposer_ranking("n/n")
    cluster.stores[entry].is_responsive = lambda ip: True  # type: ignore[method-assign]
    cluster.partition(owner)
    assert await number(cluster, entry) == 504
    begun = cluster.loop.now
    assert [await number(cluster, entry) for _ in range(3)] == [200] * 3
    assert cluster.loop.now - begun < 0.5 and cluster.stores[other].rounds == 3
    cluster.partition()
    await asyncio.sleep(1.1)
    assert await number(cluster, entry) == 200 and cluster.stores[owner].rounds == 1
    # One that answers, but that it is out of touch.
    cluster.stores[owner].has_contact = False
    assert await number(cluster, entry) == 200 and cluster.stores[other].rounds == 4


async def test_watch_moves_back_to_preferred_proposer(cluster: FakeCluster) -> None:
    """Puts through the first choice are told to nobody: a watch must wait there."""
    owner, other, entry = proposer_ranking("g/g.")
    assert (await cluster.rpc(entry, "cells.replace", "g.a", {"Value": "a", "AppliesTo": 0}))[0] == 200
    cluster.partition(owner)
    await asyncio.sleep(0.4)
    watch = asyncio.ensure_future(cluster.call(entry, "GET", "/ambershift/watch/g.?after=1&WaitMs=9000"))
    await asyncio.sleep(0.3)
    cluster.partition()
    await asyncio.sleep(0.8)
    assert (await cluster.rpc(other, "cells.replace", "g.b", {"Value": "b", "AppliesTo": 0}))[0] == 200
    await asyncio.sleep(2 * ONE_WAY_DELAY_S)
    assert watch.done() and watch.result()[1]["Revision"] == 2


async def test_outcome_counts_only_from_last_node_forwarded_to() -> None:
    open_calls = PendingCalls(lambda to, message: None, 7)
    at = open_calls.next_number()
    open_calls.forward("a", ForwardedCall(at, "numbers", "n", b"", 100)).cancel()
    await asyncio.sleep(0)
    second = open_calls.forward("b", ForwardedCall(at, "numbers", "n", b"", 100))
    open_calls.complete(
        "a", ForwardedResponse(at, 503, b"")
    )  # Late: the forwarded call is with the other now.
    assert not second.done()
    open_calls.complete("b", ForwardedResponse(at, 200, b"{}"))
    assert (await second).status == 200

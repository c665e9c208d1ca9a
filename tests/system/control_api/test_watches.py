"""A watch never replies that there are no events where a put had been acknowledged."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.calls import parse_call
from ambershift.system.coordination.revision_ages import RevisionAges
from tests.support.fake_control_nodes import FakeCluster, proposer_ranking


async def test_an_empty_watch_reply_is_confirmed_by_a_quorum_read(cluster: FakeCluster) -> None:
    proposer, other, third = proposer_ranking("g/g1.")
    put = {"Value": "v1", "AppliesTo": 0}
    assert await cluster.rpc(proposer, "cells.replace", "g1.a", put) == (200, {"Revision": 1})
    # A put through a node whose notifications don't reach the one where watches wait.
    body = msgspec.json.encode({"Value": "v2", "AppliesTo": 1})
    call = parse_call("cells.replace", "g1.a", body, "x/1", RevisionAges(20_000_000_000))
    for waiting_at in (proposer, third):
        status, reply = await cluster.call(waiting_at, "GET", "/ambershift/watch/g1.?after=1&WaitMs=300")
        assert (status, reply) == (200, {"Events": [], "Revision": 1})
    await cluster.stores[other].change("g/g1.", call.change, 1.0)
    for waiting_at in (proposer, third):
        status, reply = await cluster.call(waiting_at, "GET", "/ambershift/watch/g1.?after=1&WaitMs=300")
        assert status == 200 and [event["Revision"] for event in reply["Events"]] == [2]
    cluster.stores[proposer].faults = ["lost"] * 9
    assert (await cluster.call(proposer, "GET", "/ambershift/watch/g1.?after=2&WaitMs=300"))[0] == 503

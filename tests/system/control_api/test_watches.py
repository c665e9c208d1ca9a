"""A watch never tells that there is nothing where a put had been acknowledged."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.calls import parse_call
from ambershift.system.coordination.revision_ages import RevisionAges
from tests.support.control_api_world import World, order, play


def test_an_empty_answer_is_confirmed() -> None:
    async def story(world: World) -> None:
        owner, other, third = order("g/g1.")
        put = {"Value": "v1", "AppliesTo": 0}
        assert await world.rpc(owner, "cells.replace", "g1.a", put) == (200, {"Revision": 1})
        # A put that went through a machine none of whose words reached the one where watches wait.
        body = msgspec.json.encode({"Value": "v2", "AppliesTo": 1})
        call = parse_call("cells.replace", "g1.a", body, "x/1", RevisionAges(20_000_000_000))
        for waits in (owner, third):
            status, told = await world.call(waits, "GET", "/ambershift/watch/g1.?after=1&WaitMs=300")
            assert (status, told) == (200, {"Events": [], "Revision": 1})
        await world.ledgers[other].change("g/g1.", call.change, 1.0)
        for waits in (owner, third):
            status, told = await world.call(waits, "GET", "/ambershift/watch/g1.?after=1&WaitMs=300")
            assert status == 200 and [event["Revision"] for event in told["Events"]] == [2]
        world.ledgers[owner].faults = ["lost"] * 9
        assert (await world.call(owner, "GET", "/ambershift/watch/g1.?after=2&WaitMs=300"))[0] == 503

    play(story)

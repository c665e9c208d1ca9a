"""What callers of several control nodes are answered where there are no faults."""

from __future__ import annotations

from typing import Any

import pytest

from tests.support.fake_control_nodes import IPS, FakeCluster, proposer_ranking

ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "PathPrefix": "/x/",
    "RouteType": "idempotent",
    "TimeoutMs": 1500,
    "Service": "s1",
    "ServingRegions": [],
    "ConfigVersion": "r7",
}
SERVICE = {"Name": "s1", "HealthPath": "/health", "ColdStartS": 3.0, "Tls": False, "ConfigVersion": "r7"}


def table(*items: dict[str, Any]) -> dict[str, Any]:
    columns = list(dict.fromkeys(name for item in items for name in item))
    return {"Columns": columns, "Rows": [[item.get(name) for name in columns] for item in items]}


async def test_each_call_is_answered_as_the_protocol_says(cluster: FakeCluster) -> None:
    one, two, three = IPS
    limits = {"HeaderBytes": 16384, "ConfigVersion": "r7"}
    first = {
        "Upsert": {"Routes": table(ROUTE), "Services": table(SERVICE), "Limits": limits},
        "Remove": {"Routes": []},
    }
    assert await cluster.rpc(one, "configuration.modify", body=first) == (200, {})
    status, back = await cluster.rpc(two, "configuration.retrieve")
    assert status == 200 and back["Limits"] == limits
    assert dict(zip(back["Routes"]["Columns"], back["Routes"]["Rows"][0], strict=True)) == ROUTE
    assert await cluster.rpc(one, "evacuation.initiate", "riga-a") == (200, {})
    assert (await cluster.rpc(one, "evacuation.initiate", "nowhere"))[0] == 404
    beat = {"Condition": {"Sequence": 4}}
    assert await cluster.rpc(three, "instances.heartbeat", "i-1", beat) == (200, {})
    assert cluster.registry.heartbeats == [("i-1", beat)]
    found = await cluster.call(one, "GET", "/ambershift/resolution?Name=a.example&Region=riga&Zone=riga-a")
    assert found[0] == 200 and len(found[1]["Addresses"]) == 64 and found[1]["TtlS"] == 2
    assert (await cluster.call(one, "GET", "/ambershift/resolution?Region=elsewhere"))[0] == 503
    for value, ip in enumerate((one, two, three, one), 1):
        assert await cluster.call(ip, "POST", "/ambershift/numbers/n2", b"{}") == (200, {"Value": value})
    ask = {"Holder": "a", "HoldMs": 3000}
    assert await cluster.rpc(one, "locks.initiate", "l1", ask) == (200, {"fence": 1})
    assert (await cluster.rpc(two, "locks.initiate", "l1", {**ask, "Holder": "b"}))[0] == 409
    assert (await cluster.rpc(three, "locks.heartbeat", "l1", {**ask, "fence": 1}))[0] == 200
    assert (await cluster.rpc(two, "locks.terminate", "l1", {"Holder": "a", "fence": 1}))[0] == 200
    assert await cluster.rpc(two, "locks.initiate", "l1", {**ask, "Holder": "b"}) == (200, {"fence": 2})
    put = {"Value": "v1", "AppliesTo": 0}
    assert await cluster.rpc(one, "cells.retrieve", "g1.a") == (404, None)
    assert await cluster.rpc(one, "cells.replace", "g1.a", put) == (200, {"Revision": 1})
    assert await cluster.rpc(two, "cells.replace", "g1.a", put) == (200, {"Revision": 1})
    assert await cluster.rpc(two, "cells.replace", "g1.a", {**put, "Value": "v2"}) == (
        412,
        {"Revision": 1},
    )
    assert await cluster.rpc(three, "cells.retrieve", "g1.a") == (200, {"Value": "v1", "Revision": 1})
    for wrong in ("locks.initiate", "locks.heartbeat", "cells.replace", "instances.heartbeat"):
        assert (await cluster.rpc(one, wrong, "x", b"[1"))[0] == 400
    assert (await cluster.rpc(one, "numbers", "x"))[0] == 404
    assert (await cluster.call(one, "GET", "/ambershift/rpc?call=cells.retrieve&of=x"))[0] == 405


@pytest.mark.parametrize("at", IPS)
async def test_a_call_costs_one_forwarding_and_one_round(cluster: FakeCluster, at: str) -> None:
    begun = cluster.loop.now
    assert (await cluster.call(at, "POST", "/ambershift/numbers/n", b"{}"))[0] == 200
    assert sum(store.rounds for store in cluster.stores.values()) == 1
    assert cluster.stores[proposer_ranking("n/n")[0]].rounds == 1
    assert cluster.loop.now - begun < 0.15

"""What callers are answered when the proposer fails, doesn't respond, or doesn't know the outcome."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest

from ambershift.system.control_api.subscriptions import FRESHNESS_NS, Subscriptions
from ambershift.system.coordination.groups import Group, decode_group
from tests.support.fake_control_nodes import IPS, ONE_WAY_DELAY_S, FakeCluster, proposer_ranking

PUT = {"Value": "v", "AppliesTo": 0}
ROUTE = {"Name": "r", "Host": "a", "PathPrefix": "/", "RouteType": "idempotent", "Service": "s"}


@pytest.mark.parametrize(
    ("theirs", "ours", "status"),
    [
        ([], "", 200),
        (["again"], "", 200),
        (["unclear"], "refused", 200),
        (["lost"], "refused", 200),  # The proposer is asked again, as it is alive.
        (["refused"], "", 200),
        (["lost", "refused"], "", 200),  # The next one is asked: this node.
        (["refused"], "refused", 503),  # Neither applied it, and both say so.
        (["refused"], "lost", 504),
        (["refused"], "unclear", 504),
        (["refused"], "hangs", 504),
        (["lost", "refused"], "refused", 504),
        (["unclear", "refused"], "refused", 504),
        (["lost"] * 20, "", 504),
        (["hangs"], "", 504),
    ],
)
@pytest.mark.parametrize("kind", ["put", "lock", "number"])
async def test_503_means_not_applied_and_504_unknown_under_faults(
    cluster: FakeCluster, theirs: list[str], ours: str, status: int, kind: str
) -> None:
    proposer, entry, _ = proposer_ranking({"put": "g/g.", "lock": "l/l", "number": "n/n"}[kind])
    cluster.stores[proposer].faults, cluster.stores[entry].faults = [*theirs], [ours]
    begun = cluster.loop.now
    if kind == "put":
        answer = await cluster.rpc(entry, "cells.replace", "g.a", PUT)
        assert status != 200 or answer == (200, {"Revision": 1})
    elif kind == "lock":
        answer = await cluster.rpc(entry, "locks.initiate", "l", {"Holder": "a", "HoldMs": 2000})
        assert status != 200 or answer == (200, {"fence": 1})
    else:
        answer = await cluster.call(entry, "POST", "/ambershift/numbers/n")
    assert answer[0] == (504 if (status, kind) == (503, "put") else status)
    assert cluster.loop.now - begun < 0.96


async def test_an_unresponsive_proposer_is_skipped(cluster: FakeCluster) -> None:
    proposer, other, entry = proposer_ranking("n/n")
    cluster.partition(proposer)
    times = []
    for _ in range(3):
        begun = cluster.loop.now
        assert (await cluster.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
        times.append(cluster.loop.now - begun)
    assert times[0] < 0.51 and max(times[1:]) < 0.15
    cluster.partition()
    await asyncio.sleep(1.1)
    assert (await cluster.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
    assert cluster.stores[proposer].rounds == 1
    cluster.stores[other].has_contact = False
    assert (await cluster.call(other, "POST", "/ambershift/numbers/n"))[0] == 503


async def test_a_restarted_node_is_no_proposer_unless_all_restarted(cluster: FakeCluster) -> None:
    proposer, other, entry = proposer_ranking("n/n")
    for unsettled, rounds in (
        ({proposer}, {other: 1}),
        ({proposer, other, entry}, {proposer: 1, other: 1}),
    ):
        cluster.unsettled = unsettled
        assert (await cluster.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
        assert {ip: store.rounds for ip, store in cluster.stores.items() if store.rounds} == rounds


@pytest.mark.parametrize("seed", range(10))
async def test_puts_take_effect_as_replied_and_watches_receive_each_once(
    cluster: FakeCluster, seed: int
) -> None:
    """Two callers race for three keys and retry each put until its outcome is known; a watch reads along.

    Every other round has a fault, and nodes are unreachable for a while. The watch must receive every put
    once and in order.
    """
    rng = random.Random(seed)
    replies: dict[str, set[tuple[int, int]]] = {}
    watched_events: list[tuple[str, str, int]] = []
    over = False

    async def inject_faults() -> None:
        while not over:
            cluster.partition(*rng.sample(IPS, rng.random() < 0.3))
            for store in cluster.stores.values():
                store.faults = rng.choices(("", "", "refused", "unclear", "lost", "again"), k=3)
            await asyncio.sleep(rng.random())
        cluster.partition()
        for store in cluster.stores.values():
            store.faults = []

    async def write(name: str) -> None:
        for number in range(25):
            key, value = rng.choice(("g.a", "g.b", "g.c")), f"{name}{number}"
            answer = (0, None)
            while answer[0] in (0, 504):
                at = rng.choice(IPS)
                if answer[0] == 0:
                    status, found = await cluster.rpc(at, "cells.retrieve", key)
                    if status not in (200, 404):
                        continue
                    applies_to = found["Revision"] if found else 0
                put = {"Value": value, "AppliesTo": applies_to}
                answer = await cluster.rpc(at, "cells.replace", key, put)
            replies.setdefault(value, set()).add((answer[0], (answer[1] or {}).get("Revision", 0)))

    async def watch() -> None:
        after = 0
        while not over or after < decode_group(cluster.registers["g/g."]).revision:
            path = f"/ambershift/watch/g.?after={after}&WaitMs=700"
            status, found = await cluster.call(rng.choice(IPS), "GET", path)
            if after == 0 and status == 200 and found["Revision"]:
                after = 1  # The first was put before the watch began.
            elif status == 200:
                assert [event["Revision"] for event in found["Events"]] == list(
                    range(after + 1, found["Revision"] + 1)
                )
                watched_events.extend(tuple(event.values()) for event in found["Events"])
                after = found["Revision"]
            await asyncio.sleep(0.01)

    await cluster.rpc(IPS[0], "cells.replace", "g.a", {"Value": "first"})
    others = [asyncio.create_task(one) for one in (inject_faults(), watch())]
    await asyncio.gather(write("x"), write("y"))
    over = True
    await asyncio.gather(*others)
    events = decode_group(cluster.registers["g/g."]).events
    assert watched_events == list(events[1:])
    revisions = {value: revision for _, value, revision in events}
    assert len(revisions) == len(events)
    for value, answers in replies.items():
        ((status, revision),) = answers
        assert revisions.get(value) == (revision if status == 200 else None), (value, status)
    assert {status for answers in replies.values() for status, _ in answers} >= {200, 412}


async def test_a_watch_receives_puts_made_through_any_node(cluster: FakeCluster) -> None:
    proposer, entry, other = proposer_ranking("g/g.")
    put = dict(PUT)

    async def delay_of(at: str, fault: str = "") -> float:
        put["Value"], put["AppliesTo"] = put["Value"] + "+", put["AppliesTo"] + 1
        begun = cluster.loop.now
        watch = asyncio.create_task(
            cluster.call(at, "GET", f"/ambershift/watch/g.?after={put['AppliesTo']}&WaitMs=5000")
        )
        await asyncio.sleep(0.7)
        cluster.stores[proposer].faults = [fault]
        assert (await cluster.rpc(other, "cells.replace", "g.a", put))[0] == 200
        status, found = await watch
        assert status == 200 and found["Revision"] == put["AppliesTo"] + 1
        assert found["Events"] == [{"Name": "g.a", "Value": put["Value"], "Revision": put["AppliesTo"] + 1}]
        return cluster.loop.now - begun - 0.7

    assert (await cluster.rpc(other, "cells.replace", "g.a", put))[0] == 200
    assert await delay_of(entry) < 5 * ONE_WAY_DELAY_S and await delay_of(proposer) < 5 * ONE_WAY_DELAY_S
    cluster.partition(proposer)
    assert await delay_of(entry) < 0.6  # It waits at the proposer, which isn't known to have failed.
    cluster.partition()
    assert await delay_of(proposer, "refused") < 0.6  # Put through another node, which notifies this one.


async def test_a_change_notification_fetches_events_without_a_round(cluster: FakeCluster) -> None:
    proposer, entry, other = proposer_ranking("g/g.")
    assert (await cluster.rpc(entry, "cells.replace", "g.a", {"Value": "v"}))[0] == 200
    watches = [
        asyncio.create_task(cluster.call(at, "GET", "/ambershift/watch/g.?after=1&WaitMs=2000"))
        for at in (proposer, other, entry)
    ]
    await asyncio.sleep(0.3)
    rounds = {ip: store.rounds for ip, store in cluster.stores.items()}
    cluster.stores[proposer].faults = ["refused"]
    begun = cluster.loop.now
    assert (await cluster.rpc(entry, "cells.replace", "g.a", {"Value": "w"}))[0] == 200
    for status, found in await asyncio.gather(*watches):
        assert (status, found["Revision"], len(found["Events"])) == (200, 2, 1)
    assert cluster.loop.now - begun < 8 * ONE_WAY_DELAY_S
    others = [store.rounds - rounds[ip] for ip, store in cluster.stores.items()]
    assert sorted(others) == [0, 1, 1]  # The rejected round, and the put itself.


def test_watched_groups_are_refreshed_when_they_may_have_changed() -> None:
    subscriptions = Subscriptions()
    assert subscriptions.subscribe(0, 1, "g.", 5, True) is None and subscriptions.needs_refresh(0, "g.")
    group = Group(5, 5, {}, ())
    assert subscriptions.update(0, "g.", group, 0) == [] and not subscriptions.groups_to_refresh(
        FRESHNESS_NS - 1
    )
    assert subscriptions.groups_to_refresh(FRESHNESS_NS) == ["g."]  # A notification may have been lost.
    assert (
        subscriptions.revision_to_fetch_after("g.", 6)
        and not subscriptions.revision_to_fetch_after("g.", 5)
        and not subscriptions.revision_to_fetch_after("h.", 6)
    )
    put = group.put("g.a", "v", 0)
    assert [token for token, _ in subscriptions.update(FRESHNESS_NS, "g.", put, FRESHNESS_NS)] == [1]
    subscriptions.subscribe(FRESHNESS_NS, 2, "g.", 9, False)
    assert not subscriptions.needs_refresh(FRESHNESS_NS, "g.")  # Another node keeps it fresh.
    subscriptions.subscribe(FRESHNESS_NS, 3, "g.", 9, True)
    assert subscriptions.needs_refresh(FRESHNESS_NS, "g.")  # Its caller has seen a later revision.


async def test_watches_end_by_time_lost_history_lost_contact_and_shutdown(cluster: FakeCluster) -> None:
    proposer, entry, _ = proposer_ranking("g/g.")

    async def watch(at: str, after: int, wait: int = 2000) -> tuple[int, Any, float]:
        begun = cluster.loop.now
        answer = await cluster.call(at, "GET", f"/ambershift/watch/g.?after={after}&WaitMs={wait}")
        return *answer, round(cluster.loop.now - begun, 3)

    assert (await watch(entry, 0))[:2] == (200, {"Events": [], "Revision": 0})
    for number in range(1, 101):
        put = {"Value": f"v{number}", "AppliesTo": number - 1}
        assert (await cluster.rpc(entry, "cells.replace", "g.a", put))[0] == 200
    assert (await watch(entry, 0))[:2] == (200, {"Events": [], "Revision": 100})
    for at in (proposer, entry):
        status, found, lasted = await watch(at, 100)
        assert (status, found) == (200, {"Events": [], "Revision": 100}) and 2 <= lasted < 2.2
        assert len((await watch(at, 1))[1]["Events"]) == 99
    await asyncio.sleep(31)  # `HistoryS` and its margin.
    put = {"Value": "w", "AppliesTo": 100}
    assert (await cluster.rpc(entry, "cells.replace", "g.a", put))[0] == 200
    assert [(await watch(at, 1))[0] for at in (proposer, entry)] == [410, 410]
    assert len((await watch(entry, 80))[1]["Events"]) == 21
    for store in cluster.stores.values():
        store.has_contact = False
    assert (await watch(entry, 101))[0] == 503
    cluster.stores[entry].has_contact = cluster.stores[proposer].has_contact = True
    waiting = [asyncio.create_task(watch(at, 101)) for at in (proposer, entry)]
    await asyncio.sleep(0.1)
    cluster.nodes[proposer].close()
    assert (await waiting[0])[2] < 0.2
    cluster.nodes[entry].close()
    assert (await waiting[1])[2] < 0.7
    for wrong in ("x", "-1"):
        assert (await cluster.call(entry, "GET", f"/ambershift/watch/g.?after={wrong}"))[0] == 400


SERVICE = {"Name": "s", "ConfigVersion": "r1"}


@pytest.mark.parametrize(
    ("agreeing", "storing", "status", "held"),
    [
        ("", "", 200, True),
        ("refused", "", 503, False),
        ("lost", "", 504, False),
        ("unclear", "", 504, False),  # It was agreed; a retry has it stored.
        ("", "refused", 504, False),
        ("", "lost", 504, False),
        ("", "unclear", 504, True),
    ],
)
async def test_configuration_changes_are_answered_truly_under_faults(
    cluster: FakeCluster, agreeing: str, storing: str, status: int, held: bool
) -> None:
    proposer, _, other = proposer_ranking("configuration")
    assert (await modify(cluster, other, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
    cluster.stores[proposer].faults = [agreeing, storing]
    begun = cluster.loop.now
    change = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r2"}]}}
    assert (await modify(cluster, proposer, change))[0] == status
    assert (("route", "r") in cluster.items) == held and cluster.loop.now - begun < 0.95
    cluster.stores[proposer].faults = []
    assert (await modify(cluster, other, change))[0] == 200 and ("route", "r") in cluster.items


async def test_invalid_and_conflicting_changes_are_rejected_everywhere_for_good(cluster: FakeCluster) -> None:
    for at in IPS:
        assert (await modify(cluster, at, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
        found = await modify(cluster, at, {"Upsert": {"Services": [{**SERVICE, "ConnectionCap": 3}]}})
        assert found[0] == 409 and "r1" in found[1]["Cause"]
    wrong = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r2", "Service": "t"}]}}
    assert (await modify(cluster, IPS[0], wrong))[0] == 400
    assert (await modify(cluster, IPS[1], {"Upsert": {"Services": [{**SERVICE, "Name": "t"}]}}))[0] == 200
    # It would be valid now, but its caller was answered that it is rejected.
    assert [(await modify(cluster, at, wrong))[0] for at in IPS] == [400] * 3
    wrong["Upsert"]["Routes"][0]["ConfigVersion"] = "r3"
    assert [(await modify(cluster, at, wrong))[0] for at in IPS] == [200] * 3


async def test_a_node_with_an_outdated_copy_validates_nothing_by_it(cluster: FakeCluster) -> None:
    """It proposes a route to a service that was removed while it was away."""
    proposer, away, other = proposer_ranking("configuration")
    assert (await modify(cluster, away, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
    cluster.stores[away].stored_items = dict(cluster.items)
    drop = {"Remove": {"Services": [{"Name": "s", "ConfigVersion": "r2"}]}}
    assert (await modify(cluster, other, drop))[0] == 200
    cluster.partition(proposer, other)
    cluster.stores[away].faults = ["", "hidden"]  # The other stores can't be read: nothing is validated.
    route = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r3"}]}}
    assert (await modify(cluster, away, route))[0] in (503, 504)
    assert (await modify(cluster, away, route))[0] == 400
    assert ("route", "r") not in cluster.items


async def test_reading_the_configuration_needs_a_quorum_read(cluster: FakeCluster) -> None:
    cluster.stores[IPS[0]].faults = ["hidden"]
    assert (await cluster.rpc(IPS[0], "configuration.retrieve"))[0] == 503
    assert (await cluster.rpc(IPS[0], "configuration.retrieve"))[0] == 200


async def modify(cluster: FakeCluster, at: str, body: Any) -> tuple[int, Any]:
    return await cluster.rpc(at, "configuration.modify", body=body)


async def test_the_latest_evacuation_call_wins(cluster: FakeCluster) -> None:
    one, two, three = IPS

    def state() -> bytes | None:
        return cluster.items[("zone", "riga-a")].body

    for at, name, body in (
        (one, "initiate", b"true"),
        (two, "terminate", b"false"),
        (three, "initiate", b"true"),
        (one, "terminate", b"false"),
    ):
        assert (await cluster.rpc(at, f"evacuation.{name}", "riga-a"))[0] == 200 and state() == body
    # Both at once, at one node: whichever wins, one version never has two contents.
    await asyncio.gather(
        *(cluster.rpc(one, f"evacuation.{name}", "riga-a") for name in ("initiate", "terminate"))
    )
    assert state() == b"false"
    # A write with an unknown outcome may show up later: the next version is above it all the same.
    version = cluster.items[("zone", "riga-a")].version[0]
    cluster.stores[one].faults = ["", "lost"]
    assert (await cluster.rpc(one, "evacuation.initiate", "riga-a"))[0] == 504
    assert (await cluster.rpc(one, "evacuation.terminate", "riga-a"))[0] == 200
    assert cluster.items[("zone", "riga-a")].version[0] == version + 2
    # A partition delayed the call and the end of its connection; a stopped process reads both late.
    assert (await cluster.rpc(two, "evacuation.initiate", "riga-a", closed_after_s=0))[0] == 0
    for node in cluster.nodes.values():
        node.tick()
    await asyncio.sleep(3)
    assert (await cluster.rpc(three, "evacuation.initiate", "riga-a"))[0] == 503
    cluster.nodes[three].tick()
    assert (await cluster.rpc(three, "locks.terminate", "l", {"Holder": "a", "fence": 1}))[0] == 503
    assert state() == b"false"
    await asyncio.sleep(0.2)
    assert (await cluster.rpc(three, "evacuation.initiate", "riga-a"))[0] == 200 and state() == b"true"
    assert msgspec.json.decode(state() or b"") is True


async def test_a_call_waits_while_a_copy_is_completed_and_no_longer(cluster: FakeCluster) -> None:
    proposer, _, entry = proposer_ranking("n/n")

    async def ask(complete_after: float) -> tuple[int, float]:
        begun, store = cluster.loop.now, cluster.stores[proposer]
        store.has_contact = False
        cluster.loop.call_later(complete_after, lambda: setattr(store, "has_contact", True))
        status, _ = await cluster.call(proposer, "POST", "/ambershift/numbers/n")
        return status, cluster.loop.now - begun

    assert (await cluster.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
    assert (await cluster.call(proposer, "POST", "/ambershift/numbers/n"))[0] == 200
    status, lasted = await ask(0.08)
    assert status == 200 and lasted < 0.2
    status, lasted = await ask(3)
    assert status == 503 and 0.1 < lasted < 0.2
    await asyncio.sleep(1.5)
    status, lasted = await ask(3)
    assert status == 503 and lasted < 0.01  # It was out of contact before.

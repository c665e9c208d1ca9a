"""What callers are told when the machine that was to do it fails, stays silent, or can't tell."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest

from ambershift.system.control_api.subscriptions import FRESHNESS_NS, Subscriptions
from ambershift.system.coordination.groups import Group, decode_group
from tests.support.control_api_world import IPS, TRIP, World, order, play

PUT = {"Value": "v", "AppliesTo": 0}
ROUTE = {"Name": "r", "Host": "a", "PathPrefix": "/", "RouteType": "idempotent", "Service": "s"}


@pytest.mark.parametrize(
    ("theirs", "ours", "status"),
    [
        ([], "", 200),
        (["again"], "", 200),
        (["unclear"], "refused", 200),
        (["lost"], "refused", 200),  # The owner is asked again, as it is there.
        (["refused"], "", 200),
        (["lost", "refused"], "", 200),  # The next one is asked: this machine.
        (["refused"], "refused", 503),  # Nothing was done, and both say so.
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
def test_a_promise_is_made_only_where_it_holds(theirs: list[str], ours: str, status: int, kind: str) -> None:
    async def story(world: World) -> None:
        owner, entry, _ = order({"put": "g/g.", "lock": "l/l", "number": "n/n"}[kind])
        world.ledgers[owner].faults, world.ledgers[entry].faults = [*theirs], [ours]
        begun = world.loop.now
        if kind == "put":
            answer = await world.rpc(entry, "cells.replace", "g.a", PUT)
            assert status != 200 or answer == (200, {"Revision": 1})
        elif kind == "lock":
            answer = await world.rpc(entry, "locks.initiate", "l", {"Holder": "a", "HoldMs": 2000})
            assert status != 200 or answer == (200, {"fence": 1})
        else:
            answer = await world.call(entry, "POST", "/ambershift/numbers/n")
        assert answer[0] == (504 if (status, kind) == (503, "put") else status)
        assert world.loop.now - begun < 0.96

    play(story)


def test_a_silent_owner_is_passed_by() -> None:
    async def story(world: World) -> None:
        owner, other, entry = order("n/n")
        world.lose(owner)
        times = []
        for _ in range(3):
            begun = world.loop.now
            assert (await world.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
            times.append(world.loop.now - begun)
        assert times[0] < 0.51 and max(times[1:]) < 0.15
        world.lose()
        await asyncio.sleep(1.1)
        assert (await world.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
        assert world.ledgers[owner].rounds == 1
        world.ledgers[other].touch = False
        assert (await world.call(other, "POST", "/ambershift/numbers/n"))[0] == 503

    play(story)


def test_a_machine_just_back_is_left_alone_unless_all_are() -> None:
    async def story(world: World) -> None:
        owner, other, entry = order("n/n")
        for unsettled, rounds in (({owner}, {other: 1}), ({owner, other, entry}, {owner: 1, other: 1})):
            world.unsettled = unsettled
            assert (await world.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
            assert {ip: one.rounds for ip, one in world.ledgers.items() if one.rounds} == rounds

    play(story)


@pytest.mark.parametrize("seed", range(10))
def test_values_show_up_as_callers_were_told(seed: int) -> None:
    """Puts sent again until they get a clear answer, by two callers that race for three keys, with faults
    in every other round and machines that stay silent; a watch must hear of every put, once and in order."""

    async def story(world: World) -> None:
        luck = random.Random(seed)
        told: dict[str, set[tuple[int, int]]] = {}
        heard: list[tuple[str, str, int]] = []
        over = False

        async def trouble() -> None:
            while not over:
                world.lose(*luck.sample(IPS, luck.random() < 0.3))
                for ledger in world.ledgers.values():
                    ledger.faults = luck.choices(("", "", "refused", "unclear", "lost", "again"), k=3)
                await asyncio.sleep(luck.random())
            world.lose()
            for ledger in world.ledgers.values():
                ledger.faults = []

        async def write(name: str) -> None:
            for number in range(25):
                key, value = luck.choice(("g.a", "g.b", "g.c")), f"{name}{number}"
                answer = (0, None)
                while answer[0] in (0, 504):
                    at = luck.choice(IPS)
                    if answer[0] == 0:
                        status, found = await world.rpc(at, "cells.retrieve", key)
                        if status not in (200, 404):
                            continue
                        applies_to = found["Revision"] if found else 0
                    put = {"Value": value, "AppliesTo": applies_to}
                    answer = await world.rpc(at, "cells.replace", key, put)
                told.setdefault(value, set()).add((answer[0], (answer[1] or {}).get("Revision", 0)))

        async def watch() -> None:
            after = 0
            while not over or after < decode_group(world.registers["g/g."]).revision:
                path = f"/ambershift/watch/g.?after={after}&WaitMs=700"
                status, found = await world.call(luck.choice(IPS), "GET", path)
                if after == 0 and status == 200 and found["Revision"]:
                    after = 1  # The first was put before the watch began.
                elif status == 200:
                    assert [event["Revision"] for event in found["Events"]] == list(
                        range(after + 1, found["Revision"] + 1)
                    )
                    heard.extend(tuple(event.values()) for event in found["Events"])
                    after = found["Revision"]
                await asyncio.sleep(0.01)

        await world.rpc(IPS[0], "cells.replace", "g.a", {"Value": "first"})
        others = [asyncio.create_task(one) for one in (trouble(), watch())]
        await asyncio.gather(write("x"), write("y"))
        over = True
        await asyncio.gather(*others)
        events = decode_group(world.registers["g/g."]).events
        assert heard == list(events[1:])
        revisions = {value: revision for _, value, revision in events}
        assert len(revisions) == len(events)
        for value, answers in told.items():
            ((status, revision),) = answers
            assert revisions.get(value) == (revision if status == 200 else None), (value, status)
        assert {status for answers in told.values() for status, _ in answers} >= {200, 412}

    play(story)


def test_a_watch_hears_of_puts_wherever_they_were_made() -> None:
    async def story(world: World) -> None:
        owner, entry, other = order("g/g.")
        put = dict(PUT)

        async def delay_of(at: str, fault: str = "") -> float:
            put["Value"], put["AppliesTo"] = put["Value"] + "+", put["AppliesTo"] + 1
            begun = world.loop.now
            watch = asyncio.create_task(
                world.call(at, "GET", f"/ambershift/watch/g.?after={put['AppliesTo']}&WaitMs=5000")
            )
            await asyncio.sleep(0.7)
            world.ledgers[owner].faults = [fault]
            assert (await world.rpc(other, "cells.replace", "g.a", put))[0] == 200
            status, found = await watch
            assert status == 200 and found["Revision"] == put["AppliesTo"] + 1
            assert found["Events"] == [
                {"Name": "g.a", "Value": put["Value"], "Revision": put["AppliesTo"] + 1}
            ]
            return world.loop.now - begun - 0.7

        assert (await world.rpc(other, "cells.replace", "g.a", put))[0] == 200
        assert await delay_of(entry) < 5 * TRIP and await delay_of(owner) < 5 * TRIP
        world.lose(owner)
        assert await delay_of(entry) < 0.6  # It waits with the owner, who isn't known to be lost.
        world.lose()
        assert await delay_of(owner, "refused") < 0.6  # Put through another machine; word of it comes.

    play(story)


def test_word_of_a_put_is_followed_by_asking_its_machine_and_no_round() -> None:
    async def story(world: World) -> None:
        owner, entry, other = order("g/g.")
        assert (await world.rpc(entry, "cells.replace", "g.a", {"Value": "v"}))[0] == 200
        watches = [
            asyncio.create_task(world.call(at, "GET", "/ambershift/watch/g.?after=1&WaitMs=2000"))
            for at in (owner, other, entry)
        ]
        await asyncio.sleep(0.3)
        rounds = {ip: ledger.rounds for ip, ledger in world.ledgers.items()}
        world.ledgers[owner].faults = ["refused"]
        begun = world.loop.now
        assert (await world.rpc(entry, "cells.replace", "g.a", {"Value": "w"}))[0] == 200
        for status, found in await asyncio.gather(*watches):
            assert (status, found["Revision"], len(found["Events"])) == (200, 2, 1)
        assert world.loop.now - begun < 8 * TRIP
        others = [ledger.rounds - rounds[ip] for ip, ledger in world.ledgers.items()]
        assert sorted(others) == [0, 1, 1]  # The one refused, and the put itself.

    play(story)


def test_watched_groups_are_looked_at_when_they_may_have_changed() -> None:
    vigils = Subscriptions()
    assert vigils.subscribe(0, 1, "g.", 5, True) is None and vigils.needs_refresh(0, "g.")
    group = Group(5, 5, {}, ())
    assert vigils.update(0, "g.", group) == [] and not vigils.groups_to_refresh(FRESHNESS_NS - 1)
    assert vigils.groups_to_refresh(FRESHNESS_NS) == ["g."]  # Word of a put may have been lost.
    assert (
        vigils.revision_to_fetch_after("g.", 6)
        and not vigils.revision_to_fetch_after("g.", 5)
        and not vigils.revision_to_fetch_after("h.", 6)
    )
    assert [token for token, _ in vigils.update(FRESHNESS_NS, "g.", group.put("g.a", "v", 0))] == [1]
    vigils.subscribe(FRESHNESS_NS, 2, "g.", 9, False)
    assert not vigils.needs_refresh(FRESHNESS_NS, "g.")  # Another machine looks after it.
    vigils.subscribe(FRESHNESS_NS, 3, "g.", 9, True)
    assert vigils.needs_refresh(FRESHNESS_NS, "g.")  # Its caller has seen more than is known here.


def test_watches_end_as_they_should() -> None:
    async def story(world: World) -> None:
        owner, entry, _ = order("g/g.")

        async def watch(at: str, after: int, wait: int = 2000) -> tuple[int, Any, float]:
            begun = world.loop.now
            answer = await world.call(at, "GET", f"/ambershift/watch/g.?after={after}&WaitMs={wait}")
            return *answer, round(world.loop.now - begun, 3)

        assert (await watch(entry, 0))[:2] == (200, {"Events": [], "Revision": 0})
        for number in range(1, 101):
            put = {"Value": f"v{number}", "AppliesTo": number - 1}
            assert (await world.rpc(entry, "cells.replace", "g.a", put))[0] == 200
        assert (await watch(entry, 0))[:2] == (200, {"Events": [], "Revision": 100})
        for at in (owner, entry):
            status, found, lasted = await watch(at, 100)
            assert (status, found) == (200, {"Events": [], "Revision": 100}) and 2 <= lasted < 2.2
            assert len((await watch(at, 1))[1]["Events"]) == 99
        await asyncio.sleep(31)  # `HistoryS` and what is added to it.
        put = {"Value": "w", "AppliesTo": 100}
        assert (await world.rpc(entry, "cells.replace", "g.a", put))[0] == 200
        assert [(await watch(at, 1))[0] for at in (owner, entry)] == [410, 410]
        assert len((await watch(entry, 80))[1]["Events"]) == 21
        for ledger in world.ledgers.values():
            ledger.touch = False
        assert (await watch(entry, 101))[0] == 503
        world.ledgers[entry].touch = world.ledgers[owner].touch = True
        waiting = [asyncio.create_task(watch(at, 101)) for at in (owner, entry)]
        await asyncio.sleep(0.1)
        world.machines[owner].close()
        assert (await waiting[0])[2] < 0.2
        world.machines[entry].close()
        assert (await waiting[1])[2] < 0.7
        for wrong in ("x", "-1"):
            assert (await world.call(entry, "GET", f"/ambershift/watch/g.?after={wrong}"))[0] == 400

    play(story)


SERVICE = {"Name": "s", "ConfigVersion": "r1"}


@pytest.mark.parametrize(
    ("agreeing", "storing", "status", "held"),
    [
        ("", "", 200, True),
        ("refused", "", 503, False),
        ("lost", "", 504, False),
        ("unclear", "", 504, False),  # It was agreed, and whoever sends it again has it stored.
        ("", "refused", 504, False),
        ("", "lost", 504, False),
        ("", "unclear", 504, True),
    ],
)
def test_what_operators_are_told(agreeing: str, storing: str, status: int, held: bool) -> None:
    async def story(world: World) -> None:
        proposer, _, other = order("configuration")
        assert (await modify(world, other, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
        world.ledgers[proposer].faults = [agreeing, storing]
        begun = world.loop.now
        change = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r2"}]}}
        assert (await modify(world, proposer, change))[0] == status
        assert (("route", "r") in world.items) == held and world.loop.now - begun < 0.95
        world.ledgers[proposer].faults = []
        assert (await modify(world, other, change))[0] == 200 and ("route", "r") in world.items

    play(story)


def test_what_is_invalid_or_conflicts_is_refused_at_every_machine_and_stays_so() -> None:
    async def story(world: World) -> None:
        for at in IPS:
            assert (await modify(world, at, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
            found = await modify(world, at, {"Upsert": {"Services": [{**SERVICE, "ConnectionCap": 3}]}})
            assert found[0] == 409 and "r1" in found[1]["Cause"]
        wrong = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r2", "Service": "t"}]}}
        assert (await modify(world, IPS[0], wrong))[0] == 400
        assert (await modify(world, IPS[1], {"Upsert": {"Services": [{**SERVICE, "Name": "t"}]}}))[0] == 200
        # It would be valid now, but its caller was told that it is refused.
        assert [(await modify(world, at, wrong))[0] for at in IPS] == [400] * 3
        wrong["Upsert"]["Routes"][0]["ConfigVersion"] = "r3"
        assert [(await modify(world, at, wrong))[0] for at in IPS] == [200] * 3

    play(story)


def test_a_machine_that_was_away_judges_nothing_by_its_copy() -> None:
    """It was asked for a route to a service that was dropped meanwhile, and takes the register over."""

    async def story(world: World) -> None:
        proposer, away, other = order("configuration")
        assert (await modify(world, away, {"Upsert": {"Services": [SERVICE]}}))[0] == 200
        world.ledgers[away].held = dict(world.items)
        drop = {"Remove": {"Services": [{"Name": "s", "ConfigVersion": "r2"}]}}
        assert (await modify(world, other, drop))[0] == 200
        world.lose(proposer, other)
        world.ledgers[away].faults = ["", "hidden"]  # The others' stores can't be read: nothing is judged.
        route = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r3"}]}}
        assert (await modify(world, away, route))[0] in (503, 504)
        assert (await modify(world, away, route))[0] == 400
        assert ("route", "r") not in world.items

    play(story)


def test_the_read_back_asks_the_others() -> None:
    async def story(world: World) -> None:
        world.ledgers[IPS[0]].faults = ["hidden"]
        assert (await world.rpc(IPS[0], "configuration.retrieve"))[0] == 503
        assert (await world.rpc(IPS[0], "configuration.retrieve"))[0] == 200

    play(story)


async def modify(world: World, at: str, body: Any) -> tuple[int, Any]:
    return await world.rpc(at, "configuration.modify", body=body)


def test_evacuations_go_by_the_last_order() -> None:
    async def story(world: World) -> None:
        one, two, three = IPS

        def state() -> bytes | None:
            return world.items[("zone", "riga-a")].body

        for at, name, body in (
            (one, "initiate", b"true"),
            (two, "terminate", b"false"),
            (three, "initiate", b"true"),
            (one, "terminate", b"false"),
        ):
            assert (await world.rpc(at, f"evacuation.{name}", "riga-a"))[0] == 200 and state() == body
        # Both at once, at one machine: whichever it was, they don't make one version of two meanings.
        await asyncio.gather(
            *(world.rpc(one, f"evacuation.{name}", "riga-a") for name in ("initiate", "terminate"))
        )
        assert state() == b"false"
        # One that isn't known to hold may come up later: the next goes above it all the same.
        version = world.items[("zone", "riga-a")].version[0]
        world.ledgers[one].faults = ["", "lost"]
        assert (await world.rpc(one, "evacuation.initiate", "riga-a"))[0] == 504
        assert (await world.rpc(one, "evacuation.terminate", "riga-a"))[0] == 200
        assert world.items[("zone", "riga-a")].version[0] == version + 2
        # A cut held up the call and its caller's farewell; a stopped process finds both in its socket.
        assert (await world.rpc(two, "evacuation.initiate", "riga-a", gone=True))[0] == 0
        for machine in world.machines.values():
            machine.tick()
        await asyncio.sleep(3)
        assert (await world.rpc(three, "evacuation.initiate", "riga-a"))[0] == 503
        world.machines[three].tick()
        assert (await world.rpc(three, "locks.terminate", "l", {"Holder": "a", "fence": 1}))[0] == 503
        assert state() == b"false"
        await asyncio.sleep(0.2)
        assert (await world.rpc(three, "evacuation.initiate", "riga-a"))[0] == 200 and state() == b"true"
        assert msgspec.json.decode(state() or b"") is True

    play(story)


def test_a_call_waits_while_a_copy_is_made_whole_and_no_longer() -> None:
    async def story(world: World) -> None:
        owner, _, entry = order("n/n")

        async def ask(whole_after: float) -> tuple[int, float]:
            begun, ledger = world.loop.now, world.ledgers[owner]
            ledger.touch = False
            world.loop.call_later(whole_after, lambda: setattr(ledger, "touch", True))
            status, _ = await world.call(owner, "POST", "/ambershift/numbers/n")
            return status, world.loop.now - begun

        assert (await world.call(entry, "POST", "/ambershift/numbers/n"))[0] == 200
        assert (await world.call(owner, "POST", "/ambershift/numbers/n"))[0] == 200
        status, lasted = await ask(0.08)
        assert status == 200 and lasted < 0.2
        status, lasted = await ask(3)
        assert status == 503 and 0.1 < lasted < 0.2
        await asyncio.sleep(1.5)
        status, lasted = await ask(3)
        assert status == 503 and lasted < 0.01  # It was out of touch before.

    play(story)

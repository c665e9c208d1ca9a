"""Processes of one group under faults: acknowledged commands are kept, and no read is stale."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from ambershift.coordinator.runtime.client import Client, ClientError, Reply
from ambershift.coordinator.standins.histories import History
from ambershift.coordinator.standins.rig import Rig

Scenario = Callable[[Rig], Awaitable[None]]
ROUNDS = 5
pytestmark = pytest.mark.timeout(150)


def run_group(
    folder: Path,
    scenario: Scenario,
    count: int = 3,
    prepare: Callable[[Rig], None] = lambda rig: None,
    **words: Any,
) -> None:
    async def whole() -> None:
        prepare(made := Rig(folder, count, **words))
        async with asyncio.timeout(140), made as rig:
            await rig.settled()
            await scenario(rig)
            for member in rig.members.values():
                failures = [one for one in member.log if one.get("event") == "failure"]
                assert not member.raw and not failures, (failures, rig.tail())

    asyncio.run(whole())


def server_name(rig: Rig, number: int) -> str:
    one = rig.discovery.now["servers"][number]
    return f"{one['zone']}/{one['id']}"


async def read_wishes(rig: Rig, name: str) -> dict[str, str]:
    """Return the wishes by server, by a read at that member that is never stale."""
    return {row["server"]: row["wish"] for row in await rig.rows(name, "show standing json")}


def senders(rig: Rig, since: float) -> set[int]:
    """Return the proxies whose flows came to any server since then."""
    return {flow.proxy for one in rig.fleet.servers.values() for flow in one.since(since)}


async def await_wish(rig: Rig, names: list[str], server: str, wish: str, limit: float = 20.0) -> None:
    async def ask() -> bool:
        found = [await read_wishes(rig, name) for name in names]
        return all(wish in one.get(server, "") for one in found)

    await rig.eventually(ask, limit, f"{wish} of {server} held by {names}")


async def await_refusal(rig: Rig, name: str, command: str, limit: float = 30.0) -> str:
    """Repeat a command until it is refused, and return the reason."""

    async def ask() -> str:
        with contextlib.suppress(ClientError):
            reply = await rig.say(name, command)
            return reply.text if reply.failed and "Refused (" in reply.text else ""
        return ""  # Done before the fault was detected, outcome unknown, or no answer.

    found: str = await rig.eventually(ask, limit, f"'{command}' refused by {name}")
    return found.partition("Refused (")[2].partition(")")[0]


async def run_operators(
    rig: Rig,
    scenario: Callable[[History], Awaitable[None]],
    count: int = 3,
    places: Callable[[], list[str]] | None = None,
) -> History:
    """Run operators at all running members during a scenario; their history must have one order."""
    history = History(rig, [server_name(rig, at) for at in range(4, 8)])
    over, members = asyncio.Event(), places or rig.running
    tasks = [
        asyncio.create_task(
            history.operator(f"op{at}", random.Random(at), lambda: not over.is_set(), members)
        )
        for at in range(count)
    ]
    try:
        await scenario(history)
    finally:
        over.set()
        await asyncio.gather(*tasks)
    await rig.settled()
    for name in rig.running():
        await history.read_at_last(name)
    violation = history.violation()
    assert violation is None, "\n".join(violation.lines())
    assert history.counts().get("once-done", 0) >= 5, history.counts()
    return history


@pytest.mark.parametrize("seed", range(5))
def test_acknowledged_commands_survive_the_loss_of_acknowledging_members_with_their_folders(
    tmp_path: Path, seed: int
) -> None:
    """Two of five members are lost at a time, ten in each seed: fifty in all."""

    async def scenario(rig: Rig) -> None:
        chance, promised = random.Random(seed), dict[str, str]()
        for turn in range(ROUNDS):
            lost = chance.sample(rig.names, 2)
            if (leader := await rig.leader()) not in lost and chance.random() < 0.7:
                lost[0] = leader
            servers = [server_name(rig, at) for at in chance.sample(range(8), 2)]

            async def promise(name: str, server: str, value: str) -> None:
                await rig.tell(name, f"set weight {server} {value}")
                promised[server] = f"ready,weight={value}"
                rig.members[name].end_now()  # At the moment of the answer.

            await asyncio.gather(
                *(
                    promise(name, server, f"{turn + 1}.{at + 1}")
                    for at, (name, server) in enumerate(zip(lost, servers, strict=True))
                )
            )
            await asyncio.gather(*(rig.kill(name, wipe=True) for name in lost))
            for server, wish in promised.items():
                await await_wish(rig, rig.running(), server, wish)
            await asyncio.gather(*(rig.start(name) for name in lost))
            await rig.settled()
        for server, wish in promised.items():
            await await_wish(rig, rig.names, server, wish)

    run_group(tmp_path, scenario, 5)


def test_a_partitioned_leader_refuses_commands_while_the_majority_goes_on(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        async def cuts(history: History) -> None:
            for turn in range(2):
                leader = await rig.leader()
                rest = [name for name in rig.names if name != leader]
                rig.net.split([leader], rest)
                assert await rig.leader(rest) in rest
                await rig.tell(rest[turn], f"set weight {server_name(rig, 0)} 7{turn}")
                command = f"disable server {server_name(rig, 1)}"
                assert await await_refusal(rig, leader, command) == "no-majority"
                assert await await_refusal(rig, leader, "show standing json") == "no-majority"
                # The leader goes on to steer by the state it has: its proxies still send.
                mine = {proxy.number for proxy in rig.fleet.proxies if proxy.member == leader}
                at = rig.now()

                async def steered(mine: set[int] = mine, at: float = at) -> bool:
                    return bool(mine & senders(rig, at))

                await rig.eventually(steered, 10, "flows of the proxies of the partitioned leader")
                rig.net.heal()
                await rig.settled()
                await await_wish(rig, rig.names, server_name(rig, 0), f"weight=7{turn}")
            assert server_name(rig, 1) not in await read_wishes(rig, rig.names[0])

        await run_operators(rig, cuts)

    run_group(tmp_path, scenario)


def test_a_group_cut_in_three_promises_nothing_and_goes_on_once_healed(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        async def cuts(history: History) -> None:
            await rig.tell("n1", f"set weight {server_name(rig, 0)} 5")
            rig.net.split(["n1", "n2"], ["n3", "n4"], ["n5"])
            told = await asyncio.gather(
                *(
                    await_refusal(rig, name, command)
                    for name in rig.names
                    for command in (f"set weight {server_name(rig, 0)} 6", "show standing json")
                )
            )
            assert set(told) == {"no-majority"}
            rig.net.heal()
            await rig.tell("n5", f"set weight {server_name(rig, 1)} 7")
            await rig.settled()
            found = [await read_wishes(rig, name) for name in rig.names]
            # What the old leader wrote before it stepped down had an unknown outcome, and may be committed.
            outcomes = {one[server_name(rig, 0)] for one in found}
            assert outcomes in ({"ready,weight=5"}, {"ready,weight=6"}), found
            assert {one[server_name(rig, 1)] for one in found} == {"ready,weight=7"}, found

        await run_operators(rig, cuts)

    run_group(tmp_path, scenario, 5)


@pytest.mark.parametrize("way", ["from", "to", "held", "slow", "half"])
def test_partial_link_failures_cause_no_stale_reads_and_no_loss(tmp_path: Path, way: str) -> None:
    async def scenario(rig: Rig) -> None:
        async def cuts(history: History) -> None:
            leader = await rig.leader()
            for other in [name for name in rig.names if name != leader][
                : 2 if way in ("slow", "half") else 1
            ]:
                match way:
                    case "from":
                        rig.net.cut(leader, other)
                    case "to":
                        rig.net.cut(other, leader)
                    case "held":
                        rig.net.hold(leader, other)
                        rig.net.hold(other, leader)
                    case "slow":
                        rig.net.slow(leader, other, 4000.0)
                    case "half":
                        rig.net.half_open(leader, other)
                        rig.net.reset_at(other, leader, 100)
            count = history.counts().get("once-done", 0)

            async def more() -> bool:
                return history.counts().get("once-done", 0) >= count + 10

            await rig.eventually(more, 30, "operations done in spite of the faults")
            rig.net.heal()

        await run_operators(rig, cuts)

    run_group(tmp_path, scenario)


def test_a_member_stopped_for_longer_than_all_timers_serves_no_stale_reads(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        async def stops(history: History) -> None:
            for turn in range(3):
                leader = await rig.leader()
                rest = [name for name in rig.names if name != leader]
                await rig.tell(leader, f"set weight {server_name(rig, 0)} {turn + 3}")
                async with Client(rig.members[leader].socket) as client:
                    assert not (await client.run("show version")).failed
                    rig.members[leader].stop()
                    # Stays unread in the socket until the member goes on, and is what it reads first then.
                    asked = asyncio.create_task(client.run("show standing json"))
                    now = await rig.leader(rest)
                    await rig.tell(now, f"set weight {server_name(rig, 0)} {turn + 13}")
                    rig.members[leader].go_on()
                    with contextlib.suppress(ClientError):
                        reply = await asked
                        assert reply.failed or f"weight={turn + 13}" in reply.text, reply
                await rig.settled()
                await await_wish(rig, rig.names, server_name(rig, 0), f"weight={turn + 13}")

        await run_operators(rig, stops)

    run_group(tmp_path, scenario)


def test_a_token_retried_at_another_member_gets_its_first_answer_and_acts_once(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        server = server_name(rig, 0)
        for turn in range(3):
            first = await rig.leader() if turn == 0 else rig.names[turn]
            command = f"once t{turn} set weight {server} {turn + 2}"
            asked = asyncio.create_task(say_at(rig, first, command))
            # The first time it is answered; later the member is killed at an arbitrary point of the call.
            if turn:
                await asyncio.sleep(0)
            else:
                assert not (await asked).failed
            await rig.kill(first, wipe=True)
            with contextlib.suppress(ClientError):
                await asked
            second = rig.running()[0]
            await rig.tell(second, f"set weight {server_name(rig, 2)} {turn + 2}")
            reply = await retry_until_settled(rig, second, command)
            assert not reply.failed, reply
            await await_wish(rig, rig.running(), server, f"weight={turn + 2}")
            # A contrary command, then the old one with its token again: it must not act a second time.
            await rig.tell(second, f"set weight {server} 99")
            assert (await retry_until_settled(rig, rig.running()[-1], command)).text == reply.text
            await await_wish(rig, rig.running(), server, "weight=99")
            other_command = f"once t{turn} disable server {server}"
            assert "token" in (await retry_until_settled(rig, second, other_command)).text
            await rig.start(first)
            await rig.settled()

    run_group(tmp_path, scenario)


async def say_at(rig: Rig, name: str, command: str) -> Reply:
    return await rig.say(name, command)


async def retry_until_settled(rig: Rig, name: str, command: str) -> Reply:
    """Repeat a command until an answer tells its outcome."""

    async def ask() -> Reply | None:
        with contextlib.suppress(ClientError):
            reply = await rig.say(name, command)
            unsettled = "(no-majority)" in reply.text or "(outcome-unknown)" in reply.text
            return None if unsettled else reply
        return None

    found: Reply = await rig.eventually(ask, 20, f"an outcome of '{command}'")
    return found


def test_two_operators_at_two_members_cannot_drain_the_last_two_warm_servers_of_a_zone(
    tmp_path: Path,
) -> None:
    async def scenario(rig: Rig) -> None:
        for turn in range(5):
            for at in (0, 2):
                await rig.tell(rig.names[turn % 3], f"disable server {server_name(rig, at)}")
            places = random.Random(turn).sample(rig.names, 2)
            asked = await asyncio.gather(
                *(
                    retry_until_settled(rig, name, f"disable server {server_name(rig, at)}")
                    for name, at in zip(places, (4, 6), strict=True)
                )
            )
            assert sorted(reply.failed for reply in asked) == [False, True], asked
            assert "(zone-without-warm-server)" in "".join(reply.text for reply in asked)
            found = [await read_wishes(rig, name) for name in rig.names]
            out = [{server for server, wish in one.items() if wish == "maint"} for one in found]
            assert out[0] == out[1] == out[2] and len(out[0]) == 3, found
            if not turn:

                async def served() -> bool:
                    at = rig.now()
                    await asyncio.sleep(0.5)
                    return senders(rig, at) == {proxy.number for proxy in rig.fleet.proxies}

                await rig.eventually(served, 20, "every proxy still sends")
            for server in out[0]:
                await rig.tell("n1", f"enable server {server}")

    run_group(tmp_path, scenario)


def test_a_restored_old_folder_is_refused_with_a_reason_and_set_aside(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        server, leader = server_name(rig, 0), await rig.leader()
        name = next(one for one in rig.names if one != leader)
        member = rig.members[name]
        await rig.tell(name, f"set weight {server} 3")
        await rig.settled()
        copy = member.keep_copy("old")
        for value in range(4, 9):
            await rig.tell(name, f"set weight {server} {value}")
        await rig.kill(name)
        member.put_back(copy)
        await rig.start(name)
        await rig.settled()
        await await_wish(rig, rig.names, server, "weight=8")
        assert any("old-folder" in str(line) for line in member.log), rig.tail()
        aside = [one for one in member.place.rglob("*") if one.is_file() and "folder" in str(one)]
        assert len(aside) > len(list(member.folder.rglob("*"))) if member.folder else False, aside

    run_group(tmp_path, scenario)


def test_a_clone_of_a_member_is_refused_with_a_reason(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        leader = await rig.leader()
        name = next(one for one in rig.names if one != leader)
        clone = rig.clone(name)
        await clone.start()
        try:

            async def named() -> bool:
                return any(
                    "cloned" in str(line) or "superseded" in str(line)
                    for one in (clone, *rig.members.values())
                    for line in one.log
                )

            await rig.eventually(named, 30, "a clone refused by name")
            await rig.tell(leader, f"set weight {server_name(rig, 0)} 3")
            await await_wish(rig, [leader], server_name(rig, 0), "weight=3")
        finally:
            await clone.kill()

    run_group(tmp_path, scenario)


@pytest.mark.parametrize("disk", [True, False])
def test_members_lost_one_after_another_lose_no_command_with_or_without_a_disk(
    tmp_path: Path, disk: bool
) -> None:
    async def scenario(rig: Rig) -> None:
        async def losses(history: History) -> None:
            for name in rig.names:
                await rig.tell(name, f"set weight {server_name(rig, 0)} {int(name[1]) + 10}")
                await rig.kill(name, wipe=True)
                await rig.tell(rig.running()[0], f"set weight {server_name(rig, 1)} {int(name[1]) + 20}")
                await rig.start(name)
                await rig.settled()

        await run_operators(rig, losses)
        await await_wish(rig, rig.names, server_name(rig, 0), "weight=13")
        if disk:
            for name in rig.names:
                await rig.members[name].kill()
            await asyncio.gather(*(rig.start(name) for name in rig.names))
            await rig.settled()
        await await_wish(rig, rig.names, server_name(rig, 1), "weight=23")

    run_group(tmp_path, scenario, disk=disk)


def test_a_drain_at_one_member_applies_at_every_proxy_through_a_takeover(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        fleet = rig.fleet

        async def bound() -> bool:
            return all(proxy.steered for proxy in fleet.proxies)

        await rig.eventually(bound, 20, "all proxies bound")
        await rig.tell("n2", f"disable server {server_name(rig, 0)}")

        async def drained() -> bool:
            return fleet.unused("s-0")

        await rig.eventually(drained, 20, "drained at the proxies of all")
        # So long a log that a member which applies it again must not throttle it like a flood of commands.
        await asyncio.gather(
            *(
                rig.tell(rig.names[turn % 3], f"set weight {server_name(rig, 7)} {turn + 1}")
                for turn in range(80)
            )
        )
        at = rig.now()
        first = await rig.leader()
        await rig.kill(first, wipe=True)
        await rig.start(first)
        await rig.settled()
        rig.spread()

        async def moved() -> bool:
            return all(proxy.steered for proxy in fleet.proxies) and all(
                len(one.since(at)) > 5 for name, one in fleet.servers.items() if name != "s-0"
            )

        await rig.eventually(moved, 20, "flows to all servers in service")
        assert not fleet.servers["s-0"].since(at) and not fleet.let_in("s-0", at)
        await rig.tell("n3", f"enable server {server_name(rig, 0)}")

        async def back() -> bool:
            users = [proxy for proxy in fleet.proxies if proxy.zone == fleet.servers["s-0"].zone]
            return all(proxy.uses("s-0") for proxy in users)

        await rig.eventually(back, 20, "let in again by all")

    run_group(tmp_path, scenario)

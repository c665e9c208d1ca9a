"""The stand-ins themselves: the breaker against an echo, and coordinators that share nothing in the rig."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from ambershift.coordinator.groupsim.history import Outcome
from ambershift.coordinator.runtime.client import Reply
from ambershift.coordinator.standins.breaker import Breaker, Net
from ambershift.coordinator.standins.fleet import Fleet
from ambershift.coordinator.standins.histories import judge, weight, wished
from ambershift.coordinator.standins.keeping import Keeper
from ambershift.coordinator.standins.relay import Relay
from ambershift.coordinator.standins.rig import Rig, own_host
from ambershift.coordinator.standins.world import server, until

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Dial = Callable[[], Awaitable[Streams]]


@contextlib.asynccontextmanager
async def echoing() -> AsyncIterator[tuple[Net, list[bytes], Dial]]:
    """Members a and b; b echoes, and `heard` is what came to it. The third gives a's connections to b."""
    heard, host, writers = list[bytes](), own_host(), list[asyncio.StreamWriter]()

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                heard.append(data)
                writer.write(data)
        writer.close()

    net = Net(host, ["a", "b"], [7001, 7002], 7100)
    echoes = await asyncio.start_server(echo, host, 7002)
    await net.open()

    async def dial() -> Streams:
        streams = await asyncio.open_connection(host, net.breakers["a", "b"].port)
        writers.append(streams[1])
        return streams

    try:
        yield net, heard, dial
    finally:
        for writer in writers:
            writer.transport.abort()
        net.close()
        echoes.close()


def echo_test(act: Callable[[Net, list[bytes], Dial, Streams], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(20), echoing() as (net, heard, dial):
            reader, writer = await dial()
            writer.write(b"first")
            assert await reader.readexactly(5) == b"first"
            await act(net, heard, dial, (reader, writer))

    asyncio.run(whole())


def lost(net: Net) -> int:
    return sum(way.swallowed for breaker in net.breakers.values() for way in (breaker.forward, breaker.back))


@pytest.mark.parametrize(("sender", "receiver", "comes"), [("a", "b", False), ("b", "a", True)])
def test_what_is_cut_one_way_is_lost_and_a_connection_that_lost_something_ends_at_the_mending(
    sender: str, receiver: str, comes: bool
) -> None:
    async def act(net: Net, heard: list[bytes], dial: Dial, held: Streams) -> None:
        net.cut(sender, receiver)
        held[1].write(b"second")
        await until(lambda: lost(net) == 6)
        assert (b"second" in heard) == comes
        new = await dial()  # Comes up at the breaker, and stays silent until the cut is over.
        new[1].write(b"third")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(held[0].read(1), 0.05)
        net.heal()
        for reader, _ in (held, new):
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
        reader, writer = await dial()
        writer.write(b"fourth")
        assert await reader.readexactly(6) == b"fourth" and b"third" not in heard

    echo_test(act)


def test_what_is_held_comes_out_in_order_and_whole() -> None:
    async def act(net: Net, heard: list[bytes], dial: Dial, held: Streams) -> None:
        net.hold("a", "b")
        data = b"".join(at.to_bytes(4) for at in range(50_000))
        sent = asyncio.create_task(send(held[1], data))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(held[0].read(1), 0.05)
        assert heard == [b"first"]
        net.heal()
        assert await held[0].readexactly(len(data)) == data
        await sent

    echo_test(act)


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


@pytest.mark.parametrize("count", [1, 7, 300])
def test_a_link_is_reset_at_the_byte_and_slowed_to_its_rate(count: int) -> None:
    async def act(net: Net, heard: list[bytes], dial: Dial, held: Streams) -> None:
        loop, size = asyncio.get_running_loop(), 2000
        net.slow("b", "a", 10_000.0)
        started = loop.time()
        held[1].write(bytes(size))
        await held[0].readexactly(size)
        assert loop.time() - started >= 0.8 * (size - 256) / 10_000  # The last piece waits for nobody.
        net.heal()
        net.reset_at("a", "b", count)
        before = sum(map(len, heard))
        held[1].write(b"x" * 1000)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await held[0].readexactly(1000)
        await until(lambda: net.breakers["a", "b"].resets == 1)
        assert sum(map(len, heard)) - before <= count
        reader, writer = await dial()
        writer.write(b"again")
        assert await reader.readexactly(5) == b"again"

    echo_test(act)


def test_a_half_open_link_tells_nothing_to_the_end_that_is_left() -> None:
    async def act(net: Net, heard: list[bytes], dial: Dial, held: Streams) -> None:
        net.half_open("a", "b")
        for _ in range(3):
            held[1].write(b"lost")
            await held[1].drain()
        await until(lambda: lost(net) == 12)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(held[0].read(1), 0.05)
        assert heard == [b"first"]
        fresh, writer = await dial()
        writer.write(b"new")
        assert await fresh.readexactly(3) == b"new"
        net.heal()
        with pytest.raises(ConnectionResetError):
            await held[0].readexactly(1)

    echo_test(act)


def test_a_split_cuts_just_what_lies_between_its_parts() -> None:
    names = ["a", "b", "c", "d", "e"]
    net = Net("127.0.0.1", names, range(5), 9000)
    net.split("ab", "c")
    cut = {
        pair
        for pair in itertools.permutations(names, 2)
        if any(way.mode.name == "SWALLOW" for way in net.ways(*pair))
    }
    assert cut == set(itertools.permutations(names, 2)) - {("a", "b"), ("b", "a")}
    assert isinstance(net.breakers["a", "c"], Breaker)
    net.heal()
    assert all(way.mode.name == "PASS" for pair in cut for way in net.ways(*pair))


def test_coordinators_that_share_nothing_drain_at_a_word_and_take_over_proxies(tmp_path: Path) -> None:
    async def whole() -> None:
        async with asyncio.timeout(60), Rig(tmp_path, 2, grouped=False) as rig:
            fleet = rig.fleet
            await until(lambda: all(proxy.steered for proxy in fleet.proxies))
            await until(lambda: all(one.flows for one in fleet.servers.values()), 20)
            await rig.tell("n1", "disable server east/s-0")
            mine = [proxy for proxy in fleet.proxies if proxy.member == "n1"]
            others = [proxy for proxy in fleet.proxies if proxy.member == "n2"]
            await until(lambda: not any(proxy.uses("s-0") for proxy in mine))
            assert any(proxy.uses("s-0") for proxy in others)  # Nothing is held in common here.
            at = rig.now()
            await until(lambda: len(fleet.servers["s-2"].since(at)) > 20, 20)
            steered = {proxy.number for proxy in mine}
            assert not [flow for flow in fleet.servers["s-0"].since(at) if flow.proxy in steered]
            # A list's word goes to all; the drain of n1 ends with n1, whose proxies n2 takes over.
            rig.discovery.change(server(1, "draining"))
            await until(lambda: fleet.unused("s-1"))
            rig.members["n2"].stop()
            with pytest.raises(AssertionError, match="within"):
                await rig.eventually(lambda: rig.rows("n2", "show standing json"), 0.3, "an answer")
            rig.members["n2"].go_on()
            await rig.kill("n1")
            assert {proxy.member for proxy in fleet.proxies} == {"n2"}
            await until(lambda: all(proxy.uses("s-0") for proxy in fleet.proxies if proxy.zone == "east"))
            assert fleet.unused("s-1") and not fleet.let_in("s-1", 0)
            await rig.start("n1")
            await until(lambda: rig.fleet.relays["n1"].followers, 20)
            rig.spread()
            await until(lambda: all(proxy.steered for proxy in fleet.proxies))
            agents = [agent for agent in rig.agents if agent.member == "n1"]
            before = sum(agent.reports for agent in agents)
            await until(lambda: sum(agent.reports for agent in agents) > before + 1, 20)
            assert await rig.members["n2"].terminate() == 0
            assert not any(member.raw for member in rig.members.values()), rig.tail()
            assert not any(member.logged("failure") for member in rig.members.values()), rig.tail()

    asyncio.run(whole())


def fleet_of(count: int, clock: list[float]) -> Fleet:
    fleet = Fleet(
        ["east", "west"], ["play"], [server(at) for at in range(count)], 4, 1.0, 5.0, lambda: clock[0], 1
    )
    for member, proxies in (("n1", (0, 1)), ("n2", (2, 3))):
        fleet.add(member, Relay())
        for number in proxies:
            fleet.move(fleet.proxies[number], member)
        fleet.apply(
            member,
            [*(f"put,1,s-{at},1" for at in range(count)), *(f"attach,{number},1,*" for number in proxies)],
            list(proxies),
        )
    return fleet


def test_the_keeper_finds_each_moment_at_which_an_agreement_does_not_hold() -> None:
    clock = [0.0]
    keeper = Keeper(fleet := fleet_of(6, clock), capacity=4.0, out_most=2)
    for at, member, order in ((1.0, "n1", "eject,s-0"), (1.1, "n2", "eject,s-0"), (2.0, "n2", "eject,s-1")):
        clock[0] = at
        fleet.apply(member, [order], [0, 1, 2, 3])
    assert not keeper.breaches and (keeper.most_out, keeper.least) == (2, 4.0)
    clock[0] = 3.0
    fleet.apply("n1", ["uneject,s-0", "eject,s-2"], [0, 1])  # s-0 is still out at the proxies of n2.
    assert [one.what[:5] for one in keeper.breaches] == ["3 out", "3 war"]
    fleet.servers["s-0"].started = fleet.servers["s-1"].started = 3.0  # Back, and still cold.
    fleet.apply("n2", ["uneject,s-0", "uneject,s-1"], [2, 3])
    assert keeper.breaches[-1].what == "3 warm and usable, 4 agreed; not: s-0, s-1, s-2"
    found, clock[0] = len(keeper.breaches), 4.1
    fleet.apply("n1", ["eject,s-1"], [0, 1])
    assert len(keeper.breaches) == found and keeper.twice() == ["s-1"]
    fleet.apply("n2", ["eject,s-0"], [2, 3])
    assert keeper.twice() == ["s-0", "s-1"] and keeper.breaches[found].what.startswith("3 out")


def test_a_proxy_goes_on_with_what_it_holds_until_another_coordinator_binds_it() -> None:
    clock = [0.0]
    fleet = fleet_of(4, clock)
    fleet.apply("n1", ["eject,s-0"], [0, 1])
    fleet.died("n1")
    fleet.take_over("n1", ["n2"])
    assert {proxy.member for proxy in fleet.proxies} == {"n2"}
    assert [proxy.uses("s-0") for proxy in fleet.proxies] == [False, False, True, True]
    assert not fleet.unused("s-0") and fleet.out() == {"s-0"}
    fleet.apply("n1", ["put,1,s-1,0"], [0, 1])  # Who is gone steers nobody any more.
    assert fleet.proxies[0].uses("s-1")
    fleet.apply("n2", ["eject,s-3", "attach,0,1,*"], [0, 2, 3])
    assert fleet.proxies[0].shut == {"s-3"} and fleet.proxies[1].shut == {"s-0"}
    assert [(one.proxy, one.server) for one in fleet.shuts if not one.out] == [(0, "s-0")]
    fleet.apply("n2", ["put,1,s-1,0", "eject,s-0", "wipe,2"], [0, 1, 2, 3])
    assert fleet.unused("s-0") and not fleet.proxies[0].uses("s-1") and fleet.proxies[1].uses("s-1")
    # A table without what was shut out keeps it away; a line for it lets it in.
    fleet.died("n1")
    fleet.apply("n2", ["put,3,s-2,1", "uneject,s-0", "eject,s-0", "attach,1,3,*"], [1, 2, 3])
    fleet.withdrawn["n2"].discard("s-0")
    fleet.apply("n2", ["attach,1,3,*"], [1])
    assert "s-0" in fleet.proxies[1].shut
    fleet.apply("n2", ["put,3,s-0,1"], [1])
    assert fleet.proxies[1].uses("s-0")
    fleet.apply("n2", ["eject,s-0"], [0, 1, 2, 3])
    clock[0] = 5.0
    for _ in range(5):
        fleet.tick(1.0)
    assert not fleet.servers["s-0"].flows and fleet.servers["s-2"].flows


def test_answers_are_judged_by_what_they_tell_of_the_outcome() -> None:
    told = {
        "Refused (no-majority): come back in 500 ms.": Outcome.REFUSED,
        "No such server.": Outcome.REFUSED,
        "Refused (outcome-unknown): ask again.": Outcome.UNKNOWN,
    }
    assert {text: judge(Reply(text, 3)) for text in told} == told
    assert judge(Reply("", None)) is Outcome.DONE is judge(Reply("Done.", 6))
    assert wished("ready,weight=" + weight(137)) == weight(137) == "2.37" and wished("maint") is None
    assert len({weight(at) for at in range(1, 25_501)}) == 25_500 and float(weight(25_500)) == 256

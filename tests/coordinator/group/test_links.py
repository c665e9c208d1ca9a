"""Links between members under bad, slow, deaf and foreign ones: a close with a named reason and a count."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
import pytest

from ambershift.coordinator.group.counting import Counting
from ambershift.coordinator.group.links import accepted, dialled
from ambershift.coordinator.group.links.gate import Gate, Mine
from ambershift.coordinator.group.links.links import Links
from ambershift.coordinator.group.links.queue import FullError, Queue
from ambershift.coordinator.group.links.source import Source
from ambershift.coordinator.group.links.wire import (
    MESSAGE_MOST,
    WIRE,
    Close,
    Hello,
    Kind,
    Refused,
    Role,
    UnreadableError,
    Welcome,
    encode,
    frame,
    read_reply,
)
from ambershift.coordinator.group.links.words import Peer
from ambershift.coordinator.standins.rig import own_host
from ambershift.coordinator.standins.world import until

VOTERS = ("a", "b", "c")
PORTS = itertools.count(7000)


class Top:
    """What stands above the links of one member, and what it was told."""

    def __init__(self, name: str, host: str, port: int, others: dict[str, int], **mine: Any) -> None:
        self.now = Mine(name, "g", VOTERS, frozenset(VOTERS), 5, "G")._replace(**mine)
        self.got, self.log = list[tuple[str, Kind, bytes]](), list[tuple[str, dict[str, Any]]]()
        self.gone_from, self.refusals = list[str](), list[tuple[str, Refused]]()
        self.samples = list[bytes]()
        self.links = Links(
            (host, port),
            [Peer(one, host, at) for one, at in others.items()],
            self,
            lambda event, **fields: self.log.append((event, fields)),
            7,
        )

    def mine(self) -> Mine:
        return self.now

    def heard(self, sender: str, kind: Kind, payload: bytes) -> None:
        if payload == b"bad":
            raise UnreadableError("no message")
        if payload == b"broken":
            raise KeyError("of ours")
        self.got.append((sender, kind, payload))

    def gone(self, member: str) -> None:
        self.gone_from.append(member)

    def came(self, member: str) -> None: ...

    def refused(self, member: str, refused: Refused) -> None:
        self.refusals.append((member, refused))

    def counters(self, name: str, payload: bytes) -> None:
        Counting.counters(self, name, payload)  # type: ignore[arg-type]

    class waiting:  # noqa: N801 - stands in for the deque of the counting
        extend = staticmethod(lambda samples: None)

    class fresh:  # noqa: N801
        set = staticmethod(lambda: None)

    def count(self, name: str) -> int:
        return self.links.tally.counts[name]


def play(act: Callable[..., Awaitable[None]], *names: str, open_all: bool = True, **mine: Any) -> None:
    """`act` with the tops of these members; the first one's fields are `mine`."""

    async def run() -> None:
        host, ports = own_host(), {name: next(PORTS) for name in names}
        tops = [
            Top(
                name,
                host,
                ports[name],
                {one: at for one, at in ports.items() if one != name},
                **(mine if name == names[0] else {}),
            )
            for name in names
        ]
        for top in tops[: None if open_all else 1]:
            await top.links.open()
        try:
            async with asyncio.timeout(20):
                await act(*tops)
        finally:
            for top in tops:
                await top.links.close()

    asyncio.run(run())


def hello(**changes: Any) -> Hello:
    return msgspec.structs.replace(
        Hello(WIRE, "x", Role.MEMBER, "b", "a", 9, "run", "G", "g", VOTERS), **changes
    )


async def by_hand(top: Top, first: Any, *more: Any, text: bool = False) -> tuple[Any, Any]:
    """The reply to what is said first, and the code with which the link ended, None while it stands."""
    host, port = top.links.listen
    async with aiohttp.ClientSession() as session, session.ws_connect(f"http://{host}:{port}/") as socket:
        await (
            socket.send_str(first)
            if text
            else socket.send_bytes(first if isinstance(first, bytes) else encode(first))
        )
        message = await socket.receive(timeout=5)
        if message.type is not aiohttp.WSMsgType.BINARY:
            return None, socket.close_code
        reply = read_reply(message.data)
        with contextlib.suppress(ConnectionError, aiohttp.ClientError):  # Closed while it still sends.
            for one in more:
                await socket.send_bytes(one)
        if more or isinstance(reply, Refused):
            ended = await socket.receive(timeout=5)
            assert ended.type in (aiohttp.WSMsgType.CLOSE, aiohttp.WSMsgType.CLOSED), ended
        return reply, socket.close_code


REFUSED = [
    ({"name": "x"}, Close.UNKNOWN_MEMBER),
    ({"to": "c"}, Close.UNKNOWN_MEMBER),
    ({"voters": ("a", "b")}, Close.OTHER_MEMBERS),
    ({"title": "h"}, Close.OTHER_GROUP),
    ({"group": "H"}, Close.OTHER_GROUP),
    ({"incarnation": 3}, Close.SUPERSEDED),
    ({"incarnation": 4, "run": "other"}, Close.CLONED),
    ({"name": "a"}, Close.CLONED),
    ({"wire": 9}, Close.UNREADABLE),
    ({"role": "king"}, Close.UNKNOWN_MEMBER),
]


@pytest.mark.parametrize(("changes", "reason"), REFUSED, ids=str)
def test_a_hello_is_refused_by_name_and_counted(changes: dict[str, Any], reason: Close) -> None:
    async def act(top: Top) -> None:
        top.links.acceptor.gate.known["b"] = 4, "run"
        reply, _ = await by_hand(top, hello(**changes))
        assert isinstance(reply, Refused) and reply.reason == reason and top.count(reason) == 1
        assert reply.known == (4 if changes.get("incarnation") else 5 if changes.get("name") == "a" else 0)
        assert [fields["reason"] for event, fields in top.log if event == "link_closed"] == [reason]

    play(act, "a")


def test_who_is_let_in_and_what_counts_as_the_same_life() -> None:
    mine, gate = Mine("a", "g", VOTERS, frozenset(VOTERS), 5, ""), Gate()
    assert gate.judge(mine, hello(group="H", voters=("c", "b", "a"))) is None  # It knows no group yet.
    assert gate.judge(mine, hello()) is None  # Again: it has dialled anew.
    assert gate.judge(mine, hello(incarnation=12, run="next")) is None
    assert gate.known["b"] == (12, "next")
    assert gate.judge(mine, hello(role=Role.COUNTERS, name="perf", voters=())) is None
    away = gate.judge(mine, hello(role=Role.COUNTERS), loopback=False)
    assert away is not None and away.reason == Close.UNKNOWN_MEMBER


FRAMES = [
    (frame(Kind.REPLICA, b"bad"), Close.UNREADABLE, 1007),
    (frame(Kind.REPLICA, b"broken"), Close.UNREADABLE, 1007),
    (b"", Close.UNREADABLE, 1007),
    (b"\x63what", Close.UNREADABLE, 1007),
    (frame(Kind.COUNTERS, b"\x90"), Close.UNREADABLE, 1007),
    (bytes(MESSAGE_MOST + 1), Close.TOO_LARGE, 1009),
]


@pytest.mark.parametrize(
    ("data", "reason", "code"), FRAMES, ids=["bad", "broken", "empty", "kind", "counters", "large"]
)
def test_a_bad_frame_ends_the_link_by_name_and_costs_no_other(data: bytes, reason: Close, code: int) -> None:
    async def act(top: Top, other: Top) -> None:
        await until(lambda: not top.links.tally.ways["c"])
        reply, ended = await by_hand(top, hello(), frame(Kind.HEARD, b"good"), data, frame(Kind.HEARD, b"x"))
        assert isinstance(reply, Welcome) and ended in (code, 1006 if reason is Close.TOO_LARGE else code)
        assert top.got == [("b", Kind.HEARD, b"good")] and top.count(reason) == 1
        assert ("failure" in [event for event, _ in top.log]) == data.endswith(b"broken")
        assert other.links.send("a", Kind.HEARD, b"still there")
        await until(lambda: ("c", Kind.HEARD, b"still there") in top.got)

    play(act, "a", "c")


@pytest.mark.parametrize(
    ("first", "text"),
    [(b"\x91rubbish", False), (bytes(range(64)), False), ("hello", True), (bytes(20_000), False)],
)
def test_what_is_no_hello_is_closed(first: Any, text: bool) -> None:
    async def act(top: Top) -> None:
        reply, code = await by_hand(top, first, text=text)
        assert reply is None and code == 1007 and top.count(Close.UNREADABLE) == 1

    play(act, "a")


def test_who_says_nothing_is_closed_and_too_many_are_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accepted, "HELLO_WITHIN", 0.3)
    monkeypatch.setattr(accepted, "SPARE_MOST", 1)

    async def act(top: Top) -> None:
        host, port = top.links.listen
        async with aiohttp.ClientSession() as session:
            silent = [await session.ws_connect(f"http://{host}:{port}/") for _ in range(4)]
            with pytest.raises(aiohttp.WSServerHandshakeError):
                await session.ws_connect(f"http://{host}:{port}/")
            for one in silent:
                assert (await one.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
        assert top.count(Close.SILENT) == 4 and top.count(Close.TOO_MANY) == 1

    play(act, "a")


def test_frames_come_whole_and_in_order_and_a_break_is_told() -> None:
    async def act(a: Top, b: Top) -> None:
        assert not a.links.send("b", Kind.REPLICA, b"too soon")
        assert not a.links.send("nobody", Kind.REPLICA, b"")
        await until(lambda: not a.links.tally.ways["b"] and not b.links.tally.ways["a"])
        sent = [bytes([at % 251]) * (at * 97 % 5000) for at in range(2000)]
        for one in sent:
            assert a.links.send("b", Kind.REPLICA, one)
            await asyncio.sleep(0)
        await until(lambda: len(b.got) == len(sent))
        assert [payload for _, _, payload in b.got] == sent
        await b.links.close()
        await until(lambda: a.gone_from == ["b"])
        assert a.links.tally.ways["b"] and not a.links.send("b", Kind.REPLICA, b"lost")
        assert a.count(Close.AWAY) + a.count(Close.ENDED) == 1

    play(act, "a", "b")


async def deaf(host: str, port: int, answer: bytes) -> asyncio.Server:
    """Takes the handshake and the hello, welcomes, and reads no more."""
    from aiohttp import web

    async def serve(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        await socket.receive()
        await socket.send_bytes(answer)
        request.transport.pause_reading()  # type: ignore[union-attr]
        await asyncio.sleep(60)
        return socket

    app = web.Application()
    app.router.add_get("/", serve)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner  # type: ignore[return-value]


@pytest.mark.parametrize("flood", [True, False])
def test_a_deaf_member_is_dropped_by_name_and_the_loop_goes_on(
    flood: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(dialled, "WRITE_LIMIT", 30.0 if flood else 0.3)
    monkeypatch.setattr(dialled, "HEARTBEAT", 60.0)

    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: not a.links.tally.ways["b"])
        turns = list[float]()
        clock = asyncio.get_running_loop().time
        while not a.gone_from:
            started = clock()
            for _ in range(64 if flood else 4):
                a.links.send("b", Kind.REPLICA, bytes(60_000))
            a.links.send("b", Kind.HEARD, bytes(60_000))
            await asyncio.sleep(0)
            turns.append(clock() - started)
        assert a.count(Close.TOO_SLOW) == 1 and a.gone_from == ["b"] and max(turns) < 1.0
        assert a.links.dialled["b"].queue.held == 0
        if flood:
            assert a.count("heard-left-out")  # What comes again by itself gave way first.
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


def test_a_stopped_peer_is_noticed_by_its_missing_pong(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dialled, "HEARTBEAT", 0.2)

    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: a.gone_from == ["b"], 5)
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


@pytest.mark.parametrize(
    ("answer", "reason"), [(encode(Welcome("x", "c", 1)), Close.UNREADABLE), (b"rubbish", Close.UNREADABLE)]
)
def test_who_answers_as_another_gets_nothing(answer: bytes, reason: Close) -> None:
    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, answer)
        await until(lambda: a.links.tally.ways["b"] == reason)
        assert not a.links.send("b", Kind.REPLICA, b"secret") and not a.gone_from
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


def test_a_refusal_is_told_once_and_tried_again_until_it_is_mended() -> None:
    async def act(a: Top, b: Top) -> None:
        await until(lambda: len(a.refusals) > 1)
        assert {one.reason for _, one in a.refusals} == {Close.OTHER_MEMBERS}
        assert len([1 for event, _ in a.log if event == "link_refused"]) == 1
        assert a.links.tally.ways["b"] == Close.OTHER_MEMBERS
        a.now = a.now._replace(voters=VOTERS)
        await until(lambda: not a.links.tally.ways["b"])

    play(act, "a", "b", voters=("a",))


def test_who_dials_anew_takes_the_place_of_the_half_open_link() -> None:
    async def act(top: Top) -> None:
        host, port = top.links.listen
        async with aiohttp.ClientSession() as session:
            old = await session.ws_connect(f"http://{host}:{port}/")
            await old.send_bytes(encode(hello()))
            await old.receive()
            new = await session.ws_connect(f"http://{host}:{port}/")
            await new.send_bytes(encode(hello()))
            await new.receive()
            await new.send_bytes(frame(Kind.REPLICA, b"now"))
            assert (await old.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
            await until(lambda: top.got == [("b", Kind.REPLICA, b"now")])
        assert top.count(Close.REPLACED) == 1

    play(act, "a")


def test_counters_come_in_and_rubbish_of_them_is_closed() -> None:
    async def act(top: Top) -> None:
        host, port = top.links.listen
        async with Source("perf", "g", Peer("a", host, port), lambda event, **fields: None) as source:
            await asyncio.wait_for(source.stands.wait(), 5)
            assert source.send(msgspec.msgpack.encode([]))
            assert source.send(b"\xc1")
            await until(lambda: not source.stands.is_set())
        assert top.count(Close.UNREADABLE) == 1 and not top.got
        assert [fields["member"] for event, fields in top.log if event == "link_closed"] == ["counters perf"]

    play(act, "a")


def test_a_queue_is_bounded_by_frames_and_bytes_and_heard_gives_way() -> None:
    queue = Queue(frames=8, size=100)
    assert queue.put(Kind.HEARD, bytes(20)) and not queue.put(Kind.HEARD, bytes(20))
    assert queue.put(Kind.REPLICA, bytes(70)) and queue.held == 90
    with pytest.raises(FullError):
        queue.put(Kind.REPLICA, bytes(20))
    assert len(queue.take()) == 20 and queue.put(Kind.REPLICA, bytes(30)) and queue.held == 100
    queue.clear()
    for _ in range(8):
        queue.put(Kind.REPLICA, b"")
    with pytest.raises(FullError):
        queue.put(Kind.REPLICA, b"")

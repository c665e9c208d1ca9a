"""Links between members under bad, slow, deaf and foreign ones: a close with a named reason and a count."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
import pytest

from ambershift.coordinator.group.interference_worker import InterferenceWorker
from ambershift.coordinator.group.links import incoming, outgoing
from ambershift.coordinator.group.links.counter_source import CounterSource
from ambershift.coordinator.group.links.handshake import HandshakeValidator, LocalIdentity
from ambershift.coordinator.group.links.interfaces import Peer
from ambershift.coordinator.group.links.link_manager import LinkManager
from ambershift.coordinator.group.links.send_queue import FullError, SendQueue
from ambershift.coordinator.group.links.wire import (
    MAX_MESSAGE_BYTES,
    WIRE_VERSION,
    CloseReason,
    FrameKind,
    Hello,
    Refusal,
    Role,
    UnreadableError,
    Welcome,
    decode_reply,
    encode,
    encode_frame,
)
from ambershift.coordinator.standins.rig import own_host
from ambershift.coordinator.standins.world import until

VOTERS = ("a", "b", "c")
PORTS = itertools.count(7000)


class Top:
    """What stands above the links of one member, and what it was told."""

    def __init__(self, name: str, host: str, port: int, others: dict[str, int], **mine: Any) -> None:
        self.now = LocalIdentity(name, "g", VOTERS, frozenset(VOTERS), 5, "G")._replace(**mine)
        self.got, self.log = list[tuple[str, FrameKind, bytes]](), list[tuple[str, dict[str, Any]]]()
        self.gone_from, self.refusals = list[str](), list[tuple[str, Refusal]]()
        self.samples = list[bytes]()
        self.links = LinkManager(
            (host, port),
            [Peer(one, host, at) for one, at in others.items()],
            self,
            lambda event, **fields: self.log.append((event, fields)),
            7,
        )

    def mine(self) -> LocalIdentity:
        return self.now

    def heard(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        if payload == b"bad":
            raise UnreadableError("no message")
        if payload == b"broken":
            raise KeyError("of ours")
        self.got.append((sender, kind, payload))

    def gone(self, member: str) -> None:
        self.gone_from.append(member)

    def came(self, member: str) -> None: ...

    def refused(self, member: str, refused: Refusal) -> None:
        self.refusals.append((member, refused))

    def counters(self, name: str, payload: bytes) -> None:
        InterferenceWorker.counters(self, name, payload)  # type: ignore[arg-type]

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
        Hello(WIRE_VERSION, "x", Role.MEMBER, "b", "a", 9, "run", "G", "g", VOTERS), **changes
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
        reply = decode_reply(message.data)
        with contextlib.suppress(ConnectionError, aiohttp.ClientError):  # Closed while it still sends.
            for one in more:
                await socket.send_bytes(one)
        if more or isinstance(reply, Refusal):
            ended = await socket.receive(timeout=5)
            assert ended.type in (aiohttp.WSMsgType.CLOSE, aiohttp.WSMsgType.CLOSED), ended
        return reply, socket.close_code


REFUSED = [
    ({"name": "x"}, CloseReason.UNKNOWN_MEMBER),
    ({"to": "c"}, CloseReason.UNKNOWN_MEMBER),
    ({"voters": ("a", "b")}, CloseReason.OTHER_MEMBERS),
    ({"title": "h"}, CloseReason.OTHER_GROUP),
    ({"group": "H"}, CloseReason.OTHER_GROUP),
    ({"incarnation": 3}, CloseReason.SUPERSEDED),
    ({"incarnation": 4, "run": "other"}, CloseReason.CLONED),
    ({"name": "a"}, CloseReason.CLONED),
    ({"wire": 9}, CloseReason.UNREADABLE),
    ({"role": "king"}, CloseReason.UNKNOWN_MEMBER),
]


@pytest.mark.parametrize(("changes", "reason"), REFUSED, ids=str)
def test_a_hello_is_refused_by_name_and_counted(changes: dict[str, Any], reason: CloseReason) -> None:
    async def act(top: Top) -> None:
        top.links.acceptor.gate.known["b"] = 4, "run"
        reply, _ = await by_hand(top, hello(**changes))
        assert isinstance(reply, Refusal) and reply.reason == reason and top.count(reason) == 1
        assert reply.known == (4 if changes.get("incarnation") else 5 if changes.get("name") == "a" else 0)
        assert [fields["reason"] for event, fields in top.log if event == "link_closed"] == [reason]

    play(act, "a")


def test_who_is_let_in_and_what_counts_as_the_same_life() -> None:
    mine, gate = LocalIdentity("a", "g", VOTERS, frozenset(VOTERS), 5, ""), HandshakeValidator()
    assert gate.judge(mine, hello(group="H", voters=("c", "b", "a"))) is None  # It knows no group yet.
    assert gate.judge(mine, hello()) is None  # Again: it has dialled anew.
    assert gate.judge(mine, hello(incarnation=12, run="next")) is None
    assert gate.known["b"] == (12, "next")
    assert gate.judge(mine, hello(role=Role.COUNTERS, name="perf", voters=())) is None
    away = gate.judge(mine, hello(role=Role.COUNTERS), loopback=False)
    assert away is not None and away.reason == CloseReason.UNKNOWN_MEMBER


FRAMES = [
    (encode_frame(FrameKind.REPLICA, b"bad"), CloseReason.UNREADABLE, 1007),
    (encode_frame(FrameKind.REPLICA, b"broken"), CloseReason.UNREADABLE, 1007),
    (b"", CloseReason.UNREADABLE, 1007),
    (b"\x63what", CloseReason.UNREADABLE, 1007),
    (encode_frame(FrameKind.COUNTERS, b"\x90"), CloseReason.UNREADABLE, 1007),
    (bytes(MAX_MESSAGE_BYTES + 1), CloseReason.TOO_LARGE, 1009),
]


@pytest.mark.parametrize(
    ("data", "reason", "code"), FRAMES, ids=["bad", "broken", "empty", "kind", "counters", "large"]
)
def test_a_bad_frame_ends_the_link_by_name_and_costs_no_other(
    data: bytes, reason: CloseReason, code: int
) -> None:
    async def act(top: Top, other: Top) -> None:
        await until(lambda: not top.links.tally.ways["c"])
        reply, ended = await by_hand(
            top, hello(), encode_frame(FrameKind.HEARD, b"good"), data, encode_frame(FrameKind.HEARD, b"x")
        )
        assert isinstance(reply, Welcome) and ended in (
            code,
            1006 if reason is CloseReason.TOO_LARGE else code,
        )
        assert top.got == [("b", FrameKind.HEARD, b"good")] and top.count(reason) == 1
        assert ("failure" in [event for event, _ in top.log]) == data.endswith(b"broken")
        assert other.links.send("a", FrameKind.HEARD, b"still there")
        await until(lambda: ("c", FrameKind.HEARD, b"still there") in top.got)

    play(act, "a", "c")


@pytest.mark.parametrize(
    ("first", "text"),
    [(b"\x91rubbish", False), (bytes(range(64)), False), ("hello", True), (bytes(20_000), False)],
)
def test_what_is_no_hello_is_closed(first: Any, text: bool) -> None:
    async def act(top: Top) -> None:
        reply, code = await by_hand(top, first, text=text)
        assert reply is None and code == 1007 and top.count(CloseReason.UNREADABLE) == 1

    play(act, "a")


def test_who_says_nothing_is_closed_and_too_many_are_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incoming, "HELLO_WITHIN", 0.3)
    monkeypatch.setattr(incoming, "SPARE_MOST", 1)

    async def act(top: Top) -> None:
        host, port = top.links.listen
        async with aiohttp.ClientSession() as session:
            silent = [await session.ws_connect(f"http://{host}:{port}/") for _ in range(4)]
            with pytest.raises(aiohttp.WSServerHandshakeError):
                await session.ws_connect(f"http://{host}:{port}/")
            for one in silent:
                assert (await one.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
        assert top.count(CloseReason.SILENT) == 4 and top.count(CloseReason.TOO_MANY) == 1

    play(act, "a")


def test_frames_come_whole_and_in_order_and_a_break_is_told() -> None:
    async def act(a: Top, b: Top) -> None:
        assert not a.links.send("b", FrameKind.REPLICA, b"too soon")
        assert not a.links.send("nobody", FrameKind.REPLICA, b"")
        await until(lambda: not a.links.tally.ways["b"] and not b.links.tally.ways["a"])
        sent = [bytes([at % 251]) * (at * 97 % 5000) for at in range(2000)]
        for one in sent:
            assert a.links.send("b", FrameKind.REPLICA, one)
            await asyncio.sleep(0)
        await until(lambda: len(b.got) == len(sent))
        assert [payload for _, _, payload in b.got] == sent
        await b.links.close()
        await until(lambda: a.gone_from == ["b"])
        assert a.links.tally.ways["b"] and not a.links.send("b", FrameKind.REPLICA, b"lost")
        assert a.count(CloseReason.AWAY) + a.count(CloseReason.ENDED) == 1

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
    monkeypatch.setattr(outgoing, "WRITE_LIMIT", 30.0 if flood else 0.3)
    monkeypatch.setattr(outgoing, "HEARTBEAT", 60.0)

    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: not a.links.tally.ways["b"])
        turns = list[float]()
        clock = asyncio.get_running_loop().time
        while not a.gone_from:
            started = clock()
            for _ in range(64 if flood else 4):
                a.links.send("b", FrameKind.REPLICA, bytes(60_000))
            a.links.send("b", FrameKind.HEARD, bytes(60_000))
            await asyncio.sleep(0)
            turns.append(clock() - started)
        assert a.count(CloseReason.TOO_SLOW) == 1 and a.gone_from == ["b"] and max(turns) < 1.0
        assert a.links.dialled["b"].queue.held == 0
        if flood:
            assert a.count("heard-left-out")  # What comes again by itself gave way first.
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


def test_a_stopped_peer_is_noticed_by_its_missing_pong(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outgoing, "HEARTBEAT", 0.2)

    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: a.gone_from == ["b"], 5)
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


@pytest.mark.parametrize(
    ("answer", "reason"),
    [(encode(Welcome("x", "c", 1)), CloseReason.UNREADABLE), (b"rubbish", CloseReason.UNREADABLE)],
)
def test_who_answers_as_another_gets_nothing(answer: bytes, reason: CloseReason) -> None:
    async def act(a: Top, b: Top) -> None:
        runner = await deaf(*b.links.listen, answer)
        await until(lambda: a.links.tally.ways["b"] == reason)
        assert not a.links.send("b", FrameKind.REPLICA, b"secret") and not a.gone_from
        await runner.cleanup()  # type: ignore[attr-defined]

    play(act, "a", "b", open_all=False)


def test_a_refusal_is_told_once_and_tried_again_until_it_is_mended() -> None:
    async def act(a: Top, b: Top) -> None:
        await until(lambda: len(a.refusals) > 1)
        assert {one.reason for _, one in a.refusals} == {CloseReason.OTHER_MEMBERS}
        assert len([1 for event, _ in a.log if event == "link_refused"]) == 1
        assert a.links.tally.ways["b"] == CloseReason.OTHER_MEMBERS
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
            await new.send_bytes(encode_frame(FrameKind.REPLICA, b"now"))
            assert (await old.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
            await until(lambda: top.got == [("b", FrameKind.REPLICA, b"now")])
        assert top.count(CloseReason.REPLACED) == 1

    play(act, "a")


def test_counters_come_in_and_rubbish_of_them_is_closed() -> None:
    async def act(top: Top) -> None:
        host, port = top.links.listen
        async with CounterSource("perf", "g", Peer("a", host, port), lambda event, **fields: None) as source:
            await asyncio.wait_for(source.stands.wait(), 5)
            assert source.send(msgspec.msgpack.encode([]))
            assert source.send(b"\xc1")
            await until(lambda: not source.stands.is_set())
        assert top.count(CloseReason.UNREADABLE) == 1 and not top.got
        assert [fields["member"] for event, fields in top.log if event == "link_closed"] == ["counters perf"]

    play(act, "a")


def test_a_queue_is_bounded_by_frames_and_bytes_and_heard_gives_way() -> None:
    queue = SendQueue(frames=8, size=100)
    assert queue.put(FrameKind.HEARD, bytes(20)) and not queue.put(FrameKind.HEARD, bytes(20))
    assert queue.put(FrameKind.REPLICA, bytes(70)) and queue.held == 90
    with pytest.raises(FullError):
        queue.put(FrameKind.REPLICA, bytes(20))
    assert len(queue.take()) == 20 and queue.put(FrameKind.REPLICA, bytes(30)) and queue.held == 100
    queue.clear()
    for _ in range(8):
        queue.put(FrameKind.REPLICA, b"")
    with pytest.raises(FullError):
        queue.put(FrameKind.REPLICA, b"")

"""Links between members: malformed, slow, silent and foreign peers end with a logged and counted reason."""

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
from ambershift.coordinator.group.links.send_queue import QueueFullError, SendQueue
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


class LinkOwner:
    """The owner of one member's links; it records what they report."""

    def __init__(self, name: str, host: str, port: int, others: dict[str, int], **identity: Any) -> None:
        self.identity = LocalIdentity(name, "g", VOTERS, frozenset(VOTERS), 5, "G")._replace(**identity)
        self.frames, self.log = list[tuple[str, FrameKind, bytes]](), list[tuple[str, dict[str, Any]]]()
        self.lost_links, self.refusals = list[str](), list[tuple[str, Refusal]]()
        self.samples = list[bytes]()
        self.links = LinkManager(
            (host, port),
            [Peer(one, host, at) for one, at in others.items()],
            self,
            lambda event, **fields: self.log.append((event, fields)),
            7,
        )

    def local_identity(self) -> LocalIdentity:
        return self.identity

    def on_frame(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        if payload == b"bad":
            raise UnreadableError("no message")
        if payload == b"broken":
            raise KeyError("of ours")
        self.frames.append((sender, kind, payload))

    def on_link_lost(self, member: str) -> None:
        self.lost_links.append(member)

    def on_link_up(self, member: str) -> None: ...

    def on_refused(self, member: str, refused: Refusal) -> None:
        self.refusals.append((member, refused))

    def on_counters(self, name: str, payload: bytes) -> None:
        InterferenceWorker.on_counters(self, name, payload)  # type: ignore[arg-type]

    class _queue:  # noqa: N801 - replaces the queue of the worker
        extend = staticmethod(lambda samples: None)

    class _wake:  # noqa: N801
        set = staticmethod(lambda: None)

    def count(self, name: str) -> int:
        return self.links.statistics.counts[name]


def run_scenario(
    scenario: Callable[..., Awaitable[None]], *names: str, open_all: bool = True, **identity: Any
) -> None:
    """Run `scenario` with the owners of these members' links; `identity` changes the first one's identity."""

    async def run() -> None:
        host, ports = own_host(), {name: next(PORTS) for name in names}
        owners = [
            LinkOwner(
                name,
                host,
                ports[name],
                {one: at for one, at in ports.items() if one != name},
                **(identity if name == names[0] else {}),
            )
            for name in names
        ]
        for owner in owners[: None if open_all else 1]:
            await owner.links.open()
        try:
            async with asyncio.timeout(20):
                await scenario(*owners)
        finally:
            for owner in owners:
                await owner.links.close()

    asyncio.run(run())


def hello(**changes: Any) -> Hello:
    return msgspec.structs.replace(
        Hello(WIRE_VERSION, "x", Role.MEMBER, "b", "a", 9, "run", "G", "g", VOTERS), **changes
    )


async def connect_raw(owner: LinkOwner, first: Any, *more: Any, text: bool = False) -> tuple[Any, Any]:
    """Return the reply to the first message, and the close code of the link, None while it is up."""
    host, port = owner.links.listen
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
def test_a_refused_hello_is_logged_and_counted_by_reason(
    changes: dict[str, Any], reason: CloseReason
) -> None:
    async def scenario(owner: LinkOwner) -> None:
        owner.links.incoming.handshake.accepted["b"] = 4, "run"
        reply, _ = await connect_raw(owner, hello(**changes))
        assert isinstance(reply, Refusal) and reply.reason == reason and owner.count(reason) == 1
        assert reply.known == (4 if changes.get("incarnation") else 5 if changes.get("name") == "a" else 0)
        assert [fields["reason"] for event, fields in owner.log if event == "link_closed"] == [reason]

    run_scenario(scenario, "a")


def test_which_hellos_are_accepted() -> None:
    local, handshake = LocalIdentity("a", "g", VOTERS, frozenset(VOTERS), 5, ""), HandshakeValidator()
    # This member knows no group id yet, so it accepts any.
    assert handshake.check(local, hello(group="H", voters=("c", "b", "a"))) is None
    assert handshake.check(local, hello()) is None  # The same process connects again.
    assert handshake.check(local, hello(incarnation=12, run="next")) is None
    assert handshake.accepted["b"] == (12, "next")
    assert handshake.check(local, hello(role=Role.COUNTERS, name="perf", voters=())) is None
    away = handshake.check(local, hello(role=Role.COUNTERS), loopback=False)
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
def test_a_bad_frame_closes_its_link_with_a_reason_and_no_other_link(
    data: bytes, reason: CloseReason, code: int
) -> None:
    async def scenario(owner: LinkOwner, other: LinkOwner) -> None:
        await until(lambda: not owner.links.statistics.states["c"])
        reply, ended = await connect_raw(
            owner, hello(), encode_frame(FrameKind.HEARD, b"good"), data, encode_frame(FrameKind.HEARD, b"x")
        )
        assert isinstance(reply, Welcome) and ended in (
            code,
            1006 if reason is CloseReason.TOO_LARGE else code,
        )
        assert owner.frames == [("b", FrameKind.HEARD, b"good")] and owner.count(reason) == 1
        assert ("failure" in [event for event, _ in owner.log]) == data.endswith(b"broken")
        assert other.links.send("a", FrameKind.HEARD, b"still there")
        await until(lambda: ("c", FrameKind.HEARD, b"still there") in owner.frames)

    run_scenario(scenario, "a", "c")


@pytest.mark.parametrize(
    ("first", "text"),
    [(b"\x91rubbish", False), (bytes(range(64)), False), ("hello", True), (bytes(20_000), False)],
)
def test_a_malformed_hello_closes_the_link(first: Any, text: bool) -> None:
    async def scenario(owner: LinkOwner) -> None:
        reply, code = await connect_raw(owner, first, text=text)
        assert reply is None and code == 1007 and owner.count(CloseReason.UNREADABLE) == 1

    run_scenario(scenario, "a")


def test_a_silent_connection_is_closed_and_one_too_many_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incoming, "HELLO_TIMEOUT_S", 0.3)
    monkeypatch.setattr(incoming, "MAX_SPARE_LINKS", 1)

    async def scenario(owner: LinkOwner) -> None:
        host, port = owner.links.listen
        async with aiohttp.ClientSession() as session:
            silent = [await session.ws_connect(f"http://{host}:{port}/") for _ in range(4)]
            with pytest.raises(aiohttp.WSServerHandshakeError):
                await session.ws_connect(f"http://{host}:{port}/")
            for one in silent:
                assert (await one.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
        assert owner.count(CloseReason.SILENT) == 4 and owner.count(CloseReason.TOO_MANY) == 1

    run_scenario(scenario, "a")


def test_frames_arrive_in_order_and_a_lost_link_is_reported() -> None:
    async def scenario(a: LinkOwner, b: LinkOwner) -> None:
        assert not a.links.send("b", FrameKind.REPLICA, b"too soon")
        assert not a.links.send("nobody", FrameKind.REPLICA, b"")
        await until(lambda: not a.links.statistics.states["b"] and not b.links.statistics.states["a"])
        sent = [bytes([at % 251]) * (at * 97 % 5000) for at in range(2000)]
        for one in sent:
            assert a.links.send("b", FrameKind.REPLICA, one)
            await asyncio.sleep(0)
        await until(lambda: len(b.frames) == len(sent))
        assert [payload for _, _, payload in b.frames] == sent
        await b.links.close()
        await until(lambda: a.lost_links == ["b"])
        assert a.links.statistics.states["b"] and not a.links.send("b", FrameKind.REPLICA, b"lost")
        assert a.count(CloseReason.AWAY) + a.count(CloseReason.ENDED) == 1

    run_scenario(scenario, "a", "b")


async def start_deaf_peer(host: str, port: int, answer: bytes) -> asyncio.Server:
    """Start a peer that takes the hello, sends `answer`, and reads nothing after it."""
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
def test_a_member_that_reads_nothing_is_dropped_and_the_loop_is_not_blocked(
    flood: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(outgoing, "WRITE_TIMEOUT_S", 30.0 if flood else 0.3)
    monkeypatch.setattr(outgoing, "HEARTBEAT_INTERVAL_S", 60.0)

    async def scenario(a: LinkOwner, b: LinkOwner) -> None:
        runner = await start_deaf_peer(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: not a.links.statistics.states["b"])
        turns = list[float]()
        clock = asyncio.get_running_loop().time
        while not a.lost_links:
            started = clock()
            for _ in range(64 if flood else 4):
                a.links.send("b", FrameKind.REPLICA, bytes(60_000))
            a.links.send("b", FrameKind.HEARD, bytes(60_000))
            await asyncio.sleep(0)
            turns.append(clock() - started)
        assert a.count(CloseReason.TOO_SLOW) == 1 and a.lost_links == ["b"] and max(turns) < 1.0
        assert a.links.outgoing["b"].queue.queued_bytes == 0
        if flood:
            assert a.count("heard-left-out")  # Gossip is dropped first, as it is sent again anyhow.
        await runner.cleanup()  # type: ignore[attr-defined]

    run_scenario(scenario, "a", "b", open_all=False)


def test_a_stopped_peer_is_detected_by_its_missing_pong(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outgoing, "HEARTBEAT_INTERVAL_S", 0.2)

    async def scenario(a: LinkOwner, b: LinkOwner) -> None:
        runner = await start_deaf_peer(*b.links.listen, encode(Welcome("x", "b", 1)))
        await until(lambda: a.lost_links == ["b"], 5)
        await runner.cleanup()  # type: ignore[attr-defined]

    run_scenario(scenario, "a", "b", open_all=False)


@pytest.mark.parametrize(
    ("answer", "reason"),
    [(encode(Welcome("x", "c", 1)), CloseReason.UNREADABLE), (b"rubbish", CloseReason.UNREADABLE)],
)
def test_a_peer_that_replies_under_another_name_gets_no_frames(answer: bytes, reason: CloseReason) -> None:
    async def scenario(a: LinkOwner, b: LinkOwner) -> None:
        runner = await start_deaf_peer(*b.links.listen, answer)
        await until(lambda: a.links.statistics.states["b"] == reason)
        assert not a.links.send("b", FrameKind.REPLICA, b"secret") and not a.lost_links
        await runner.cleanup()  # type: ignore[attr-defined]

    run_scenario(scenario, "a", "b", open_all=False)


def test_a_refusal_is_logged_once_and_retried_until_accepted() -> None:
    async def scenario(a: LinkOwner, b: LinkOwner) -> None:
        await until(lambda: len(a.refusals) > 1)
        assert {one.reason for _, one in a.refusals} == {CloseReason.OTHER_MEMBERS}
        assert len([1 for event, _ in a.log if event == "link_refused"]) == 1
        assert a.links.statistics.states["b"] == CloseReason.OTHER_MEMBERS
        a.identity = a.identity._replace(voters=VOTERS)
        await until(lambda: not a.links.statistics.states["b"])

    run_scenario(scenario, "a", "b", voters=("a",))


def test_a_new_connection_replaces_the_half_open_one_of_the_same_member() -> None:
    async def scenario(owner: LinkOwner) -> None:
        host, port = owner.links.listen
        async with aiohttp.ClientSession() as session:
            old = await session.ws_connect(f"http://{host}:{port}/")
            await old.send_bytes(encode(hello()))
            await old.receive()
            new = await session.ws_connect(f"http://{host}:{port}/")
            await new.send_bytes(encode(hello()))
            await new.receive()
            await new.send_bytes(encode_frame(FrameKind.REPLICA, b"now"))
            assert (await old.receive(timeout=5)).type is aiohttp.WSMsgType.CLOSE
            await until(lambda: owner.frames == [("b", FrameKind.REPLICA, b"now")])
        assert owner.count(CloseReason.REPLACED) == 1

    run_scenario(scenario, "a")


def test_counters_are_accepted_and_malformed_ones_close_the_link() -> None:
    async def scenario(owner: LinkOwner) -> None:
        host, port = owner.links.listen
        async with CounterSource("perf", "g", Peer("a", host, port), lambda event, **fields: None) as source:
            await asyncio.wait_for(source.is_up.wait(), 5)
            assert source.send(msgspec.msgpack.encode([]))
            assert source.send(b"\xc1")
            await until(lambda: not source.is_up.is_set())
        assert owner.count(CloseReason.UNREADABLE) == 1 and not owner.frames
        assert [fields["member"] for event, fields in owner.log if event == "link_closed"] == [
            "counters perf"
        ]

    run_scenario(scenario, "a")


def test_a_queue_is_bounded_by_frames_and_bytes_and_drops_gossip_first() -> None:
    queue = SendQueue(max_frames=8, max_bytes=100)
    assert queue.put(FrameKind.HEARD, bytes(20)) and not queue.put(FrameKind.HEARD, bytes(20))
    assert queue.put(FrameKind.REPLICA, bytes(70)) and queue.queued_bytes == 90
    with pytest.raises(QueueFullError):
        queue.put(FrameKind.REPLICA, bytes(20))
    assert len(queue.take()) == 20 and queue.put(FrameKind.REPLICA, bytes(30)) and queue.queued_bytes == 100
    queue.clear()
    for _ in range(8):
        queue.put(FrameKind.REPLICA, b"")
    with pytest.raises(QueueFullError):
        queue.put(FrameKind.REPLICA, b"")

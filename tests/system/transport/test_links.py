"""Links over real websockets on 127.0.0.0/8."""

import asyncio
import itertools
import os
import random
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest.mock import Mock

import msgspec
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus

from ambershift.system.messages.proxy_link import Barrier, Hello
from ambershift.system.testbed.rig import until
from ambershift.system.testbed.settings import free_ports
from ambershift.system.transport import links, send_queue
from ambershift.system.transport.link_path import (
    CONTROL_NODE,
    PROXY,
    PathError,
    PeerIdentity,
    format_path,
    parse_path,
)
from ambershift.system.transport.links import Links, receive_messages
from ambershift.system.transport.send_queue import SendQueue

pytestmark = pytest.mark.timeout(30)
# Numbers of loopback networks, other ones in each worker process of the tests.
ADDRESS_BLOCKS = itertools.count(os.getpid() % 200 * 200)


class Endpoint:
    """One machine's links, and what its callbacks received."""

    def __init__(self, ip: str, port: int, incarnation: str = "1") -> None:
        self.received = list[Any]()
        self.accepted = list[PeerIdentity]()
        self.closed = list[PeerIdentity]()
        self.logged = list[int]()
        self.links = Links(
            PeerIdentity(CONTROL_NODE, ip, incarnation),
            port,
            lambda caller, message: self.received.append((caller.name, message)),
            self.accepted.append,
            self.closed.append,
            lambda number, _: self.logged.append(number),
        )


class Pair(NamedTuple):
    near: Endpoint
    far: Endpoint
    near_ip: str
    far_ip: str


@pytest.fixture
def pair(runner: asyncio.Runner) -> Iterator[Pair]:
    """Two machines with addresses that no other test uses; the second listens."""
    block = next(ADDRESS_BLOCKS)
    port = free_ports(random.SystemRandom(), 1)[0]
    near_ip, far_ip = (f"127.{20 + block // 250 % 200}.{block % 250}.{at}" for at in (1, 2))
    near, far = Endpoint(near_ip, port), Endpoint(far_ip, port)
    runner.run(far.links.listen(far_ip))
    yield Pair(near, far, near_ip, far_ip)
    runner.run(near.links.close())
    runner.run(far.links.close())


async def test_messages_arrive_in_order_and_a_broken_link_is_redialled(pair: Pair) -> None:
    near, far, near_ip, far_ip = pair
    near.links.send(far_ip, Barrier(0))  # No link yet: dropped.
    near.links.set_peers([near_ip, far_ip])  # Its own ip isn't dialled.
    await until("a link", lambda: far_ip in near.links.dialled_queues and bool(far.accepted), 5)
    for number in range(1, 500):
        near.links.send(far_ip, Barrier(number))
    await until("all messages", lambda: len(far.received) == 499, 5)
    assert far.received == [(near_ip, Barrier(number)) for number in range(1, 500)]
    assert list(near.links.dial_tasks) == [far_ip] and not near.received
    far.links.accepted_queues[CONTROL_NODE, near_ip].abort()
    await until("a link again", lambda: len(far.accepted) == 2 and far_ip in near.links.dialled_queues, 5)
    assert far.closed == [PeerIdentity(CONTROL_NODE, near_ip, "1")] and near.logged[:3] == [101, 102, 101]
    near.links.send(far_ip, Barrier(500))
    await until("a message on the new link", lambda: far.received[-1] == (near_ip, Barrier(500)), 5)
    near.links.set_peers([])
    await until("no link left", lambda: not far.links.accepted_queues, 5)
    assert len(far.closed) == 2


async def test_redialling_peer_replaces_its_link_without_being_reported_closed(pair: Pair) -> None:
    near, far, near_ip, far_ip = pair
    first = await near.links.dial(far_ip)
    await until("the first link", lambda: bool(far.accepted), 5)
    restarted = Endpoint(near_ip, near.links.port, incarnation="2")
    second = await restarted.links.dial(far_ip)
    await until("the second link", lambda: len(far.accepted) == 2, 5)
    await first.wait_closed()
    far.links.reply(CONTROL_NODE, near_ip, Barrier(7))
    received = list[msgspec.Struct]()
    reading = asyncio.ensure_future(receive_messages(second, received.append, lambda *_: None))
    await until("an answer on the new link", lambda: received == [Barrier(7)], 5)
    assert not far.closed and (CONTROL_NODE, near_ip) in far.links.accepted_queues
    reading.cancel()
    second.transport.abort()
    await until("the new link's end", lambda: far.closed == [PeerIdentity(CONTROL_NODE, near_ip, "2")], 5)


@pytest.mark.parametrize("data", [b"\xc1", b"\x92\xa2fm\xa1x", "text", b"\x91\xa4none"])
async def test_unreadable_message_ends_the_link(pair: Pair, data: bytes | str) -> None:
    near, far, _, far_ip = pair
    connection = await near.links.dial(far_ip)
    await connection.send(data)
    await connection.wait_closed()
    await until("the link's end", lambda: bool(far.closed), 5)
    assert far.logged == [104] and not far.received
    near.links.set_peers([far_ip])  # The next link works.
    await until("a link", lambda: far_ip in near.links.dialled_queues, 5)


def test_peer_identity_is_parsed_from_its_path() -> None:
    caller = PeerIdentity(PROXY, "proxy-a-1", "ab12")
    assert parse_path(format_path(caller)) == caller


@pytest.mark.parametrize("path", ["/0/proxy/a/1", "/1/clerk/a/1", "/1/proxy//1", "/1/proxy/a", "/"])
async def test_link_of_another_version_is_refused(pair: Pair, path: str) -> None:
    _, far, _, far_ip = pair
    with pytest.raises(PathError):
        parse_path(path)
    with pytest.raises(InvalidStatus):
        await connect(f"ws://{far_ip}:{far.links.port}{path}", proxy=None)
    assert far.logged == [103]
    assert not far.accepted


async def test_refused_dial_raises_connection_error(pair: Pair) -> None:
    near, far, _, far_ip = pair
    near.links.local = PeerIdentity("clerk", "a", "1")
    with pytest.raises(ConnectionError):
        await near.links.dial(far_ip)
    assert far.logged == [103]
    assert not far.accepted


async def test_send_queue_that_a_peer_does_not_read_ends_the_link(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(send_queue, "MAX_PENDING_BYTES", 1 << 20)
    near, far, near_ip, far_ip = pair
    connection = await near.links.dial(far_ip)
    await until("the link", lambda: bool(far.accepted), 5)
    connection.transport.pause_reading()  # A peer that doesn't read.
    queue: SendQueue = far.links.accepted_queues[CONTROL_NODE, near_ip]
    large = Hello("n" * 60_000, "", "", "", False, False)
    for _ in range(1000):
        far.links.reply(CONTROL_NODE, near_ip, large)
        if (CONTROL_NODE, near_ip) not in far.links.accepted_queues:
            break
        assert queue.pending_bytes < (1 << 20) + 100_000
        await asyncio.sleep(0)
    await until("the link's end", lambda: bool(far.closed), 5)


@pytest.mark.parametrize(("min_dial_age_s", "dials"), [(0.0, 2), (60.0, 1)])
async def test_peer_that_dials_us_is_redialled_if_our_dial_hangs(
    monkeypatch: pytest.MonkeyPatch, min_dial_age_s: float, dials: int
) -> None:
    monkeypatch.setattr(links, "MIN_DIAL_AGE_S", min_dial_age_s)
    local = links.Links(PeerIdentity(CONTROL_NODE, "1", "a"), 1, Mock(), Mock(), Mock(), Mock())
    dialled = list[str]()

    async def dial(ip: str) -> Any:
        dialled.append(ip)
        await asyncio.Event().wait()

    local.dial = dial  # type: ignore[method-assign]
    local.set_peers(["2"])
    await asyncio.sleep(0)
    local.redial_if_stuck("3")
    local.redial_if_stuck("2")
    for _ in range(3):
        await asyncio.sleep(0)
    assert dialled == ["2"] * dials
    await local.close()

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
from ambershift.system.transport import links
from ambershift.system.transport import send_queue as outboxes
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
BLOCKS = itertools.count(os.getpid() % 200 * 200)


class End:
    """One machine's links, and what its callbacks received."""

    def __init__(self, ip: str, port: int, life: str = "1") -> None:
        self.heard, self.ups, self.downs = list[Any](), list[PeerIdentity](), list[PeerIdentity]()
        self.logged = list[int]()
        self.links = Links(
            PeerIdentity(CONTROL_NODE, ip, life),
            port,
            lambda caller, message: self.heard.append((caller.name, message)),
            self.ups.append,
            self.downs.append,
            lambda number, _: self.logged.append(number),
        )


class Pair(NamedTuple):
    near: End
    far: End
    one: str
    other: str


@pytest.fixture
def pair(runner: asyncio.Runner) -> Iterator[Pair]:
    """Two machines with addresses that no other test uses; the second listens."""
    block = next(BLOCKS)
    port = free_ports(random.SystemRandom(), 1)[0]
    one, other = (f"127.{20 + block // 250 % 200}.{block % 250}.{at}" for at in (1, 2))
    near, far = End(one, port), End(other, port)
    runner.run(far.links.listen(other))
    yield Pair(near, far, one, other)
    runner.run(near.links.close())
    runner.run(far.links.close())


async def test_messages_arrive_in_order_and_a_broken_link_is_redialled(pair: Pair) -> None:
    near, far, one, other = pair
    near.links.send(other, Barrier(0))  # No link yet: dropped.
    near.links.set_peers([one, other])  # Its own ip isn't dialled.
    await until("a link", lambda: other in near.links.dialled_queues and bool(far.ups), 5)
    for number in range(1, 500):
        near.links.send(other, Barrier(number))
    await until("all heard", lambda: len(far.heard) == 499, 5)
    assert far.heard == [(one, Barrier(number)) for number in range(1, 500)]
    assert list(near.links.dial_tasks) == [other] and not near.heard
    far.links.accepted_queues[CONTROL_NODE, one].abort()
    await until("a link again", lambda: len(far.ups) == 2 and other in near.links.dialled_queues, 5)
    assert far.downs == [PeerIdentity(CONTROL_NODE, one, "1")] and near.logged[:3] == [101, 102, 101]
    near.links.send(other, Barrier(500))
    await until("heard again", lambda: far.heard[-1] == (one, Barrier(500)), 5)
    near.links.set_peers([])
    await until("no link left", lambda: not far.links.accepted_queues, 5)
    assert len(far.downs) == 2


async def test_redialling_peer_replaces_its_link_without_being_reported_closed(pair: Pair) -> None:
    near, far, one, other = pair
    first = await near.links.dial(other)
    await until("the first link", lambda: bool(far.ups), 5)
    again = End(one, near.links.port, life="2")
    second = await again.links.dial(other)
    await until("the second link", lambda: len(far.ups) == 2, 5)
    await first.wait_closed()
    far.links.reply(CONTROL_NODE, one, Barrier(7))
    received = list[msgspec.Struct]()
    reading = asyncio.ensure_future(receive_messages(second, received.append, lambda *_: None))
    await until("an answer on the new link", lambda: received == [Barrier(7)], 5)
    assert not far.downs and (CONTROL_NODE, one) in far.links.accepted_queues
    reading.cancel()
    second.transport.abort()
    await until("the new one's end", lambda: far.downs == [PeerIdentity(CONTROL_NODE, one, "2")], 5)


@pytest.mark.parametrize("data", [b"\xc1", b"\x92\xa2fm\xa1x", "text", b"\x91\xa4none"])
async def test_unreadable_message_ends_the_link(pair: Pair, data: bytes | str) -> None:
    near, far, _, other = pair
    connection = await near.links.dial(other)
    await connection.send(data)
    await connection.wait_closed()
    await until("the link's end", lambda: bool(far.downs), 5)
    assert far.logged == [104] and not far.heard
    near.links.set_peers([other])  # The next link works.
    await until("a link", lambda: other in near.links.dialled_queues, 5)


def test_peer_identity_is_parsed_from_its_path() -> None:
    caller = PeerIdentity(PROXY, "proxy-a-1", "ab12")
    assert parse_path(format_path(caller)) == caller


@pytest.mark.parametrize("path", ["/0/proxy/a/1", "/1/clerk/a/1", "/1/proxy//1", "/1/proxy/a", "/"])
async def test_link_of_another_version_is_refused(pair: Pair, path: str) -> None:
    _, far, _, other = pair
    with pytest.raises(PathError):
        parse_path(path)
    with pytest.raises(InvalidStatus):
        await connect(f"ws://{other}:{far.links.port}{path}", proxy=None)
    assert far.logged == [103]
    assert not far.ups


async def test_refused_dial_raises_connection_error(pair: Pair) -> None:
    near, far, _, other = pair
    near.links.local = PeerIdentity("clerk", "a", "1")
    with pytest.raises(ConnectionError):
        await near.links.dial(other)
    assert far.logged == [103]
    assert not far.ups


async def test_send_queue_that_a_peer_does_not_read_ends_the_link(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(outboxes, "MAX_PENDING_BYTES", 1 << 20)
    near, far, one, other = pair
    connection = await near.links.dial(other)
    await until("the link", lambda: bool(far.ups), 5)
    connection.transport.pause_reading()  # A peer that doesn't read.
    outbox: SendQueue = far.links.accepted_queues[CONTROL_NODE, one]
    big = Hello("n" * 60_000, "", "", "", False, False)
    for _ in range(1000):
        far.links.reply(CONTROL_NODE, one, big)
        if (CONTROL_NODE, one) not in far.links.accepted_queues:
            break
        assert outbox.pending_bytes < (1 << 20) + 100_000
        await asyncio.sleep(0)
    await until("the link's end", lambda: bool(far.downs), 5)


@pytest.mark.parametrize(("young", "dials"), [(0.0, 2), (60.0, 1)])
async def test_peer_that_dials_us_is_redialled_if_our_dial_hangs(
    monkeypatch: pytest.MonkeyPatch, young: float, dials: int
) -> None:
    monkeypatch.setattr(links, "MIN_DIAL_AGE_S", young)
    made = links.Links(PeerIdentity(CONTROL_NODE, "1", "a"), 1, Mock(), Mock(), Mock(), Mock())
    begun = list[str]()

    async def dial(ip: str) -> Any:
        begun.append(ip)
        await asyncio.Event().wait()

    made.dial = dial  # type: ignore[method-assign]
    made.set_peers(["2"])
    await asyncio.sleep(0)
    made.redial_if_stuck("3")
    made.redial_if_stuck("2")
    for _ in range(3):
        await asyncio.sleep(0)
    assert begun == ["2"] * dials
    await made.close()

"""Links over real websockets on 127.0.0.0/8, and a proxy's selection of its control node."""

import asyncio
import itertools
import os
import random
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus

from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import Barrier, ControlNodeAddress, ControlNodeHeartbeat, Hello
from ambershift.system.node_selection.selector import (
    NEARER,
    NEWER,
    PENALTY,
    SEARCH_LEAST,
    SEARCH_MOST,
    SILENT,
    Choice,
    current_for,
)
from ambershift.system.settings.local import Bounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from ambershift.system.testbed.rig import until
from ambershift.system.testbed.settings import free_ports
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


# Selection of a control node, without sockets.
CORES = (
    ControlNodeAddress("c1", "z1", "r1"),
    ControlNodeAddress("c2", "z2", "r1"),
    ControlNodeAddress("c3", "z3", "r2"),
    ControlNodeAddress("c4", "z4", "r2"),
)


def choice(name: str = "proxy", seeds: tuple[str, ...] = ("c3",)) -> Choice:
    return Choice(name, "z1", "r1", seeds)


def sign(
    age_ms: int = 0, cores: tuple[ControlNodeAddress, ...] = CORES, in_touch: bool = True
) -> ControlNodeHeartbeat:
    return ControlNodeHeartbeat(cores, in_touch, 1, age_ms)


def test_nearest_node_is_first_and_equally_near_nodes_are_spread_over_proxies() -> None:
    one = choice(seeds=("c9", "c3"))
    assert set(one.candidates(0)) == {"c9", "c3"}  # Only the seeds are known at a start.
    one.up(0, "c3")
    one.hear(0, sign())
    assert one.candidates(0)[:2] == ["c1", "c2"] and one.candidates(0)[-1] == "c9"
    proxies = [choice(f"proxy-{at}") for at in range(30)]
    for proxy in proxies:
        proxy.hear(0, sign())
    assert {proxy.candidates(0)[2] for proxy in proxies} == {"c3", "c4"}


def test_silent_node_is_given_up_and_tried_last_until_its_penalty_ends() -> None:
    one = choice()
    one.hear(0, sign())
    one.up(0, "c1")
    one.alive(SILENT)  # Any message resets the time-out.
    assert not one.silent(2 * SILENT) and one.silent(2 * SILENT + 1)
    one.fail(2 * SILENT + 1, "c1")
    assert one.linked is None and not one.silent(10 * NS_PER_SECOND)
    assert one.candidates(2 * SILENT + 1)[0] == "c2" and one.candidates(2 * SILENT + 1)[-1] == "c1"
    assert one.candidates(2 * SILENT + 1 + PENALTY)[0] == "c1"


def test_link_turns_stale_at_the_limit_and_fresh_with_a_newer_proof() -> None:
    one = choice()
    one.up(0, "c1")
    one.hear(0, sign(200))
    end = one.current_for - 200 * NS_PER_MS
    assert not one.stale(end) and one.stale(end + 1)
    assert not one.search(end)
    one.hear(
        end, sign(one.current_for // NS_PER_MS + 400)
    )  # A stale node's heartbeat doesn't lower what was proved before.
    assert one.proved == -200 * NS_PER_MS and one.stale(end + 1)
    assert one.search(end + 1)
    now = end + 1
    assert not one.newer(
        now, sign((now + 200 * NS_PER_MS - NEWER) // NS_PER_MS + 1)
    )  # Newer by too little to change nodes.
    assert one.newer(now, sign((now + 200 * NS_PER_MS - NEWER) // NS_PER_MS - 1))
    one.hear(now, sign(0))  # The node is fresh again before another one was found.
    assert not one.stale(now) and not one.search(now)


def test_searches_back_off_until_the_configuration_is_fresh() -> None:
    one = choice()
    one.up(0, "c1")
    times = [now * NS_PER_MS for now in range(0, 30_000, 10) if one.search(now * NS_PER_MS)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps[0] == SEARCH_LEAST and gaps[-1] == SEARCH_MOST and gaps == sorted(gaps)
    one.hear(30 * NS_PER_SECOND, sign(0))
    later = 30 * NS_PER_SECOND + one.current_for + SEARCH_MOST
    assert one.search(later) and one.search(later + SEARCH_LEAST)


def test_heartbeat_of_an_earlier_version_is_unreadable() -> None:
    """A proxy doesn't link to a node that sends one."""
    earlier = msgspec.msgpack.encode(["fc", [], True, 1])
    with pytest.raises(codec.UnreadableError):
        codec.decode(earlier)
    assert codec.decode(msgspec.msgpack.encode(["fc", [], True, 1, 0])) == ControlNodeHeartbeat(
        (), True, 1, 0
    )


def test_search_alternates_between_own_and_other_regions() -> None:
    one = choice(seeds=("c9",))
    one.up(0, "c1")
    one.hear(0, sign(cores=(*CORES, ControlNodeAddress("c5", "z5", "r1"))))
    order = one.search_order(0)
    assert sorted(order) == ["c2", "c3", "c4", "c5", "c9"]
    assert [ip in ("c2", "c5") for ip in order] == [True, False, True, False, False]


@pytest.mark.parametrize("apply", [2.0, 2.5, 3.0, 5.0])
def test_time_to_another_node_is_within_the_bound_on_changes(apply: float) -> None:
    """The sum of the budget of `node_selection/selector.py`, with the times of a slow network."""
    look, dial, told, items = 0.1, 4 * 0.05, 2 * 0.05, 0.4
    bounds = Bounds(config_apply=apply, drain=9, evacuation=9)
    spread = {current_for(f"front-{at}", bounds) for at in range(99)}
    assert len(spread) > 20 or apply == 2.0  # Proxies don't search all at once, if the bound allows.
    assert max(spread) / NS_PER_SECOND + look + dial + told + items < apply
    assert min(spread) >= NS_PER_SECOND  # Proofs are 0.7 s old without load, 0.9 s during many changes.
    assert current_for("a", Bounds(config_apply=9, drain=apply, evacuation=9)) <= apply * NS_PER_SECOND / 2


def test_closer_node_is_dialled_once_the_link_has_been_up_long_enough() -> None:
    one = choice()
    one.up(0, "c3")
    one.hear(0, sign())
    assert one.nearer(NEARER - 1) is None and one.nearer(NEARER) == "c1"
    one.up(NEARER, "c1")
    assert one.nearer(3 * NEARER) is None
    far = choice()
    far.hear(0, sign(cores=CORES[2:]))
    far.up(0, "c3")
    assert far.nearer(2 * NEARER) is None  # c4 isn't nearer: no changing back and forth.


def test_new_seeds_replace_old_ones_but_listed_nodes_stay() -> None:
    one = choice(seeds=("old",))
    one.hear(0, sign())
    one.reseed(["new"])
    assert set(one.candidates(0)) == {"c1", "c2", "c3", "c4", "new"}
    one.hear(1, sign(cores=()))  # An unchanged list is sent empty.
    assert len(one.candidates(1)) == 5

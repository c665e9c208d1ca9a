"""Links over real websockets on 127.0.0.0/8, and a desk's choice of the control node that looks after it."""

import asyncio
import itertools
import os
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus

from ambershift.system.messages.fronts import Core, Hello, Mark
from ambershift.system.node_selection.choice import APART, NEARER, PENALTY, SILENT, Choice
from ambershift.system.steps import SECOND
from ambershift.system.testbed.rig import until
from ambershift.system.testbed.settings import free_ports
from ambershift.system.transport import outbox as outboxes
from ambershift.system.transport.links import Links, receive
from ambershift.system.transport.outbox import Outbox
from ambershift.system.transport.words import CONTROL_NODE, DESK, Caller, PathError, caller_of, path_of

pytestmark = pytest.mark.timeout(30)
BLOCKS = itertools.count(os.getpid() % 200 * 200)


class End:
    """One machine's links, and what it saw."""

    def __init__(self, ip: str, port: int, life: str = "1") -> None:
        self.heard, self.ups, self.downs = list[Any](), list[Caller](), list[Caller]()
        self.logged = list[int]()
        self.links = Links(
            Caller(CONTROL_NODE, ip, life),
            port,
            lambda caller, message: self.heard.append((caller.name, message)),
            self.ups.append,
            self.downs.append,
            lambda number, _: self.logged.append(number),
        )


def pair(act: Callable[[End, End, str, str], Awaitable[None]]) -> None:
    """Two machines with addresses that no other test uses; the second listens."""

    async def whole() -> None:
        block = next(BLOCKS)
        port = free_ports(random.SystemRandom(), 1)[0]
        one, other = (f"127.{20 + block // 250 % 200}.{block % 250}.{at}" for at in (1, 2))
        near, far = End(one, port), End(other, port)
        await far.links.open(other)
        try:
            await act(near, far, one, other)
        finally:
            await near.links.close()
            await far.links.close()

    asyncio.run(whole())


def test_messages_come_in_order_and_a_broken_link_is_dialled_again() -> None:
    async def act(near: End, far: End, one: str, other: str) -> None:
        near.links.send(other, Mark(0))  # No link yet: lost without a word.
        near.links.want([one, other])  # Itself is not dialled.
        await until("a link", lambda: other in near.links.dialled and bool(far.ups), 5)
        for number in range(1, 500):
            near.links.send(other, Mark(number))
        await until("all heard", lambda: len(far.heard) == 499, 5)
        assert far.heard == [(one, Mark(number)) for number in range(1, 500)]
        assert list(near.links.dialling) == [other] and not near.heard
        far.links.accepted[CONTROL_NODE, one].break_off()
        await until("a link again", lambda: len(far.ups) == 2 and other in near.links.dialled, 5)
        assert far.downs == [Caller(CONTROL_NODE, one, "1")] and near.logged[:3] == [101, 102, 101]
        near.links.send(other, Mark(500))
        await until("heard again", lambda: far.heard[-1] == (one, Mark(500)), 5)
        near.links.want([])
        await until("no link left", lambda: not far.links.accepted, 5)
        assert len(far.downs) == 2

    pair(act)


def test_who_dials_anew_replaces_its_old_link_without_being_lost() -> None:
    async def act(near: End, far: End, one: str, other: str) -> None:
        first = await near.links.dial(other)
        await until("the first link", lambda: bool(far.ups), 5)
        again = End(one, near.links.port, life="2")
        second = await again.links.dial(other)
        await until("the second link", lambda: len(far.ups) == 2, 5)
        await first.wait_closed()
        far.links.reply(CONTROL_NODE, one, Mark(7))
        received = list[msgspec.Struct]()
        reading = asyncio.ensure_future(receive(second, received.append, lambda *_: None))
        await until("an answer on the new link", lambda: received == [Mark(7)], 5)
        assert not far.downs and (CONTROL_NODE, one) in far.links.accepted
        reading.cancel()
        second.transport.abort()
        await until("the new one's end", lambda: far.downs == [Caller(CONTROL_NODE, one, "2")], 5)

    pair(act)


@pytest.mark.parametrize("data", [b"\xc1", b"\x92\xa2fm\xa1x", "text", b"\x91\xa4none"])
def test_a_message_that_cannot_be_read_ends_the_link(data: bytes | str) -> None:
    async def act(near: End, far: End, one: str, other: str) -> None:
        connection = await near.links.dial(other)
        await connection.send(data)
        await connection.wait_closed()
        await until("the link's end", lambda: bool(far.downs), 5)
        assert far.logged == [104] and not far.heard
        near.links.want([other])  # And the next one works.
        await until("a link", lambda: other in near.links.dialled, 5)

    pair(act)


def test_a_path_of_another_version_is_refused() -> None:
    caller = Caller(DESK, "desk-a-1", "ab12")
    assert caller_of(path_of(caller)) == caller

    async def act(near: End, far: End, one: str, other: str) -> None:
        for path in ("/0/desk/a/1", "/1/clerk/a/1", "/1/desk//1", "/1/desk/a", "/"):
            with pytest.raises(PathError):
                caller_of(path)
            with pytest.raises(InvalidStatus):
                await connect(f"ws://{other}:{far.links.port}{path}", proxy=None)
        assert far.logged == [103] * 5 and not far.ups
        near.links.me = Caller("clerk", "a", "1")
        with pytest.raises(ConnectionError):  # As whoever dials is told.
            await near.links.dial(other)

    pair(act)


def test_an_outbox_that_nobody_empties_ends_the_link(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outboxes, "WAITING_MOST", 1 << 20)

    async def act(near: End, far: End, one: str, other: str) -> None:
        connection = await near.links.dial(other)
        await until("the link", lambda: bool(far.ups), 5)
        connection.transport.pause_reading()  # A peer that doesn't read.
        outbox: Outbox = far.links.accepted[CONTROL_NODE, one]
        big = Hello("n" * 60_000, "", "", "", False, False)
        for _ in range(1000):
            far.links.reply(CONTROL_NODE, one, big)
            if (CONTROL_NODE, one) not in far.links.accepted:
                break
            assert outbox.size < (1 << 20) + 100_000
            await asyncio.sleep(0)
        await until("the link's end", lambda: bool(far.downs), 5)

    pair(act)


# The choice of a control node, without sockets.
CORES = (Core("c1", "z1", "r1"), Core("c2", "z2", "r1"), Core("c3", "z3", "r2"), Core("c4", "z4", "r2"))


def choice(name: str = "desk", seeds: tuple[str, ...] = ("c3",)) -> Choice:
    return Choice(name, "z1", "r1", seeds)


def test_the_nearest_is_first_and_equally_near_ones_are_spread() -> None:
    one = choice(seeds=("c9", "c3"))
    assert set(one.candidates(0)) == {"c9", "c3"}  # All that it is told at a start.
    one.up(0, "c3")
    one.hear(0, CORES, True)
    assert one.candidates(0)[:2] == ["c1", "c2"] and one.candidates(0)[-1] == "c9"
    desks = [choice(f"desk-{at}") for at in range(30)]
    for desk in desks:
        desk.hear(0, CORES, True)
    assert {desk.candidates(0)[2] for desk in desks} == {"c3", "c4"}


def test_one_that_is_silent_is_left_and_comes_last_for_a_while() -> None:
    one = choice()
    one.hear(0, CORES, True)
    one.up(0, "c1")
    one.alive(SILENT)  # Whatever it sends is a sign of life.
    assert not one.leave(2 * SILENT) and one.leave(2 * SILENT + 1)
    one.fail(2 * SILENT + 1, "c1")
    assert one.linked is None and not one.leave(10 * SECOND)
    assert one.candidates(2 * SILENT + 1)[0] == "c2" and one.candidates(2 * SILENT + 1)[-1] == "c1"
    assert one.candidates(2 * SILENT + 1 + PENALTY)[0] == "c1"


def test_one_in_a_minority_is_left_though_it_speaks() -> None:
    one = choice()
    one.up(0, "c1")
    for at in range(0, 30, 5):
        one.hear(at * SECOND // 10, CORES, in_touch=at < 10)
        assert not one.leave(at * SECOND // 10) or at >= 10 + APART // (SECOND // 10)
    assert one.leave(25 * SECOND // 10)
    one.hear(26 * SECOND // 10, CORES, in_touch=True)  # In touch again before it was left.
    assert not one.leave(26 * SECOND // 10)


def test_a_nearer_one_is_dialled_beside_once_the_link_has_stood() -> None:
    one = choice()
    one.up(0, "c3")
    one.hear(0, CORES, True)
    assert one.nearer(NEARER - 1) is None and one.nearer(NEARER) == "c1"
    one.up(NEARER, "c1")
    assert one.nearer(3 * NEARER) is None
    far = choice()
    far.hear(0, CORES[2:], True)
    far.up(0, "c3")
    assert far.nearer(2 * NEARER) is None  # c4 is no nearer: no swapping to and fro.


def test_seeds_are_exchanged_but_who_is_known_stays_known() -> None:
    one = choice(seeds=("old",))
    one.hear(0, CORES, True)
    one.reseed(["new"])
    assert set(one.candidates(0)) == {"c1", "c2", "c3", "c4", "new"}
    one.hear(1, (), True)  # A list without anybody says nothing.
    assert len(one.candidates(1)) == 5

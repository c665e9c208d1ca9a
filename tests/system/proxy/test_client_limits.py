"""What a client may send, and how long it may take or stay idle: `ClientLimits` at a proxy's sockets."""

import asyncio
import socket

import msgspec
import pytest

from ambershift.system.messages.items import LIMITS, Item
from ambershift.system.messages.proxy_link import ItemUpdate
from ambershift.system.processes.http_server import HttpServer
from ambershift.system.proxy.client_connection import _has_unread_data
from ambershift.system.proxy.client_limits import ClientLimits, HeadTracker, read_limits
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from tests.support.proxy_rig import DEFAULT_ITEMS, ProxyRig, response, run_scenario

HEAD = b"GET /read/a HTTP/1.1\r\nHost: books.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Remaining: 1500\r\n"
MOST = 400


def limits(version=1, **changed):
    fields = {"HeaderBytes": MOST, "BodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return Item(LIMITS, "limits", (version, ""), msgspec.json.encode({**fields, **changed}))


BOUND = ItemUpdate((*DEFAULT_ITEMS.items, limits()), True)


def head(size, more=b""):
    """A whole head of so many bytes."""
    return HEAD + more + b"X-Fill: " + b"x" * (size - len(HEAD) - len(more) - 12) + b"\r\n\r\n"


async def good(head, body, writer):
    return response(head, body=b"read")


class Client:
    """A raw socket: what is sent is in the proxy's kernel at once, whether the proxy has read it or not."""

    def __init__(self, rig):
        self.plug = socket.create_connection(("127.0.0.1", rig.port))
        self.plug.setblocking(False)
        self.plug.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def say(self, data):
        self.plug.sendall(data)
        return self

    async def hear(self):
        """All that comes until the proxy ends the connection."""
        loop, heard = asyncio.get_running_loop(), b""
        try:
            while part := await loop.sock_recv(self.plug, 1 << 16):
                heard += part
        except ConnectionResetError:
            heard += b"(reset)"
        self.plug.close()
        return heard

    def deaf(self, rig):
        """Whether the proxy hears it no more."""
        there = self.there(rig)
        return there is not None and there.discards_input

    def there(self, rig):
        """Its connection at the proxy."""
        port = self.plug.getsockname()[1]
        return next((one for one in connections(rig) if one.client[1] == port), None)

    async def answered(self):
        """One answer of a backend."""
        loop, heard = asyncio.get_running_loop(), b""
        while not heard.endswith(b"\r\n\r\nread"):
            part = await loop.sock_recv(self.plug, 1)
            assert part, heard
            heard += part
        return int(heard[9:12])


async def met(rig, *clients):
    """Until the proxy has read all that these have sent."""
    while not all(
        (there := client.there(rig)) and not _has_unread_data(there.transport) for client in clients
    ):
        await asyncio.sleep(0)


def connections(rig):
    return list(rig.server.server_state.connections)


def later(rig, seconds):
    """The proxy's clock goes on; timers that are due by it go off before anything more is read."""
    for one in connections(rig):
        if one.timeout_keep_alive_task is not None:
            rig.timers_set_at.setdefault(one.timeout_keep_alive_task, rig.clock_ahead_ns)
    rig.clock_ahead_ns += int(seconds * NS_PER_SECOND)
    now = asyncio.get_running_loop().time()
    for one in connections(rig):
        timer = one.timeout_keep_alive_task
        if (
            timer is not None
            and (timer.when() - now) * NS_PER_SECOND <= rig.clock_ahead_ns - rig.timers_set_at[timer]
        ):
            one.timeout_keep_alive_handler()


def test_head_above_the_limit_is_refused_and_closes_the_connection():
    async def scenario():
        async with ProxyRig(good, items=BOUND) as rig:
            assert len(head(MOST)) == MOST and len(head(MOST + 1)) == MOST + 1
            assert await (client := Client(rig).say(head(MOST))).answered() == 200
            # The same in pieces, on the connection kept, and right behind another request's bytes.
            for cut in (1, 20, 200, MOST - 1):
                client.say(head(MOST)[:cut])
                await met(rig, client)
                assert await client.say(head(MOST)[cut:]).answered() == 200
            for before in (0, 1, MOST - 1):
                client = Client(rig).say(head(MOST + 1)[:before])
                await met(rig, client)
                client.say(head(MOST + 1)[before:])
                await met(rig, client)
                heard = await client.say(head(300)).hear()
                assert heard.startswith(b"HTTP/1.1 431 ") and b"connection: close" in heard
                assert heard.count(b"HTTP/1.1") == 1
            # One that never ends is refused as soon as it is over, and what still comes is dropped.
            endless = Client(rig).say(HEAD + b"X-Fill: " + b"x" * MOST)
            await met(rig, endless)
            assert endless.deaf(rig)
            kept = endless.there(rig).head_tracker
            # Its answer isn't lost by a reset, as it would be if bytes were left unread.
            await asyncio.get_running_loop().sock_sendall(endless.plug, b"x" * 3_000_000)
            heard = await endless.hear()
            assert heard.startswith(b"HTTP/1.1 431 ") and not heard.endswith(b"(reset)")
            assert kept.head_bytes < 2 * MOST
            # One that stays all the same is let go.
            staying = Client(rig).say(head(MOST + 1))
            while not staying.deaf(rig):
                await asyncio.sleep(0)
            later(rig, 0.9)
            assert staying.deaf(rig)
            later(rig, 0.2)
            while connections(rig):
                await asyncio.sleep(0)
            assert len(rig.backends[0].request_heads) == 5 and rig.proxy.is_idle()

    run_scenario(scenario)


def test_complete_request_gets_its_response_whatever_follows_it():
    """Too large a head, too slow a one, or none at all: the request before it is answered, then the end."""

    async def scenario():
        for at_once, behind, seconds in (
            (head(MOST + 1), b"", 0),
            (b"", HEAD + b"X-Fill: " + b"x" * MOST, 0),
            (b"", HEAD, 3.1),
            (HEAD, b"X-Fill: " + b"x" * MOST, 0),
            (HEAD, b"", 3.1),
            (b"\x00 no head\r\n\r\n", b"", 0),
        ):
            go = asyncio.Event()

            async def slow(head, body, writer, go=go):
                await go.wait()
                return response(head, body=b"read")

            async with ProxyRig(slow, items=BOUND) as rig:
                client = Client(rig).say(head(300) + at_once)
                while not rig.backends[0].request_heads:
                    await asyncio.sleep(0)
                client.say(behind)
                await met(rig, client)
                if seconds:
                    later(rig, seconds)
                assert client.deaf(rig)
                go.set()
                heard = await client.hear()
                assert heard.startswith(b"HTTP/1.1 200 ") and heard.count(b"HTTP/1.1") == 1
                assert heard.endswith(b"\r\n\r\nread")

    run_scenario(scenario)


def test_head_timeout_does_not_run_while_reading_is_paused():
    """Behind two requests reading pauses until the first is answered."""

    async def scenario():
        go = asyncio.Event()

        async def slow(head, body, writer):
            await go.wait()
            return response(head, body=b"read")

        async with ProxyRig(slow, items=BOUND) as rig:
            client = Client(rig).say(head(300) + head(300) + HEAD)
            while not rig.backends[0].request_heads:
                await asyncio.sleep(0)
            client.say(head(300)[len(HEAD) :])
            for _ in range(3):
                later(rig, 3.1)
                assert not client.deaf(rig)
            go.set()
            for _ in range(3):
                assert await client.answered() == 200

    run_scenario(scenario)


def test_slow_head_times_out_however_often_bytes_arrive():
    async def scenario():
        async with ProxyRig(good, items=BOUND) as rig:
            client = Client(rig).say(HEAD[:1])
            await met(rig, client)
            for at in range(1, 29):
                later(rig, 0.1)
                client.say(HEAD[at : at + 1])
                await met(rig, client)
                assert not client.deaf(rig)
            later(rig, 0.3)
            assert (await client.hear()).startswith(b"HTTP/1.1 408 ")
            # On a connection kept as well, counted from the head's first byte.
            assert await (client := Client(rig).say(head(300))).answered() == 200
            later(rig, 9)
            client.say(HEAD[:9])
            await met(rig, client)
            later(rig, 2.9)
            assert not client.deaf(rig)
            later(rig, 0.2)
            assert (await client.hear()).startswith(b"HTTP/1.1 408 ")
            # A stall of ours is not the client's: what came meanwhile is read first, once.
            client = Client(rig).say(HEAD)
            await met(rig, client)
            client.say(head(300)[len(HEAD) :])
            later(rig, 3.1)
            assert await client.answered() == 200
            client.say(HEAD)
            await met(rig, client)
            client.say(b"X-")
            later(rig, 3.1)
            assert not client.deaf(rig)
            client.say(b"X-")
            later(rig, 3.1)
            assert client.deaf(rig)
            assert (await client.hear()).startswith(b"HTTP/1.1 408 ")

    run_scenario(scenario)


def test_idle_connections_are_closed_unless_a_request_is_in_flight():
    async def scenario():
        go = asyncio.Event()

        async def slow(head, body, writer):
            if b"/slow" in head:
                await go.wait()
            return response(head, body=b"read")

        async with ProxyRig(slow, items=BOUND) as rig:
            many = [Client(rig) for _ in range(300)]  # Each says nothing.
            await met(rig, *many)
            kept, crlf = Client(rig).say(head(300)), Client(rig)
            assert await kept.answered() == 200
            waiting = Client(rig).say(head(300).replace(b"/a ", b"/slow "))
            while len(rig.backends[0].request_heads) < 2:
                await asyncio.sleep(0)
            later(rig, 14.9)
            assert len(connections(rig)) == 303
            crlf.say(b"\r\n")  # It may precede a head, but is none.
            await met(rig, *many)
            arriving = kept.say(head(300))  # Just as its time is over.
            later(rig, 0.2)
            assert await arriving.answered() == 200
            assert set(await asyncio.gather(*(one.hear() for one in (*many, crlf)))) == {b""}
            later(rig, 10)
            go.set()
            assert await waiting.answered() == 200
            later(rig, 5.2)
            assert await kept.hear() == b"" and len(connections(rig)) == 1
            later(rig, 10)
            assert await waiting.hear() == b"" and not connections(rig)

    run_scenario(scenario)


def test_changed_limits_apply_to_new_requests_without_a_restart():
    async def scenario():
        async with ProxyRig(good, items=BOUND) as rig:
            assert await (client := Client(rig).say(head(MOST))).answered() == 200
            rig.proxy.handle_message(ItemUpdate((limits(2, HeaderBytes=300, IdleTimeoutMs=4000),), False))
            assert await client.say(head(300)).answered() == 200
            later(rig, 4.1)
            assert await client.hear() == b""
            assert (await Client(rig).say(head(301)).hear()).startswith(b"HTTP/1.1 431 ")
            rig.proxy.handle_message(ItemUpdate((limits(3, HeaderBytes=5000, IdleTimeoutMs=9000),), False))
            assert await (client := Client(rig).say(head(5000))).answered() == 200
            later(rig, 8)
            assert await client.say(head(300)).answered() == 200

    run_scenario(scenario)


def test_slow_body_of_a_refused_request_is_not_waited_for():
    async def scenario():
        async with ProxyRig(
            good, items=ItemUpdate((*DEFAULT_ITEMS.items, limits(HeaderTimeoutMs=30)), True)
        ) as rig:
            said = HEAD.replace(b"/read", b"/none") + b"Content-Length: 900\r\n\r\nx"
            heard = await Client(rig).say(said).hear()
            assert heard.startswith(b"HTTP/1.1 404 ") and b"connection: close" in heard

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("item", "found"),
    [
        ({}, ClientLimits()),
        ({"HeaderBytes": 0, "IdleTimeoutMs": None, "HeaderTimeoutMs": "x"}, ClientLimits()),
        (
            {"HeaderBytes": 9, "BodyBytes": 8, "HeaderTimeoutMs": 7.5, "IdleTimeoutMs": 6},
            ClientLimits(8, 9, 7_500_000, 6 * NS_PER_MS),
        ),
    ],
)
def test_missing_or_invalid_limits_have_their_defaults(item, found):
    assert read_limits(item) == found


def test_advertised_keep_alive_is_shorter_than_the_idle_timeout():
    told = [
        ClientLimits(idle_timeout_ns=ms * NS_PER_MS).advertised_keep_alive_s
        for ms in (900, 1000, 1999, 2000, 15_500)
    ]
    assert told == [None, None, None, 1, 14]

    async def scenario():
        async with ProxyRig(good, items=BOUND) as rig:
            rig.server.__class__ = HttpServer
            rig.server.advertise_keep_alive(rig.proxy.routing.limits.advertised_keep_alive_s)
            await rig.server.on_tick(0)
            assert b"\r\nkeep-alive: timeout=14\r\n" in (await rig.request())[1]
            rig.server.advertise_keep_alive(None)
            await rig.server.on_tick(0)
            assert b"keep-alive" not in (await rig.request())[1]

    run_scenario(scenario)


def test_bytes_of_other_messages_do_not_count_towards_a_head():
    waiting, bounds = HeadTracker(0), ClientLimits(max_head_bytes=100)
    waiting.record_read(5000, True)  # The end of a body, and a head's first bytes: how many, nobody tells.
    waiting.has_open_head = True
    waiting.record_parsed(1, True)
    assert not waiting.exceeds(bounds)
    waiting.record_read(100, False)
    waiting.record_parsed(2, False)
    assert not waiting.exceeds(bounds) and waiting.deadline(bounds, True) == 1 + bounds.head_timeout_ns
    waiting.record_read(1, False)
    waiting.record_parsed(3, False)
    assert waiting.exceeds(bounds)

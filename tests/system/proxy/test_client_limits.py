"""`ClientLimits` at a proxy's sockets: sizes of requests, and time-outs of heads and idle connections."""

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
MAX_HEAD_BYTES = 400


def limits(version=1, **changed):
    fields = {
        "HeaderBytes": MAX_HEAD_BYTES,
        "BodyBytes": 1000,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return Item(LIMITS, "limits", (version, ""), msgspec.json.encode({**fields, **changed}))


LIMITED_ITEMS = ItemUpdate((*DEFAULT_ITEMS.items, limits()), True)


def head_of_size(size, extra=b""):
    """A complete head of so many bytes."""
    return HEAD + extra + b"X-Fill: " + b"x" * (size - len(HEAD) - len(extra) - 12) + b"\r\n\r\n"


async def succeed(head, body, writer):
    return response(head, body=b"read")


class Client:
    """A raw socket: what is sent reaches the proxy's socket at once, whether the proxy has read it or not."""

    def __init__(self, rig):
        self.socket = socket.create_connection(("127.0.0.1", rig.port))
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data):
        self.socket.sendall(data)
        return self

    async def receive_all(self):
        """Return all that comes until the proxy closes the connection."""
        loop, received = asyncio.get_running_loop(), b""
        try:
            while part := await loop.sock_recv(self.socket, 1 << 16):
                received += part
        except ConnectionResetError:
            received += b"(reset)"
        self.socket.close()
        return received

    def is_discarded(self, rig):
        """Whether the proxy discards what it sends."""
        connection = self.connection_at(rig)
        return connection is not None and connection.discards_input

    def connection_at(self, rig):
        """Return its connection at the proxy, if that is still open."""
        port = self.socket.getsockname()[1]
        return next((connection for connection in connections(rig) if connection.client[1] == port), None)

    async def receive_status(self):
        """Receive one response of the backend, and return its status."""
        loop, received = asyncio.get_running_loop(), b""
        while not received.endswith(b"\r\n\r\nread"):
            part = await loop.sock_recv(self.socket, 1)
            assert part, received
            received += part
        return int(received[9:12])


async def wait_until_read(rig, *clients):
    """Wait until the proxy has read all that these have sent."""
    while not all(
        (connection := client.connection_at(rig)) and not _has_unread_data(connection.transport)
        for client in clients
    ):
        await asyncio.sleep(0)


def connections(rig):
    return list(rig.server.server_state.connections)


def advance_clock(rig, seconds):
    """Advance the proxy's clock, and run the timers that are due by it before anything more is read."""
    for connection in connections(rig):
        if connection.timeout_keep_alive_task is not None:
            rig.timers_set_at.setdefault(connection.timeout_keep_alive_task, rig.clock_ahead_ns)
    rig.clock_ahead_ns += int(seconds * NS_PER_SECOND)
    now = asyncio.get_running_loop().time()
    for connection in connections(rig):
        timer = connection.timeout_keep_alive_task
        if (
            timer is not None
            and (timer.when() - now) * NS_PER_SECOND <= rig.clock_ahead_ns - rig.timers_set_at[timer]
        ):
            connection.timeout_keep_alive_handler()


def test_head_above_the_limit_is_refused_and_closes_the_connection():
    async def scenario():
        async with ProxyRig(succeed, items=LIMITED_ITEMS) as rig:
            assert (
                len(head_of_size(MAX_HEAD_BYTES)) == MAX_HEAD_BYTES
                and len(head_of_size(MAX_HEAD_BYTES + 1)) == MAX_HEAD_BYTES + 1
            )
            assert await (client := Client(rig).send(head_of_size(MAX_HEAD_BYTES))).receive_status() == 200
            # The same in pieces, on the connection that was kept, after another request's bytes.
            for cut in (1, 20, 200, MAX_HEAD_BYTES - 1):
                client.send(head_of_size(MAX_HEAD_BYTES)[:cut])
                await wait_until_read(rig, client)
                assert await client.send(head_of_size(MAX_HEAD_BYTES)[cut:]).receive_status() == 200
            for before in (0, 1, MAX_HEAD_BYTES - 1):
                client = Client(rig).send(head_of_size(MAX_HEAD_BYTES + 1)[:before])
                await wait_until_read(rig, client)
                client.send(head_of_size(MAX_HEAD_BYTES + 1)[before:])
                await wait_until_read(rig, client)
                received = await client.send(head_of_size(300)).receive_all()
                assert received.startswith(b"HTTP/1.1 431 ") and b"connection: close" in received
                assert received.count(b"HTTP/1.1") == 1
            # A head without end is refused as soon as it is too large, and what still comes is dropped.
            endless = Client(rig).send(HEAD + b"X-Fill: " + b"x" * MAX_HEAD_BYTES)
            await wait_until_read(rig, endless)
            assert endless.is_discarded(rig)
            tracker = endless.connection_at(rig).head_tracker
            # Its response isn't lost by a reset, as it would be if bytes were left unread.
            await asyncio.get_running_loop().sock_sendall(endless.socket, b"x" * 3_000_000)
            received = await endless.receive_all()
            assert received.startswith(b"HTTP/1.1 431 ") and not received.endswith(b"(reset)")
            assert tracker.head_bytes < 2 * MAX_HEAD_BYTES
            # The connection of a client that doesn't close it is closed after `LINGER_S`.
            staying = Client(rig).send(head_of_size(MAX_HEAD_BYTES + 1))
            while not staying.is_discarded(rig):
                await asyncio.sleep(0)
            advance_clock(rig, 0.9)
            assert staying.is_discarded(rig)
            advance_clock(rig, 0.2)
            while connections(rig):
                await asyncio.sleep(0)
            assert len(rig.backends[0].request_heads) == 5 and rig.proxy.is_idle()

    run_scenario(scenario)


def test_complete_request_gets_its_response_whatever_follows_it():
    """After a head that is too large, too slow or invalid, the proxy completes the request before it."""

    async def scenario():
        for sent_at_once, sent_later, seconds in (
            (head_of_size(MAX_HEAD_BYTES + 1), b"", 0),
            (b"", HEAD + b"X-Fill: " + b"x" * MAX_HEAD_BYTES, 0),
            (b"", HEAD, 3.1),
            (HEAD, b"X-Fill: " + b"x" * MAX_HEAD_BYTES, 0),
            (HEAD, b"", 3.1),
            (b"\x00 no head\r\n\r\n", b"", 0),
        ):
            may_respond = asyncio.Event()

            async def respond_later(head, body, writer, may_respond=may_respond):
                await may_respond.wait()
                return response(head, body=b"read")

            async with ProxyRig(respond_later, items=LIMITED_ITEMS) as rig:
                client = Client(rig).send(head_of_size(300) + sent_at_once)
                while not rig.backends[0].request_heads:
                    await asyncio.sleep(0)
                client.send(sent_later)
                await wait_until_read(rig, client)
                if seconds:
                    advance_clock(rig, seconds)
                assert client.is_discarded(rig)
                may_respond.set()
                received = await client.receive_all()
                assert received.startswith(b"HTTP/1.1 200 ") and received.count(b"HTTP/1.1") == 1
                assert received.endswith(b"\r\n\r\nread")

    run_scenario(scenario)


def test_head_timeout_does_not_run_while_reading_is_paused():
    """After two requests, the proxy pauses reading until the first one is complete."""

    async def scenario():
        may_respond = asyncio.Event()

        async def respond_later(head, body, writer):
            await may_respond.wait()
            return response(head, body=b"read")

        async with ProxyRig(respond_later, items=LIMITED_ITEMS) as rig:
            client = Client(rig).send(head_of_size(300) + head_of_size(300) + HEAD)
            while not rig.backends[0].request_heads:
                await asyncio.sleep(0)
            client.send(head_of_size(300)[len(HEAD) :])
            for _ in range(3):
                advance_clock(rig, 3.1)
                assert not client.is_discarded(rig)
            may_respond.set()
            for _ in range(3):
                assert await client.receive_status() == 200

    run_scenario(scenario)


def test_slow_head_times_out_however_often_bytes_arrive():
    async def scenario():
        async with ProxyRig(succeed, items=LIMITED_ITEMS) as rig:
            client = Client(rig).send(HEAD[:1])
            await wait_until_read(rig, client)
            for at in range(1, 29):
                advance_clock(rig, 0.1)
                client.send(HEAD[at : at + 1])
                await wait_until_read(rig, client)
                assert not client.is_discarded(rig)
            advance_clock(rig, 0.3)
            assert (await client.receive_all()).startswith(b"HTTP/1.1 408 ")
            # On a connection that was kept as well, counted from the head's first byte.
            assert await (client := Client(rig).send(head_of_size(300))).receive_status() == 200
            advance_clock(rig, 9)
            client.send(HEAD[:9])
            await wait_until_read(rig, client)
            advance_clock(rig, 2.9)
            assert not client.is_discarded(rig)
            advance_clock(rig, 0.2)
            assert (await client.receive_all()).startswith(b"HTTP/1.1 408 ")
            # After a stall of the proxy, what came meanwhile is read before the time-out counts, once.
            client = Client(rig).send(HEAD)
            await wait_until_read(rig, client)
            client.send(head_of_size(300)[len(HEAD) :])
            advance_clock(rig, 3.1)
            assert await client.receive_status() == 200
            client.send(HEAD)
            await wait_until_read(rig, client)
            client.send(b"X-")
            advance_clock(rig, 3.1)
            assert not client.is_discarded(rig)
            client.send(b"X-")
            advance_clock(rig, 3.1)
            assert client.is_discarded(rig)
            assert (await client.receive_all()).startswith(b"HTTP/1.1 408 ")

    run_scenario(scenario)


def test_idle_connections_are_closed_unless_a_request_is_in_flight():
    async def scenario():
        may_respond = asyncio.Event()

        async def respond_later(head, body, writer):
            if b"/slow" in head:
                await may_respond.wait()
            return response(head, body=b"read")

        async with ProxyRig(respond_later, items=LIMITED_ITEMS) as rig:
            silent = [Client(rig) for _ in range(300)]  # They send nothing.
            await wait_until_read(rig, *silent)
            kept, crlf = Client(rig).send(head_of_size(300)), Client(rig)
            assert await kept.receive_status() == 200
            waiting = Client(rig).send(head_of_size(300).replace(b"/a ", b"/slow "))
            while len(rig.backends[0].request_heads) < 2:
                await asyncio.sleep(0)
            advance_clock(rig, 14.9)
            assert len(connections(rig)) == 303
            crlf.send(b"\r\n")  # It may precede a head, but isn't one.
            await wait_until_read(rig, *silent)
            arriving = kept.send(head_of_size(300))  # Just as its time-out ends.
            advance_clock(rig, 0.2)
            assert await arriving.receive_status() == 200
            assert set(await asyncio.gather(*(client.receive_all() for client in (*silent, crlf)))) == {b""}
            advance_clock(rig, 10)
            may_respond.set()
            assert await waiting.receive_status() == 200
            advance_clock(rig, 5.2)
            assert await kept.receive_all() == b"" and len(connections(rig)) == 1
            advance_clock(rig, 10)
            assert await waiting.receive_all() == b"" and not connections(rig)

    run_scenario(scenario)


def test_changed_limits_apply_to_new_requests_without_a_restart():
    async def scenario():
        async with ProxyRig(succeed, items=LIMITED_ITEMS) as rig:
            assert await (client := Client(rig).send(head_of_size(MAX_HEAD_BYTES))).receive_status() == 200
            rig.proxy.handle_message(ItemUpdate((limits(2, HeaderBytes=300, IdleTimeoutMs=4000),), False))
            assert await client.send(head_of_size(300)).receive_status() == 200
            advance_clock(rig, 4.1)
            assert await client.receive_all() == b""
            assert (await Client(rig).send(head_of_size(301)).receive_all()).startswith(b"HTTP/1.1 431 ")
            rig.proxy.handle_message(ItemUpdate((limits(3, HeaderBytes=5000, IdleTimeoutMs=9000),), False))
            assert await (client := Client(rig).send(head_of_size(5000))).receive_status() == 200
            advance_clock(rig, 8)
            assert await client.send(head_of_size(300)).receive_status() == 200

    run_scenario(scenario)


def test_slow_body_of_a_refused_request_is_not_waited_for():
    async def scenario():
        async with ProxyRig(
            succeed, items=ItemUpdate((*DEFAULT_ITEMS.items, limits(HeaderTimeoutMs=30)), True)
        ) as rig:
            request = HEAD.replace(b"/read", b"/none") + b"Content-Length: 900\r\n\r\nx"
            received = await Client(rig).send(request).receive_all()
            assert received.startswith(b"HTTP/1.1 404 ") and b"connection: close" in received

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        ({}, ClientLimits()),
        ({"HeaderBytes": 0, "IdleTimeoutMs": None, "HeaderTimeoutMs": "x"}, ClientLimits()),
        (
            {"HeaderBytes": 9, "BodyBytes": 8, "HeaderTimeoutMs": 7.5, "IdleTimeoutMs": 6},
            ClientLimits(8, 9, 7_500_000, 6 * NS_PER_MS),
        ),
    ],
)
def test_missing_or_invalid_limits_have_their_defaults(body, expected):
    assert read_limits(body) == expected


def test_advertised_keep_alive_is_shorter_than_the_idle_timeout():
    advertised = [
        ClientLimits(idle_timeout_ns=ms * NS_PER_MS).advertised_keep_alive_s
        for ms in (900, 1000, 1999, 2000, 15_500)
    ]
    assert advertised == [None, None, None, 1, 14]

    async def scenario():
        async with ProxyRig(succeed, items=LIMITED_ITEMS) as rig:
            rig.server.__class__ = HttpServer
            rig.server.advertise_keep_alive(rig.proxy.routing.limits.advertised_keep_alive_s)
            await rig.server.on_tick(0)
            assert b"\r\nkeep-alive: timeout=14\r\n" in (await rig.request())[1]
            rig.server.advertise_keep_alive(None)
            await rig.server.on_tick(0)
            assert b"keep-alive" not in (await rig.request())[1]

    run_scenario(scenario)


def test_bytes_of_other_messages_do_not_count_towards_a_head():
    tracker, limits = HeadTracker(0), ClientLimits(max_head_bytes=100)
    # The end of a body, and an unknown number of the first bytes of a head.
    tracker.record_read(5000, in_body=True)
    tracker.record_head_start()
    tracker.record_parsed(1, had_no_head=True)
    assert not tracker.exceeds(limits)
    tracker.record_read(100, in_body=False)
    tracker.record_parsed(2, had_no_head=False)
    assert not tracker.exceeds(limits) and tracker.deadline(limits, busy=True) == 1 + limits.head_timeout_ns
    tracker.record_read(1, in_body=False)
    tracker.record_parsed(3, had_no_head=False)
    assert tracker.exceeds(limits)

"""The server tells an application of the end of its caller's connection, on which evacuation calls rely."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ambershift.system.control_api.asgi import CallerConnection, Receive, Scope, Send, read_body, send_reply
from ambershift.system.coordination.replies import Reply
from ambershift.system.processes.http_server import create_server

WAIT_S = 2.0
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


class WatchingApplication:
    """Waits for the end of each caller's connection, for `wait_s` at the most, and notes what it saw."""

    def __init__(self) -> None:
        self.wait_s = 0.0
        self.has_read = asyncio.Event()
        self.closed = asyncio.Queue[bool]()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        await read_body(scope, receive, 100)
        connection = CallerConnection(receive)
        self.has_read.set()
        await connection.wait_closed(self.wait_s)
        self.closed.put_nowait(connection.is_closed())
        connection.stop_watching()
        await send_reply(send, Reply(200, b""))


@asynccontextmanager
async def served(application: WatchingApplication) -> AsyncIterator[int]:
    listener = socket.create_server(("127.0.0.1", 0))
    server = create_server(application, 60, 1.0)
    serving = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        yield listener.getsockname()[1]
    finally:
        server.should_exit = True
        await serving


@pytest.mark.parametrize("calls_before", [0, 1, 3])
async def test_the_end_of_a_kept_connection_is_noticed_after_its_request_was_read(calls_before: int) -> None:
    application = WatchingApplication()
    async with served(application) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(calls_before):
            writer.write(REQUEST)
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert not await application.closed.get()
        application.has_read.clear()
        application.wait_s = WAIT_S
        writer.write(REQUEST)
        await application.has_read.wait()
        began = asyncio.get_running_loop().time()
        writer.close()
        assert await application.closed.get()
        assert asyncio.get_running_loop().time() - began < WAIT_S / 2


async def test_a_caller_that_waits_is_not_taken_for_one_that_left() -> None:
    application = WatchingApplication()
    application.wait_s = 0.05
    async with served(application) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert not await application.closed.get()
        writer.close()

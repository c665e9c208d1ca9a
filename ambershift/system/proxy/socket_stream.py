"""One connection to a backend as `httpcore` wants it: a network stream directly on an asyncio protocol."""

from __future__ import annotations

import asyncio
import socket
import ssl
from enum import Enum
from typing import Any, cast

import httpcore

# Unacknowledged bytes for so long end a connection, ms: a dead machine says nothing.
USER_TIMEOUT = 1500
READ_MOST = 256 << 10  # Bytes received and not yet read; above it the peer has to wait.


PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class Rest(Enum):
    """A connection between exchanges: fit for one, closed by the peer, or with bytes nobody asked for."""

    CLEAN = "clean"
    CLOSED = "closed"
    UNREAD = "unread"


class GivenUpError(Exception):
    """We ended the exchange ourselves: its time is over, or the client has left."""


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """Says what `httpcore` does not: whether bytes were written, came, lie unread, or the peer closed."""

    def __init__(self, plug: socket.socket) -> None:
        self._plug = plug
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._free: asyncio.Future[None] | None = None
        self._held = False
        self._eof = False
        self._broken: Exception | None = None
        self.wrote = self.begun = False
        self.mute = False  # Writes go nowhere: a further answer to a request already sent is to be read.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one, but doesn't derive from it.

    def data_received(self, data: bytes) -> None:
        self.begun = True
        self._received += data
        if len(self._received) > READ_MOST and not self._held and self._transport is not None:
            self._held = True
            self._transport.pause_reading()
        self._awake()

    def eof_received(self) -> bool:
        self._eof = True
        self._awake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._eof = True
        if exc is not None and self._broken is None:
            self._broken = httpcore.ReadError(str(exc))
        self._awake()
        if self._free is not None and not self._free.done():
            self._free.set_result(None)

    def pause_writing(self) -> None:
        self._free = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._free is not None and not self._free.done():
            self._free.set_result(None)
        self._free = None

    @property
    def closed(self) -> bool:
        """The peer has closed, or the connection was lost."""
        return self._eof

    def begin(self) -> None:
        """A new exchange starts on this connection."""
        self.wrote = self.begun = self.mute = False

    def give_up(self) -> None:
        """End the exchange under way from outside: whoever reads gets `GivenUpError`."""
        self._broken = GivenUpError()
        self._awake()
        if self._free is not None and not self._free.done():
            self._free.set_result(None)

    def rests(self, look: bool = True) -> Rest:
        """How it stands between exchanges. `look`: at the socket itself, too, since the loop may not have
        come round to what has arrived.
        """
        if self._received:
            return Rest.UNREAD
        if self._eof or self._broken is not None:
            return Rest.CLOSED
        if not look:
            return Rest.CLEAN
        try:
            return Rest.UNREAD if self._plug.recv(1, PEEK) else Rest.CLOSED
        except BlockingIOError:
            return Rest.CLEAN
        except OSError:
            return Rest.CLOSED

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if not self._received and not self._eof and self._broken is None:
            self._waiter = self._loop.create_future()
            await self._waiter
        if self._broken is not None and (isinstance(self._broken, GivenUpError) or not self._received):
            raise self._broken
        if len(self._received) <= max_bytes:
            data = bytes(self._received)
            self._received.clear()
        else:
            data = bytes(self._received[:max_bytes])
            del self._received[:max_bytes]
        if self._held and len(self._received) <= READ_MOST // 2 and self._transport is not None:
            self._held = False
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer or self.mute:
            return
        if self._transport is None or self._eof or self._transport.is_closing():
            raise httpcore.WriteError("the peer has closed")
        self.wrote = True
        self._transport.write(buffer)
        if self._free is not None:
            await self._free
        if isinstance(self._broken, GivenUpError):
            raise self._broken

    async def aclose(self) -> None:
        self.close()

    def close(self) -> None:
        """At once, with a reset if need be: what is still to be written is not wanted any more."""
        if self._transport is not None:
            self._transport.abort()

    async def start_tls(
        self, ssl_context: ssl.SSLContext, server_hostname: str | None = None, timeout: float | None = None
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError("backends speak plain HTTP/1.1")

    def get_extra_info(self, info: str) -> Any:
        return self.rests() is not Rest.CLEAN if info == "is_readable" else None

    def _awake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _connected(plug: socket.socket) -> bool:
    try:
        plug.getpeername()
    except OSError:
        return False
    return True


async def dial(address: str, within: float) -> Stream:
    """Connect within so many seconds; raises `OSError` (also `TimeoutError`): nothing was sent then."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        plug.setblocking(False)
        plug.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        plug.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
        try:
            async with asyncio.timeout(within):
                await loop.sock_connect(plug, (host, int(port)))
        except TimeoutError:
            if not _connected(plug):  # After a stall of ours it may be, though the loop told the time first.
                raise
        _, stream = await loop.create_connection(lambda: Stream(plug), sock=plug)
    except BaseException:
        plug.close()
        raise
    return stream

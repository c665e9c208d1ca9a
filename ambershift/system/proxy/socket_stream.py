"""One connection to a backend as `httpcore` wants it: a network stream directly on an asyncio protocol."""

from __future__ import annotations

import asyncio
import socket
import ssl
from enum import Enum
from typing import Any, cast

import httpcore

# Unacknowledged bytes end a connection after so long: a dead machine doesn't close it.
TCP_USER_TIMEOUT_MS = 1500
READ_BUFFER_MAX = 256 << 10  # Bytes received and not yet read; above it the peer has to wait.
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT


class IdleState(Enum):
    """The state of a connection between two exchanges."""

    READY = "clean"  # Fit for an exchange.
    CLOSED = "closed"  # By the peer, or lost.
    UNREAD_DATA = "unread"  # Bytes have come that belong to no request.


class ExchangeAbortedError(Exception):
    """The proxy ended the exchange itself: its time is over, or the client has disconnected."""


class SocketStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """A network stream for `httpcore` that also reports how far an exchange got.

    Attributes:
        has_written: Whether bytes were written in this exchange.
        has_received: Whether bytes were received in this exchange.
        discard_writes: Writes are dropped, to read a further response to a request that was already sent.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Start unconnected; the event loop calls `connection_made`."""
        self._socket = sock
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._eof = False
        self._error: Exception | None = None
        self.has_written = self.has_received = False
        self.discard_writes = False

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        # uvloop's transport is an `asyncio.Transport`, but doesn't derive from it.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes; above `READ_BUFFER_MAX`, stop reading."""
        self.has_received = True
        self._received += data
        if len(self._received) > READ_BUFFER_MAX and not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """The peer has closed; the transport closes, too."""
        self._eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, or lost."""
        self._eof = True
        if exc is not None and self._error is None:
            self._error = httpcore.ReadError(str(exc))
        self._wake_reader()
        self._wake_writer()

    def pause_writing(self) -> None:
        """The transport's buffer is full: `write` waits."""
        self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """The transport's buffer has space again."""
        self._wake_writer()
        self._write_waiter = None

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _wake_writer(self) -> None:
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    # Exchanges.

    @property
    def is_closed(self) -> bool:
        """Whether the peer has closed, or the connection was lost."""
        return self._eof

    def begin_exchange(self) -> None:
        """A new exchange starts on this connection."""
        self.has_written = self.has_received = self.discard_writes = False

    def abort_exchange(self) -> None:
        """End the exchange in progress; who reads or writes gets `ExchangeAbortedError`."""
        self._error = ExchangeAbortedError()
        self._wake_reader()
        self._wake_writer()

    def idle_state(self, check_socket: bool = True) -> IdleState:
        """Return the state between exchanges.

        Args:
            check_socket: Look at the socket, too: the event loop may not have read yet what has arrived.
        """
        if self._received:
            return IdleState.UNREAD_DATA
        if self._eof or self._error is not None:
            return IdleState.CLOSED
        if not check_socket:
            return IdleState.READY
        try:
            return IdleState.UNREAD_DATA if self._socket.recv(1, PEEK_FLAGS) else IdleState.CLOSED
        except BlockingIOError:
            return IdleState.READY
        except OSError:
            return IdleState.CLOSED

    # The interface of `httpcore`.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; none where the peer has closed.

        Raises:
            ExchangeAbortedError: The exchange was aborted.
            httpcore.ReadError: The connection was lost.
        """
        if not self._received and not self._eof and self._error is None:
            self._read_waiter = self._loop.create_future()
            await self._read_waiter
        is_aborted = isinstance(self._error, ExchangeAbortedError)
        if self._error is not None and (is_aborted or not self._received):
            raise self._error
        if len(self._received) <= max_bytes:
            data = bytes(self._received)
            self._received.clear()
        else:
            data = bytes(self._received[:max_bytes])
            del self._received[:max_bytes]
        has_space = len(self._received) <= READ_BUFFER_MAX // 2
        if self._reading_paused and has_space and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write the bytes; return once the transport takes more.

        Raises:
            ExchangeAbortedError: The exchange was aborted.
            httpcore.WriteError: The peer has closed.
        """
        if not buffer or self.discard_writes:
            return
        if self._transport is None or self._eof or self._transport.is_closing():
            raise httpcore.WriteError("the peer has closed")
        self.has_written = True
        self._transport.write(buffer)
        if self._write_waiter is not None:
            await self._write_waiter
        if isinstance(self._error, ExchangeAbortedError):
            raise self._error

    async def aclose(self) -> None:
        """Close at once."""
        self.close()

    def close(self) -> None:
        """Close at once, with a reset if need be: what is left to be written isn't needed any more."""
        if self._transport is not None:
            self._transport.abort()

    async def start_tls(
        self, ssl_context: ssl.SSLContext, server_hostname: str | None = None, timeout: float | None = None
    ) -> httpcore.AsyncNetworkStream:
        """Fail: TLS to backends isn't supported."""
        raise NotImplementedError("backends speak plain HTTP/1.1")

    def get_extra_info(self, info: str) -> Any:
        """Return whether a read would return at once, for `is_readable`; None for anything else."""
        return self.idle_state() is not IdleState.READY if info == "is_readable" else None


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def dial(address: str, timeout_s: float) -> SocketStream:
    """Connect to `host:port`.

    Raises:
        OSError: No connection, and nothing was sent; a `TimeoutError` where there was no connection in time.
        ValueError: The address isn't one.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(sock, (host, int(port)))
        except TimeoutError:
            # After a stall of this process the loop may run the timer before it sees the connection.
            if not _is_connected(sock):
                raise
        _, stream = await loop.create_connection(lambda: SocketStream(sock), sock=sock)
    except BaseException:
        sock.close()
        raise
    return stream

"""A client's connection: uvicorn's, kept within the operator's limits."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from ambershift.system.proxy.client_limits import ClientLimits, HeadTracker
from ambershift.system.state_machine import NS_PER_SECOND

# After a refusal, incoming bytes are still read for so long, and dropped: closing a connection with unread
# bytes resets it, and the client may lose the response.
LINGER_S = 1.0
# After a stall of this process, timers run before what arrived meanwhile is read: a timeout is put off once
# by so much.
STALL_GRACE_S = 0.05
# Two spaces, `HTTP/1.1` and CRLF of the request line, and the CRLF of the empty line.
REQUEST_LINE_REST_BYTES = 14
HEADER_SEPARATOR_BYTES = 4  # Of each header: a colon, a space and CRLF.


class HeadTooLargeError(Exception):
    """Raised from a callback to stop the parser at a head that is too large."""


def _has_unread_data(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the end of the client's stream, have arrived and weren't read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class ClientConnection(HttpToolsProtocol):
    """uvicorn's protocol with a limit on heads, and a timeout for them.

    uvicorn's timer of idle connections serves for heads, too: it is reset whenever bytes arrive.

    A request that was read completely always gets its response: while one is served, the connection is closed
    only after that, and what came behind the request gets no response.

    Attributes:
        limits: Returns the limits of clients.
        monotonic_ns: The monotonic clock, in ns.
        head_tracker: What has come of the next head.
        refusal_status: The status to refuse a head with, instead of the parser's 400; 0 if none.
        discards_input: Whether the connection is about to be closed, and incoming bytes are dropped.
    """

    def __init__(
        self, limits: Callable[[], ClientLimits], monotonic_ns: Callable[[], int], *args: Any, **kwargs: Any
    ) -> None:
        """Create the protocol of a connection; the other arguments are uvicorn's."""
        super().__init__(*args, **kwargs)
        self.limits = limits
        self.monotonic_ns = monotonic_ns
        self.head_tracker = HeadTracker(0)
        self.refusal_status = 0
        self.discards_input = False

    @property
    def busy(self) -> bool:
        """Whether a request is being served."""
        return self.cycle is not None and not self.cycle.response_complete

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer of the first head."""
        super().connection_made(transport)
        self.head_tracker = HeadTracker(self.monotonic_ns())
        self._schedule_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, and refuse a head that is too large."""
        if self.discards_input:
            return
        tracker, had_no_head = self.head_tracker, not self.head_tracker.has_open_head
        tracker.record_read(len(data), in_body=self.cycle is not None and self.cycle.more_body)
        super().data_received(data)
        is_served = self.busy and not tracker.has_open_head
        if self.discards_input or self.transport.is_closing() or is_served:
            return
        tracker.record_parsed(self.monotonic_ns(), had_no_head)
        if tracker.exceeds(self.limits()):
            self.refuse(431)
        else:
            self._schedule_timeout()

    # Callbacks of the parser and of uvicorn.

    def on_message_begin(self) -> None:
        """A head begins."""
        super().on_message_begin()
        self.head_tracker.record_head_start()

    def on_headers_complete(self) -> None:
        """Start serving the request, unless its head is too large.

        Raises:
            HeadTooLargeError: Stops the parser, which calls `send_400_response`.
        """
        tracker, max_bytes = self.head_tracker, self.limits().max_head_bytes
        tracker.record_head_end()
        if tracker.head_bytes > max_bytes and self._head_size() > max_bytes:
            self.refusal_status = 431
            raise HeadTooLargeError
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Wait for the next head."""
        self.head_tracker.record_response(self.monotonic_ns())
        self.timeout_keep_alive = self.limits().idle_timeout_ns / NS_PER_SECOND  # type: ignore[assignment]
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """The timer has run: close or refuse if the client's time is over, else set it again."""
        if self.transport.is_closing():
            return
        if self.discards_input and not self.busy:
            self.transport.close()
            return
        tracker, now = self.head_tracker, self.monotonic_ns()
        if tracker.has_open_head and self.flow.read_paused:
            tracker.head_started_at = now  # The proxy itself has paused reading.
        deadline = tracker.deadline(self.limits(), self.busy)
        if deadline is None or now < deadline:
            self._schedule_timeout()
            return
        if not tracker.stall_grace_used and _has_unread_data(self.transport):
            tracker.stall_grace_used = True
            self._set_timer(STALL_GRACE_S)
        elif tracker.has_open_head:
            self.refuse(408)
        else:
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser can't read, or was stopped at."""
        if self.refusal_status or (self.busy and not self.cycle.more_body):
            self.refuse(self.refusal_status or 400)
        else:
            super().send_400_response(msg)

    def refuse(self, status: int) -> None:
        """Drop all further input, and send this status, unless a request is being served.

        Then its response is the last one on this connection.
        """
        self.discards_input = True
        if self.busy:
            self.cycle.keep_alive = False
            return
        self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.write_eof()
        self._set_timer(LINGER_S)

    def _head_size(self) -> int:
        """Return the size of the head as it was sent, if no more than one space follows each colon."""
        headers_size = sum(len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in self.headers)
        return len(self.parser.get_method()) + len(self.url) + REQUEST_LINE_REST_BYTES + headers_size

    # The timer.

    def _schedule_timeout(self) -> None:
        """Set the timer to the time by which the client has to send more, if there is one."""
        deadline = self.head_tracker.deadline(self.limits(), self.busy)
        if deadline is not None:
            self._set_timer(max(0, deadline - self.monotonic_ns()) / NS_PER_SECOND)

    def _set_timer(self, delay_s: float) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(delay_s, self.timeout_keep_alive_handler)

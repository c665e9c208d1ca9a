"""A client's connection: uvicorn's, kept within the operator's limits."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from ambershift.system.proxy.client_limits import Limits, Waiting
from ambershift.system.state_machine import NS_PER_SECOND

# What comes after a refusal is still read for so long, s, and dropped: to close on unread bytes resets the
# connection, and the client may lose the answer by it.
LINGER = 1.0
# After a stall of ours timers go off before what came meanwhile is read: it gets so long, s, once.
SPARE = 0.05


class HeadTooLargeError(Exception):
    """Ends the parser's work on a head."""


def _unread(transport: asyncio.Transport) -> bool:
    """Whether bytes have come, or the client's end, that nobody has read."""
    plug = transport.get_extra_info("socket")
    if plug is None or plug.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(plug.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class ClientConnection(HttpToolsProtocol):
    """Uses uvicorn's timer of idle connections for a head's time as well: any bytes that come end it.

    Never closes on a request that was read whole: where one is being answered, the end comes after its
    answer, and what came behind it gets none.
    """

    def __init__(
        self, limits: Callable[[], Limits], steady: Callable[[], int], *parts: Any, **named: Any
    ) -> None:
        super().__init__(*parts, **named)
        self.limits, self.steady = limits, steady
        self.waiting = Waiting(0)
        self.refusal = 0  # The status in place of the parser's 400.
        self.deaf = False  # What comes is dropped.

    @property
    def busy(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.waiting = Waiting(self.steady())
        self._await()

    def connection_lost(self, exc: Exception | None) -> None:
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        waiting, fresh = self.waiting, not self.waiting.head
        waiting.reads(len(data), self.cycle is not None and self.cycle.more_body)
        super().data_received(data)
        if self.deaf or self.transport.is_closing() or (self.busy and not waiting.head):
            return
        waiting.parsed(self.steady(), fresh)
        if waiting.over(self.limits()):
            self.refuse(431)
        else:
            self._await()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.waiting.head = True

    def on_headers_complete(self) -> None:
        waiting, most = self.waiting, self.limits().head
        waiting.whole()
        if waiting.size > most and self._head_size() > most:
            self.refusal = 431
            raise HeadTooLargeError
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        self.waiting.answered(self.steady())
        self.timeout_keep_alive = self.limits().idle_for / NS_PER_SECOND  # type: ignore[assignment]
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """The time for the next byte may be over."""
        if self.transport.is_closing():
            return
        if self.deaf and not self.busy:
            self.transport.close()
            return
        waiting, now = self.waiting, self.steady()
        if waiting.head and self.flow.read_paused:
            waiting.since = now  # It is we who don't read on.
        due = waiting.due(self.limits(), self.busy)
        if due is None or now < due:
            self._await()
            return
        if not waiting.spared and _unread(self.transport):
            waiting.spared = True
            self._call(SPARE, self.timeout_keep_alive_handler)
        elif waiting.head:
            self.refuse(408)
        else:
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        if self.refusal or (self.busy and not self.cycle.more_body):
            self.refuse(self.refusal or 400)
        else:
            super().send_400_response(msg)

    def refuse(self, status: int) -> None:
        """Hear no more; say why, unless the place for it belongs to a request that is being answered."""
        self.deaf = True
        if self.busy:
            self.cycle.keep_alive = False
            return
        self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.write_eof()
        self._call(LINGER, self.timeout_keep_alive_handler)

    def _head_size(self) -> int:
        """As it came, if no more than one space follows a colon."""
        return (
            len(self.parser.get_method())
            + len(self.url)
            + 14
            + sum(len(name) + len(value) + 4 for name, value in self.headers)
        )

    def _await(self) -> None:
        """Look again when the time for the next byte is over."""
        due = self.waiting.due(self.limits(), self.busy)
        if due is not None:
            self._call(max(0, due - self.steady()) / NS_PER_SECOND, self.timeout_keep_alive_handler)

    def _call(self, seconds: float, what: Callable[[], None]) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(seconds, what)

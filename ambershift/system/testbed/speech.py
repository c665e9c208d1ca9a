"""HTTP/1.1 of the stand-ins that call, by h11: one connection, and one request on a connection of its own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import h11

CONNECT_S, PIECE = 1.0, 64 << 10


@dataclass(eq=False)
class NotReachedError(Exception):
    """No connection came up: nothing was sent."""

    address: str


@dataclass(eq=False)
class BrokenOffError(Exception):
    """The connection ended before a whole answer. `read`: whether the request may have been read."""

    read: bool
    reason: str


@dataclass(eq=False)
class LateError(Exception):
    """No whole answer within the time given."""


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: Mapping[str, str]
    body: bytes


def texts(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in headers}


def reset(writer: asyncio.StreamWriter) -> None:
    """End it by a reset: without the option it would close in good order."""
    if end := writer.get_extra_info("socket"):
        with contextlib.suppress(OSError):
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Line:
    """One connection of a caller, for one request after the other."""

    def __init__(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.address, self.reader, self.writer = address, reader, writer
        self.state = h11.Connection(h11.CLIENT)
        self.used = self.heard = 0  # Requests; bytes of the present answer.

    @classmethod
    async def open(cls, address: str, limit: float = CONNECT_S) -> Line:
        """Raises `NotReachedError`."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(limit):
                return cls(address, *await asyncio.open_connection(ip, int(port)))
        except (OSError, TimeoutError) as why:
            raise NotReachedError(address) from why

    @property
    def free(self) -> bool:
        """Whether a further request may be sent on it."""
        return (
            self.state.our_state is h11.IDLE
            and not self.reader.at_eof()
            and not self.writer.transport.is_closing()
        )

    def close(self) -> None:
        self.writer.close()

    async def ask(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        limit: float,
        chunked: bool = False,
    ) -> Answer:
        """The whole answer; raises `BrokenOffError` or `LateError`, and then the line is closed."""
        self.used, self.heard = self.used + 1, 0
        fields = dict(headers)
        if chunked:
            fields["Transfer-Encoding"] = "chunked"
        elif body or method not in ("GET", "DELETE"):
            fields["Content-Length"] = str(len(body))
        try:
            async with asyncio.timeout(limit):
                request = h11.Request(method=method, target=target, headers=list(fields.items()))
                self.writer.write(
                    (self.state.send(request) or b"")
                    + (self.state.send(h11.Data(data=body)) or b"" if body else b"")
                    + (self.state.send(h11.EndOfMessage()) or b"")
                )
                return await self.answer()
        except TimeoutError as why:
            reset(self.writer)
            raise LateError from why
        except ConnectionError as why:
            # A reset before any byte of an answer says that the request's bytes were left unread.
            reset(self.writer)
            raise BrokenOffError(self.heard > 0, repr(why)) from why
        except (OSError, h11.ProtocolError) as why:
            reset(self.writer)
            raise BrokenOffError(True, repr(why)) from why
        except BaseException:
            reset(self.writer)
            raise

    async def answer(self) -> Answer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(PIECE)
                self.heard += len(data)
                if not data and head is None:
                    # An error after the end says that our bytes came once it had closed: it read nothing.
                    end = self.writer.get_extra_info("socket")
                    unread = end is not None and end.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
                    raise BrokenOffError(not unread, "ended without an answer")
                self.state.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
                    self.state.start_next_cycle()
                else:
                    self.writer.close()
                return Answer(head.status_code, texts(head.headers), bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise BrokenOffError(True, "ended within an answer")

    def unasked(self) -> bool:
        """Whether bytes came on this idle connection that no request asked for."""
        return bool(self.state.trailing_data[0])


async def once(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    limit: float = 1.0,
) -> Answer:
    """A request on a connection of its own. Raises `NotReachedError`, `BrokenOffError` or `LateError`."""
    line = await Line.open(address, min(limit, CONNECT_S))
    try:
        return await line.ask(
            method, target, {"Host": address, "Connection": "close", **(headers or {})}, body, limit
        )
    finally:
        line.close()

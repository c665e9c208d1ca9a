"""Reads the body of an ASGI request within a bound, and sends a reply (ASGI 3.0, HTTP)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from ambershift.system.coordination.replies import Reply

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class RequestError(Exception):
    """A request that can't be read; the base of this layer's exceptions."""


@dataclass(eq=False)
class BodyTooLargeError(RequestError):
    """The body is larger than `limit_bytes`."""

    limit_bytes: int

    def __str__(self) -> str:
        return f"The body is larger than {self.limit_bytes} bytes."


class CallerDisconnectedError(RequestError):
    """The caller has closed its connection."""

    def __str__(self) -> str:
        return "The caller has closed its connection."


def query_parameters(scope: Scope) -> dict[str, str]:
    """The parameters of the query string; of a parameter that is repeated, the last."""
    return dict(parse_qsl(scope["query_string"].decode("latin-1"), keep_blank_values=True))


async def read_body(scope: Scope, receive: Receive, limit_bytes: int) -> bytes:
    """The complete body.

    Raises:
        BodyTooLargeError: It is larger than the limit; the rest isn't read.
        CallerDisconnectedError: The connection was closed before the body was complete.
    """
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit() and int(value) > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
    chunks: list[bytes] = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnectedError
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        if size > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        more = message.get("more_body", False)
    return b"".join(chunks)


class CallerConnection:
    """The connection of a request whose body was read: notices that the caller closes it.

    Call `stop_watching` in the end.
    """

    def __init__(self, receive: Receive) -> None:
        """Watch from now on; whatever ASGI receives after the body is the end of the connection."""
        self._closed = asyncio.ensure_future(receive())

    def is_closed(self) -> bool:
        """Whether the caller is known to have closed it."""
        return self._closed.done()

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until the caller has closed it, or for this long."""
        await asyncio.wait([self._closed], timeout=timeout_s)

    def stop_watching(self) -> None:
        """The request is complete."""
        self._closed.cancel()


async def send_reply(send: Send, reply: Reply) -> None:
    """Send status, headers and body."""
    headers = [(b"content-length", b"%d" % len(reply.body))]
    if reply.body:
        headers.append((b"content-type", b"application/json"))
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": reply.body})

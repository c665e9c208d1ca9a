"""Reads the body of an ASGI request within a bound, and sends a reply (ASGI 3.0, HTTP)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from ambershift.system.coordination.replies import Reply

DISCONNECT_WAIT_S = 0.03

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


async def ensure_connected(receive: Receive) -> None:
    """Check that the caller is still there, after its request was read.

    A network partition may delay both a request and the end of its connection, and then they come together:
    this waits for a moment, so that the end is noticed although it is read after the request.

    Raises:
        CallerDisconnectedError: The caller closed its connection right after its request, or long ago.
    """
    try:
        async with asyncio.timeout(DISCONNECT_WAIT_S):
            await receive()
    except TimeoutError:
        return
    raise CallerDisconnectedError


async def send_reply(send: Send, reply: Reply) -> None:
    """Send status, headers and body."""
    headers = [(b"content-length", b"%d" % len(reply.body))]
    if reply.body:
        headers.append((b"content-type", b"application/json"))
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": reply.body})

"""Reads the body of an ASGI request within a bound, and sends an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from ambershift.system.coordination.replies import Reply

DISCONNECT_WAIT_S = 0.03  # Seconds.

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


@dataclass(eq=False)
class BodyTooLargeError(Exception):
    """The body goes over the bound (bytes)."""

    limit_bytes: int


@dataclass(eq=False)
class CallerDisconnectedError(Exception):
    """The caller has closed its connection before its body was whole."""


def query_parameters(scope: Scope) -> dict[str, str]:
    return dict(parse_qsl(scope["query_string"].decode("latin-1"), keep_blank_values=True))


async def read_body(scope: Scope, receive: Receive, most: int) -> bytes:
    """Raises `TooLargeError` (without reading on) or `GoneError`."""
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit() and int(value) > most:
            raise BodyTooLargeError(most)
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnectedError
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > most:
            raise BodyTooLargeError(most)
        more = message.get("more_body", False)
    return b"".join(parts)


async def ensure_connected(receive: Receive) -> None:
    """Raises `GoneError` where the caller closed its connection right after its request, or long before now:
    a cut may hold up both, and then they come together."""
    try:
        async with asyncio.timeout(DISCONNECT_WAIT_S):
            await receive()
    except TimeoutError:
        return
    raise CallerDisconnectedError


async def send_reply(send: Send, reply: Reply) -> None:
    headers = [(b"content-length", b"%d" % len(reply.body))]
    if reply.body:
        headers.append((b"content-type", b"application/json"))
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": reply.body})

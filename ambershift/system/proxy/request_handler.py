"""One request at the proxy, from its head to its response: connects the decisions with the sockets (ASGI)."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore

from ambershift.system.messages.proxy_link import pool_name
from ambershift.system.proxy.backend_attempt import AttemptResult
from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.backend_view import BackendPool
from ambershift.system.proxy.headers import Headers, read_request_head
from ambershift.system.proxy.http_exchange import (
    AttemptError,
    BackendConnection,
    BackendResponse,
    UnsendableError,
)
from ambershift.system.proxy.request_forwarder import RequestForwarder
from ambershift.system.proxy.routing import Route
from ambershift.system.proxy.state import ProxyState
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

CONNECTION_CLOSE = (b"connection", b"close")
# Subtracted from the time that a backend is given, for the network and the proxy's own work.
RESPONSE_MARGIN_NS = 4 * NS_PER_MS
# How long a request waits at a proxy that has just started: it can probably be served after that.
STARTUP_WAIT_S = 0.12
# Values of `Retry-After`, in seconds: another proxy may find a backend soon, or probably can't yet.
RETRY_SOON_S = b"0.1"
RETRY_LATER_S = b"0.4"
DISCARD_MAX_BYTES = 256 << 10  # Bytes of a body that are read although the request is refused.
# Only in requests that take longer does the proxy watch for the client's disconnect.
DISCONNECT_WATCH_DELAY_S = 0.25
STATUSES_WITHOUT_BODY = (204, 304)
SERVICE_UNAVAILABLE = 503


class ClientDisconnectedError(Exception):
    """The client has disconnected."""


async def send_empty_response(
    proxy: ProxyState, send: Send, status: int, retry_after_s: bytes | None = None, close: bool = False
) -> None:
    """Send a response of the proxy's own, without a body.

    Args:
        proxy: The proxy; while it drains, the client is asked to close the connection.
        send: The ASGI callable.
        status: The HTTP status.
        retry_after_s: The value of `Retry-After`, if any.
        close: Whether to close the connection in any case.
    """
    headers = [(b"content-length", b"0")]
    if retry_after_s is not None:
        headers.append((b"retry-after", retry_after_s))
    if close or proxy.draining:
        headers.append(CONNECTION_CLOSE)
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


class RequestHandler:
    """Serves one request. It has no rules of its own: route, pick, retry budget and attempts decide."""

    def __init__(self, proxy: ProxyState, scope: Any, receive: Receive, send: Send) -> None:
        """Read the head of a request; `run` serves it. The arguments are the proxy, and those of ASGI."""
        self._proxy = proxy
        self._scope = scope
        self._receive = receive
        self._send = send
        self._head = read_request_head(scope["headers"])
        self._body = b""
        self._body_bytes_reserved = 0
        self._forwarder: RequestForwarder | None = None
        self._disconnect_watch: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the request; a response is sent unless the client disconnects."""
        proxy, head = self._proxy, self._head
        arrived_at = proxy.monotonic_ns()
        if not head.attempt_id:
            await self._refuse(400)
            return
        if not proxy.routing.complete and not await proxy.configuration_loaded.wait(STARTUP_WAIT_S):
            await self._refuse(SERVICE_UNAVAILABLE, RETRY_LATER_S)
            return
        route = proxy.routing.find(head.host, self._scope["raw_path"])
        if route is None:
            await self._refuse(404)
            return
        pool = self._choose_pool(route, arrived_at)
        for name in (pool.name, *proxy.routing.counter_names(route)):
            proxy.request_counts[name] = proxy.request_counts.get(name, 0) + 1
        proxy.budget(pool.service).record_request(arrived_at)
        if not proxy.admission.admits(route.priority) or proxy.should_reject(arrived_at):
            await self._refuse(SERVICE_UNAVAILABLE, RETRY_LATER_S)
            return
        if head.remaining_ns is None:
            timeout_ns = route.timeout_ns
        else:
            timeout_ns = min(route.timeout_ns, head.remaining_ns)
        try:
            if self._has_body() and not await self._receive_body(timeout_ns):
                return
            watch = asyncio.get_running_loop().call_later(DISCONNECT_WATCH_DELAY_S, self._start_watch)
            try:
                await self._forward(route, pool, arrived_at + timeout_ns)
            finally:
                watch.cancel()
        except ClientDisconnectedError:
            return
        except UnsendableError:
            await self._respond(400)
        finally:
            proxy.admission.body_bytes_held -= self._body_bytes_reserved

    def _choose_pool(self, route: Route, now: int) -> BackendPool:
        """Return the pool of the route's service.

        Of several services one is drawn by weight, among those that have a backend if any has.
        """
        pools = [
            self._proxy.backend_view.pool(pool_name(service, route.home_regions))
            for service, _ in route.services
        ]
        if len(pools) == 1:
            return pools[0]
        weights = [max(weight, 0.0) for _, weight in route.services]
        usable = [
            weight if pool.has_eligible(now) else 0.0 for pool, weight in zip(pools, weights, strict=True)
        ]
        equal = [1.0] * len(pools)
        chosen_weights = next((choice for choice in (usable, weights) if sum(choice) > 0), equal)
        return self._proxy.random.choices(pools, chosen_weights)[0]

    # Responses of the proxy's own.

    async def _respond(self, status: int, retry_after_s: bytes | None = None) -> None:
        await send_empty_response(self._proxy, self._send, status, retry_after_s)

    async def _refuse(self, status: int, retry_after_s: bytes | None = None) -> None:
        """Respond before the body was read.

        A small body is read first: to close a connection with unread bytes would reset it, and the response
        would be lost. After a larger one the connection is closed.
        """
        has_more = self._has_body()
        if has_more and (self._head.content_length or 0) <= DISCARD_MAX_BYTES:
            # A client that sends its body slowly isn't waited for.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._proxy.routing.limits.head_timeout_ns / NS_PER_SECOND):
                    has_more = await self._discard_body()
        await send_empty_response(self._proxy, self._send, status, retry_after_s, close=has_more)

    async def _discard_body(self) -> bool:
        """Read a small body; return whether there is more of it."""
        size, has_more = 0, True
        while has_more and size <= DISCARD_MAX_BYTES:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return True
            size += len(message.get("body", b""))
            has_more = message.get("more_body", False)
        return has_more

    # The body of the request.

    def _has_body(self) -> bool:
        return self._head.is_chunked or bool(self._head.content_length)

    async def _receive_body(self, timeout_ns: int) -> bool:
        """Read the body; return False where the request was refused for it."""
        try:
            async with asyncio.timeout(timeout_ns / NS_PER_SECOND):
                status = await self._read_body()
        except TimeoutError:
            await send_empty_response(self._proxy, self._send, 408, close=True)
            return False
        if status:
            await self._refuse(status, RETRY_LATER_S if status == SERVICE_UNAVAILABLE else None)
        return not status

    async def _read_body(self) -> int:
        """Read the complete body; return the status to refuse it with, or 0.

        Raises:
            ClientDisconnectedError: The client has disconnected.
        """
        max_size = self._proxy.routing.limits.max_body_bytes
        content_length = self._head.content_length or 0
        if content_length > max_size:
            return 413
        if not self._reserve_body(content_length):
            return SERVICE_UNAVAILABLE
        parts, size, has_more = list[bytes](), 0, True
        while has_more:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            part = message.get("body", b"")
            size += len(part)
            if size > max_size:
                return 413
            if size > self._body_bytes_reserved and not self._reserve_body(size - self._body_bytes_reserved):
                return SERVICE_UNAVAILABLE
            parts.append(part)
            has_more = message.get("more_body", False)
        self._body = b"".join(parts)
        return 0

    def _reserve_body(self, size: int) -> bool:
        """Reserve so many bytes more until the request ends; return whether that is possible."""
        if not self._proxy.admission.reserve_body(size):
            return False
        self._body_bytes_reserved += size
        return True

    # Forwarding.

    async def _forward(self, route: Route, pool: BackendPool, deadline: int) -> None:
        """Make the attempts; pass on a backend's response, or send the proxy's own.

        Raises:
            ClientDisconnectedError: The client has disconnected.
            UnsendableError: The client's request is invalid.
        """
        forwarder = self._forwarder = RequestForwarder(
            self._proxy, route, pool, deadline, self._head.attempt_id, self._build_request
        )
        result = await forwarder.run()
        if forwarder.client_disconnected:
            if result is not None:
                result.attempt.close()
            raise ClientDisconnectedError
        if result is not None and result.response is not None:
            await self._pass_on(result, result.response)
            return
        status = forwarder.retry_state.final_status(self._proxy.monotonic_ns())
        retry_after_s = RETRY_LATER_S if forwarder.no_backend_left else RETRY_SOON_S
        await self._respond(status, retry_after_s if status == SERVICE_UNAVAILABLE else None)

    def _build_request(
        self, connection: BackendConnection, instance: BackendInstance, time_left_ns: int
    ) -> httpcore.Request:
        head, scope, query = self._head, self._scope, self._scope["query_string"]
        remaining_ms = max(1, (time_left_ns - RESPONSE_MARGIN_NS) // NS_PER_MS)
        headers = [
            *head.forwarded,
            (b"X-Target-Instance", instance.header_value),
            (b"X-Deadline-Remaining", b"%d" % remaining_ms),
        ]
        if head.is_chunked or head.content_length is not None:
            headers.append((b"Content-Length", b"%d" % len(self._body)))
        origin = connection.origin
        url = httpcore.URL(
            scheme=origin.scheme,
            host=origin.host,
            port=origin.port,
            target=scope["raw_path"] + b"?" + query if query else scope["raw_path"],
        )
        return httpcore.Request(scope["method"], url, headers=headers, content=self._body or None)

    async def _pass_on(self, result: AttemptResult, response: BackendResponse) -> None:
        """Pass on a backend's response, complete or as a stream."""
        if response.remaining_body is None:
            await self._pass_on_complete(result.headers, response)
            return
        if self._proxy.draining:
            result.headers.append(CONNECTION_CLOSE)
        await self._send(
            {"type": "http.response.start", "status": response.status, "headers": result.headers}
        )
        try:
            await self._send({"type": "http.response.body", "body": response.body, "more_body": True})
            async for part in result.attempt.read_remaining(response):
                await self._send({"type": "http.response.body", "body": part, "more_body": True})
        except AttemptError:
            # uvicorn closes the connection, as the response is incomplete: that tells the client.
            return
        finally:
            result.attempt.close()
        await self._send({"type": "http.response.body", "body": b""})

    async def _pass_on_complete(self, headers: Headers, response: BackendResponse) -> None:
        if response.status in STATUSES_WITHOUT_BODY:
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        elif self._scope["method"] != "HEAD" and not any(name == b"content-length" for name, _ in headers):
            headers.append((b"content-length", b"%d" % len(response.body)))
        if self._proxy.draining:
            headers.append(CONNECTION_CLOSE)
        await self._send({"type": "http.response.start", "status": response.status, "headers": headers})
        await self._send({"type": "http.response.body", "body": response.body})

    # The client's disconnect.

    def _start_watch(self) -> None:
        """From now on, watch for the client's disconnect."""
        self._disconnect_watch = asyncio.ensure_future(self._watch_disconnect())

    async def _watch_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        if self._forwarder is not None:
            self._forwarder.handle_disconnect()

"""One request at the proxy, from its head to its answer: connects the decisions with the sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore

from ambershift.system.messages.proxy_link import pool_name
from ambershift.system.proxy.backend_attempt import Came
from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.backend_view import Pool
from ambershift.system.proxy.headers import Headers, read_request
from ambershift.system.proxy.http_exchange import Reply, TryError, UnsendableError, Wire
from ambershift.system.proxy.request_forwarder import Course
from ambershift.system.proxy.routing import Route
from ambershift.system.proxy.state import ProxyState
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

CLOSE = (b"connection", b"close")
# Subtracted from the time that a backend is given, for the network and our own work, ns.
WAY = 4 * NS_PER_MS
# How long a request waits for a proxy that has just started, s: a moment later it may well be served.
WAIT = 0.12
# Seconds after which a client had better come back: elsewhere it may find a backend soon; or not at once.
SOON, LATER = b"0.1", b"0.4"
DISCARD_MOST = 256 << 10  # Bytes of a body that are read although the request is refused.
WATCH_AFTER = 0.25  # A client's leaving is looked for only in requests that last, s.


class LeftError(Exception):
    """The client has left."""


async def answer(
    proxy: ProxyState, send: Send, status: int, again: bytes | None = None, close: bool = False
) -> None:
    """An answer of our own, without a body. `again`: seconds after which to come back."""
    headers = [(b"content-length", b"0")]
    if again is not None:
        headers.append((b"retry-after", again))
    if close or proxy.draining:
        headers.append(CLOSE)
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


class Handling:
    """Serves one request. It has no rules of its own: route, pick, budget and attempts decide."""

    def __init__(self, proxy: ProxyState, scope: Any, receive: Receive, send: Send) -> None:
        self.proxy, self.scope, self.receive, self.send = proxy, scope, receive, send
        self.asked = read_request(scope["headers"])
        self.body = b""
        self.held = 0
        self.course: Course | None = None
        self.watching: asyncio.Task[None] | None = None

    async def run(self) -> None:
        proxy, asked = self.proxy, self.asked
        arrived = proxy.steady()
        if not asked.attempt:
            await self.refuse(400)
            return
        if not proxy.routing.complete and not await proxy.merged.within(WAIT):
            await self.refuse(503, LATER)
            return
        route = proxy.routing.find(asked.host, self.scope["raw_path"])
        if route is None:
            await self.refuse(404)
            return
        pool = self.choose(route, arrived)
        for name in (pool.name, *proxy.routing.counter_names(route)):
            proxy.request_counts[name] = proxy.request_counts.get(name, 0) + 1
        proxy.budget(pool.service).came(arrived)
        if not proxy.admission.takes(route.priority) or proxy.cut(arrived):
            await self.refuse(503, LATER)
            return
        left = route.timeout if asked.left is None else min(route.timeout, asked.left)
        try:
            if asked.chunked or asked.length:
                try:
                    async with asyncio.timeout(left / NS_PER_SECOND):
                        status = await self.read_body()
                except TimeoutError:
                    await answer(proxy, self.send, 408, close=True)
                    return
                if status:
                    await self.refuse(status, LATER if status == 503 else None)
                    return
            watch = asyncio.get_running_loop().call_later(WATCH_AFTER, self.watch)
            try:
                await self.serve(route, pool, arrived + left)
            finally:
                watch.cancel()
        except LeftError:
            return
        except UnsendableError:
            await self.say(400)
        finally:
            proxy.admission.held -= self.held

    async def say(self, status: int, again: bytes | None = None) -> None:
        await answer(self.proxy, self.send, status, again)

    async def refuse(self, status: int, again: bytes | None = None) -> None:
        """An answer before the body was taken. A small one is read first: closing on it would reset the
        connection, and the answer be lost with it. A larger one ends the connection.
        """
        more = self.asked.chunked or bool(self.asked.length)
        if more and (self.asked.length or 0) <= DISCARD_MOST:
            with contextlib.suppress(TimeoutError):  # Who drips a body is not waited for.
                async with asyncio.timeout(self.proxy.routing.limits.head_for / NS_PER_SECOND):
                    more = await self.discard()
        await answer(self.proxy, self.send, status, again, close=more)

    async def discard(self) -> bool:
        """Reads a body that is small. Returns whether there is more of it."""
        size, more = 0, True
        while more and size <= DISCARD_MOST:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return True
            size += len(message.get("body", b""))
            more = message.get("more_body", False)
        return more

    def choose(self, route: Route, now: int) -> Pool:
        """The pool of the route's service; of several drawn by weight, one that has a backend if any has."""
        pools = [self.proxy.backend_view.pool(pool_name(name, route.homes)) for name, _ in route.shares]
        if len(pools) == 1:
            return pools[0]
        weights = [max(weight, 0.0) for _, weight in route.shares]
        alive = [weight if pool.alive(now) else 0.0 for pool, weight in zip(pools, weights, strict=True)]
        best = next((one for one in (alive, weights) if sum(one) > 0), [1.0] * len(pools))
        return self.proxy.chance.choices(pools, best)[0]

    async def read_body(self) -> int:
        """Read the complete body. Return the status to refuse it with, or 0."""
        most = self.proxy.routing.limits.body
        parts, size, more = list[bytes](), 0, True
        if (self.asked.length or 0) > most:
            return 413
        if not self.hold(self.asked.length or 0):
            return 503
        while more:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise LeftError
            part = message.get("body", b"")
            size += len(part)
            if size > most:
                return 413
            if size > self.held and not self.hold(size - self.held):
                return 503
            parts.append(part)
            more = message.get("more_body", False)
        self.body = b"".join(parts)
        return 0

    def hold(self, more: int) -> bool:
        """Whether so many bytes more may be held; they count until the request is over."""
        if not self.proxy.admission.holds(more):
            return False
        self.held += more
        return True

    async def serve(self, route: Route, pool: Pool, deadline: int) -> None:
        """Make the attempts; then pass on what a backend has answered, or answer by ourselves."""
        course = self.course = Course(self.proxy, route, pool, deadline, self.asked.attempt, self.request)
        came = await course.run()
        if course.left:
            if came is not None:
                came.by.close()
            raise LeftError
        if came is not None and came.reply is not None:
            await self.pass_on(came, came.reply)
            return
        status = course.tries.last_word(self.proxy.steady())
        await self.say(status, (LATER if course.nobody else SOON) if status == 503 else None)

    def request(self, wire: Wire, life: Life, left: int) -> httpcore.Request:
        asked, scope, query = self.asked, self.scope, self.scope["query_string"]
        headers = [
            *asked.passed,
            (b"X-Target-Instance", life.mark),
            (b"X-Deadline-Remaining", b"%d" % max(1, (left - WAY) // NS_PER_MS)),
        ]
        if asked.chunked or asked.length is not None:
            headers.append((b"Content-Length", b"%d" % len(self.body)))
        goal = wire.goal
        url = httpcore.URL(
            scheme=goal.scheme,
            host=goal.host,
            port=goal.port,
            target=scope["raw_path"] + b"?" + query if query else scope["raw_path"],
        )
        return httpcore.Request(scope["method"], url, headers=headers, content=self.body or None)

    async def pass_on(self, came: Came, reply: Reply) -> None:
        """Pass on a backend's answer, complete or as a stream. One that breaks off ends the connection."""
        if reply.rest is None:
            await self.pass_whole(came.headers, reply)
            return
        if self.proxy.draining:
            came.headers.append(CLOSE)
        await self.send({"type": "http.response.start", "status": reply.status, "headers": came.headers})
        try:
            await self.send({"type": "http.response.body", "body": reply.body, "more_body": True})
            async for part in came.by.rest(reply):
                await self.send({"type": "http.response.body", "body": part, "more_body": True})
        except TryError:
            return  # Ended before it is complete, the proxy closes the connection: the client sees it.
        finally:
            came.by.close()
        await self.send({"type": "http.response.body", "body": b""})

    async def pass_whole(self, headers: Headers, reply: Reply) -> None:
        if reply.status in (204, 304):
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        elif self.scope["method"] != "HEAD" and not any(name == b"content-length" for name, _ in headers):
            headers.append((b"content-length", b"%d" % len(reply.body)))
        if self.proxy.draining:
            headers.append(CLOSE)
        await self.send({"type": "http.response.start", "status": reply.status, "headers": headers})
        await self.send({"type": "http.response.body", "body": reply.body})

    def watch(self) -> None:
        """From now on, look whether the client leaves."""
        self.watching = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        while (await self.receive())["type"] != "http.disconnect":
            pass
        if self.course is not None:
            self.course.leave()

"""Incoming links: checks each hello, then passes frames to the member, so many a turn of the loop."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import WSCloseCode, WSMsgType, web

from ambershift.coordinator.group.links.handshake import HandshakeValidator, refusal
from ambershift.coordinator.group.links.interfaces import LinkListener, LinkStatistics, log_failure
from ambershift.coordinator.group.links.wire import (
    MAX_HELLO_BYTES,
    MAX_MESSAGE_BYTES,
    CloseReason,
    FrameKind,
    Hello,
    Role,
    UnreadableError,
    Welcome,
    decode_frame,
    decode_hello,
    encode,
)
from ambershift.version import VERSION

HELLO_TIMEOUT_S = 2.0
HEARTBEAT_INTERVAL_S = 8.0
CLOSE_TIMEOUT_S = 0.3
MAX_SPARE_LINKS = 32  # Links that may be open beyond one for each member.
MAX_COUNTER_SOURCES = 16  # How many of them may be sources of counters.
# After so many frames or bytes from one sender the rest of the coordinator gets a turn of the loop.
FRAMES_PER_TURN = 16
BYTES_PER_TURN = 256 << 10
CLOSE_CODES = {
    CloseReason.TOO_LARGE: WSCloseCode.MESSAGE_TOO_BIG,
    CloseReason.UNREADABLE: WSCloseCode.INVALID_TEXT,
}
COUNTER_SOURCE_PREFIX = "counters "  # Before the name of a source, so that it can't be a member's.
Note = Callable[..., None]


class IncomingLinks:
    """Accepts links of members and of counter sources; at most one for each name."""

    def __init__(self, listener: LinkListener, statistics: LinkStatistics, note: Note) -> None:
        """Prepare; `listen` begins to accept.

        Args:
            listener: Takes what arrives.
            statistics: Counts closed links by reason.
            note: Writes a log event.
        """
        self.handshake = HandshakeValidator()
        self._listener = listener
        self._statistics = statistics
        self._note = note
        self._links = dict[str, web.WebSocketResponse]()
        self._open_sockets = set[web.WebSocketResponse]()
        self._runner: web.AppRunner | None = None

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept links.

        Raises:
            OSError: The address can't be listened at.
        """
        app = web.Application(client_max_size=MAX_HELLO_BYTES)
        app.router.add_get("/", self._serve)
        # aiohttp logs connections that break within the HTTP handshake as errors: they are none of this
        # program's, and must not reach standard error.
        silent = logging.getLogger("ambershift.coordinator.group.links")
        silent.addHandler(logging.NullHandler())
        silent.propagate = False
        self._runner = web.AppRunner(app, access_log=None, logger=silent, shutdown_timeout=CLOSE_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, backlog=64).start()

    async def close(self) -> None:
        """Close all links, and stop listening."""
        for socket in list(self._open_sockets):
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await socket.close(code=WSCloseCode.GOING_AWAY, message=CloseReason.ENDED.encode())
        if self._runner:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        max_links = MAX_SPARE_LINKS + len(self._listener.local_identity().members)
        if len(self._open_sockets) >= max_links:
            self._statistics.counts[CloseReason.TOO_MANY] += 1
            return web.Response(status=503, text=CloseReason.TOO_MANY)
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES,
            compress=False,
            heartbeat=HEARTBEAT_INTERVAL_S,
            timeout=CLOSE_TIMEOUT_S,
        )
        await socket.prepare(request)
        self._open_sockets.add(socket)
        try:
            await self._run_link(socket, str(request.remote or ""))
        finally:
            self._open_sockets.discard(socket)
        return socket

    async def _run_link(self, socket: web.WebSocketResponse, remote: str) -> None:
        """Check the hello, reply, and read frames until the link ends."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                first = await socket.receive()
            hello = decode_hello(first.data if first.type is WSMsgType.BINARY else None)
        except TimeoutError:
            return await self._close_link(socket, remote, CloseReason.SILENT, "no hello")
        except UnreadableError as error:
            reason = _close_reason(first) or CloseReason.UNREADABLE
            return await self._close_link(socket, remote, reason, str(error))
        counter_sources = [name for name in self._links if name.startswith(COUNTER_SOURCE_PREFIX)]
        refused = self.handshake.check(self._listener.local_identity(), hello, _is_loopback(remote))
        if refused is None and hello.role == Role.COUNTERS and len(counter_sources) >= MAX_COUNTER_SOURCES:
            refused = refusal(
                CloseReason.TOO_MANY, f"{MAX_COUNTER_SOURCES} sources of counters are here already"
            )
        if refused is not None:
            with contextlib.suppress(ConnectionError):
                await socket.send_bytes(encode(refused))
            return await self._close_link(socket, hello.name[:80], CloseReason(refused.reason), refused.why)
        local = self._listener.local_identity()
        name = hello.name if hello.role == Role.MEMBER else f"{COUNTER_SOURCE_PREFIX}{hello.name[:80]}"
        replaced, self._links[name] = self._links.get(name), socket
        if replaced is not None:
            # A link may be half open for long; a sender that connects again has given up the old one.
            self._statistics.counts[CloseReason.REPLACED] += 1
            asyncio.get_running_loop().create_task(close_socket(replaced, CloseReason.REPLACED))
        try:
            with contextlib.suppress(ConnectionError):
                await socket.send_bytes(encode(Welcome(VERSION, local.name, local.incarnation)))
                await self._read_frames(socket, name, hello)
        finally:
            if self._links.get(name) is socket:
                del self._links[name]

    async def _read_frames(self, socket: web.WebSocketResponse, name: str, hello: Hello) -> None:
        turn_frames, turn_bytes = 0, 0
        while True:
            message = await socket.receive()
            if message.type is not WSMsgType.BINARY:
                if (reason := _close_reason(message)) is not None:
                    await self._close_link(socket, name, reason, str(message.data)[:200])
                return
            try:
                kind, payload = decode_frame(message.data)
                if (kind is FrameKind.COUNTERS) != (hello.role == Role.COUNTERS):
                    raise UnreadableError(f"a frame of kind {kind.name} from a link of {hello.role}")
                if kind is FrameKind.COUNTERS:
                    self._listener.on_counters(hello.name, payload)
                else:
                    self._listener.on_frame(hello.name, kind, payload)
            except UnreadableError as error:
                await self._close_link(socket, name, CloseReason.UNREADABLE, str(error))
                return
            except Exception as error:  # A fault of this program: the peer connects again.
                log_failure(self._note, "link", error)
                await self._close_link(socket, name, CloseReason.UNREADABLE, "an internal error")
                return
            turn_frames, turn_bytes = turn_frames + 1, turn_bytes + len(message.data)
            if turn_frames >= FRAMES_PER_TURN or turn_bytes >= BYTES_PER_TURN:
                turn_frames, turn_bytes = 0, 0
                await asyncio.sleep(0)

    async def _close_link(
        self, socket: web.WebSocketResponse, sender: str, reason: CloseReason, why: str
    ) -> None:
        self._statistics.counts[reason] += 1
        self._note("link_closed", member=sender, reason=reason.value, why=why)
        await close_socket(socket, reason)


async def close_socket(socket: Any, reason: CloseReason) -> None:
    """Close a WebSocket of either side with a code and the reason; wait `CLOSE_TIMEOUT_S` at most."""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            code = CLOSE_CODES.get(reason, WSCloseCode.POLICY_VIOLATION)
            await socket.close(code=code, message=reason.encode())


def _close_reason(message: Any) -> CloseReason | None:
    """Return why a message that isn't binary ends the link; None for an ordinary end."""
    if message.type is WSMsgType.ERROR:
        code = getattr(message.data, "code", None)
        return CloseReason.TOO_LARGE if code == WSCloseCode.MESSAGE_TOO_BIG else CloseReason.UNREADABLE
    return CloseReason.UNREADABLE if message.type is WSMsgType.TEXT else None


def _is_loopback(remote: str) -> bool:
    try:
        return ipaddress.ip_address(remote).is_loopback
    except ValueError:
        return False

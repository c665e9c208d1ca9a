"""The accepted side: judges the hello, then hands frames up, a bounded number a turn."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import WSCloseCode, WSMsgType, web

from ambershift.coordinator.group.links.handshake import HandshakeValidator, refused
from ambershift.coordinator.group.links.interfaces import LinkListener, LinkStatistics, failure
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

HELLO_WITHIN, HEARTBEAT, END_WITHIN = 2.0, 8.0, 0.3
# Links that may be open at once beyond one a member, and counter sources among them.
SPARE_MOST, COUNTERS_MOST = 32, 16
# A sender of many frames gives way to the coordinator after so many bytes of one turn, or so many frames.
FRAMES_A_TURN, BYTES_A_TURN = 16, 256 << 10
CODES = {CloseReason.TOO_LARGE: WSCloseCode.MESSAGE_TOO_BIG, CloseReason.UNREADABLE: WSCloseCode.INVALID_TEXT}
Note = Callable[..., None]


class IncomingLinks:
    def __init__(self, above: LinkListener, tally: LinkStatistics, note: Note) -> None:
        self.above, self.tally, self.note, self.gate = above, tally, note, HandshakeValidator()
        self.links = dict[str, web.WebSocketResponse]()
        self.open = set[web.WebSocketResponse]()
        self.runner: web.AppRunner | None = None

    async def listen(self, host: str, port: int) -> None:
        app = web.Application(client_max_size=MAX_HELLO_BYTES)
        app.router.add_get("/", self.serve)
        # A link that breaks inside the handshake is no error of ours, and standard error is no place for it.
        silent = logging.getLogger("ambershift.coordinator.group.links")
        silent.addHandler(logging.NullHandler())
        silent.propagate = False
        self.runner = web.AppRunner(app, access_log=None, logger=silent, shutdown_timeout=END_WITHIN)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port, backlog=64).start()

    async def close(self) -> None:
        for socket in list(self.open):
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(END_WITHIN):
                    await socket.close(code=WSCloseCode.GOING_AWAY, message=CloseReason.ENDED.encode())
        if self.runner:
            await self.runner.cleanup()

    async def serve(self, request: web.Request) -> web.StreamResponse:
        if len(self.open) >= SPARE_MOST + len(self.above.mine().members):
            self.tally.counts[CloseReason.TOO_MANY] += 1
            return web.Response(status=503, text=CloseReason.TOO_MANY)
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES, compress=False, heartbeat=HEARTBEAT, timeout=END_WITHIN
        )
        await socket.prepare(request)
        self.open.add(socket)
        try:
            await self.speak(socket, str(request.remote or ""))
        finally:
            self.open.discard(socket)
        return socket

    async def speak(self, socket: web.WebSocketResponse, remote: str) -> None:
        try:
            async with asyncio.timeout(HELLO_WITHIN):
                first = await socket.receive()
            hello = decode_hello(first.data if first.type is WSMsgType.BINARY else None)
        except TimeoutError:
            return await self.end(socket, remote, CloseReason.SILENT, "no hello")
        except UnreadableError as error:
            return await self.end(socket, remote, closing(first) or CloseReason.UNREADABLE, str(error))
        counters = [name for name in self.links if name.startswith("counters ")]
        answer = self.gate.judge(self.above.mine(), hello, is_loopback(remote))
        if answer is None and hello.role == Role.COUNTERS and len(counters) >= COUNTERS_MOST:
            answer = refused(CloseReason.TOO_MANY, f"{COUNTERS_MOST} sources of counters are here already")
        if answer is not None:
            with contextlib.suppress(ConnectionError):
                await socket.send_bytes(encode(answer))
            return await self.end(socket, hello.name[:80], CloseReason(answer.reason), answer.why)
        mine = self.above.mine()
        name = hello.name if hello.role == Role.MEMBER else f"counters {hello.name[:80]}"
        older, self.links[name] = self.links.get(name), socket
        if older is not None:
            # A link may be half open for long; whoever dials anew has given it up.
            self.tally.counts[CloseReason.REPLACED] += 1
            asyncio.get_running_loop().create_task(hang_up(older, CloseReason.REPLACED))
        try:
            with contextlib.suppress(ConnectionError):
                await socket.send_bytes(encode(Welcome(VERSION, mine.name, mine.incarnation)))
                await self.read(socket, name, hello)
        finally:
            if self.links.get(name) is socket:
                del self.links[name]

    async def read(self, socket: web.WebSocketResponse, name: str, hello: Hello) -> None:
        frames, size = 0, 0
        while True:
            message = await socket.receive()
            if message.type is not WSMsgType.BINARY:
                if (reason := closing(message)) is not None:
                    await self.end(socket, name, reason, str(message.data)[:200])
                return
            try:
                kind, payload = decode_frame(message.data)
                if (kind is FrameKind.COUNTERS) != (hello.role == Role.COUNTERS):
                    raise UnreadableError(f"a frame of kind {kind.name} from a link of {hello.role}")
                if kind is FrameKind.COUNTERS:
                    self.above.counters(hello.name, payload)
                else:
                    self.above.heard(hello.name, kind, payload)
            except UnreadableError as error:
                await self.end(socket, name, CloseReason.UNREADABLE, str(error))
                return
            except Exception as error:  # Of ours: told in full, and the link is dialled anew.
                failure(self.note, "link", error)
                await self.end(socket, name, CloseReason.UNREADABLE, "a failure of this program")
                return
            frames, size = frames + 1, size + len(message.data)
            if frames >= FRAMES_A_TURN or size >= BYTES_A_TURN:
                frames, size = 0, 0
                await asyncio.sleep(0)

    async def end(self, socket: web.WebSocketResponse, who: str, reason: CloseReason, why: str) -> None:
        self.tally.counts[reason] += 1
        self.note("link_closed", member=who, reason=reason.value, why=why)
        await hang_up(socket, reason)


async def hang_up(socket: Any, reason: CloseReason) -> None:
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(END_WITHIN):
            await socket.close(code=CODES.get(reason, WSCloseCode.POLICY_VIOLATION), message=reason.encode())


def closing(message: Any) -> CloseReason | None:
    """By which name a message that is none ends the link; None for an ordinary end."""
    if message.type is WSMsgType.ERROR:
        code = getattr(message.data, "code", None)
        return CloseReason.TOO_LARGE if code == WSCloseCode.MESSAGE_TOO_BIG else CloseReason.UNREADABLE
    return CloseReason.UNREADABLE if message.type is WSMsgType.TEXT else None


def is_loopback(remote: str) -> bool:
    try:
        return ipaddress.ip_address(remote).is_loopback
    except ValueError:
        return False

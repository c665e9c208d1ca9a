"""HTTP/1.1 of the stand-ins that answer, by h11: one request after the other on each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11

from ambershift.system.testbed.speech import PIECE, reset, texts


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as a server got it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """`cut` ends the connection after so many bytes of the body by a reset; `extra` follows unasked."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    cut: int | None = None
    extra: bytes = b""


Handler = Callable[[Asked, asyncio.Event], Awaitable[Reply | None]]


class Spoken:
    """Serves one address. The handler gets a request and an event that is set once its connection ends;
    None as its reply ends the connection by a reset. `closes` says whether to close after this answer.
    """

    def __init__(self, handler: Handler, idle_s: float, closes: Callable[[], bool]) -> None:
        self.handler, self.idle_s, self.closes = handler, idle_s, closes
        self.open = set[asyncio.StreamWriter]()
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), backlog=256)

    def break_off(self) -> None:
        """Listen no more, and reset what is open."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = h11.Connection(h11.SERVER)
        self.open.add(writer)
        try:
            while await self.one(state, reader, writer):
                state.start_next_cycle()
        except (OSError, EOFError, TimeoutError, h11.ProtocolError, asyncio.CancelledError):
            pass  # It ends here, whatever ended it; at the end of all the loop cancels what is left.
        finally:
            self.open.discard(writer)
            writer.close()

    async def one(
        self, state: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """One request and its answer; whether another may follow."""
        asked = await self.read(state, reader)
        if asked is None:
            return False
        gone = asyncio.Event()
        work = asyncio.ensure_future(self.handler(asked, gone))
        watch = asyncio.ensure_future(reader.read(PIECE))
        await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
        if watch.done() and not work.done():
            if watch.exception() or not watch.result():
                gone.set()
                await asyncio.wait((work,))
                raise EOFError
            state.receive_data(watch.result())
        elif not watch.done():
            watch.cancel()
            await asyncio.wait((watch,))
        reply = await work
        if writer.transport.is_closing():
            return False
        if reply is None:
            reset(writer)
            return False
        closes = self.closes()
        fields = {**reply.headers, "Content-Length": str(len(reply.body))}
        if closes:
            fields["Connection"] = "close"
        head = state.send(h11.Response(status_code=reply.status, headers=list(fields.items()))) or b""
        if reply.cut is not None:
            writer.write(head + reply.body[: reply.cut])
            await writer.drain()
            reset(writer)
            return False
        body = (state.send(h11.Data(data=reply.body)) or b"") if reply.body else b""
        writer.write(head + body + (state.send(h11.EndOfMessage()) or b"") + reply.extra)
        await writer.drain()
        return not closes and state.our_state is h11.DONE and state.their_state is h11.DONE

    async def read(self, state: h11.Connection, reader: asyncio.StreamReader) -> Asked | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(self.idle_s):
                    state.receive_data(await reader.read(PIECE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return Asked(head.method.decode(), head.target.decode(), texts(head.headers), bytes(body))
            else:
                return None

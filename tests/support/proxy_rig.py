"""A proxy in this process, served by uvicorn on 127.0.0.1, backends that do as scripted, and a client."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import msgspec
import uvicorn

from ambershift.system.messages.items import ROUTE, SERVICE, Item
from ambershift.system.messages.proxy_link import Backend, BackendUpdate, ControlNodeHeartbeat, ItemUpdate
from ambershift.system.proxy.client_connection import ClientConnection
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds

ZONES = {"north": "up", "hill": "up", "south": "down"}
# A script gets the request's head in lower case, its body, and the writer; what it returns is sent.
Script = Callable[[bytes, bytes, asyncio.StreamWriter], Awaitable[bytes | None]]


def settings(**changed: Any) -> ProcessSettings:
    plain: dict[str, Any] = dict(
        file="",
        name="proxy-1",
        machine_class="front",
        ip="127.0.0.1",
        zone="north",
        region="up",
        counted=False,
        initial=True,
        data_directory=None,
        internal_ports=(7000, 7001),
        seeds=(),
        listen_addresses={"Front": "127.0.0.1:1", "Readiness": "127.0.0.1:2"},
        zones=ZONES,
        heartbeat_interval_s=1.5,
        tolerated_losses=(1, 1, 1),
        bounds=TimerBounds(retry_slack=64, cold_overrun=1.5, cold_slack=5),
    )
    return ProcessSettings(**{**plain, **changed})


def route(name: str, prefix: str, kind: str = "idempotent", version: int = 1, **more: Any) -> Item:
    body = {
        "Name": name,
        "Host": "books.example",
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 1500,
        "TargetMs": 600,
        "Priority": 1,
        "Service": "loans",
        "MaxAttempts": 2,
        **more,
    }
    return Item(ROUTE, name, (version, ""), msgspec.json.encode(body))


SERVICES = tuple(
    Item(
        SERVICE,
        name,
        (1, ""),
        msgspec.json.encode({"Name": name, "ConnectionCap": 100, "ColdStartS": 3.0, "ColdRateS": 11.0}),
    )
    for name in ("loans", "maps")
)
PLAIN = ItemUpdate((route("r1", "/read/"), route("w1", "/write/", "non_idempotent"), *SERVICES), True)


def backend(
    id: str,
    address: str = "127.0.0.1:9",
    zone: str = "north",
    service: str = "loans",
    slots: int = 4,
    draining: bool = False,
    cold: int = 0,
) -> Backend:
    return Backend(id, service, address, zone, slots, draining, cold)


def answer(head: bytes, status: int = 200, body: bytes = b"read", more: bytes = b"") -> bytes:
    attempt = head.partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
    return (
        b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s%s\r\n"
        % (status, attempt, len(body), b"X-Server-Seal: 1.2\r\n" if status == 200 else b"", more)
    ) + body


class Shelf:
    """A backend whose answers a script makes. Counts connections and keeps the heads it got."""

    def __init__(self, script: Script) -> None:
        self.script, self.heads, self.connections = script, list[bytes](), 0
        self.ended = asyncio.Event()  # A connection has ended.

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, _, rest = head.partition(b"\r\n")
                head = first + b"\r\n" + rest.lower()
                length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
                body = await reader.readexactly(int(length or 0))
                self.heads.append(head)
                reply = await self.script(head, body, writer)
                if reply is None:
                    writer.transport.abort()
                    return
                if not reply:  # Silence, until the other side ends it.
                    await reader.read()
                    return
                writer.write(reply)
                if b"connection: close" in reply.lower():
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.ended.set()


class Rig:
    """`async with Rig(scripts) as rig`: a proxy that knows one backend a script, all in the proxy's zone."""

    def __init__(self, *scripts: Script, items: ItemUpdate = PLAIN) -> None:
        self.proxy = ProxyServer(settings(), time.monotonic_ns, Random(1))
        self.shelves = [Shelf(script) for script in scripts]
        self.items = items
        self.late = 0  # So far is the clock of clients' connections ahead, ns.
        self.armed: dict[Any, int] = {}  # And was when these timers were first seen.

    async def __aenter__(self) -> Rig:
        self.proxy.handle_message(ControlNodeHeartbeat((), True, 1, 0))
        self.proxy.handle_message(self.items)
        put = tuple(
            [backend(f"i-{number}", await shelf.start()) for number, shelf in enumerate(self.shelves)]
        )
        self.proxy.handle_message(BackendUpdate(put, (), True))
        speaks = partial(
            ClientConnection, lambda: self.proxy.routing.limits, lambda: time.monotonic_ns() + self.late
        )
        config = uvicorn.Config(
            self.proxy,
            "127.0.0.1",
            0,
            http=speaks,  # type: ignore[arg-type]
            ws="none",
            lifespan="off",
            log_level="error",
            server_header=False,
            date_header=False,
            timeout_keep_alive=60,
        )
        self.server = uvicorn.Server(config)
        self.serving = asyncio.ensure_future(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0)
        self.port = self.server.servers[0].sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: Any) -> None:
        self.server.should_exit = True
        await self.serving
        for shelf in self.shelves:
            shelf.server.close()

    async def ask(
        self,
        path: str = "/read/a",
        method: str = "GET",
        body: bytes = b"",
        left: int = 1500,
        attempt: str = "a1",
        more: str = "",
    ) -> tuple[int, bytes, bytes]:
        """Status, head and body of the answer; status 0 where the connection ended before it was whole."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: Books.example:80\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Remaining: {left}\r\n{length}{more}\r\n".encode()
            + body
        )
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0].decode()
            return int(head[9:12]), head, await reader.readexactly(int(length or 0))
        except asyncio.IncompleteReadError:
            return 0, b"", b""
        finally:
            writer.close()


def run(playing: Callable[[], Awaitable[None]]) -> None:
    import uvloop

    async def main() -> None:
        await asyncio.wait_for(playing(), 20)

    uvloop.run(main())

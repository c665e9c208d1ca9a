"""A proxy in this process, served by uvicorn on 127.0.0.1, with scripted backends and a client."""

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
# A script gets a request's head in lower case, its body and the writer. What it returns is sent: None closes
# the connection at once, and no bytes mean that nothing is sent until the proxy closes it.
Script = Callable[[bytes, bytes, asyncio.StreamWriter], Awaitable[bytes | None]]
SCENARIO_TIMEOUT_S = 20


def proxy_settings(**changed: Any) -> ProcessSettings:
    defaults: dict[str, Any] = dict(
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
    return ProcessSettings(**{**defaults, **changed})


def route(name: str, prefix: str, kind: str = "idempotent", version: int = 1, **changed: Any) -> Item:
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
        **changed,
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
DEFAULT_ITEMS = ItemUpdate((route("r1", "/read/"), route("w1", "/write/", "non_idempotent"), *SERVICES), True)


def backend_record(
    id: str,
    address: str = "127.0.0.1:9",
    zone: str = "north",
    service: str = "loans",
    slots: int = 4,
    draining: bool = False,
    warm_up_ms: int = 0,
) -> Backend:
    """A backend, as a control node lists it."""
    return Backend(id, service, address, zone, slots, draining, warm_up_ms)


def response(head: bytes, status: int = 200, body: bytes = b"read", extra_headers: bytes = b"") -> bytes:
    """A backend's response to the request with this head; one of status 200 bears the server's seal."""
    attempt_id = head.partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
    seal = b"X-Server-Seal: 1.2\r\n" if status == 200 else b""
    return (
        b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s%s\r\n"
        % (status, attempt_id, len(body), seal, extra_headers)
    ) + body


class ScriptedBackend:
    """A backend whose responses a script makes.

    Attributes:
        request_heads: The heads of the requests it got, in lower case.
        connections: How many connections it accepted.
        connection_ended: Set once a connection has ended.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.request_heads = list[bytes]()
        self.connections = 0
        self.connection_ended = asyncio.Event()

    async def start(self) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_line, _, headers = head.partition(b"\r\n")
                head = request_line + b"\r\n" + headers.lower()
                length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
                body = await reader.readexactly(int(length or 0))
                self.request_heads.append(head)
                reply = await self.script(head, body, writer)
                if reply is None:
                    writer.transport.abort()
                    return
                if not reply:
                    await reader.read()
                    return
                writer.write(reply)
                if b"connection: close" in reply.lower():
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.connection_ended.set()


class ProxyRig:
    """`async with ProxyRig(*scripts) as rig`: a proxy with one backend for each script, all in its own zone.

    Attributes:
        proxy: The proxy.
        backends: The backends; their instance ids are `i-0` and so on.
        clock_ahead_ns: How far the clock of clients' connections is ahead of the monotonic clock.
        timers_set_at: How far it was ahead when each timer of a client's connection was first seen.
    """

    def __init__(self, *scripts: Script, items: ItemUpdate = DEFAULT_ITEMS) -> None:
        self.proxy = ProxyServer(proxy_settings(), time.monotonic_ns, Random(1))
        self.backends = [ScriptedBackend(script) for script in scripts]
        self.items = items
        self.clock_ahead_ns = 0
        self.timers_set_at: dict[Any, int] = {}

    async def __aenter__(self) -> ProxyRig:
        self.proxy.handle_message(ControlNodeHeartbeat((), True, 1, 0))
        self.proxy.handle_message(self.items)
        records = tuple(
            [
                backend_record(f"i-{number}", await backend.start())
                for number, backend in enumerate(self.backends)
            ]
        )
        self.proxy.handle_message(BackendUpdate(records, (), True))
        protocol = partial(
            ClientConnection,
            lambda: self.proxy.routing.limits,
            lambda: time.monotonic_ns() + self.clock_ahead_ns,
        )
        config = uvicorn.Config(
            self.proxy,
            "127.0.0.1",
            0,
            http=protocol,  # type: ignore[arg-type]
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
        for backend in self.backends:
            backend.server.close()

    async def request(
        self,
        path: str = "/read/a",
        method: str = "GET",
        body: bytes = b"",
        remaining_ms: int = 1500,
        attempt_id: str = "a1",
        extra: str = "",
    ) -> tuple[int, bytes, bytes]:
        """Send a request on a new connection.

        Args:
            path: The path.
            method: The method.
            body: The body.
            remaining_ms: The value of `X-Deadline-Remaining`.
            attempt_id: The value of `X-Attempt-Id`.
            extra: Sent after the headers, each with its line end; it may end the head and bring a body.

        Returns:
            Status, head and body of the response; status 0 where the connection ended before it was complete.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: Books.example:80\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Deadline-Remaining: {remaining_ms}\r\n{length}{extra}\r\n".encode()
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


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on an event loop of its own."""
    import uvloop

    async def main() -> None:
        await asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S)

    uvloop.run(main())

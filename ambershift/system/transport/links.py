"""All links of one machine: those it dials and those it is dialled by.

Messages of one link come in order; what is under way when a link breaks is lost without a word, so whoever
needs an answer asks again. A control node dials each other one and sends on the link it dialled; a proxy
dials one control node, and both speak on that link.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Callable, Iterable

import msgspec
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidURI
from websockets.http11 import Request, Response

from ambershift.system.messages import codec
from ambershift.system.transport.link_path import CONTROL_NODE, Caller, PathError, caller_of, path_of
from ambershift.system.transport.send_queue import Outbox
from ambershift.system.transport.socket_options import harden
from ambershift.system.transport.traffic_meter import Meter

YOUNG = 0.15  # Seconds; a dial that has not lasted for so long may well be about to succeed.
DIAL_LIMIT, PAUSE_LEAST, PAUSE_MOST = 1.0, 0.1, 0.8  # Seconds.
FARE = {"compression": None, "ping_interval": None, "close_timeout": 0.2, "max_size": codec.MAX_MESSAGE_BYTES}

Heard = Callable[[Caller, msgspec.Struct], None]
Turned = Callable[[Caller], None]
Logged = Callable[[int, dict[str, object]], None]


class Links:
    """`heard` gets each message with its sender, `up` and `down` each change of a link accepted;
    `reached` the ip of each link dialled."""

    def __init__(
        self,
        me: Caller,
        port: int,
        heard: Heard,
        up: Turned,
        down: Turned,
        log: Logged,
        meter: Meter | None = None,
        reached: Callable[[str], None] = lambda ip: None,
    ) -> None:
        self.me, self.port, self.heard, self.up, self.down, self.log = me, port, heard, up, down, log
        self.meter, self.reached = meter, reached
        self.dialled = dict[str, Outbox]()
        self.accepted = dict[tuple[str, str], Outbox]()
        self.dialling = dict[str, asyncio.Task[None]]()
        self.began = dict[str, float]()  # When the dial that is under way was begun.
        self.tasks = set[asyncio.Task[None]]()

    async def open(self, ip: str) -> None:
        """Listen for others on the internal port."""
        self.server = await serve(
            self._accept,
            ip,
            self.port,
            process_request=self._admit,
            server_header=None,
            **FARE,  # type: ignore[arg-type]
        )

    def want(self, ips: Iterable[str]) -> None:
        """Keep links dialled to exactly these machines."""
        wanted = set(ips) - {self.me.name}
        for ip in self.dialling.keys() - wanted:
            self.dialling.pop(ip).cancel()
        for ip in wanted - self.dialling.keys():
            self.dialling[ip] = asyncio.ensure_future(self._keep(ip))

    def there(self, ip: str) -> None:
        """It has just dialled us: a dial that hangs since before, or waits its turn, begins anew."""
        began = self.began.get(ip)
        if (
            ip in self.dialling
            and ip not in self.dialled
            and (began is None or asyncio.get_running_loop().time() > began + YOUNG)
        ):
            self.dialling.pop(ip).cancel()
            self.dialling[ip] = asyncio.ensure_future(self._keep(ip))

    def send(self, ip: str, message: msgspec.Struct) -> None:
        """To a control node, on the link dialled to it; lost where there is none."""
        if outbox := self.dialled.get(ip):
            outbox.put(message)

    def reply(self, caller_kind: str, name: str, message: msgspec.Struct) -> None:
        """On a link that we were dialled on; lost where there is none."""
        if outbox := self.accepted.get((caller_kind, name)):
            outbox.put(message)

    def outbox(self, connection: Connection, peer: str, masked: bool) -> Outbox:
        """What waits for a connection; counted, where there is a meter."""
        if self.meter is None:
            return Outbox(connection)
        return Outbox(connection, functools.partial(self.meter.count, peer, masked))

    async def dial(self, ip: str) -> Connection:
        """One link, handed to the caller. Raises OSError where nobody answers in time."""
        try:
            connection = await connect(
                f"ws://{ip}:{self.port}{path_of(self.me)}",
                open_timeout=DIAL_LIMIT,
                proxy=None,
                user_agent_header=None,
                **FARE,  # type: ignore[arg-type]
            )
        except (InvalidHandshake, InvalidURI, EOFError, ConnectionClosed) as why:
            raise ConnectionError(str(why)) from why
        harden(connection.transport.get_extra_info("socket"))
        return connection

    async def _keep(self, ip: str) -> None:
        pause = PAUSE_LEAST
        while True:
            with contextlib.suppress(OSError):
                self.began[ip] = asyncio.get_running_loop().time()
                connection = await self.dial(ip)
                pause = PAUSE_LEAST
                outbox = self.dialled[ip] = self.outbox(connection, ip, True)
                self.log(101, {"peer": ip})
                self.reached(ip)
                writer = asyncio.ensure_future(outbox.run())
                try:
                    await connection.wait_closed()
                finally:
                    outbox.break_off()
                    writer.cancel()
                    del self.dialled[ip]
                    self.log(102, {"peer": ip})
            self.began.pop(ip, None)
            await asyncio.sleep(pause)
            pause = min(2 * pause, PAUSE_MOST)

    def _admit(self, connection: ServerConnection, request: Request) -> Response | None:
        try:
            caller_of(request.path)
        except PathError as why:
            self.log(103, {"path": why.path[:80]})
            return connection.respond(404, "not a link of this version\n")
        return None

    async def _accept(self, connection: ServerConnection) -> None:
        assert connection.request is not None  # It has been admitted.
        caller = caller_of(connection.request.path)
        harden(connection.transport.get_extra_info("socket"))
        outbox, key = self.outbox(connection, caller.name, False), (caller.kind, caller.name)
        if before := self.accepted.get(key):
            before.break_off()  # Who dials anew has given the old link up.
        self.accepted[key] = outbox
        writer = asyncio.ensure_future(outbox.run())
        self.up(caller)
        try:
            await receive(connection, lambda message: self.heard(caller, message), self.log)
        finally:
            outbox.break_off()
            writer.cancel()
            if self.accepted.get(key) is outbox:
                del self.accepted[key]
                self.down(caller)

    async def close(self) -> None:
        for task in self.dialling.values():
            task.cancel()
        for outbox in [*self.dialled.values(), *self.accepted.values()]:
            outbox.break_off()
        if server := getattr(self, "server", None):
            server.close(close_connections=False)


async def receive(connection: Connection, heard: Callable[[msgspec.Struct], None], log: Logged) -> None:
    """Hand on what comes until the connection ends, or brings what can't be read."""
    try:
        async for data in connection:
            heard(codec.decode(data if isinstance(data, bytes) else data.encode()))
    except ConnectionClosed:
        return
    except codec.UnreadableError as why:
        log(104, {"reason": why.reason[:120]})
        connection.transport.abort()


__all__ = ["CONTROL_NODE", "Links", "receive"]

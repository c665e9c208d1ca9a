"""All links of one machine: those that it dials and those that it accepts.

Messages of one link arrive in order. What is in flight when a link breaks is lost without notice, so a sender
that needs an answer has a time-out and sends again. A control node dials every other one and sends only on
the links that it dialled; a proxy dials one control node, and both send on that link.
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
from ambershift.system.transport.link_path import (
    CONTROL_NODE,
    PathError,
    PeerIdentity,
    format_path,
    parse_path,
)
from ambershift.system.transport.send_queue import SendQueue
from ambershift.system.transport.socket_options import enable_dead_peer_detection
from ambershift.system.transport.traffic_meter import TrafficMeter

MIN_DIAL_AGE_S = 0.15  # A younger dial is left alone, as it may be about to succeed.
DIAL_TIMEOUT_S = 1.0
MIN_REDIAL_BACKOFF_S = 0.1
MAX_REDIAL_BACKOFF_S = 0.8
WEBSOCKET_OPTIONS = {
    "compression": None,  # `codec` deflates.
    "ping_interval": None,  # Dead peers are detected by TCP (`socket_options`).
    "close_timeout": 0.2,
    "max_size": codec.MAX_MESSAGE_BYTES,
}

MessageHandler = Callable[[PeerIdentity, msgspec.Struct], None]
LinkHandler = Callable[[PeerIdentity], None]
EventLog = Callable[[int, dict[str, object]], None]


class Links:
    """Dials a set of peers, accepts links of others, and sends messages on both.

    Attributes:
        local: The identity that this machine dials with.
        port: The internal port, the same on all machines.
        dialled_queues: Send queues of the dialled links that are up, by ip.
        accepted_queues: Send queues of the accepted links that are up, by kind and name of the peer.
        dial_tasks: The task that keeps the link to each wanted peer, by ip.
        dial_started_at: When the dial in progress to an ip began, in seconds of the event loop's clock. An ip
            in its backoff has no entry.
    """

    def __init__(
        self,
        local: PeerIdentity,
        port: int,
        on_message: MessageHandler,
        on_link_accepted: LinkHandler,
        on_link_closed: LinkHandler,
        log: EventLog,
        traffic_meter: TrafficMeter | None = None,
        on_dialled: Callable[[str], None] = lambda ip: None,
    ) -> None:
        """Create it without links.

        Args:
            local: The identity that this machine dials with.
            port: The internal port, the same on all machines.
            on_message: Called with each message of an accepted link and its sender.
            on_link_accepted: Called when a link is accepted, also if it replaces one of the same peer.
            on_link_closed: Called when an accepted link ends that no newer one has replaced.
            log: Called with the number and the fields of an event.
            traffic_meter: Counts the messages written, if there is one.
            on_dialled: Called with the ip of each link that was dialled.
        """
        self.local = local
        self.port = port
        self._on_message = on_message
        self._on_link_accepted = on_link_accepted
        self._on_link_closed = on_link_closed
        self._log = log
        self._traffic_meter = traffic_meter
        self._on_dialled = on_dialled
        self.dialled_queues = dict[str, SendQueue]()
        self.accepted_queues = dict[tuple[str, str], SendQueue]()
        self.dial_tasks = dict[str, asyncio.Task[None]]()
        self.dial_started_at = dict[str, float]()
        self.tasks = set[asyncio.Task[None]]()

    async def listen(self, ip: str) -> None:
        """Accept links at this ip on the internal port.

        Raises:
            OSError: The address is in use or is none of this machine.
        """
        self.server = await serve(
            self._serve_link,
            ip,
            self.port,
            process_request=self._check_path,
            server_header=None,
            **WEBSOCKET_OPTIONS,  # type: ignore[arg-type]
        )

    def set_peers(self, ips: Iterable[str]) -> None:
        """Keep links dialled to exactly these ips, without this machine's own."""
        wanted = set(ips) - {self.local.name}
        for ip in self.dial_tasks.keys() - wanted:
            self.dial_tasks.pop(ip).cancel()
        for ip in wanted - self.dial_tasks.keys():
            self.dial_tasks[ip] = asyncio.ensure_future(self._maintain_link(ip))

    def redial_if_stuck(self, ip: str) -> None:
        """Dial at once a peer that has just dialled this machine, if its link is still down.

        The peer is reachable again: to wait for a dial that hangs, or for the backoff, would only lose time.
        """
        started_at = self.dial_started_at.get(ip)
        if (
            ip in self.dial_tasks
            and ip not in self.dialled_queues
            and (started_at is None or asyncio.get_running_loop().time() > started_at + MIN_DIAL_AGE_S)
        ):
            self.dial_tasks.pop(ip).cancel()
            self.dial_tasks[ip] = asyncio.ensure_future(self._maintain_link(ip))

    def send(self, ip: str, message: msgspec.Struct) -> None:
        """Send to a control node on the link dialled to it; dropped if that link is down."""
        if queue := self.dialled_queues.get(ip):
            queue.put(message)

    def reply(self, caller_kind: str, name: str, message: msgspec.Struct) -> None:
        """Send on an accepted link; dropped if that link is down."""
        if queue := self.accepted_queues.get((caller_kind, name)):
            queue.put(message)

    def send_queue(self, connection: Connection, peer: str, masked: bool) -> SendQueue:
        """A send queue for a connection, counted by the traffic meter if there is one.

        Args:
            connection: The connection to write to.
            peer: The ip or name that the traffic meter looks up.
            masked: Whether frames are masked, as those of the dialling end are (RFC 6455, section 5.3).
        """
        if self._traffic_meter is None:
            return SendQueue(connection)
        return SendQueue(connection, functools.partial(self._traffic_meter.record, peer, masked))

    async def dial(self, ip: str) -> Connection:
        """Dial one link and hand it to the caller, who has to close it.

        Raises:
            OSError: The peer refuses, or doesn't complete the handshake within `DIAL_TIMEOUT_S`.
        """
        try:
            connection = await connect(
                f"ws://{ip}:{self.port}{format_path(self.local)}",
                open_timeout=DIAL_TIMEOUT_S,
                proxy=None,
                user_agent_header=None,
                **WEBSOCKET_OPTIONS,  # type: ignore[arg-type]
            )
        except (InvalidHandshake, InvalidURI, EOFError, ConnectionClosed) as error:
            raise ConnectionError(str(error)) from error
        enable_dead_peer_detection(connection.transport.get_extra_info("socket"))
        return connection

    async def _maintain_link(self, ip: str) -> None:
        """Keep a link to this peer: dial it with exponential backoff, and write its queue while it is up."""
        backoff_s = MIN_REDIAL_BACKOFF_S
        while True:
            with contextlib.suppress(OSError):
                self.dial_started_at[ip] = asyncio.get_running_loop().time()
                connection = await self.dial(ip)
                backoff_s = MIN_REDIAL_BACKOFF_S
                queue = self.dialled_queues[ip] = self.send_queue(connection, ip, True)
                self._log(101, {"peer": ip})
                self._on_dialled(ip)
                writer = asyncio.ensure_future(queue.run())
                try:
                    await connection.wait_closed()
                finally:
                    queue.abort()
                    writer.cancel()
                    del self.dialled_queues[ip]
                    self._log(102, {"peer": ip})
            self.dial_started_at.pop(ip, None)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_REDIAL_BACKOFF_S)

    def _check_path(self, connection: ServerConnection, request: Request) -> Response | None:
        """Refuse a link of another message version before it is upgraded."""
        try:
            parse_path(request.path)
        except PathError as error:
            self._log(103, {"path": error.path[:80]})
            return connection.respond(404, "not a link of this version\n")
        return None

    async def _serve_link(self, connection: ServerConnection) -> None:
        """Receive from an accepted link until it ends."""
        assert connection.request is not None  # `_check_path` has accepted it.
        caller = parse_path(connection.request.path)
        enable_dead_peer_detection(connection.transport.get_extra_info("socket"))
        queue = self.send_queue(connection, caller.name, False)
        key = (caller.kind, caller.name)
        if previous := self.accepted_queues.get(key):
            previous.abort()  # A peer that dials again has given up its previous link.
        self.accepted_queues[key] = queue
        writer = asyncio.ensure_future(queue.run())
        self._on_link_accepted(caller)
        try:
            await receive_messages(connection, lambda message: self._on_message(caller, message), self._log)
        finally:
            queue.abort()
            writer.cancel()
            if self.accepted_queues.get(key) is queue:
                del self.accepted_queues[key]
                self._on_link_closed(caller)

    async def close(self) -> None:
        """Abort all links and stop listening."""
        for task in self.dial_tasks.values():
            task.cancel()
        for queue in [*self.dialled_queues.values(), *self.accepted_queues.values()]:
            queue.abort()
        if server := getattr(self, "server", None):
            server.close(close_connections=False)


async def receive_messages(
    connection: Connection, on_message: Callable[[msgspec.Struct], None], log: EventLog
) -> None:
    """Pass on each message until the connection ends. One that can't be read aborts it."""
    try:
        async for data in connection:
            on_message(codec.decode(data if isinstance(data, bytes) else data.encode()))
    except ConnectionClosed:
        return
    except codec.UnreadableError as error:
        log(104, {"reason": error.reason[:120]})
        connection.transport.abort()


__all__ = ["CONTROL_NODE", "Links", "receive_messages"]

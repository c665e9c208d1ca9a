"""A proxy's conversation with the control node that it is attached to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from websockets.asyncio.connection import Connection

from ambershift.system.messages.proxy_link import (
    BindTable,
    ControlNodeHeartbeat,
    Hello,
    ItemUpdate,
    LoadReport,
)
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.processes.attachment_log import AbandonReason, AttachmentLog
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.transport.links import receive_messages
from ambershift.system.transport.send_queue import SendQueue


class SendQueueFactory(Protocol):
    """What a link needs of `transport.links.Links`, or of simulated links."""

    def send_queue(self, connection: Connection, peer: str, masked: bool) -> SendQueue:
        """The send queue of a connection."""


class ControlLink:
    """The link in use: hands its messages to the proxy, and sends Hello and load reports.

    One link at a time is in use. Messages that still arrive on an earlier one are dropped.
    """

    def __init__(
        self,
        selector: ControlNodeSelector,
        server: ProxyServer,
        links: SendQueueFactory,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
        events: AttachmentLog,
    ) -> None:
        """Start without a link.

        Args:
            selector: Is told of heartbeats, failures and the node in use.
            server: The proxy that the messages are for.
            links: Makes the send queue of a connection.
            steady: The steady clock, in ns.
            log: Writes an event; for the receiver of the transport.
            events: Writes the events of the attachment.
        """
        self.outbox: SendQueue | None = None  # Of the link in use.
        self.last_hello: Hello | None = None  # The last one sent on it.
        self._selector = selector
        self._server = server
        self._links = links
        self._steady = steady
        self._log = log
        self._events = events

    async def run(self, ip: str, connection: Connection) -> None:
        """Use a connection until it ends or the task is cancelled."""
        outbox = self._links.send_queue(connection, ip, True)
        self.outbox = outbox
        self.last_hello = None
        self._selector.record_link_up(self._steady(), ip)
        writer = asyncio.ensure_future(outbox.run())
        self._events.attached(ip)
        self._server.link_opened()
        self.send_hello()
        try:
            await receive_messages(connection, lambda message: self.receive(outbox, message), self._log)
        finally:
            writer.cancel()
            self._detach(outbox)

    def receive(self, outbox: SendQueue, message: msgspec.Struct) -> None:
        """Handle a message of the link that `outbox` belongs to."""
        if outbox is not self.outbox:
            return  # The link was given up while messages of it were still waiting.
        now = self._steady()
        if isinstance(message, ControlNodeHeartbeat):
            self._selector.record_heartbeat(now, message)
        else:
            self._selector.record_message(now)
        for reply in self._server.handle_message(message):
            outbox.put(reply)
        if isinstance(message, BindTable):
            self._events.table_bound(message, self._server.backend_view.instances)
        if isinstance(message, ItemUpdate):
            self._apply_items(outbox, message)

    def _apply_items(self, outbox: SendQueue, update: ItemUpdate) -> None:
        if self._server.routing.control_node_outdated:
            self._events.abandoned(AbandonReason.OUTDATED)
            self._detach(outbox)
            return
        self._events.configuration_applied(update)
        self.send_hello()

    def _detach(self, outbox: SendQueue) -> None:
        """Stop using a link; the selector tries other nodes before this one."""
        outbox.abort()
        if self.outbox is outbox:
            self.outbox = None
            self._server.link_closed()
            if self._selector.linked_ip is not None:
                self._selector.record_failure(self._steady(), self._selector.linked_ip)

    def send_hello(self) -> None:
        """Send the proxy's Hello if it has changed since the last one on this link."""
        hello = self._server.hello()
        if self.outbox and hello != self.last_hello:
            if hello.ready and not (self.last_hello and self.last_hello.ready):
                self._events.ready()
            self.outbox.put(hello)
            self.last_hello = hello

    def send_report(self, report: LoadReport) -> None:
        """Send a load report, if there is a link, and count it for the log."""
        if self.outbox:
            self.outbox.put(report)
        self._events.load_reported(report, self._server.backend_view.instances)

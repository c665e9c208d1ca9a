"""Finds the control node to attach to: without a link, or in the background of one that isn't the best."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import Protocol

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.node_selection.selector import (
    CURRENT_REPLY_WAIT_S,
    FIRST_HEARTBEAT_TIMEOUT_S,
    SEARCH_CONCURRENCY,
    ControlNodeSelector,
)
from ambershift.system.processes.attachment_log import AbandonReason, AttachmentLog
from ambershift.system.processes.candidate_probe import CandidateProbe, ProbeReply, cancel_probe


class Dialer(Protocol):
    """What a search needs of `transport.links.Links`, or of simulated links."""

    async def dial(self, ip: str) -> Connection:
        """Open a connection to a control node.

        Raises:
            OSError: Nobody answered in time.
        """


class CandidateSearch:
    """Probes control nodes by the selector's order and rules.

    Two background probes may run next to a link in use: for a node with a newer configuration, and of a
    nearer node. Neither waits for the other: a nearer node that hangs must not keep a stale proxy from its
    search.
    """

    def __init__(
        self, selector: ControlNodeSelector, dialer: Dialer, steady: Callable[[], int], events: AttachmentLog
    ) -> None:
        """Prepare a search; nothing is dialled yet.

        Args:
            selector: Decides which nodes are asked, and which reply is good enough.
            dialer: Opens connections.
            steady: The steady clock, in ns.
            events: Writes the outcome of searches.
        """
        self._selector = selector
        self._dialer = dialer
        self._steady = steady
        self._events = events
        self._fresher_search: asyncio.Task[ProbeReply | None] | None = None
        self._nearer_probe: asyncio.Task[ProbeReply | None] | None = None

    async def find_current(self, ips: Sequence[str]) -> ProbeReply | None:
        """Without a link: the first of the nodes that is current; if none is, the first that answered."""
        with contextlib.closing(CandidateProbe(self.probe, ips, 1)) as candidates:
            while (reply := await candidates.next_reply()) is not None:
                if candidates.selected is None:
                    candidates.selected = reply
                    candidates.limit_wait(CURRENT_REPLY_WAIT_S)
                if self._selector.is_sender_current(reply.heartbeat):
                    candidates.selected = reply
                    break
        if candidates.selected is None:
            self._events.no_node_answered(len(ips))
        return candidates.selected

    async def find_fresher(self, ips: Sequence[str]) -> ProbeReply | None:
        """With a link whose configuration may be stale: the first of the nodes that proves a newer one."""
        with contextlib.closing(CandidateProbe(self.probe, ips, SEARCH_CONCURRENCY)) as candidates:
            while (reply := await candidates.next_reply()) is not None and self._is_stale():
                if self._selector.has_newer_proof(self._steady(), reply.heartbeat):
                    candidates.selected = reply
                    break
        if candidates.selected is not None:
            self._events.abandoned(AbandonReason.STALE)
        elif self._is_stale():
            self._events.no_newer_configuration(len(ips))
        return candidates.selected

    async def probe_nearer(self, ip: str) -> ProbeReply | None:
        """Probe a nearer node; None if it doesn't answer or isn't current."""
        reply = await self.probe(ip)
        if reply is not None and not self._selector.is_sender_current(reply.heartbeat):
            reply.connection.transport.abort()
            self._selector.record_failure(self._steady(), ip)
            return None
        return reply

    async def probe(self, ip: str) -> ProbeReply | None:
        """Dial a node and wait for its first heartbeat; None if it fails or sends anything else."""
        try:
            connection = await self._dialer.dial(ip)
        except OSError:
            self._selector.record_failure(self._steady(), ip)
            return None
        try:
            async with asyncio.timeout(FIRST_HEARTBEAT_TIMEOUT_S):
                data = await connection.recv()
            message = codec.decode(data if isinstance(data, bytes) else data.encode())
        except (TimeoutError, ConnectionClosed, codec.UnreadableError):
            message = None
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        if isinstance(message, ControlNodeHeartbeat):
            return ProbeReply(ip, connection, message)
        connection.transport.abort()
        self._selector.record_failure(self._steady(), ip)
        return None

    def start_background(self, now: int) -> None:
        """Start the background probes that the selector asks for at `now` (ns)."""
        if self._fresher_search is None and self._selector.begin_search_if_due(now):
            self._fresher_search = asyncio.ensure_future(self.find_fresher(self._selector.search_order(now)))
        if self._nearer_probe is None and (nearer := self._selector.nearer_candidate(now)) is not None:
            self._nearer_probe = asyncio.ensure_future(self.probe_nearer(nearer))

    def take_background_reply(self) -> ProbeReply | None:
        """The node to switch to, if a background probe has found one."""
        reply = None
        if self._fresher_search is not None and self._fresher_search.done():
            reply, self._fresher_search = self._fresher_search.result(), None
        elif self._nearer_probe is not None and self._nearer_probe.done():
            reply, self._nearer_probe = self._nearer_probe.result(), None
        return reply

    def cancel_background(self) -> None:
        """Cancel the background probes; the connection of one that still answers is aborted."""
        for task in (self._fresher_search, self._nearer_probe):
            if task is not None:
                cancel_probe(task)
        self._fresher_search = None
        self._nearer_probe = None

    async def wait_background(self, timeout_s: float) -> None:
        """Wait for the time-out, or until a background probe has ended."""
        tasks = {task for task in (self._fresher_search, self._nearer_probe) if task is not None}
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(timeout_s)

    def _is_stale(self) -> bool:
        return self._selector.is_stale(self._steady())

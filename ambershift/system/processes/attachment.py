"""A proxy's link to the control node that looks after it: dialled, kept while it is good, dialled anew."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ambershift.system.messages import codec
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE
from ambershift.system.messages.proxy_link import (
    BindTable,
    ControlNodeHeartbeat,
    Hello,
    ItemUpdate,
    LoadReport,
)
from ambershift.system.node_selection.selector import RESERVE_S, SIGN_S, WIDTH, Choice, current_for
from ambershift.system.processes.candidate_probe import CandidateProbe, ProbeReply, abort_unused
from ambershift.system.processes.locality import LocalityCounter
from ambershift.system.processes.metrics import Metric
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS
from ambershift.system.transport.link_path import PROXY, Caller
from ambershift.system.transport.links import receive
from ambershift.system.transport.send_queue import Outbox

LINK_CHECK_INTERVAL_S = 0.1


class LinkDialer(Protocol):
    """What an attachment needs of `transport.links.Links`, or of simulated ones."""

    async def dial(self, ip: str) -> Connection:
        """Raises OSError where nobody answers in time."""

    def outbox(self, connection: Connection, peer: str, masked: bool) -> Outbox:
        """What waits to be sent on a connection."""


def proxy_identity(settings: Local) -> Caller:
    """As what this process dials."""
    return Caller(PROXY, settings.name, secrets.token_hex(4))


class Attachment:
    """Holds one link to a control node; what comes on it goes to the proxy. `steady` gives ns."""

    def __init__(
        self,
        settings: Local,
        server: ProxyServer,
        links: LinkDialer,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.server, self.links, self.steady, self.log = server, links, steady, log
        self.selector = Choice(
            settings.name,
            settings.zone,
            settings.region,
            settings.seed_ips,
            current_for(settings.name, settings.bounds),
        )
        self.locality = LocalityCounter(settings.zone, settings.region)
        self.outbox: Outbox | None = None  # Of the link in use.
        self.last_hello: Hello | None = None
        self.configuration_version = 0  # The highest of the operator's that has come.
        self.abandoned_links = Counter[str]()  # Links given up, by why.
        self._link: asyncio.Task[None] | None = None
        self._fresher_search: asyncio.Task[ProbeReply | None] | None = None
        self._nearer_probe: asyncio.Task[ProbeReply | None] | None = None

    async def run(self) -> None:
        """Hold a link to the control node chosen; while it stands others may be asked beside it."""
        try:
            while True:
                await self._maintain_link()
                await self._wait()
        finally:
            self._cancel_background_probes()

    async def _maintain_link(self) -> None:
        now = self.steady()
        if self._link is not None and self.selector.silent(now):
            self._log_abandoned("silent")
            self._close_link()
        found = self._take_background_reply()
        if found is None and (self._link is None or self._link.done()):
            self._cancel_background_probes()
            found = await self._find_current(self.selector.candidates(now))
        if found is not None:
            self._cancel_background_probes()
            self._close_link()
            self._link = asyncio.ensure_future(self.run_link(found.ip, found.connection))
        else:
            self._start_background_probes(now)

    async def _wait(self) -> None:
        """Until the next look, which comes at once with an answer of those asked beside the link."""
        asking = {task for task in (self._fresher_search, self._nearer_probe) if task is not None}
        if asking:
            await asyncio.wait(asking, timeout=LINK_CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)

    def _start_background_probes(self, now: int) -> None:
        """Neither waits for the other: a nearer node that hangs must not keep a stale proxy from a search."""
        if self._fresher_search is None and self.selector.search(now):
            self._fresher_search = asyncio.ensure_future(self._find_fresher(self.selector.search_order(now)))
        if self._nearer_probe is None and (nearer := self.selector.nearer(now)) is not None:
            self._nearer_probe = asyncio.ensure_future(self._probe_nearer(nearer))

    def _take_background_reply(self) -> ProbeReply | None:
        """A node asked beside the link that is to be gone to."""
        found = None
        if self._fresher_search is not None and self._fresher_search.done():
            found, self._fresher_search = self._fresher_search.result(), None
        elif self._nearer_probe is not None and self._nearer_probe.done():
            found, self._nearer_probe = self._nearer_probe.result(), None
        return found

    def _cancel_background_probes(self) -> None:
        """Who answers from now on is let go."""
        for task in (self._fresher_search, self._nearer_probe):
            if task is not None:
                task.cancel()
                task.add_done_callback(abort_unused)
        self._fresher_search = self._nearer_probe = None

    def _log_abandoned(self, reason: str) -> None:
        self.abandoned_links[reason] += 1
        self.log(
            112,
            {
                "peer": self.selector.linked,
                "why": reason,
                "age_ms": self._configuration_age_ms(self.steady()),
            },
        )

    def _close_link(self) -> None:
        """Give the link up, where there is one."""
        if self._link is None:
            return
        self._link.cancel()
        self._link = None
        if self.selector.linked is not None:
            self.selector.fail(self.steady(), self.selector.linked)

    async def _find_current(self, candidates: list[str]) -> ProbeReply | None:
        """Without a link: the first that answers and is current; where none is, any that answers."""
        asked, chosen = CandidateProbe(self.probe, candidates, 1), None
        try:
            while (one := await asked.next_reply()) is not None:
                if chosen is None:
                    chosen = one
                    asked.limit_wait(RESERVE_S)
                if self.selector.current(one.heartbeat):
                    chosen = one
                    break
        finally:
            asked.close(chosen)
        if chosen is None:
            self.log(113, {"tried": len(candidates)})
        return chosen

    async def _find_fresher(self, candidates: list[str]) -> ProbeReply | None:
        """Beside a link on which nothing proves how old our configuration is: the first that knows newer."""
        asked, chosen = CandidateProbe(self.probe, candidates, WIDTH), None
        try:
            while (one := await asked.next_reply()) is not None and self.selector.stale(self.steady()):
                if self.selector.newer(self.steady(), one.heartbeat):
                    chosen = one
                    break
        finally:
            asked.close(chosen)
        if chosen is not None:
            self._log_abandoned("stale")
        elif self.selector.stale(self.steady()):
            self.log(118, {"asked": len(candidates), "age_ms": self._configuration_age_ms(self.steady())})
        return chosen

    async def _probe_nearer(self, ip: str) -> ProbeReply | None:
        one = await self.probe(ip)
        if one is not None and not self.selector.current(one.heartbeat):
            one.connection.transport.abort()
            self.selector.fail(self.steady(), ip)
            return None
        return one

    def _configuration_age_ms(self, now: int) -> int | None:
        """How old what is served here may be; None where nobody has told."""
        return None if self.selector.proved is None else (now - self.selector.proved) // NS_PER_MS

    async def probe(self, ip: str) -> ProbeReply | None:
        """Dial one, and hear its first sign. None where it doesn't answer, or answers something else."""
        try:
            connection = await self.links.dial(ip)
        except OSError:
            self.selector.fail(self.steady(), ip)
            return None
        try:
            async with asyncio.timeout(SIGN_S):
                data = await connection.recv()
            sign = codec.decode(data if isinstance(data, bytes) else data.encode())
        except (TimeoutError, ConnectionClosed, codec.UnreadableError):
            sign = None
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        if isinstance(sign, ControlNodeHeartbeat):
            return ProbeReply(ip, connection, sign)
        connection.transport.abort()
        self.selector.fail(self.steady(), ip)
        return None

    async def run_link(self, ip: str, connection: Connection) -> None:
        outbox = self.links.outbox(connection, ip, True)
        self.outbox, self.last_hello = outbox, None
        self.selector.up(self.steady(), ip)
        writer = asyncio.ensure_future(outbox.run())
        self.log(111, {"peer": ip})
        self.server.linked()
        self.send_hello()
        try:
            await receive(connection, lambda message: self.receive(outbox, message), self.log)
        finally:
            writer.cancel()
            self._detach(outbox)

    def _detach(self, outbox: Outbox) -> None:
        """What still comes on this link is void."""
        outbox.break_off()
        if self.outbox is outbox:
            self.outbox = None
            self.server.unlinked()
            if self.selector.linked is not None:
                self.selector.fail(self.steady(), self.selector.linked)

    def receive(self, outbox: Outbox, message: msgspec.Struct) -> None:
        if outbox is not self.outbox:
            return
        now = self.steady()
        if isinstance(message, ControlNodeHeartbeat):
            self.selector.hear(now, message)
        else:
            self.selector.alive(now)
        for reply in self.server.hear(message):
            outbox.put(reply)
        if isinstance(message, BindTable):
            self.log(
                115,
                {
                    "pool": message.pool,
                    "table": message.table,
                    **self.locality.table_fields(message, self.server.backend_view.lives),
                },
            )
        if isinstance(message, ItemUpdate):
            if self.server.routing.unusable:
                self._log_abandoned("outdated")
                self._detach(outbox)
                return
            self._log_configuration(message)
            self.send_hello()

    def _log_configuration(self, message: ItemUpdate) -> None:
        """The log says when a version came into force here, and by whom."""
        versions = [one.version[0] for one in message.items if one.kind in (ROUTE, SERVICE, LIMITS)]
        if versions:
            self.configuration_version = max(self.configuration_version, *versions)
            self.log(117, {"peer": self.selector.linked, "items": len(versions), "version": max(versions)})

    def send_hello(self) -> None:
        """Say what we are, first on a link and whenever it has changed."""
        hello = self.server.hello()
        if self.outbox and hello != self.last_hello:
            if hello.ready and not (self.last_hello and self.last_hello.ready):
                self.log(114, {})
            self.outbox.put(hello)
            self.last_hello = hello

    def metrics(self) -> list[Metric]:
        """What metrics tell of the link."""
        age_ms = self._configuration_age_ms(self.steady())
        age_s = -1.0 if age_ms is None else age_ms / 1000
        return [
            Metric(
                "configuration_version",
                "highest version of the operator in force",
                self.configuration_version,
            ),
            Metric("configuration_age_seconds", "how old it may be (-1: nobody has told)", age_s),
            Metric("linked", "whether a control node is linked", float(self.outbox is not None)),
            Metric("links_left", "links given up since the start", label="why", values=self.abandoned_links),
        ]

    def report(self, report: LoadReport) -> None:
        """Tell the control node, and now and then the log, what came and was met."""
        if self.outbox:
            self.outbox.put(report)
        self.locality.count(report, self.server.backend_view.lives)
        if self.locality.is_due():
            self.log(116, self.locality.take_fields())

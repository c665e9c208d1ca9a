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
from ambershift.system.processes.candidate_probe import Answered, Asked, let_go
from ambershift.system.processes.locality import Places
from ambershift.system.processes.metrics import Figure
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS
from ambershift.system.transport.link_path import PROXY, Caller
from ambershift.system.transport.links import receive
from ambershift.system.transport.send_queue import Outbox

LOOK_S = 0.1


class Dialler(Protocol):
    """What an attachment needs of `transport.links.Links`, or of simulated ones."""

    async def dial(self, ip: str) -> Connection:
        """Raises OSError where nobody answers in time."""

    def outbox(self, connection: Connection, peer: str, masked: bool) -> Outbox:
        """What waits to be sent on a connection."""


def caller_of(settings: Local) -> Caller:
    """As what this process dials."""
    return Caller(PROXY, settings.name, secrets.token_hex(4))


class Attachment:
    """Holds one link to a control node; what comes on it goes to the proxy. `steady` gives ns."""

    def __init__(
        self,
        settings: Local,
        server: ProxyServer,
        links: Dialler,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.server, self.links, self.steady, self.log = server, links, steady, log
        self.choice = Choice(
            settings.name,
            settings.zone,
            settings.region,
            settings.seed_ips,
            current_for(settings.name, settings.bounds),
        )
        self.places = Places(settings.zone, settings.region)
        self.outbox: Outbox | None = None  # Of the link in use.
        self.said: Hello | None = None
        self.version = 0  # The highest of the operator's that has come.
        self.left = Counter[str]()  # Links given up, by why.
        self._link: asyncio.Task[None] | None = None
        self._searching: asyncio.Task[Answered | None] | None = None
        self._asking_nearer: asyncio.Task[Answered | None] | None = None

    async def run(self) -> None:
        """Hold a link to the control node chosen; while it stands others may be asked beside it."""
        try:
            while True:
                await self._look()
                await self._pause()
        finally:
            self._stop_asking()

    async def _look(self) -> None:
        now = self.steady()
        if self._link is not None and self.choice.silent(now):
            self._leave("silent")
            self._drop()
        found = self._answer_beside()
        if found is None and (self._link is None or self._link.done()):
            self._stop_asking()
            found = await self._first(self.choice.candidates(now))
        if found is not None:
            self._stop_asking()
            self._drop()
            self._link = asyncio.ensure_future(self.converse(found.ip, found.connection))
        else:
            self._ask_beside(now)

    async def _pause(self) -> None:
        """Until the next look, which comes at once with an answer of those asked beside the link."""
        asking = {task for task in (self._searching, self._asking_nearer) if task is not None}
        if asking:
            await asyncio.wait(asking, timeout=LOOK_S, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(LOOK_S)

    def _ask_beside(self, now: int) -> None:
        """Neither waits for the other: a nearer node that hangs must not keep a stale proxy from a search."""
        if self._searching is None and self.choice.search(now):
            self._searching = asyncio.ensure_future(self._search(self.choice.search_order(now)))
        if self._asking_nearer is None and (nearer := self.choice.nearer(now)) is not None:
            self._asking_nearer = asyncio.ensure_future(self._ask_nearer(nearer))

    def _answer_beside(self) -> Answered | None:
        """A node asked beside the link that is to be gone to."""
        found = None
        if self._searching is not None and self._searching.done():
            found, self._searching = self._searching.result(), None
        elif self._asking_nearer is not None and self._asking_nearer.done():
            found, self._asking_nearer = self._asking_nearer.result(), None
        return found

    def _stop_asking(self) -> None:
        """Who answers from now on is let go."""
        for task in (self._searching, self._asking_nearer):
            if task is not None:
                task.cancel()
                task.add_done_callback(let_go)
        self._searching = self._asking_nearer = None

    def _leave(self, why: str) -> None:
        self.left[why] += 1
        self.log(112, {"peer": self.choice.linked, "why": why, "age_ms": self._age_ms(self.steady())})

    def _drop(self) -> None:
        """Give the link up, where there is one."""
        if self._link is None:
            return
        self._link.cancel()
        self._link = None
        if self.choice.linked is not None:
            self.choice.fail(self.steady(), self.choice.linked)

    async def _first(self, candidates: list[str]) -> Answered | None:
        """Without a link: the first that answers and is current; where none is, any that answers."""
        asked, chosen = Asked(self.ask, candidates, 1), None
        try:
            while (one := await asked.next()) is not None:
                if chosen is None:
                    chosen = one
                    asked.give_up_after(RESERVE_S)
                if self.choice.current(one.sign):
                    chosen = one
                    break
        finally:
            asked.close(chosen)
        if chosen is None:
            self.log(113, {"tried": len(candidates)})
        return chosen

    async def _search(self, candidates: list[str]) -> Answered | None:
        """Beside a link on which nothing proves how old our configuration is: the first that knows newer."""
        asked, chosen = Asked(self.ask, candidates, WIDTH), None
        try:
            while (one := await asked.next()) is not None and self.choice.stale(self.steady()):
                if self.choice.newer(self.steady(), one.sign):
                    chosen = one
                    break
        finally:
            asked.close(chosen)
        if chosen is not None:
            self._leave("stale")
        elif self.choice.stale(self.steady()):
            self.log(118, {"asked": len(candidates), "age_ms": self._age_ms(self.steady())})
        return chosen

    async def _ask_nearer(self, ip: str) -> Answered | None:
        one = await self.ask(ip)
        if one is not None and not self.choice.current(one.sign):
            one.connection.transport.abort()
            self.choice.fail(self.steady(), ip)
            return None
        return one

    def _age_ms(self, now: int) -> int | None:
        """How old what is served here may be; None where nobody has told."""
        return None if self.choice.proved is None else (now - self.choice.proved) // NS_PER_MS

    async def ask(self, ip: str) -> Answered | None:
        """Dial one, and hear its first sign. None where it doesn't answer, or answers something else."""
        try:
            connection = await self.links.dial(ip)
        except OSError:
            self.choice.fail(self.steady(), ip)
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
            return Answered(ip, connection, sign)
        connection.transport.abort()
        self.choice.fail(self.steady(), ip)
        return None

    async def converse(self, ip: str, connection: Connection) -> None:
        outbox = self.links.outbox(connection, ip, True)
        self.outbox, self.said = outbox, None
        self.choice.up(self.steady(), ip)
        writer = asyncio.ensure_future(outbox.run())
        self.log(111, {"peer": ip})
        self.server.linked()
        self.greet()
        try:
            await receive(connection, lambda message: self.hear(outbox, message), self.log)
        finally:
            writer.cancel()
            self._end(outbox)

    def _end(self, outbox: Outbox) -> None:
        """What still comes on this link is void."""
        outbox.break_off()
        if self.outbox is outbox:
            self.outbox = None
            self.server.unlinked()
            if self.choice.linked is not None:
                self.choice.fail(self.steady(), self.choice.linked)

    def hear(self, outbox: Outbox, message: msgspec.Struct) -> None:
        if outbox is not self.outbox:
            return
        now = self.steady()
        if isinstance(message, ControlNodeHeartbeat):
            self.choice.hear(now, message)
        else:
            self.choice.alive(now)
        for reply in self.server.hear(message):
            outbox.put(reply)
        if isinstance(message, BindTable):
            self.log(
                115,
                {
                    "pool": message.pool,
                    "table": message.table,
                    **self.places.lines(message, self.server.backend_view.lives),
                },
            )
        if isinstance(message, ItemUpdate):
            if self.server.routing.unusable:
                self._leave("outdated")
                self._end(outbox)
                return
            self._tell_items(message)
            self.greet()

    def _tell_items(self, message: ItemUpdate) -> None:
        """The log says when a version came into force here, and by whom."""
        versions = [one.version[0] for one in message.items if one.kind in (ROUTE, SERVICE, LIMITS)]
        if versions:
            self.version = max(self.version, *versions)
            self.log(117, {"peer": self.choice.linked, "items": len(versions), "version": max(versions)})

    def greet(self) -> None:
        """Say what we are, first on a link and whenever it has changed."""
        hello = self.server.hello()
        if self.outbox and hello != self.said:
            if hello.ready and not (self.said and self.said.ready):
                self.log(114, {})
            self.outbox.put(hello)
            self.said = hello

    def figures(self) -> list[Figure]:
        """What metrics tell of the link."""
        age_ms = self._age_ms(self.steady())
        age_s = -1.0 if age_ms is None else age_ms / 1000
        return [
            Figure("configuration_version", "highest version of the operator in force", self.version),
            Figure("configuration_age_seconds", "how old it may be (-1: nobody has told)", age_s),
            Figure("linked", "whether a control node is linked", float(self.outbox is not None)),
            Figure("links_left", "links given up since the start", label="why", values=self.left),
        ]

    def report(self, report: LoadReport) -> None:
        """Tell the control node, and now and then the log, what came and was met."""
        if self.outbox:
            self.outbox.put(report)
        self.places.count(report, self.server.backend_view.lives)
        if self.places.due():
            self.log(116, self.places.told())

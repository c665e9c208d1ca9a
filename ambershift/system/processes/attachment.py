"""A proxy's link to the control node that looks after it: dialled, kept while it is good, dialled anew."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from websockets.asyncio.connection import Connection

from ambershift.system.messages.fronts import Bind, Cores, Hello, Items, Report
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE
from ambershift.system.node_selection.choice import Choice
from ambershift.system.processes.places import Places
from ambershift.system.proxy.desk import Desk
from ambershift.system.settings.local import Local
from ambershift.system.transport.links import receive
from ambershift.system.transport.outbox import Outbox
from ambershift.system.transport.words import DESK, Caller

BESIDE_S = 0.25  # A control node that takes longer to answer may be without power: another is dialled too.
LOOK_S = 0.25


class Dialler(Protocol):
    """What an attachment needs of `transport.links.Links`, or of simulated ones."""

    async def dial(self, ip: str) -> Connection:
        """Raises OSError where nobody answers in time."""

    def outbox(self, connection: Connection, peer: str, masked: bool) -> Outbox:
        """What waits to be sent on a connection."""


def caller_of(settings: Local) -> Caller:
    """As what this process dials."""
    return Caller(DESK, settings.name, secrets.token_hex(4))


class Attachment:
    """Holds one link to a control node; what comes on it goes to the desk. `steady` gives ns."""

    def __init__(
        self,
        settings: Local,
        desk: Desk,
        links: Dialler,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.desk, self.links, self.steady, self.log = desk, links, steady, log
        self.choice = Choice(settings.name, settings.zone, settings.region, settings.seed_ips)
        self.places = Places(settings.zone, settings.region)
        self.outbox: Outbox | None = None  # Of the link in use.
        self.said: Hello | None = None

    async def run(self) -> None:
        """Hold a link to the control node chosen; while it stands a nearer one may be dialled beside it."""
        current: asyncio.Task[None] | None = None
        while True:
            now = self.steady()
            if current is None or current.done():
                current = await self.dial_any(self.choice.candidates(now))
            elif why := self.choice.leave(now):
                self.log(112, {"peer": self.choice.linked, "why": why})
                current.cancel()
                self.choice.fail(now, self.choice.linked or "")
                current = None
                continue
            elif (nearer := self.choice.nearer(now)) and (fresh := await self.dial_one(nearer)):
                current.cancel()
                current = fresh
            await asyncio.sleep(LOOK_S)

    async def dial_any(self, candidates: list[str]) -> asyncio.Task[None] | None:
        """The first that answers. Where one is silent the next is dialled beside it."""
        dials, left = dict[asyncio.Task[Connection], str](), list(candidates)
        try:
            while dials or left:
                if left:
                    ip = left.pop(0)
                    dials[asyncio.ensure_future(self.links.dial(ip))] = ip
                done, _ = await asyncio.wait(
                    dials, timeout=BESIDE_S if left else None, return_when=asyncio.FIRST_COMPLETED
                )
                for dial in done:
                    ip = dials.pop(dial)
                    if dial.exception() is None:
                        return asyncio.ensure_future(self.converse(ip, dial.result()))
                    self.choice.fail(self.steady(), ip)
        finally:
            for dial in dials:
                dial.cancel()
                dial.add_done_callback(let_go)
        self.log(113, {"tried": len(candidates)})
        return None

    async def dial_one(self, ip: str) -> asyncio.Task[None] | None:
        try:
            connection = await self.links.dial(ip)
        except OSError:
            self.choice.fail(self.steady(), ip)
            return None
        return asyncio.ensure_future(self.converse(ip, connection))

    async def converse(self, ip: str, connection: Connection) -> None:
        outbox = self.links.outbox(connection, ip, True)
        self.outbox, self.said = outbox, None
        self.choice.up(self.steady(), ip)
        writer = asyncio.ensure_future(outbox.run())
        self.log(111, {"peer": ip})
        self.desk.linked()
        self.greet()
        try:
            await receive(connection, lambda message: self.hear(outbox, message), self.log)
        finally:
            outbox.break_off()
            writer.cancel()
            if self.outbox is outbox:
                self.outbox = None
                self.desk.unlinked()
                self.choice.fail(self.steady(), ip)

    def hear(self, outbox: Outbox, message: msgspec.Struct) -> None:
        if outbox is not self.outbox:
            return
        now = self.steady()
        if isinstance(message, Cores):
            self.choice.hear(now, message.cores, message.in_touch)
        else:
            self.choice.alive(now)
        for reply in self.desk.hear(message):
            outbox.put(reply)
        if isinstance(message, Bind):
            self.log(
                115,
                {
                    "pool": message.pool,
                    "table": message.table,
                    **self.places.lines(message, self.desk.roster.lives),
                },
            )
        if isinstance(message, Items):
            self._tell_items(message)
            self.greet()

    def _tell_items(self, message: Items) -> None:
        """The log says when a version came into force here, and by whom."""
        versions = [one.version[0] for one in message.items if one.kind in (ROUTE, SERVICE, LIMITS)]
        if versions:
            self.log(117, {"peer": self.choice.linked, "items": len(versions), "version": max(versions)})

    def greet(self) -> None:
        """Say what we are, first on a link and whenever it has changed."""
        hello = self.desk.hello()
        if self.outbox and hello != self.said:
            if hello.ready and not (self.said and self.said.ready):
                self.log(114, {})
            self.outbox.put(hello)
            self.said = hello

    def report(self, report: Report) -> None:
        """Tell the control node, and now and then the log, what came and was met."""
        if self.outbox:
            self.outbox.put(report)
        self.places.count(report, self.desk.roster.lives)
        if self.places.due():
            self.log(116, self.places.told())


def let_go(dial: asyncio.Task[Connection]) -> None:
    """One that came up although another is used."""
    if not dial.cancelled() and dial.exception() is None:
        dial.result().transport.abort()

"""The proxy: a desk on its sockets, attached to a control node."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from functools import partial

import msgspec
from websockets.asyncio.connection import Connection

from ambershift.system.messages.fronts import Bind, Cores, Hello, Items
from ambershift.system.node_selection.choice import Choice
from ambershift.system.processes.logs import Journal
from ambershift.system.processes.places import Places
from ambershift.system.processes.rereading import LOOK_S as FILE_S
from ambershift.system.processes.rereading import Watched
from ambershift.system.processes.serving import Served, hear_signals, listeners, served
from ambershift.system.proxy.desk import Desk
from ambershift.system.proxy.reception import Reception
from ambershift.system.settings.local import Local, SettingsError, read_local
from ambershift.system.transport.links import Links, receive
from ambershift.system.transport.meter import Meter, Place
from ambershift.system.transport.outbox import Outbox
from ambershift.system.transport.words import DESK, Caller

BESIDE_S = 0.25  # A control node that takes longer to answer may be without power: another is dialled too.
REPORT_S, LOOK_S, IDLE_S, END_MARGIN_S = 1.0, 0.25, 60, 0.4


class Proxy:
    def __init__(self, settings: Local) -> None:
        self.settings = settings
        self.log = Journal(settings.name, time.monotonic_ns)
        self.desk = Desk(settings, time.monotonic_ns)
        self.choice = Choice(settings.name, settings.zone, settings.region, settings.seed_ips)
        me = Caller(DESK, settings.name, secrets.token_hex(4))
        self.meter = Meter((settings.zone, settings.region), self.place)
        self.links = Links(
            me, settings.internal[0], lambda *_: None, lambda _: None, lambda _: None, self.log, self.meter
        )
        self.file = Watched(settings.file)
        self.places = Places(settings.zone, settings.region)
        self.outbox: Outbox | None = None  # Of the link in use.
        self.ended = asyncio.Event()
        self.said: Hello | None = None

    def place(self, ip: str) -> Place | None:
        """Where a control node is."""
        return next(((core.zone, core.region) for core in self.choice.cores if core.ip == ip), None)

    async def run(self) -> None:
        hear_signals(self.ended.set, self.reread)
        listen, grace = self.settings.listen, self.settings.bounds.grace
        sockets = listeners([listen[key] for key in ("Front", "Readiness") if key in listen])
        self.log(1, {"role": "proxy", "zone": self.settings.zone})
        server = served(
            self.desk,
            IDLE_S,
            grace / 2 - END_MARGIN_S,
            partial(Reception, lambda: self.desk.routing.limits, time.monotonic_ns),
        )
        tasks = [
            asyncio.ensure_future(one)
            for one in (server.serve(sockets=sockets), self.attach(), self.look(server), self.report())
        ]
        await self.ended.wait()
        began = time.monotonic()
        self.log(2, {})
        self.desk.leave()
        self.greet()
        # Clients still come while an old answer of the directory names us: each is served and sent away.
        await asyncio.sleep(grace / 2)
        server.should_exit = True
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(tasks[0], max(0.1, began + grace - END_MARGIN_S - time.monotonic()))
        for task in tasks:
            task.cancel()
        await self.links.close()
        self.log(3, {})

    def reread(self) -> None:
        try:
            self.settings = read_local(self.settings.file)
        except SettingsError as why:
            self.log(5, {"reason": str(why)})
            return
        self.choice.reseed(self.settings.seed_ips)
        self.log(4, {"seeds": len(self.settings.seeds)})

    async def attach(self) -> None:
        """Hold a link to the control node chosen; while it stands a nearer one may be dialled beside it."""
        current: asyncio.Task[None] | None = None
        while True:
            now = time.monotonic_ns()
            if current is None or current.done():
                current = await self.dial_any(self.choice.candidates(now))
            elif self.choice.leave(now):
                self.log(112, {"peer": self.choice.linked})
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
                    self.choice.fail(time.monotonic_ns(), ip)
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
            self.choice.fail(time.monotonic_ns(), ip)
            return None
        return asyncio.ensure_future(self.converse(ip, connection))

    async def converse(self, ip: str, connection: Connection) -> None:
        outbox = self.links.outbox(connection, ip, True)
        self.outbox, self.said = outbox, None
        self.choice.up(time.monotonic_ns(), ip)
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
                self.choice.fail(time.monotonic_ns(), ip)

    def hear(self, outbox: Outbox, message: msgspec.Struct) -> None:
        if outbox is not self.outbox:
            return
        now = time.monotonic_ns()
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
            self.greet()

    def greet(self) -> None:
        """Say what we are, first on a link and whenever it has changed."""
        hello = self.desk.hello()
        if self.outbox and hello != self.said:
            if hello.ready and not (self.said and self.said.ready):
                self.log(114, {})
            self.outbox.put(hello)
            self.said = hello

    async def look(self, server: Served) -> None:
        due = 0.0
        while True:
            self.greet()
            server.tell_keep(self.desk.routing.limits.told)
            if time.monotonic() >= due:
                due = time.monotonic() + FILE_S
                if self.file.changed():
                    self.reread()
            await asyncio.sleep(LOOK_S)

    async def report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            report = self.desk.report(time.monotonic_ns())
            if self.outbox:
                self.outbox.put(report)
            self.places.count(report, self.desk.roster.lives)
            if (told := self.meter.due(time.monotonic_ns())) is not None:
                self.log(105, {**told})
            if self.places.due():
                self.log(116, self.places.told())


def let_go(dial: asyncio.Task[Connection]) -> None:
    """One that came up although another is used."""
    if not dial.cancelled() and dial.exception() is None:
        dial.result().transport.abort()


async def run(settings: Local) -> None:
    await Proxy(settings).run()

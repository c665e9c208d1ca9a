"""Puts the parts together, starts them in order and ends them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Protocol

from ambershift import interface as api
from ambershift.coordinator.program.clock import Clock
from ambershift.coordinator.program.configuration import BadStartError, Start, read, reread
from ambershift.coordinator.program.log import LogWriter
from ambershift.coordinator.program.signals import Signals
from ambershift.coordinator.protocol.relay import Orders
from ambershift.coordinator.routing.admit import Admit
from ambershift.coordinator.routing.book import Book
from ambershift.coordinator.routing.call import Caller
from ambershift.coordinator.routing.follow import Follower
from ambershift.coordinator.routing.intake import Intake
from ambershift.coordinator.routing.news import News
from ambershift.coordinator.routing.probe import Prober
from ambershift.coordinator.routing.relay import Relay
from ambershift.coordinator.routing.route import Route
from ambershift.coordinator.routing.send import Send
from ambershift.coordinator.routing.tap import Tap
from ambershift.coordinator.routing.watch import Watcher
from ambershift.coordinator.transport.buffers import Pool
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.link import Link
from ambershift.coordinator.transport.listener import Listener
from ambershift.policy import TableManager

BUFFER_SIZE, BUFFERS_PART = 16 * 1024, 1 / 8
DIAL_LIMIT, TOTALS_EVERY, RESTART_PAUSE = 1.0, 10.0, 0.1
# Of the descriptors allowed, what the program itself, its calls and its probes may need is left aside.
OWN_DESCRIPTORS, ACCEPTED_MOST = 128, 512
# The interpreter and what it has loaded take about 16 MB; a connection with all that belongs to it, 16 KiB.
OWN_MB, ACCEPTED_A_MB = 16, 16


class Front(Protocol):
    """A further front on the same core. It opens once the coordinator is ready and closes before it ends."""

    @property
    def tap(self) -> Tap: ...

    async def open(self) -> None:
        """Serve from now on; what stands in the way is a BadStartError."""

    async def close(self) -> None:
        """Finish what is under way, within a moment."""


class Coordinator:
    """`reserved` descriptors are left to a front that `attach` puts on top."""

    def __init__(self, start: Start, book: Book, signals: Signals, reserved: int = 0) -> None:
        self.start, self.book, self.signals = start, book, signals
        self.front: Front | None = None
        self.clock = clock = Clock()
        pool = Pool(BUFFER_SIZE, max(16, int(start.memory_mb * BUFFERS_PART * (1 << 20)) // BUFFER_SIZE))
        dialler, self.admit = Dialler(pool), Admit(start.names, clock.now)
        self.route = Route(TableManager(), clock.now, book)
        put = self.route.put
        orders = Orders(self.admit.door.ids.__getitem__, start.names.groups)
        self.relay = Relay(dialler, start.relay, orders, book)
        self.follower = Follower(dialler, start.relay, News(self.admit, put, book), book)
        self.caller = Caller(dialler, start.discovery, DIAL_LIMIT)
        self.watcher = Watcher(
            self.caller, start.known.version, start.terms.notification_deadline, self.admit, put, book
        )
        prober = Prober(dialler, self.admit, clock.now, put, book)
        self.route.carry = Send(self.route, self.relay, self.watcher, prober, self.admit, book).carry
        self.intake = Intake(self.admit, put, book)
        roomy = int(max(0.0, start.memory_mb - OWN_MB) * ACCEPTED_A_MB)
        most = max(8, min(ACCEPTED_MOST, start.sockets - OWN_DESCRIPTORS - reserved, roomy))
        self.listener = Listener(pool, most, self.serve, partial(book.ended, "accepted"))

    def attach(self, front: Front) -> None:
        """Before `run`: from the first event on the front hears all."""
        self.front = front
        self.route.tap = self.relay.tap = front.tap

    async def serve(self, link: Link) -> None:
        await self.intake.serve(link, self.listener.keep)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.signals.attend()
        loop.set_exception_handler(self.lost)
        self.route.put(api.Started(self.start.seed, self.start.terms))
        self.route.put(self.admit.listed(self.start.known, True))
        # Whoever gets `alive` finds a module that is born: the first step runs before the listener opens.
        await asyncio.sleep(0)
        if not self.book.counts["steps"]:
            raise BadStartError("key 'settings': the module can't start with them")
        try:
            await self.listener.open(self.start.listen)
        except OSError as error:
            raise BadStartError(f"key 'listen': can't listen there ({error.strerror})") from None
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "relay": self.relay.run,
            "watch": self.watcher.run,
            "totals": self.totals,
            "reload": self.reload,
            "news": partial(self.follower.run, 0),
            "news again": partial(self.follower.run, 1),
        }
        if self.front:
            await self.front.open()
        tasks = [loop.create_task(self.keep(name, run)) for name, run in parts.items()]
        self.book.note("ready", servers=len(self.start.known.servers))
        await self.signals.stop.wait()
        self.listener.close()
        if self.front:
            await self.front.close()
        for task in tasks:
            task.cancel()
        self.book.totals()
        self.book.note("stopped")

    async def keep(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part for as long as the program runs; an error that it did not foresee is told, not lost."""
        while True:
            try:
                await run()
            except Exception as error:
                self.book.failure(name, error)
            await asyncio.sleep(RESTART_PAUSE)

    async def reload(self) -> None:
        while True:
            await self.signals.reload.wait()
            self.signals.reload.clear()
            try:
                moved = reread(os.environ, self.start)
            except BadStartError as error:  # Half of a file, say: what is held goes on serving.
                self.book.note("reload_failed", why=str(error))
                continue
            self.book.note("reloaded", discovery=moved.discovery, relay=moved.relay, unheeded=moved.unheeded)
            self.follower.move(moved.relay)  # First, as what joined or left must never be missed.
            self.relay.move(moved.relay)
            self.caller.move(moved.discovery)

    async def totals(self) -> None:
        while True:
            await asyncio.sleep(TOTALS_EVERY)
            self.book.totals()

    def lost(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Errors that asyncio found in nobody's hands."""
        error = context.get("exception")
        self.book.failure("loop", error or RuntimeError(str(context.get("message"))))


def main() -> int:
    signals, log = Signals(), LogWriter(1, os.environ.get("BALANCER_NAME", ""))
    try:
        start = read(os.environ)
        asyncio.run(Coordinator(start, Book(log.write), signals).run())
    except BadStartError as error:
        log.write({"event": "bad_start", "why": str(error)})
        return 2
    finally:
        log.end()
    return 0

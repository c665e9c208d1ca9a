"""Probe: asks a server for its health and load when the module orders it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import probes
from ambershift.coordinator.protocol.words import UnreadableError
from ambershift.coordinator.routing.admit import Admit
from ambershift.coordinator.routing.book import Book
from ambershift.coordinator.routing.call import Caller
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.endings import EndedError

PROBES_MOST = 64


class Prober:
    def __init__(
        self,
        dialler: Dialler,
        admit: Admit,
        now: Callable[[], int],
        put: Callable[[api.Event], None],
        book: Book,
    ) -> None:
        self.dialler, self.admit, self.now, self.put, self.book = dialler, admit, now, put, book
        self.limit = admit.names.probe_timeout / 1e9
        self.tasks = set[asyncio.Task[None]]()

    def probe(self, server: int) -> None:
        # A bound of its own, against more open connections than the program may hold.
        if not self.admit.names.may_probe or len(self.tasks) >= PROBES_MOST:
            self.book.note("probe_left_out", server=self.admit.door.ids[server])
            self.put(api.Probed(server, False, 0, ()))
            return
        task = asyncio.get_running_loop().create_task(self.ask(server))
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.book.failure("probe", error)

    async def ask(self, server: int) -> None:
        started, good, loads = self.now(), False, tuple[float, ...]()
        caller = Caller(self.dialler, self.admit.addresses[server], self.limit)
        target = probes.LOAD if self.admit.names.load_fields else probes.HEALTH
        try:
            answer = await caller.call(target, self.limit)
            good = answer.status == 200
            loads = self.admit.loads(probes.read_load(answer.body)) if target == probes.LOAD else ()
        except EndedError as end:
            self.book.ended("probe", end, server=self.admit.door.ids[server])
        except UnreadableError as error:
            good = False
            self.book.note("refused", why=str(error))
        finally:
            caller.close()
        self.put(api.Probed(server, good, self.now() - started, loads))

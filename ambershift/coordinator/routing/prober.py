"""Probe: asks a server for its health and load when the module orders it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import probes
from ambershift.coordinator.protocol.fields import UnreadableError
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.http_client import HttpClient
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import DisconnectedError

MAX_PROBES = 64


class Prober:
    def __init__(
        self,
        dialler: Dialler,
        admit: Admission,
        now: Callable[[], int],
        put: Callable[[api.Event], None],
        event_log: EventLog,
    ) -> None:
        self.dialler, self.admit, self.now, self.put, self.event_log = dialler, admit, now, put, event_log
        self.limit = admit.settings.probe_timeout / 1e9
        self.tasks = set[asyncio.Task[None]]()

    def probe(self, server: int) -> None:
        # A bound of its own, against more open connections than the program may hold.
        if not self.admit.settings.may_probe or len(self.tasks) >= MAX_PROBES:
            self.event_log.record("probe_left_out", server=self.admit.server_index.ids[server])
            self.put(api.Probed(server, False, 0, ()))
            return
        task = asyncio.get_running_loop().create_task(self.ask(server))
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.event_log.record_failure("probe", error)

    async def ask(self, server: int) -> None:
        started, good, loads = self.now(), False, tuple[float, ...]()
        caller = HttpClient(self.dialler, self.admit.addresses[server], self.limit)
        target = probes.LOAD if self.admit.settings.load_fields else probes.HEALTH
        try:
            answer = await caller.call(target, self.limit)
            good = answer.status == 200
            loads = self.admit.loads(probes.parse_load(answer.body)) if target == probes.LOAD else ()
        except DisconnectedError as end:
            self.event_log.record_disconnect("probe", end, server=self.admit.server_index.ids[server])
        except UnreadableError as error:
            good = False
            self.event_log.record("refused", why=str(error))
        finally:
            caller.close()
        self.put(api.Probed(server, good, self.now() - started, loads))

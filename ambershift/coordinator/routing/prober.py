"""Probes servers for their health and load, on order of the policy module."""

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

MAX_PROBES = 64  # Probes at once, so that they can't use up the process's file descriptors.
NS_PER_S = 1e9
HTTP_OK = 200


class Prober:
    """Makes probes, each over a connection of its own, and submits their results."""

    def __init__(
        self,
        dialler: Dialler,
        admission: Admission,
        now: Callable[[], int],
        submit: Callable[[api.Event], None],
        event_log: EventLog,
    ) -> None:
        self.dialler, self.admission, self.now = dialler, admission, now
        self.submit, self.event_log = submit, event_log
        self.timeout_s = admission.settings.probe_timeout / NS_PER_S
        self.tasks = set[asyncio.Task[None]]()

    def probe(self, server: int) -> None:
        """Start the probe of a server; one too many fails at once."""
        if not self.admission.settings.may_probe or len(self.tasks) >= MAX_PROBES:
            self.event_log.record("probe_left_out", server=self.admission.server_index.ids[server])
            self.submit(api.Probed(server, False, 0, ()))
            return
        task = asyncio.get_running_loop().create_task(self.run_probe(server))
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Forget the task of a probe, and log an unexpected exception."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.event_log.record_failure("probe", error)

    async def run_probe(self, server: int) -> None:
        """Probe a server and submit the result."""
        started, healthy, loads = self.now(), False, tuple[float, ...]()
        client = HttpClient(self.dialler, self.admission.addresses[server], self.timeout_s)
        target = probes.LOAD_TARGET if self.admission.settings.load_fields else probes.HEALTH_TARGET
        try:
            answer = await client.call(target, self.timeout_s)
            healthy = answer.status == HTTP_OK
            if target == probes.LOAD_TARGET:
                loads = self.admission.loads(probes.parse_load(answer.body))
        except DisconnectedError as error:
            self.event_log.record_disconnect("probe", error, server=self.admission.server_index.ids[server])
        except UnreadableError as error:
            healthy = False
            self.event_log.record("refused", why=str(error))
        finally:
            client.close()
        self.submit(api.Probed(server, healthy, self.now() - started, loads))

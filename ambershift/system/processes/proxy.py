"""The proxy's process: its server on sockets, attached to a control node."""

from __future__ import annotations

import asyncio
import contextlib
import time
from functools import partial

from ambershift.system.processes.attachment import LOOK_S, Attachment, caller_of
from ambershift.system.processes.http_server import (
    TAKES_ON,
    Served,
    hear_signals,
    last_answers_s,
    listener_or_none,
    listeners,
    served,
)
from ambershift.system.processes.logs import Journal
from ambershift.system.processes.metrics import PORT_TAKEN, PROXY_PORT, Figure, WithMetrics
from ambershift.system.processes.settings_watch import LOOK_S as FILE_S
from ambershift.system.processes.settings_watch import Watched
from ambershift.system.proxy.intake import Intake
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.local import Local, SettingsError, read_local
from ambershift.system.transport.links import Links
from ambershift.system.transport.traffic_meter import Meter, Place

REPORT_S, IDLE_S = 1.0, 60


class Proxy:
    def __init__(self, settings: Local) -> None:
        self.settings = settings
        self.log = Journal(settings.name, time.monotonic_ns)
        self.server = ProxyServer(settings, time.monotonic_ns)
        self.meter = Meter((settings.zone, settings.region), self.place)
        self.links = Links(
            caller_of(settings),
            settings.internal[0],
            lambda *_: None,
            lambda _: None,
            lambda _: None,
            self.log,
            self.meter,
        )
        self.attachment = Attachment(settings, self.server, self.links, time.monotonic_ns, self.log)
        self.file = Watched(settings.file)
        self.ended = asyncio.Event()

    def place(self, ip: str) -> Place | None:
        """Where a control node is."""
        known = self.attachment.choice.cores
        return next(((core.zone, core.region) for core in known if core.ip == ip), None)

    async def run(self) -> None:
        hear_signals(self.ended.set, self.reread)
        listen, grace = self.settings.listen, self.settings.bounds.grace
        sockets = listeners([listen[key] for key in ("Front", "Readiness") if key in listen])
        metrics = f"{self.settings.ip}:{PROXY_PORT}"
        if (extra := listener_or_none(metrics)) is not None:
            sockets.append(extra)
        else:
            self.log(PORT_TAKEN, {"address": metrics})
        self.log(1, {"role": "proxy", "zone": self.settings.zone})
        server = served(
            WithMetrics(self.server, PROXY_PORT, self.figures),
            IDLE_S,
            last_answers_s(grace) - TAKES_ON * grace,
            partial(Intake, lambda: self.server.routing.limits, time.monotonic_ns),
        )
        tasks = [
            asyncio.ensure_future(one)
            for one in (
                server.serve(sockets=sockets),
                self.attachment.run(),
                self.look(server),
                self.report(),
            )
        ]
        await self.ended.wait()
        began = time.monotonic()
        self.log(2, {})
        self.server.leave()
        self.attachment.greet()
        # Clients still come while an old answer of the directory names us: each is served and sent away.
        await asyncio.sleep(TAKES_ON * grace)
        server.should_exit = True
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(tasks[0], max(0.1, began + last_answers_s(grace) - time.monotonic()))
        for task in tasks:
            task.cancel()
        await self.links.close()
        self.log(3, {})

    def figures(self) -> list[Figure]:
        """What metrics tell of this proxy."""
        server, attachment = self.server, self.attachment
        waiting = attachment.outbox.size if attachment.outbox else 0
        return [
            *attachment.figures(),
            Figure("ready", "whether this proxy serves", float(server.ready and not server.leaving)),
            Figure("requests_in_flight", "requests under way", server.admission.flying),
            Figure("routes", "routes in force", server.routing.routes),
            Figure("backends", "backends known", len(server.backend_view.lives)),
            Figure("link_waiting_bytes", "bytes that wait for the control node's link", waiting),
        ]

    def reread(self) -> None:
        try:
            self.settings = read_local(self.settings.file)
        except SettingsError as why:
            self.log(5, {"reason": str(why)})
            return
        self.attachment.choice.reseed(self.settings.seed_ips)
        self.log(4, {"seeds": len(self.settings.seeds)})

    async def look(self, server: Served) -> None:
        due = 0.0
        while True:
            self.attachment.greet()
            server.tell_keep(self.server.routing.limits.told)
            if time.monotonic() >= due:
                due = time.monotonic() + FILE_S
                if self.file.changed():
                    self.reread()
            await asyncio.sleep(LOOK_S)

    async def report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            report = self.server.report(time.monotonic_ns())
            self.attachment.report(report)
            if (told := self.meter.due(time.monotonic_ns())) is not None:
                self.log(105, {**told})


async def run(settings: Local) -> None:
    await Proxy(settings).run()

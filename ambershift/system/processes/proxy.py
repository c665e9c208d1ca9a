"""The proxy's process: its server on sockets, attached to a control node."""

from __future__ import annotations

import asyncio
import contextlib
import time
from functools import partial

from ambershift.system.processes.attachment import LINK_CHECK_INTERVAL_S, Attachment, proxy_identity
from ambershift.system.processes.http_server import (
    ACCEPTING_SHARE,
    HttpServer,
    bind_listeners,
    create_server,
    install_signal_handlers,
    response_deadline_s,
    try_bind_listener,
)
from ambershift.system.processes.logs import EventLog
from ambershift.system.processes.metrics import PORT_TAKEN, PROXY_PORT, Metric, MetricsMiddleware
from ambershift.system.processes.settings_watch import POLL_INTERVAL_S as FILE_S
from ambershift.system.processes.settings_watch import SettingsFileWatch
from ambershift.system.proxy.intake import Intake
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.local import Local, SettingsError, read_local
from ambershift.system.transport.links import Links
from ambershift.system.transport.traffic_meter import Meter, Place

REPORT_INTERVAL_S, KEEP_ALIVE_S = 1.0, 60


class Proxy:
    def __init__(self, settings: Local) -> None:
        self.settings = settings
        self.log = EventLog(settings.name, time.monotonic_ns)
        self.server = ProxyServer(settings, time.monotonic_ns)
        self.meter = Meter((settings.zone, settings.region), self.locate)
        self.links = Links(
            proxy_identity(settings),
            settings.internal[0],
            lambda *_: None,
            lambda _: None,
            lambda _: None,
            self.log,
            self.meter,
        )
        self.attachment = Attachment(settings, self.server, self.links, time.monotonic_ns, self.log)
        self.settings_watch = SettingsFileWatch(settings.file)
        self.stop_requested = asyncio.Event()

    def locate(self, ip: str) -> Place | None:
        """Where a control node is."""
        known = self.attachment.selector.cores
        return next(((core.zone, core.region) for core in known if core.ip == ip), None)

    async def run(self) -> None:
        install_signal_handlers(self.stop_requested.set, self.reload_settings)
        listen, grace = self.settings.listen, self.settings.bounds.grace
        sockets = bind_listeners([listen[key] for key in ("Front", "Readiness") if key in listen])
        metrics = f"{self.settings.ip}:{PROXY_PORT}"
        if (extra := try_bind_listener(metrics)) is not None:
            sockets.append(extra)
        else:
            self.log(PORT_TAKEN, {"address": metrics})
        self.log(1, {"role": "proxy", "zone": self.settings.zone})
        server = create_server(
            MetricsMiddleware(self.server, PROXY_PORT, self.metrics),
            KEEP_ALIVE_S,
            response_deadline_s(grace) - ACCEPTING_SHARE * grace,
            partial(Intake, lambda: self.server.routing.limits, time.monotonic_ns),
        )
        tasks = [
            asyncio.ensure_future(one)
            for one in (
                server.serve(sockets=sockets),
                self.attachment.run(),
                self.run_checks(server),
                self.run_reports(),
            )
        ]
        await self.stop_requested.wait()
        began = time.monotonic()
        self.log(2, {})
        self.server.leave()
        self.attachment.send_hello()
        # Clients still come while an old answer of the directory names us: each is served and sent away.
        await asyncio.sleep(ACCEPTING_SHARE * grace)
        server.should_exit = True
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(tasks[0], max(0.1, began + response_deadline_s(grace) - time.monotonic()))
        for task in tasks:
            task.cancel()
        await self.links.close()
        self.log(3, {})

    def metrics(self) -> list[Metric]:
        """What metrics tell of this proxy."""
        server, attachment = self.server, self.attachment
        waiting = attachment.link.outbox.size if attachment.link.outbox else 0
        return [
            *attachment.metrics(),
            Metric("ready", "whether this proxy serves", float(server.ready and not server.leaving)),
            Metric("requests_in_flight", "requests under way", server.admission.flying),
            Metric("routes", "routes in force", server.routing.routes),
            Metric("backends", "backends known", len(server.backend_view.lives)),
            Metric("link_waiting_bytes", "bytes that wait for the control node's link", waiting),
        ]

    def reload_settings(self) -> None:
        try:
            self.settings = read_local(self.settings.file)
        except SettingsError as why:
            self.log(5, {"reason": str(why)})
            return
        self.attachment.selector.reseed(self.settings.seed_ips)
        self.log(4, {"seeds": len(self.settings.seeds)})

    async def run_checks(self, server: HttpServer) -> None:
        due = 0.0
        while True:
            self.attachment.send_hello()
            server.advertise_keep_alive(self.server.routing.limits.told)
            if time.monotonic() >= due:
                due = time.monotonic() + FILE_S
                if self.settings_watch.has_changed():
                    self.reload_settings()
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)

    async def run_reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            report = self.server.report(time.monotonic_ns())
            self.attachment.send_report(report)
            if (told := self.meter.due(time.monotonic_ns())) is not None:
                self.log(105, {**told})


async def run(settings: Local) -> None:
    await Proxy(settings).run()

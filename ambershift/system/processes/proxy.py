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
    create_server,
    response_deadline_s,
)
from ambershift.system.processes.metrics import PROXY_PORT, Metric, MetricsMiddleware
from ambershift.system.processes.role_process import RoleProcess, background_tasks
from ambershift.system.proxy.client_connection import ClientConnection
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.transport.links import Links
from ambershift.system.transport.traffic_meter import Locality

REPORT_INTERVAL_S = 1.0
KEEP_ALIVE_S = 60
LISTEN_NAMES = ("Front", "Readiness")
SHUTDOWN_TIMEOUT_MIN_S = 0.1


class Proxy(RoleProcess):
    """The process of the role `proxy`.

    Attributes:
        server: The ASGI application that carries the traffic.
        links: Dials control nodes; nobody dials a proxy.
        attachment: Keeps a link to a control node.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Prepare the proxy; `run` opens its sockets."""
        super().__init__(settings)
        self.server = ProxyServer(settings, time.monotonic_ns)
        self.links = Links(
            proxy_identity(settings),
            settings.internal_ports[0],
            lambda *_: None,
            lambda _: None,
            lambda _: None,
            self.log,
            self.traffic_meter,
        )
        self.attachment = Attachment(settings, self.server, self.links, time.monotonic_ns, self.log)

    def locate(self, peer: str) -> Locality | None:
        """Zone and region of a control node, by its ip."""
        nodes = self.attachment.selector.control_nodes
        return next(((node.zone, node.region) for node in nodes if node.ip == peer), None)

    async def run(self) -> None:
        """Serve until a stop is requested, then drain for the grace period."""
        self.handle_signals()
        sockets = self.bind_sockets(LISTEN_NAMES, PROXY_PORT)
        self.log(1, {"role": "proxy", "zone": self.settings.zone})
        grace_s = self.settings.bounds.grace  # A stop keeps to the grace period of the start.
        server = self._create_server(grace_s)
        with background_tasks(
            server.serve(sockets=sockets),
            self.attachment.run(),
            self.run_checks(server),
            self.run_reports(),
        ) as tasks:
            await self.stop_requested.wait()
            await self._drain(server, tasks[0], grace_s)
        await self.links.close()
        self.log(3, {})

    def _create_server(self, grace_s: float) -> HttpServer:
        return create_server(
            MetricsMiddleware(self.server, PROXY_PORT, self.metrics),
            KEEP_ALIVE_S,
            response_deadline_s(grace_s) - ACCEPTING_SHARE * grace_s,
            partial(ClientConnection, lambda: self.server.routing.limits, time.monotonic_ns),
        )

    async def _drain(self, server: HttpServer, serving: asyncio.Task[None], grace_s: float) -> None:
        """Announce the end, accept requests for a while, and complete those in flight."""
        began_s = time.monotonic()
        self.log(2, {})
        self.server.start_draining()
        self.attachment.send_hello()
        # Clients still arrive by an earlier answer of the directory: each is served and told to go elsewhere.
        await asyncio.sleep(ACCEPTING_SHARE * grace_s)
        server.should_exit = True
        remaining_s = began_s + response_deadline_s(grace_s) - time.monotonic()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(serving, max(SHUTDOWN_TIMEOUT_MIN_S, remaining_s))

    def metrics(self) -> list[Metric]:
        """The metrics of this proxy."""
        server, outbox = self.server, self.attachment.link.outbox
        return [
            *self.attachment.metrics(),
            Metric(
                "ready",
                "Whether this proxy accepts requests (1) or not (0).",
                float(server.ready and not server.draining),
            ),
            Metric("requests_in_flight", "Requests in flight.", server.admission.in_flight),
            Metric("routes", "Routes in force.", server.routing.route_count),
            Metric("backends", "Backends known to this proxy.", len(server.backend_view.instances)),
            Metric(
                "link_send_queue_bytes",
                "Bytes queued for the link to the control node.",
                outbox.pending_bytes if outbox else 0,
            ),
        ]

    def apply_settings(self) -> None:
        """The attachment dials the new seeds from now on."""
        self.attachment.selector.set_seeds(self.settings.seed_ips)

    async def run_checks(self, server: HttpServer) -> None:
        """Hand on what has changed: readiness, the keep-alive limit, the settings file."""
        while True:
            self.attachment.send_hello()
            server.advertise_keep_alive(self.server.routing.limits.advertised_keep_alive_s)
            self.check_settings_file()
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)

    async def run_reports(self) -> None:
        """Report the load to the control node each `REPORT_INTERVAL_S`."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.attachment.send_report(self.server.take_report(time.monotonic_ns()))
            self.log_traffic()


async def run(settings: ProcessSettings) -> None:
    """Run a proxy until SIGTERM or SIGINT."""
    await Proxy(settings).run()

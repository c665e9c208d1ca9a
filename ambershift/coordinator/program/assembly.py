"""Puts the parts together, starts them in order and ends them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Protocol

from ambershift import interface as api
from ambershift.coordinator.program.clock import Clock
from ambershift.coordinator.program.configuration import ConfigurationError, CoordinatorConfig, load, reload
from ambershift.coordinator.program.log import LogWriter
from ambershift.coordinator.program.signals import Signals
from ambershift.coordinator.protocol.relay import OrderEncoder
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.routing.discovery_watcher import DiscoveryWatcher
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.http_client import HttpClient
from ambershift.coordinator.routing.order_dispatcher import OrderDispatcher
from ambershift.coordinator.routing.policy_driver import PolicyDriver
from ambershift.coordinator.routing.prober import Prober
from ambershift.coordinator.routing.proxy_event_feed import ProxyEventFeed
from ambershift.coordinator.routing.relay_client import RelayClient
from ambershift.coordinator.routing.relay_follower import RelayFollower
from ambershift.coordinator.routing.report_receiver import ReportReceiver
from ambershift.coordinator.routing.tap import Tap
from ambershift.coordinator.transport.buffers import BufferPool
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
        """Serve from now on; what stands in the way is a ConfigurationError."""

    async def close(self) -> None:
        """Finish what is under way, within a moment."""


class Coordinator:
    """`reserved` descriptors are left to a front that `attach` puts on top."""

    def __init__(
        self, start: CoordinatorConfig, event_log: EventLog, signals: Signals, reserved: int = 0
    ) -> None:
        self.config, self.event_log, self.signals = start, event_log, signals
        self.front: Front | None = None
        self.clock = clock = Clock()
        pool = BufferPool(
            BUFFER_SIZE, max(16, int(start.memory_mb * BUFFERS_PART * (1 << 20)) // BUFFER_SIZE)
        )
        dialler, self.admission = Dialler(pool), Admission(start.front_settings, clock.now)
        self.policy_driver = PolicyDriver(TableManager(), clock.now, event_log)
        put = self.policy_driver.submit
        orders = OrderEncoder(self.admission.server_index.ids.__getitem__, start.front_settings.groups)
        self.relay_client = RelayClient(dialler, start.relay, orders, event_log)
        self.follower = RelayFollower(
            dialler, start.relay, ProxyEventFeed(self.admission, put, event_log), event_log
        )
        self.discovery_client = HttpClient(dialler, start.discovery, DIAL_LIMIT)
        self.watcher = DiscoveryWatcher(
            self.discovery_client,
            start.initial_listing.version,
            start.policy_settings.notification_deadline,
            self.admission,
            put,
            event_log,
        )
        prober = Prober(dialler, self.admission, clock.now, put, event_log)
        self.policy_driver.on_orders = OrderDispatcher(
            self.policy_driver, self.relay_client, self.watcher, prober, self.admission, event_log
        ).dispatch
        self.report_receiver = ReportReceiver(self.admission, put, event_log)
        roomy = int(max(0.0, start.memory_mb - OWN_MB) * ACCEPTED_A_MB)
        most = max(8, min(ACCEPTED_MOST, start.max_sockets - OWN_DESCRIPTORS - reserved, roomy))
        self.listener = Listener(pool, most, self.serve, partial(event_log.record_disconnect, "accepted"))

    def attach(self, front: Front) -> None:
        """Before `run`: from the first event on the front hears all."""
        self.front = front
        self.policy_driver.tap = self.relay_client.tap = front.tap

    async def serve(self, link: Link) -> None:
        await self.report_receiver.serve(link, self.listener.protect)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.signals.install()
        loop.set_exception_handler(self.lost)
        self.policy_driver.submit(api.Started(self.config.seed, self.config.policy_settings))
        self.policy_driver.submit(self.admission.listed(self.config.initial_listing, True))
        # Whoever gets `alive` finds a module that is born: the first step runs before the listener opens.
        await asyncio.sleep(0)
        if not self.event_log.counts["steps"]:
            raise ConfigurationError("key 'settings': the module can't start with them")
        try:
            await self.listener.open(self.config.listen)
        except OSError as error:
            raise ConfigurationError(f"key 'listen': can't listen there ({error.strerror})") from None
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "relay": self.relay_client.run,
            "watch": self.watcher.run,
            "totals": self.totals,
            "reload": self.reload,
            "news": partial(self.follower.run, 0),
            "news again": partial(self.follower.run, 1),
        }
        if self.front:
            await self.front.open()
        tasks = [loop.create_task(self.keep(name, run)) for name, run in parts.items()]
        self.event_log.record("ready", servers=len(self.config.initial_listing.servers))
        await self.signals.stop.wait()
        self.listener.close()
        if self.front:
            await self.front.close()
        for task in tasks:
            task.cancel()
        self.event_log.record_totals()
        self.event_log.record("stopped")

    async def keep(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part for as long as the program runs; an error that it did not foresee is told, not lost."""
        while True:
            try:
                await run()
            except Exception as error:
                self.event_log.record_failure(name, error)
            await asyncio.sleep(RESTART_PAUSE)

    async def reload(self) -> None:
        while True:
            await self.signals.reload.wait()
            self.signals.reload.clear()
            try:
                moved = reload(os.environ, self.config)
            except ConfigurationError as error:  # Half of a file, say: what is held goes on serving.
                self.event_log.record("reload_failed", why=str(error))
                continue
            self.event_log.record(
                "reloaded", discovery=moved.discovery, relay=moved.relay, unheeded=moved.ignored_keys
            )
            self.follower.move(moved.relay)  # First, as what joined or left must never be missed.
            self.relay_client.move(moved.relay)
            self.discovery_client.move(moved.discovery)

    async def totals(self) -> None:
        while True:
            await asyncio.sleep(TOTALS_EVERY)
            self.event_log.record_totals()

    def lost(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Errors that asyncio found in nobody's hands."""
        error = context.get("exception")
        self.event_log.record_failure("loop", error or RuntimeError(str(context.get("message"))))


def main() -> int:
    signals, log = Signals(), LogWriter(1, os.environ.get("BALANCER_NAME", ""))
    try:
        start = load(os.environ)
        asyncio.run(Coordinator(start, EventLog(log.write), signals).run())
    except ConfigurationError as error:
        log.write({"event": "bad_start", "why": str(error)})
        return 2
    finally:
        log.close()
    return 0

"""Assembles the parts of a coordinator, starts them in order and stops them."""

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

BYTES_PER_MIB = 1 << 20
BUFFER_BYTES = 16 * 1024
BUFFER_MEMORY_SHARE = 1 / 8  # Of the memory allowed.
MIN_BUFFERS = 16
DIAL_TIMEOUT_S = 1.0
TOTALS_INTERVAL_S = 10.0
RESTART_DELAY_S = 0.1
# Descriptors for the process itself, its calls and its probes, which accepted connections can't use.
RESERVED_DESCRIPTORS = 128
MIN_ACCEPTED_LINKS = 8
MAX_ACCEPTED_LINKS = 512
# The interpreter and the loaded modules take about 16 MB, a connection with all that belongs to it 16 KiB.
PROCESS_MEMORY_MB = 16
ACCEPTED_LINKS_PER_MB = 16


class Front(Protocol):
    """An extension on top of a coordinator, such as the runtime API.

    It opens once the coordinator is ready and closes before the coordinator stops.
    """

    @property
    def tap(self) -> Tap:
        """Sees the coordinator's events and replies."""

    async def open(self) -> None:
        """Start to serve.

        Raises:
            ConfigurationError: It can't serve with its settings.
        """

    async def close(self) -> None:
        """Finish what is under way, within a fraction of a second."""


class Coordinator:
    """A coordinator with all its parts, and at most one front on top."""

    def __init__(
        self, config: CoordinatorConfig, event_log: EventLog, signals: Signals, reserved_descriptors: int = 0
    ) -> None:
        """Assemble the parts.

        Args:
            config: The configuration.
            event_log: The log.
            signals: Tell when to stop and to reload.
            reserved_descriptors: Left to a front that is attached later.
        """
        self.config, self.event_log, self.signals = config, event_log, signals
        self.front: Front | None = None
        self.clock = clock = Clock()
        buffer_memory_bytes = int(config.memory_mb * BUFFER_MEMORY_SHARE * BYTES_PER_MIB)
        pool = BufferPool(BUFFER_BYTES, max(MIN_BUFFERS, buffer_memory_bytes // BUFFER_BYTES))
        dialler, self.admission = Dialler(pool), Admission(config.front_settings, clock.now)
        self.policy_driver = PolicyDriver(TableManager(), clock.now, event_log)
        submit = self.policy_driver.submit
        encoder = OrderEncoder(self.admission.server_index.ids.__getitem__, config.front_settings.groups)
        self.relay_client = RelayClient(dialler, config.relay, encoder, event_log)
        feed = ProxyEventFeed(self.admission, submit, event_log)
        self.follower = RelayFollower(dialler, config.relay, feed, event_log)
        self.discovery_client = HttpClient(dialler, config.discovery, DIAL_TIMEOUT_S)
        self.watcher = DiscoveryWatcher(
            self.discovery_client,
            config.initial_listing.version,
            config.policy_settings.notification_deadline,
            self.admission,
            submit,
            event_log,
        )
        prober = Prober(dialler, self.admission, clock.now, submit, event_log)
        self.policy_driver.on_orders = OrderDispatcher(
            self.policy_driver, self.relay_client, self.watcher, prober, self.admission, event_log
        ).dispatch
        self.report_receiver = ReportReceiver(self.admission, submit, event_log)
        max_links = max(
            MIN_ACCEPTED_LINKS,
            min(
                MAX_ACCEPTED_LINKS,
                config.max_sockets - RESERVED_DESCRIPTORS - reserved_descriptors,
                int(max(0.0, config.memory_mb - PROCESS_MEMORY_MB) * ACCEPTED_LINKS_PER_MB),
            ),
        )
        on_disconnect = partial(event_log.record_disconnect, "accepted")
        self.listener = Listener(pool, max_links, self.serve, on_disconnect)

    def attach(self, front: Front) -> None:
        """Attach a front; call it before `run`, so that its tap sees every event."""
        self.front = front
        self.policy_driver.tap = self.relay_client.tap = front.tap

    async def serve(self, link: Link) -> None:
        """Serve an accepted connection until it ends.

        Raises:
            DisconnectedError: It has ended.
        """
        await self.report_receiver.serve(link, self.listener.protect)

    async def run(self) -> None:
        """Run until the process is asked to stop.

        Raises:
            ConfigurationError: The coordinator or its front can't start with its settings.
        """
        loop = asyncio.get_running_loop()
        self.signals.install()
        loop.set_exception_handler(self.on_unhandled_error)
        self.policy_driver.submit(api.Started(self.config.seed, self.config.policy_settings))
        self.policy_driver.submit(self.admission.listed(self.config.initial_listing, True))
        # The first step runs before the listener opens: when a probe is answered, the module has started.
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
            "totals": self.log_totals,
            "reload": self.reload_on_request,
            "news": partial(self.follower.run, 0),
            "news again": partial(self.follower.run, 1),
        }
        if self.front:
            await self.front.open()
        tasks = [loop.create_task(self.run_part(name, run)) for name, run in parts.items()]
        self.event_log.record("ready", servers=len(self.config.initial_listing.servers))
        await self.signals.stop.wait()
        self.listener.close()
        if self.front:
            await self.front.close()
        for task in tasks:
            task.cancel()
        self.event_log.record_totals()
        self.event_log.record("stopped")

    async def run_part(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part for ever; after an unexpected exception, which is logged, it starts again."""
        while True:
            try:
                await run()
            except Exception as error:
                self.event_log.record_failure(name, error)
            await asyncio.sleep(RESTART_DELAY_S)

    async def reload_on_request(self) -> None:
        """Apply a changed configuration on each SIGHUP, for ever."""
        while True:
            await self.signals.reload.wait()
            self.signals.reload.clear()
            try:
                reloaded = reload(os.environ, self.config)
            except ConfigurationError as error:  # A file half written, for example: the old values stay.
                self.event_log.record("reload_failed", why=str(error))
                continue
            self.event_log.record(
                "reloaded",
                discovery=reloaded.discovery,
                relay=reloaded.relay,
                unheeded=reloaded.ignored_keys,
            )
            self.follower.move(reloaded.relay)  # First, as no join or leave may be missed.
            self.relay_client.move(reloaded.relay)
            self.discovery_client.move(reloaded.discovery)

    async def log_totals(self) -> None:
        """Log all counters at intervals, for ever."""
        while True:
            await asyncio.sleep(TOTALS_INTERVAL_S)
            self.event_log.record_totals()

    def on_unhandled_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error that asyncio reports because no task handled it."""
        error = context.get("exception")
        self.event_log.record_failure("loop", error or RuntimeError(str(context.get("message"))))


def main() -> int:
    """Run a coordinator without a front; return the exit status."""
    signals, log = Signals(), LogWriter(1, os.environ.get("BALANCER_NAME", ""))
    try:
        config = load(os.environ)
        asyncio.run(Coordinator(config, EventLog(log.write), signals).run())
    except ConfigurationError as error:
        log.write({"event": "bad_start", "why": str(error)})
        return 2
    finally:
        log.close()
    return 0

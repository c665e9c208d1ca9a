"""The control node: items, registers, backends, proxies and tables, on its sockets and its disk."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
import traceback
from pathlib import Path

import msgspec

from ambershift.system.consensus.cache_file import CacheFile
from ambershift.system.consensus.replicated_store import ReplicatedStore
from ambershift.system.control_api.application import ControlApi
from ambershift.system.control_api.context import NodeContext
from ambershift.system.coordination.value_deltas import value_delta_codec
from ambershift.system.distribution.controller import Controller
from ambershift.system.messages import forwarding, proxy_link, registry_sync, replication
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE
from ambershift.system.processes.http_server import HttpServer, create_server
from ambershift.system.processes.metrics import CONTROL_PORT, Metric, MetricsMiddleware
from ambershift.system.processes.role_process import RoleProcess, background_tasks
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.transport.link_path import CONTROL_NODE, PROXY, PeerIdentity
from ambershift.system.transport.links import Links
from ambershift.system.transport.traffic_meter import Locality

BACKENDS_CACHE_FILE = "backends.list"  # In the folder of the store.
LISTEN_NAMES = ("Control", "Directory")
TICK_INTERVAL_S = 0.05
KEEP_ALIVE_S = 120
SHUTDOWN_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 1.5  # How long a stop waits until the voters are complete without this machine.


class ControlNode(RoleProcess):
    """The process of the role `control`.

    Attributes:
        links: Links to other control nodes, and those that proxies have dialled.
        store: Items and registers, replicated to all control nodes.
        cache_file: What the list of backends is read back from at a start; None without a folder.
        registry: The backends that are alive.
        controller: Decides the tables of proxies.
        control_api: The HTTP calls of operators, applications and backends.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Prepare the control node; `run` opens its disk and sockets."""
        super().__init__(settings)
        steady = time.monotonic_ns
        self.links = Links(
            PeerIdentity(CONTROL_NODE, settings.ip, secrets.token_hex(4)),
            settings.internal_ports[0],
            self.receive,
            self.link_up,
            self.link_lost,
            self.log,
            self.traffic_meter,
            self.reached,
        )
        send = self.links.send
        self.store = ReplicatedStore(
            settings,
            send=send,
            steady_ns=steady,
            seed=secrets.randbits(62),
            delta_codecs=value_delta_codec,
            log=self.log,
        )
        self.cache_file = (
            CacheFile(settings.data_directory, BACKENDS_CACHE_FILE)
            if settings.data_directory is not None
            else None
        )
        self.registry = RegistryService(
            settings,
            self.store,
            RegistryIO(send=send, steady=steady, log=self.log, cache_file=self.cache_file),
            seed=secrets.randbits(62),
        )
        self.controller = Controller(
            settings,
            self.store,
            self.registry,
            self.send_proxy,
            send,
            steady,
            secrets.randbits(62),
            self.log,
        )
        context = NodeContext(ip=settings.ip, store=self.store, monotonic_ns=steady, send=send, log=self.log)
        self.control_api = ControlApi(settings, context, self.registry)

    def send_proxy(self, name: str, message: msgspec.Struct) -> None:
        """Send to a proxy, on the link that it has dialled; without one the message is lost."""
        self.links.reply(PROXY, name, message)

    def locate(self, peer: str) -> Locality | None:
        """Zone and region of a control node (by its ip) or of a proxy linked here (by its name)."""
        if hello := self.controller.hellos.get(peer):
            return hello.zone, self.settings.zones.get(hello.zone, "")
        return next(
            ((node.zone, node.region) for node in self.store.control_nodes() if node.ip == peer), None
        )

    async def run(self) -> None:
        """Serve until a stop is requested, then leave the voters and shut down in order."""
        self.handle_signals()
        sockets = self.bind_sockets(LISTEN_NAMES, CONTROL_PORT)
        self.log(1, {"role": "control", "zone": self.settings.zone, "initial": self.settings.initial})
        await self.store.start()
        snapshot = await asyncio.to_thread(self.cache_file.read) if self.cache_file else None
        self.registry.load_snapshot(snapshot)
        await self.links.listen(self.settings.ip)
        server = create_server(
            MetricsMiddleware(self.control_api, CONTROL_PORT, self.metrics), KEEP_ALIVE_S, SHUTDOWN_TIMEOUT_S
        )
        with background_tasks(server.serve(sockets=sockets), self.run_ticks()) as tasks:
            await self.stop_requested.wait()
            await self._leave(server, tasks[0])
        await self.links.close()
        self.store.close()
        if self.cache_file:
            self.cache_file.close()
        self.log(3, {})

    async def _leave(self, server: HttpServer, serving: asyncio.Task[None]) -> None:
        """Give up the seat among the voters, while calls in flight are completed."""
        self.log(2, {})
        self.store.start_leaving()
        self.control_api.close()
        server.should_exit = True
        left = asyncio.ensure_future(self.store.wait_until_left(LEAVE_TIMEOUT_S))
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(serving, 2 * SHUTDOWN_TIMEOUT_S)
        self.log(209, {"left": await left})

    def metrics(self) -> list[Metric]:
        """The metrics of this control node."""
        store = self.store
        items = store.items()
        versions = [item.version[0] for item in items.values() if item.kind in (ROUTE, SERVICE, LIMITS)]
        members = store.membership_status()
        outboxes = (*self.links.dialled_queues.values(), *self.links.accepted_queues.values())
        waiting_bytes = sum(outbox.pending_bytes for outbox in outboxes)
        return [
            Metric(
                "configuration_version",
                "Highest version of the operator's configuration stored here.",
                max(versions, default=0),
            ),
            Metric(
                "quorum_contact_age_seconds",
                "Age of the last proof of contact with a majority.",
                store.contact_age_ms() / 1000,
            ),
            Metric(
                "quorum_contact",
                "Whether a majority of the voters is in contact (1) or not (0).",
                float(store.has_quorum_contact()),
            ),
            Metric("membership_epoch", "Epoch of the voters.", members.epoch if members else 0),
            Metric("voters", "Voters of this epoch.", len(members.voters) if members else 0),
            Metric(
                "complete_replicas",
                "Voters known to have a complete replica.",
                members.complete_count if members else 0,
            ),
            Metric("stored_items", "Configuration items stored here.", len(items)),
            Metric("linked_proxies", "Proxies linked to this control node.", len(self.controller.hellos)),
            Metric("backends", "Backends on the endpoint list.", len(self.registry.endpoints())),
            Metric("links_send_queue_bytes", "Bytes queued for all links.", waiting_bytes),
        ]

    def apply_settings(self) -> None:
        """Nothing to hand on: each tick reads the seeds anew."""

    async def run_ticks(self) -> None:
        """Give each part the time, each `TICK_INTERVAL_S`, and dial the other control nodes."""
        while True:
            self.check_settings_file()
            # A fault in the tick of one part must not stop the time of the others.
            for tick in (self.store.tick, self.registry.tick, self.controller.tick, self.control_api.tick):
                try:
                    tick()
                except Exception as error:
                    self.log_fault("tick", error)
            self.log_traffic()
            self.links.set_peers([*self.settings.seed_ips, *(node.ip for node in self.store.control_nodes())])
            await asyncio.sleep(TICK_INTERVAL_S)

    def log_fault(self, event: str, error: Exception) -> None:
        """Log an unexpected exception, with the place that raised it; the process goes on."""
        where = ""
        for frame, line in traceback.walk_tb(error.__traceback__):
            where = f"{Path(frame.f_code.co_filename).name}:{line}"
        self.log(6, {"on": event, "error": repr(error)[:200], "where": where})

    def receive(self, caller: PeerIdentity, message: msgspec.Struct) -> None:
        """Handle a message; a fault in it must not break the link it came on."""
        try:
            self.dispatch(caller, message)
        except Exception as error:
            self.log_fault(type(message).__name__, error)

    def dispatch(self, caller: PeerIdentity, message: msgspec.Struct) -> None:
        """Hand a message to the part that its module in `messages` belongs to.

        Proxies may only send messages of `proxy_link`; all else of them is dropped.
        """
        owner = type(message).__module__
        if caller.kind == PROXY:
            if owner == proxy_link.__name__:
                self.controller.receive_from_proxy(caller.name, message)
        elif owner == replication.__name__:
            self.store.receive_message(caller.name, message)
        elif owner == forwarding.__name__:
            self.control_api.handle_message(caller.name, message)
        elif owner == registry_sync.__name__:
            self.registry.receive(caller.name, message)
            self.controller.receive_from_control_node(caller.name, message)

    def link_up(self, caller: PeerIdentity) -> None:
        """A node has dialled this one."""
        if caller.kind == CONTROL_NODE:
            self.links.redial_if_stuck(caller.name)
            self.controller.control_node_linked(caller.name)
        elif caller.kind == PROXY:
            # An earlier link of the same proxy is replaced, and `link_lost` isn't called for it.
            self.controller.proxy_linked(caller.name)

    def reached(self, ip: str) -> None:
        """A dial to another control node has succeeded."""
        self.store.on_peer_connected(ip)

    def link_lost(self, caller: PeerIdentity) -> None:
        """A link that a node had dialled has ended."""
        if caller.kind == PROXY:
            self.controller.proxy_lost(caller.name)


async def run(settings: ProcessSettings) -> None:
    """Run a control node until SIGTERM or SIGINT."""
    await ControlNode(settings).run()

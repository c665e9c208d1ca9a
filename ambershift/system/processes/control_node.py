"""The control node: items, registers, backends, proxies and tables, on its sockets and its disk."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time

import msgspec

from ambershift.system.consensus.cache_file import CacheFile
from ambershift.system.consensus.replicated_store import ReplicatedStore
from ambershift.system.control_api.application import ControlApi
from ambershift.system.control_api.context import NodeContext
from ambershift.system.coordination.value_deltas import value_delta_codec
from ambershift.system.distribution.controller import Controller
from ambershift.system.messages import forwarding, proxy_link, registry_sync, replication
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE
from ambershift.system.processes.http_server import (
    bind_listeners,
    create_server,
    install_signal_handlers,
    try_bind_listener,
)
from ambershift.system.processes.logs import EventLog
from ambershift.system.processes.metrics import CONTROL_PORT, PORT_TAKEN, Metric, MetricsMiddleware
from ambershift.system.processes.settings_watch import POLL_INTERVAL_S as FILE_S
from ambershift.system.processes.settings_watch import SettingsFileWatch
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.settings.local import Local, SettingsError, read_local
from ambershift.system.transport.link_path import CONTROL_NODE, PROXY, Caller
from ambershift.system.transport.links import Links
from ambershift.system.transport.traffic_meter import Meter, Place

BACKENDS_CACHE_FILE = "backends.list"  # The file beside the store that the list is recalled from.
TICK_INTERVAL_S, KEEP_ALIVE_S, SHUTDOWN_TIMEOUT_S = 0.05, 120, 1.0
LEAVE_TIMEOUT_S = 1.5  # How long an end waits until the voters are complete without this machine.


class ControlNode:
    def __init__(self, settings: Local) -> None:
        self.settings = settings
        steady = time.monotonic_ns
        self.log = EventLog(settings.name, steady)
        me = Caller(CONTROL_NODE, settings.ip, secrets.token_hex(4))
        self.meter = Meter((settings.zone, settings.region), self.locate)
        self.links = Links(
            me,
            settings.internal[0],
            self.receive,
            self.link_up,
            self.link_lost,
            self.log,
            self.meter,
            self.reached,
        )
        send = self.links.send
        self.store = ReplicatedStore(
            settings, send, steady, secrets.randbits(62), value_delta_codec, self.log
        )
        self.cache_file = (
            CacheFile(settings.folder, BACKENDS_CACHE_FILE) if settings.folder is not None else None
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
        self.stop_requested, self.settings_watch = asyncio.Event(), SettingsFileWatch(settings.file)

    def send_proxy(self, name: str, message: msgspec.Struct) -> None:
        self.links.reply(PROXY, name, message)

    def locate(self, peer: str) -> Place | None:
        """Where a control node (by its ip) or a proxy linked here (by its name) is."""
        if hello := self.controller.hellos.get(peer):
            return hello.zone, self.settings.zones.get(hello.zone, "")
        return next(
            ((core.zone, core.region) for core in self.store.control_nodes() if core.ip == peer), None
        )

    async def run(self) -> None:
        install_signal_handlers(self.stop_requested.set, self.reload_settings)
        listen = self.settings.listen
        sockets = bind_listeners([listen[key] for key in ("Control", "Directory") if key in listen])
        metrics = f"{self.settings.ip}:{CONTROL_PORT}"
        if (extra := try_bind_listener(metrics)) is not None:
            sockets.append(extra)
        else:
            self.log(PORT_TAKEN, {"address": metrics})
        self.log(1, {"role": "control", "zone": self.settings.zone, "initial": self.settings.initial})
        await self.store.start()
        self.registry.load_snapshot(
            await asyncio.to_thread(self.cache_file.read) if self.cache_file else None
        )
        await self.links.open(self.settings.ip)
        server = create_server(
            MetricsMiddleware(self.control_api, CONTROL_PORT, self.metrics), KEEP_ALIVE_S, SHUTDOWN_TIMEOUT_S
        )
        tasks = [asyncio.ensure_future(one) for one in (server.serve(sockets=sockets), self.run_ticks())]
        await self.stop_requested.wait()
        self.log(2, {})
        self.store.retire()
        self.control_api.close()
        server.should_exit = True
        left = asyncio.ensure_future(self.store.wait_until_left(LEAVE_TIMEOUT_S))
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(tasks[0], 2 * SHUTDOWN_TIMEOUT_S)
        self.log(209, {"left": await left})
        for task in tasks:
            task.cancel()
        await self.links.close()
        self.store.close()
        if self.cache_file:
            self.cache_file.close()
        self.log(3, {})

    def metrics(self) -> list[Metric]:
        """What metrics tell of this control node."""
        ledger, links = self.store, self.links
        items = ledger.items()
        versions = [one.version[0] for one in items.values() if one.kind in (ROUTE, SERVICE, LIMITS)]
        members = ledger.membership_status()
        waiting = sum(one.size for one in (*links.dialled.values(), *links.accepted.values()))
        return [
            Metric("configuration_version", "highest version of the operator here", max(versions, default=0)),
            Metric("contact_age_seconds", "age of the proof of contact", ledger.contact_age_ms() / 1000),
            Metric("in_touch", "whether a majority was heard lately", float(ledger.has_quorum_contact())),
            Metric("epoch", "epoch of the voters", members.epoch if members else 0),
            Metric("voters", "voters of this epoch", len(members.voters) if members else 0),
            Metric(
                "copies_complete", "voters known to be complete", members.complete_count if members else 0
            ),
            Metric("items", "items held here", len(items)),
            Metric("proxies_linked", "proxies that this node looks after", len(self.controller.hellos)),
            Metric("backends", "backends on the list", len(self.registry.endpoints())),
            Metric("links_waiting_bytes", "bytes that wait for all links", waiting),
        ]

    def reload_settings(self) -> None:
        try:
            self.settings = read_local(self.settings.file)
        except SettingsError as why:
            self.log(5, {"reason": str(why)})
            return
        self.log(4, {"seeds": len(self.settings.seeds)})

    async def run_ticks(self) -> None:
        due = 0.0
        while True:
            if time.monotonic() >= due:
                due = time.monotonic() + FILE_S
                if self.settings_watch.has_changed():
                    self.reload_settings()
            # Away from the tick a part's fault must not stop the others' time.
            for part in (self.store.tick, self.registry.tick, self.controller.tick, self.control_api.tick):
                try:
                    part()
                except Exception as why:  # noqa: BLE001
                    self.log_fault("tick", why)
            if (told := self.meter.due(time.monotonic_ns())) is not None:
                self.log(105, {**told})
            self.links.want([*self.settings.seed_ips, *(core.ip for core in self.store.control_nodes())])
            await asyncio.sleep(TICK_INTERVAL_S)

    def log_fault(self, event: str, error: Exception) -> None:
        frame = error.__traceback__
        while frame and frame.tb_next:
            frame = frame.tb_next
        where = f"{frame.tb_frame.f_code.co_filename.rpartition('/')[2]}:{frame.tb_lineno}" if frame else ""
        self.log(6, {"on": event, "error": repr(error)[:200], "where": where})

    def receive(self, caller: Caller, message: msgspec.Struct) -> None:
        try:
            self.dispatch(caller, message)
        except Exception as why:  # noqa: BLE001
            self.log_fault(type(message).__name__, why)

    def dispatch(self, caller: Caller, message: msgspec.Struct) -> None:
        owner = type(message).__module__
        if caller.kind == PROXY:
            if owner == proxy_link.__name__:
                self.controller.hear_proxy(caller.name, message)
        elif owner == replication.__name__:
            self.store.hear(caller.name, message)
        elif owner == forwarding.__name__:
            self.control_api.handle_message(caller.name, message)
        elif owner == registry_sync.__name__:
            self.registry.receive(caller.name, message)
            self.controller.hear_core(caller.name, message)

    def link_up(self, caller: Caller) -> None:
        if caller.kind == CONTROL_NODE:
            self.links.there(caller.name)
            self.controller.core_linked(caller.name)
        elif caller.kind == PROXY:
            # Links give an old one up without a word when its proxy dials anew.
            self.controller.proxy_linked(caller.name)

    def reached(self, ip: str) -> None:
        self.store.reached(ip)

    def link_lost(self, caller: Caller) -> None:
        if caller.kind == PROXY:
            self.controller.proxy_lost(caller.name)


async def run(settings: Local) -> None:
    await ControlNode(settings).run()

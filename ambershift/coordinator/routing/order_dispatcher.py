"""OrderDispatcher: gives each order of a reply to whoever carries it out."""

from __future__ import annotations

import asyncio

from ambershift import interface as api
from ambershift.coordinator.protocol.relay import RelayOrder
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.routing.discovery_watcher import DiscoveryWatcher
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.policy_driver import PolicyDriver
from ambershift.coordinator.routing.prober import Prober
from ambershift.coordinator.routing.relay_client import RelayClient


class OrderDispatcher:
    def __init__(
        self,
        route: PolicyDriver,
        relay: RelayClient,
        watcher: DiscoveryWatcher,
        prober: Prober,
        admit: Admission,
        event_log: EventLog,
    ) -> None:
        self.policy_driver, self.relay, self.watcher, self.prober = route, relay, watcher, prober
        self.admit, self.event_log = admit, event_log

    def dispatch(self, orders: list[api.Order]) -> None:
        reply, forgotten = list[RelayOrder](), list[int]()
        for order in orders:
            match order:
                case api.StartTimer():
                    loop = asyncio.get_running_loop()
                    loop.call_later(order.after / 1e9, self.policy_driver.submit, api.TimerFired(order.token))
                case api.Watch():
                    self.watcher.watch(order.on)
                case api.Fetch():
                    self.watcher.fetch()
                case api.Probe():
                    self.prober.probe(order.server)
                case api.Forget():
                    forgotten.append(order.server)
                case api.Note():
                    self.event_log.record("module", text=order.text[:1000])
                case api.SendToPeer():
                    self.event_log.record(
                        "untold", why="the protocol has no way from coordinator to coordinator"
                    )
                case _:
                    reply.append(order)
        if reply:
            self.relay.push(reply)
        # A front above keeps wishes and pictures by index, and shows names for them.
        for server in forgotten if not self.policy_driver.tap else ():
            self.admit.forget(server)

"""Passes each order of the policy module to the part that carries it out."""

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

NS_PER_S = 1e9
MAX_NOTE_LENGTH = 1000


class OrderDispatcher:
    """Dispatches the orders of one reply; those for the relay stay together."""

    def __init__(
        self,
        driver: PolicyDriver,
        relay_client: RelayClient,
        watcher: DiscoveryWatcher,
        prober: Prober,
        admission: Admission,
        event_log: EventLog,
    ) -> None:
        self.driver, self.relay_client, self.watcher, self.prober = driver, relay_client, watcher, prober
        self.admission, self.event_log = admission, event_log

    def dispatch(self, orders: list[api.Order]) -> None:
        """Dispatch the orders of one reply."""
        relay_orders, forgotten = list[RelayOrder](), list[int]()
        for order in orders:
            match order:
                case api.StartTimer():
                    loop = asyncio.get_running_loop()
                    fired = api.TimerFired(order.token)
                    loop.call_later(order.after / NS_PER_S, self.driver.submit, fired)
                case api.Watch():
                    self.watcher.watch(order.on)
                case api.Fetch():
                    self.watcher.fetch()
                case api.Probe():
                    self.prober.probe(order.server)
                case api.Forget():
                    forgotten.append(order.server)
                case api.Note():
                    self.event_log.record("module", text=order.text[:MAX_NOTE_LENGTH])
                case api.SendToPeer():
                    why = "the protocol has no way from coordinator to coordinator"
                    self.event_log.record("untold", why=why)
                case _:
                    relay_orders.append(order)
        if relay_orders:
            self.relay_client.push(relay_orders)
        # A tap keeps state by index and shows the names behind it, so with one no index is given up.
        for server in forgotten if not self.driver.tap else ():
            self.admission.forget(server)

"""Send: gives each order of a reply to whoever carries it out."""

from __future__ import annotations

import asyncio

from ambershift import interface as api
from ambershift.coordinator.protocol.relay import RelayOrder
from ambershift.coordinator.routing.admit import Admit
from ambershift.coordinator.routing.book import Book
from ambershift.coordinator.routing.probe import Prober
from ambershift.coordinator.routing.relay import Relay
from ambershift.coordinator.routing.route import Route
from ambershift.coordinator.routing.watch import Watcher


class Send:
    def __init__(
        self, route: Route, relay: Relay, watcher: Watcher, prober: Prober, admit: Admit, book: Book
    ) -> None:
        self.route, self.relay, self.watcher, self.prober = route, relay, watcher, prober
        self.admit, self.book = admit, book

    def carry(self, orders: list[api.Order]) -> None:
        reply, forgotten = list[RelayOrder](), list[int]()
        for order in orders:
            match order:
                case api.StartTimer():
                    loop = asyncio.get_running_loop()
                    loop.call_later(order.after / 1e9, self.route.put, api.TimerFired(order.token))
                case api.Watch():
                    self.watcher.watch(order.on)
                case api.Fetch():
                    self.watcher.fetch()
                case api.Probe():
                    self.prober.probe(order.server)
                case api.Forget():
                    forgotten.append(order.server)
                case api.Note():
                    self.book.note("module", text=order.text[:1000])
                case api.SendToPeer():
                    self.book.note("untold", why="the protocol has no way from coordinator to coordinator")
                case _:
                    reply.append(order)
        if reply:
            self.relay.push(reply)
        # A front above keeps wishes and pictures by index, and shows names for them.
        for server in forgotten if not self.route.tap else ():
            self.admit.forget(server)

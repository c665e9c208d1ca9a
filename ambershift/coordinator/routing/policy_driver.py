"""Drives the policy module: passes it events that arrive together in one step, and hands its orders on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from ambershift import interface as api
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.tap import Tap

SLOW_STEP_NS = 50_000_000
NS_PER_MS = 1e6


class Module(Protocol):
    """The policy module."""

    def step(self, now: int, events: Sequence[api.Event]) -> list[api.Order]:
        """Process events and return the orders that follow from them."""


class PolicyDriver:
    """Collects events and passes all that one turn of the event loop brings to the module in one step."""

    def __init__(self, module: Module, now: Callable[[], int], event_log: EventLog) -> None:
        self.module, self.now, self.event_log = module, now, event_log
        self.on_orders: Callable[[list[api.Order]], None] | None = None
        self.events = list[api.Event]()
        self.tap: Tap | None = None

    def submit(self, event: api.Event) -> None:
        """Add an event to the next step."""
        if self.tap and isinstance(event, api.Listed):
            event = self.tap.listed(event)
        # The step runs after all that this turn of the loop reads: one reply serves all of it.
        if not self.events:
            asyncio.get_running_loop().call_soon(self.run_step)
        self.events.append(event)

    def run_step(self) -> None:
        """Run one step with the collected events."""
        events, self.events = self.events, []
        started = self.now()
        try:
            if self.tap:
                self.tap.stepped(started, events)
            orders = self.module.step(started, events)
        except Exception as error:  # One failed step must not end a coordinator that nothing can replace.
            self.event_log.record_failure("step", error)
            return
        self.event_log.count("steps")
        if (duration_ns := self.now() - started) > SLOW_STEP_NS:
            self.event_log.record("slow_step", ms=duration_ns / NS_PER_MS, events=len(events))
        if orders and self.on_orders:
            self.on_orders(orders)

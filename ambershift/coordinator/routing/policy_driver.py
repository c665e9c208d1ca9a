"""PolicyDriver: hands the module all events that came together, in one step, and passes on its orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from ambershift import interface as api
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.tap import Tap


class Module(Protocol):
    def step(self, now: int, events: Sequence[api.Event]) -> list[api.Order]: ...


class PolicyDriver:
    def __init__(self, module: Module, now: Callable[[], int], event_log: EventLog) -> None:
        self.module, self.now, self.event_log = module, now, event_log
        self.on_orders: Callable[[list[api.Order]], None] | None = None
        self.events = list[api.Event]()
        self.tap: Tap | None = None

    def submit(self, event: api.Event) -> None:
        if self.tap and isinstance(event, api.Listed):
            event = self.tap.listed(event)
        # All that this turn of the loop reads is gathered before the step: one message serves it all.
        if not self.events:
            asyncio.get_running_loop().call_soon(self.run_step)
        self.events.append(event)

    def run_step(self) -> None:
        events, self.events = self.events, []
        started = self.now()
        try:
            if self.tap:
                self.tap.stepped(started, events)
            orders = self.module.step(started, events)
        except Exception as error:  # One bad step must not end a coordinator that others can't replace.
            self.event_log.record_failure("step", error)
            return
        self.event_log.count("steps")
        if (took := self.now() - started) > 50_000_000:
            self.event_log.record("slow_step", ms=took / 1e6, events=len(events))
        if orders and self.on_orders:
            self.on_orders(orders)

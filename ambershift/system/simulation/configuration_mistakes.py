"""Mistakes in how configurations are agreed. See `mistakes`."""

from __future__ import annotations

import asyncio
from typing import Any

from ambershift.system.configuration import agreement
from ambershift.system.configuration.orders import Order
from ambershift.system.control_api.configuration_calls import ConfigurationCalls

ALL_READ = 1 << 60


def decided_here(real: Any) -> Any:
    """By the newest copies, but without the register: two machines may decide at once."""

    async def agreed(self: ConfigurationCalls, order: Order, until: int) -> Any:
        await self._ledger.freshen(self._left(until))
        progress = agreement.Progress()
        _, outcome = agreement.decide(order, agreement.Agreement(0, ()), progress, self._ledger.items())
        return outcome

    return agreed


def any_copy_will_do(real: Any) -> Any:
    def change_of(order: Order, progress: agreement.Progress, held: Any) -> Any:
        progress.read = ALL_READ
        return real(order, progress, held)

    return change_of


def acknowledged_before_stored(real: Any) -> Any:
    async def stored(self: ConfigurationCalls, outcome: agreement.Accepted, until: int) -> None:
        storing = asyncio.ensure_future(real(self, outcome, until))
        storing.add_done_callback(lambda done: done.cancelled() or done.exception())

    return stored


def counted_before_stored(real: Any) -> Any:
    async def stored(self: ConfigurationCalls, outcome: agreement.Accepted, until: int) -> None:
        self._progress.has_stored(outcome.end)
        await real(self, outcome, until)

    return stored


def refusal_forgotten(real: Any) -> Any:
    return lambda before, refusal: before


def valid_by_itself(real: Any) -> Any:
    """What was agreed but isn't stored here yet is not looked at."""
    return lambda recent, held: {}


def digests_alike(real: Any) -> Any:
    return lambda item: agreement.Superseded(item.kind, item.name, item.version[0], b"")

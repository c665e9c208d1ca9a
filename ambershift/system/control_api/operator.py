"""The operator's calls: configurations taken and read back, zones emptied and taken back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from ambershift.system.configuration.faults import Fault, InvalidError
from ambershift.system.configuration.layout import write_back
from ambershift.system.configuration.orders import Order, read_order
from ambershift.system.contracts import Ledger, NotDoneError, NotHeldError
from ambershift.system.control_api import events
from ambershift.system.coordination.replies import Reply, reply
from ambershift.system.messages.items import ZONE, Item
from ambershift.system.settings.local import Local
from ambershift.system.steps import SECOND

PATIENCE = 0.85  # Seconds; a caller gives up after one of silence.
PATIENCE_MOST = 3.0
PATIENCE_ITEM = 0.002  # Callers wait longer for large bodies.

UNCLEAR = reply(504, Cause="may have been taken or not; send it again")
NOT_DONE = reply(503, Cause="not done; send it again")


class Operator:
    def __init__(
        self,
        settings: Local,
        ledger: Ledger,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self._settings, self._ledger, self._steady, self._log = settings, ledger, steady, log
        self._evacuating = asyncio.Lock()
        self._counters: dict[str, int] = {}

    async def modify(self, body: bytes) -> Reply:
        begun = self._steady()
        try:
            order = read_order(body)
            patience = min(PATIENCE_MOST, PATIENCE + PATIENCE_ITEM * len(order.items))
            await self._check(order, patience / 2)
        except InvalidError as why:
            return self._invalid(why.faults)
        except NotHeldError:
            return NOT_DONE  # Whether a service is known can't be told: nothing was put.
        items = order.over(self._ledger.items())
        if not items:
            return reply(200)
        if not self._ledger.in_touch():
            return NOT_DONE
        try:
            await self._ledger.put(items, patience - (self._steady() - begun) / SECOND)
        except NotHeldError as why:
            self._log(events.CONFIGURATION_UNCLEAR, {"reason": why.reason, "items": len(items)})
            return UNCLEAR
        except NotDoneError as why:
            self._log(events.CONFIGURATION_UNCLEAR, {"reason": why.reason, "items": 0})
            return NOT_DONE
        self._log(events.CONFIGURATION_TAKEN, {"items": len(items)})
        return reply(200)

    async def _check(self, order: Order, within: float) -> None:
        """Raises `InvalidError`, or `NotHeldError` where what others hold would decide it."""
        if not order.unknown(self._ledger.items()):
            return
        await self._ledger.freshen(within)
        found = order.unknown(self._ledger.items())
        if found:
            raise InvalidError(found)

    def _invalid(self, found: tuple[Fault, ...]) -> Reply:
        reason = "; ".join(str(fault) for fault in found[:20])
        self._log(events.CONFIGURATION_INVALID, {"reason": reason})
        return reply(400, Cause=reason)

    async def retrieve(self) -> Reply:
        if not self._ledger.in_touch():
            return NOT_DONE
        try:
            await self._ledger.freshen(PATIENCE)
        except NotHeldError:
            return NOT_DONE
        return Reply(200, msgspec.json.encode(write_back(self._ledger.items())))

    async def evacuate(self, zone: str, out: bool) -> Reply:
        """Send nothing more to a zone's backends, or (`out` False) send there again."""
        if zone not in self._settings.zones:
            return reply(404, Cause="no such zone")
        if not self._ledger.in_touch():
            return NOT_DONE
        begun = self._steady()
        try:
            async with asyncio.timeout(PATIENCE), self._evacuating:
                await self._ledger.freshen(PATIENCE - (self._steady() - begun) / SECOND)
                item = self._evacuation(zone, out)
        except (TimeoutError, NotHeldError):
            return NOT_DONE
        try:
            await self._ledger.put([item], PATIENCE - (self._steady() - begun) / SECOND)
        except NotHeldError as why:
            self._log(events.EVACUATION_UNCLEAR, {"zone": zone, "out": out, "reason": why.reason})
            return UNCLEAR
        except NotDoneError:
            return NOT_DONE
        self._log(events.EVACUATION_TAKEN, {"zone": zone, "out": out})
        return reply(200)

    def _evacuation(self, zone: str, out: bool) -> Item:
        """Above all that was acknowledged, and above all that this machine has ever made."""
        held = self._ledger.items().get((ZONE, zone))
        counter = max(held.version[0] if held else 0, self._counters.get(zone, 0)) + 1
        self._counters[zone] = counter
        return Item(ZONE, zone, (counter, self._settings.ip), b"true" if out else b"false")

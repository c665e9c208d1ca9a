"""The operator's evacuations: a zone is emptied, and taken back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ambershift.system.control_api import log_events
from ambershift.system.control_api.configuration_calls import NOT_DONE, PATIENCE, UNCLEAR
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError, ReplicatedState
from ambershift.system.messages.items import ZONE, Item
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_SECOND


class Evacuations:
    def __init__(
        self,
        settings: Local,
        ledger: ReplicatedState,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self._settings, self._ledger, self._steady, self._log = settings, ledger, steady, log
        self._evacuating = asyncio.Lock()
        self._counters: dict[str, int] = {}

    async def evacuate(self, zone: str, out: bool) -> Reply:
        """Send nothing more to a zone's backends, or (`out` False) send there again."""
        if zone not in self._settings.zones:
            return json_reply(404, Cause="no such zone")
        if not self._ledger.has_quorum_contact():
            return NOT_DONE
        begun = self._steady()
        try:
            async with asyncio.timeout(PATIENCE / NS_PER_SECOND), self._evacuating:
                await self._ledger.read_quorum((begun + PATIENCE - self._steady()) / NS_PER_SECOND)
                item = self._evacuation(zone, out)
        except (TimeoutError, OutcomeUnknownError):
            return NOT_DONE
        try:
            await self._ledger.write([item], (begun + PATIENCE - self._steady()) / NS_PER_SECOND)
        except OutcomeUnknownError as why:
            self._log(log_events.EVACUATION_UNCLEAR, {"zone": zone, "out": out, "reason": why.reason})
            return UNCLEAR
        except NotAppliedError:
            return NOT_DONE
        self._log(log_events.EVACUATION_TAKEN, {"zone": zone, "out": out})
        return json_reply(200)

    def _evacuation(self, zone: str, out: bool) -> Item:
        """Above all that was acknowledged, and above all that this machine has ever made."""
        held = self._ledger.items().get((ZONE, zone))
        counter = max(held.version[0] if held else 0, self._counters.get(zone, 0)) + 1
        self._counters[zone] = counter
        return Item(ZONE, zone, (counter, self._settings.ip), b"true" if out else b"false")

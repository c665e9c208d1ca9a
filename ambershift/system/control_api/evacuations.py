"""The operator's evacuations: a zone is emptied, and taken back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ambershift.system.control_api import log_events
from ambershift.system.control_api.configuration_calls import CALL_TIMEOUT_NS, NOT_APPLIED, OUTCOME_UNKNOWN
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
        self._write_lock = asyncio.Lock()
        self._counters: dict[str, int] = {}

    async def set_evacuated(self, zone: str, evacuated: bool) -> Reply:
        """Send nothing more to a zone's backends, or (`out` False) send there again."""
        if zone not in self._settings.zones:
            return json_reply(404, Cause="no such zone")
        if not self._ledger.has_quorum_contact():
            return NOT_APPLIED
        begun = self._steady()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_NS / NS_PER_SECOND), self._write_lock:
                await self._ledger.read_quorum((begun + CALL_TIMEOUT_NS - self._steady()) / NS_PER_SECOND)
                item = self._next_item(zone, evacuated)
        except (TimeoutError, OutcomeUnknownError):
            return NOT_APPLIED
        try:
            await self._ledger.write([item], (begun + CALL_TIMEOUT_NS - self._steady()) / NS_PER_SECOND)
        except OutcomeUnknownError as why:
            self._log(
                log_events.EVACUATION_OUTCOME_UNKNOWN, {"zone": zone, "out": evacuated, "reason": why.reason}
            )
            return OUTCOME_UNKNOWN
        except NotAppliedError:
            return NOT_APPLIED
        self._log(log_events.EVACUATION_APPLIED, {"zone": zone, "out": evacuated})
        return json_reply(200)

    def _next_item(self, zone: str, out: bool) -> Item:
        """Above all that was acknowledged, and above all that this machine has ever made."""
        held = self._ledger.items().get((ZONE, zone))
        counter = max(held.version[0] if held else 0, self._counters.get(zone, 0)) + 1
        self._counters[zone] = counter
        return Item(ZONE, zone, (counter, self._settings.ip), b"true" if out else b"false")

"""The operator's evacuations: a zone gets no more traffic, and gets it again."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from ambershift.system.control_api import log_events
from ambershift.system.control_api.configuration_calls import CALL_TIMEOUT_NS, NOT_APPLIED, OUTCOME_UNKNOWN
from ambershift.system.control_api.context import NodeContext
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.items import ZONE, Item
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


@dataclass(frozen=True, slots=True)
class EvacuationCall:
    """A call as it was read.

    Attributes:
        zone: The zone that it is about.
        evacuated: Whether the zone gets no more traffic, or gets it again.
        read_at: When it was read (monotonic clock, ns).
    """

    zone: str
    evacuated: bool
    read_at: int


class Evacuations:
    """Writes one replicated item for each zone; of two writes, the higher version wins."""

    def __init__(self, context: NodeContext, settings: ProcessSettings) -> None:
        self._settings = settings
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._write_lock = asyncio.Lock()
        self._counters: dict[str, int] = {}

    async def execute(self, call: EvacuationCall) -> Reply:
        """Send nothing more to a zone's backends, or send there again."""
        if call.zone not in self._settings.zones:
            return json_reply(HTTPStatus.NOT_FOUND, Cause="no such zone")
        if not self._store.has_quorum_contact():
            return NOT_APPLIED
        deadline = self._monotonic_ns() + CALL_TIMEOUT_NS
        try:
            async with asyncio.timeout(CALL_TIMEOUT_NS / NS_PER_SECOND), self._write_lock:
                await self._store.read_quorum(self._remaining_s(deadline))
                item = self._next_item(call.zone, call.evacuated)
        except (TimeoutError, OutcomeUnknownError):
            return NOT_APPLIED
        try:
            await self._store.write([item], self._remaining_s(deadline))
        except OutcomeUnknownError as error:
            fields = {**self._log_fields(call, item), "reason": error.reason}
            self._log(log_events.EVACUATION_OUTCOME_UNKNOWN, fields)
            return OUTCOME_UNKNOWN
        except NotAppliedError:
            return NOT_APPLIED
        self._log(log_events.EVACUATION_APPLIED, self._log_fields(call, item))
        return json_reply(HTTPStatus.OK)

    def _log_fields(self, call: EvacuationCall, item: Item) -> dict[str, object]:
        return {
            "zone": call.zone,
            "evacuated": call.evacuated,
            "version": item.version[0],
            "read_ms_ago": (self._monotonic_ns() - call.read_at) // NS_PER_MS,
        }

    def _remaining_s(self, deadline: int) -> float:
        return (deadline - self._monotonic_ns()) / NS_PER_SECOND

    def _next_item(self, zone: str, evacuated: bool) -> Item:
        """An item above all that were acknowledged, and above all that this node has ever made."""
        stored = self._store.items().get((ZONE, zone))
        counter = max(stored.version[0] if stored else 0, self._counters.get(zone, 0)) + 1
        self._counters[zone] = counter
        return Item(ZONE, zone, (counter, self._settings.ip), b"true" if evacuated else b"false")

"""The operator's evacuations: a zone gets no more traffic, and gets it again.

Calls carry no version: of two, the one that is executed later wins. So a call is only executed while its
caller waits for it. A caller that got no answer has closed its connection, and may have ordered otherwise at
another node since.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from ambershift.system.control_api import log_events
from ambershift.system.control_api.asgi import CallerConnection, CallerDisconnectedError
from ambershift.system.control_api.configuration_calls import CALL_TIMEOUT_NS, NOT_APPLIED, OUTCOME_UNKNOWN
from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.pause_detector import PauseDetector
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.items import ZONE, Item
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# After a partition TCP retransmits what wasn't acknowledged: first a request, and when that is acknowledged,
# a round trip later, the end of its connection. This is longer than a round trip between regions, and leaves
# a caller that waits for a second the time of a quorum read and a write.
DISCONNECT_WAIT_S = 0.3


class DropReason(StrEnum):
    """Why a call is not applied, and never will be."""

    CALLER_DISCONNECTED = "the caller has disconnected"
    PROCESS_STOPPED = "this process was stopped meanwhile"
    NO_QUORUM_CONTACT = "too few control nodes are in contact"
    NOT_STORED = "no control node has stored it"


@dataclass(eq=False)
class CallDroppedError(Exception):
    """The call isn't applied, and never will be."""

    reason: DropReason

    def __str__(self) -> str:
        return f"Not applied: {self.reason}."


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

    def __init__(
        self, context: NodeContext, settings: ProcessSettings, pause_detector: PauseDetector
    ) -> None:
        self._settings = settings
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._pause_detector = pause_detector
        self._write_lock = asyncio.Lock()
        self._counters: dict[str, int] = {}

    async def execute(self, call: EvacuationCall, connection: CallerConnection) -> Reply:
        """Send nothing more to a zone's backends, or send there again.

        Raises:
            CallerDisconnectedError: The caller has left; the call isn't applied.
        """
        if call.zone not in self._settings.zones:
            return json_reply(HTTPStatus.NOT_FOUND, Cause="no such zone")
        deadline = call.read_at + CALL_TIMEOUT_NS
        try:
            item = await self._make_item(call, connection, deadline)
            await self._store.write([item], self._remaining_s(deadline))
        except CallDroppedError as error:
            return self._drop(call, error.reason)
        except NotAppliedError:
            return self._drop(call, DropReason.NOT_STORED)
        except OutcomeUnknownError as error:
            fields = {**self._log_fields(call), "version": item.version[0], "reason": error.reason}
            self._log(log_events.EVACUATION_OUTCOME_UNKNOWN, fields)
            return OUTCOME_UNKNOWN
        fields = {**self._log_fields(call), "version": item.version[0]}
        self._log(log_events.EVACUATION_APPLIED, fields)
        return json_reply(HTTPStatus.OK)

    async def _make_item(self, call: EvacuationCall, connection: CallerConnection, deadline: int) -> Item:
        """The item to write: newer than all that were acknowledged before, if the caller is still there.

        Raises:
            CallDroppedError: The call must not be executed.
        """
        self._ensure_current(call, connection)
        await connection.wait_closed(DISCONNECT_WAIT_S)
        self._ensure_current(call, connection)
        try:
            async with asyncio.timeout(self._remaining_s(deadline)), self._write_lock:
                await self._store.read_quorum(self._remaining_s(deadline))
                # The caller may have left during the read, and ordered otherwise since.
                self._ensure_current(call, connection)
                return self._next_item(call.zone, call.evacuated)
        except (TimeoutError, OutcomeUnknownError) as error:
            raise CallDroppedError(DropReason.NO_QUORUM_CONTACT) from error

    def _ensure_current(self, call: EvacuationCall, connection: CallerConnection) -> None:
        """Check that the caller may still wait for this call.

        Raises:
            CallDroppedError: It doesn't, or the call can't be executed anyway.
        """
        if connection.is_closed():
            raise CallDroppedError(DropReason.CALLER_DISCONNECTED)
        if self._pause_detector.was_stopped_since(call.read_at, self._monotonic_ns()):
            raise CallDroppedError(DropReason.PROCESS_STOPPED)
        if not self._store.has_quorum_contact():
            raise CallDroppedError(DropReason.NO_QUORUM_CONTACT)

    def _drop(self, call: EvacuationCall, reason: DropReason) -> Reply:
        """The reply to a call that isn't applied.

        Raises:
            CallerDisconnectedError: Nobody waits for a reply.
        """
        self._log(log_events.EVACUATION_CALL_DROPPED, {**self._log_fields(call), "reason": reason.value})
        if reason is DropReason.CALLER_DISCONNECTED:
            raise CallerDisconnectedError
        return NOT_APPLIED

    def _log_fields(self, call: EvacuationCall) -> dict[str, object]:
        read_ms_ago = (self._monotonic_ns() - call.read_at) // NS_PER_MS
        return {"zone": call.zone, "evacuated": call.evacuated, "read_ms_ago": read_ms_ago}

    def _remaining_s(self, deadline: int) -> float:
        return (deadline - self._monotonic_ns()) / NS_PER_SECOND

    def _next_item(self, zone: str, evacuated: bool) -> Item:
        """An item above all that were acknowledged, and above all that this node has ever made."""
        stored = self._store.items().get((ZONE, zone))
        counter = max(stored.version[0] if stored else 0, self._counters.get(zone, 0)) + 1
        self._counters[zone] = counter
        return Item(ZONE, zone, (counter, self._settings.ip), b"true" if evacuated else b"false")

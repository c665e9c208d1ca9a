"""Watch: asks discovery for the list and its changes, and tells the module what came of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.routing.decoding import reading
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.http_client import HttpClient
from ambershift.coordinator.transport.disconnect import (
    DISCONNECT_EFFECTS,
    DisconnectedError,
    DisconnectReason,
)

# A call is told as done 6 s after it at the latest, one that may wait 2 s after the wait, whether its answer
# arrived or not. Answers come within milliseconds, so half of that leaves time to ask again.
ANSWER_LIMIT, AFTER_WAIT = 3.0, 1.0
# Between calls of one watch may lie 200 ms. Against a storm where every call is answered at once.
LEAST_GAP = 0.05
SECOND = 1_000_000_000


class DiscoveryWatcher:
    """Asks again right after each answer, so that one watch goes on; when to ask again after a failure is
    the module's to say. A watch waits a fifth of the time in which an unasked change counts as told.
    """

    def __init__(
        self,
        caller: HttpClient,
        version: int,
        told_after: int,
        admit: Admission,
        put: Callable[[api.Event], None],
        event_log: EventLog,
    ) -> None:
        self.caller, self.version, self.admit, self.put, self.event_log = (
            caller,
            version,
            admit,
            put,
            event_log,
        )
        self.wait = min(told_after / 5 / SECOND, 60.0)
        self.watching, self.fetching, self.first = False, False, False
        self.wake = asyncio.Event()

    def watch(self, on: bool) -> None:
        self.watching, self.first = on, True
        self.wake.set()

    def fetch(self) -> None:
        self.fetching = True
        self.wake.set()

    async def run(self) -> None:
        while True:
            self.wake.clear()
            if self.fetching:
                self.fetching = False
                await self.ask(discovery.WHOLE, ANSWER_LIMIT, True)
            elif self.watching:
                target = discovery.watch(self.version, round(self.wait * 1000))
                started = asyncio.get_running_loop().time()
                if await self.ask(target, self.wait + AFTER_WAIT, self.first):
                    self.first = False
                else:
                    self.watching = False
                if asyncio.get_running_loop().time() < started + LEAST_GAP:
                    await asyncio.sleep(LEAST_GAP)
            else:
                await self.wake.wait()

    async def ask(self, target: str, limit: float, tell: bool) -> bool:
        try:
            answer = await self.caller.call(target, limit)
            if answer.status != 200:
                how = DisconnectReason.TURNED_AWAY if answer.status == 503 else DisconnectReason.UNREADABLE
                raise DisconnectedError(how, f"status {answer.status}")
            with reading():
                listing = discovery.parse(answer.body)
            if not listing.full and listing.version < self.version:
                detail = f"changes to version {listing.version}, but {self.version} is held"
                raise DisconnectedError(DisconnectReason.UNREADABLE, detail)
        except DisconnectedError as end:
            self.event_log.record("list_failed", how=end.reason.name.lower(), detail=end.detail)
            if DISCONNECT_EFFECTS[end.reason].list_failed:
                self.put(api.ListFailed())
            return False
        self.version = listing.version
        if tell or listing.full or listing.servers:
            self.event_log.record(
                "listed",
                version=listing.version,
                full=listing.full,
                entries=len(listing.servers),
                changes={one.id: one.phase.name for one in listing.servers}
                if len(listing.servers) < 6
                else {},
            )
            self.put(self.admit.listed(listing, False))
        return True

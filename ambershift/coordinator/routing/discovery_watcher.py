"""Asks the discovery service for the list of servers and its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.routing.decoding import decoding
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.http_client import HttpClient
from ambershift.coordinator.transport.disconnect import (
    DISCONNECT_EFFECTS,
    DisconnectedError,
    DisconnectReason,
)

# The policy module counts on the result of a call within 6 s, and on that of a call with a wait within 2 s
# after the wait, whether an answer arrived or not. Answers take milliseconds, so half of that leaves time to
# ask again.
ANSWER_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_AFTER_WAIT_S = 1.0
# The least time between two calls of one watch, against a storm where every call is answered at once; 200 ms
# are allowed between calls.
MIN_CALL_INTERVAL_S = 0.05
MAX_WAIT_S = 60.0
WAITS_PER_NOTIFICATION_DEADLINE = 5
NS_PER_S = 1_000_000_000
MAX_LOGGED_CHANGES = 5
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class DiscoveryWatcher:
    """Long-polls the list of servers and submits each change.

    It asks again right after each answer, so that a watch goes on; after a failure the policy module decides
    when to ask again. Each call waits for a fifth of the time in which an unasked change counts as notified.
    """

    def __init__(
        self,
        client: HttpClient,
        version: int,
        notification_deadline: int,
        admission: Admission,
        submit: Callable[[api.Event], None],
        event_log: EventLog,
    ) -> None:
        """Prepare a watch; `run` carries it out.

        Args:
            client: The connection to the discovery service.
            version: The version of the list that is known at the start.
            notification_deadline: Within which the policy module counts on a change, ns.
            admission: Translates lists.
            submit: Receives the events.
            event_log: The log.
        """
        self.client, self.version, self.admission = client, version, admission
        self.submit, self.event_log = submit, event_log
        self.wait_s = min(notification_deadline / WAITS_PER_NOTIFICATION_DEADLINE / NS_PER_S, MAX_WAIT_S)
        self.watching, self.fetching, self.is_first_call = False, False, False
        self.wake = asyncio.Event()

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self.watching, self.is_first_call = on, True
        self.wake.set()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.fetching = True
        self.wake.set()

    async def run(self) -> None:
        """Make the calls, for ever."""
        while True:
            self.wake.clear()
            if self.fetching:
                self.fetching = False
                await self.call(discovery.LIST_TARGET, ANSWER_TIMEOUT_S, True)
            elif self.watching:
                target = discovery.watch_target(self.version, round(self.wait_s * 1000))
                started = asyncio.get_running_loop().time()
                if await self.call(target, self.wait_s + ANSWER_TIMEOUT_AFTER_WAIT_S, self.is_first_call):
                    self.is_first_call = False
                else:
                    self.watching = False
                if asyncio.get_running_loop().time() < started + MIN_CALL_INTERVAL_S:
                    await asyncio.sleep(MIN_CALL_INTERVAL_S)
            else:
                await self.wake.wait()

    async def call(self, target: str, timeout_s: float, submit_unchanged: bool) -> bool:
        """Make one call and submit its result.

        Args:
            target: The target of the request.
            timeout_s: The longest time until the answer.
            submit_unchanged: Whether an answer without changes is submitted too.

        Returns:
            Whether the call succeeded.
        """
        try:
            answer = await self.client.call(target, timeout_s)
            if answer.status != HTTP_OK:
                unavailable = answer.status == HTTP_UNAVAILABLE
                reason = DisconnectReason.TURNED_AWAY if unavailable else DisconnectReason.UNREADABLE
                raise DisconnectedError(reason, f"status {answer.status}")
            with decoding():
                listing = discovery.parse(answer.body)
            if not listing.full and listing.version < self.version:
                detail = f"changes to version {listing.version}, but {self.version} is held"
                raise DisconnectedError(DisconnectReason.UNREADABLE, detail)
        except DisconnectedError as error:
            self.event_log.record("list_failed", how=error.reason.name.lower(), detail=error.detail)
            if DISCONNECT_EFFECTS[error.reason].list_failed:
                self.submit(api.ListFailed())
            return False
        self.version = listing.version
        if submit_unchanged or listing.full or listing.servers:
            changes: dict[str, str] = {}
            if len(listing.servers) <= MAX_LOGGED_CHANGES:
                changes = {one.id: one.phase.name for one in listing.servers}
            self.event_log.record(
                "listed",
                version=listing.version,
                full=listing.full,
                entries=len(listing.servers),
                changes=changes,
            )
            self.submit(self.admission.listed(listing, False))
        return True

"""Watches: each waits at the node that proposes for its group, and moves when another node does."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import msgspec

from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.coordination_calls import CoordinationCalls
from ambershift.system.control_api.forwarding import NOT_APPLIED, Forwarding
from ambershift.system.control_api.group_waiters import GroupWaiters
from ambershift.system.control_api.log_events import WATCH_EVENTS_PRUNED
from ambershift.system.control_api.routes import WATCH_OPERATION
from ambershift.system.control_api.subscriptions import FRESHNESS_NS
from ambershift.system.coordination.calls import GROUP_PREFIX, SNAPSHOT_GROUP
from ambershift.system.coordination.groups import PutEvent
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.messages.forwarding import ForwardedCall, GroupChanged
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

PROPOSER_CHECK_INTERVAL_NS = 500 * NS_PER_MS  # How often a watch checks whether it waits at the proposer.
REFRESH_TIMEOUT_NS = 900 * NS_PER_MS
EVENT_FETCH_TIMEOUT_NS = 400 * NS_PER_MS  # A round trip between regions, and a round at the other node.
FINAL_FETCH_TIMEOUT_NS = 300 * NS_PER_MS  # For the events that were found at the end of a wait.


def no_events_reply(after: int) -> Reply:
    """The reply to a watch whose time is up: there are no events, and the revision is the caller's."""
    return json_reply(HTTPStatus.OK, Events=[], Revision=after)


class Watches:
    """Executes watches, this node's callers' and other nodes'."""

    def __init__(
        self,
        context: NodeContext,
        forwarding: Forwarding,
        coordination: CoordinationCalls,
        waiters: GroupWaiters,
    ) -> None:
        self._ip = context.ip
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._forwarding = forwarding
        self._pending_calls = forwarding.pending_calls
        self._proposers = forwarding.proposers
        self._coordination = coordination
        self._waiters = waiters
        self._refreshes: dict[str, asyncio.Task[None]] = {}
        self._closed = False

    async def watch(self, name: str, after: int, wait_ns: int) -> Reply:
        """All events of a group after a revision, as soon as there is one.

        After revision 0 the reply is the group's present revision, at once and without events.
        """
        if after == 0:
            return await self._coordination.execute(SNAPSHOT_GROUP, name, b"")
        reply = await self._wait(name, after, wait_ns)
        if reply.status == HTTPStatus.GONE:
            self._log(WATCH_EVENTS_PRUNED, {"group": name, "after": after})
        return reply

    async def _wait(self, name: str, after: int, wait_ns: int) -> Reply:
        deadline = self._monotonic_ns() + wait_ns
        while (now := self._monotonic_ns()) < deadline and not self._closed:
            if not self._store.has_quorum_contact():
                return NOT_APPLIED  # Other nodes may receive puts meanwhile that aren't seen here.
            proposer = self._proposers.proposer_of(GROUP_PREFIX + name)
            reply = await self._wait_at(proposer, name, after, deadline, now)
            if reply is not None:
                return reply
        return NOT_APPLIED if self._closed else await self._confirm_no_events(name, after)

    async def _confirm_no_events(self, name: str, after: int) -> Reply:
        """The reply at the end of a wait: that there are no events is read from a majority of copies.

        A put may have been agreed through a node that couldn't reach the one where this watch waited.
        """
        snapshot = await self._coordination.execute(SNAPSHOT_GROUP, name, b"")
        if snapshot.status != HTTPStatus.OK:
            return NOT_APPLIED
        if msgspec.json.decode(snapshot.body)["Revision"] <= after:
            return no_events_reply(after)
        now = self._monotonic_ns()
        proposer = self._proposers.proposer_of(GROUP_PREFIX + name)
        reply = await self._wait_at(proposer, name, after, now + FINAL_FETCH_TIMEOUT_NS, now)
        return reply or NOT_APPLIED

    async def _wait_at(self, proposer: str, name: str, after: int, deadline: int, now: int) -> Reply | None:
        """Wait at one node, and here too.

        None where that node doesn't propose any more, time is up, or this process was stopped: a reply that
        it reads then is of the time before, and its revision may be pruned.
        """
        number = self._pending_calls.next_number()
        replies = [self._wait_here(number, name, after, keeps_fresh=proposer == self._ip)]
        if proposer != self._ip and not replies[0].done():
            call = _watch_call(number, name, after, (deadline - now) // NS_PER_MS)
            replies.append(self._pending_calls.forward(proposer, call))
        try:
            completed: set[asyncio.Future[Reply]] = set()
            while not completed:
                began_at = self._monotonic_ns()
                timeout_ns = min(deadline - began_at, PROPOSER_CHECK_INTERVAL_NS)
                if timeout_ns <= 0 or not self._is_usable(proposer, name):
                    return None
                completed, _ = await asyncio.wait(
                    replies, timeout=timeout_ns / NS_PER_SECOND, return_when=asyncio.FIRST_COMPLETED
                )
                if self._is_outdated(began_at):
                    return None
            reply = completed.pop().result()
            if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
                self._proposers.suspect(proposer)  # It is out of contact, or about to end.
                return None
            return reply
        finally:
            for future in replies:
                future.cancel()

    def _is_outdated(self, asked_at: int) -> bool:
        """Whether a reply to what was asked then is too old to pass on, as this process was stopped."""
        return self._monotonic_ns() - asked_at >= FRESHNESS_NS

    def _is_usable(self, proposer: str, name: str) -> bool:
        return (
            self._proposers.proposer_of(GROUP_PREFIX + name) == proposer and self._store.has_quorum_contact()
        )

    def _wait_here(
        self, token: int, name: str, after: int, keeps_fresh: bool = True
    ) -> asyncio.Future[Reply]:
        reply = self._waiters.wait(token, name, after, keeps_fresh)
        if not reply.done() and self._waiters.needs_refresh(name):
            self._refresh(name)
        return reply

    async def handle_forwarded(self, sender: str, forwarded: ForwardedCall) -> None:
        """Execute another node's watch. It responds only if there are events; that node ends the wait."""
        after = int(msgspec.json.decode(forwarded.body)["after"])
        waiting = self._wait_here(self._pending_calls.next_number(), forwarded.subject_id, after)
        await asyncio.wait([waiting], timeout=forwarded.remaining_ms / 1000)
        if waiting.done():
            self._forwarding.respond(sender, forwarded, waiting.result())
        waiting.cancel()

    async def handle_group_changed(self, sender: str, notification: GroupChanged) -> None:
        """Another node has agreed a put: fetch the events that watches here wait for from it.

        To read the group through this node would take the register from the other one, and each node with a
        watch would take it from the next.
        """
        name = notification.group
        after = self._waiters.revision_to_fetch_after(name, notification.revision)
        if after is None:
            return
        began_at = self._monotonic_ns()
        number = self._pending_calls.next_number()
        call = _watch_call(number, name, after, EVENT_FETCH_TIMEOUT_NS // NS_PER_MS)
        response = self._pending_calls.forward(sender, call)
        await asyncio.wait([response], timeout=EVENT_FETCH_TIMEOUT_NS / NS_PER_SECOND)
        has_failed = not response.done() or response.result().status != HTTPStatus.OK
        if has_failed or self._is_outdated(began_at):
            response.cancel()
            self._refresh(name)
            return
        fetched = msgspec.json.decode(response.result().body)
        events = tuple(
            PutEvent(event["Name"], event["Value"], event["Revision"]) for event in fetched["Events"]
        )
        self._waiters.events_fetched(name, after, fetched["Revision"], events)

    def tick(self) -> None:
        """To be called a few times a second."""
        for name in self._waiters.groups_to_refresh():
            self._refresh(name)

    def _refresh(self, name: str) -> None:
        """Read the group again, if that isn't under way; `GroupWaiters.group_read` receives it."""
        if name not in self._refreshes and self._store.has_quorum_contact():
            refresh = asyncio.create_task(self._read_group(name))
            self._refreshes[name] = refresh
            refresh.add_done_callback(lambda _: self._refreshes.pop(name, None))

    async def _read_group(self, name: str) -> None:
        await self._coordination.refresh_group(name, self._monotonic_ns() + REFRESH_TIMEOUT_NS)

    def close(self) -> None:
        """End all waits: the process is about to end, and its callers can go on at another node."""
        self._closed = True
        self._waiters.complete_all(NOT_APPLIED)


def _watch_call(number: int, name: str, after: int, remaining_ms: int) -> ForwardedCall:
    """A watch for another node to execute."""
    body = msgspec.json.encode({"after": after})
    return ForwardedCall(number, WATCH_OPERATION, name, body, remaining_ms)

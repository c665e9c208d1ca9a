"""Watches: each waits at the machine that proposes for its group, and moves when that one changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ambershift.system.control_api.coordination_calls import CoordinationCalls
from ambershift.system.control_api.forwarding import NOT_APPLIED
from ambershift.system.control_api.pending_calls import PendingCalls, Sender
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.control_api.subscriptions import Subscriptions
from ambershift.system.coordination.calls import SNAPSHOT_GROUP, parse_call
from ambershift.system.coordination.groups import Group, PutEvent
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ReplicatedState
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse, GroupChanged
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

WATCH_OPERATION = "watch"  # The name of a forwarded call that is one.
PROPOSER_CHECK_INTERVAL_NS = (
    500 * NS_PER_MS
)  # How often a watch looks whether it waits at the right machine still.
REFRESH_TIMEOUT_NS = 900 * NS_PER_MS
EVENT_FETCH_TIMEOUT_NS = 400 * NS_PER_MS  # A trip between regions, and a round at the machine that is asked.
FINAL_FETCH_TIMEOUT_NS = (
    300 * NS_PER_MS
)  # What was found at the end of a wait may still be fetched for so long.


def no_events_reply(after: int) -> Reply:
    """No put is told, so that the span told of is empty."""
    return json_reply(200, Events=[], Revision=after)


class Watches:
    def __init__(
        self,
        ledger: ReplicatedState,
        own: str,
        steady: Callable[[], int],
        send: Sender,
        open_calls: PendingCalls,
        proposers: ProposerSelector,
        ages: RevisionAges,
    ) -> None:
        self._ledger, self._own, self._steady, self._send = ledger, own, steady, send
        self._open_calls, self._proposers, self._ages = open_calls, proposers, ages
        self._subscriptions = Subscriptions()
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._refreshes: dict[str, asyncio.Task[None]] = {}
        self._closed = False

    def serve(self, applications: CoordinationCalls) -> None:
        """Groups are looked at through it."""
        self._applications = applications

    def group_read(self, name: str, group: Group) -> None:
        """A round on this group has come through here."""
        self._complete(self._subscriptions.update(self._steady(), name, group))

    def group_changed_elsewhere(self, name: str, group: Group) -> None:
        """Others are sent word of this group: they will ask for it here."""
        self._subscriptions.retain(self._steady(), name, group)

    def _complete(self, answers: list[tuple[int, Reply]]) -> None:
        for token, answer in answers:
            future = self._waiting.get(token)
            if future is not None and not future.done():
                future.set_result(answer)

    async def watch(self, name: str, after: int, wait: int) -> Reply:
        """All puts above `after` as soon as there is one; `wait` in ns."""
        if after == 0:
            return await self._applications.execute(SNAPSHOT_GROUP, name, b"")
        until = self._steady() + wait
        while (now := self._steady()) < until and not self._closed:
            if not self._ledger.has_quorum_contact():
                return NOT_APPLIED  # Others may see what is put meanwhile.
            owner = self._proposers.proposer_of("g/" + name)
            answer = await self._wait_at(owner, name, after, until, now)
            if answer is not None:
                return answer
        return NOT_APPLIED if self._closed else await self._confirm_no_events(name, after)

    async def _confirm_no_events(self, name: str, after: int) -> Reply:
        """That there is no put above `after` is told only once enough copies have said so: a put may have
        gone through a machine that could not reach the one where this watch waited."""
        present = await self._applications.execute(SNAPSHOT_GROUP, name, b"")
        if present.status != 200:
            return NOT_APPLIED
        if msgspec.json.decode(present.body)["Revision"] <= after:
            return no_events_reply(after)
        now = self._steady()
        answer = await self._wait_at(
            self._proposers.proposer_of("g/" + name), name, after, now + FINAL_FETCH_TIMEOUT_NS, now
        )
        return answer or NOT_APPLIED

    async def _wait_at(self, owner: str, name: str, after: int, until: int, now: int) -> Reply | None:
        """Wait at one machine; None where it is not the right one any more, or time is up."""
        number = self._open_calls.next_number()
        waiting = [self._wait_here(number, name, after, owner == self._own)]
        if owner != self._own and not waiting[0].done():
            body = msgspec.json.encode({"after": after})
            waiting.append(
                self._open_calls.forward(
                    owner, number, WATCH_OPERATION, name, body, (until - now) // NS_PER_MS
                )
            )
        try:
            done: set[asyncio.Future[Reply]] = set()
            while not done:
                left = min(until - self._steady(), PROPOSER_CHECK_INTERVAL_NS)
                if (
                    left <= 0
                    or self._proposers.proposer_of("g/" + name) != owner
                    or not self._ledger.has_quorum_contact()
                ):
                    return None
                done, _ = await asyncio.wait(
                    waiting, timeout=left / NS_PER_SECOND, return_when=asyncio.FIRST_COMPLETED
                )
            answer = done.pop().result()
            if answer.status == 503:
                self._proposers.suspect(owner)  # It is out of touch, or about to end.
                return None
            return answer
        finally:
            for future in waiting:
                future.cancel()

    def _wait_here(self, token: int, name: str, after: int, here: bool = True) -> asyncio.Future[Reply]:
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        answer = self._subscriptions.subscribe(self._steady(), token, name, after, here)
        if answer is not None:
            future.set_result(answer)
            return future
        self._waiting[token] = future

        def depart(_: asyncio.Future[Reply]) -> None:
            self._waiting.pop(token, None)
            self._subscriptions.unsubscribe(token, name)

        future.add_done_callback(depart)
        if self._subscriptions.needs_refresh(self._steady(), name):
            self._refresh(name)
        return future

    async def handle_forwarded(self, sender: str, forwarded: ForwardedCall) -> None:
        """Another machine's watch. It is answered only if there is something to tell: without an answer that
        machine ends the wait itself."""
        after = int(msgspec.json.decode(forwarded.body)["after"])
        waiting = self._wait_here(self._open_calls.next_number(), forwarded.subject_id, after)
        await asyncio.wait([waiting], timeout=forwarded.remaining_ms / 1000)
        if waiting.done():
            answer = waiting.result()
            self._send(sender, ForwardedResponse(forwarded.number, answer.status, answer.body))
        waiting.cancel()

    async def handle_group_changed(self, sender: str, word: GroupChanged) -> None:
        """Ask the machine that put: it knows. A look of this one's own would take the register from it, and
        each machine where somebody watches would take it from the next."""
        after = self._subscriptions.first_missing_revision(word.group, word.revision)
        if after is None:
            return
        body = msgspec.json.encode({"after": after})
        asked = self._open_calls.forward(
            sender,
            self._open_calls.next_number(),
            WATCH_OPERATION,
            word.group,
            body,
            EVENT_FETCH_TIMEOUT_NS // NS_PER_MS,
        )
        await asyncio.wait([asked], timeout=EVENT_FETCH_TIMEOUT_NS / NS_PER_SECOND)
        if not asked.done() or asked.result().status != 200:
            asked.cancel()
            self._refresh(word.group)
            return
        found = msgspec.json.decode(asked.result().body)
        events = tuple(
            PutEvent(event["Name"], event["Value"], event["Revision"]) for event in found["Events"]
        )
        self._complete(self._subscriptions.apply_events(word.group, after, found["Revision"], events))

    def tick(self) -> None:
        """To be called a few times a second."""
        for name in self._subscriptions.groups_to_refresh(self._steady()):
            self._refresh(name)

    def _refresh(self, name: str) -> None:
        if name not in self._refreshes and self._ledger.has_quorum_contact():
            self._refreshes[name] = task = asyncio.create_task(self._read_group(name))
            task.add_done_callback(lambda _: self._refreshes.pop(name, None))

    async def _read_group(self, name: str) -> None:
        """What is found comes back by `learn`."""
        call = parse_call(SNAPSHOT_GROUP, name, b"", "", self._ages)
        await self._applications.propose(call, self._steady() + REFRESH_TIMEOUT_NS)

    def close(self) -> None:
        """End all waits: the process is about to end, and its callers can go on elsewhere."""
        self._closed = True
        for future in list(self._waiting.values()):
            if not future.done():
                future.set_result(NOT_APPLIED)

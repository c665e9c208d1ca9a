"""Locks, numbers and cells: each call goes to the machine that proposes for its register.

What is answered here must be true whatever becomes of the copies of a call: 503 only where no copy has been
or will be carried out, 504 where that is not certain. A call that was handed over may be proposed here too:
locks know their call, puts their value, and numbers may have gaps.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ambershift.system.control_api.forwarding import NOT_APPLIED, OUTCOME_UNKNOWN, Forwarding, OutgoingCall
from ambershift.system.control_api.log_events import CALL_NOT_APPLIED, CALL_OUTCOME_UNKNOWN, CHANGE_FAILED
from ambershift.system.control_api.pending_calls import PendingCalls, Sender
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.coordination.calls import REPLACE_CELL, RegisterCall, parse_call
from ambershift.system.coordination.groups import Group
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.request_fields import InvalidCallError
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import (
    ChangeFunction,
    ChangeOutcome,
    NotAppliedError,
    OutcomeUnknownError,
    ReplicatedState,
)
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse, GroupChanged
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

CALL_TIMEOUT_NS = (
    900 * NS_PER_MS
)  # A caller gives up after a second of silence, and time is looked at each 50 ms.


class GroupListener(Protocol):
    """Who is told of groups as rounds that came through have left or found them."""

    def group_read(self, name: str, group: Group) -> None: ...

    def group_changed_elsewhere(self, name: str, group: Group) -> None:
        """As others are sent word of it, they will ask here for what it holds."""


class CoordinationCalls:
    def __init__(
        self,
        ledger: ReplicatedState,
        own: str,
        steady: Callable[[], int],
        send: Sender,
        open_calls: PendingCalls,
        proposers: ProposerSelector,
        forwarding: Forwarding,
        ages: RevisionAges,
        log: Callable[[int, dict[str, Any]], None],
        news: GroupListener,
    ) -> None:
        self._ledger, self._own, self._steady, self._send = ledger, own, steady, send
        self._open_calls, self._proposers, self._forwarding = open_calls, proposers, forwarding
        self._ages, self._log, self._news = ages, log, news

    async def execute(self, name: str, of: str, body: bytes) -> Reply:
        """A call that has just been read from its caller.

        A put is the same call however often and wherever it is sent, and this machine knows of this time
        alone: that nothing was done now is no promise that its value never shows up.
        """
        answer = await self._execute(name, of, body)
        return OUTCOME_UNKNOWN if answer.status == 503 and name == REPLACE_CELL else answer

    async def _execute(self, name: str, of: str, body: bytes) -> Reply:
        until = self._steady() + CALL_TIMEOUT_NS
        number = self._open_calls.next_number()
        try:
            call = self._parse(name, of, body, self._own, number)
        except InvalidCallError as why:
            return json_reply(400, Cause=f"{why.field}: {why.reason}")
        asked = OutgoingCall(call.register, number, name, of, body)
        return await self._forwarding.execute(asked, until, lambda until: self.propose(call, until))

    async def propose(self, call: RegisterCall, until: int) -> Reply:
        """Through this machine, by `until`."""
        within = (until - self._steady()) / NS_PER_SECOND
        if within <= 0:
            return NOT_APPLIED
        noted = _ObservedChange(call.change)
        try:
            answer: Reply = await self._ledger.change(call.register, noted, within)
        except NotAppliedError as why:
            self._log(CALL_NOT_APPLIED, {"register": call.register, "reason": why.reason})
            return NOT_APPLIED
        except OutcomeUnknownError as why:
            self._log(CALL_OUTCOME_UNKNOWN, {"register": call.register, "reason": why.reason})
            return OUTCOME_UNKNOWN
        except Exception as why:  # Whatever it was, the caller must hear that it is unclear.
            self._log(CHANGE_FAILED, {"register": call.register, "reason": repr(why)})
            return OUTCOME_UNKNOWN
        if answer.group is not None:
            self._publish(call.register, answer.group, noted.changed)
        return answer

    async def handle_forwarded(self, sender: str, forwarded: ForwardedCall) -> None:
        """A forwarded call of another machine; its outcome goes back whatever it is."""
        until = self._steady() + forwarded.remaining_ms * NS_PER_MS
        try:
            call = self._parse(
                forwarded.operation, forwarded.subject_id, forwarded.body, sender, forwarded.number
            )
            answer = (
                await self.propose(call, until) if await self._forwarding.wait_for_contact() else NOT_APPLIED
            )
        except InvalidCallError as why:
            answer = json_reply(400, Cause=f"{why.field}: {why.reason}")
        self._send(sender, ForwardedResponse(forwarded.number, answer.status, answer.body))

    def _parse(self, name: str, of: str, body: bytes, sender: str, number: int) -> RegisterCall:
        return parse_call(name, of, body, f"{sender}/{number:x}", self._ages)

    def _publish(self, register: str, group: Group, changed: bool) -> None:
        """A round has come through: those that watch the group may know of it now."""
        name = register.removeprefix("g/")
        self._ages.record(name, group.revision, self._steady())
        self._news.group_read(name, group)
        if changed and not self._proposers.is_first_choice(register):
            self._news.group_changed_elsewhere(name, group)
            for ip in self._proposers.live_peers():
                self._send(ip, GroupChanged(name, group.revision))


class _ObservedChange:
    """A change that remembers whether its last run, the one that counts, was to change the value."""

    def __init__(self, change: ChangeFunction) -> None:
        self._change = change
        self.changed = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        verdict = self._change(value, known_since, now)
        self.changed = verdict.new_value is not None
        return verdict

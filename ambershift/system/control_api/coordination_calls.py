"""Locks, numbers and cells: each call goes to the machine that proposes for its register.

What is answered here must be true whatever becomes of the copies of a call: 503 only where no copy has been
or will be carried out, 504 where that is not certain. A call that was handed over may be proposed here too:
locks know their call, puts their value, and numbers may have gaps.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ambershift.system.control_api.forwarding import REFUSED, UNCLEAR, Asked, Forwarding
from ambershift.system.control_api.log_events import CALL_REFUSED, CALL_UNCLEAR, CHANGE_FAILED
from ambershift.system.control_api.pending_calls import OpenCalls, Sender
from ambershift.system.control_api.proposer_selection import Proposers
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

PATIENCE = 900 * NS_PER_MS  # A caller gives up after a second of silence, and time is looked at each 50 ms.


class News(Protocol):
    """Who is told of groups as rounds that came through have left or found them."""

    def learn(self, name: str, group: Group) -> None: ...

    def note(self, name: str, group: Group) -> None:
        """As others are sent word of it, they will ask here for what it holds."""


class Applications:
    def __init__(
        self,
        ledger: ReplicatedState,
        own: str,
        steady: Callable[[], int],
        send: Sender,
        open_calls: OpenCalls,
        proposers: Proposers,
        forwarding: Forwarding,
        ages: RevisionAges,
        log: Callable[[int, dict[str, Any]], None],
        news: News,
    ) -> None:
        self._ledger, self._own, self._steady, self._send = ledger, own, steady, send
        self._open_calls, self._proposers, self._forwarding = open_calls, proposers, forwarding
        self._ages, self._log, self._news = ages, log, news

    async def ask(self, name: str, of: str, body: bytes) -> Reply:
        """A call that has just been read from its caller.

        A put is the same call however often and wherever it is sent, and this machine knows of this time
        alone: that nothing was done now is no promise that its value never shows up.
        """
        answer = await self._ask(name, of, body)
        return UNCLEAR if answer.status == 503 and name == REPLACE_CELL else answer

    async def _ask(self, name: str, of: str, body: bytes) -> Reply:
        until = self._steady() + PATIENCE
        number = self._open_calls.number()
        try:
            call = self._read(name, of, body, self._own, number)
        except InvalidCallError as why:
            return json_reply(400, Cause=f"{why.field}: {why.reason}")
        asked = Asked(call.register, number, name, of, body)
        return await self._forwarding.ask(asked, until, lambda until: self.propose(call, until))

    async def propose(self, call: RegisterCall, until: int) -> Reply:
        """Through this machine, by `until`."""
        within = (until - self._steady()) / NS_PER_SECOND
        if within <= 0:
            return REFUSED
        noted = _Noted(call.change)
        try:
            answer: Reply = await self._ledger.change(call.register, noted, within)
        except NotAppliedError as why:
            self._log(CALL_REFUSED, {"register": call.register, "reason": why.reason})
            return REFUSED
        except OutcomeUnknownError as why:
            self._log(CALL_UNCLEAR, {"register": call.register, "reason": why.reason})
            return UNCLEAR
        except Exception as why:  # Whatever it was, the caller must hear that it is unclear.
            self._log(CHANGE_FAILED, {"register": call.register, "reason": repr(why)})
            return UNCLEAR
        if answer.group is not None:
            self._put_about(call.register, answer.group, noted.changed)
        return answer

    async def carry_out(self, sender: str, forwarded: ForwardedCall) -> None:
        """A forwarded call of another machine; its outcome goes back whatever it is."""
        until = self._steady() + forwarded.remaining_ms * NS_PER_MS
        try:
            call = self._read(
                forwarded.operation, forwarded.subject_id, forwarded.body, sender, forwarded.number
            )
            answer = await self.propose(call, until) if await self._forwarding.in_touch() else REFUSED
        except InvalidCallError as why:
            answer = json_reply(400, Cause=f"{why.field}: {why.reason}")
        self._send(sender, ForwardedResponse(forwarded.number, answer.status, answer.body))

    def _read(self, name: str, of: str, body: bytes, sender: str, number: int) -> RegisterCall:
        return parse_call(name, of, body, f"{sender}/{number:x}", self._ages)

    def _put_about(self, register: str, group: Group, changed: bool) -> None:
        """A round has come through: those that watch the group may know of it now."""
        name = register.removeprefix("g/")
        self._ages.record(name, group.revision, self._steady())
        self._news.learn(name, group)
        if changed and not self._proposers.first(register):
            self._news.note(name, group)
            for ip in self._proposers.others():
                self._send(ip, GroupChanged(name, group.revision))


class _Noted:
    """A change that remembers whether its last run, the one that counts, was to change the value."""

    def __init__(self, change: ChangeFunction) -> None:
        self._change = change
        self.changed = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        verdict = self._change(value, known_since, now)
        self.changed = verdict.new_value is not None
        return verdict

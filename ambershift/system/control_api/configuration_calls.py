"""The operator's configuration calls: changes, agreed as a whole before any copy holds them; the read-back.

A change goes to the machine that proposes for the configuration's register. It is acknowledged once it was
agreed there and is in the stores of a majority. Sent again, at any machine and however late, it finds what
was agreed; 409 and 400 are told of calls alone of which nothing was or will be in force.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ambershift.system.configuration.agreement import (
    REFUSED_BEFORE,
    REGISTER,
    Accepted,
    Behind,
    BelowFloor,
    Conflict,
    Invalid,
    Outcome,
    Progress,
    Proposal,
)
from ambershift.system.configuration.change_request import Order, read_order
from ambershift.system.configuration.errors import Fault, InvalidError
from ambershift.system.configuration.layout import write_back
from ambershift.system.control_api import log_events
from ambershift.system.control_api.forwarding import Forwarding, OutgoingCall
from ambershift.system.control_api.pending_calls import PendingCalls, Sender
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError, ReplicatedState
from ambershift.system.messages import forwarding as messages
from ambershift.system.messages.items import Item
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MODIFY_CONFIGURATION = (
    "configuration.modify"  # The protocol's name of a change, and that of its forwarded call.
)
CALL_TIMEOUT_NS = 850 * NS_PER_MS  # A caller gives up after one second of silence.
MAX_CALL_TIMEOUT_NS = 3 * NS_PER_SECOND
TIMEOUT_PER_ITEM_NS = 2 * NS_PER_MS  # Callers wait longer for large bodies.
MAX_NAMED_ITEMS = 20  # Faults and items that an answer names.

OUTCOME_UNKNOWN = json_reply(504, Cause="may have been taken or not; send it again")
NOT_APPLIED = json_reply(503, Cause="not done; send it again")


class ConfigurationCalls:
    def __init__(
        self,
        ledger: ReplicatedState,
        steady: Callable[[], int],
        send: Sender,
        open_calls: PendingCalls,
        forwarding: Forwarding,
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self._ledger, self._steady, self._send, self._log = ledger, steady, send, log
        self._open_calls, self._forwarding = open_calls, forwarding
        self._progress = Progress()

    async def modify(self, body: bytes) -> Reply:
        """A change that was just read from its caller."""
        begun = self._steady()
        try:
            order = read_order(body)
        except InvalidError as why:
            return self._invalid_reply(why.faults)
        patience = min(MAX_CALL_TIMEOUT_NS, CALL_TIMEOUT_NS + TIMEOUT_PER_ITEM_NS * len(order.items))
        asked = OutgoingCall(REGISTER, self._open_calls.next_number(), MODIFY_CONFIGURATION, "", body)
        return await self._forwarding.execute(
            asked, begun + patience, lambda until: self._propose(order, until)
        )

    async def handle_forwarded(self, sender: str, forwarded: messages.ForwardedCall) -> None:
        """A change that another machine was asked for; its outcome goes back whatever it is."""
        until = self._steady() + forwarded.remaining_ms * NS_PER_MS
        try:
            order = read_order(forwarded.body)
            answer = (
                await self._propose(order, until)
                if await self._forwarding.wait_for_contact()
                else NOT_APPLIED
            )
        except InvalidError as why:
            answer = self._invalid_reply(why.faults)
        self._send(sender, messages.ForwardedResponse(forwarded.number, answer.status, answer.body))

    async def _propose(self, order: Order, until: int) -> Reply:
        """Have the change agreed and stored through this machine."""
        proposal = Proposal(order, self._progress, self._ledger.items())
        try:
            outcome = await self._agree(proposal, until)
        except OutcomeUnknownError as why:
            return self._outcome_unknown_reply(why.reason, len(order.items))
        except NotAppliedError as why:
            if proposal.tried:
                return self._outcome_unknown_reply(why.reason, len(order.items))
            self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": why.reason, "items": 0})
            return NOT_APPLIED
        if isinstance(outcome, Conflict):
            return self._conflict_reply(outcome)
        if isinstance(outcome, Invalid):
            return self._invalid_reply(outcome.faults)
        if isinstance(outcome, BelowFloor):
            return self._below_floor_reply(outcome)
        try:
            await self._store(outcome, until)
        except (OutcomeUnknownError, NotAppliedError) as why:
            return self._outcome_unknown_reply(why.reason, len(order.items))
        self._log(log_events.CONFIGURATION_APPLIED, {"items": len(order.items)})
        return json_reply(200)

    async def _agree(self, proposal: Proposal, until: int) -> Accepted | Conflict | Invalid | BelowFloor:
        """Raises `OutcomeUnknownError`, or `NotAppliedError` where the last try did nothing."""
        while True:
            outcome: Outcome = await self._ledger.change(REGISTER, proposal, self._remaining_s(until))
            if not isinstance(outcome, Behind):
                return outcome
            try:
                await self._ledger.read_quorum(self._remaining_s(until))
            except OutcomeUnknownError as why:
                raise NotAppliedError(why.reason) from why
            self._progress.has_read(outcome.settled)

    async def _store(self, outcome: Accepted, until: int) -> None:
        if outcome.to_store:
            await self._ledger.write(outcome.to_store, self._remaining_s(until))
        self._progress.has_stored(outcome.end)

    def _remaining_s(self, until: int) -> float:
        """Seconds. Raises `NotAppliedError` where none are left."""
        left = until - self._steady()
        if left <= 0:
            raise NotAppliedError("no time is left")
        return left / NS_PER_SECOND

    def _invalid_reply(self, faults: tuple[Fault, ...]) -> Reply:
        reason = "; ".join(map(str, faults[:MAX_NAMED_ITEMS]))
        self._log(log_events.CONFIGURATION_INVALID, {"reason": reason})
        return json_reply(400, Cause=reason)

    def _conflict_reply(self, conflict: Conflict) -> Reply:
        reason = "; ".join(map(_describe_conflict, conflict.items[:MAX_NAMED_ITEMS])) or str(REFUSED_BEFORE)
        self._log(log_events.CONFIGURATION_CONFLICT, {"reason": reason})
        return json_reply(409, Cause=reason)

    def _below_floor_reply(self, outcome: BelowFloor) -> Reply:
        names = ", ".join(f"{one.kind} {one.name}" for one in outcome.items[:MAX_NAMED_ITEMS])
        reason = (
            f"{names}: not held; drops up to r{outcome.floor} are forgotten: send it under a higher version"
        )
        self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": reason, "items": len(outcome.items)})
        return json_reply(503, Cause=reason)

    def _outcome_unknown_reply(self, reason: str, items: int) -> Reply:
        self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": reason, "items": items})
        return OUTCOME_UNKNOWN

    async def retrieve(self) -> Reply:
        """All items that stand, as a majority of the stores has them now."""
        if not self._ledger.has_quorum_contact():
            return NOT_APPLIED
        try:
            await self._ledger.read_quorum(CALL_TIMEOUT_NS / NS_PER_SECOND)
        except OutcomeUnknownError:
            return NOT_APPLIED
        return Reply(200, msgspec.json.encode(write_back(self._ledger.items())))


def _describe_conflict(item: Item) -> str:
    return f"{item.kind} {item.name}: ConfigVersion: r{item.version[0]} stands for another content"

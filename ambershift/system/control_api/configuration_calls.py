"""The operator's configuration calls: changes that are agreed as a whole, and reading the configuration back.

A change goes to the node that proposes for the configuration's register. It is acknowledged once it was
agreed there and is stored by a majority. Sent again, at any node and however late, it finds what was agreed;
409 and 400 are only replied to calls of which nothing was or will be in force.
"""

from __future__ import annotations

from http import HTTPStatus

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
from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.forwarding import Forwarding, OutgoingCall
from ambershift.system.control_api.routes import MODIFY_CONFIGURATION
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.forwarding import ForwardedCall
from ambershift.system.messages.items import Item
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

CALL_TIMEOUT_NS = 850 * NS_PER_MS  # A caller gives up after one second of silence.
MAX_CALL_TIMEOUT_NS = 3 * NS_PER_SECOND
TIMEOUT_PER_ITEM_NS = 2 * NS_PER_MS  # Callers wait longer for large bodies.
MAX_NAMED_ITEMS = 20  # A reply names so many faults or items.

OUTCOME_UNKNOWN = json_reply(HTTPStatus.GATEWAY_TIMEOUT, Cause="may have been taken or not; send it again")
NOT_APPLIED = json_reply(HTTPStatus.SERVICE_UNAVAILABLE, Cause="not done; send it again")

Rejection = Conflict | Invalid | BelowFloor


class ConfigurationCalls:
    """Executes changes of the configuration, this node's callers' and other nodes', and reads it back."""

    def __init__(self, context: NodeContext, forwarding: Forwarding) -> None:
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._forwarding = forwarding
        self._progress = Progress()

    async def modify(self, body: bytes) -> Reply:
        """Execute a change that was just read from its caller."""
        started_at = self._monotonic_ns()
        try:
            order = read_order(body)
        except InvalidError as error:
            return self._invalid_reply(error.faults)
        timeout_ns = min(MAX_CALL_TIMEOUT_NS, CALL_TIMEOUT_NS + TIMEOUT_PER_ITEM_NS * len(order.items))
        number = self._forwarding.pending_calls.next_number()
        call = OutgoingCall(REGISTER, number, MODIFY_CONFIGURATION, "", body)
        return await self._forwarding.execute(
            call, started_at + timeout_ns, lambda deadline: self._propose(order, deadline)
        )

    async def handle_forwarded(self, sender: str, forwarded: ForwardedCall) -> None:
        """Execute a change that another node has forwarded; it gets a response whatever the outcome is."""
        deadline = self._monotonic_ns() + forwarded.remaining_ms * NS_PER_MS
        try:
            order = read_order(forwarded.body)
            in_contact = await self._forwarding.wait_for_contact()
            reply = await self._propose(order, deadline) if in_contact else NOT_APPLIED
        except InvalidError as error:
            reply = self._invalid_reply(error.faults)
        self._forwarding.respond(sender, forwarded, reply)

    async def _propose(self, order: Order, deadline: int) -> Reply:
        """Have the change agreed and stored through this node."""
        proposal = Proposal(order, self._progress, self._store.items())
        try:
            outcome = await self._agree(proposal, deadline)
        except OutcomeUnknownError as error:
            return self._outcome_unknown_reply(error.reason, len(order.items))
        except NotAppliedError as error:
            if proposal.tried:  # An earlier attempt may have been agreed, though the last one was not.
                return self._outcome_unknown_reply(error.reason, len(order.items))
            self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": error.reason, "items": 0})
            return NOT_APPLIED
        if not isinstance(outcome, Accepted):
            return self._rejection_reply(outcome)
        try:
            await self._store_items(outcome, deadline)
        except (OutcomeUnknownError, NotAppliedError) as error:
            return self._outcome_unknown_reply(error.reason, len(order.items))
        self._log(log_events.CONFIGURATION_APPLIED, {"items": len(order.items)})
        return json_reply(HTTPStatus.OK)

    async def _agree(self, proposal: Proposal, deadline: int) -> Accepted | Rejection:
        """Decide the change on the register, reading the store again while this node's copy is behind.

        Raises:
            OutcomeUnknownError: It may have been agreed.
            NotAppliedError: The last attempt did nothing.
        """
        while True:
            outcome: Outcome = await self._store.change(REGISTER, proposal, self._remaining_s(deadline))
            if not isinstance(outcome, Behind):
                return outcome
            try:
                await self._store.read_quorum(self._remaining_s(deadline))
            except OutcomeUnknownError as error:
                raise NotAppliedError(error.reason) from error
            self._progress.has_read(outcome.settled)

    async def _store_items(self, outcome: Accepted, deadline: int) -> None:
        if outcome.to_store:
            await self._store.write(outcome.to_store, self._remaining_s(deadline))
        self._progress.has_stored(outcome.end)

    def _remaining_s(self, deadline: int) -> float:
        """The time left in seconds. Raises `NotAppliedError` where none is."""
        remaining_ns = deadline - self._monotonic_ns()
        if remaining_ns <= 0:
            raise NotAppliedError("no time is left")
        return remaining_ns / NS_PER_SECOND

    def _rejection_reply(self, rejection: Rejection) -> Reply:
        match rejection:
            case Conflict():
                return self._conflict_reply(rejection)
            case Invalid():
                return self._invalid_reply(rejection.faults)
            case BelowFloor():
                return self._below_floor_reply(rejection)

    def _invalid_reply(self, faults: tuple[Fault, ...]) -> Reply:
        reason = "; ".join(map(str, faults[:MAX_NAMED_ITEMS]))
        self._log(log_events.CONFIGURATION_INVALID, {"reason": reason})
        return json_reply(HTTPStatus.BAD_REQUEST, Cause=reason)

    def _conflict_reply(self, conflict: Conflict) -> Reply:
        reason = "; ".join(map(_describe_conflict, conflict.items[:MAX_NAMED_ITEMS])) or str(REFUSED_BEFORE)
        self._log(log_events.CONFIGURATION_CONFLICT, {"reason": reason})
        return json_reply(HTTPStatus.CONFLICT, Cause=reason)

    def _below_floor_reply(self, outcome: BelowFloor) -> Reply:
        names = ", ".join(f"{item.kind} {item.name}" for item in outcome.items[:MAX_NAMED_ITEMS])
        reason = (
            f"{names}: not held; drops up to r{outcome.floor} are forgotten: send it under a higher version"
        )
        self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": reason, "items": len(outcome.items)})
        return json_reply(HTTPStatus.SERVICE_UNAVAILABLE, Cause=reason)

    def _outcome_unknown_reply(self, reason: str, items: int) -> Reply:
        self._log(log_events.CONFIGURATION_OUTCOME_UNKNOWN, {"reason": reason, "items": items})
        return OUTCOME_UNKNOWN

    async def retrieve(self) -> Reply:
        """The complete configuration, as a majority of the stores has it now."""
        if not self._store.has_quorum_contact():
            return NOT_APPLIED
        try:
            await self._store.read_quorum(CALL_TIMEOUT_NS / NS_PER_SECOND)
        except OutcomeUnknownError:
            return NOT_APPLIED
        return Reply(HTTPStatus.OK, msgspec.json.encode(write_back(self._store.items())))


def _describe_conflict(item: Item) -> str:
    return f"{item.kind} {item.name}: ConfigVersion: r{item.version[0]} stands for another content"

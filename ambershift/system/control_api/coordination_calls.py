"""Locks, numbers and cells: each call is executed by the node that proposes for its register.

A reply must be true whatever becomes of the copies of a call: 503 only where no copy has been or will be
carried out, 504 where that is not certain. A call that was forwarded may be proposed here too: locks know
their call, puts their value, and numbers may have gaps.
"""

from __future__ import annotations

from http import HTTPStatus

from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.forwarding import NOT_APPLIED, OUTCOME_UNKNOWN, Forwarding, OutgoingCall
from ambershift.system.control_api.group_waiters import GroupWaiters
from ambershift.system.control_api.log_events import CALL_NOT_APPLIED, CALL_OUTCOME_UNKNOWN, CHANGE_FAILED
from ambershift.system.coordination.calls import (
    GROUP_PREFIX,
    REPLACE_CELL,
    SNAPSHOT_GROUP,
    RegisterCall,
    parse_call,
)
from ambershift.system.coordination.groups import Group
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.request_fields import InvalidCallError
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome, NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.forwarding import ForwardedCall, GroupChanged
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# A caller gives up after one second of silence, and the time is checked every 50 ms.
CALL_TIMEOUT_NS = 900 * NS_PER_MS


def invalid_call_reply(error: InvalidCallError) -> Reply:
    """The reply to a call that can't be carried out as it was sent."""
    return json_reply(HTTPStatus.BAD_REQUEST, Cause=str(error))


class CoordinationCalls:
    """Executes calls on registers, and notifies watches of groups that were read or changed."""

    def __init__(
        self, context: NodeContext, forwarding: Forwarding, revision_ages: RevisionAges, waiters: GroupWaiters
    ) -> None:
        self._context = context
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._forwarding = forwarding
        self._proposers = forwarding.proposers
        self._revision_ages = revision_ages
        self._waiters = waiters

    async def execute(self, operation: str, subject_id: str, body: bytes) -> Reply:
        """Execute a call that was just read from its caller.

        A put is the same call however often and wherever it is sent, and this node knows of this time alone:
        that nothing was done now is no promise that its value never shows up. So 503 becomes 504.
        """
        reply = await self._execute(operation, subject_id, body)
        not_applied = reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        return OUTCOME_UNKNOWN if not_applied and operation == REPLACE_CELL else reply

    async def _execute(self, operation: str, subject_id: str, body: bytes) -> Reply:
        deadline = self._monotonic_ns() + CALL_TIMEOUT_NS
        number = self._forwarding.pending_calls.next_number()
        try:
            call = self._parse(operation, subject_id, body, self._context.ip, number)
        except InvalidCallError as error:
            return invalid_call_reply(error)
        outgoing = OutgoingCall(call.register, number, operation, subject_id, body)
        return await self._forwarding.execute(
            outgoing, deadline, lambda deadline: self.propose(call, deadline)
        )

    async def propose(self, call: RegisterCall, deadline: int) -> Reply:
        """Execute the call through this node, by a deadline (monotonic clock, ns)."""
        began_at = self._monotonic_ns()
        within_s = (deadline - began_at) / NS_PER_SECOND
        if within_s <= 0:
            return NOT_APPLIED
        observed = _ObservedChange(call.change)
        try:
            reply: Reply = await self._store.change(call.register, observed, within_s)
        except NotAppliedError as error:
            self._context.log(CALL_NOT_APPLIED, {"register": call.register, "reason": error.reason})
            return NOT_APPLIED
        except OutcomeUnknownError as error:
            self._context.log(CALL_OUTCOME_UNKNOWN, {"register": call.register, "reason": error.reason})
            return OUTCOME_UNKNOWN
        except Exception as error:  # Whatever it was, the caller must learn that the outcome is unknown.
            self._context.log(CHANGE_FAILED, {"register": call.register, "reason": repr(error)})
            return OUTCOME_UNKNOWN
        if reply.group is not None:
            self._publish(call.register, reply.group, began_at, observed.changed)
        return reply

    async def refresh_group(self, name: str, deadline: int) -> None:
        """Read a group through this node for the watches that wait here."""
        call = parse_call(SNAPSHOT_GROUP, name, b"", "", self._revision_ages)
        await self.propose(call, deadline)

    async def handle_forwarded(self, sender: str, forwarded: ForwardedCall) -> None:
        """Execute a call that another node has forwarded; it gets a response whatever the outcome is."""
        deadline = self._monotonic_ns() + forwarded.remaining_ms * NS_PER_MS
        try:
            call = self._parse(
                forwarded.operation, forwarded.subject_id, forwarded.body, sender, forwarded.number
            )
            in_contact = await self._forwarding.wait_for_contact()
            reply = await self.propose(call, deadline) if in_contact else NOT_APPLIED
        except InvalidCallError as error:
            reply = invalid_call_reply(error)
        self._forwarding.respond(sender, forwarded, reply)

    def _parse(self, operation: str, subject_id: str, body: bytes, sender: str, number: int) -> RegisterCall:
        return parse_call(operation, subject_id, body, f"{sender}/{number:x}", self._revision_ages)

    def _publish(self, register: str, group: Group, began_at: int, changed: bool) -> None:
        """A round, begun at `began_at`, was agreed: complete watches, and notify other nodes of a change.

        Watches wait at the first choice for a register; only where another node proposed, they must be
        notified.
        """
        name = register.removeprefix(GROUP_PREFIX)
        self._revision_ages.record(name, group.revision, self._monotonic_ns())
        self._waiters.group_read(name, group, began_at)
        if changed and not self._proposers.is_first_choice(register):
            self._waiters.retain(name, group, began_at)
            for peer in self._proposers.live_peers():
                self._context.send(peer, GroupChanged(name, group.revision))


class _ObservedChange:
    """A change that remembers whether its last run, the one that counts, was to change the value."""

    def __init__(self, change: ChangeFunction) -> None:
        self._change = change
        self.changed = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        outcome = self._change(value, known_since, now)
        self.changed = outcome.new_value is not None
        return outcome

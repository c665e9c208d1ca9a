"""Forwards a call on a register to the node that proposes for it, or passes that node over if it fails.

Any node may propose for any register: that one does it is a matter of speed. A call that was forwarded may
therefore be carried out there and here too; calls on registers are made so that this does no harm.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.log_events import PROPOSER_UNRESPONSIVE
from ambershift.system.control_api.pending_calls import PendingCalls
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

PROPOSER_TIMEOUT_NS = 350 * NS_PER_MS  # Two round trips between regions, and a round that waits its turn.
LIVENESS_CHECK_INTERVAL_NS = 50 * NS_PER_MS  # How often the proposer is checked after that.
CONTACT_POLL_INTERVAL_S = 0.02  # How often a node out of contact checks whether it is in contact again.
CONTACT_GRACE_NS = 150 * NS_PER_MS  # A voter's copy is complete again within this, after a change of voters.
CONTACT_MEMORY_NS = NS_PER_SECOND  # A node that was out of contact for longer doesn't wait at all.
MIN_ATTEMPT_TIME_NS = 60 * NS_PER_MS  # With less time left, no further attempt is made.

NOT_APPLIED = json_reply(HTTPStatus.SERVICE_UNAVAILABLE, Cause="not in touch with enough machines")
OUTCOME_UNKNOWN = json_reply(HTTPStatus.GATEWAY_TIMEOUT, Cause="no clear outcome in time")
FINAL_STATUSES = frozenset(
    {
        HTTPStatus.OK,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
    }
)

# Carries the call out through this node, by a deadline (monotonic clock, ns).
Propose = Callable[[int], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call as it is forwarded.

    Attributes:
        register: The register that it is about.
        number: Its number at this node.
        operation: Its name in the protocol.
        subject_id: The id that it is about.
        body: JSON.
    """

    register: str
    number: int
    operation: str
    subject_id: str
    body: bytes

    def message(self, remaining_ms: int) -> ForwardedCall:
        """The message to another node, which has so much time left for it."""
        return ForwardedCall(self.number, self.operation, self.subject_id, self.body, remaining_ms)


class Forwarding:
    """Executes calls where they are best executed.

    Attributes:
        pending_calls: The calls that this node has forwarded.
        proposers: Selects the node to forward to.
    """

    def __init__(
        self, context: NodeContext, pending_calls: PendingCalls, proposers: ProposerSelector
    ) -> None:
        self.pending_calls = pending_calls
        self.proposers = proposers
        self._ip = context.ip
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._send = context.send
        self._log = context.log
        self._last_contact_at = 0

    async def execute(self, call: OutgoingCall, deadline: int, propose: Propose) -> Reply:
        """Have a call carried out, by its proposer or through this node.

        Args:
            call: The call.
            deadline: When the caller must have its reply (monotonic clock, ns).
            propose: Carries the call out through this node.

        Returns:
            The proposer's reply, if its status is final. Else 503, only where nothing was done by any
            copy of this call, and 504 where that is not certain.
        """
        if not await self.wait_for_contact():
            return NOT_APPLIED
        outcome_unknown = False
        while True:
            proposer = self.proposers.proposer_of(call.register)
            if proposer == self._ip:
                reply = await propose(deadline)
            else:
                reply = await self._forward(proposer, call, deadline)
            if reply.status in FINAL_STATUSES:
                return reply
            outcome_unknown |= reply.status != NOT_APPLIED.status
            if proposer == self._ip or deadline - self._monotonic_ns() < MIN_ATTEMPT_TIME_NS:
                return OUTCOME_UNKNOWN if outcome_unknown else NOT_APPLIED

    async def _forward(self, proposer: str, call: OutgoingCall, deadline: int) -> Reply:
        """The proposer's reply.

        A proposer that is slow but alive is waited for: a second proposer at the same time would only take
        the register from it again and again, and make it slower still.
        """
        remaining_ms = (deadline - self._monotonic_ns()) // NS_PER_MS
        response = self.pending_calls.forward(proposer, call.message(remaining_ms))
        try:
            timeout_ns = PROPOSER_TIMEOUT_NS
            while not response.done() and (remaining_ns := deadline - self._monotonic_ns()) > 0:
                await asyncio.wait([response], timeout=min(timeout_ns, remaining_ns) / NS_PER_SECOND)
                timeout_ns = LIVENESS_CHECK_INTERVAL_NS
                if not response.done() and not self._store.is_responsive(proposer):
                    break
            if response.done():
                if response.result().status == NOT_APPLIED.status:
                    self.proposers.suspect(proposer)
                return response.result()
            self.proposers.suspect(proposer)
            self._log(PROPOSER_UNRESPONSIVE, {"proposer": proposer, "register": call.register})
            return OUTCOME_UNKNOWN
        finally:
            response.cancel()

    def respond(self, sender: str, call: ForwardedCall, reply: Reply) -> None:
        """Send the reply to a call that another node has forwarded to this one."""
        self._send(sender, ForwardedResponse(call.number, reply.status, reply.body))

    async def wait_for_contact(self) -> bool:
        """Whether this node is in contact with a majority; waits for a moment if it has only just lost it.

        At each change of voters all copies are completed first, and nodes are out of contact until then. If
        their calls were rejected, the other nodes would select another proposer, each its own.
        """
        if self._store.has_quorum_contact():
            self._last_contact_at = self._monotonic_ns()
            return True
        deadline = min(self._last_contact_at + CONTACT_MEMORY_NS, self._monotonic_ns() + CONTACT_GRACE_NS)
        while self._monotonic_ns() < deadline:
            await asyncio.sleep(CONTACT_POLL_INTERVAL_S)
            if self._store.has_quorum_contact():
                return True
        return False

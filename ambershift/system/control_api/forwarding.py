"""Brings a call on a register to the machine that proposes for it, or past it where it is silent.

Any machine may propose for any register: that one does it is a matter of speed. A call that was forwarded may
therefore be carried out there and here too; calls on registers are made so that this does no harm.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ambershift.system.control_api.log_events import PROPOSER_UNRESPONSIVE
from ambershift.system.control_api.pending_calls import PendingCalls
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import ReplicatedState
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

PROPOSER_TIMEOUT_NS = 350 * NS_PER_MS  # Two trips between regions and a turn that has to be waited for.
LIVENESS_CHECK_INTERVAL_NS = (
    50 * NS_PER_MS
)  # How often it is asked after that whether the proposer is still there.
CONTACT_POLL_INTERVAL_S = 0.02  # Seconds between looks whether this machine is in touch again.
CONTACT_GRACE_NS = (
    150 * NS_PER_MS
)  # A voter's copy is complete again within this, once it has heard of new voters.
MIN_ATTEMPT_TIME_NS = 60 * NS_PER_MS  # With less left, nothing new is begun.

NOT_APPLIED = json_reply(503, Cause="not in touch with enough machines")
OUTCOME_UNKNOWN = json_reply(504, Cause="no clear outcome in time")
FINAL_STATUSES = frozenset({200, 400, 404, 409, 412})

# Carries the call out through this machine, by a time (ns, steady).
Propose = Callable[[int], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """A call as it goes to another machine: the register it is about, its number at this machine, the name
    that the protocol gives it, the id it is about, and its body."""

    register: str
    number: int
    name: str
    of: str
    body: bytes


class Forwarding:
    def __init__(
        self,
        ledger: ReplicatedState,
        own: str,
        steady: Callable[[], int],
        open_calls: PendingCalls,
        proposers: ProposerSelector,
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self._ledger, self._own, self._steady = ledger, own, steady
        self._open_calls, self._proposers, self._log = open_calls, proposers, log
        self._last_contact_at = 0  # When this machine was last seen to be in touch.

    async def execute(self, asked: OutgoingCall, until: int, propose: Propose) -> Reply:
        """503 only where nothing was done by any copy of this call; 504 where that is not certain."""
        if not await self.wait_for_contact():
            return NOT_APPLIED
        unclear = False
        while True:
            proposer = self._proposers.proposer_of(asked.register)
            if proposer == self._own:
                answer = await propose(until)
            else:
                answer = await self._forward(proposer, asked, until)
            if answer.status in FINAL_STATUSES:
                return answer
            unclear |= answer.status != NOT_APPLIED.status
            if proposer == self._own or until - self._steady() < MIN_ATTEMPT_TIME_NS:
                return OUTCOME_UNKNOWN if unclear else NOT_APPLIED

    async def _forward(self, proposer: str, asked: OutgoingCall, until: int) -> Reply:
        """What the proposer makes of it. One that is there but slow is waited for: a second proposer beside
        it would only take the register from it again and again, and make it slower still."""
        left = (until - self._steady()) // NS_PER_MS
        answer = self._open_calls.forward(proposer, asked.number, asked.name, asked.of, asked.body, left)
        try:
            patience = PROPOSER_TIMEOUT_NS
            while not answer.done() and (rest := until - self._steady()) > 0:
                await asyncio.wait([answer], timeout=min(patience, rest) / NS_PER_SECOND)
                patience = LIVENESS_CHECK_INTERVAL_NS
                if not answer.done() and not self._ledger.is_responsive(proposer):
                    break
            if answer.done():
                if answer.result().status == NOT_APPLIED.status:
                    self._proposers.suspect(proposer)
                return answer.result()
            self._proposers.suspect(proposer)
            self._log(PROPOSER_UNRESPONSIVE, {"owner": proposer, "register": asked.register})
            return OUTCOME_UNKNOWN
        finally:
            answer.cancel()

    async def wait_for_contact(self) -> bool:
        """Waits for a moment where this machine has only just lost touch: at each change of voters all copies
        are completed first. Refused, callers' machines would look for another proposer, each its own."""
        if self._ledger.has_quorum_contact():
            self._last_contact_at = self._steady()
            return True
        until = min(self._last_contact_at + NS_PER_SECOND, self._steady() + CONTACT_GRACE_NS)
        while self._steady() < until:
            await asyncio.sleep(CONTACT_POLL_INTERVAL_S)
            if self._ledger.has_quorum_contact():
                return True
        return False

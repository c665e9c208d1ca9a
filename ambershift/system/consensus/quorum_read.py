"""Reading what a majority of the voters stores, so that this copy has all that was acknowledged before."""

from __future__ import annotations

from typing import ClassVar

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.sync_session import SyncContext, SyncSession
from ambershift.system.interfaces import OutcomeUnknownError
from ambershift.system.messages.replication import SyncResponse, VoterConfiguration
from ambershift.system.state_machine import NS_PER_MS

CONTACT_PROOF_TIMEOUT_NS = 1000 * NS_PER_MS


class ContactProof(SyncSession):
    """A quorum read that nobody waits for: it renews the proof of contact (`contact_lease.py`)."""

    transfers_registers: ClassVar[bool] = False

    def _choose_peers(self, configuration: VoterConfiguration) -> None:
        voters = self._context.voters
        self.contacted = set(voters.ips) - {voters.local_node.ip}
        if voters.can_vote:
            self.completed.add(voters.local_node.ip)

    def on_answer(self, sender: str, response: SyncResponse, is_merged: bool) -> None:
        """Count the voter, if its copy is complete for the epoch."""
        if is_merged and response.complete_epoch >= self.epoch and sender in self._context.voters.ips:
            self.completed.add(sender)

    def is_done(self) -> bool:
        """Whether a majority has answered."""
        return len(self.completed) >= self._context.voters.quorum_size

    def on_done(self) -> None:
        """All that was acknowledged before the start is stored here."""
        self._context.contact.record_quorum_read(self.started_ns)

    def on_timeout(self) -> None:
        """Nobody waits; the next one is begun when the proof is old."""


class QuorumRead(ContactProof):
    """A quorum read for a caller."""

    def __init__(self, context: SyncContext, deadline_ns: int, call: int) -> None:
        super().__init__(context, deadline_ns)
        self._call = call

    def on_done(self) -> None:
        """Answer the caller."""
        super().on_done()
        self._context.out.complete_call(self._call, CallSucceeded(None))

    def on_timeout(self) -> None:
        """Answer the caller with `OutcomeUnknownError`."""
        self._context.out.complete_call(self._call, OutcomeUnknownError("too few voters answered in time"))

"""Requests that want this machine's vote: answered only among voters of the same epoch, else deferred."""

from __future__ import annotations

from functools import partial

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.announcements import Announcer
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.sync_responder import SyncResponder
from ambershift.system.consensus.voters import VotingState
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.replication import (
    Accept,
    Acknowledgement,
    ConfirmBallot,
    MergeItems,
    Prepare,
    SyncRequest,
)

DEFERRED_MESSAGES_MAX = 2000

VoteRequest = Prepare | Accept | ConfirmBallot | SyncRequest | MergeItems


class VoteRequestHandler:
    """Passes requests to the acceptor and the sync responder, and keeps those that come too early."""

    def __init__(
        self,
        out: EffectBuffer,
        journal: WriteQueue,
        *,
        voters: VotingState,
        acceptor: Acceptor,
        sync_responder: SyncResponder,
        announcer: Announcer,
    ) -> None:
        self._out = out
        self._journal = journal
        self._voters = voters
        self._acceptor = acceptor
        self._sync_responder = sync_responder
        self._announcer = announcer
        self._deferred: list[tuple[str, VoteRequest]] = []

    @property
    def deferred(self) -> tuple[tuple[str, VoteRequest], ...]:
        """The senders and requests that wait, oldest first."""
        return tuple(self._deferred)

    def handle(self, sender: str, message: VoteRequest, epoch: int) -> None:
        """Answer, if the sender counts by the same voters as this machine does.

        One that is behind gets the newer configuration; one that is ahead is asked for it.
        """
        configuration = self._voters.configuration
        if configuration is not None and epoch < configuration.epoch:
            self._out.send(sender, configuration)
        elif configuration is None or epoch > configuration.epoch:
            self._announcer.announce([sender])  # Its answer is the newer configuration.
            self._defer(sender, message)
        elif isinstance(message, SyncRequest):
            self._sync_responder.answer_request(sender, message)
        elif self._voters.can_vote:
            self._vote(sender, message, epoch)
        elif self._voters.is_voter:
            self._defer(sender, message)

    def take_deferred(self) -> list[tuple[str, VoteRequest]]:
        """The senders and requests that waited, oldest first; they wait no more."""
        deferred, self._deferred = self._deferred, []
        return deferred

    def _vote(self, sender: str, message: Prepare | Accept | ConfirmBallot | MergeItems, epoch: int) -> None:
        if isinstance(message, Prepare):
            self._acceptor.prepare(sender, message)
        elif isinstance(message, Accept):
            self._acceptor.accept(sender, message)
        elif isinstance(message, ConfirmBallot):
            self._acceptor.confirm(sender, message)
        else:
            self._journal.on_durable(
                partial(self._out.send, sender, Acknowledgement(epoch, message.request_id))
            )

    def _defer(self, sender: str, message: VoteRequest) -> None:
        """Keep it until this machine knows the newer voters, or is complete: both take a moment only."""
        if len(self._deferred) < DEFERRED_MESSAGES_MAX:
            self._deferred.append((sender, message))

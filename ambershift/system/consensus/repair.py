"""Anti-entropy repair: fetching what differs from one peer, as its heartbeat's checksum showed."""

from __future__ import annotations

from ambershift.system.consensus.sync_session import SyncContext, SyncSession
from ambershift.system.messages.replication import SyncResponse, VoterConfiguration
from ambershift.system.state_machine import NS_PER_MS

REPAIR_TIMEOUT_NS = 2000 * NS_PER_MS


class Repair(SyncSession):
    """Ends with the peer's first complete answer, whatever it brought: heartbeats tell if more differs."""

    def __init__(self, context: SyncContext, peer: str) -> None:
        super().__init__(context, context.out.now + REPAIR_TIMEOUT_NS)
        self.contacted.add(peer)
        self._is_answered = False

    def _choose_peers(self, configuration: VoterConfiguration) -> None:
        """Only the peer that differs is asked."""

    def on_answer(self, sender: str, response: SyncResponse, is_merged: bool) -> None:
        """The peer has answered."""
        self._is_answered = True

    def is_done(self) -> bool:
        """Whether the peer has answered."""
        return self._is_answered

    def on_timeout(self) -> None:
        """Nothing follows: the next heartbeat with a differing checksum begins another repair."""

    def on_done(self) -> None:
        """Nothing follows: what was received is merged."""

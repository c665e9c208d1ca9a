"""Brings this copy up to the peers': runs the sync sessions, sends their requests and merges the answers."""

from __future__ import annotations

from collections.abc import Callable

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.catch_up import CatchUp
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.quorum_read import CONTACT_PROOF_TIMEOUT_NS, ContactProof, QuorumRead
from ambershift.system.consensus.repair import Repair
from ambershift.system.consensus.sync_session import SyncContext, SyncSession
from ambershift.system.messages.replication import SyncRequest, SyncResponse
from ambershift.system.state_machine import NS_PER_MS

RETRY_INTERVAL_NS = 250 * NS_PER_MS


class AntiEntropy:
    """The sync sessions of a replica, in the order in which they were opened."""

    def __init__(
        self,
        context: SyncContext,
        *,
        store: ItemStore,
        acceptor: Acceptor,
        next_request_id: Callable[[], int],
    ) -> None:
        self._context = context
        self._out = context.out
        self._voters = context.voters
        self._store = store
        self._acceptor = acceptor
        self._next_request_id = next_request_id
        self._sessions: list[SyncSession] = []

    def read(self, call: int, deadline_ns: int) -> None:
        """Read what a majority stores and answer `call`, by `deadline_ns` (steady) at the latest."""
        self._open(QuorumRead(self._context, deadline_ns, call))

    def prove_contact(self) -> None:
        """Read what a majority stores to renew the proof of contact, unless that is under way."""
        if not any(type(session) is ContactProof for session in self._sessions):
            self._open(ContactProof(self._context, self._out.now + CONTACT_PROOF_TIMEOUT_NS))

    def catch_up(self) -> None:
        """Begin to gather all that was stored under the voters before, so that this machine may vote."""
        self._sessions = [session for session in self._sessions if not isinstance(session, CatchUp)]
        if self._voters.is_voter and not self._voters.can_vote:
            self._open(CatchUp(self._context))

    def repair_from(self, ip: str) -> None:
        """Fetch what differs from that peer, unless a repair is under way.

        One that waits for a peer that is gone is replaced: nothing comes of it, and others may have it.
        """
        repairs = [session for session in self._sessions if isinstance(session, Repair)]
        if any(self._context.is_ready(peer) for session in repairs for peer in session.contacted):
            return
        self._sessions = [session for session in self._sessions if not isinstance(session, Repair)]
        self._open(Repair(self._context, ip))

    def receive_response(self, sender: str, response: SyncResponse) -> None:
        """Merge a part of a peer's answer; act on the answer once all its parts are here."""
        resets = self._store.resets
        is_merged = self._store.merge(response.items, response.tombstone_batch)
        if not self._voters.can_vote:
            self._acceptor.merge(response.registers)
        if self._store.resets != resets:
            self.restart()
            return
        session = next((session for session in self._sessions if response.request_id in session.parts), None)
        if (
            session is None
            or response.epoch != session.epoch
            or session.parts[response.request_id][0] != sender
        ):
            return
        if response.wants_bucket_digests:
            session.wants_bucket_digests.add(sender)
            del session.parts[response.request_id]
            self._send_request(session, sender)
        elif session.add_part(response):
            session.on_answer(sender, response, is_merged)
            self._end_if_done(session)

    def restart(self) -> None:
        """Begin all sessions anew: the configuration was thrown away, and what they brought with it."""
        for session in list(self._sessions):
            self._start(session)

    def on_connected(self, ip: str) -> None:
        """Ask the peer again: what was sent to it before is lost, and after a start all proxies wait."""
        for session in self._sessions:
            if session.epoch and ip in session.pending_peers():
                self._send_request(session, ip)

    def tick(self) -> None:
        """End sessions that are due, and ask again."""
        for session in list(self._sessions):
            if self._out.now >= session.deadline_ns:
                self._sessions.remove(session)
                session.on_timeout()
            elif session.epoch == 0:
                self._start(session)
            elif session.widen() or self._out.now >= session.retry_at_ns:
                self._send_requests(session)

    def epoch_changed(self) -> None:
        """Begin reads anew among the new voters, and catch up with what was stored under the old ones."""
        for session in list(self._sessions):
            if isinstance(session, QuorumRead):
                self._start(session)
            elif isinstance(session, (Repair, ContactProof)):
                self._sessions.remove(session)
        self.catch_up()

    def _open(self, session: SyncSession) -> None:
        self._sessions.append(session)
        self._start(session)

    def _start(self, session: SyncSession) -> None:
        configuration = self._voters.configuration
        if configuration is None:
            return
        session.start(configuration)
        self._send_requests(session)
        self._end_if_done(session)

    def _end_if_done(self, session: SyncSession) -> None:
        if session.is_done():
            self._sessions.remove(session)
            session.on_done()

    def _send_requests(self, session: SyncSession) -> None:
        session.retry_at_ns = self._out.now + RETRY_INTERVAL_NS
        for ip in sorted(session.pending_peers()):
            self._send_request(session, ip)

    def _send_request(self, session: SyncSession, ip: str) -> None:
        buckets = self._store.buckets
        all_buckets = session.needs_bucket_digests or ip in session.wants_bucket_digests
        wants_registers = session.transfers_registers and not self._voters.can_vote
        registers = self._acceptor.ballots() if wants_registers else None
        digests = buckets.bucket_digest() if all_buckets else buckets.total_digest()
        request_id = self._next_request_id()
        session.parts[request_id] = ip, set()
        self._out.send(ip, SyncRequest(session.epoch, request_id, digests, registers))

"""Brings this copy up to others': on a call, before it may vote, and quietly when checksums differ."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.quorum import majority
from ambershift.system.consensus.voters import VotingState, includes_disk
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.interfaces import OutcomeUnknownError
from ambershift.system.messages.items import Item
from ambershift.system.messages.replication import AcceptorState, SyncRequest, SyncResponse
from ambershift.system.state_machine import NS_PER_MS

RETRY_INTERVAL_NS = 250 * NS_PER_MS
SINGLE_SOURCE_RETRY_INTERVAL_NS = (
    60 * NS_PER_MS
)  # Before a machine that isn't complete itself is asked again, while it alone is asked.
SINGLE_SOURCE_PERIOD_NS = 400 * NS_PER_MS  # For so long.
PART_BYTES_MAX = 64 << 10  # Bytes of one part, so that a large copy doesn't hold up what else is on the link.
READ, CATCH_UP, REPAIR = "call", "complete", "quiet"
CONTACT_PROOF = "proof"  # As a call, but nobody waits for it: it renews the proof of contact.
QUORUM_READS = (READ, CONTACT_PROOF)
REPAIR_TIMEOUT_NS, CONTACT_PROOF_TIMEOUT_NS = 2000 * NS_PER_MS, 1000 * NS_PER_MS


@dataclass(slots=True)
class SyncSession:
    kind: str
    deadline_ns: int
    call: int = 0
    epoch: int = 0  # 0 while no voters are known.
    started_ns: int = 0  # When those asked were asked first.
    contacted: set[str] = field(default_factory=set)
    completed: set[str] = field(default_factory=set)
    # By the number of each asking: whom, and the parts of its answer that are here. Parts of two answers
    # must not make up one: between them lies what neither brought.
    parts: dict[int, tuple[str, set[int]]] = field(default_factory=dict)
    wants_bucket_digests: set[str] = field(default_factory=set)  # Whom the digests of all buckets were told.
    retry_at_ns: int = 0
    single_source_until_ns: int = 0  # Till then only the nearest is asked: who lacks much fetches it once.


class AntiEntropy:
    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        store: ItemStore,
        acceptor: Acceptor,
        journal: WriteQueue,
        numbers: Callable[[], int],
        ready: Callable[[str], bool],
        completed: Callable[[], None],
        contact: ContactLease,
    ) -> None:
        self._out, self._voters, self._store, self._acceptor = out, voters, store, acceptor
        self._contact = contact
        self._journal, self._numbers, self._ready, self._completed = journal, numbers, ready, completed
        self._sessions: list[SyncSession] = []

    # Asking.

    def read(self, call: int, deadline: int) -> None:
        self._open(SyncSession(READ, deadline, call))

    def prove_contact(self) -> None:
        """Read what a majority holds, unless that is under way."""
        if not any(one.kind == CONTACT_PROOF for one in self._sessions):
            self._open(SyncSession(CONTACT_PROOF, self._out.now + CONTACT_PROOF_TIMEOUT_NS))

    def catch_up(self) -> None:
        """Begin to gather all that was held under the voters before, so that this machine may vote."""
        self._sessions = [one for one in self._sessions if one.kind != CATCH_UP]
        if self._voters.is_voter and not self._voters.can_vote:
            self._open(SyncSession(CATCH_UP, 1 << 62))

    def repair_from(self, ip: str) -> None:
        """Fetch what differs from that machine, unless something is being fetched already: from one that is
        gone nothing comes, and others may have it."""
        under_way = [one for one in self._sessions if one.kind == REPAIR]
        if any(self._ready(asked) for one in under_way for asked in one.contacted):
            return
        self._sessions = [one for one in self._sessions if one.kind != REPAIR]
        session = SyncSession(REPAIR, self._out.now + REPAIR_TIMEOUT_NS)
        session.contacted.add(ip)
        self._open(session)

    def _open(self, session: SyncSession) -> None:
        self._sessions.append(session)
        self._start(session)

    def _start(self, session: SyncSession) -> None:
        decision = self._voters.configuration
        if decision is None:
            return
        session.epoch, session.started_ns = decision.epoch, self._out.now
        session.completed.clear()
        session.parts.clear()
        session.wants_bucket_digests.clear()
        me = self._voters.local_node
        if session.kind in QUORUM_READS:
            session.contacted = set(self._voters.ips) - {me.ip}
            if self._voters.can_vote:
                session.completed.add(me.ip)
        elif session.kind == CATCH_UP:
            others = [ip for ip in self._voters.ips_by_proximity if ip != me.ip]
            session.contacted = {*others, *(member.ip for member in decision.previous_voters)} - {me.ip}
            if (
                includes_disk(decision.previous_voters, me.ip, me.disk_id)
                and self._voters.complete_epoch >= decision.epoch - 1
            ):
                session.completed.add(me.ip)
            else:
                session.single_source_until_ns = self._out.now + SINGLE_SOURCE_PERIOD_NS
                session.contacted = set([ip for ip in others if self._ready(ip)][:1]) or session.contacted
        self._send(session)
        self._check(session)

    def _send(self, session: SyncSession) -> None:
        session.retry_at_ns = self._out.now + RETRY_INTERVAL_NS
        for ip in sorted(session.contacted - session.completed):
            self._ask(session, ip)

    def _ask(self, session: SyncSession, ip: str) -> None:
        long = session.kind == CATCH_UP or ip in session.wants_bucket_digests
        wanted = session.kind not in QUORUM_READS and not self._voters.can_vote
        registers = self._acceptor.ballots() if wanted else None
        items = self._store.buckets.bucket_digest() if long else self._store.buckets.total_digest()
        number = self._numbers()
        session.parts[number] = ip, set()
        self._out.send(ip, SyncRequest(session.epoch, number, items, registers))

    def receive_response(self, sender: str, response: SyncResponse) -> None:
        replaced = self._store.resets
        taken = self._store.merge(response.items, response.tombstone_batch)
        if not self._voters.can_vote:
            self._acceptor.merge(response.registers)
        if self._store.resets != replaced:
            self.restart()
            return
        session = next((one for one in self._sessions if response.request_id in one.parts), None)
        if (
            session is None
            or response.epoch != session.epoch
            or session.parts[response.request_id][0] != sender
        ):
            return
        if response.wants_bucket_digests:
            session.wants_bucket_digests.add(sender)
            del session.parts[response.request_id]
            self._ask(session, sender)
            return
        parts = session.parts[response.request_id][1]
        parts.add(response.part_index)
        if len(parts) < response.part_count:
            return
        del session.parts[response.request_id]
        if session.kind == REPAIR:
            self._sessions.remove(session)
        elif not taken:
            return
        elif session.kind in QUORUM_READS:
            if response.complete_epoch >= session.epoch and sender in self._voters.ips:
                session.completed.add(sender)
        elif response.complete_epoch >= session.epoch:
            self._finish(session)  # It has all that was held before this epoch, so one copy is enough.
            return
        elif self._counts(sender, response):
            session.completed.add(sender)
            if self._out.now < session.single_source_until_ns:
                session.completed.clear()
                session.retry_at_ns = self._out.now + SINGLE_SOURCE_RETRY_INTERVAL_NS
        self._check(session)

    def _counts(self, sender: str, response: SyncResponse) -> bool:
        """Whether that is a voter of the epoch before, complete then, that counts for it no more."""
        decision = self._voters.configuration
        return (
            decision is not None
            and response.complete_epoch >= decision.epoch - 1
            and includes_disk(decision.previous_voters, sender, response.disk_id)
        )

    def _check(self, session: SyncSession) -> None:
        decision = self._voters.configuration
        if session.kind in QUORUM_READS and len(session.completed) >= self._voters.quorum_size:
            self._sessions.remove(session)
            self._contact.record_quorum_read(session.started_ns)
            if session.kind == READ:
                self._out.complete_call(session.call, CallSucceeded(None))
        elif (
            session.kind == CATCH_UP
            and decision is not None
            and len(session.completed) >= majority(len(decision.previous_voters))
        ):
            self._finish(session)

    def _finish(self, session: SyncSession) -> None:
        self._sessions.remove(session)
        self._voters.mark_complete()
        self._completed()

    def restart(self) -> None:
        """What was fetched so far was thrown away: it may be of before drops that all have forgotten."""
        for one in list(self._sessions):
            self._start(one)

    def on_connected(self, ip: str) -> None:
        """What was asked of it before is lost; after a start all proxies wait for it."""
        for one in self._sessions:
            if one.epoch and ip in one.contacted - one.completed:
                self._ask(one, ip)

    # Telling.

    def answer_request(self, sender: str, request: SyncRequest) -> None:
        """Tell what differs. Only after the disk has it all: that this machine has left the epoch before,
        above everything."""
        names = self._store.buckets.differing_names(request.item_digests)
        head = partial(
            SyncResponse,
            request.epoch,
            request.request_id,
            self._voters.complete_epoch,
            self._voters.local_node.disk_id,
        )
        if names is None:
            self._out.send(sender, head(0, 1, True, (), (), tombstone_batch=self._store.collected.batch))
            return
        records = (
            [] if request.register_ballots is None else self._acceptor.newer_than(request.register_ballots)
        )
        parts = list(_parts(self._store.by_row_keys(names), records))
        shares = [
            head(index, len(parts), False, items, registers, tombstone_batch=self._store.collected.batch)
            for index, (items, registers) in enumerate(parts)
        ]
        for share in shares:
            self._journal.on_durable(partial(self._out.send, sender, share))

    # Time and voters.

    def tick(self) -> None:
        for one in list(self._sessions):
            if self._out.now >= one.deadline_ns:
                self._sessions.remove(one)
                if one.kind == READ:
                    self._out.complete_call(one.call, OutcomeUnknownError("too few voters answered in time"))
            elif one.epoch == 0:
                self._start(one)
            elif one.single_source_until_ns and self._out.now >= one.single_source_until_ns:
                one.single_source_until_ns = 0
                one.contacted = set(self._voters.ips) - {self._voters.local_node.ip}
                if self._voters.configuration is not None:
                    one.contacted |= {member.ip for member in self._voters.configuration.previous_voters}
                self._send(one)
            elif self._out.now >= one.retry_at_ns:
                self._send(one)

    def epoch_changed(self) -> None:
        for one in list(self._sessions):
            if one.kind in (REPAIR, CONTACT_PROOF):
                self._sessions.remove(one)
            elif one.kind == READ:
                self._start(one)
        self.catch_up()


def _parts(
    items: Iterable[Item], records: Iterable[tuple[str, AcceptorState]]
) -> Iterable[tuple[tuple[Item, ...], tuple[tuple[str, AcceptorState], ...]]]:
    """All entries in order, cut into parts of a bounded size; at least one part."""
    some: list[Item] = []
    others: list[tuple[str, AcceptorState]] = []
    size = 0
    for item in items:
        some.append(item)
        size += len(msgspec.msgpack.encode(item))
        if size > PART_BYTES_MAX:
            yield tuple(some), ()
            some, size = [], 0
    for record in records:
        others.append(record)
        size += len(msgspec.msgpack.encode(record))
        if size > PART_BYTES_MAX:
            yield tuple(some), tuple(others)
            some, others, size = [], [], 0
    yield tuple(some), tuple(others)

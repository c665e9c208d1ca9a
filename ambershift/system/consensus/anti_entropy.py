"""Brings this copy up to others': on a call, before it may vote, and quietly when checksums differ."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.contact_lease import Contact
from ambershift.system.consensus.effect_buffer import Held, Outbox
from ambershift.system.consensus.item_store import Store
from ambershift.system.consensus.quorum import majority
from ambershift.system.consensus.voters import Voters, holds
from ambershift.system.consensus.write_queue import Journal
from ambershift.system.interfaces import OutcomeUnknownError
from ambershift.system.messages.items import Item
from ambershift.system.messages.replication import AcceptorState, SyncRequest, SyncResponse
from ambershift.system.state_machine import NS_PER_MS

AGAIN = 250 * NS_PER_MS
SOON = 60 * NS_PER_MS  # Before a machine that isn't complete itself is asked again, while it alone is asked.
ALONE = 400 * NS_PER_MS  # For so long.
PART = 64 << 10  # Bytes of one part, so that a large copy doesn't hold up what else is on the link.
CALL, COMPLETE, QUIET = "call", "complete", "quiet"
PROOF = "proof"  # As a call, but nobody waits for it: it renews the proof of contact.
READINGS = (CALL, PROOF)
QUIET_FOR, PROOF_FOR = 2000 * NS_PER_MS, 1000 * NS_PER_MS


@dataclass(slots=True)
class Session:
    kind: str
    deadline: int
    call: int = 0
    epoch: int = 0  # 0 while no voters are known.
    begun: int = 0  # When those asked were asked first.
    asked: set[str] = field(default_factory=set)
    yes: set[str] = field(default_factory=set)
    # By the number of each asking: whom, and the parts of its answer that are here. Parts of two answers
    # must not make up one: between them lies what neither brought.
    parts: dict[int, tuple[str, set[int]]] = field(default_factory=dict)
    long: set[str] = field(default_factory=set)  # Whom the digests of all buckets were told.
    again: int = 0
    alone_till: int = 0  # Till then only the nearest is asked: who lacks much fetches it once.


class Syncing:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        store: Store,
        acceptor: Acceptor,
        journal: Journal,
        numbers: Callable[[], int],
        ready: Callable[[str], bool],
        completed: Callable[[], None],
        contact: Contact,
    ) -> None:
        self._out, self._voters, self._store, self._acceptor = out, voters, store, acceptor
        self._contact = contact
        self._journal, self._numbers, self._ready, self._completed = journal, numbers, ready, completed
        self._sessions: list[Session] = []

    # Asking.

    def freshen(self, call: int, deadline: int) -> None:
        self._open(Session(CALL, deadline, call))

    def prove(self) -> None:
        """Read what a majority holds, unless that is under way."""
        if not any(one.kind == PROOF for one in self._sessions):
            self._open(Session(PROOF, self._out.now + PROOF_FOR))

    def complete(self) -> None:
        """Begin to gather all that was held under the voters before, so that this machine may vote."""
        self._sessions = [one for one in self._sessions if one.kind != COMPLETE]
        if self._voters.member and not self._voters.voting:
            self._open(Session(COMPLETE, 1 << 62))

    def quiet(self, ip: str) -> None:
        """Fetch what differs from that machine, unless something is being fetched already: from one that is
        gone nothing comes, and others may have it."""
        under_way = [one for one in self._sessions if one.kind == QUIET]
        if any(self._ready(asked) for one in under_way for asked in one.asked):
            return
        self._sessions = [one for one in self._sessions if one.kind != QUIET]
        session = Session(QUIET, self._out.now + QUIET_FOR)
        session.asked.add(ip)
        self._open(session)

    def _open(self, one: Session) -> None:
        self._sessions.append(one)
        self._start(one)

    def _start(self, one: Session) -> None:
        decision = self._voters.decision
        if decision is None:
            return
        one.epoch, one.begun = decision.epoch, self._out.now
        one.yes.clear()
        one.parts.clear()
        one.long.clear()
        me = self._voters.me
        if one.kind in READINGS:
            one.asked = set(self._voters.ips) - {me.ip}
            if self._voters.voting:
                one.yes.add(me.ip)
        elif one.kind == COMPLETE:
            others = [ip for ip in self._voters.near if ip != me.ip]
            one.asked = {*others, *(member.ip for member in decision.previous_voters)} - {me.ip}
            if holds(decision.previous_voters, me.ip, me.birth) and self._voters.whole >= decision.epoch - 1:
                one.yes.add(me.ip)
            else:
                one.alone_till = self._out.now + ALONE
                one.asked = set([ip for ip in others if self._ready(ip)][:1]) or one.asked
        self._send(one)
        self._check(one)

    def _send(self, one: Session) -> None:
        one.again = self._out.now + AGAIN
        for ip in sorted(one.asked - one.yes):
            self._ask(one, ip)

    def _ask(self, one: Session, ip: str) -> None:
        long = one.kind == COMPLETE or ip in one.long
        wanted = one.kind not in READINGS and not self._voters.voting
        registers = self._acceptor.ballots() if wanted else None
        items = self._store.buckets.long() if long else self._store.buckets.short()
        number = self._numbers()
        one.parts[number] = ip, set()
        self._out.send(ip, SyncRequest(one.epoch, number, items, registers))

    def shared(self, sender: str, share: SyncResponse) -> None:
        replaced = self._store.replaced
        taken = self._store.merge(share.items, share.tombstone_batch)
        if not self._voters.voting:
            self._acceptor.merge(share.registers)
        if self._store.replaced != replaced:
            self.restart()
            return
        one = next((one for one in self._sessions if share.request_id in one.parts), None)
        if one is None or share.epoch != one.epoch or one.parts[share.request_id][0] != sender:
            return
        if share.wants_bucket_digests:
            one.long.add(sender)
            del one.parts[share.request_id]
            self._ask(one, sender)
            return
        parts = one.parts[share.request_id][1]
        parts.add(share.part_index)
        if len(parts) < share.part_count:
            return
        del one.parts[share.request_id]
        if one.kind == QUIET:
            self._sessions.remove(one)
        elif not taken:
            return
        elif one.kind in READINGS:
            if share.complete_epoch >= one.epoch and sender in self._voters.ips:
                one.yes.add(sender)
        elif share.complete_epoch >= one.epoch:
            self._finish(one)  # It has all that was held before this epoch, so one copy is enough.
            return
        elif self._counts(sender, share):
            one.yes.add(sender)
            if self._out.now < one.alone_till:
                one.yes.clear()
                one.again = self._out.now + SOON
        self._check(one)

    def _counts(self, sender: str, share: SyncResponse) -> bool:
        """Whether that is a voter of the epoch before, complete then, that counts for it no more."""
        decision = self._voters.decision
        return (
            decision is not None
            and share.complete_epoch >= decision.epoch - 1
            and holds(decision.previous_voters, sender, share.disk_id)
        )

    def _check(self, one: Session) -> None:
        decision = self._voters.decision
        if one.kind in READINGS and len(one.yes) >= self._voters.enough:
            self._sessions.remove(one)
            self._contact.read(one.begun)
            if one.kind == CALL:
                self._out.answer(one.call, Held(None))
        elif (
            one.kind == COMPLETE
            and decision is not None
            and len(one.yes) >= majority(len(decision.previous_voters))
        ):
            self._finish(one)

    def _finish(self, one: Session) -> None:
        self._sessions.remove(one)
        self._voters.complete()
        self._completed()

    def restart(self) -> None:
        """What was fetched so far was thrown away: it may be of before drops that all have forgotten."""
        for one in list(self._sessions):
            self._start(one)

    def reached(self, ip: str) -> None:
        """What was asked of it before is lost; after a start all proxies wait for it."""
        for one in self._sessions:
            if one.epoch and ip in one.asked - one.yes:
                self._ask(one, ip)

    # Telling.

    def asked(self, sender: str, ask: SyncRequest) -> None:
        """Tell what differs. Only after the disk has it all: that this machine has left the epoch before,
        above everything."""
        names = self._store.buckets.unequal(ask.item_digests)
        head = partial(SyncResponse, ask.epoch, ask.request_id, self._voters.whole, self._voters.me.birth)
        if names is None:
            self._out.send(sender, head(0, 1, True, (), (), tombstone_batch=self._store.forgotten.batch))
            return
        records = [] if ask.register_ballots is None else self._acceptor.newer(ask.register_ballots)
        parts = list(_parts(self._store.named(names), records))
        shares = [
            head(index, len(parts), False, items, registers, tombstone_batch=self._store.forgotten.batch)
            for index, (items, registers) in enumerate(parts)
        ]
        for share in shares:
            self._journal.synced(partial(self._out.send, sender, share))

    # Time and voters.

    def tick(self) -> None:
        for one in list(self._sessions):
            if self._out.now >= one.deadline:
                self._sessions.remove(one)
                if one.kind == CALL:
                    self._out.answer(one.call, OutcomeUnknownError("too few voters answered in time"))
            elif one.epoch == 0:
                self._start(one)
            elif one.alone_till and self._out.now >= one.alone_till:
                one.alone_till = 0
                one.asked = set(self._voters.ips) - {self._voters.me.ip}
                if self._voters.decision is not None:
                    one.asked |= {member.ip for member in self._voters.decision.previous_voters}
                self._send(one)
            elif self._out.now >= one.again:
                self._send(one)

    def epoch_changed(self) -> None:
        for one in list(self._sessions):
            if one.kind in (QUIET, PROOF):
                self._sessions.remove(one)
            elif one.kind == CALL:
                self._start(one)
        self.complete()


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
        if size > PART:
            yield tuple(some), ()
            some, size = [], 0
    for record in records:
        others.append(record)
        size += len(msgspec.msgpack.encode(record))
        if size > PART:
            yield tuple(some), tuple(others)
            some, others, size = [], [], 0
    yield tuple(some), tuple(others)

"""Lets all copies forget the operator's oldest dropped items, so that their number stays bounded. No I/O.

| step | what it proves |
| --- | --- |
| the drops, and the batch before, are put on all disks | no voter has such an item, or misses two batches |
| the next batch is agreed, in a register of its own | one content a batch, whoever proposes |
| the batch is put on a majority | a reading brings it, as any item |

A machine that isn't a voter may come back with older state. The last batches are told in full; whoever
misses more throws its configuration away and reads it anew (`Store`). Nobody relies on such a copy, as it
is of no voter. While a voter is away nothing is forgotten.
"""

from __future__ import annotations

from heapq import nsmallest

import msgspec

from ambershift.system.consensus.effect_buffer import Held, Outbox
from ambershift.system.consensus.failure_detector import FailureDetector
from ambershift.system.consensus.item_store import Store
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.quorum_write import Writing
from ambershift.system.consensus.voters import Voters
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import Item
from ambershift.system.messages.tombstones import NO_COLLECTED_TOMBSTONES, CollectedTombstones
from ambershift.system.state_machine import NS_PER_SECOND

REGISTER = "forgotten"
KEPT = 1024  # Drops that are kept: a call of before them that comes late is told what became of it.
BATCH = 256
EVERY = 10 * NS_PER_SECOND
WITHIN = 5 * NS_PER_SECOND
EVENT_FORGOTTEN = 211
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CollectedTombstones).decode


class Forgetting:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        watching: FailureDetector,
        store: Store,
        proposer: Proposer,
        writing: Writing,
    ) -> None:
        self._out, self._voters, self._watching = out, voters, watching
        self._store, self._proposer, self._writing = store, proposer, writing
        self._next = out.now + EVERY

    def tick(self) -> None:
        now = self._out.now
        if now < self._next:
            return
        self._next = now + EVERY
        if len(self._store.drops) >= KEPT + BATCH and self._first() and self._watching.has_quorum_contact():
            many = min(BATCH, len(self._store.drops) - KEPT)
            oldest = nsmallest(many, self._store.drops.values(), key=lambda one: (one.version, one.key))
            self._put_everywhere(oldest)

    def _first(self) -> bool:
        """Whether it is this machine's turn: two at once do no harm, but cost."""
        there = [ip for ip in self._voters.ips if self._watching.is_alive(ip)]
        return self._voters.voting and min(there) == self._voters.me.ip

    def _put_everywhere(self, oldest: list[Item]) -> None:
        before = self._store.forgotten

        def done(outcome: Held | Exception) -> None:
            if isinstance(outcome, Held):
                self._agree(before, before.with_batch(oldest))

        known = [] if before is NO_COLLECTED_TOMBSTONES else [before.as_item]
        self._writing.put([*oldest, *known], self._out.now + WITHIN, done, on_all=True)

    def _agree(self, before: CollectedTombstones, after: CollectedTombstones) -> None:
        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            standing = NO_COLLECTED_TOMBSTONES if value is None else _decode(value)
            if standing.batch != before.batch:
                return ChangeOutcome(
                    None, standing
                )  # Agreed already, but its put may not have come to its end.
            return ChangeOutcome(_encode(after), after)

        def done(outcome: Held | Exception) -> None:
            if isinstance(outcome, Held):
                self._put(outcome.result)

        self._proposer.call(REGISTER, change, self._out.now + WITHIN, done)

    def _put(self, agreed: CollectedTombstones) -> None:
        self._out.log(EVENT_FORGOTTEN, batch=agreed.batch, floor=agreed.highest_version)
        self._writing.put([agreed.as_item], self._out.now + WITHIN, lambda outcome: None)

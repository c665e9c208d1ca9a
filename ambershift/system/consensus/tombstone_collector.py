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

from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.failure_detector import FailureDetector
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.quorum_write import QuorumWriter
from ambershift.system.consensus.voters import VotingState
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import Item
from ambershift.system.messages.tombstones import NO_COLLECTED_TOMBSTONES, CollectedTombstones
from ambershift.system.state_machine import NS_PER_SECOND

REGISTER = "forgotten"
TOMBSTONES_RETAINED = (
    1024  # Drops that are kept: a call of before them that comes late is told what became of it.
)
BATCH_SIZE = 256
COLLECTION_INTERVAL_NS = 10 * NS_PER_SECOND
STEP_TIMEOUT_NS = 5 * NS_PER_SECOND
EVENT_FORGOTTEN = 211
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CollectedTombstones).decode


class TombstoneCollector:
    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        watching: FailureDetector,
        store: ItemStore,
        proposer: Proposer,
        writing: QuorumWriter,
    ) -> None:
        self._out, self._voters, self._watching = out, voters, watching
        self._store, self._proposer, self._writing = store, proposer, writing
        self._next = out.now + COLLECTION_INTERVAL_NS

    def tick(self) -> None:
        now = self._out.now
        if now < self._next:
            return
        self._next = now + COLLECTION_INTERVAL_NS
        if (
            len(self._store.tombstones) >= TOMBSTONES_RETAINED + BATCH_SIZE
            and self._is_responsible()
            and self._watching.has_quorum_contact()
        ):
            count = min(BATCH_SIZE, len(self._store.tombstones) - TOMBSTONES_RETAINED)
            oldest = nsmallest(count, self._store.tombstones.values(), key=lambda one: (one.version, one.key))
            self._write_to_all_voters(oldest)

    def _is_responsible(self) -> bool:
        """Whether it is this machine's turn: two at once do no harm, but cost."""
        live_voters = [ip for ip in self._voters.ips if self._watching.is_alive(ip)]
        return self._voters.can_vote and min(live_voters) == self._voters.local_node.ip

    def _write_to_all_voters(self, oldest: list[Item]) -> None:
        before = self._store.collected

        def done(outcome: CallSucceeded | Exception) -> None:
            if isinstance(outcome, CallSucceeded):
                self._agree_on_batch(before, before.with_batch(oldest))

        known = [] if before is NO_COLLECTED_TOMBSTONES else [before.as_item]
        self._writing.write([*oldest, *known], self._out.now + STEP_TIMEOUT_NS, done, to_all_voters=True)

    def _agree_on_batch(self, before: CollectedTombstones, after: CollectedTombstones) -> None:
        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            standing = NO_COLLECTED_TOMBSTONES if value is None else _decode(value)
            if standing.batch != before.batch:
                return ChangeOutcome(
                    None, standing
                )  # Agreed already, but its put may not have come to its end.
            return ChangeOutcome(_encode(after), after)

        def done(outcome: CallSucceeded | Exception) -> None:
            if isinstance(outcome, CallSucceeded):
                self._write_batch(outcome.result)

        self._proposer.change(REGISTER, change, self._out.now + STEP_TIMEOUT_NS, done)

    def _write_batch(self, agreed: CollectedTombstones) -> None:
        self._out.log(EVENT_FORGOTTEN, batch=agreed.batch, floor=agreed.highest_version)
        self._writing.write([agreed.as_item], self._out.now + STEP_TIMEOUT_NS, lambda outcome: None)

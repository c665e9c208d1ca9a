"""Collects the operator's oldest tombstones on all copies, so that their number stays bounded. No I/O.

| step | what it proves |
| --- | --- |
| the tombstones and the batch before are written to all voters | none has the items, or misses two batches |
| the next batch is agreed, in a register of its own | one content a batch, whoever proposes |
| the batch is written to a majority | a quorum read brings it, as any item |

A machine that isn't a voter may come back with older state. The last batches are listed in full; a copy that
misses more drops its configuration and reads it anew (`ItemStore`). Nobody relies on such a copy, as it is of
no voter. While a voter is away nothing is collected.
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

COLLECTED_REGISTER = "forgotten"
# A call of before a tombstone that comes late is answered by what became of it while the tombstone is kept.
TOMBSTONES_RETAINED = 1024
BATCH_SIZE = 256
COLLECTION_INTERVAL_NS = 10 * NS_PER_SECOND
STEP_TIMEOUT_NS = 5 * NS_PER_SECOND
EVENT_TOMBSTONES_COLLECTED = 211
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CollectedTombstones).decode


class TombstoneCollector:
    """Collects a batch of the oldest tombstones now and then, on the live voter with the lowest ip."""

    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        store: ItemStore,
        *,
        failure_detector: FailureDetector,
        proposer: Proposer,
        quorum_writer: QuorumWriter,
    ) -> None:
        self._out = out
        self._voters = voters
        self._store = store
        self._failure_detector = failure_detector
        self._proposer = proposer
        self._quorum_writer = quorum_writer
        self._next_collection_ns = out.now + COLLECTION_INTERVAL_NS

    def tick(self) -> None:
        """Begin to collect a batch, where one is due and it is this machine's turn."""
        now = self._out.now
        if now < self._next_collection_ns:
            return
        self._next_collection_ns = now + COLLECTION_INTERVAL_NS
        tombstones = self._store.tombstones
        if (
            len(tombstones) >= TOMBSTONES_RETAINED + BATCH_SIZE
            and self._is_responsible()
            and self._failure_detector.has_quorum_contact()
        ):
            count = min(BATCH_SIZE, len(tombstones) - TOMBSTONES_RETAINED)
            oldest = nsmallest(count, tombstones.values(), key=lambda item: (item.version, item.key))
            self._write_to_all_voters(oldest)

    def _is_responsible(self) -> bool:
        """Whether it is this machine's turn: two at once do no harm, but cost."""
        live_voters = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        return self._voters.can_vote and min(live_voters) == self._voters.local_node.ip

    def _write_to_all_voters(self, oldest: list[Item]) -> None:
        """The first step: no voter has these items any more, or misses the batch before."""
        before = self._store.collected

        def on_done(outcome: CallSucceeded | Exception) -> None:
            if isinstance(outcome, CallSucceeded):
                self._agree_on_batch(before, before.with_batch(oldest))

        previous_batch = [] if before is NO_COLLECTED_TOMBSTONES else [before.as_item]
        deadline_ns = self._out.now + STEP_TIMEOUT_NS
        self._quorum_writer.write([*oldest, *previous_batch], deadline_ns, on_done, to_all_voters=True)

    def _agree_on_batch(self, before: CollectedTombstones, after: CollectedTombstones) -> None:
        """The second step: whoever proposes, a batch has one content."""

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            agreed = NO_COLLECTED_TOMBSTONES if value is None else _decode(value)
            if agreed.batch != before.batch:
                # Agreed already, but it may not have been written to a majority.
                return ChangeOutcome(None, agreed)
            return ChangeOutcome(_encode(after), after)

        def on_done(outcome: CallSucceeded | Exception) -> None:
            if isinstance(outcome, CallSucceeded):
                self._write_batch(outcome.result)

        self._proposer.change(COLLECTED_REGISTER, change, self._out.now + STEP_TIMEOUT_NS, on_done)

    def _write_batch(self, agreed: CollectedTombstones) -> None:
        """The third step: a majority stores the batch, so that a quorum read brings it."""
        self._out.log(EVENT_TOMBSTONES_COLLECTED, batch=agreed.batch, highest_version=agreed.highest_version)
        self._quorum_writer.write([agreed.as_item], self._out.now + STEP_TIMEOUT_NS, lambda outcome: None)

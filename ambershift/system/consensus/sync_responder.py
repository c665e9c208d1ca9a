"""Answers the `SyncRequest`s of peers with what differs here, in parts of a bounded size."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.voters import VotingState
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.items import Item
from ambershift.system.messages.replication import AcceptorState, SyncRequest, SyncResponse

# So that a large copy doesn't hold up what else is on the link.
PART_BYTES_MAX = 64 << 10

Registers = tuple[tuple[str, AcceptorState], ...]


class SyncResponder:
    """Reads the item store and the acceptor for peers."""

    def __init__(
        self,
        out: EffectBuffer,
        journal: WriteQueue,
        *,
        voters: VotingState,
        store: ItemStore,
        acceptor: Acceptor,
    ) -> None:
        self._out = out
        self._journal = journal
        self._voters = voters
        self._store = store
        self._acceptor = acceptor

    def answer_request(self, sender: str, request: SyncRequest) -> None:
        """Send what differs from the request's digests, once the disk has all of it.

        Above everything the disk must have it that this machine has left the epoch before: else it could,
        after a restart, still vote there for what this answer doesn't have.
        """
        row_keys = self._store.buckets.differing_names(request.item_digests)
        response = partial(
            SyncResponse,
            request.epoch,
            request.request_id,
            self._voters.complete_epoch,
            self._voters.local_node.disk_id,
        )
        batch = self._store.collected.batch
        if row_keys is None:
            self._out.send(sender, response(0, 1, True, (), (), tombstone_batch=batch))
            return
        registers = (
            [] if request.register_ballots is None else self._acceptor.newer_than(request.register_ballots)
        )
        parts = list(split_into_parts(self._store.by_row_keys(row_keys), registers))
        for index, (items, states) in enumerate(parts):
            message = response(index, len(parts), False, items, states, tombstone_batch=batch)
            self._journal.on_durable(partial(self._out.send, sender, message))


def split_into_parts(
    items: Iterable[Item], registers: Iterable[tuple[str, AcceptorState]]
) -> Iterable[tuple[tuple[Item, ...], Registers]]:
    """All entries in order, cut into parts of about `PART_BYTES_MAX` at the most; at least one part."""
    part_items: list[Item] = []
    part_registers: list[tuple[str, AcceptorState]] = []
    size = 0
    for item in items:
        part_items.append(item)
        size += len(msgspec.msgpack.encode(item))
        if size > PART_BYTES_MAX:
            yield tuple(part_items), ()
            part_items, size = [], 0
    for register in registers:
        part_registers.append(register)
        size += len(msgspec.msgpack.encode(register))
        if size > PART_BYTES_MAX:
            yield tuple(part_items), tuple(part_registers)
            part_items, part_registers, size = [], [], 0
    yield tuple(part_items), tuple(part_registers)

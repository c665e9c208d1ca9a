"""Rounds that bring items to enough voters: a put is done once enough have them, or newer ones, on disk."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.voters import VotingState
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.replication import Acknowledgement, MergeItems
from ambershift.system.state_machine import NS_PER_MS

RETRY_INTERVAL_NS = 250 * NS_PER_MS
ITEM_OVERHEAD_BYTES = 64  # Of an item on the wire beside its body, about.
TRANSFER_NS_PER_BYTE = 4000  # ns that a byte may take on a slow link, before the items are sent again.


@dataclass(slots=True)
class PendingWrite:
    """A write that isn't acknowledged yet.

    Attributes:
        on_done: Called once with the outcome.
        items: What is written.
        deadline_ns: When it is given up, steady clock.
        to_all_voters: Whether all voters must store it, not only a majority.
        request_id: Repeated in the voters' answers.
        epoch: Of the voters it is sent to; 0 while nothing was merged or sent.
        acknowledged: The ips of the voters that have stored it.
        retry_at_ns: When the others are sent it again.
    """

    on_done: Callable[[CallSucceeded | Exception], None]
    items: tuple[Item, ...]
    deadline_ns: int
    to_all_voters: bool
    request_id: int
    epoch: int = 0
    acknowledged: set[str] = field(default_factory=set)
    retry_at_ns: int = 0

    @property
    def keys(self) -> list[Key]:
        """The keys of the items."""
        return [item.key for item in self.items]


class QuorumWriter:
    """Sends items to the voters until enough have stored them, or newer ones."""

    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        store: ItemStore,
        *,
        next_request_id: Callable[[], int],
        learners: Callable[[], Sequence[str]],
    ) -> None:
        self._out = out
        self._voters = voters
        self._store = store
        self._next_request_id = next_request_id
        self._learners = learners
        self._writes: dict[int, PendingWrite] = {}

    def write(
        self,
        items: Sequence[Item],
        deadline_ns: int,
        on_done: Callable[[CallSucceeded | Exception], None],
        to_all_voters: bool = False,
    ) -> None:
        """Write the items and call `on_done` with the outcome, by `deadline_ns` (steady) at the latest.

        The outcome is `CallSucceeded(None)`, `OutcomeUnknownError`, or `NotAppliedError` where no voters were
        known.
        """
        write = PendingWrite(on_done, tuple(items), deadline_ns, to_all_voters, self._next_request_id())
        self._writes[write.request_id] = write
        self._start(write)

    def acknowledge(self, sender: str, message: Acknowledgement) -> None:
        """A voter has stored the items of one write, or newer ones."""
        write = self._writes.get(message.request_id)
        if write is None or message.epoch != write.epoch or sender not in self._voters.ips:
            return
        write.acknowledged.add(sender)
        needed = len(self._voters.ips) if write.to_all_voters else self._voters.quorum_size
        if len(write.acknowledged) >= needed:
            del self._writes[write.request_id]
            write.on_done(CallSucceeded(None))

    def tick(self) -> None:
        """End writes that are due, and send the others again."""
        for write in list(self._writes.values()):
            if self._out.now >= write.deadline_ns:
                del self._writes[write.request_id]
                write.on_done(
                    NotAppliedError("no voters are known yet")
                    if write.epoch == 0
                    else OutcomeUnknownError("too few voters answered in time")
                )
            elif write.epoch == 0:
                self._start(write)
            elif self._out.now >= write.retry_at_ns:
                pending = [ip for ip in self._voters.ips_by_proximity if ip not in write.acknowledged]
                self._send(write, pending)

    def epoch_changed(self) -> None:
        """Acknowledgements of the previous voters count for nothing: begin anew among the new ones."""
        for write in list(self._writes.values()):
            self._start(write)

    def _start(self, write: PendingWrite) -> None:
        """Begin, again if need be, among the present voters."""
        if self._voters.configuration is None:
            return
        is_first_attempt = write.epoch == 0
        write.epoch = self._voters.epoch
        write.acknowledged.clear()
        self._store.merge(write.items)
        self._send(write, self._voters.ips_by_proximity)
        if is_first_attempt:  # What learners miss later they find out by checksums.
            message = self._message(write, request_id=0)
            for ip in self._learners():
                self._out.send(ip, message)

    def _send(self, write: PendingWrite, ips: Sequence[str]) -> None:
        message = self._message(write, write.request_id)
        size = sum(len(item.body or b"") + ITEM_OVERHEAD_BYTES for item in message.items)
        write.retry_at_ns = self._out.now + RETRY_INTERVAL_NS + size * TRANSFER_NS_PER_BYTE
        for ip in ips:
            self._out.send(ip, message)

    def _message(self, write: PendingWrite, request_id: int) -> MergeItems:
        """What is stored now under the write's keys: it may be newer."""
        items = self._store.stored(write.keys)
        return MergeItems(write.epoch, request_id, items, self._store.collected.batch)

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
TRANSFER_NS_PER_BYTE = 4000  # ns that a byte may take on a slow link, before the items are sent again.


@dataclass(slots=True)
class PendingWrite:
    on_done: Callable[[CallSucceeded | Exception], None]
    items: tuple[Item, ...]
    deadline_ns: int
    to_all_voters: bool  # Not on enough voters, but on all.
    request_id: int = 0
    epoch: int = 0  # 0 while nothing was merged or sent.
    acknowledged: set[str] = field(default_factory=set)
    retry_at_ns: int = 0

    @property
    def keys(self) -> list[Key]:
        return [one.key for one in self.items]


class QuorumWriter:
    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        store: ItemStore,
        numbers: Callable[[], int],
        learners: Callable[[], Sequence[str]],
    ) -> None:
        self._out, self._voters, self._store = out, voters, store
        self._numbers, self._learners = numbers, learners
        self._writes: dict[int, PendingWrite] = {}

    def write(
        self,
        items: Sequence[Item],
        deadline_ns: int,
        on_done: Callable[[CallSucceeded | Exception], None],
        to_all_voters: bool = False,
    ) -> None:
        write = PendingWrite(on_done, tuple(items), deadline_ns, to_all_voters, self._numbers())
        self._writes[write.request_id] = write
        self._start(write)

    def _start(self, write: PendingWrite) -> None:
        """(Again) from nothing, among the voters of now."""
        if self._voters.configuration is None:
            return
        is_first_attempt = write.epoch == 0
        write.epoch = self._voters.epoch
        write.acknowledged.clear()
        self._store.merge(write.items)
        self._send(write, self._voters.ips_by_proximity)
        if is_first_attempt:  # What learners miss they find out by checksums.
            message = MergeItems(write.epoch, 0, self._store.stored(write.keys), self._store.collected.batch)
            for ip in self._learners():
                self._out.send(ip, message)

    def _send(self, write: PendingWrite, ips: Sequence[str]) -> None:
        message = MergeItems(
            write.epoch, write.request_id, self._store.stored(write.keys), self._store.collected.batch
        )
        size = sum(len(item.body or b"") + 64 for item in message.items)
        write.retry_at_ns = self._out.now + RETRY_INTERVAL_NS + size * TRANSFER_NS_PER_BYTE
        for ip in ips:
            self._out.send(ip, message)

    def acknowledge(self, sender: str, message: Acknowledgement) -> None:
        write = self._writes.get(message.request_id)
        if write is None or message.epoch != write.epoch or sender not in self._voters.ips:
            return
        write.acknowledged.add(sender)
        if len(write.acknowledged) >= (
            len(self._voters.ips) if write.to_all_voters else self._voters.quorum_size
        ):
            del self._writes[write.request_id]
            write.on_done(CallSucceeded(None))

    def tick(self) -> None:
        for one in list(self._writes.values()):
            if self._out.now >= one.deadline_ns:
                del self._writes[one.request_id]
                one.on_done(
                    NotAppliedError("no voters are known yet")
                    if one.epoch == 0
                    else OutcomeUnknownError("too few voters answered in time")
                )
            elif one.epoch == 0:
                self._start(one)
            elif self._out.now >= one.retry_at_ns:
                self._send(one, [ip for ip in self._voters.ips_by_proximity if ip not in one.acknowledged])

    def epoch_changed(self) -> None:
        for one in list(self._writes.values()):
            self._start(one)

"""Rounds that bring items to enough voters: a put is done once enough have them, or newer ones, on disk."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ambershift.system.consensus.effect_buffer import Held, Outbox
from ambershift.system.consensus.item_store import Store
from ambershift.system.consensus.voters import Voters
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.replication import Acknowledgement, MergeItems
from ambershift.system.state_machine import NS_PER_MS

AGAIN = 250 * NS_PER_MS
BYTE = 4000  # ns that a byte may take on a slow link, before the items are sent again.


@dataclass(slots=True)
class Put:
    done: Callable[[Held | Exception], None]
    items: tuple[Item, ...]
    deadline: int
    on_all: bool  # Not on enough voters, but on all.
    number: int = 0
    epoch: int = 0  # 0 while nothing was merged or sent.
    yes: set[str] = field(default_factory=set)
    again: int = 0

    @property
    def keys(self) -> list[Key]:
        return [one.key for one in self.items]


class Writing:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        store: Store,
        numbers: Callable[[], int],
        learners: Callable[[], Sequence[str]],
    ) -> None:
        self._out, self._voters, self._store = out, voters, store
        self._numbers, self._learners = numbers, learners
        self._puts: dict[int, Put] = {}

    def put(
        self,
        items: Sequence[Item],
        deadline: int,
        done: Callable[[Held | Exception], None],
        on_all: bool = False,
    ) -> None:
        one = Put(done, tuple(items), deadline, on_all, self._numbers())
        self._puts[one.number] = one
        self._start(one)

    def _start(self, one: Put) -> None:
        """(Again) from nothing, among the voters of now."""
        if self._voters.decision is None:
            return
        first = one.epoch == 0
        one.epoch = self._voters.epoch
        one.yes.clear()
        self._store.merge(one.items)
        self._send(one, self._voters.near)
        if first:  # What learners miss they find out by checksums.
            message = MergeItems(one.epoch, 0, self._store.held(one.keys), self._store.forgotten.batch)
            for ip in self._learners():
                self._out.send(ip, message)

    def _send(self, one: Put, ips: Sequence[str]) -> None:
        message = MergeItems(one.epoch, one.number, self._store.held(one.keys), self._store.forgotten.batch)
        size = sum(len(item.body or b"") + 64 for item in message.items)
        one.again = self._out.now + AGAIN + size * BYTE
        for ip in ips:
            self._out.send(ip, message)

    def agreed(self, sender: str, message: Acknowledgement) -> None:
        one = self._puts.get(message.request_id)
        if one is None or message.epoch != one.epoch or sender not in self._voters.ips:
            return
        one.yes.add(sender)
        if len(one.yes) >= (len(self._voters.ips) if one.on_all else self._voters.enough):
            del self._puts[one.number]
            one.done(Held(None))

    def tick(self) -> None:
        for one in list(self._puts.values()):
            if self._out.now >= one.deadline:
                del self._puts[one.number]
                one.done(
                    NotAppliedError("no voters are known yet")
                    if one.epoch == 0
                    else OutcomeUnknownError("too few voters answered in time")
                )
            elif one.epoch == 0:
                self._start(one)
            elif self._out.now >= one.again:
                self._send(one, [ip for ip in self._voters.near if ip not in one.yes])

    def epoch_changed(self) -> None:
        for one in list(self._puts.values()):
            self._start(one)

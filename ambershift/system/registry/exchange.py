"""Records held in common: each node's own set, its copies of the others', and how they are kept alike.

Changes go out in batches, each the next edition; a short pulse tells the edition. Who has another one asks
for the whole set, so that a lost message, a restart and a new peer are one case.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ambershift.system.messages.registry_sync import Ask, Delta, Pulse
from ambershift.system.registry.records import Record, Records, pack, unpack
from ambershift.system.state_machine import NS_PER_MS, Send

ASK_GAP = 500 * NS_PER_MS  # Against asking again while the answer is on its way.


@dataclass(slots=True)
class Copy:
    """What a peer has told: its process's start, the edition, the records; `asked` is when we last asked."""

    start: int = -1
    edition: int = -1
    records: Records = field(default_factory=Records)
    asked: int = -(1 << 62)
    most: int = 0


class Exchange:
    def __init__(self, start: int) -> None:
        self.start, self.edition, self.most = start, 0, 0
        self.own = Records()
        self.changed: set[str] = set()
        self.copies: dict[str, Copy] = {}

    def put(self, record: Record, key: str) -> None:
        self.own.place(key, record)
        self.changed.add(key)

    def drop(self, key: str) -> None:
        if self.own.take(key) is not None:
            self.changed.add(key)

    def flush(self, now: int, peers: Iterable[str]) -> list[Send]:
        """Tell all what has changed since the last batch."""
        if not self.changed:
            return []
        since, self.edition = self.edition, self.edition + 1
        records = [self.own[key] for key in sorted(self.changed) if key in self.own]
        gone = [key for key in sorted(self.changed) if key not in self.own]
        self.changed.clear()
        delta = pack(now, self.start, since, self.edition, records, gone, self.most)
        return [Send(peer, delta) for peer in peers]

    def pulse(self, peers: Iterable[str]) -> list[Send]:
        return [Send(peer, Pulse(self.start, self.edition)) for peer in peers]

    def hear(
        self, now: int, sender: str, message: Delta | Pulse | Ask, peers: Iterable[str]
    ) -> tuple[dict[str, Record | None], list[Send]]:
        """What has changed in the copy of the sender's records, with what stood there before."""
        if isinstance(message, Ask):
            batch = self.flush(now, [peer for peer in peers if peer != sender])
            whole = pack(now, self.start, -1, self.edition, self.own.values(), (), self.most)
            return {}, [*batch, Send(sender, whole)]
        copy = self.copies.setdefault(sender, Copy())
        if isinstance(message, Pulse):
            return {}, self._compare(now, sender, copy, message.start, message.edition)
        known = copy.start == message.start
        if message.since >= 0 and not (known and copy.edition == message.since):
            return {}, self._compare(now, sender, copy, message.start, message.upto)
        if message.since < 0 and known and message.upto < copy.edition:
            return {}, []  # An answer that later batches have overtaken.
        before = dict[str, Record | None]()
        fresh = unpack(now, message)
        gone = message.gone if message.since >= 0 else tuple(copy.records.keys() - fresh.keys())
        for key in (*fresh, *gone):
            before[key] = copy.records.take(key)
        for key, record in fresh.items():
            copy.records.place(key, record)
        copy.start, copy.edition, copy.most = message.start, message.upto, message.most
        copy.asked = -(1 << 62)
        return before, []

    def forget(self, peer: str) -> dict[str, Record]:
        """Let go of all that a peer told; should it speak again, the whole set is asked for."""
        copy = self.copies.pop(peer, None)
        return copy.records if copy else {}

    def _compare(self, now: int, sender: str, copy: Copy, start: int, edition: int) -> list[Send]:
        alike = copy.start == start and copy.edition >= edition
        if alike or now < copy.asked + ASK_GAP:
            return []
        copy.asked = now
        return [Send(sender, Ask(copy.edition if copy.start == start else -1))]

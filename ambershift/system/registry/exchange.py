"""Records held in common: each node's own set, its copies of the others', and how they are kept alike.

Changes go out in batches, each the next edition; a short pulse tells the edition. Who has another one asks
for the whole set, so that a lost message, a restart and a new peer are one case.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ambershift.system.messages.registry_sync import FullStateRequest, RegistryDelta, RevisionAnnouncement
from ambershift.system.registry.records import Record, RecordSet, from_delta, to_delta
from ambershift.system.state_machine import NS_PER_MS, Send

REQUEST_INTERVAL_NS = 500 * NS_PER_MS  # Against asking again while the answer is on its way.


@dataclass(slots=True)
class PeerCopy:
    """What a peer has told: its process's start, the edition, the records; `asked` is when we last asked."""

    incarnation: int = -1
    revision: int = -1
    records: RecordSet = field(default_factory=RecordSet)
    requested_at: int = -(1 << 62)
    max_proxies: int = 0


class RecordExchange:
    def __init__(self, start: int) -> None:
        self.incarnation, self.revision, self.max_proxies = start, 0, 0
        self.own = RecordSet()
        self.changed: set[str] = set()
        self.copies: dict[str, PeerCopy] = {}

    def put(self, record: Record, key: str) -> None:
        self.own.put(key, record)
        self.changed.add(key)

    def remove(self, key: str) -> None:
        if self.own.remove(key) is not None:
            self.changed.add(key)

    def flush(self, now: int, peers: Iterable[str]) -> list[Send]:
        """Tell all what has changed since the last batch."""
        if not self.changed:
            return []
        since, self.revision = self.revision, self.revision + 1
        records = [self.own[key] for key in sorted(self.changed) if key in self.own]
        gone = [key for key in sorted(self.changed) if key not in self.own]
        self.changed.clear()
        delta = to_delta(now, self.incarnation, since, self.revision, records, gone, self.max_proxies)
        return [Send(peer, delta) for peer in peers]

    def announce(self, peers: Iterable[str]) -> list[Send]:
        return [Send(peer, RevisionAnnouncement(self.incarnation, self.revision)) for peer in peers]

    def receive(
        self,
        now: int,
        sender: str,
        message: RegistryDelta | RevisionAnnouncement | FullStateRequest,
        peers: Iterable[str],
    ) -> tuple[dict[str, Record | None], list[Send]]:
        """What has changed in the copy of the sender's records, with what stood there before."""
        if isinstance(message, FullStateRequest):
            batch = self.flush(now, [peer for peer in peers if peer != sender])
            whole = to_delta(
                now, self.incarnation, -1, self.revision, self.own.values(), (), self.max_proxies
            )
            return {}, [*batch, Send(sender, whole)]
        copy = self.copies.setdefault(sender, PeerCopy())
        if isinstance(message, RevisionAnnouncement):
            return {}, self._request_if_behind(now, sender, copy, message.incarnation, message.revision)
        known = copy.incarnation == message.incarnation
        if message.base_revision >= 0 and not (known and copy.revision == message.base_revision):
            return {}, self._request_if_behind(now, sender, copy, message.incarnation, message.revision)
        if message.base_revision < 0 and known and message.revision < copy.revision:
            return {}, []  # An answer that later batches have overtaken.
        before = dict[str, Record | None]()
        fresh = from_delta(now, message)
        gone = message.removed if message.base_revision >= 0 else tuple(copy.records.keys() - fresh.keys())
        for key in (*fresh, *gone):
            before[key] = copy.records.remove(key)
        for key, record in fresh.items():
            copy.records.put(key, record)
        copy.incarnation, copy.revision, copy.max_proxies = (
            message.incarnation,
            message.revision,
            message.max_proxies,
        )
        copy.requested_at = -(1 << 62)
        return before, []

    def forget(self, peer: str) -> dict[str, Record]:
        """Let go of all that a peer told; should it speak again, the whole set is asked for."""
        copy = self.copies.pop(peer, None)
        return copy.records if copy else {}

    def _request_if_behind(
        self, now: int, sender: str, copy: PeerCopy, start: int, edition: int
    ) -> list[Send]:
        alike = copy.incarnation == start and copy.revision >= edition
        if alike or now < copy.requested_at + REQUEST_INTERVAL_NS:
            return []
        copy.requested_at = now
        return [Send(sender, FullStateRequest(copy.revision if copy.incarnation == start else -1))]

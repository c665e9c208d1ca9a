"""Replication of records between control nodes: the own set, a copy of each peer's, and their anti-entropy.

Changes go out in batches, each of which is the next revision; a short announcement tells the revision. A node
whose copy is at another revision asks for the complete set. So a lost message, a restart and a new peer are
one case.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ambershift.system.messages.registry_sync import FullStateRequest, RegistryDelta, RevisionAnnouncement
from ambershift.system.registry.records import DeltaHeader, Record, RecordSet, from_delta, to_delta
from ambershift.system.state_machine import NS_PER_MS, Send

REQUEST_INTERVAL_NS = 500 * NS_PER_MS  # Stops a second request while the answer to the first is on its way.
NEVER_NS = -(1 << 62)
COMPLETE = -1  # As `base_revision`: the delta has all records of its sender.

SyncMessage = RegistryDelta | RevisionAnnouncement | FullStateRequest


@dataclass(slots=True)
class PeerCopy:
    """The copy of a peer's records.

    Attributes:
        incarnation: Of the peer's process; -1 before anything has arrived.
        revision: The peer's revision that `records` equals; -1 before anything has arrived.
        requested_at: When the complete set was last asked for (ns, steady clock).
        max_proxies: The most proxies that the peer has known at once.
    """

    incarnation: int = -1
    revision: int = -1
    records: RecordSet = field(default_factory=RecordSet)
    requested_at: int = NEVER_NS
    max_proxies: int = 0


class RecordExchange:
    """The own records and the copies of the peers' records.

    Attributes:
        incarnation: Drawn at each start of this process.
        revision: Of the own records as last sent.
        max_proxies: The most proxies that this process has known at once.
        own: Records that this control node owns.
        changed: Keys of own records that have changed since the last batch.
        copies: The peers' records, by the peer's ip.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.revision = 0
        self.max_proxies = 0
        self.own = RecordSet()
        self.changed: set[str] = set()
        self.copies: dict[str, PeerCopy] = {}

    def put(self, record: Record, key: str) -> None:
        """Add or replace an own record; the next batch has it."""
        self.own.put(key, record)
        self.changed.add(key)

    def remove(self, key: str) -> None:
        """Remove an own record; the next batch says so."""
        if self.own.remove(key) is not None:
            self.changed.add(key)

    def flush(self, now: int, peers: Iterable[str]) -> list[Send]:
        """Send what has changed since the last batch to these peers, as the next revision."""
        if not self.changed:
            return []
        base_revision = self.revision
        self.revision += 1
        records = [self.own[key] for key in sorted(self.changed) if key in self.own]
        removed = [key for key in sorted(self.changed) if key not in self.own]
        self.changed.clear()
        delta = to_delta(now, self._header(base_revision), records, removed)
        return [Send(peer, delta) for peer in peers]

    def announce(self, peers: Iterable[str]) -> list[Send]:
        """Tell these peers the own revision."""
        return [Send(peer, RevisionAnnouncement(self.incarnation, self.revision)) for peer in peers]

    def receive(
        self, now: int, sender: str, message: SyncMessage, peers: Iterable[str]
    ) -> tuple[dict[str, Record | None], list[Send]]:
        """Apply a peer's message.

        Returns:
            What has changed in the copy of the sender's records, as the records before (None: there was
            none) by key; and messages to send.
        """
        if isinstance(message, FullStateRequest):
            batch = self.flush(now, [peer for peer in peers if peer != sender])
            complete = to_delta(now, self._header(COMPLETE), self.own.values())
            return {}, [*batch, Send(sender, complete)]
        copy = self.copies.setdefault(sender, PeerCopy())
        if isinstance(message, RevisionAnnouncement):
            return {}, self._request_if_behind(now, sender, message)
        is_complete = message.base_revision < 0
        same_process = copy.incarnation == message.incarnation
        if not is_complete and not (same_process and copy.revision == message.base_revision):
            return {}, self._request_if_behind(now, sender, message)
        if is_complete and same_process and message.revision < copy.revision:
            return {}, []  # Later batches have overtaken this answer.
        return self._apply(now, copy, message), []

    def forget(self, peer: str) -> RecordSet:
        """Drop the copy of a peer's records and return it.

        If the peer sends again, its complete set is asked for.
        """
        copy = self.copies.pop(peer, None)
        return copy.records if copy else RecordSet()

    def peer_rates(self) -> dict[tuple[str, str, str], int]:
        """Requests per 100 s at proxies linked to peers, by peer, zone and pool."""
        return {
            (peer, rate.zone, rate.pool): rate.rate
            for peer, copy in self.copies.items()
            for rate in copy.records.rates.values()
        }

    def total_rates(self) -> dict[str, int]:
        """Requests per 100 s at all proxies, by pool or other counter."""
        totals = Counter[str]()
        for records in (self.own, *(copy.records for copy in self.copies.values())):
            for rate in records.rates.values():
                totals[rate.pool] += rate.rate
        return totals

    def _header(self, base_revision: int) -> DeltaHeader:
        return DeltaHeader(self.incarnation, base_revision, self.revision, self.max_proxies)

    def _apply(self, now: int, copy: PeerCopy, delta: RegistryDelta) -> dict[str, Record | None]:
        before = dict[str, Record | None]()
        records = from_delta(now, delta)
        removed = delta.removed if delta.base_revision >= 0 else tuple(copy.records.keys() - records.keys())
        for key in (*records, *removed):
            before[key] = copy.records.remove(key)
        for key, record in records.items():
            copy.records.put(key, record)
        copy.incarnation = delta.incarnation
        copy.revision = delta.revision
        copy.max_proxies = delta.max_proxies
        copy.requested_at = NEVER_NS
        return before

    def _request_if_behind(
        self, now: int, sender: str, message: RegistryDelta | RevisionAnnouncement
    ) -> list[Send]:
        copy = self.copies[sender]
        same_process = copy.incarnation == message.incarnation
        is_current = same_process and copy.revision >= message.revision
        if is_current or now < copy.requested_at + REQUEST_INTERVAL_NS:
            return []
        copy.requested_at = now
        return [Send(sender, FullStateRequest(copy.revision if same_process else -1))]

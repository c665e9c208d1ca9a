"""All gossip records that a member knows, its own and others', and their exchange with another member.

Reconciliation by a version vector and deltas in the order of versions, as in Scuttlebutt (van Renesse,
Dumitriu, Gough, Thomas 2008): a member that has all versions up to one needs only later ones, and a delta
that is cut short leaves no gap. Ages take the place of timestamps: a record carries its age when it is sent,
and grows older where it is stored, so that the clocks of two members are never compared. The time a message
is under way is not counted: a record is at least as old as its age says.
"""

from __future__ import annotations

from collections.abc import Iterator

from ambershift.coordinator.replication.gossip.expiry import ExpiryQueue
from ambershift.coordinator.replication.gossip.messages import (
    MAX_DELTA_BYTES,
    Delta,
    DeltaRecord,
    Digest,
    Message,
    OriginDelta,
    OriginVersion,
)
from ambershift.coordinator.replication.gossip.origin import OriginLog, StoredRecord, encoded_size
from ambershift.coordinator.replication.gossip.types import (
    MAX_BODY_BYTES,
    MAX_KEY_LENGTH,
    Record,
    StoreLimits,
    max_age,
)

BEFORE_ALL_TIME = -(1 << 63)  # Earlier than any time of a clock, ns.


class GossipStore:
    """The records of all origins. Times are the member's own monotonic clock, ns."""

    def __init__(self, me: str, incarnation: int, limits: StoreLimits | None = None) -> None:
        self.me, self.limits = me, limits or StoreLimits()
        self.origins = {me: OriginLog(incarnation)}
        self.by_kind = dict[int, dict[str, dict[str, StoredRecord]]]()  # By kind, key and origin.
        self.expiry = ExpiryQueue()
        self.count = self.bytes = 0
        self.dropped = 0  # Records that exceeded the limits, and parts of deltas that could not be taken.

    # This member's records

    def put(self, now: int, kind: int, key: str, body: bytes, age_ns: int = 0) -> Record:
        """Publish a record, or publish it again.

        Raises:
            ValueError: The key or the body is longer than other members accept.
        """
        if len(key) > MAX_KEY_LENGTH or len(body) > MAX_BODY_BYTES or age_ns < 0:
            raise ValueError(f"a record of kind {kind} with {len(key)} characters, {len(body)} bytes")
        origin = self.origins[self.me]
        origin.last_version += 1
        stored = StoredRecord(origin.last_version, kind, key, body, now - age_ns)
        self.insert(self.me, origin, stored)
        return self.record(now, self.me, stored)

    def withdraw(self, now: int, kind: int, key: str) -> None:
        """Withdraw a record, if it is published."""
        stored = self.origins[self.me].records.get((kind, key))
        if stored is not None and stored.body:
            self.put(now, kind, key, b"")

    # Reading

    def newest(self, now: int, kind: int, key: str, own_age: int | None = None) -> Record | None:
        """The newest record of another member, where it is newer than this member's own evidence.

        `own_age` is the age of evidence that this member has besides its record, ns.
        """
        newest: tuple[str, StoredRecord] | None = None
        newest_time = now - own_age if own_age is not None else BEFORE_ALL_TIME
        for name, stored in self.by_kind.get(kind, {}).get(key, {}).items():
            if not self.is_current(now, stored):
                continue
            is_own_and_as_new = name == self.me and stored.observed_at == newest_time
            if stored.observed_at > newest_time or is_own_and_as_new:
                newest_time, newest = stored.observed_at, (name, stored)
        return None if newest is None or newest[0] == self.me else self.record(now, *newest)

    def all(self, now: int, kind: int) -> Iterator[Record]:
        """Every current record of a kind, this member's own included."""
        for by_origin in self.by_kind.get(kind, {}).values():
            for name, stored in by_origin.items():
                if self.is_current(now, stored):
                    yield self.record(now, name, stored)

    def keys(self, kind: int) -> list[str]:
        """The keys of all stored records of a kind."""
        return list(self.by_kind.get(kind, ()))

    @staticmethod
    def is_current(now: int, stored: StoredRecord) -> bool:
        """Whether a record is neither withdrawn nor expired."""
        return bool(stored.body) and now - stored.observed_at < max_age(stored.kind)

    def record(self, now: int, name: str, stored: StoredRecord) -> Record:
        """A stored record of an origin, with its present age."""
        return Record(
            name,
            self.origins[name].incarnation,
            stored.version,
            stored.kind,
            stored.key,
            stored.body,
            max(0, now - stored.observed_at),
        )

    # Exchange with other members

    def digest(self, ask: bool = True) -> Digest:
        """The version vector of this store."""
        vector = (
            OriginVersion(name, origin.incarnation, origin.last_version)
            for name, origin in self.origins.items()
        )
        return Digest(tuple(vector), ask)

    def receive(self, now: int, message: Message) -> tuple[list[Message], list[Record]]:
        """Take a message; returns the answers to its sender, and the records that are new."""
        if isinstance(message, Delta):
            new_records = self.merge(now, message)
            return ([self.digest(False)] if message.more else []), new_records
        answers = list[Message]()
        delta = self.delta(now, {known.origin: known for known in message.vector})
        if delta.parts:
            answers.append(delta)
        if message.ask and any(self.lacks(known) for known in message.vector):
            answers.append(self.digest(False))
        return answers, []

    def lacks(self, known: OriginVersion) -> bool:
        """Whether another member has records of an origin that this store lacks and would take."""
        origin = self.origins.get(known.origin)
        if origin is None:
            return known.version > 0 and len(self.origins) < self.limits.origins
        position = origin.incarnation, origin.last_version
        return known.origin != self.me and (known.incarnation, known.version) > position

    def delta(
        self, now: int, known_versions: dict[str, OriginVersion], max_bytes: int = MAX_DELTA_BYTES
    ) -> Delta:
        """The records that a member with these versions lacks.

        Origins take turns, so that one with many records does not delay the others.
        """
        pending = dict[str, tuple[int, list[StoredRecord]]]()
        for name, origin in self.origins.items():
            known = known_versions.get(name)
            if known is None or known.incarnation < origin.incarnation:
                known = OriginVersion(name, origin.incarnation, 0)
            if known.incarnation == origin.incarnation and known.version < origin.last_version:
                pending[name] = known.version, self.records_after(now, origin, known.version, max_bytes)
        sent, turns, remaining = dict.fromkeys(pending, 0), list(pending), max_bytes
        while turns and remaining > 0:
            for name in list(turns):
                records = pending[name][1]
                if sent[name] == len(records):
                    turns.remove(name)
                elif remaining > 0:
                    remaining -= encoded_size(records[sent[name]])
                    sent[name] += 1
        parts, more = [], False
        for name, (since, records) in pending.items():
            selected = records[: sent[name]]
            is_complete = len(selected) == len(records) and not self.overflows(records, max_bytes)
            more |= not is_complete
            if selected or is_complete:
                origin = self.origins[name]
                parts.append(
                    OriginDelta(
                        name,
                        origin.incarnation,
                        since,
                        origin.last_version if is_complete else selected[-1].version,
                        tuple(
                            DeltaRecord(
                                stored.version,
                                stored.kind,
                                stored.key,
                                stored.body,
                                max(0, now - stored.observed_at),
                            )
                            for stored in selected
                        ),
                    )
                )
        return Delta(tuple(parts), more)

    @staticmethod
    def overflows(records: list[StoredRecord], max_bytes: int) -> bool:
        """Whether records exceed a size, so that `records_after` may have stopped before the last."""
        return sum(map(encoded_size, records)) > max_bytes

    def records_after(self, now: int, origin: OriginLog, version: int, max_bytes: int) -> list[StoredRecord]:
        """The first unexpired records after a version; the last of them may exceed `max_bytes`."""
        records, remaining = list[StoredRecord](), max_bytes
        for stored in origin.after(version):
            if now - stored.observed_at < max_age(stored.kind):
                records.append(stored)
                remaining -= encoded_size(stored)
                if remaining < 0:
                    break
        return records

    def merge(self, now: int, delta: Delta) -> list[Record]:
        """Take over the records of a delta; returns the new ones."""
        new_records = list[Record]()
        for part in delta.parts:
            origin = self.origin_of(part)
            if origin is None:
                continue
            if part.since > origin.last_version:  # It answers a digest of this member's earlier incarnation.
                self.dropped += 1
                continue
            for sent in part.records:
                stored = StoredRecord(sent.version, sent.kind, sent.key, sent.body, now - sent.age_ns)
                if sent.version <= origin.last_version:
                    self.correct_age(part.origin, origin, stored)
                elif sent.age_ns < max_age(sent.kind):
                    origin.last_version = sent.version
                    self.insert(part.origin, origin, stored)
                    new_records.append(self.record(now, part.origin, stored))
            origin.last_version = max(origin.last_version, part.last_version)
        return new_records

    def origin_of(self, part: OriginDelta) -> OriginLog | None:
        """The origin and incarnation that a part belongs to; None where the part is of no use."""
        known = self.origins.get(part.origin)
        if part.origin == self.me or (known is not None and known.incarnation > part.incarnation):
            return None
        if known is None and len(self.origins) >= self.limits.origins:
            self.dropped += 1
            return None
        if known is None or known.incarnation < part.incarnation:
            for stored in list(known.records.values()) if known else ():
                self.drop(part.origin, stored)
            known = self.origins[part.origin] = OriginLog(part.incarnation)
        return known

    def correct_age(self, name: str, origin: OriginLog, received: StoredRecord) -> None:
        """Take over the higher age of the same record from another path: it is closer to the true one."""
        stored = origin.records.get((received.kind, received.key))
        is_same = stored is not None and stored.version == received.version
        if stored is not None and is_same and received.observed_at < stored.observed_at:
            older = stored._replace(observed_at=received.observed_at)
            origin.records[received.kind, received.key] = older
            self.by_kind[received.kind][received.key][name] = older
            self.schedule_expiry(name, origin, older)

    # Storage

    def insert(self, name: str, origin: OriginLog, stored: StoredRecord) -> None:
        """Store a record of an origin, and drop what then exceeds the limits."""
        if (replaced := origin.records.get((stored.kind, stored.key))) is not None:
            self.drop(name, replaced)
        origin.add(stored)
        self.by_kind.setdefault(stored.kind, {}).setdefault(stored.key, {})[name] = stored
        self.count, self.bytes = self.count + 1, self.bytes + encoded_size(stored)
        self.schedule_expiry(name, origin, stored)
        while len(origin.records) > self.limits.records_per_origin:
            self.dropped += 1
            self.drop(name, next(iter(origin.records.values())))
        while self.count > self.limits.records or self.bytes > self.limits.bytes:
            self.dropped += 1
            largest_name, largest = max(self.origins.items(), key=lambda item: len(item[1].records))
            self.drop(largest_name, next(iter(largest.records.values())))

    def schedule_expiry(self, name: str, origin: OriginLog, stored: StoredRecord) -> None:
        """Note when a record expires."""
        self.expiry.add(
            stored.observed_at + max_age(stored.kind),
            name,
            origin.incarnation,
            stored.version,
            (stored.kind, stored.key),
            self.count,
        )

    def drop(self, name: str, stored: StoredRecord) -> None:
        """Remove a record of an origin."""
        del self.origins[name].records[stored.kind, stored.key]
        by_key = self.by_kind[stored.kind]
        del by_key[stored.key][name]
        if not by_key[stored.key]:
            del by_key[stored.key]
        self.count, self.bytes = self.count - 1, self.bytes - encoded_size(stored)

    def sweep(self, now: int) -> int:
        """Remove expired records; returns how many.

        To be called about every second, to free memory; reading never returns an expired record.
        """
        removed = 0
        for name, incarnation, version, kind_and_key in self.expiry.due(now):
            origin = self.origins.get(name)
            stored = (
                origin.records.get(kind_and_key) if origin and origin.incarnation == incarnation else None
            )
            if stored is not None and stored.version == version:
                self.drop(name, stored)
                removed += 1
        return removed

"""Store: all heard records of a member, its own and others', and what two members tell each other of them.

Reconciliation by a version vector and deltas in the order of versions, as Scuttlebutt does it (van Renesse,
Dumitriu, Gough, Thomas 2008): whoever has all up to a version needs only what is later, and a delta cut short
leaves no hole. Ages take the place of clocks: a record says how old it was when it left, and grows older
where it lies, so that the clocks of two members are never compared. The way itself is not counted: a record
is at least as old as it seems.
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


class GossipStore:
    """Times are the member's own clock, in ns, which never goes back."""

    def __init__(self, me: str, incarnation: int, bounds: StoreLimits | None = None) -> None:
        self.me, self.bounds = me, bounds or StoreLimits()
        self.origins = {me: OriginLog(incarnation)}
        self.by_kind = dict[int, dict[str, dict[str, StoredRecord]]]()  # By kind, key and origin.
        self.expiry = ExpiryQueue()
        self.count = self.bytes = 0
        self.dropped = 0  # Records that went for want of room, and parts that could not be taken.

    # One's own

    def put(self, now: int, kind: int, key: str, body: bytes, age_ns: int = 0) -> Record:
        """Say it, or say it again; ValueError where key or body is too long for others to take."""
        if len(key) > MAX_KEY_LENGTH or len(body) > MAX_BODY_BYTES or age_ns < 0:
            raise ValueError(f"a record of kind {kind} with {len(key)} characters, {len(body)} bytes")
        origin = self.origins[self.me]
        origin.last_version += 1
        held = StoredRecord(origin.last_version, kind, key, body, now - age_ns)
        self.insert(self.me, origin, held)
        return self.record(now, self.me, held)

    def withdraw(self, now: int, kind: int, key: str) -> None:
        """Nothing is told where nothing stands."""
        held = self.origins[self.me].records.get((kind, key))
        if held is not None and held.body:
            self.put(now, kind, key, b"")

    # What is read

    def newest(self, now: int, kind: int, key: str, own_age: int | None = None) -> Record | None:
        """The newest word of another member, where it is newer than one's own evidence, `own_age` ns old."""
        best: tuple[str, StoredRecord] | None = None
        since = now - own_age if own_age is not None else -(1 << 63)
        for name, held in self.by_kind.get(kind, {}).get(key, {}).items():
            if not self.is_current(now, held):
                continue
            if held.since > since or (name == self.me and held.since == since):
                since, best = held.since, (name, held)
        return None if best is None or best[0] == self.me else self.record(now, *best)

    def all(self, now: int, kind: int) -> Iterator[Record]:
        """Every word that counts, one's own too."""
        for by_origin in self.by_kind.get(kind, {}).values():
            for name, held in by_origin.items():
                if self.is_current(now, held):
                    yield self.record(now, name, held)

    def keys(self, kind: int) -> list[str]:
        return list(self.by_kind.get(kind, ()))

    @staticmethod
    def is_current(now: int, held: StoredRecord) -> bool:
        return bool(held.body) and now - held.since < max_age(held.kind)

    def record(self, now: int, name: str, held: StoredRecord) -> Record:
        return Record(
            name,
            self.origins[name].incarnation,
            held.version,
            held.kind,
            held.key,
            held.body,
            max(0, now - held.since),
        )

    # Between members

    def digest(self, ask: bool = True) -> Digest:
        places = (
            OriginVersion(name, one.incarnation, one.last_version) for name, one in self.origins.items()
        )
        return Digest(tuple(places), ask)

    def receive(self, now: int, message: Message) -> tuple[list[Message], list[Record]]:
        """What to answer to whom it came from, and what is new because of it."""
        if isinstance(message, Delta):
            news = self.take(now, message)
            return ([self.digest(False)] if message.more else []), news
        answers = list[Message]()
        theirs = {place.origin: place for place in message.vector}
        delta = self.delta(now, theirs)
        if delta.parts:
            answers.append(delta)
        if message.ask and any(self.lacks(place) for place in message.vector):
            answers.append(self.digest(False))
        return answers, []

    def lacks(self, place: OriginVersion) -> bool:
        mine = self.origins.get(place.origin)
        if mine is None:
            return place.version > 0 and len(self.origins) < self.bounds.origins
        return place.origin != self.me and (place.incarnation, place.version) > (
            mine.incarnation,
            mine.last_version,
        )

    def delta(self, now: int, theirs: dict[str, OriginVersion], most: int = MAX_DELTA_BYTES) -> Delta:
        """Origins take turns, so that one with much to say holds up no other."""
        pending = dict[str, tuple[int, list[StoredRecord]]]()
        for name, one in self.origins.items():
            place = theirs.get(name)
            if place is None or place.incarnation < one.incarnation:
                place = OriginVersion(name, one.incarnation, 0)
            if place.incarnation == one.incarnation and place.version < one.last_version:
                pending[name] = place.version, self.later(now, one, place.version, most)
        sent, turns, left = dict.fromkeys(pending, 0), list(pending), most
        while turns and left > 0:
            for name in list(turns):
                rows = pending[name][1]
                if sent[name] == len(rows):
                    turns.remove(name)
                elif left > 0:
                    left -= encoded_size(rows[sent[name]])
                    sent[name] += 1
        parts, more = [], False
        for name, (since, rows) in pending.items():
            cut = rows[: sent[name]]
            whole = len(cut) == len(rows) and not self.overflows(rows, most)
            more |= not whole
            if cut or whole:
                origin = self.origins[name]
                last_version = origin.last_version if whole else cut[-1].version
                parts.append(
                    OriginDelta(
                        name,
                        origin.incarnation,
                        since,
                        last_version,
                        tuple(
                            DeltaRecord(one.version, one.kind, one.key, one.body, max(0, now - one.since))
                            for one in cut
                        ),
                    )
                )
        return Delta(tuple(parts), more)

    @staticmethod
    def overflows(rows: list[StoredRecord], most: int) -> bool:
        return sum(map(encoded_size, rows)) > most

    def later(self, now: int, one: OriginLog, version: int, most: int) -> list[StoredRecord]:
        """The first ones after a version, a little over `most` bytes of them at the most."""
        rows, room = list[StoredRecord](), most
        for held in one.after(version):
            if now - held.since < max_age(held.kind):
                rows.append(held)
                room -= encoded_size(held)
                if room < 0:
                    break
        return rows

    def take(self, now: int, delta: Delta) -> list[Record]:
        news = list[Record]()
        for part in delta.parts:
            origin = self.origin(part)
            if origin is None:
                continue
            if part.since > origin.last_version:  # It was meant for what this member knew in an earlier life.
                self.dropped += 1
                continue
            for row in part.rows:
                held = StoredRecord(row.version, row.kind, row.key, row.body, now - row.age_ns)
                if row.version <= origin.last_version:
                    self.grow_older(part.origin, origin, held)
                elif row.age_ns < max_age(row.kind):
                    origin.last_version = row.version
                    self.insert(part.origin, origin, held)
                    news.append(self.record(now, part.origin, held))
            origin.last_version = max(origin.last_version, part.last_version)
        return news

    def origin(self, part: OriginDelta) -> OriginLog | None:
        """The life that a part is about; None where it is of no use."""
        known = self.origins.get(part.origin)
        if part.origin == self.me or (known is not None and known.incarnation > part.incarnation):
            return None
        if known is None and len(self.origins) >= self.bounds.origins:
            self.dropped += 1
            return None
        if known is None or known.incarnation < part.incarnation:
            for held in list(known.records.values()) if known else ():
                self.drop(part.origin, held)
            known = self.origins[part.origin] = OriginLog(part.incarnation)
        return known

    def grow_older(self, name: str, origin: OriginLog, held: StoredRecord) -> None:
        """The same word by another way: the longer way tells more of its true age."""
        mine = origin.records.get((held.kind, held.key))
        if mine is not None and mine.version == held.version and held.since < mine.since:
            older = mine._replace(since=held.since)
            origin.records[held.kind, held.key] = self.by_kind[held.kind][held.key][name] = older
            self.expires(name, origin, older)

    # What is held

    def insert(self, name: str, origin: OriginLog, held: StoredRecord) -> None:
        if (old := origin.records.get((held.kind, held.key))) is not None:
            self.drop(name, old)
        origin.add(held)
        self.by_kind.setdefault(held.kind, {}).setdefault(held.key, {})[name] = held
        self.count, self.bytes = self.count + 1, self.bytes + encoded_size(held)
        self.expires(name, origin, held)
        while len(origin.records) > self.bounds.records_an_origin:
            self.dropped += 1
            self.drop(name, next(iter(origin.records.values())))
        while self.count > self.bounds.records or self.bytes > self.bounds.bytes:
            self.dropped += 1
            name, most = max(self.origins.items(), key=lambda one: len(one[1].records))
            self.drop(name, next(iter(most.records.values())))

    def expires(self, name: str, origin: OriginLog, held: StoredRecord) -> None:
        self.expiry.add(
            held.since + max_age(held.kind),
            name,
            origin.incarnation,
            held.version,
            (held.kind, held.key),
            self.count,
        )

    def drop(self, name: str, held: StoredRecord) -> None:
        del self.origins[name].records[held.kind, held.key]
        by_key = self.by_kind[held.kind]
        del by_key[held.key][name]
        if not by_key[held.key]:
            del by_key[held.key]
        self.count, self.bytes = self.count - 1, self.bytes - encoded_size(held)

    def sweep(self, now: int) -> int:
        """Let go of what is too old; call it every second or so. Reading never gives any of it."""
        gone = 0
        for name, incarnation, version, place in self.expiry.due(now):
            origin = self.origins.get(name)
            held = origin.records.get(place) if origin and origin.incarnation == incarnation else None
            if held is not None and held.version == version:
                self.drop(name, held)
                gone += 1
        return gone

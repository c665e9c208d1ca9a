"""Store: all heard records of a member, its own and others', and what two members tell each other of them.

Reconciliation by a version vector and deltas in the order of versions, as Scuttlebutt does it (van Renesse,
Dumitriu, Gough, Thomas 2008): whoever has all up to a version needs only what is later, and a delta cut short
leaves no hole. Ages take the place of clocks: a record says how old it was when it left, and grows older
where it lies, so that the clocks of two members are never compared. The way itself is not counted: a record
is at least as old as it seems.
"""

from __future__ import annotations

from collections.abc import Iterator

from ambershift.coordinator.replication.gossip.expiry import Ages
from ambershift.coordinator.replication.gossip.messages import (
    DELTA_MOST,
    Delta,
    Digest,
    Message,
    Part,
    Place,
    Row,
)
from ambershift.coordinator.replication.gossip.origin import Held, Origin, size
from ambershift.coordinator.replication.gossip.types import BODY_MOST, KEY_MOST, Bounds, Record, longest


class Store:
    """Times are the member's own clock, in ns, which never goes back."""

    def __init__(self, me: str, incarnation: int, bounds: Bounds | None = None) -> None:
        self.me, self.bounds = me, bounds or Bounds()
        self.origins = {me: Origin(incarnation)}
        self.found = dict[int, dict[str, dict[str, Held]]]()  # By kind, key and origin.
        self.ages = Ages()
        self.count = self.bytes = 0
        self.left_out = 0  # Records that went for want of room, and parts that could not be taken.

    # One's own

    def put(self, now: int, kind: int, key: str, body: bytes, age_ns: int = 0) -> Record:
        """Say it, or say it again; ValueError where key or body is too long for others to take."""
        if len(key) > KEY_MOST or len(body) > BODY_MOST or age_ns < 0:
            raise ValueError(f"a record of kind {kind} with {len(key)} characters, {len(body)} bytes")
        origin = self.origins[self.me]
        origin.upto += 1
        held = Held(origin.upto, kind, key, body, now - age_ns)
        self.insert(self.me, origin, held)
        return self.record(now, self.me, held)

    def take_back(self, now: int, kind: int, key: str) -> None:
        """Nothing is told where nothing stands."""
        held = self.origins[self.me].records.get((kind, key))
        if held is not None and held.body:
            self.put(now, kind, key, b"")

    # What is read

    def best(self, now: int, kind: int, key: str, own_age: int | None = None) -> Record | None:
        """The newest word of another member, where it is newer than one's own evidence, `own_age` ns old."""
        best: tuple[str, Held] | None = None
        since = now - own_age if own_age is not None else -(1 << 63)
        for name, held in self.found.get(kind, {}).get(key, {}).items():
            if not self.counts(now, held):
                continue
            if held.since > since or (name == self.me and held.since == since):
                since, best = held.since, (name, held)
        return None if best is None or best[0] == self.me else self.record(now, *best)

    def all(self, now: int, kind: int) -> Iterator[Record]:
        """Every word that counts, one's own too."""
        for by_origin in self.found.get(kind, {}).values():
            for name, held in by_origin.items():
                if self.counts(now, held):
                    yield self.record(now, name, held)

    def keys(self, kind: int) -> list[str]:
        return list(self.found.get(kind, ()))

    @staticmethod
    def counts(now: int, held: Held) -> bool:
        return bool(held.body) and now - held.since < longest(held.kind)

    def record(self, now: int, name: str, held: Held) -> Record:
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
        places = (Place(name, one.incarnation, one.upto) for name, one in self.origins.items())
        return Digest(tuple(places), ask)

    def hear(self, now: int, message: Message) -> tuple[list[Message], list[Record]]:
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

    def lacks(self, place: Place) -> bool:
        mine = self.origins.get(place.origin)
        if mine is None:
            return place.version > 0 and len(self.origins) < self.bounds.origins
        return place.origin != self.me and (place.incarnation, place.version) > (mine.incarnation, mine.upto)

    def delta(self, now: int, theirs: dict[str, Place], most: int = DELTA_MOST) -> Delta:
        """Origins take turns, so that one with much to say holds up no other."""
        pending = dict[str, tuple[int, list[Held]]]()
        for name, one in self.origins.items():
            place = theirs.get(name)
            if place is None or place.incarnation < one.incarnation:
                place = Place(name, one.incarnation, 0)
            if place.incarnation == one.incarnation and place.version < one.upto:
                pending[name] = place.version, self.later(now, one, place.version, most)
        sent, turns, left = dict.fromkeys(pending, 0), list(pending), most
        while turns and left > 0:
            for name in list(turns):
                rows = pending[name][1]
                if sent[name] == len(rows):
                    turns.remove(name)
                elif left > 0:
                    left -= size(rows[sent[name]])
                    sent[name] += 1
        parts, more = [], False
        for name, (since, rows) in pending.items():
            cut = rows[: sent[name]]
            whole = len(cut) == len(rows) and not self.overflows(rows, most)
            more |= not whole
            if cut or whole:
                origin = self.origins[name]
                upto = origin.upto if whole else cut[-1].version
                parts.append(
                    Part(
                        name,
                        origin.incarnation,
                        since,
                        upto,
                        tuple(
                            Row(one.version, one.kind, one.key, one.body, max(0, now - one.since))
                            for one in cut
                        ),
                    )
                )
        return Delta(tuple(parts), more)

    @staticmethod
    def overflows(rows: list[Held], most: int) -> bool:
        return sum(map(size, rows)) > most

    def later(self, now: int, one: Origin, version: int, most: int) -> list[Held]:
        """The first ones after a version, a little over `most` bytes of them at the most."""
        rows, room = list[Held](), most
        for held in one.after(version):
            if now - held.since < longest(held.kind):
                rows.append(held)
                room -= size(held)
                if room < 0:
                    break
        return rows

    def take(self, now: int, delta: Delta) -> list[Record]:
        news = list[Record]()
        for part in delta.parts:
            origin = self.origin(part)
            if origin is None:
                continue
            if part.since > origin.upto:  # It was meant for what this member knew in an earlier life.
                self.left_out += 1
                continue
            for row in part.rows:
                held = Held(row.version, row.kind, row.key, row.body, now - row.age_ns)
                if row.version <= origin.upto:
                    self.grow_older(part.origin, origin, held)
                elif row.age_ns < longest(row.kind):
                    origin.upto = row.version
                    self.insert(part.origin, origin, held)
                    news.append(self.record(now, part.origin, held))
            origin.upto = max(origin.upto, part.upto)
        return news

    def origin(self, part: Part) -> Origin | None:
        """The life that a part is about; None where it is of no use."""
        known = self.origins.get(part.origin)
        if part.origin == self.me or (known is not None and known.incarnation > part.incarnation):
            return None
        if known is None and len(self.origins) >= self.bounds.origins:
            self.left_out += 1
            return None
        if known is None or known.incarnation < part.incarnation:
            for held in list(known.records.values()) if known else ():
                self.drop(part.origin, held)
            known = self.origins[part.origin] = Origin(part.incarnation)
        return known

    def grow_older(self, name: str, origin: Origin, held: Held) -> None:
        """The same word by another way: the longer way tells more of its true age."""
        mine = origin.records.get((held.kind, held.key))
        if mine is not None and mine.version == held.version and held.since < mine.since:
            older = mine._replace(since=held.since)
            origin.records[held.kind, held.key] = self.found[held.kind][held.key][name] = older
            self.expires(name, origin, older)

    # What is held

    def insert(self, name: str, origin: Origin, held: Held) -> None:
        if (old := origin.records.get((held.kind, held.key))) is not None:
            self.drop(name, old)
        origin.add(held)
        self.found.setdefault(held.kind, {}).setdefault(held.key, {})[name] = held
        self.count, self.bytes = self.count + 1, self.bytes + size(held)
        self.expires(name, origin, held)
        while len(origin.records) > self.bounds.records_an_origin:
            self.left_out += 1
            self.drop(name, next(iter(origin.records.values())))
        while self.count > self.bounds.records or self.bytes > self.bounds.bytes:
            self.left_out += 1
            name, most = max(self.origins.items(), key=lambda one: len(one[1].records))
            self.drop(name, next(iter(most.records.values())))

    def expires(self, name: str, origin: Origin, held: Held) -> None:
        self.ages.add(
            held.since + longest(held.kind),
            name,
            origin.incarnation,
            held.version,
            (held.kind, held.key),
            self.count,
        )

    def drop(self, name: str, held: Held) -> None:
        del self.origins[name].records[held.kind, held.key]
        by_key = self.found[held.kind]
        del by_key[held.key][name]
        if not by_key[held.key]:
            del by_key[held.key]
        self.count, self.bytes = self.count - 1, self.bytes - size(held)

    def sweep(self, now: int) -> int:
        """Let go of what is too old; call it every second or so. Reading never gives any of it."""
        gone = 0
        for name, incarnation, version, place in self.ages.due(now):
            origin = self.origins.get(name)
            held = origin.records.get(place) if origin and origin.incarnation == incarnation else None
            if held is not None and held.version == version:
                self.drop(name, held)
                gone += 1
        return gone

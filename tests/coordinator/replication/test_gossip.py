"""Gossip: members converge to the same records with correct ages, within the bounds of their stores."""

from __future__ import annotations

import random
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.coordinator.replication.gossip import Record, RecordKind
from ambershift.coordinator.replication.gossip.expiry import ExpiryQueue
from ambershift.coordinator.replication.gossip.messages import (
    Delta,
    DeltaRecord,
    Digest,
    Message,
    OriginDelta,
    OriginVersion,
    UnreadableError,
    decode,
    encode,
)
from ambershift.coordinator.replication.gossip.origin import encoded_size
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import MAX_BODY_BYTES, StoreLimits, max_age

S = 1_000_000_000
KINDS = [RecordKind.SERVER_START, RecordKind.ATTEMPT_STATS, RecordKind.ZONE_LEVEL, 77]
MAX_DELAY = S  # Of a message.


class ReferenceModel:
    """The latest records of each member with the time that they were observed, known to all at once."""

    def __init__(self) -> None:
        # By member, kind and key: incarnation, version, body and time.
        self.records = dict[tuple[str, int, str], tuple[int, int, bytes, int]]()

    def restart(self, name: str) -> None:
        self.records = {place: record for place, record in self.records.items() if place[0] != name}

    def known(self, now: int, slack: int) -> tuple[set[object], set[object]]:
        """The records that must be known, and those that may be.

        Records close to their maximum age may have expired at one member and not at another.
        """
        ages = {(place, record[:3]): now - record[3] for place, record in self.records.items() if record[2]}
        return (
            {record for record, age in ages.items() if age < max_age(record[0][1])},
            {record for record, age in ages.items() if age < max_age(record[0][1]) + slack},
        )


class World:
    """Members that publish and exchange records over a network that loses, repeats and reorders messages."""

    def __init__(self, seed: int, members: int) -> None:
        self.rng, self.now, self.names = random.Random(seed), 0, [f"n{i}" for i in range(members)]
        self.incarnations = dict.fromkeys(self.names, 1)
        self.stores = {name: GossipStore(name, 1) for name in self.names}
        self.model, self.in_flight = ReferenceModel(), list[tuple[int, str, str, bytes]]()
        self.largest = 0

    def send(self, sender: str, to: str, messages: list[Message]) -> None:
        for message in messages:
            data = encode(message)
            self.largest = max(self.largest, len(data))
            for _ in range(self.rng.choice([0, 1, 1, 1, 2])):  # Lost, or sent twice.
                self.in_flight.append((self.now + self.rng.randrange(MAX_DELAY), sender, to, data))

    def step(self) -> None:
        self.now += self.rng.randrange(S // 2)
        name = self.rng.choice(self.names)
        store, roll = self.stores[name], self.rng.random()
        if roll < 0.4:
            kind, key = self.rng.choice(KINDS), f"s{self.rng.randrange(8)}"
            age = self.rng.choice([0, 0, 5 * S])
            body = bytes([self.rng.randrange(1, 9)]) * self.rng.randrange(1, 50)
            made = store.put(self.now, kind, key, body, age)
            self.model.records[name, kind, key] = (
                self.incarnations[name],
                made.version,
                body,
                self.now - age,
            )
        elif roll < 0.45:
            kind, key = self.rng.choice(KINDS), f"s{self.rng.randrange(8)}"
            store.withdraw(self.now, kind, key)
            self.model.records.pop((name, kind, key), None)
        elif roll < 0.47:  # It restarts without any records.
            self.incarnations[name] += 1
            self.stores[name] = GossipStore(name, self.incarnations[name])
            self.stores[name].put(self.now, RecordKind.MEMBER_STATUS, "", b"")  # Others drop its old records.
            self.model.restart(name)
        elif roll < 0.8:
            to = self.rng.choice(self.names)
            self.send(name, to, [store.digest()])
        else:
            store.sweep(self.now)
        self.rng.shuffle(self.in_flight)
        for one in [one for one in self.in_flight if one[0] <= self.now]:
            self.in_flight.remove(one)
            self.deliver(one[1], one[2], one[3])

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        answers, _ = self.stores[to].receive(self.now, decode(data))
        self.send(to, sender, answers)

    def settle(self) -> None:
        """Without losses, all pairs exchange their records."""
        self.in_flight.clear()
        for _ in range(3):
            for one in self.names:
                for other in self.names:
                    talk = [(one, other, self.stores[one].digest())]
                    while talk:
                        sender, to, message = talk.pop()
                        answers, _ = self.stores[to].receive(self.now, decode(encode(message)))
                        talk += [(to, sender, answer) for answer in answers]


@pytest.mark.parametrize("members", [2, 3, 7])
def test_members_converge_after_losses_repeats_and_reordering(
    members: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "ambershift.coordinator.replication.gossip.store.GossipStore.delta.__defaults__", (400,)
    )
    for seed in range(24):
        world = World(seed, members)
        for _ in range(300):
            world.step()
        slack = 10 * MAX_DELAY * members
        world.settle()
        must, may = world.model.known(world.now, slack)
        for store in world.stores.values():
            seen = {}
            for kind in (*KINDS, RecordKind.MEMBER_STATUS):
                for one in store.all(world.now, kind):
                    content = (one.incarnation, one.version, one.body)
                    seen[(one.origin, one.kind, one.key), content] = one.age_ns
            assert must <= seen.keys() <= may, (seed, store.me)
            for (place, content), age in seen.items():
                true = world.now - world.model.records[place][3]
                assert true - slack <= age <= true, (seed, place, content)
            # After a sweep no expired record remains, and the counts are right.
            store.sweep(world.now)
            rows = [one for origin in store.origins.values() for one in origin.records.values()]
            assert store.count == len(rows) and store.bytes == sum(map(encoded_size, rows))
            assert all(world.now - row.observed_at < max_age(row.kind) for row in rows)
            assert sum(len(o) for k in store.by_kind.values() for o in k.values()) == len(rows)
        assert world.largest < 900


def test_newer_evidence_of_this_member_takes_precedence() -> None:
    one, other, third = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    other.put(0, RecordKind.ATTEMPT_STATS, "s1", b"b")
    third.put(5 * S, RecordKind.ATTEMPT_STATS, "s1", b"c", 1 * S)
    for store in (other, third):
        one.receive(6 * S, store.delta(6 * S, {}))
    for own_age, best in ((None, "c"), (3 * S, "c"), (2 * S, None), (S, None)):
        found = one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1", own_age)
        assert (found.origin if found else None) == best, own_age
    one.put(
        6 * S, RecordKind.ATTEMPT_STATS, "s1", b"a", 2 * S
    )  # As new as the newest: this member's own takes precedence.
    assert one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1") is None
    one.put(6 * S, RecordKind.ATTEMPT_STATS, "s1", b"a", 3 * S)
    assert one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1") == Record(
        "c", 1, 1, RecordKind.ATTEMPT_STATS, "s1", b"c", 2 * S
    )
    for _ in range(2):
        third.withdraw(7 * S, RecordKind.ATTEMPT_STATS, "s1")
    assert third.origins["c"].last_version == 2, "a withdrawn record is not withdrawn again"
    one.receive(7 * S, third.delta(7 * S, {"c": OriginVersion("c", 1, 1)}))
    assert one.newest(7 * S, RecordKind.ATTEMPT_STATS, "s1", 7 * S) is None, "b's is as old as that"
    found = one.newest(7 * S, RecordKind.ATTEMPT_STATS, "s1", 8 * S)
    assert found is None, "one's own record is newer than b's"
    assert one.newest(25 * S, RecordKind.ATTEMPT_STATS, "s1") is None and one.sweep(25 * S) == 2


def test_ages_grow_on_every_path_and_the_highest_is_kept() -> None:
    a, b, c = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    a.put(100 * S, RecordKind.SERVER_START, "s", b"x", 2 * S)
    # The clocks of the members are unrelated.
    b.receive(7 * S, a.delta(110 * S, {}))
    c.receive(9_000 * S, a.delta(111 * S, {}))
    assert next(iter(c.all(9_001 * S, RecordKind.SERVER_START))).age_ns == 14 * S
    late = b.delta(20 * S, {})  # 25 s old on the path by b.
    c.receive(9_003 * S, late)
    assert [one.age_ns for one in c.all(9_003 * S, RecordKind.SERVER_START)] == [25 * S]
    found = c.newest(9_003 * S, RecordKind.SERVER_START, "s")
    assert found is not None and found.age_ns == 25 * S
    c.receive(9_003 * S, a.delta(111 * S, {}))
    assert [one.age_ns for one in c.all(9_003 * S, RecordKind.SERVER_START)] == [25 * S]


def test_expired_records_are_neither_sent_nor_taken() -> None:
    a, b = GossipStore("a", 1), GossipStore("b", 1)
    a.put(0, RecordKind.SERVER_START, "t", b"y")
    a.put(0, RecordKind.ATTEMPT_STATS, "s", b"x")
    late = a.delta(30 * S, {})
    assert [row.key for part in late.parts for row in part.records] == ["t"] and late.parts[
        0
    ].last_version == 2
    early = Delta(
        (
            OriginDelta(
                "a",
                1,
                0,
                2,
                (
                    DeltaRecord(1, RecordKind.SERVER_START, "t", b"y", 0),
                    DeltaRecord(2, RecordKind.ATTEMPT_STATS, "s", b"x", max_age(RecordKind.ATTEMPT_STATS)),
                ),
            ),
        ),
        False,
    )
    assert [one.key for one in b.receive(0, early)[1]] == ["t"] and b.count == 1
    assert b.digest().vector[1] == OriginVersion("a", 1, 2)


def test_stores_are_bounded_and_drop_records_of_the_largest_origin() -> None:
    store = GossipStore("a", 1, StoreLimits(3, 50, 120, 1 << 20))
    for at in range(40):
        store.put(0, RecordKind.SERVER_START, f"a{at}", b"x")
    for name, count in (("b", 80), ("c", 60), ("d", 5)):
        rows = tuple(
            DeltaRecord(at + 1, RecordKind.SERVER_START, f"{name}{at}", b"y", 0) for at in range(count)
        )
        store.receive(0, Delta((OriginDelta(name, 1, 0, count, rows),), False))
    held = {name: len(one.records) for name, one in store.origins.items()}
    assert held == {"a": 40, "b": 40, "c": 40} and store.count == 120 and store.dropped == 61
    assert set(store.keys(RecordKind.SERVER_START)) >= {"b79", "c59", "a0"} and "b0" not in store.keys(
        RecordKind.SERVER_START
    )
    for _ in range(5_000):
        store.put(0, RecordKind.ATTEMPT_STATS, "s", b"z")
    assert len(store.expiry.heap) < 6 * store.count + 1100 and len(store.origins["a"].order) < 1200
    store.sweep(max_age(RecordKind.ATTEMPT_STATS))
    assert store.keys(RecordKind.ATTEMPT_STATS) == []
    assert store.receive(0, Digest((OriginVersion("a", 2, 9),), True))[0] == [
        store.delta(0, {"a": OriginVersion("a", 2, 9)})
    ]
    few = GossipStore("a", 1, StoreLimits(3, 10, 120, 1 << 20))
    for at in range(40):
        few.put(0, RecordKind.SERVER_START, f"a{at}", b"x")
    assert few.keys(RecordKind.SERVER_START) == [f"a{at}" for at in range(30, 40)]
    ages = ExpiryQueue()
    for version in range(1, 1_030):
        ages.add(version, "a", 1, version, (1, "s"), 1)
    assert [one[2] for one in ages.due(2_000)] == [1_029], "only the newest is left"
    small = GossipStore("a", 1, StoreLimits(3, 50, 120, 2_000))
    for at in range(40):
        small.put(0, RecordKind.SERVER_START, f"a{at}", b"x" * 300)
    assert small.bytes <= 2_000 and small.count == 5
    for key, body, age in (("k" * 600, b"", 0), ("k", b"x" * (MAX_BODY_BYTES + 1), 0), ("k", b"", -1)):
        with pytest.raises(ValueError):
            store.put(0, RecordKind.SERVER_START, key, body, age)


def test_a_delta_is_bounded_has_no_gaps_and_starves_no_origin() -> None:
    full, empty = GossipStore("a", 1), GossipStore("z", 1)
    for at in range(2_000):
        full.put(0, RecordKind.SERVER_START, f"a{at}", b"x" * 60)
    rows = tuple(DeltaRecord(at + 1, RecordKind.SERVER_START, f"b{at}", b"y", 0) for at in range(3))
    full.receive(0, Delta((OriginDelta("b", 1, 0, 3, rows),), False))
    rounds, message = 0, full.receive(0, empty.digest())[0][0]
    assert isinstance(message, Delta) and message.more
    assert {part.origin for part in message.parts} == {"a", "b"}
    while True:
        rounds += 1
        assert len(encode(message)) < 80 << 10
        answers, _ = empty.receive(0, message)
        if not answers:
            break
        message = full.receive(0, answers[0])[0][0]
    assert len(empty.keys(RecordKind.SERVER_START)) == 2_003 and 3 <= rounds <= 5
    # Many origins with one large record each.
    for at in range(40):
        row = DeltaRecord(1, RecordKind.SERVER_START, f"c{at}", b"x" * MAX_BODY_BYTES, 0)
        full.receive(0, Delta((OriginDelta(f"c{at}", 1, 0, 1, (row,)),), False))
    assert len(encode(full.delta(0, {}))) < 90 << 10
    # A delta that answers an earlier incarnation's digest, or comes twice, changes nothing.
    gap = Delta(
        (OriginDelta("a", 1, 5_000, 5_001, (DeltaRecord(5_001, RecordKind.SERVER_START, "late", b"", 0),)),),
        False,
    )
    assert empty.receive(0, gap) == ([], []) and empty.receive(0, message) == ([], [])
    # A newer incarnation replaces the older one, of which nothing is taken any more.
    empty.receive(
        0,
        Delta((OriginDelta("b", 2, 0, 1, (DeltaRecord(1, RecordKind.ATTEMPT_STATS, "s", b"n", 0),)),), False),
    )
    assert (
        empty.receive(
            0,
            Delta(
                (OriginDelta("b", 1, 3, 4, (DeltaRecord(4, RecordKind.ATTEMPT_STATS, "o", b"n", 0),)),), False
            ),
        )[1]
        == []
    )
    assert [one.key for one in empty.all(0, RecordKind.ATTEMPT_STATS)] == ["s"] and "b0" not in empty.keys(
        RecordKind.SERVER_START
    )
    # Records of its own name are never taken from others.
    empty.receive(
        0,
        Delta(
            (OriginDelta("z", 9, 0, 1, (DeltaRecord(1, RecordKind.ATTEMPT_STATS, "mine", b"n", 0),)),), False
        ),
    )
    assert "mine" not in empty.keys(RecordKind.ATTEMPT_STATS)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_invalid_message_bytes_are_refused(junk: bytes, at: int, value: int) -> None:
    whole = encode(
        Delta(
            (OriginDelta("a", 1, 0, 9, (DeltaRecord(3, 1, "k", b"v", 5), DeltaRecord(4, 1, "l", b"v", 5))),),
            False,
        )
    )
    corrupted = bytearray(whole)
    corrupted[at % len(whole)] = value
    for data in (junk, bytes([1]) + junk, bytes(corrupted)):
        with suppress(UnreadableError):
            GossipStore("z", 1).receive(0, decode(data))
    for rows in (
        (DeltaRecord(4, 1, "k", b"", 0), DeltaRecord(4, 1, "k", b"", 0)),
        (DeltaRecord(10, 1, "k", b"", 0),),
        (DeltaRecord(1, 1, "k" * 600, b"", 0),),
        (DeltaRecord(1, 1, "k", b"", -1),),
    ):
        with pytest.raises(UnreadableError):
            decode(encode(Delta((OriginDelta("a", 1, 0, 9, rows),), False)))
    with pytest.raises(UnreadableError):
        decode(encode(Digest(tuple(OriginVersion(f"n{at}", 1, 1) for at in range(300)), True)))

"""Heard state: after any exchange members know the same, as old as it is, and never more than they bear."""

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
WAY = S  # The longest a message is under way.


class Plain:
    """What is true: each member's latest words, and since when; slow, and known to all at once."""

    def __init__(self) -> None:
        self.said = dict[tuple[str, int, str], tuple[int, int, bytes, int]]()

    def renew(self, name: str) -> None:
        self.said = {place: one for place, one in self.said.items() if place[0] != name}

    def holds(self, now: int, slack: int) -> tuple[set[object], set[object]]:
        """What must be known, and what may be: words near their end may be gone at one and not at another."""
        rows = {(place, one[:3]): now - one[3] for place, one in self.said.items() if one[2]}
        return (
            {row for row, age in rows.items() if age < max_age(row[0][1])},
            {row for row, age in rows.items() if age < max_age(row[0][1]) + slack},
        )


class World:
    def __init__(self, seed: int, members: int) -> None:
        self.rng, self.now, self.names = random.Random(seed), 0, [f"n{i}" for i in range(members)]
        self.lives = dict.fromkeys(self.names, 1)
        self.stores = {name: GossipStore(name, 1) for name in self.names}
        self.plain, self.way = Plain(), list[tuple[int, str, str, bytes]]()
        self.largest = 0

    def send(self, sender: str, to: str, messages: list[Message]) -> None:
        for message in messages:
            data = encode(message)
            self.largest = max(self.largest, len(data))
            for _ in range(self.rng.choice([0, 1, 1, 1, 2])):  # Lost, or told twice.
                self.way.append((self.now + self.rng.randrange(WAY), sender, to, data))

    def step(self) -> None:
        self.now += self.rng.randrange(S // 2)
        name = self.rng.choice(self.names)
        store, roll = self.stores[name], self.rng.random()
        if roll < 0.4:
            kind, key = self.rng.choice(KINDS), f"s{self.rng.randrange(8)}"
            age = self.rng.choice([0, 0, 5 * S])
            body = bytes([self.rng.randrange(1, 9)]) * self.rng.randrange(1, 50)
            made = store.put(self.now, kind, key, body, age)
            self.plain.said[name, kind, key] = (self.lives[name], made.version, body, self.now - age)
        elif roll < 0.45:
            kind, key = self.rng.choice(KINDS), f"s{self.rng.randrange(8)}"
            store.withdraw(self.now, kind, key)
            self.plain.said.pop((name, kind, key), None)
        elif roll < 0.47:  # It starts anew, with nothing.
            self.lives[name] += 1
            self.stores[name] = GossipStore(name, self.lives[name])
            self.stores[name].put(
                self.now, RecordKind.MEMBER_STATUS, "", b""
            )  # Heard of, so that its old words go.
            self.plain.renew(name)
        elif roll < 0.8:
            to = self.rng.choice(self.names)
            self.send(name, to, [store.digest()])
        else:
            store.sweep(self.now)
        self.rng.shuffle(self.way)
        for one in [one for one in self.way if one[0] <= self.now]:
            self.way.remove(one)
            self.deliver(one[1], one[2], one[3])

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        answers, _ = self.stores[to].receive(self.now, decode(data))
        self.send(to, sender, answers)

    def settle(self) -> None:
        """Now everything arrives: pairs exchange until they know the same."""
        self.way.clear()
        for _ in range(3):
            for one in self.names:
                for other in self.names:
                    talk = [(one, other, self.stores[one].digest())]
                    while talk:
                        sender, to, message = talk.pop()
                        answers, _ = self.stores[to].receive(self.now, decode(encode(message)))
                        talk += [(to, sender, answer) for answer in answers]


@pytest.mark.parametrize("members", [2, 3, 7])
def test_members_know_the_same_after_losses_repeats_and_disorder(
    members: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "ambershift.coordinator.replication.gossip.store.GossipStore.delta.__defaults__", (400,)
    )
    for seed in range(24):
        world = World(seed, members)
        for _ in range(300):
            world.step()
        slack = 10 * WAY * members
        world.settle()
        must, may = world.plain.holds(world.now, slack)
        for store in world.stores.values():
            seen = {}
            for kind in (*KINDS, RecordKind.MEMBER_STATUS):
                for one in store.all(world.now, kind):
                    word = (one.incarnation, one.version, one.body)
                    seen[(one.origin, one.kind, one.key), word] = one.age_ns
            assert must <= seen.keys() <= may, (seed, store.me)
            for (place, word), age in seen.items():
                true = world.now - world.plain.said[place][3]
                assert true - slack <= age <= true, (seed, place, word)
            # Nothing that is too old stays after a sweep, and the counts are right.
            store.sweep(world.now)
            rows = [one for origin in store.origins.values() for one in origin.records.values()]
            assert store.count == len(rows) and store.bytes == sum(map(encoded_size, rows))
            assert all(world.now - row.observed_at < max_age(row.kind) for row in rows)
            assert sum(len(o) for k in store.by_kind.values() for o in k.values()) == len(rows)
        assert world.largest < 900


def test_ones_own_newer_evidence_is_never_overruled() -> None:
    one, other, third = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    other.put(0, RecordKind.ATTEMPT_STATS, "s1", b"b")
    third.put(5 * S, RecordKind.ATTEMPT_STATS, "s1", b"c", 1 * S)
    for store in (other, third):
        one.receive(6 * S, store.delta(6 * S, {}))
    for own_age, best in ((None, "c"), (3 * S, "c"), (2 * S, None), (S, None)):
        found = one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1", own_age)
        assert (found.origin if found else None) == best, own_age
    one.put(6 * S, RecordKind.ATTEMPT_STATS, "s1", b"a", 2 * S)  # As new as the newest: one's own counts.
    assert one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1") is None
    one.put(6 * S, RecordKind.ATTEMPT_STATS, "s1", b"a", 3 * S)
    assert one.newest(6 * S, RecordKind.ATTEMPT_STATS, "s1") == Record(
        "c", 1, 1, RecordKind.ATTEMPT_STATS, "s1", b"c", 2 * S
    )
    for _ in range(2):
        third.withdraw(7 * S, RecordKind.ATTEMPT_STATS, "s1")
    assert third.origins["c"].last_version == 2, "nothing is told where nothing stands"
    one.receive(7 * S, third.delta(7 * S, {"c": OriginVersion("c", 1, 1)}))
    assert one.newest(7 * S, RecordKind.ATTEMPT_STATS, "s1", 7 * S) is None, "b's is as old as that"
    found = one.newest(7 * S, RecordKind.ATTEMPT_STATS, "s1", 8 * S)
    assert found is None, "one's own record is newer than b's"
    assert one.newest(25 * S, RecordKind.ATTEMPT_STATS, "s1") is None and one.sweep(25 * S) == 2


def test_ages_grow_by_every_way_and_the_longest_counts() -> None:
    a, b, c = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    a.put(100 * S, RecordKind.SERVER_START, "s", b"x", 2 * S)
    # Clocks that have nothing to do with each other.
    b.receive(7 * S, a.delta(110 * S, {}))
    c.receive(9_000 * S, a.delta(111 * S, {}))
    assert next(iter(c.all(9_001 * S, RecordKind.SERVER_START))).age_ns == 14 * S
    late = b.delta(20 * S, {})  # 25 s old by b's way.
    c.receive(9_003 * S, late)
    assert [one.age_ns for one in c.all(9_003 * S, RecordKind.SERVER_START)] == [25 * S]
    found = c.newest(9_003 * S, RecordKind.SERVER_START, "s")
    assert found is not None and found.age_ns == 25 * S
    c.receive(9_003 * S, a.delta(111 * S, {}))
    assert [one.age_ns for one in c.all(9_003 * S, RecordKind.SERVER_START)] == [25 * S]


def test_what_is_too_old_is_neither_told_nor_taken() -> None:
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


def test_stores_are_bounded_and_a_loud_member_pushes_out_its_own() -> None:
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


def test_a_delta_is_bounded_leaves_no_hole_and_lets_no_origin_starve() -> None:
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
    # Many with one large word each.
    for at in range(40):
        row = DeltaRecord(1, RecordKind.SERVER_START, f"c{at}", b"x" * MAX_BODY_BYTES, 0)
        full.receive(0, Delta((OriginDelta(f"c{at}", 1, 0, 1, (row,)),), False))
    assert len(encode(full.delta(0, {}))) < 90 << 10
    # A delta for what it knew in an earlier life, or twice, changes nothing.
    gap = Delta(
        (OriginDelta("a", 1, 5_000, 5_001, (DeltaRecord(5_001, RecordKind.SERVER_START, "late", b"", 0),)),),
        False,
    )
    assert empty.receive(0, gap) == ([], []) and empty.receive(0, message) == ([], [])
    # A newer life replaces the older; what comes of the older then is of no use.
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
    # Its own words come from itself alone.
    empty.receive(
        0,
        Delta(
            (OriginDelta("z", 9, 0, 1, (DeltaRecord(1, RecordKind.ATTEMPT_STATS, "mine", b"n", 0),)),), False
        ),
    )
    assert "mine" not in empty.keys(RecordKind.ATTEMPT_STATS)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_bytes_that_no_member_sends_are_refused_by_name(junk: bytes, at: int, value: int) -> None:
    whole = encode(
        Delta(
            (OriginDelta("a", 1, 0, 9, (DeltaRecord(3, 1, "k", b"v", 5), DeltaRecord(4, 1, "l", b"v", 5))),),
            False,
        )
    )
    spoilt = bytearray(whole)
    spoilt[at % len(whole)] = value
    for data in (junk, bytes([1]) + junk, bytes(spoilt)):
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

"""Interference: counters good and bad, sketches, evidence, pooled scores, and planted worlds."""

import random
import re
from collections import Counter
from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.coordinator.counters.standin import rows, written
from ambershift.coordinator.counters.worlds import EPOCH, SLOT_NS, Plan, Plant, World
from ambershift.coordinator.interference import records
from ambershift.coordinator.interference.engine import Bounds, Engine
from ambershift.coordinator.interference.normal import CAP, Gatherer, Sketch, liars, merge, normal, sound
from ambershift.coordinator.interference.perfcsv import LINE_MOST, Job, PerfReader
from ambershift.coordinator.interference.pooled import Found, pool, scores
from ambershift.coordinator.interference.sift import Told, judge
from ambershift.coordinator.interference.suspects import BLOCK, findings, present, swings
from ambershift.coordinator.interference.words import Sample, Unusable
from ambershift.coordinator.replication.gossip import RecordKind
from tests.coordinator.interference.planted_worlds import Played, due, play, record

SECOND = 1_000_000_000
NOW = 1_700_000_000 * SECOND
PLANTS = Plant("batch", "games", 0.08), Plant("crawl", "chat", 0.12)


def sample(number: int = 0, node: str = "a", job: str = "s-1", **but: Any) -> Sample:
    figures = {
        "span_ns": SLOT_NS,
        "cycles": 2.5e10 + number,
        "instructions": 2e10 - 7 * number,
        "cache_misses": 1e7,
        "task_ns": 1e10,
        "counted": 1.0,
        "at": NOW + number * SLOT_NS,
    }
    return Sample(node, "m1", job, "games", **(figures | but))  # type: ignore[arg-type]


# Counters


def csv(*made: Sample) -> str:
    return "# started on a day\n\n" + "".join(
        line + "\n" for one in made for line in rows(one, one.at - NOW + SLOT_NS)
    )


def read(text: str | bytes, step: int = 10**9, cgroup: str = "") -> tuple[list[Sample], dict[str, int]]:
    """Row by row, each when perf writes it, and in pieces of `step` bytes."""
    reader = PerfReader(Job("a", "m1", "s-1", "games", cgroup), NOW - SLOT_NS)
    data, found, now = text.encode() if isinstance(text, str) else text, list[Sample](), NOW
    for row in data.splitlines(keepends=True):
        if stamp := re.match(rb" *([1-9]0)[.]0{9},", row):
            now = NOW - SLOT_NS + int(stamp[1]) * SECOND
        found += [one for at in range(0, len(row), step) for one in reader.feed(row[at : at + step], now)]
    return found + reader.flush(), {reason.value: count for reason, count in reader.took.items()}


@pytest.mark.parametrize("step", [1, 7, 64, 10**9])
def test_rows_cut_anywhere_give_the_same_samples(step: int) -> None:
    made = [sample(number) for number in range(4)]
    assert read(csv(*made), step) == (made, {})


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (lambda t: t.replace("25000000001", "x1"), {"unreadable": 1, "not-counted": 1}),
        (lambda t: t.replace("25000000001,,", "<not counted>,,"), {"not-counted": 1}),
        (lambda t: t.replace("25000000001,,", "<not supported>,,"), {"not-counted": 1}),
        (lambda t: t.replace("25000000001", "281474951710655"), {"wrapped": 1}),
        (lambda t: t.replace("25000000001", "-25000000001"), {"wrapped": 1}),
        (lambda t: t.replace("25000000001", "99000000001"), {"contradicting": 1}),  # Not perf's own ratio.
        (lambda t: t.replace("25000000001", "nan"), {"unreadable": 1, "not-counted": 1}),
        (lambda t: t.replace("1,,cycles,10000000000,100.00", "1,,cycles,1000,20.00"), {"too-little": 1}),
        (lambda t: t.replace("1,,cycles,10000000000,100.00", "1,,cycles,1000,170.00"), {"impossible": 1}),
        (
            lambda t: t.replace(
                "    20.000000000,25000000001",
                "    20.000000000,25000000000,,cycles,1,100.00,,\n    20.000000000,25000000001",
            ),
            {"contradicting": 1},
        ),
        (
            lambda t: t.replace(
                "    20.000000000,25000000001,,cycles,10000000000,100.00,,\n",
                2 * "    20.000000000,25000000001,,cycles,10000000000,100.00,,\n",
            ),
            {"repeated": 1},
        ),
        (
            lambda t: t.replace("25000000001,,cycles", "25000000000,,cycles").replace(
                "19999999993", "20000000000"
            ),
            {"repeated": 1},
        ),  # The same figures as the interval before.
        (
            lambda t: t.replace("    20.000000000,250", "x" * LINE_MOST * 3 + "\n    20.000000000,250"),
            {"unreadable": 1},
        ),
    ],
)
def test_a_fault_in_one_interval_is_named_and_costs_that_one_alone(change: Any, why: dict[str, int]) -> None:
    made = [sample(number) for number in range(4)]
    text = change(csv(*made))
    assert text != csv(*made)
    found, took = read(text)
    assert took == why
    assert found == ([made[0], *made[2:]] if why.keys() != {"unreadable"} else made)


def test_a_row_without_an_end_takes_no_room_and_spoils_one_row() -> None:
    reader = PerfReader(Job("a", "m1", "s-1", "games"), NOW - SLOT_NS)
    for _ in range(1_000):
        reader.feed(b"7" * 100, NOW)
        assert len(reader._left) <= LINE_MOST + 1
    found = [*reader.feed(("\n" + csv(sample(0))).encode(), NOW), *reader.flush()]
    assert (found, dict(reader.took)) == ([sample(0)], {Unusable.UNREADABLE: 1})


def test_perf_started_anew_begins_its_stamps_anew() -> None:
    first, anew = (
        csv(*(sample(number, cycles=cycles + number) for number in range(3))).encode()
        for cycles in (2.5e10, 2.4e10)
    )
    reader = PerfReader(Job("a", "m1", "s-1", "games"))
    found, now = list[Sample](), NOW + 100 * SLOT_NS  # Nobody said when perf began.
    for at, row in enumerate([*first.splitlines(keepends=True), *anew.splitlines(keepends=True)]):
        now += SLOT_NS if at % 14 in (2, 6, 10) else 0
        found += reader.feed(row, now)
    found += reader.flush()
    assert dict(reader.took) == {Unusable.WRAPPED: 1}
    assert [one.cycles for one in found] == [2.5e10 + 1, 2.5e10 + 2, 2.4e10, 2.4e10 + 1, 2.4e10 + 2]
    assert [one.at for one in found] == [NOW + (102 + at) * SLOT_NS for at in range(5)]
    assert {one.span_ns for one in found} == {SLOT_NS}


def test_rows_of_other_groups_and_idle_intervals() -> None:
    text = "".join(
        f"{line}\n"
        for number in range(2)
        for group in ("web.slice", "batch.slice")
        for line in rows(
            sample(number, cycles=(1 + (group[0] == "b")) * 2e10 + number), (number + 1) * SLOT_NS, group
        )
    )
    found, took = read(text, cgroup="batch.slice")
    assert ([one.cycles for one in found], took) == ([4e10, 4e10 + 1], {})
    idle = sample(1, cycles=0.0, instructions=0.0, cache_misses=0.0, task_ns=0.0)
    assert read(csv(sample(0), idle)) == ([sample(0), idle], {})


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=400), st.integers(0, 600))
def test_rubbish_among_rows_never_raises_and_the_next_intervals_stand(rubbish: bytes, at: int) -> None:
    clean = csv(*(sample(number) for number in range(5))).encode()
    found, _ = read(clean[:at] + rubbish + b"\n" + clean[at:])
    assert {sample(3), sample(4)} <= set(found)


FAULTY = [
    ({"cycles": -1.0}, Unusable.WRAPPED),
    ({"cycles": float("inf")}, Unusable.IMPOSSIBLE),
    ({"cycles": 2e12}, Unusable.IMPOSSIBLE),
    ({"instructions": 1e12}, Unusable.IMPOSSIBLE),
    ({"cycles": 0.0}, Unusable.CONTRADICTING),
    ({"cache_misses": 1e11}, Unusable.IMPOSSIBLE),
    ({"task_ns": 1e15, "cycles": 2e15, "instructions": 2e15}, Unusable.IMPOSSIBLE),
    ({"counted": 0.3}, Unusable.TOO_LITTLE),
    ({"counted": 1.5}, Unusable.IMPOSSIBLE),
    ({"span_ns": 16 * SECOND}, Unusable.IMPOSSIBLE),
    ({"at": NOW + 21 * SECOND}, Unusable.SKEWED),
    ({"at": NOW}, Unusable.CONTRADICTING),
    ({"at": NOW + 3 * SECOND}, Unusable.CONTRADICTING),
    ({"at": NOW - SLOT_NS}, Unusable.REPEATED),
    ({"job": "a|b"}, None),
    ({"job": ""}, Unusable.UNREADABLE),
    ({"cycles": 2.5e10, "instructions": 2e10}, Unusable.REPEATED),
]


@pytest.mark.parametrize(("but", "why"), FAULTY)
def test_a_sample_that_can_not_be_is_named(but: dict[str, Any], why: Unusable | None) -> None:
    told = Told()
    assert judge(sample(0), NOW, told) is None
    assert judge(sample(1, **but), NOW, told) is (why or Unusable.UNREADABLE)
    assert judge(sample(2), NOW, told) is None


def test_figures_of_one_ratio_are_written_and_not_counted() -> None:
    told = Told()
    reasons = [
        judge(
            sample(at, cycles=1e10 * (1 + at), instructions=8e9 * (1 + at), task_ns=4e9 * (1 + at)),
            NOW + at * SLOT_NS,
            told,
        )
        for at in range(5)
    ]
    assert reasons == [None, None, None, Unusable.IMPOSSIBLE, Unusable.IMPOSSIBLE]


# Normal


def sketch_of(middle: float, count: int, at: int, seed: int) -> Sketch:
    gatherer, chance = Gatherer(), random.Random(seed)
    for _ in range(count):
        gatherer.add(at, chance.gauss(middle, 0.05))
    return gatherer.sketch()


POOLS = st.dictionaries(
    st.sampled_from("abcd"),
    st.builds(
        sketch_of, st.sampled_from([0.0, 0.4]), st.integers(1, 40), st.integers(1, 3), st.integers(0, 2)
    ),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(POOLS, POOLS, POOLS)
def test_merging_is_commutative_associative_and_idempotent(one: Any, two: Any, three: Any) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one and merge(merge(one, two), two) == merge(one, two)


def test_normal_is_robust_ages_and_needs_evidence() -> None:
    nodes = {f"n{at}": sketch_of(0.5, 200, NOW, at) for at in range(6)}
    found = normal(nodes, NOW)
    assert found is not None and abs(found.middle - 0.5) < 0.01 and 0.04 < found.spread < 0.07
    ill = normal(nodes | {"x": sketch_of(2.0, 300, NOW, 9)}, NOW)
    assert ill is not None and abs(ill.middle - 0.5) < 0.03 and ill.spread < 0.09
    hour = 3_600 * SECOND
    aged = normal(
        {name: sketch_of(0.5, 200, NOW - 5 * hour, 1) for name in "abc"}
        | {"new": sketch_of(0.9, 200, NOW, 2)},
        NOW,
    )
    assert aged is not None and abs(aged.middle - 0.9) < 0.05  # A deploy ago weighs a 32nd.
    assert normal({"a": sketch_of(0.5, 80, NOW, 1)}, NOW) is None
    assert normal(nodes, NOW + 20 * hour) is None or normal(nodes, NOW, nodes) is None
    full = sketch_of(0.5, 10 * CAP, NOW, 3)
    assert full.count <= CAP and sound(full)


def test_a_node_that_is_far_off_lies_and_a_victim_does_not() -> None:
    def world(off: dict[str, float]) -> Any:
        return {
            ("m1", group): {
                f"n{at}": sketch_of(0.3 + off.get(f"n{at}/{group}", 0.0), 60, NOW, at) for at in range(6)
            }
            for group in ("games", "chat")
        }

    assert liars(world({})) == frozenset()
    assert liars(world({"n1/games": 0.6})) == frozenset()  # One slow group: a victim.
    assert liars(world({"n1/games": 1.0, "n1/chat": 1.0})) == {"n1"}
    assert liars(world({"n1/games": -0.6})) == {"n1"}  # Nothing makes a job that much faster.


# Evidence


def test_the_culprit_is_found_and_its_twin_in_time_is_not() -> None:
    blamed = list[float]()
    for seed in range(20):
        chance, slots = np.random.default_rng(seed), np.arange(12 * BLOCK)
        busy = np.repeat(np.arange(40) % 2, 9).astype(float) * 2
        twin = np.where(chance.random(len(slots)) < 0.7, busy, chance.random(len(slots)) * 2)
        uses = np.stack([busy + 0.1 * chance.random(len(slots)), twin])
        over = 0.1 * uses[0] + 0.05 * chance.standard_normal(len(slots)) + 0.3 * (slots > 150)  # Deploy.
        filled = present(uses, slots)
        one, other = findings(
            over, np.ones(len(slots)), filled, swings(filled), np.full(len(slots), np.nan), slots
        )
        assert one is not None and other is not None
        assert abs(one.slope - 0.1) < 5 * one.error and one.slope > 5 * one.error
        blamed.append(other.slope / other.error)
    assert max(blamed) < 3.5


def test_pooling_takes_no_word_of_one_node_and_no_stray() -> None:
    honest = [Found(0.0 + at * 0.002, 1e-4, 8.0, 2.0) for at in range(6)]
    liar = Found(0.4, 1e-6, 11.0, 2.0)
    assert pool([Found(0.1, 1e-4, 4.0, 2.0)]) is None  # Too few blocks.
    strayed = pool([*honest, liar])
    assert strayed is not None and (strayed.nodes, strayed.strays) == (6, 1)
    for found in ([liar], [honest[0], liar], [*honest, liar]):
        assert not any(score.accused for score in scores({("games", "batch"): found}))
    same = [Found(0.1, 1e-4, 8.0, 2.0)] * 3
    assert [one.accused for one in scores({("games", "batch"): same})] == [True]
    many = {(f"v{at}", "s"): [Found(0.02, 4e-5, 11.0, 2.0)] * 3 for at in range(2)}
    weak = {(f"w{at:03}", "s"): honest for at in range(400)}
    assert all(one.p > 5 * alone.p for one, alone in zip(scores(many | weak), scores(many), strict=False))


# Records and bounds


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.binary(max_size=80),
    st.integers(0, 60),
    st.sampled_from([RecordKind.INTERFERENCE_EVIDENCE, RecordKind.INTERFERENCE_BASELINE]),
)
def test_torn_and_foreign_records_are_counted_and_never_held(
    rubbish: bytes, at: int, kind: RecordKind
) -> None:
    engine = Engine("n1")
    good = records.encode(
        records.Evidence(1, NOW, "a", "s-1", "games", False, 0, "", (records.Met("batch", 5, 5, 500, 9),))
    )
    for body in (good[:at] + rubbish, rubbish, good + rubbish + b"x", b"x" * 9_000):
        if body != good:
            engine.heard(record("n2", records.Put(kind, "a|s-1", body)))
    engine.refresh()
    assert engine.scores() == [] and engine.rows() == []


def test_nothing_grows_past_its_bound_at_ten_times_as_much() -> None:
    bounds = Bounds(nodes=4, jobs=3, heard=20, rows=1)
    engine, whole = Engine("n1", bounds=bounds), Engine("n1")
    for slot in range(4 * BLOCK):
        now = NOW + slot * SLOT_NS
        engine.samples(
            now,
            [
                sample(slot, f"node-{node}", f"s-{job}", cycles=2.5e10 + 1e7 * slot * (job + 1))
                for node in range(40 if slot < 3 else 4)
                for job in range(30 if slot < 3 else 3)
            ],
        )
    due(engine, NOW + 4 * BLOCK * SLOT_NS + 60 * SECOND)
    assert len(engine._nodes) == 4 and all(len(node.jobs) <= 3 for node in engine._nodes.values())
    assert engine.unusable["too-many"] >= 3 * (36 * 30 + 4 * 27) and engine.taken == 4 * 3 * 4 * BLOCK
    for at in range(200):
        evidence = records.Evidence(1, NOW, f"x{at}", f"s{at}", f"g{at}", False, 0, "alone", ())
        baseline = records.Baseline(1, "m1", f"g{at}", "x", sketch_of(0.5, 5, NOW, 1))
        for one in (engine, whole):
            one.heard(
                record(
                    "n2",
                    records.Put(RecordKind.INTERFERENCE_EVIDENCE, f"x{at}|s{at}", records.encode(evidence)),
                )
            )
            one.heard(
                record(
                    "n2",
                    records.Put(RecordKind.INTERFERENCE_BASELINE, f"m1|g{at}|x", records.encode(baseline)),
                )
            )
    for one in (engine, whole):
        one.refresh()
    assert len(engine._held.evidence) == 20 and len(engine.rows()) == 1 and len(whole.rows()) == 200
    assert sum(map(len, engine._held.baselines.values())) <= 20
    made = due(engine, NOW + 100 * 3_600 * SECOND)
    assert not engine._nodes and made and all(put.body == b"" for put in made)


# Planted worlds

HARD = Plan(nodes=12, plants=PLANTS, slow=0.3, liars=0.2, faulty=0.04, slots=480)


@pytest.fixture(scope="module")
def played() -> Played:
    return play(4, HARD, members=3)


def test_every_member_gives_the_same_scores_to_the_byte_in_whatever_order_it_heard(played: Played) -> None:
    engines = played.engines
    now = (EPOCH + HARD.slots + 40) * SLOT_NS
    given = [record(engine.me, put) for engine in engines for put in due(engine, now)]
    given += [
        record(engine.me, records.Put(*place, body))
        for engine in engines
        for place, body in engine._given.items()
    ]
    seen = set[bytes]()
    for seed in range(5):
        late = Engine("later")
        random.Random(seed).shuffle(given)
        for one in given + given[:50]:
            late.heard(one)
        late.refresh()
        seen.add(records.Encoder.encode([late.scores(), late.rows()]))
    assert len(seen) == 1
    assert any(score.accused for score in late.scores())


def test_planted_pairs_are_found_and_no_other_amid_faults_slow_machines_and_liars(played: Played) -> None:
    assert played.wanted and set(played.found) == played.wanted and not played.false
    assert all(engine.scores() == played.engines[0].scores() for engine in played.engines[1:])
    faults = played.world.faults
    took = sum((engine.unusable for engine in played.engines), start=Counter[str]())
    assert took["wrapped"] == faults["wrapped"] and took["skewed"] == faults["skewed"]
    assert took["repeated"] == faults["repeated"] and took["contradicting"] == faults["contradicting"]
    assert took["impossible"] == faults["reset"] + faults["invented"]
    assert took["too-little"] == faults["multiplexed"]
    assert took["all-slow"] > 60


@pytest.mark.parametrize("seed", range(12))
def test_nobody_is_accused_where_none_is_planted(seed: int) -> None:
    hard = {"slow": 0.3, "liars": 0.2, "faulty": 0.04} if seed % 2 else {}
    assert play(5_000 + seed, Plan(nodes=8, slots=300, **hard)).false == {}  # type: ignore[arg-type]


def test_a_world_written_as_csv_in_a_fiftieth_of_the_time_is_read_and_scored() -> None:
    interval = SLOT_NS // 50
    plan = Plan(nodes=6, plants=(Plant("batch", "games", 0.15),), slots=450, faulty=0.01)
    world, engine = World(4, plan), Engine("n1", slot_ns=interval)
    readers = dict[tuple[str, str], PerfReader]()
    for slot in range(plan.slots):
        now, made = NOW + (slot + 1) * interval, list[Sample]()
        for one, text in written(world, slot, interval):
            reader = readers.setdefault(
                (one.node, one.job), PerfReader(Job(one.node, one.kind, one.job, one.tenant))
            )
            made += reader.feed(text.encode(), now)
        engine.samples(now, made)
        if slot % 6 == 4:
            due(engine, now)
    engine.refresh()
    accused = {(one.victim, one.suspect) for one in engine.scores() if one.accused}
    assert accused == world.expected() == {("games", "batch")}
    assert engine.taken > 0.9 * plan.slots * world.jobs * 0.8


def test_a_server_counts_for_less_while_it_suffers_and_is_eased_within_the_bound() -> None:
    plan = Plan(nodes=8, plants=(Plant("batch", "games", 0.25),), slots=600, servers=2)
    world, engine, plain = World(4, plan), Engine("n1", ease=True, ease_most=0.1), Engine("n1")
    suffered, eased, free = set[str](), set[str](), False
    for slot in range(plan.slots):
        now, given_now = (EPOCH + slot + 1) * SLOT_NS + SECOND, world.slot(slot)
        for one in (engine, plain):
            one.samples(now, given_now)
            due(one, now) if slot % 6 == 4 else None
        for job in range(world.jobs):
            if (part := engine.interfered(world.name[job])) > 0:
                assert world.group[job] == "games" and part < 0.75
                assert engine._current[world.name[job]].suffers
                suffered.add(world.name[job])
        for server, keep in engine.eases(now).items():
            assert 0.9 <= keep < 1.0 and server in suffered
            eased.add(server)
            assert engine.eases(now + 3 * 3_600 * SECOND) == {}  # Old word eases nothing.
        free |= bool(eased) and not all(server in engine.eases(now) for server in eased)
        assert plain.eases(now) == {}
    assert suffered and eased and free


def test_alone_and_all_slow_are_named() -> None:
    engine = Engine("n1")
    chance = np.random.default_rng(1)
    for slot in range(6 * BLOCK):
        slow = 1.0 if slot < 4 * BLOCK else 1.6
        made = [
            sample(
                slot,
                node,
                job,
                cycles=float(2e10 * (1 if node == "one" else slow) * np.exp(0.03 * chance.standard_normal())),
            )
            for node, job in (("one", "s-9"), ("two", "s-1"), ("two", "s-2"), ("two", "s-3"))
        ]
        engine.samples(NOW + slot * SLOT_NS, made)
        due(engine, NOW + slot * SLOT_NS + SECOND)
    due(engine, NOW + 6 * BLOCK * SLOT_NS + 60 * SECOND)
    engine.refresh()
    reasons = {row.reason for row in engine.rows()}
    assert {"all-slow"} <= reasons and not any(row.accused for row in engine.rows())
    assert {one.reason for one in engine._current.values()} == {"alone", "all-slow"}
    assert engine.unusable["all-slow"] >= BLOCK
    assert all(engine.interfered(name) == 0.0 for name in ("s-9", "s-1", "s-2", "s-3"))

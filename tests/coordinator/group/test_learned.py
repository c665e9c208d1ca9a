"""What a coordinator makes of the others' words: more careful where it knows nothing, never less anywhere."""

from __future__ import annotations

import random

import msgspec
import pytest

from ambershift import interface as api
from ambershift.coordinator.admin.mirror import BLANK
from ambershift.coordinator.group.observation_exchange import (
    MAX_DELIVERED_SERVERS,
    MAX_DELIVERED_TRIES,
    MAX_OBSERVATION_AGE_NS,
    ObservationExchange,
)
from ambershift.coordinator.group.observations import (
    KEY_SEPARATOR,
    SAMPLE_SIZE,
    ServerObservation,
    TrafficTotals,
    decode_observations,
    find_outliers,
    sample_servers,
)
from ambershift.coordinator.replication.gossip import Kind
from ambershift.coordinator.replication.gossip.store import Store
from benchmarks.takeover import Numbered, Side, Takeover
from tests.support.policy_model import S, entry, make_terms

COLD = 20 * S
NOW = 1000 * S


def pair(shift: int = 0) -> tuple[ObservationExchange, ObservationExchange]:
    """Two coordinators; the second one's clock and indices differ."""
    return (
        ObservationExchange(Store("a", 1), Numbered(2), COLD, NOW),
        ObservationExchange(Store("b", 1), Numbered(2, shift), COLD, NOW),
    )


def carry(one: ObservationExchange, other: ObservationExchange, at: int, there: int) -> None:
    """All that one knows comes to the other, whose clock says `there`."""
    known = {place.origin: place for place in other.store.digest().vector}
    other.process_records(there, other.store.hear(there, one.store.delta(at, known))[1])


def shown(
    one: ObservationExchange, now: int, server: int, since: int, phase: api.Phase = api.Phase.READY
) -> int:
    event = one.process_list(now, api.Listed(False, False, (entry(server, 0, phase, since),)))
    return event.entries[0].since


@pytest.mark.parametrize(
    ("heard_age", "own_age", "told_age"),
    [
        (5, None, 5),  # The own list says nothing of a start.
        (5, 300, 5),  # It is behind: the server was started anew since.
        (5, 4, 4),
        (5, 5, 5),
        (5, 6, 6),  # It knows as much, or it is the same start.
        (0, 1, 1),
        (25, 300, 300),
        (25, None, None),  # Warm by now: no use.
        (None, 7, 7),
    ],
)
@pytest.mark.parametrize("list_first", [True, False])
def test_a_server_that_another_saw_start_later_is_cold_here_and_never_earlier(
    heard_age: int | None, own_age: int | None, told_age: int | None, list_first: bool
) -> None:
    a, b = pair(shift=100)
    there = NOW + 77_777 * S  # Clocks that have nothing to do with each other.
    own = there - own_age * S if own_age is not None else 0
    told = there - told_age * S if told_age is not None else 0
    if list_first:
        assert shown(b, there, 103, own) == own
    if heard_age is not None:
        a.store.put(NOW, Kind.START, "s3", b"x", heard_age * S)
    carry(a, b, NOW, there)
    if list_first and told != own:
        events = b.exchange(there, BLANK)
        assert [one.entries[0].server for one in events if isinstance(one, api.Listed)] == [103]
    else:
        assert not b.exchange(there, BLANK)
    assert shown(b, there, 103, own) == told
    # What was told once stays, until the own list has a newer word; and it is not told on as one's own.
    assert shown(b, there + S, 103, told) == told == shown(b, there + S, 103, own)
    assert shown(b, there + 2 * S, 103, there + S) == there + S == shown(b, there + 2 * S, 103, there + S)
    if told != own:
        assert next(one.age_ns for one in b.store.all(there + 2 * S, Kind.START) if one.origin == "b") <= S
        b.store.put(there, Kind.STEERS, "", b"x")
    for phase in (api.Phase.DRAINING, api.Phase.GONE):
        assert shown(b, there + 2 * S, 103, own, phase) == own


def test_starts_are_told_with_their_age_and_only_by_who_saw_them() -> None:
    a, b = pair()
    for age in (0, 19, 20, -3):
        shown(a, NOW, age + 10, NOW - age * S)
    told = {one.key: one.age_ns for one in a.store.all(NOW, Kind.START)}
    assert told == {"s10": 0, "s29": 19 * S, "s7": 0}
    shown(b, NOW, 10, 0)
    carry(a, b, NOW, NOW)
    shown(b, NOW + S, 10, shown(b, NOW + S, 10, 0))
    assert {one.origin for one in b.store.all(NOW, Kind.START)} == {"a"}
    b.process_list(NOW, api.Listed(True, False, (entry(11),)))
    assert not b.later_starts and set(b.listed) == {11}


def met(server: int, tries: int, bad: int, zone: int = 0, ms: int = 50) -> api.ServerReport:
    return api.ServerReport(zone, server, tries, bad, ms * 1_000_000, S, ())


def given(one: ObservationExchange, now: int) -> dict[int, tuple[int, int, int]]:
    return {
        event.server: (event.tries, event.bad, event.zone)
        for event in one.exchange(now, BLANK)
        if isinstance(event, api.ServerReport)
    }


def test_others_tries_count_once_where_none_of_ones_own_has_tried() -> None:
    a, b = pair(shift=100)
    for server in range(7):
        shown(a, NOW, server, 0)
        shown(b, NOW, server + 100, NOW + S if server == 5 else 0)
    a.process_events(
        NOW,
        [
            met(0, 200, 200),
            met(1, 4, 0, 1),
            met(2, 6, 0),
            met(3, 3, 3, 1),
            met(4, 0, 0),
            met(9, 5, 0),
            met(5, 4, 0),
            met(6, 4, 0),
        ],
    )
    shown(b, NOW, 106, 0, api.Phase.DRAINING)
    assert not given(a, NOW + 2 * S), "nobody hears oneself"
    b.process_events(NOW + S, [met(102, 1, 0), met(101, 0, 0)])
    carry(a, b, NOW + 2 * S, NOW + 2 * S)
    first = given(b, NOW + 3 * S)
    # 102 was tried here, 105 is a new process since, 106 drains, 9 is unknown; 104 was not tried at all.
    assert first == {100: (MAX_DELIVERED_TRIES, MAX_DELIVERED_TRIES, 0), 101: (4, 0, 1), 103: (3, 3, 1)}
    assert not given(b, NOW + 4 * S), "each word once"
    # What was given and passes is neither told on nor taken for one's own.
    b.delivered.clear()
    events = b.exchange(NOW + 4 * S, BLANK)
    assert b.process_events(NOW + 4 * S, [*events, met(104, 7, 7)]) == [met(104, 7, 7)]
    b.exchange(NOW + 6 * S, BLANK)
    told = [
        row.server
        for one in b.store.all(NOW + 6 * S, Kind.ILL)
        if one.origin == "b"
        for row in decode_observations(one)[1]
    ]
    assert set(told) <= {"s2", "s4"} and "s4" in told
    # One's own tries end it; long after, and too old.
    b.delivered.clear()
    b.process_events(NOW + 7 * S, [met(100, 1, 0)])
    assert 100 not in given(b, NOW + 7 * S)
    b.delivered.clear()
    assert 100 in given(b, NOW + 13 * S)
    b.delivered.clear()
    assert not given(b, NOW + 2 * S + MAX_OBSERVATION_AGE_NS + 1)
    # Well again where it was tried: the word is taken back.
    a.process_events(NOW + 8 * S, [met(0, 9, 0), met(1, 9, 0), met(2, 9, 0)])
    a.exchange(NOW + 8 * S, BLANK)
    ill = {one.key for one in a.store.all(NOW + 8 * S, Kind.ILL) if not one.key.startswith(KEY_SEPARATOR)}
    assert ill == {f"s3{KEY_SEPARATOR}z1"}
    a.process_events(NOW + 10 * S, [met(3, 9, 0, 1), met(1, 9, 0)])
    a.exchange(NOW + 10 * S, BLANK)
    assert all(one.key.startswith(KEY_SEPARATOR) for one in a.store.all(NOW + 10 * S, Kind.ILL))


def test_who_fails_for_all_is_out_and_who_fails_for_some_zones_is_cut_off() -> None:
    a, b = pair()
    a.process_events(
        NOW,
        [
            met(0, 9, 5, 0),
            met(0, 9, 9, 1),
            met(1, 9, 9, 0),
            met(1, 9, 1, 1),
            met(2, 9, 0, 0, 900),
            met(3, 2, 2, 0),
            *[met(at, 9, 0, 0) for at in range(4, 20)],
        ],
    )
    b.process_events(NOW, [met(5, 9, 9, 1), met(6, 9, 9, 0), *[met(at, 9, 0, 1) for at in range(10, 20)]])
    for one in (a, b):
        one.exchange(NOW + 2 * S, BLANK)
    carry(a, b, NOW + 2 * S, NOW + 2 * S)
    b.exchange(NOW + 2 * S, BLANK)
    # 6 is well and fails for the same zone: whose word is right is not known, and out is the careful one.
    assert (b.failing, b.failing_for_some) == ({"s0", "s6"}, {"s1", "s5"})
    b.exchange(NOW + 18 * S, BLANK)
    assert not b.failing and not b.failing_for_some


def test_the_worst_are_told_one_by_one_and_an_overload_is_none_of_them() -> None:
    rng = random.Random(4)
    usual = {(0, at): TrafficTotals(rng.randrange(5, 90), 0, 0) for at in range(200)}
    sums = {place: one._replace(good_ns=one.tries * 50) for place, one in usual.items()}
    assert find_outliers(sums) == set() == find_outliers({})
    sums |= {
        (0, 500): TrafficTotals(9, 9, 0),
        (0, 501): TrafficTotals(9, 3, 6 * 50),
        (0, 502): TrafficTotals(9, 0, 9 * 120),
        (0, 503): TrafficTotals(2, 2, 0),
    }
    assert find_outliers(sums) == {(0, 500), (0, 501), (0, 502)}
    assert (
        find_outliers({place: one._replace(bad=one.tries // 2 + 1) for place, one in usual.items()}) == set()
    )
    most = max(sums, key=lambda place: sums[place].tries)
    chosen = sample_servers(sums, {most})[0]
    assert (
        len(chosen) == SAMPLE_SIZE
        and most[1] not in chosen
        and min(sums[0, one].tries for one in chosen) >= 60
    )


def test_words_that_make_no_sense_are_passed_over_and_many_are_bounded() -> None:
    a, b = pair()
    for server in range(3000):
        shown(b, NOW, server, 0)
    good = msgspec.msgpack.encode([ServerObservation("s1", 5, 5, 1, S)])
    for key, body in (
        (f"s1{KEY_SEPARATOR}z9", good),
        (f"s1{KEY_SEPARATOR}zz0", b"\xc1"),
        (f"s1{KEY_SEPARATOR}z0", b"\x93\x01\x02"),
        (f"s2{KEY_SEPARATOR}z0", msgspec.msgpack.encode([ServerObservation("s2", 5, 6, 1, S)])),
        (f"s3{KEY_SEPARATOR}z0", msgspec.msgpack.encode([ServerObservation("s3", 0, 0, 1, S)])),
        ("", b"\x80"),
    ):
        a.store.put(NOW, Kind.ILL, key, body)
    a.store.put(NOW, Kind.START, "s9999", b"x")
    b.names = Careful(2)
    carry(a, b, NOW, NOW)
    assert b.exchange(NOW, BLANK) == []
    for start in range(0, 3000, 100):
        body = msgspec.msgpack.encode([ServerObservation(f"s{start + at}", 5, 5, 1, S) for at in range(100)])
        a.store.put(NOW, Kind.ILL, f"x{start}{KEY_SEPARATOR}z0", body)
    carry(a, b, NOW, NOW)
    assert len(given(b, NOW)) == MAX_DELIVERED_SERVERS and len(given(b, NOW)) == 1000 and not given(b, NOW)


def test_servers_that_come_and_go_leave_nothing_behind_and_long_names_do_no_harm() -> None:
    a, b = pair()
    for start in range(0, 6000, 500):
        new = tuple(entry(at, 0, since=NOW) for at in range(start, start + 500))
        for one in (a, b):
            one.process_list(NOW, api.Listed(True, False, new))
        a.process_events(NOW, [met(start + at, 9, 9 if at < 40 else 0) for at in range(200)])
        a.publish_traffic(NOW + S)
        carry(a, b, NOW + S, NOW + S)
        given(b, NOW + S)
    assert (
        len(a.listed) == 500 and len(a.outliers) == 40 and max(map(len, (a.published, b.delivered))) <= 4000
    )
    a.names = Long(2)
    shown(a, NOW, 1, NOW)
    assert all(len(one.key) < 600 for one in a.store.all(NOW, Kind.START))


class Long(Numbered):
    def server(self, index: int) -> str | None:
        return "s" * 600


class Careful(Numbered):
    def zone_index(self, zone: str) -> int | None:
        return {"z0": 0, "z1": 1}.get(zone)


def test_levels_and_shares_are_told_from_the_picture() -> None:
    side = Side(make_terms(zones=2), [entry(i, i % 2) for i in range(8)], Store("a", 1), True, NOW)
    side.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(4)])
    for _ in range(4):
        side.run(S)
        side.learned.exchange(side.now, side.desk.view(side.now).picture)
    told = {
        (one.kind, one.key): msgspec.msgpack.decode(one.body)
        for kind in (Kind.LEVEL, Kind.SHARE)
        for one in side.store.all(side.now, kind)
    }
    assert told.keys() == {(kind, zone) for kind in (Kind.LEVEL, Kind.SHARE) for zone in ("z0", "z1")}
    assert told[Kind.LEVEL, "z0"] == [1, 1.0] and told[Kind.SHARE, "z0"][0] >= 4
    version = side.store.origins["a"].upto
    side.learned.exchange(side.now + 2 * S, side.desk.view(side.now).picture)
    assert side.store.origins["a"].upto == version, "what stands is not said again at once"


def test_after_a_take_over_fewer_tries_fail_and_cold_servers_are_not_pushed() -> None:
    for seed in range(3):
        without, with_it = (Takeover(seed, use).play() for use in (False, True))
        assert with_it.failed < 0.7 * without.failed and with_it.pushed < 0.6 * without.pushed, seed
        assert with_it.flows == without.flows


def test_a_member_that_calls_all_cold_and_ill_leaves_no_proxy_bare() -> None:
    store, liar = Store("a", 1), Store("liar", 1)
    side = Side(make_terms(zones=2), [entry(i, i % 2) for i in range(8)], store, True, NOW)
    side.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(4)])
    for at in range(40):
        for server in range(8):
            liar.put(side.now, Kind.START, f"s{server}", bytes([at + 1]))
            body = msgspec.msgpack.encode([ServerObservation(f"s{server}", 50, 50, 1, S)])
            liar.put(side.now, Kind.ILL, f"s{server}{KEY_SEPARATOR}z{server % 2}", body)
        news = store.hear(side.now, liar.delta(side.now, {"liar": store.digest().vector[-1]} if at else {}))[
            1
        ]
        side.learned.process_records(side.now, news)
        side.run(S, *side.learned.exchange(side.now, side.desk.view(side.now).picture))  # Rules are checked.
    assert all(side.proxies.values())

"""The observation exchange: others' records make a coordinator more careful where it knows nothing itself."""

from __future__ import annotations

import random

import msgspec
import pytest

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import EMPTY_DATA_PLANE
from ambershift.coordinator.group.observation_exchange import (
    MAX_DELIVERED_ATTEMPTS,
    MAX_DELIVERED_SERVERS,
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
from ambershift.coordinator.replication.gossip import RecordKind
from ambershift.coordinator.replication.gossip.store import GossipStore
from benchmarks.takeover import Numbered, Side, Takeover
from tests.support.policy_model import S, entry, make_terms

COLD = 20 * S
NOW = 1000 * S


def pair(shift: int = 0) -> tuple[ObservationExchange, ObservationExchange]:
    """Return the exchanges of two coordinators whose server indices differ by `shift`."""
    return (
        ObservationExchange(GossipStore("a", 1), Numbered(2), COLD, NOW),
        ObservationExchange(GossipStore("b", 1), Numbered(2, shift), COLD, NOW),
    )


def exchange_records(
    sender: ObservationExchange, receiver: ObservationExchange, now: int, there: int
) -> None:
    """Send all records of one member to the other, whose clock shows `there`."""
    known = {place.origin: place for place in receiver.store.digest().vector}
    receiver.process_records(there, receiver.store.receive(there, sender.store.delta(now, known))[1])


def list_server(
    one: ObservationExchange, now: int, server: int, since: int, phase: api.Phase = api.Phase.READY
) -> int:
    event = one.process_list(now, api.Listed(False, False, (entry(server, 0, phase, since),)))
    return event.entries[0].since


@pytest.mark.parametrize(
    ("heard_age", "own_age", "told_age"),
    [
        (5, None, 5),  # The own list has no start.
        (5, 300, 5),  # The own list is behind: the server restarted since.
        (5, 4, 4),
        (5, 5, 5),
        (5, 6, 6),  # The own list knows as much, or it is the same start.
        (0, 1, 1),
        (25, 300, 300),
        (25, None, None),  # Warm by now, so ignored.
        (None, 7, 7),
    ],
)
@pytest.mark.parametrize("list_first", [True, False])
def test_a_later_start_seen_by_another_member_counts_and_an_earlier_one_does_not(
    heard_age: int | None, own_age: int | None, told_age: int | None, list_first: bool
) -> None:
    a, b = pair(shift=100)
    there = NOW + 77_777 * S  # The two clocks are unrelated.
    own = there - own_age * S if own_age is not None else 0
    told = there - told_age * S if told_age is not None else 0
    if list_first:
        assert list_server(b, there, 103, own) == own
    if heard_age is not None:
        a.store.put(NOW, RecordKind.SERVER_START, "s3", b"x", heard_age * S)
    exchange_records(a, b, NOW, there)
    if list_first and told != own:
        events = b.exchange(there, EMPTY_DATA_PLANE)
        assert [one.entries[0].server for one in events if isinstance(one, api.Listed)] == [103]
    else:
        assert not b.exchange(there, EMPTY_DATA_PLANE)
    assert list_server(b, there, 103, own) == told
    # A start that was told once stays until the own list has a newer one, and isn't published as one's own.
    assert list_server(b, there + S, 103, told) == told == list_server(b, there + S, 103, own)
    assert (
        list_server(b, there + 2 * S, 103, there + S)
        == there + S
        == list_server(b, there + 2 * S, 103, there + S)
    )
    if told != own:
        assert (
            next(
                one.age_ns for one in b.store.all(there + 2 * S, RecordKind.SERVER_START) if one.origin == "b"
            )
            <= S
        )
        b.store.put(there, RecordKind.MEMBER_STATUS, "", b"x")
    for phase in (api.Phase.DRAINING, api.Phase.GONE):
        assert list_server(b, there + 2 * S, 103, own, phase) == own


def test_starts_are_published_with_their_age_and_only_by_members_that_saw_them() -> None:
    a, b = pair()
    for age in (0, 19, 20, -3):
        list_server(a, NOW, age + 10, NOW - age * S)
    told = {one.key: one.age_ns for one in a.store.all(NOW, RecordKind.SERVER_START)}
    assert told == {"s10": 0, "s29": 19 * S, "s7": 0}
    list_server(b, NOW, 10, 0)
    exchange_records(a, b, NOW, NOW)
    list_server(b, NOW + S, 10, list_server(b, NOW + S, 10, 0))
    assert {one.origin for one in b.store.all(NOW, RecordKind.SERVER_START)} == {"a"}
    b.process_list(NOW, api.Listed(True, False, (entry(11),)))
    assert not b.later_starts and set(b.listed) == {11}


def report(server: int, attempts: int, failures: int, zone: int = 0, ms: int = 50) -> api.ServerReport:
    return api.ServerReport(zone, server, attempts, failures, ms * 1_000_000, S, ())


def delivered_reports(one: ObservationExchange, now: int) -> dict[int, tuple[int, int, int]]:
    return {
        event.server: (event.attempts, event.failures, event.zone)
        for event in one.exchange(now, EMPTY_DATA_PLANE)
        if isinstance(event, api.ServerReport)
    }


def test_others_observations_count_once_where_no_own_proxy_has_tried() -> None:
    a, b = pair(shift=100)
    for server in range(7):
        list_server(a, NOW, server, 0)
        list_server(b, NOW, server + 100, NOW + S if server == 5 else 0)
    a.process_events(
        NOW,
        [
            report(0, 200, 200),
            report(1, 4, 0, 1),
            report(2, 6, 0),
            report(3, 3, 3, 1),
            report(4, 0, 0),
            report(9, 5, 0),
            report(5, 4, 0),
            report(6, 4, 0),
        ],
    )
    list_server(b, NOW, 106, 0, api.Phase.DRAINING)
    assert not delivered_reports(a, NOW + 2 * S), "own observations are not delivered"
    b.process_events(NOW + S, [report(102, 1, 0), report(101, 0, 0)])
    exchange_records(a, b, NOW + 2 * S, NOW + 2 * S)
    first = delivered_reports(b, NOW + 3 * S)
    # 102 was tried here, 105 has restarted since, 106 drains, 9 is unknown; 104 was not tried at all.
    assert first == {100: (MAX_DELIVERED_ATTEMPTS, MAX_DELIVERED_ATTEMPTS, 0), 101: (4, 0, 1), 103: (3, 3, 1)}
    assert not delivered_reports(b, NOW + 4 * S), "each observation once"
    # Delivered reports that pass are neither published nor counted as own.
    b.delivered.clear()
    events = b.exchange(NOW + 4 * S, EMPTY_DATA_PLANE)
    assert b.process_events(NOW + 4 * S, [*events, report(104, 7, 7)]) == [report(104, 7, 7)]
    b.exchange(NOW + 6 * S, EMPTY_DATA_PLANE)
    told = [
        row.server
        for one in b.store.all(NOW + 6 * S, RecordKind.ATTEMPT_STATS)
        if one.origin == "b"
        for row in decode_observations(one)[1]
    ]
    assert set(told) <= {"s2", "s4"} and "s4" in told
    # Own attempts suppress it; later it counts again, until it is too old.
    b.delivered.clear()
    b.process_events(NOW + 7 * S, [report(100, 1, 0)])
    assert 100 not in delivered_reports(b, NOW + 7 * S)
    b.delivered.clear()
    assert 100 in delivered_reports(b, NOW + 13 * S)
    b.delivered.clear()
    assert not delivered_reports(b, NOW + 2 * S + MAX_OBSERVATION_AGE_NS + 1)
    # An outlier that does well again where it was tried is withdrawn.
    a.process_events(NOW + 8 * S, [report(0, 9, 0), report(1, 9, 0), report(2, 9, 0)])
    a.exchange(NOW + 8 * S, EMPTY_DATA_PLANE)
    ill = {
        one.key
        for one in a.store.all(NOW + 8 * S, RecordKind.ATTEMPT_STATS)
        if not one.key.startswith(KEY_SEPARATOR)
    }
    assert ill == {f"s3{KEY_SEPARATOR}z1"}
    a.process_events(NOW + 10 * S, [report(3, 9, 0, 1), report(1, 9, 0)])
    a.exchange(NOW + 10 * S, EMPTY_DATA_PLANE)
    assert all(
        one.key.startswith(KEY_SEPARATOR) for one in a.store.all(NOW + 10 * S, RecordKind.ATTEMPT_STATS)
    )


def test_servers_that_fail_for_all_zones_differ_from_those_that_fail_for_some() -> None:
    a, b = pair()
    a.process_events(
        NOW,
        [
            report(0, 9, 5, 0),
            report(0, 9, 9, 1),
            report(1, 9, 9, 0),
            report(1, 9, 1, 1),
            report(2, 9, 0, 0, 900),
            report(3, 2, 2, 0),
            *[report(at, 9, 0, 0) for at in range(4, 20)],
        ],
    )
    b.process_events(
        NOW, [report(5, 9, 9, 1), report(6, 9, 9, 0), *[report(at, 9, 0, 1) for at in range(10, 20)]]
    )
    for one in (a, b):
        one.exchange(NOW + 2 * S, EMPTY_DATA_PLANE)
    exchange_records(a, b, NOW + 2 * S, NOW + 2 * S)
    b.exchange(NOW + 2 * S, EMPTY_DATA_PLANE)
    # 6 does well and fails for the same zone: which is right isn't known, and failing is the careful choice.
    assert (b.failing, b.failing_for_some) == ({"s0", "s6"}, {"s1", "s5"})
    b.exchange(NOW + 18 * S, EMPTY_DATA_PLANE)
    assert not b.failing and not b.failing_for_some


def test_outliers_are_found_and_an_overload_has_none() -> None:
    rng = random.Random(4)
    usual = {(0, at): TrafficTotals(rng.randrange(5, 90), 0, 0) for at in range(200)}
    sums = {place: one._replace(success_ns=one.attempts * 50) for place, one in usual.items()}
    assert find_outliers(sums) == set() == find_outliers({})
    sums |= {
        (0, 500): TrafficTotals(9, 9, 0),
        (0, 501): TrafficTotals(9, 3, 6 * 50),
        (0, 502): TrafficTotals(9, 0, 9 * 120),
        (0, 503): TrafficTotals(2, 2, 0),
    }
    assert find_outliers(sums) == {(0, 500), (0, 501), (0, 502)}
    assert (
        find_outliers({place: one._replace(failures=one.attempts // 2 + 1) for place, one in usual.items()})
        == set()
    )
    most = max(sums, key=lambda place: sums[place].attempts)
    chosen = sample_servers(sums, {most})[0]
    assert (
        len(chosen) == SAMPLE_SIZE
        and most[1] not in chosen
        and min(sums[0, one].attempts for one in chosen) >= 60
    )


def test_malformed_observations_are_skipped_and_their_number_is_bounded() -> None:
    a, b = pair()
    for server in range(3000):
        list_server(b, NOW, server, 0)
    good = msgspec.msgpack.encode([ServerObservation("s1", 5, 5, 1, S)])
    for key, body in (
        (f"s1{KEY_SEPARATOR}z9", good),
        (f"s1{KEY_SEPARATOR}zz0", b"\xc1"),
        (f"s1{KEY_SEPARATOR}z0", b"\x93\x01\x02"),
        (f"s2{KEY_SEPARATOR}z0", msgspec.msgpack.encode([ServerObservation("s2", 5, 6, 1, S)])),
        (f"s3{KEY_SEPARATOR}z0", msgspec.msgpack.encode([ServerObservation("s3", 0, 0, 1, S)])),
        ("", b"\x80"),
    ):
        a.store.put(NOW, RecordKind.ATTEMPT_STATS, key, body)
    a.store.put(NOW, RecordKind.SERVER_START, "s9999", b"x")
    b.names = KnownZonesOnly(2)
    exchange_records(a, b, NOW, NOW)
    assert b.exchange(NOW, EMPTY_DATA_PLANE) == []
    for start in range(0, 3000, 100):
        body = msgspec.msgpack.encode([ServerObservation(f"s{start + at}", 5, 5, 1, S) for at in range(100)])
        a.store.put(NOW, RecordKind.ATTEMPT_STATS, f"x{start}{KEY_SEPARATOR}z0", body)
    exchange_records(a, b, NOW, NOW)
    assert (
        len(delivered_reports(b, NOW)) == MAX_DELIVERED_SERVERS
        and len(delivered_reports(b, NOW)) == 1000
        and not delivered_reports(b, NOW)
    )


def test_state_is_bounded_as_servers_come_and_go_and_long_names_are_not_published() -> None:
    a, b = pair()
    for start in range(0, 6000, 500):
        new = tuple(entry(at, 0, since=NOW) for at in range(start, start + 500))
        for one in (a, b):
            one.process_list(NOW, api.Listed(True, False, new))
        a.process_events(NOW, [report(start + at, 9, 9 if at < 40 else 0) for at in range(200)])
        a.publish_traffic(NOW + S)
        exchange_records(a, b, NOW + S, NOW + S)
        delivered_reports(b, NOW + S)
    assert (
        len(a.listed) == 500 and len(a.outliers) == 40 and max(map(len, (a.published, b.delivered))) <= 4000
    )
    a.names = LongNames(2)
    list_server(a, NOW, 1, NOW)
    assert all(len(one.key) < 600 for one in a.store.all(NOW, RecordKind.SERVER_START))


class LongNames(Numbered):
    def server(self, index: int) -> str | None:
        return "s" * 600


class KnownZonesOnly(Numbered):
    def zone_index(self, zone: str) -> int | None:
        return {"z0": 0, "z1": 1}.get(zone)


def test_levels_and_shares_are_published_from_the_mirror() -> None:
    side = Side(make_terms(zones=2), [entry(i, i % 2) for i in range(8)], GossipStore("a", 1), True, NOW)
    side.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(4)])
    for _ in range(4):
        side.run(S)
        side.learned.exchange(side.now, side.controller.view(side.now).data_plane)
    told = {
        (one.kind, one.key): msgspec.msgpack.decode(one.body)
        for kind in (RecordKind.ZONE_LEVEL, RecordKind.ZONE_SHARE)
        for one in side.store.all(side.now, kind)
    }
    assert told.keys() == {
        (kind, zone) for kind in (RecordKind.ZONE_LEVEL, RecordKind.ZONE_SHARE) for zone in ("z0", "z1")
    }
    assert told[RecordKind.ZONE_LEVEL, "z0"] == [1, 1.0] and told[RecordKind.ZONE_SHARE, "z0"][0] >= 4
    version = side.store.origins["a"].last_version
    side.learned.exchange(side.now + 2 * S, side.controller.view(side.now).data_plane)
    assert side.store.origins["a"].last_version == version, (
        "an unchanged record is not published again at once"
    )


def test_after_a_takeover_fewer_tries_fail_and_cold_servers_are_spared() -> None:
    for seed in range(3):
        without, with_it = (Takeover(seed, use).play() for use in (False, True))
        assert with_it.failed < 0.7 * without.failed and with_it.pushed < 0.6 * without.pushed, seed
        assert with_it.flows == without.flows


def test_a_member_that_reports_all_servers_cold_and_failing_leaves_no_proxy_without_servers() -> None:
    store, liar = GossipStore("a", 1), GossipStore("liar", 1)
    side = Side(make_terms(zones=2), [entry(i, i % 2) for i in range(8)], store, True, NOW)
    side.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(4)])
    for at in range(40):
        for server in range(8):
            liar.put(side.now, RecordKind.SERVER_START, f"s{server}", bytes([at + 1]))
            body = msgspec.msgpack.encode([ServerObservation(f"s{server}", 50, 50, 1, S)])
            liar.put(side.now, RecordKind.ATTEMPT_STATS, f"s{server}{KEY_SEPARATOR}z{server % 2}", body)
        known = {"liar": store.digest().vector[-1]} if at else {}
        news = store.receive(side.now, liar.delta(side.now, known))[1]
        side.learned.process_records(side.now, news)
        # A run checks the rules of the decision module.
        side.run(S, *side.learned.exchange(side.now, side.controller.view(side.now).data_plane))
    assert all(side.proxies.values())

"""The module at the size of the whole fleet, in virtual time beside the plain model that checks the rules."""

import pickle
import random
from collections import deque
from collections.abc import Iterable

import pytest

from ambershift import interface as api
from ambershift.id_index import IdIndex
from ambershift.policy import TableManager
from ambershift.policy.health import recent_results
from tests.support.policy_model import READS, Plain, S, entry, make_terms

ZONES = 4


def fleet(servers: int, crowd: int, nominal: int, **changes: object) -> Plain:
    terms = {
        "zones": ZONES,
        "lines_per_s": 1000.0,
        "queue_limit": 29_000.0,
        "message_limit": 0,
        "grace": 30 * S,
        "blackhole_limit": 45 * S,
        "cold": 17 * S,
        "cold_share": 0.22,
        "expected_proxies": nominal,
    } | changes
    plain = Plain(make_terms(**terms), [entry(i, i % ZONES) for i in range(servers)])
    plain.tell(*[api.Joined(proxy, proxy % ZONES, 1.0, True) for proxy in range(crowd)])
    return plain


def reports(plain: Plain, servers: Iterable[int], bad: int = 0, ms: int = 100) -> list[api.Event]:
    met = [api.ServerReport(zone, i, 5, bad, ms * 1_000_000, S, ()) for i in servers for zone in range(ZONES)]
    return [*met, *[api.DemandReport(proxy, READS, 2, 0, S) for proxy in plain.proxies]]


def held(plain: Plain, proxy: int) -> set[int]:
    return set(plain.tables[plain.proxies[proxy][READS]]) - plain.shut


def test_two_thousand_proxies_that_join_in_one_turn_are_bound_within_what_the_channel_sends() -> None:
    plain = fleet(200, 2000, 400)
    plain.run(32 * S)
    assert all(plain.proxies.values())
    # A table of about eight lines, two levels, the binding, a head and a mark; one message for each proxy.
    assert plain.total <= 2000 * 16 and max(map(len, plain.written.values())) == 1
    assert {i for proxy in plain.proxies for i in held(plain, proxy)} == set(range(200))


def test_six_in_ten_servers_replaced_within_seven_seconds_while_another_coordinators_proxies_come() -> None:
    plain = fleet(120, 140, 130, lines_per_s=1200.0, queue_limit=12_800.0, grace=12 * S)
    for _ in range(10):
        plain.run(S, *reports(plain, range(120)))
    plain.tell(*[api.Joined(proxy, proxy % ZONES, 1.0, False) for proxy in range(140, 280)])
    gone = list[int]()
    for at in range(0, 72, 12):
        new = range(120 + at, 132 + at)
        plain.run(S // 2, api.Listed(False, False, tuple(entry(i, i % ZONES, since=plain.now) for i in new)))
        gone += range(at, at + 12)
        plain.run(
            S // 2,
            *reports(plain, range(at + 12, 132 + at)),
            api.Listed(
                False, False, tuple(entry(i, i % ZONES, api.Phase.DRAINING) for i in range(at, at + 12))
            ),
        )
    for _ in range(10):
        plain.run(S, *reports(plain, range(72, 192)))
    assert plain.shut == set(gone) and all(plain.proxies.values())
    # Each proxy's zone has 48 new servers in all: shared by its parts, every one of them is in use somewhere.
    assert {i for proxy in plain.proxies for i in held(plain, proxy)} == set(range(72, 192))
    # In the last ten seconds, beat by beat the edits would have been a message for each line and proxy.
    assert sum(map(len, plain.written.values())) <= 6 * 280


def test_a_zone_that_is_lost_and_comes_back_cold_is_let_in_again() -> None:
    plain = fleet(120, 140, 130, lines_per_s=1200.0, queue_limit=12_800.0, grace=12 * S)
    zone, rest = range(0, 120, ZONES), [i for i in range(120) if i % ZONES]
    for _ in range(6):
        plain.run(S, *reports(plain, range(120)))
    for second in range(5):
        lost = [api.ServerReport(near, i, 5, 5, 0, S, ()) for i in zone for near in range(ZONES)]
        change = [api.Listed(False, False, tuple(entry(i, 0, api.Phase.GONE) for i in zone))] * (second == 3)
        plain.run(S, *reports(plain, rest), *lost, *change)
    assert not {i for proxy in plain.proxies for i in held(plain, proxy)} & set(zone)
    plain.run(S, api.Listed(False, False, tuple(entry(i, 0, since=plain.now) for i in zone)))
    for _ in range(5):
        plain.run(S, *reports(plain, range(120)))
    assert not plain.shut
    for _ in range(20):
        plain.run(S, *reports(plain, range(120)))
    assert {i for proxy in plain.proxies for i in held(plain, proxy)} == set(range(120))


@pytest.mark.parametrize("slow", [S // 5, 2 * S])
def test_a_list_service_that_is_slow_and_fails_is_not_stormed_by_five_coordinators(slow: int) -> None:
    """Calls are taken in turn, each takes `slow`, and fail after 3 s in the row; whole and part lists."""
    fleets = [fleet(40, 30, 30, must_watch=True) for _ in range(5)]
    for number, one in enumerate(fleets):
        one.module.seed = number * 7919  # The seeds that they were born with differ.
    row = deque((one.now, number) for number, one in enumerate(fleets))  # All ask as soon as they are born.
    calls, heard, free = list[int](), [0] * 5, 0
    for _ in range(400):
        for number, one in enumerate(fleets):
            event = list[api.Event]()
            if row and row[0][1] == number and one.now >= free:
                asked, _ = row.popleft()
                if one.now - asked > 3 * S:
                    event.append(api.ListFailed())
                else:
                    free, heard[number] = one.now + slow, heard[number] + 1
                    whole = tuple(entry(i, i % ZONES) for i in range(40))
                    event.append(api.Listed(number % 2 == 0, False, whole if number % 2 == 0 else whole[:3]))
                    event.append(api.ListFailed())  # And the watch that it began ends at once.
            one.run(S // 10, *event)
            if api.Watch(True) in one.orders:
                calls.append(one.now)
                row.append((one.now, number))
    assert min(heard) >= 2
    # Together they never ask more often than each its first spacing allows, and less the more calls fail.
    assert len(calls) <= 5 * 40 / (1 if slow < S else 2)


def test_nothing_grows_while_ten_thousand_servers_are_replaced_and_as_many_proxies_join_anew() -> None:
    module, door, now, sizes = TableManager(), IdIndex[str](), 100 * S, list[tuple[int, int]]()

    def step(*events: api.Event) -> None:
        for order in module.step(now, events):
            if isinstance(order, api.Forget):
                door.forget(order.server)
            elif isinstance(order, api.SetWeight | api.Withdraw):
                assert order.server in door.ids, "an order for what was let go of"

    step(api.Started(7, make_terms(zones=2, lines_per_s=1000.0, queue_limit=9000.0, message_limit=0)))
    for wave in range(500):
        fresh = [entry(door.index(f"s-{wave}-{i}"), i % 2, since=now) for i in range(20)]
        old = [
            entry(door.indices[f"s-{wave - 1}-{i}"], i % 2, api.Phase.GONE) for i in range(20 * (wave > 0))
        ]
        step(api.Listed(False, False, (*fresh, *old)))
        for _ in range(2):
            now += 20 * S
            step(
                *[api.Left(proxy) for proxy in range(10)],
                *[api.Joined(proxy, proxy % 2, 1.0, False) for proxy in range(10)],
                *[api.ServerReport(0, one.server, 5, 1, S // 10, S, ()) for one in (*fresh, *old)],
                *[api.DemandReport(proxy, READS, 9, 0, S) for proxy in range(20)],
                api.TimerFired(module.token),
            )
        sizes.append((len(pickle.dumps(vars(module))), len(door.ids) + len(door.indices)))
    assert min(door.ids) > 9000 and len(set(door.ids)) == len(door.indices), "indices are never used again"
    assert sizes[-1][0] < 1.05 * max(one[0] for one in sizes[50:150]) and sizes[-1][1] <= sizes[60][1]


def test_what_is_read_from_the_newest_or_kept_in_sums_is_what_a_walk_over_all_samples_gives() -> None:
    chance, plain = random.Random(3), fleet(12, 30, 30)
    for _ in range(60):
        plain.run(
            chance.choice([S // 10, S, 3 * S]),
            *[
                api.ServerReport(
                    chance.randrange(ZONES),
                    chance.randrange(12),
                    9,
                    chance.randrange(9),
                    chance.randrange(S),
                    S,
                    (),
                )
                for _ in range(9)
            ],
            *[api.DemandReport(chance.randrange(30), READS, chance.randrange(9), 0, S) for _ in range(9)],
        )
        module = plain.module
        for server in module.servers.values():
            since, only = module.now - chance.randrange(9 * S), chance.choice([None, *range(ZONES)])
            told = [
                met
                for at, met in server.reports
                if at >= since
                and (
                    met.zone == only
                    if only is not None
                    else (met.zone, server.entry.zone) not in module.failed_paths
                )
            ]
            tries, bad = sum(met.attempts for met in told), sum(met.failures for met in told)
            took = sum(met.mean_latency * (met.attempts - met.failures) for met in told) / max(1, tries - bad)
            assert recent_results(module, server, since, only) == (tries, bad, took)
        for proxy in module.joined.values():
            assert (proxy.requests, proxy.span) == tuple(sum(one[at] for one in proxy.usage) for at in (1, 2))
        assert sorted(one for users in module.users.values() for one in users) == sorted(module.joined)


@pytest.mark.parametrize("draining_alone_binds", [False, True])
def test_a_server_is_let_go_of_only_long_after_the_list_dropped_it(draining_alone_binds: bool) -> None:
    # Reports of a server that is not known any more are bad input, and a row of them ends a collector.
    plain = fleet(12, 30, 30, only_draining_binds=draining_alone_binds)
    gone = tuple(entry(i, i % ZONES, api.Phase.GONE) for i in (0, 99))  # The second was never listed before.
    plain.listed |= {99: gone[1]}
    plain.run(310 * S)
    plain.run(4 * S, api.Listed(False, False, gone))
    for _ in range(8):
        plain.run(S, *[api.ServerReport(0, 0, 9, 9, S, S, ())])
    assert {0, 99} <= plain.module.servers.keys()
    plain.run(310 * S)
    assert not {0, 99} & plain.module.servers.keys()

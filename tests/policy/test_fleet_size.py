"""The decision module with a large fleet, in virtual time, beside a simple model that checks the rules."""

import pickle
import random
from collections import deque
from collections.abc import Iterable

import pytest

from ambershift import interface as api
from ambershift.id_index import IdIndex
from ambershift.policy import TableManager
from ambershift.policy.health import recent_results
from tests.support.policy_model import READS, PolicyModel, S, entry, make_terms

ZONES = 4


def fleet(servers: int, proxies: int, expected_proxies: int, **changes: object) -> PolicyModel:
    terms = {
        "zones": ZONES,
        "lines_per_s": 1000.0,
        "queue_limit": 29_000.0,
        "message_limit": 0,
        "grace": 30 * S,
        "blackhole_limit": 45 * S,
        "cold": 17 * S,
        "cold_share": 0.22,
        "expected_proxies": expected_proxies,
    } | changes
    model = PolicyModel(make_terms(**terms), [entry(i, i % ZONES) for i in range(servers)])
    model.tell(*[api.Joined(proxy, proxy % ZONES, 1.0, True) for proxy in range(proxies)])
    return model


def reports(model: PolicyModel, servers: Iterable[int], failures: int = 0, ms: int = 100) -> list[api.Event]:
    of_servers = [
        api.ServerReport(zone, i, 5, failures, ms * 1_000_000, S, ())
        for i in servers
        for zone in range(ZONES)
    ]
    return [*of_servers, *[api.DemandReport(proxy, READS, 2, 0, S) for proxy in model.proxies]]


def reached_servers(model: PolicyModel, proxy: int) -> set[int]:
    return set(model.tables[model.proxies[proxy][READS]]) - model.shut


def test_two_thousand_proxies_that_join_in_one_turn_are_bound_within_what_the_channel_sends() -> None:
    model = fleet(200, 2000, 400)
    model.run(32 * S)
    assert all(model.proxies.values())
    # About eight entries, two levels, the binding, a message's overhead and a mark; one message each.
    assert model.total_lines <= 2000 * 16 and max(map(len, model.written.values())) == 1
    assert {i for proxy in model.proxies for i in reached_servers(model, proxy)} == set(range(200))


def test_six_in_ten_servers_replaced_within_seven_seconds_while_another_coordinators_proxies_come() -> None:
    model = fleet(120, 140, 130, lines_per_s=1200.0, queue_limit=12_800.0, grace=12 * S)
    for _ in range(10):
        model.run(S, *reports(model, range(120)))
    model.tell(*[api.Joined(proxy, proxy % ZONES, 1.0, False) for proxy in range(140, 280)])
    gone = list[int]()
    for at in range(0, 72, 12):
        new = range(120 + at, 132 + at)
        model.run(S // 2, api.Listed(False, False, tuple(entry(i, i % ZONES, since=model.now) for i in new)))
        gone += range(at, at + 12)
        model.run(
            S // 2,
            *reports(model, range(at + 12, 132 + at)),
            api.Listed(
                False, False, tuple(entry(i, i % ZONES, api.Phase.DRAINING) for i in range(at, at + 12))
            ),
        )
    for _ in range(10):
        model.run(S, *reports(model, range(72, 192)))
    assert model.shut == set(gone) and all(model.proxies.values())
    # The new servers of a zone are shared by its partitions: each is in use somewhere.
    assert {i for proxy in model.proxies for i in reached_servers(model, proxy)} == set(range(72, 192))
    # In the last ten seconds. Edits at each tick would have been a message for each entry and proxy.
    assert sum(map(len, model.written.values())) <= 6 * 280


def test_a_zone_that_is_lost_and_comes_back_cold_is_let_in_again() -> None:
    model = fleet(120, 140, 130, lines_per_s=1200.0, queue_limit=12_800.0, grace=12 * S)
    zone, rest = range(0, 120, ZONES), [i for i in range(120) if i % ZONES]
    for _ in range(6):
        model.run(S, *reports(model, range(120)))
    for second in range(5):
        lost = [api.ServerReport(near, i, 5, 5, 0, S, ()) for i in zone for near in range(ZONES)]
        change = [api.Listed(False, False, tuple(entry(i, 0, api.Phase.GONE) for i in zone))] * (second == 3)
        model.run(S, *reports(model, rest), *lost, *change)
    assert not {i for proxy in model.proxies for i in reached_servers(model, proxy)} & set(zone)
    model.run(S, api.Listed(False, False, tuple(entry(i, 0, since=model.now) for i in zone)))
    for _ in range(5):
        model.run(S, *reports(model, range(120)))
    assert not model.shut
    for _ in range(20):
        model.run(S, *reports(model, range(120)))
    assert {i for proxy in model.proxies for i in reached_servers(model, proxy)} == set(range(120))


@pytest.mark.parametrize("slow", [S // 5, 2 * S])
def test_five_coordinators_do_not_overload_a_list_service_that_is_slow_and_fails(slow: int) -> None:
    """Calls are served in turn, each in `slow` ns, and fail after 3 s in the queue; some lists are whole."""
    fleets = [fleet(40, 30, 30, must_watch=True) for _ in range(5)]
    for number, one in enumerate(fleets):
        one.module.seed = number * 7919  # Instances start with different seeds.
    queue = deque((one.now, number) for number, one in enumerate(fleets))  # All ask as soon as they start.
    calls, heard, free = list[int](), [0] * 5, 0
    for _ in range(400):
        for number, one in enumerate(fleets):
            event = list[api.Event]()
            if queue and queue[0][1] == number and one.now >= free:
                asked, _ = queue.popleft()
                if one.now - asked > 3 * S:
                    event.append(api.ListFailed())
                else:
                    free, heard[number] = one.now + slow, heard[number] + 1
                    whole = tuple(entry(i, i % ZONES) for i in range(40))
                    event.append(api.Listed(number % 2 == 0, False, whole if number % 2 == 0 else whole[:3]))
                    event.append(api.ListFailed())  # The watch that it began ends at once.
            one.run(S // 10, *event)
            if api.Watch(True) in one.orders:
                calls.append(one.now)
                queue.append((one.now, number))
    assert min(heard) >= 2
    # Together they never ask more often than each its first spacing allows, and less the more calls fail.
    assert len(calls) <= 5 * 40 / (1 if slow < S else 2)


def test_state_does_not_grow_while_ten_thousand_servers_are_replaced_and_proxies_rejoin() -> None:
    module, server_index, now, sizes = TableManager(), IdIndex[str](), 100 * S, list[tuple[int, int]]()

    def step(*events: api.Event) -> None:
        for order in module.step(now, events):
            if isinstance(order, api.Forget):
                server_index.forget(order.server)
            elif isinstance(order, api.SetWeight | api.Withdraw):
                assert order.server in server_index.ids, "an order for a forgotten server"

    step(api.Started(7, make_terms(zones=2, lines_per_s=1000.0, queue_limit=9000.0, message_limit=0)))
    for wave in range(500):
        fresh = [entry(server_index.index(f"s-{wave}-{i}"), i % 2, since=now) for i in range(20)]
        old = [
            entry(server_index.indices[f"s-{wave - 1}-{i}"], i % 2, api.Phase.GONE)
            for i in range(20 * (wave > 0))
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
        sizes.append((len(pickle.dumps(vars(module))), len(server_index.ids) + len(server_index.indices)))
    assert min(server_index.ids) > 9000 and len(set(server_index.ids)) == len(server_index.indices), (
        "indices are never used again"
    )
    assert sizes[-1][0] < 1.05 * max(one[0] for one in sizes[50:150]) and sizes[-1][1] <= sizes[60][1]


def test_sums_and_recent_results_equal_those_over_all_samples() -> None:
    chance, model = random.Random(3), fleet(12, 30, 30)
    for _ in range(60):
        model.run(
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
        module = model.module
        for server in module.servers.values():
            since, only = module.now - chance.randrange(9 * S), chance.choice([None, *range(ZONES)])
            recent = [
                report
                for at, report in server.reports
                if at >= since
                and (
                    report.zone == only
                    if only is not None
                    else (report.zone, server.entry.zone) not in module.failed_paths
                )
            ]
            attempts, failures = (
                sum(report.attempts for report in recent),
                sum(report.failures for report in recent),
            )
            took = sum(report.mean_latency * (report.attempts - report.failures) for report in recent) / max(
                1, attempts - failures
            )
            assert recent_results(module, server, since, only) == (attempts, failures, took)
        for proxy in module.joined.values():
            assert (proxy.requests, proxy.span) == tuple(sum(one[at] for one in proxy.usage) for at in (1, 2))
        assert sorted(one for users in module.users.values() for one in users) == sorted(module.joined)


@pytest.mark.parametrize("draining_alone_binds", [False, True])
def test_a_server_is_forgotten_only_long_after_the_list_dropped_it(draining_alone_binds: bool) -> None:
    # Reports of a server that is not known any more are bad input, and several end a collector's connection.
    model = fleet(12, 30, 30, only_draining_binds=draining_alone_binds)
    gone = tuple(entry(i, i % ZONES, api.Phase.GONE) for i in (0, 99))  # The second was never listed before.
    model.listed |= {99: gone[1]}
    model.run(310 * S)
    model.run(4 * S, api.Listed(False, False, gone))
    for _ in range(8):
        model.run(S, *[api.ServerReport(0, 0, 9, 9, S, S, ())])
    assert {0, 99} <= model.module.servers.keys()
    model.run(310 * S)
    assert not {0, 99} & model.module.servers.keys()

"""The decision module beside a simple model on generated days, and a small case for each failure found."""

import random

import pytest

from ambershift import interface as api
from ambershift.policy import tables
from tests.support.policy_model import READS, WRITES, PolicyModel, S, entry, group, make_terms


def reports(failures: int = 0, ms: int = 100) -> list[api.ServerReport]:
    """Return a report of each of eight servers, all alike."""
    return [report(i, 20, failures, i % 2, ms) for i in range(8)]


def report(server: int, attempts: int, failures: int, zone: int = 0, ms: int = 100) -> api.ServerReport:
    return api.ServerReport(zone, server, attempts, failures, ms * 1_000_000, S, ())


def small_model(count: int = 8, zones: int = 2, **changes: object) -> PolicyModel:
    model = PolicyModel(make_terms(zones=zones, **changes), [entry(i, i % zones) for i in range(count)])
    model.tell(*[api.Joined(proxy, proxy % zones, 5.0, True) for proxy in range(2 * zones)])
    return model


def weights(model: PolicyModel, proxy: int) -> dict[int, float]:
    return model.tables[model.proxies[proxy][READS]]


@pytest.mark.parametrize("seed", range(24))
def test_generated_days_keep_the_rules(seed: int) -> None:
    rng = random.Random(seed)
    zones, count = rng.randint(1, 4), rng.randint(2, 14)
    terms = make_terms(
        zones=zones,
        must_watch=rng.random() < 0.3,
        message_limit=rng.choice([0, 12]),
        only_draining_binds=rng.random() < 0.3,
        admission_mode=rng.choice(["fraction", "silent"]),
    )
    model = PolicyModel(
        terms, [entry(i, rng.randrange(-1, zones) if rng.random() < 0.1 else i % zones) for i in range(count)]
    )
    for _ in range(80):
        events: list[api.Event] = []
        for proxy in range(10):
            if rng.random() < 0.05:
                events.append(rng.choice([api.Joined(proxy, proxy % zones, 3.0, True), api.Left(proxy)]))
            events.append(api.DemandReport(proxy, READS, rng.randrange(20), 0, S))
        failing_share = rng.random()
        for server in range(count):
            attempts = rng.randrange(15)
            events.append(
                report(
                    server,
                    attempts,
                    int(attempts * (rng.random() < failing_share / 3)),
                    rng.randrange(zones),
                    rng.choice([50, 200, 900]),
                )
            )
        if rng.random() < 0.15:
            chosen = rng.sample(range(count), rng.randint(1, min(2, count)))
            events.append(
                api.Listed(
                    False,
                    False,
                    tuple(
                        entry(i, i % zones, rng.choice(list(api.Phase)), rng.choice([0, model.now]))
                        for i in chosen
                    ),
                )
            )
        elif rng.random() < 0.02:
            events.append(
                rng.choice(
                    [
                        api.ListFailed(),
                        api.Listed(True, False, tuple(entry(i, i % zones) for i in range(count))),
                    ]
                )
            )
        model.run(rng.choice([S // 10, S, 2 * S]), *events)


def test_the_same_events_give_the_same_orders() -> None:
    assert small_model().orders == small_model().orders


def test_each_zone_has_its_own_servers_at_listed_weights() -> None:
    model = small_model()
    for proxy in range(4):
        assert weights(model, proxy) == {i: entry(i).weight for i in range(8) if i % 2 == proxy % 2}


def test_a_zone_with_more_traffic_borrows_servers_and_an_uneven_split_uses_one_table() -> None:
    model = small_model(12)
    model.run(2 * S, *[api.DemandReport(proxy, READS, 20 - 10 * (proxy % 2), 0, S) for proxy in range(4)])
    assert (len(weights(model, 0)), len(weights(model, 1))) == (8, 4)
    assert len(weights(small_model(3, zones=4), 0)) == 3


def test_traffic_shares_change_only_by_a_tenth() -> None:
    model = small_model(12)
    model.run(2 * S, *[api.DemandReport(proxy, READS, 21 - 2 * (proxy % 2), 0, S) for proxy in range(4)])
    assert len(weights(model, 0)) == 6


def test_a_draining_server_is_withdrawn_at_once_and_first() -> None:
    model = small_model()
    orders = model.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    assert orders[0] == api.Withdraw(0, True)


def test_servers_lost_one_by_one_do_not_cost_a_message_each() -> None:
    model = small_model(14)
    for lost in range(8):
        model.run(S // 5, api.Listed(False, False, (entry(lost, lost % 2, api.Phase.GONE),)))
    model.run(2 * S)
    assert model.shut == set(range(8)) and max(map(len, model.written.values())) <= 9


def test_an_empty_list_keeps_no_proxy_on_gone_servers_and_is_recovered_from() -> None:
    model = small_model()
    model.tell(api.Listed(True, False, ()))
    model.run(3 * S, api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8))))
    assert weights(model, 0) and not model.shut


def test_a_cold_server_gets_a_growing_weight_and_none_in_an_overload() -> None:
    model = small_model()
    model.tell(api.Listed(False, False, (entry(0, 0, since=model.now),)))
    assert 0 not in weights(model, 0), "an instance just started is cautious"
    model.run(S // 2)
    for _ in range(11):
        model.run(S, *reports())
    model.run(S, *reports(), api.Listed(False, False, (entry(0, 0, since=model.now),)))
    first = weights(model, 0)[0]
    model.run(2 * S, *reports())
    assert 0 < first < 0.35 and weights(model, 0)[0] > first
    model.run(S // 2, *reports(17))
    assert 0 not in weights(model, 0)


def test_a_cold_server_is_not_the_only_one_that_a_failed_path_leaves() -> None:
    model = small_model()
    for _ in range(15):
        model.run(S, *[report(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[report(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    model.tell(api.Listed(False, False, tuple(entry(i, 0, api.Phase.GONE) for i in (0, 2, 4, 6))))
    for _ in range(8):
        model.run(S, *[report(i, 9, 9, 0) for i in (1, 3, 5, 7)])
    model.tell(api.Listed(False, False, (entry(0, 0, since=model.now),)))
    assert 0 not in weights(model, 0)


def test_a_failing_server_is_ejected_tried_and_used_again() -> None:
    model = small_model()
    model.run(S, *[report(i, 20, 15 * (i == 0), i % 2) for i in range(8)])
    assert 0 not in weights(model, 0)
    model.run(4 * S)
    assert 0 < weights(model, 0)[0] < 0.2
    model.run(4 * S)
    model.run(S, *reports())
    assert weights(model, 0)[0] == entry(0).weight


def test_failures_of_all_servers_eject_none_and_stop_retries() -> None:
    model = small_model()
    model.run(S, *reports(12, 200))
    assert len(weights(model, 0)) == 4
    assert {order.retry for order in model.levels[model.proxies[0][READS]].values()} == {
        api.RetryPolicy.NEVER
    }


@pytest.mark.parametrize(("bad", "out"), [(12, False), (17, True)])
def test_a_server_with_late_answers_is_ejected_where_most_attempts_fail(bad: int, out: bool) -> None:
    model = small_model()
    for _ in range(3):
        model.run(S, *[report(i, 20, bad * (i == 0), i % 2, 400 if i == 0 else 100) for i in range(8)])
    assert (0 not in weights(model, 0)) == out


def test_lost_servers_are_ejected_also_where_half_are_lost() -> None:
    model = small_model(12)
    for _ in range(3):
        model.run(S, *[report(i, 20, 20 * (i < 6), i % 2) for i in range(12)])
    reached = {i for proxy in range(4) for i in weights(model, proxy)}
    assert len(reached) == 8 and set(range(6, 12)) <= reached


@pytest.mark.parametrize("bad", [5, 20])
def test_lost_servers_block_no_flow_and_stop_no_retry_while_the_others_answer_in_time(bad: int) -> None:
    model = small_model()
    for _ in range(4):
        model.run(S, *[report(i, 20, bad * (i % 4 < 2 or bad == 5), i % 2, 130) for i in range(8)])
    levels = model.levels[model.proxies[0][READS]].values()
    assert {(one.retry, one.allowance) for one in levels} == {(api.RetryPolicy.IF_NOT_RUN, 1.0)}


def test_no_flow_runs_again_after_a_failure_that_may_have_run_it() -> None:
    model = small_model(
        groups=(group(idempotency=api.Idempotency.DEDUPED, dedup_window=S), group(utility=3.0))
    )
    model.run(S, *[report(i, 20, 20 * (i == 0), i % 2) for i in range(8)])
    assert {one.retry for one in model.levels[model.proxies[0][READS]].values()} == {
        api.RetryPolicy.IF_NOT_RUN
    }


def model_with_dropped_servers(count: int, **changes: object) -> PolicyModel:
    model = small_model(12, only_draining_binds=True, **changes)
    model.run(S, *[report(i, 20, 0, i % 2) for i in range(12)])
    model.run(S, api.Listed(False, False, tuple(entry(i, i % 2, api.Phase.GONE) for i in range(count))))
    return model


def test_servers_that_a_wrong_list_drops_stay_while_they_succeed() -> None:
    model = model_with_dropped_servers(8)
    assert len(weights(model, 0)) == 6 and not model.shut
    model.run(S, *[report(i, 20, 20 * (i == 0), i % 2) for i in range(12)])
    assert set(weights(model, 0)) == {2, 4, 6, 8, 10}
    model.run(4 * S, *[report(i, 20, 0, i % 2) for i in range(12)])
    assert 0 not in weights(model, 0), "gone and failing is gone"


def test_an_instance_just_started_does_not_keep_what_only_its_old_list_named() -> None:
    model = small_model(12, only_draining_binds=True)
    model.run(S, api.Listed(True, False, tuple(entry(i, i % 2) for i in range(6, 12))))
    assert set(weights(model, 0)) == {6, 8, 10}


def test_a_cold_weight_is_lowered_though_the_ordinary_room_of_the_channel_is_taken() -> None:
    model = PolicyModel(
        make_terms(lines_per_s=200.0, queue_limit=900.0), [entry(i, i % 2) for i in range(40)]
    )
    model.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(30)])
    model.run(20 * S)
    model.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(15)])
    model.run(S // 10, api.Listed(False, False, (entry(0, 0, since=model.now),)))
    assert weights(model, 20)[0] < 0.2


def test_a_list_that_drops_what_fails_is_believed() -> None:
    model = model_with_dropped_servers(6)
    model.run(S, *[report(i, 20, 10 * (i < 6) * (i > 0), i % 2) for i in range(12)])
    model.run(2 * S)
    assert not set(weights(model, 0)) & set(range(6))


def test_a_drained_server_stays_withdrawn_when_it_is_gone_though_gone_does_not_bind() -> None:
    model = model_with_dropped_servers(0)
    model.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    for phase, shut in ((api.Phase.GONE, {0}), (api.Phase.READY, set())):
        model.run(3 * S, api.Listed(False, False, (entry(0, 0, phase),)))
        assert model.shut == shut


def test_a_wave_of_drains_keeps_under_the_queue_limit_on_a_slow_channel() -> None:
    model = PolicyModel(
        make_terms(queue_limit=500.0, lines_per_s=400.0), [entry(i, i % 2) for i in range(40)]
    )
    model.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(14)])
    model.run(20 * S)
    model.run(4 * S, api.Listed(False, False, tuple(entry(i, i % 2, api.Phase.DRAINING) for i in range(30))))
    assert model.shut >= set(range(30))


def large_model(servers: int, proxies: int, zones: int = 4, **changes: object) -> PolicyModel:
    """Return a large fleet on which every proxy has been bound."""
    terms = (
        dict(
            zones=zones,
            lines_per_s=1200.0,
            queue_limit=12_800.0,
            message_limit=0,
            grace=12 * S,
            blackhole_limit=17 * S,
            cold=17 * S,
            expected_proxies=proxies / 2,
        )
        | changes
    )
    model = PolicyModel(make_terms(**terms), [entry(i, i % zones) for i in range(servers)])
    model.tell(*[api.Joined(proxy, proxy % zones, 2.0, True) for proxy in range(proxies)])
    model.run(30 * S)
    return model


def test_a_wave_of_drains_costs_lines_only_where_the_servers_are_held() -> None:
    # When a withdrawal was counted at every proxy, the second wave had no room until after the grace.
    model = large_model(120, 280)
    for wave in (range(36), range(36, 72)):
        model.run(S, api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.DRAINING) for i in wave)))
    assert model.shut == set(range(72))


def test_zones_are_partitioned_where_their_tables_are_too_large_for_the_channel() -> None:
    # With a table of 50 entries each, the last of 1,400 proxies would have been bound after 76 s.
    model = large_model(
        200, 1400, expected_proxies=280, lines_per_s=1000.0, queue_limit=29_000.0, blackhole_limit=45 * S
    )
    assert all(model.proxies.values())
    for proxy in model.proxies:
        assert len(weights(model, proxy)) == pytest.approx(8, abs=2)
        assert all(i % 4 == proxy % 4 for i in weights(model, proxy))
    assert {i for proxy in model.proxies for i in weights(model, proxy)} == set(range(200))


def test_a_returned_server_is_let_in_on_a_busy_channel_once_its_weight_is_small() -> None:
    model = large_model(120, 140, expected_proxies=40)
    back = range(0, 28)
    model.run(4 * S, api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.GONE) for i in back)))
    model.tell(api.Listed(False, False, tuple(entry(i, i % 4, since=model.now) for i in back)))
    for second in range(5):  # Traffic shares that move each second never leave the channel idle.
        model.run(
            S,
            *[
                api.DemandReport(proxy, READS, 4 + 20 * (proxy % 4 == second % 4), 0, S)
                for proxy in model.proxies
            ],
        )
    assert not model.shut


def test_proxies_taken_over_during_a_wave_of_drains_are_bound_before_it_is_withdrawn() -> None:
    # A withdrawal of each server at each of these proxies would have cost more than their tables.
    model = large_model(120, 120, expected_proxies=120)
    model.tell(
        *[api.Joined(proxy, proxy % 4, 2.0, False) for proxy in range(120, 360)],
        api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.DRAINING) for i in range(36))),
    )
    assert not model.shut
    model.run(6 * S)
    assert all(model.proxies.values()) and model.shut == set(range(36))


def replace_servers(model: PolicyModel, attempts: int, failures: int) -> int:
    """Replace six in ten servers while some attempts fail; return the fewest new ones that a proxy holds."""
    model.run(S, *[report(i, attempts, 0, i % 4) for i in range(120)])
    model.tell(
        api.Listed(
            False,
            False,
            (
                *[entry(i, i % 4, api.Phase.DRAINING) for i in range(72)],
                *[entry(i, i % 4, since=model.now) for i in range(120, 192)],
            ),
        )
    )
    for _ in range(5):
        model.run(S, *[report(i, attempts, failures, i % 4) for i in range(72, 192)])
    return min(sum(i >= 120 for i in weights(model, proxy)) for proxy in model.proxies)


def test_cold_servers_stay_in_use_where_no_proxy_uses_a_server_often_enough_to_avoid_it() -> None:
    assert replace_servers(large_model(120, 140), 4, 1) >= 12
    # As many attempts at each server as make proxies turn to the others within the calm time.
    assert replace_servers(large_model(120, 140), 400, 100) == 0


def test_first_bindings_come_before_edits_of_tables_in_use_and_the_busiest_first() -> None:
    model = PolicyModel(
        make_terms(lines_per_s=150.0, queue_limit=400.0), [entry(i, i % 2) for i in range(40)]
    )
    model.tell(*[api.Joined(proxy, proxy % 2, float(proxy), True) for proxy in range(12)])
    bound = [order.proxy for order in model.orders if isinstance(order, api.Bind)]
    assert bound and bound == sorted(bound, reverse=True)
    for second in range(8):
        model.run(S, *[report(i, 20, 20 * (i % 7 == second), i % 2) for i in range(40)])
    assert all(model.proxies.values())


def test_reports_that_are_cut_short_are_judged_over_their_spans() -> None:
    model = small_model()
    for second in range(12):
        chosen = range(second % 4, 8, 4)
        model.run(S, *[report(i, 20, 12 * (i == 0), i % 2)._replace(span=4 * S) for i in chosen])
    assert model.module.report_lag == 4 * S and model.module.servers[0].ejection


def test_a_server_with_late_answers_gets_less_weight_but_stays() -> None:
    model = small_model()
    model.run(S, *[report(i, 20, 0, i % 2, 450 if i == 0 else 100) for i in range(8)])
    assert 0.5 < weights(model, 0)[0] / entry(0).weight < 1


def test_late_answers_of_most_servers_block_yielding_groups_until_they_end() -> None:
    model = small_model()
    model.run(S, *reports(0, 450))
    table = model.proxies[0][READS]
    assert model.levels[table][1 << READS].allowance < 1 == model.levels[table][1 << WRITES].allowance
    for _ in range(60):
        model.run(S, *reports())
    assert model.levels[table][1 << READS].allowance == 1


def test_a_zone_behind_a_failed_path_uses_what_it_reaches_and_tries_again() -> None:
    model = small_model()
    model.run(S, *[report(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[report(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    assert set(weights(model, 0)) == {0, 2, 4, 6}
    model.run(5 * S)
    assert weights(model, 0)[1] < entry(1).weight / 5


def test_an_overloaded_zone_is_no_failed_path_and_cold_servers_are_not_all_a_zone_gets() -> None:
    model = small_model()
    model.run(
        S, *[report(i, 9, 8, 0, 900) for i in (1, 3, 5, 7)], *[report(i, 9, 0, 0) for i in (0, 2, 4, 6)]
    )
    assert not model.module.failed_paths
    model = small_model()
    model.run(S, api.Listed(False, False, tuple(entry(i, 0, since=model.now) for i in (0, 2, 4, 6))))
    model.run(S, *[report(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[report(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    assert model.module.failed_paths and any(i % 2 for i in weights(model, 0))


def test_one_borrowed_server_that_dies_is_no_failed_path() -> None:
    model = small_model()
    model.run(S, report(1, 9, 9, 0), *[report(i, 9, 0, i % 2) for i in (0, 2, 3, 4, 5, 6, 7)])
    assert not model.module.failed_paths


def test_a_zone_that_would_get_under_three_servers_uses_all() -> None:
    model = small_model(12)
    model.run(2 * S, *[api.DemandReport(proxy, READS, 20 - 18 * (proxy % 2), 0, S) for proxy in range(4)])
    assert len(weights(model, 0)) == len(weights(model, 1)) == 12


def test_a_new_stream_is_bound_anew_also_without_a_leave() -> None:
    model = small_model()
    model.run(4 * S)
    assert any(isinstance(order, api.Bind) for order in model.tell(api.Joined(0, 0, 5.0, False)))
    model.tell(api.Left(0), api.Left(0), api.Applied(3, S, 0), api.TimerFired(10**6), report(99, 3, 3))


def test_a_failed_list_call_is_made_again_with_spacing() -> None:
    model = small_model(must_watch=True)
    calls = 0
    model.tell(api.ListFailed())
    for _ in range(100):
        model.run(S // 10, *([api.ListFailed()] if api.Watch(True) in model.orders else []))
        calls += api.Watch(True) in model.orders
    assert 2 <= calls <= 8


def test_a_returned_server_of_a_site_with_slices_is_let_in_again() -> None:
    model = PolicyModel(make_terms(slices=2), [entry(0), entry(1)])
    model.tell(api.Joined(0, 0, 5.0, True), api.SliceAssigned(0), api.SliceRestored(0, 0, 1.0))
    model.tell(api.Listed(False, False, (entry(0, 0, api.Phase.GONE),)))
    assert model.shut == {0}
    model.tell(api.Listed(False, False, (entry(0),)))
    assert not model.shut


def test_a_single_owner_is_moved_only_when_no_write_can_be_in_flight() -> None:
    model = PolicyModel(make_terms(slices=4, single_owner=True), [entry(0), entry(1)])
    model.tell(
        api.Joined(0, 0, 5.0, True), api.SliceAssigned(2), api.SliceRestored(2, 0, 1.0), api.SliceAssigned(3)
    )
    assert [one for one in model.orders if isinstance(one, api.SetWeight)] == [api.SetWeight(3, 1, 2.0)]
    model.tables[2][0] = 1.0
    model.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    assert api.Level(2, 0, api.RetryPolicy.NEVER, 0.0) in model.orders and model.tables[2] == {0: 1.0}
    model.run(4 * S)
    assert set(model.tables[2]) == {1} and not model.stopped


def test_a_returned_server_is_not_let_in_while_an_old_weight_is_more_than_it_can_take(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    model = small_model()
    model.run(20 * S)
    for name in ("edit_table", "limit_cold_weights"):
        monkeypatch.setattr(tables, name, lambda *_: None)  # As if the channel were full.
    model.run(S, api.Listed(False, False, (entry(0, 0, api.Phase.GONE),)))
    model.run(3 * S, api.Listed(False, False, (entry(0, 0, since=model.now),)))
    assert model.shut == {0}
    monkeypatch.undo()
    model.run(3 * S)
    assert not model.shut


def test_servers_that_no_table_has_yet_do_not_wait_for_the_channel_to_be_idle() -> None:
    model = large_model(120, 140, expected_proxies=40)
    model.module.ordinary_queue_limit *= 4  # There is room, but the channel is busy: only edits may wait.
    model.module.lines_written += 3 * model.module.ordinary_queue_limit / 4
    model.run(S // 5, api.Listed(False, False, tuple(entry(i, i % 4) for i in range(120, 126))))
    assert {i for proxy in model.proxies for i in weights(model, proxy)} >= set(range(120, 126))

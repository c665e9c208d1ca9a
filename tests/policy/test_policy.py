"""The module beside the plain model on generated days, and a small case for each failure found."""

import random

import pytest

from ambershift import interface as api
from ambershift.policy import tables
from tests.support.policy_model import READS, WRITES, Plain, S, entry, group, make_terms


def well(bad: int = 0, ms: int = 100) -> list[api.ServerReport]:
    return [met(i, 20, bad, i % 2, ms) for i in range(8)]


def met(server: int, tries: int, bad: int, zone: int = 0, ms: int = 100) -> api.ServerReport:
    return api.ServerReport(zone, server, tries, bad, ms * 1_000_000, S, ())


def small(count: int = 8, zones: int = 2, **changes: object) -> Plain:
    plain = Plain(make_terms(zones=zones, **changes), [entry(i, i % zones) for i in range(count)])
    plain.tell(*[api.Joined(proxy, proxy % zones, 5.0, True) for proxy in range(2 * zones)])
    return plain


def lines(plain: Plain, proxy: int) -> dict[int, float]:
    return plain.tables[plain.proxies[proxy][READS]]


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
    plain = Plain(
        terms, [entry(i, rng.randrange(-1, zones) if rng.random() < 0.1 else i % zones) for i in range(count)]
    )
    for _ in range(80):
        events: list[api.Event] = []
        for proxy in range(10):
            if rng.random() < 0.05:
                events.append(rng.choice([api.Joined(proxy, proxy % zones, 3.0, True), api.Left(proxy)]))
            events.append(api.DemandReport(proxy, READS, rng.randrange(20), 0, S))
        sick = rng.random()
        for server in range(count):
            tries = rng.randrange(15)
            events.append(
                met(
                    server,
                    tries,
                    int(tries * (rng.random() < sick / 3)),
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
                        entry(i, i % zones, rng.choice(list(api.Phase)), rng.choice([0, plain.now]))
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
        plain.run(rng.choice([S // 10, S, 2 * S]), *events)


def test_the_same_events_give_the_same_orders() -> None:
    assert small().orders == small().orders


def test_each_zone_has_its_own_servers_at_listed_weights() -> None:
    plain = small()
    for proxy in range(4):
        assert lines(plain, proxy) == {i: entry(i).weight for i in range(8) if i % 2 == proxy % 2}


def test_a_zone_with_more_traffic_borrows_and_a_hopeless_split_falls_back() -> None:
    plain = small(12)
    plain.run(2 * S, *[api.DemandReport(proxy, READS, 20 - 10 * (proxy % 2), 0, S) for proxy in range(4)])
    assert (len(lines(plain, 0)), len(lines(plain, 1))) == (8, 4)
    assert len(lines(small(3, zones=4), 0)) == 3


def test_a_share_moves_only_by_a_tenth() -> None:
    plain = small(12)
    plain.run(2 * S, *[api.DemandReport(proxy, READS, 21 - 2 * (proxy % 2), 0, S) for proxy in range(4)])
    assert len(lines(plain, 0)) == 6


def test_a_drain_is_withdrawn_at_once_and_before_all_else() -> None:
    plain = small()
    orders = plain.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    assert orders[0] == api.Withdraw(0, True)


def test_servers_lost_one_by_one_do_not_cost_a_message_each() -> None:
    plain = small(14)
    for lost in range(8):
        plain.run(S // 5, api.Listed(False, False, (entry(lost, lost % 2, api.Phase.GONE),)))
    plain.run(2 * S)
    assert plain.shut == set(range(8)) and max(map(len, plain.written.values())) <= 9


def test_a_list_that_drops_all_keeps_no_proxy_on_gone_servers_and_recovers() -> None:
    plain = small()
    plain.tell(api.Listed(True, False, ()))
    plain.run(3 * S, api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8))))
    assert lines(plain, 0) and not plain.shut


def test_a_cold_server_gets_a_part_that_grows_and_none_in_an_overload() -> None:
    plain = small()
    plain.tell(api.Listed(False, False, (entry(0, 0, since=plain.now),)))
    assert 0 not in lines(plain, 0), "a controller just born is wary"
    plain.run(S // 2)
    for _ in range(11):
        plain.run(S, *well())
    plain.run(S, *well(), api.Listed(False, False, (entry(0, 0, since=plain.now),)))
    first = lines(plain, 0)[0]
    plain.run(2 * S, *well())
    assert 0 < first < 0.35 and lines(plain, 0)[0] > first
    plain.run(S // 2, *well(17))
    assert 0 not in lines(plain, 0)


def test_a_cold_server_is_not_the_only_one_that_a_cut_leaves() -> None:
    plain = small()
    for _ in range(15):
        plain.run(S, *[met(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[met(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    plain.tell(api.Listed(False, False, tuple(entry(i, 0, api.Phase.GONE) for i in (0, 2, 4, 6))))
    for _ in range(8):
        plain.run(S, *[met(i, 9, 9, 0) for i in (1, 3, 5, 7)])
    plain.tell(api.Listed(False, False, (entry(0, 0, since=plain.now),)))
    assert 0 not in lines(plain, 0)


def test_a_failing_server_is_left_out_tried_and_taken_back() -> None:
    plain = small()
    plain.run(S, *[met(i, 20, 15 * (i == 0), i % 2) for i in range(8)])
    assert 0 not in lines(plain, 0)
    plain.run(4 * S)
    assert 0 < lines(plain, 0)[0] < 0.2
    plain.run(4 * S)
    plain.run(S, *well())
    assert lines(plain, 0)[0] == entry(0).weight


def test_all_failing_alike_puts_nobody_out_and_orders_no_further_tries() -> None:
    plain = small()
    plain.run(S, *well(12, 200))
    assert len(lines(plain, 0)) == 4
    assert {order.retry for order in plain.levels[plain.proxies[0][READS]].values()} == {
        api.RetryPolicy.NEVER
    }


@pytest.mark.parametrize(("bad", "out"), [(12, False), (17, True)])
def test_a_server_whose_answers_are_late_is_left_out_where_few_come(bad: int, out: bool) -> None:
    plain = small()
    for _ in range(3):
        plain.run(S, *[met(i, 20, bad * (i == 0), i % 2, 400 if i == 0 else 100) for i in range(8)])
    assert (0 not in lines(plain, 0)) == out


def test_lost_servers_are_left_out_also_where_half_are_lost() -> None:
    plain = small(12)
    for _ in range(3):
        plain.run(S, *[met(i, 20, 20 * (i < 6), i % 2) for i in range(12)])
    reached = {i for proxy in range(4) for i in lines(plain, proxy)}
    assert len(reached) == 8 and set(range(6, 12)) <= reached


@pytest.mark.parametrize("bad", [5, 20])
def test_servers_lost_while_the_others_answer_in_time_block_no_flow_and_stop_no_further_try(bad: int) -> None:
    plain = small()
    for _ in range(4):
        plain.run(S, *[met(i, 20, bad * (i % 4 < 2 or bad == 5), i % 2, 130) for i in range(8)])
    levels = plain.levels[plain.proxies[0][READS]].values()
    assert {(one.retry, one.allowance) for one in levels} == {(api.RetryPolicy.IF_NOT_RUN, 1.0)}


def test_no_flow_runs_again_after_a_failure_that_may_have_run_it() -> None:
    plain = small(groups=(group(idempotency=api.Idempotency.DEDUPED, dedup_window=S), group(utility=3.0)))
    plain.run(S, *[met(i, 20, 20 * (i == 0), i % 2) for i in range(8)])
    assert {one.retry for one in plain.levels[plain.proxies[0][READS]].values()} == {
        api.RetryPolicy.IF_NOT_RUN
    }


def dropped(count: int, **changes: object) -> Plain:
    plain = small(12, only_draining_binds=True, **changes)
    plain.run(S, *[met(i, 20, 0, i % 2) for i in range(12)])
    plain.run(S, api.Listed(False, False, tuple(entry(i, i % 2, api.Phase.GONE) for i in range(count))))
    return plain


def test_servers_that_a_wrong_list_drops_stay_while_they_deliver() -> None:
    plain = dropped(8)
    assert len(lines(plain, 0)) == 6 and not plain.shut
    plain.run(S, *[met(i, 20, 20 * (i == 0), i % 2) for i in range(12)])
    assert set(lines(plain, 0)) == {2, 4, 6, 8, 10}
    plain.run(4 * S, *[met(i, 20, 0, i % 2) for i in range(12)])
    assert 0 not in lines(plain, 0), "gone and failing is gone"


def test_a_controller_just_born_holds_on_to_nothing_that_its_old_list_named() -> None:
    plain = small(12, only_draining_binds=True)
    plain.run(S, api.Listed(True, False, tuple(entry(i, i % 2) for i in range(6, 12))))
    assert set(lines(plain, 0)) == {6, 8, 10}


def test_a_cold_line_shrinks_though_the_ordinary_part_of_the_channel_is_taken() -> None:
    plain = Plain(make_terms(lines_per_s=200.0, queue_limit=900.0), [entry(i, i % 2) for i in range(40)])
    plain.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(30)])
    plain.run(20 * S)
    plain.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(15)])
    plain.run(S // 10, api.Listed(False, False, (entry(0, 0, since=plain.now),)))
    assert lines(plain, 20)[0] < 0.2


def test_a_list_that_drops_what_fails_is_believed() -> None:
    plain = dropped(6)
    plain.run(S, *[met(i, 20, 10 * (i < 6) * (i > 0), i % 2) for i in range(12)])
    plain.run(2 * S)
    assert not set(lines(plain, 0)) & set(range(6))


def test_what_drained_stays_shut_out_when_it_goes_though_gone_does_not_bind() -> None:
    plain = dropped(0)
    plain.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    for phase, shut in ((api.Phase.GONE, {0}), (api.Phase.READY, set())):
        plain.run(3 * S, api.Listed(False, False, (entry(0, 0, phase),)))
        assert plain.shut == shut


def test_a_wave_of_drains_keeps_under_the_queue_limit_on_a_slow_channel() -> None:
    plain = Plain(make_terms(queue_limit=500.0, lines_per_s=400.0), [entry(i, i % 2) for i in range(40)])
    plain.tell(*[api.Joined(proxy, proxy % 2, 5.0, True) for proxy in range(14)])
    plain.run(20 * S)
    plain.run(4 * S, api.Listed(False, False, tuple(entry(i, i % 2, api.Phase.DRAINING) for i in range(30))))
    assert plain.shut >= set(range(30))


def large(servers: int, crowd: int, zones: int = 4, **changes: object) -> Plain:
    """A fleet at size with its queue, on which every proxy has been bound."""
    terms = (
        dict(
            zones=zones,
            lines_per_s=1200.0,
            queue_limit=12_800.0,
            message_limit=0,
            grace=12 * S,
            blackhole_limit=17 * S,
            cold=17 * S,
            expected_proxies=crowd / 2,
        )
        | changes
    )
    plain = Plain(make_terms(**terms), [entry(i, i % zones) for i in range(servers)])
    plain.tell(*[api.Joined(proxy, proxy % zones, 2.0, True) for proxy in range(crowd)])
    plain.run(30 * S)
    return plain


def test_a_wave_of_drains_is_paid_only_where_the_servers_are_held() -> None:
    # Counted at every proxy the second wave found no room, and was shut out after the grace.
    plain = large(120, 280)
    for wave in (range(36), range(36, 72)):
        plain.run(S, api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.DRAINING) for i in wave)))
    assert plain.shut == set(range(72))


def test_zones_are_parted_where_their_tables_are_too_large_for_the_channel() -> None:
    # With a table of 50 lines for each of them the last of 1,400 would have been bound after 76 s.
    plain = large(
        200, 1400, expected_proxies=280, lines_per_s=1000.0, queue_limit=29_000.0, blackhole_limit=45 * S
    )
    assert all(plain.proxies.values())
    for proxy in plain.proxies:
        assert len(lines(plain, proxy)) == pytest.approx(8, abs=2)
        assert all(i % 4 == proxy % 4 for i in lines(plain, proxy))
    assert {i for proxy in plain.proxies for i in lines(plain, proxy)} == set(range(200))


def test_a_server_that_returns_to_a_busy_channel_is_let_in_once_its_line_is_small() -> None:
    plain = large(120, 140, expected_proxies=40)
    back = range(0, 28)
    plain.run(4 * S, api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.GONE) for i in back)))
    plain.tell(api.Listed(False, False, tuple(entry(i, i % 4, since=plain.now) for i in back)))
    for second in range(5):  # Shares that move each second leave the channel no idle moment.
        plain.run(
            S,
            *[
                api.DemandReport(proxy, READS, 4 + 20 * (proxy % 4 == second % 4), 0, S)
                for proxy in plain.proxies
            ],
        )
    assert not plain.shut


def test_who_is_taken_over_during_a_wave_of_drains_is_bound_before_the_wave_is_shut_out() -> None:
    # A line for each server of the wave at each of them would have been more than their tables.
    plain = large(120, 120, expected_proxies=120)
    plain.tell(
        *[api.Joined(proxy, proxy % 4, 2.0, False) for proxy in range(120, 360)],
        api.Listed(False, False, tuple(entry(i, i % 4, api.Phase.DRAINING) for i in range(36))),
    )
    assert not plain.shut
    plain.run(6 * S)
    assert all(plain.proxies.values()) and plain.shut == set(range(36))


def wave(plain: Plain, tries: int, bad: int) -> int:
    """Six in ten servers are replaced while some tries fail; gives the fewest new ones that a proxy holds."""
    plain.run(S, *[met(i, tries, 0, i % 4) for i in range(120)])
    plain.tell(
        api.Listed(
            False,
            False,
            (
                *[entry(i, i % 4, api.Phase.DRAINING) for i in range(72)],
                *[entry(i, i % 4, since=plain.now) for i in range(120, 192)],
            ),
        )
    )
    for _ in range(5):
        plain.run(S, *[met(i, tries, bad, i % 4) for i in range(72, 192)])
    return min(sum(i >= 120 for i in lines(plain, proxy)) for proxy in plain.proxies)


def test_cold_servers_stay_in_use_where_no_proxy_meets_a_line_often_enough_to_avoid_it() -> None:
    assert wave(large(120, 140), 4, 1) >= 12
    # As many tries at each line as make proxies turn to the lines left within the calm spell.
    assert wave(large(120, 140), 400, 100) == 0


def test_first_bindings_come_before_edits_of_tables_in_use_and_the_busiest_first() -> None:
    plain = Plain(make_terms(lines_per_s=150.0, queue_limit=400.0), [entry(i, i % 2) for i in range(40)])
    plain.tell(*[api.Joined(proxy, proxy % 2, float(proxy), True) for proxy in range(12)])
    bound = [order.proxy for order in plain.orders if isinstance(order, api.Bind)]
    assert bound and bound == sorted(bound, reverse=True)
    for second in range(8):
        plain.run(S, *[met(i, 20, 20 * (i % 7 == second), i % 2) for i in range(40)])
    assert all(plain.proxies.values())


def test_reports_that_are_cut_short_are_judged_over_what_they_span() -> None:
    plain = small()
    for second in range(12):
        chosen = range(second % 4, 8, 4)
        plain.run(S, *[met(i, 20, 12 * (i == 0), i % 2)._replace(span=4 * S) for i in chosen])
    assert plain.module.report_lag == 4 * S and plain.module.servers[0].ejection


def test_late_answers_ease_a_server_but_keep_it() -> None:
    plain = small()
    plain.run(S, *[met(i, 20, 0, i % 2, 450 if i == 0 else 100) for i in range(8)])
    assert 0.5 < lines(plain, 0)[0] / entry(0).weight < 1


def test_most_answers_late_block_what_yields_and_let_it_back() -> None:
    plain = small()
    plain.run(S, *well(0, 450))
    table = plain.proxies[0][READS]
    assert plain.levels[table][1 << READS].allowance < 1 == plain.levels[table][1 << WRITES].allowance
    for _ in range(60):
        plain.run(S, *well())
    assert plain.levels[table][1 << READS].allowance == 1


def test_a_cut_zone_uses_what_it_reaches_and_looks_again() -> None:
    plain = small()
    plain.run(S, *[met(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[met(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    assert set(lines(plain, 0)) == {0, 2, 4, 6}
    plain.run(5 * S)
    assert lines(plain, 0)[1] < entry(1).weight / 5


def test_an_overloaded_zone_and_a_zone_of_cold_servers_are_no_reason_to_part() -> None:
    plain = small()
    plain.run(S, *[met(i, 9, 8, 0, 900) for i in (1, 3, 5, 7)], *[met(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    assert not plain.module.failed_paths
    plain = small()
    plain.run(S, api.Listed(False, False, tuple(entry(i, 0, since=plain.now) for i in (0, 2, 4, 6))))
    plain.run(S, *[met(i, 9, 9, 0) for i in (1, 3, 5, 7)], *[met(i, 9, 0, 0) for i in (0, 2, 4, 6)])
    assert plain.module.failed_paths and any(i % 2 for i in lines(plain, 0))


def test_one_borrowed_server_that_dies_is_no_cut() -> None:
    plain = small()
    plain.run(S, met(1, 9, 9, 0), *[met(i, 9, 0, i % 2) for i in (0, 2, 3, 4, 5, 6, 7)])
    assert not plain.module.failed_paths


def test_a_zone_dealt_under_three_servers_uses_all() -> None:
    plain = small(12)
    plain.run(2 * S, *[api.DemandReport(proxy, READS, 20 - 18 * (proxy % 2), 0, S) for proxy in range(4)])
    assert len(lines(plain, 0)) == len(lines(plain, 1)) == 12


def test_a_new_stream_is_bound_anew_also_without_a_leave() -> None:
    plain = small()
    plain.run(4 * S)
    assert any(isinstance(order, api.Bind) for order in plain.tell(api.Joined(0, 0, 5.0, False)))
    plain.tell(api.Left(0), api.Left(0), api.Applied(3, S, 0), api.TimerFired(10**6), met(99, 3, 3))


def test_a_failed_list_call_is_made_again_with_spacing() -> None:
    plain = small(must_watch=True)
    calls = 0
    plain.tell(api.ListFailed())
    for _ in range(100):
        plain.run(S // 10, *([api.ListFailed()] if api.Watch(True) in plain.orders else []))
        calls += api.Watch(True) in plain.orders
    assert 2 <= calls <= 8


def test_a_server_that_returns_to_a_site_with_slices_is_let_in_again() -> None:
    plain = Plain(make_terms(slices=2), [entry(0), entry(1)])
    plain.tell(api.Joined(0, 0, 5.0, True), api.SliceAssigned(0), api.SliceRestored(0, 0, 1.0))
    plain.tell(api.Listed(False, False, (entry(0, 0, api.Phase.GONE),)))
    assert plain.shut == {0}
    plain.tell(api.Listed(False, False, (entry(0),)))
    assert not plain.shut


def test_a_single_owner_is_moved_only_when_no_write_can_be_in_hand() -> None:
    plain = Plain(make_terms(slices=4, single_owner=True), [entry(0), entry(1)])
    plain.tell(
        api.Joined(0, 0, 5.0, True), api.SliceAssigned(2), api.SliceRestored(2, 0, 1.0), api.SliceAssigned(3)
    )
    assert [one for one in plain.orders if isinstance(one, api.SetWeight)] == [api.SetWeight(3, 1, 2.0)]
    plain.tables[2][0] = 1.0
    plain.tell(api.Listed(False, False, (entry(0, 0, api.Phase.DRAINING),)))
    assert api.Level(2, 0, api.RetryPolicy.NEVER, 0.0) in plain.orders and plain.tables[2] == {0: 1.0}
    plain.run(4 * S)
    assert set(plain.tables[2]) == {1} and not plain.stopped


def test_a_returned_server_is_not_let_in_while_an_old_line_is_larger_than_it_stands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plain = small()
    plain.run(20 * S)
    for name in ("edit_table", "limit_cold_weights"):
        monkeypatch.setattr(tables, name, lambda *_: None)  # As in a full channel.
    plain.run(S, api.Listed(False, False, (entry(0, 0, api.Phase.GONE),)))
    plain.run(3 * S, api.Listed(False, False, (entry(0, 0, since=plain.now),)))
    assert plain.shut == {0}
    monkeypatch.undo()
    plain.run(3 * S)
    assert not plain.shut


def test_servers_that_no_table_has_yet_do_not_wait_for_the_channel_to_be_idle() -> None:
    plain = large(120, 140, expected_proxies=40)
    plain.module.ordinary_queue_limit *= (
        4  # Room there is, but the channel is busy: only edits may wait for it.
    )
    plain.module.lines_written += 3 * plain.module.ordinary_queue_limit / 4
    plain.run(S // 5, api.Listed(False, False, tuple(entry(i, i % 4) for i in range(120, 126))))
    assert {i for proxy in plain.proxies for i in lines(plain, proxy)} >= set(range(120, 126))

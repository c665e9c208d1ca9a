"""The operator's controller beside the module on generated days, and a case for each thing that it guards."""

import random
from collections.abc import Callable

import pytest

from ambershift import interface as api
from ambershift.coordinator.admin import batching
from ambershift.coordinator.admin.audit_log import AuditLog, TokenReused
from ambershift.coordinator.admin.controller import MAX_PENDING_CHANGES
from ambershift.coordinator.admin.coverage import LENT_RETURN_DELAY_NS
from ambershift.coordinator.admin.overlay import effective_entry
from ambershift.coordinator.admin.pending import PendingChange
from ambershift.coordinator.admin.types import Accepted, Change, Health, Reason, Refused, Stage, State, Weight
from tests.support.operator_model import Operated, some_changes
from tests.support.policy_model import S, entry, make_terms

DRAIN, MAINT, READY = State.DRAIN, State.MAINT, State.READY


def small(count: int = 8, zones: int = 2, **changes: object) -> Operated:
    held = Operated(make_terms(zones=zones, **changes), [entry(i, i % zones) for i in range(count)])
    held.tell(*[api.Joined(proxy, proxy % zones, 5.0, True) for proxy in range(2 * zones)])
    return held


def told(held: Operated, server: int) -> api.Entry:
    return held.module.servers[server].entry


def listed(server: int, phase: api.Phase, zone: int = 0, since: int = 0) -> api.Listed:
    return api.Listed(False, False, (entry(server, zone, phase, since),))


@pytest.mark.parametrize("seed", range(24))
def test_on_generated_days_the_rules_hold_and_the_last_word_stands(seed: int) -> None:
    rng = random.Random(seed)
    zones, count = rng.randint(1, 3), rng.randint(3, 12)
    terms = make_terms(zones=zones, message_limit=rng.choice([0, 12]), only_draining_binds=rng.random() < 0.3)
    held = Operated(terms, [entry(i, i % zones) for i in range(count)])
    for _ in range(80):
        events: list[api.Event] = []
        for proxy in range(8):
            if rng.random() < 0.05:
                events.append(rng.choice([api.Joined(proxy, proxy % zones, 3.0, True), api.Left(proxy)]))
        for server in range(count):
            events.append(
                api.ServerReport(rng.randrange(zones), server, rng.randrange(15), 0, 50_000_000, S, ())
            )
        if rng.random() < 0.15:
            events.append(
                listed(
                    chosen := rng.randrange(count),
                    rng.choice(list(api.Phase)),
                    chosen % zones,
                    rng.choice([0, held.now]),
                )
            )
        held.run(rng.choice([S // 10, S, 2 * S]), *events)
        if rng.random() < 0.4:
            held.operate(*some_changes(rng, count))
        held.away = rng.random() < 0.2
    held.away = False
    held.tell(*[api.Joined(proxy, proxy % zones, 3.0, True) for proxy in range(8)])
    for _ in range(30):
        held.run(S, *[api.ServerReport(0, server, 5, 0, 50_000_000, S, ()) for server in range(count)])
    view = held.controller.view(held.now)
    for server in view.inventory.listed:
        wanted = effective_entry(view.inventory, server, held.controller.warmth, held.now)
        if wanted.phase != api.Phase.GONE:  # Where gone does not bind, the module keeps what it had.
            assert told(held, server).weight == wanted.weight, server
        if wanted.phase == api.Phase.DRAINING:
            assert server in held.shut
        elif wanted.phase == api.Phase.READY:
            assert server not in held.shut
            for proxy in held.proxies:
                for table in set(held.proxies[proxy].values()):
                    assert held.tables[table].get(server, 0.0) <= wanted.weight + 1e-6
    assert not [one for one in view.pending if view.stage(one) not in (Stage.APPLIED, Stage.CARRIED)]


@pytest.mark.parametrize("times", [2, 50])
def test_the_same_wish_again_acts_once(times: int) -> None:
    held = small()
    for turn in range(times):
        outcome = held.operate(Change(0, state=MAINT), who=f"client {turn}")
        assert isinstance(outcome, Accepted) and bool(outcome.changed) == (turn == 0)
        held.run(S // 10)
    held.run(3 * S)
    out = [order for order in held.ordered if isinstance(order, api.Withdraw)]
    assert held.shut == {0} and held.controller.commands == 1 and out == [api.Withdraw(0, True)]
    assert held.controller.view(held.now).inventory.override(0).origin.who == "client 0"


def test_contrary_wishes_that_come_together_cost_no_line() -> None:
    held = small()
    held.run(5 * S)
    before = held.reply
    for state in (DRAIN, READY, MAINT, READY):
        held.operate(Change(0, state=state))
    held.run(2 * S)
    assert held.reply == before and held.controller.applied([0])


def test_a_server_that_flips_on_and_on_is_told_of_ever_more_seldom() -> None:
    held = small()
    first = held.now
    for turn in range(200):
        held.operate(Change(0, state=(DRAIN, READY)[turn % 2]))
        held.run(S // 10)
    # Doubling gaps: 0.5, 1, 2, 4 s and then 8 s; in 20 s that is at most seven tellings, not a hundred.
    assert held.now - first >= 19 * S and held.controller.batcher.flips[0].count <= 7
    held.run(10 * S)
    assert held.shut == set() and told(held, 0).phase == api.Phase.READY


def test_after_a_calm_spell_a_wish_is_told_at_once_again() -> None:
    held = small()
    for state in (DRAIN, READY, DRAIN):
        held.operate(Change(0, state=state))
        held.run(batching.FLIP_RESET_NS + S)
    held.operate(Change(0, state=READY))
    held.run(S // 2)
    assert held.shut == set()


def test_however_often_it_flipped_a_server_is_let_in_without_delay() -> None:
    held = small()
    for turn in range(60):
        held.operate(Change(0, state=(DRAIN, READY)[turn % 2]))
        held.run(S // 3)
    held.operate(Change(0, state=DRAIN))
    while held.shut != {0}:
        held.run(S // 10)
    assert (
        held.controller.batcher.flips[0].earliest() > held.now + 5 * S
    )  # Taken out again it would be much later.
    held.operate(Change(0, state=READY))
    held.run(2 * batching.MAX_BATCH_DELAY_NS)
    assert held.shut == set()


def test_the_last_warm_server_of_a_zone_and_of_all_is_not_given_away() -> None:
    held = small(4)
    assert isinstance(held.operate(Change(0, state=DRAIN)), Accepted)
    assert held.operate(Change(2, state=DRAIN)) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    assert held.operate(Change(2, weight=Weight(0.0, False))) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    assert held.operate(Change(2, health=Health.DOWN)) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    # All in one go would be let through if each were looked at by itself; and in one go one may replace
    # another.
    assert held.operate(Change(1, state=MAINT), Change(3, state=MAINT), Change(2, state=MAINT)) == Refused(
        Reason.GROUP_WITHOUT_WARM, 1, 1
    )
    assert isinstance(held.operate(Change(0, state=READY), Change(2, state=DRAIN)), Accepted)
    assert held.controller.commands == 2


def test_a_cold_server_does_not_stand_in_for_a_warm_one() -> None:
    held = small(4)
    held.tell(listed(2, api.Phase.READY, 0, held.now))
    refused = held.operate(Change(0, state=DRAIN))
    assert refused == Refused(Reason.ZONE_WITHOUT_WARM, 0, 0)
    held.run(held.terms.cold + S)
    assert isinstance(held.operate(Change(0, state=DRAIN)), Accepted)


@pytest.mark.parametrize("phase", [api.Phase.DRAINING, api.Phase.GONE])
@pytest.mark.parametrize("soft", [False, True])
def test_when_the_last_is_lost_after_a_drain_the_drained_are_lent_until_others_stay(
    phase: api.Phase, soft: bool
) -> None:
    held = small(4, only_draining_binds=soft)
    for server, state in ((0, MAINT), (1, DRAIN)):
        assert isinstance(held.operate(Change(server, state=state)), Accepted)
    held.run(2 * S)
    assert held.shut == {0, 1}
    held.tell(listed(2, phase, 0), listed(3, phase, 1))
    # The milder wish yields, the stricter one does not as long as there is another; at once, not after a
    # beat.
    assert set(held.controller.inventory.lent) == {1} and told(held, 1).phase == api.Phase.READY
    held.run(4 * S)
    assert 1 not in held.shut and 0 in held.shut
    held.tell(listed(3, api.Phase.READY, 1))
    held.run(S)
    assert 1 not in held.shut  # Not for a moment's flapping.
    held.run(LENT_RETURN_DELAY_NS + S)
    assert 1 in held.shut and not held.controller.inventory.lent
    kinds = [record.kind for record in held.controller.audit_log.records]
    assert kinds == ["command", "command", "lent", "returned"]


def test_with_nothing_else_left_maintenance_yields_too_and_weight_nought_counts_again() -> None:
    held = small(2, zones=1)
    held.operate(Change(0, state=MAINT))
    held.run(S)
    held.tell(listed(1, api.Phase.DRAINING))
    held.run(2 * S)
    assert held.shut == {1} and told(held, 0).phase == api.Phase.READY
    other = small(2, zones=1)
    other.operate(Change(0, weight=Weight(0.0, False)))
    other.run(S)
    other.tell(listed(1, api.Phase.DRAINING))
    assert told(other, 0).weight == entry(0).weight


def test_the_stricter_word_holds_between_list_and_operator() -> None:
    held = small()
    held.tell(listed(0, api.Phase.DRAINING))
    held.operate(Change(0, state=READY))
    held.run(2 * S)
    assert held.shut == {0}  # The list's drain is not undone by an operator.
    held.operate(Change(2, state=DRAIN))
    held.run(S)
    held.tell(listed(2, api.Phase.READY))  # Nor the operator's by the list's going on to say ready.
    held.tell(api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8))))
    held.run(2 * S)
    assert held.shut == {2}
    held.tell(api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8) if i != 2)))
    held.run(2 * S)
    assert held.shut == {2}


@pytest.mark.parametrize("soft", [False, True])
def test_removed_and_back_with_a_new_start_it_is_still_kept_out_and_cold_once_let_in(soft: bool) -> None:
    held = small(only_draining_binds=soft)
    held.operate(Change(0, state=DRAIN))
    held.run(2 * S)
    held.tell(listed(0, api.Phase.GONE))
    held.run(2 * S)
    held.tell(listed(0, api.Phase.READY, 0, held.now))
    held.run(S)
    assert held.shut == {0}
    held.operate(Change(0, state=READY), Change(0, weight=Weight(256.0, False)))
    for _ in range(8):  # The model's own check of cold servers goes by the entry told, capped at the list's.
        held.run(S)
        age = held.now - held.true[0].since
        part = held.terms.cold_share + (1 - held.terms.cold_share) * age / held.terms.cold
        for table in held.tables.values():
            assert table.get(0, 0.0) <= part * held.true[0].weight + 0.051
    held.run(held.terms.cold + 3 * S)
    assert told(held, 0).weight == 256.0
    assert max(table.get(0, 0.0) for table in held.tables.values()) == 256.0


def test_doubt_of_the_list_and_an_operators_drain_together() -> None:
    held = small(only_draining_binds=True)
    held.run(2 * S, *[api.ServerReport(0, i, 20, 0, 50_000_000, S, ()) for i in range(8)])
    held.tell(listed(0, api.Phase.GONE))
    held.run(S, *[api.ServerReport(0, i, 20, 0, 50_000_000, S, ()) for i in range(8)])
    assert held.module.servers[0].doubted and 0 not in held.shut  # Dropped by the list, and still at work.
    held.operate(Change(0, state=DRAIN))
    held.run(2 * S)
    assert held.shut == {0} and not held.module.servers[0].doubted


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ([Change(99, state=DRAIN)], Reason.NO_SUCH_SERVER),
        ([Change(0, weight=Weight(257.0, False))], Reason.WEIGHT_OUT_OF_RANGE),
        ([Change(0, weight=Weight(1.01, True))], Reason.WEIGHT_OUT_OF_RANGE),
        ([Change(0, weight=Weight(float("nan"), False))], Reason.WEIGHT_OUT_OF_RANGE),
        ([Change(0, state=DRAIN), Change(99, state=DRAIN)], Reason.NO_SUCH_SERVER),
    ],
)
def test_what_is_refused_changes_nothing(changes: list[Change], reason: Reason) -> None:
    held = small()
    inventory = held.controller.inventory
    outcome = held.operate(*changes)
    assert isinstance(outcome, Refused) and outcome.reason is reason
    assert held.controller.inventory is inventory and held.controller.next_at(held.now) is None
    assert held.controller.audit_log.errors[-1].kind == "refused"


def test_weights_are_parts_or_figures_and_go_back_to_the_list() -> None:
    held = small()
    for weight, due in ((Weight(0.5, True), 0.5 * entry(2).weight), (Weight(7.5, False), 7.5)):
        held.operate(Change(2, weight=weight))
        held.run(2 * S)
        assert told(held, 2).weight == due
        assert {table[2] for table in held.tables.values() if 2 in table} == {due}
        assert held.controller.applied([2])
    held.operate(Change(2, as_listed=True))
    held.run(2 * S)
    assert told(held, 2) == held.true[2]


def test_a_weight_after_nought_is_applied_only_once_a_line_is_there_again() -> None:
    held = small(message_limit=3)
    held.run(20 * S)
    held.operate(Change(2, weight=Weight(0.0, False)))
    held.run(S)
    assert held.controller.applied([2]) and not any(table.get(2) for table in held.tables.values())
    for server in (0, 1, 4):  # These use up the messages that ordinary edits may use.
        held.operate(Change(server, state=DRAIN))
        held.run(3 * S // 2)
    held.operate(Change(2, weight=Weight(0.5, True)))
    held.run(S)
    assert held.controller.view(held.now).stage(2) is Stage.TOLD
    held.run(20 * S)
    assert held.controller.applied([2]) and any(table.get(2) for table in held.tables.values())


def test_stages_follow_what_is_told_ordered_answered_and_applied() -> None:
    held = small(lines_per_s=20.0)
    held.run(30 * S)
    held.away = True
    held.operate(Change(0, state=DRAIN))

    def stage() -> Stage | None:
        return held.controller.view(held.now).stage(0)

    assert stage() is Stage.GATHERED
    held.run(S // 5)
    assert stage() is Stage.ORDERED and not held.controller.applied([0])
    held.away = False
    held.controller.settled(held.reply)
    assert stage() is Stage.CARRIED
    held.run(3 * S)
    assert stage() is None and held.controller.applied([0])
    assert held.controller.drained([0], held.now)
    held.run(S, api.ServerReport(0, 0, 3, 0, 50_000_000, S, ()))
    assert not held.controller.drained([0], held.now)  # Proxies still report tries there.
    held.run(4 * S)
    assert held.controller.drained([0], held.now) and not held.controller.drained([2], held.now)


def test_a_wish_waits_until_proxies_may_get_a_message_and_says_so() -> None:
    held = small(message_limit=5)  # Of which all but drains may use four.
    held.run(20 * S)
    for server in (0, 1, 4, 5, 6):
        held.operate(Change(server, state=DRAIN))
        held.run(3 * S // 2)
    held.operate(Change(2, weight=Weight(0.5, True)))
    held.run(S)
    view = held.controller.view(held.now)
    assert view.stage(2) is Stage.TOLD
    held.run(20 * S)
    assert held.controller.applied([0, 1, 2, 4, 5, 6])


def test_so_many_wishes_may_wait_and_no_more() -> None:
    held = Operated(make_terms(zones=1), [entry(i, 0) for i in range(3)])
    held.controller.pending = held.controller.pending.update(
        {at + 10: PendingChange(0) for at in range(MAX_PENDING_CHANGES)}
    )
    assert held.operate(Change(0, state=DRAIN)) == Refused(Reason.TOO_MANY_WAIT)


def test_at_the_end_what_was_taken_is_told_and_nothing_more_is_taken() -> None:
    held = small()
    held.operate(Change(0, state=DRAIN))
    event = held.controller.flush(held.now)
    assert event is not None and [one.server for one in event.entries] == [0]
    assert held.operate(Change(1, state=DRAIN)) == Refused(Reason.STOPPING)


def test_a_reader_holds_one_whole_state_while_changes_go_on() -> None:
    held = small()
    view = held.controller.view(held.now)
    before = {server: view.inventory.override(server) for server in view.inventory.listed}
    lines = dict(view.data_plane.tables.items())
    held.operate(Change(0, state=DRAIN), Change(1, weight=Weight(0.5, True)))
    held.run(3 * S)
    assert {server: view.inventory.override(server) for server in view.inventory.listed} == before
    assert dict(view.data_plane.tables.items()) == lines
    assert held.controller.view(held.now).inventory.override(0).state is DRAIN


def test_a_token_answers_the_same_command_once_more_and_no_other() -> None:
    audit_log = AuditLog()
    assert audit_log.earlier_answer("a", "x") is None
    audit_log.remember_answer("a", "x", "no")
    assert audit_log.earlier_answer("a", "x") == "no"
    with pytest.raises(TokenReused):
        audit_log.earlier_answer("a", "y")
    for at in range(5000):
        audit_log.remember_answer(f"t{at}", "x", "")
    assert len(audit_log.answers) == 4096 and audit_log.earlier_answer("t0", "x") is None


@pytest.mark.parametrize(
    "make", [lambda s: Change(s, state=DRAIN), lambda s: Change(s, weight=Weight(0.5, True))]
)
def test_a_thousand_wishes_cost_the_lines_of_their_last_words(make: Callable[[int], Change]) -> None:
    held = small(40, message_limit=0)
    held.run(5 * S)
    rng, wanted = random.Random(3), dict[int, bool]()
    held.ordered.clear()
    for at in range(1000):  # Within a second, while the module's turns and its hearing of wishes go on.
        server = rng.randrange(30)
        wanted[server] = rng.random() < 0.5
        held.operate(make(server) if wanted[server] else Change(server, state=READY, as_listed=True))
        held.run(S // 1000)
        if not at % 5:
            held.tell()
    changed = {server for server, out in wanted.items() if out}
    held.run(10 * S)
    lines = sum(
        isinstance(order, api.Withdraw) or (isinstance(order, api.SetWeight) and bool(order.weight))
        for order in held.ordered
    )
    assert lines == len(changed)
    assert held.controller.applied(range(30))

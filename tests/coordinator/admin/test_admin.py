"""The admin controller in front of the module: random days, and one case for each rule."""

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
from tests.support.operator_model import OperatedModel, some_changes
from tests.support.policy_model import S, entry, make_terms

DRAIN, MAINT, READY = State.DRAIN, State.MAINT, State.READY


def make_model(count: int = 8, zones: int = 2, **changes: object) -> OperatedModel:
    model = OperatedModel(make_terms(zones=zones, **changes), [entry(i, i % zones) for i in range(count)])
    model.tell(*[api.Joined(proxy, proxy % zones, 5.0, True) for proxy in range(2 * zones)])
    return model


def module_entry(model: OperatedModel, server: int) -> api.Entry:
    return model.module.servers[server].entry


def list_update(server: int, phase: api.Phase, zone: int = 0, since: int = 0) -> api.Listed:
    return api.Listed(False, False, (entry(server, zone, phase, since),))


@pytest.mark.parametrize("seed", range(24))
def test_random_days_keep_the_rules_and_end_in_the_last_overrides(seed: int) -> None:
    rng = random.Random(seed)
    zones, count = rng.randint(1, 3), rng.randint(3, 12)
    terms = make_terms(zones=zones, message_limit=rng.choice([0, 12]), only_draining_binds=rng.random() < 0.3)
    model = OperatedModel(terms, [entry(i, i % zones) for i in range(count)])
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
                list_update(
                    chosen := rng.randrange(count),
                    rng.choice(list(api.Phase)),
                    chosen % zones,
                    rng.choice([0, model.now]),
                )
            )
        model.run(rng.choice([S // 10, S, 2 * S]), *events)
        if rng.random() < 0.4:
            model.operate(*some_changes(rng, count))
        model.away = rng.random() < 0.2
    model.away = False
    model.tell(*[api.Joined(proxy, proxy % zones, 3.0, True) for proxy in range(8)])
    for _ in range(30):
        model.run(S, *[api.ServerReport(0, server, 5, 0, 50_000_000, S, ()) for server in range(count)])
    view = model.controller.view(model.now)
    for server in view.inventory.listed:
        wanted = effective_entry(view.inventory, server, model.controller.warmth, model.now)
        if wanted.phase != api.Phase.GONE:  # If GONE isn't binding, the module keeps the entry.
            assert module_entry(model, server).weight == wanted.weight, server
        if wanted.phase == api.Phase.DRAINING:
            assert server in model.shut
        elif wanted.phase == api.Phase.READY:
            assert server not in model.shut
            for proxy in model.proxies:
                for table in set(model.proxies[proxy].values()):
                    assert model.tables[table].get(server, 0.0) <= wanted.weight + 1e-6
    assert not [one for one in view.pending if view.stage(one) not in (Stage.APPLIED, Stage.CARRIED)]


@pytest.mark.parametrize("times", [2, 50])
def test_a_repeated_override_takes_effect_once(times: int) -> None:
    model = make_model()
    for turn in range(times):
        outcome = model.operate(Change(0, state=MAINT), who=f"client {turn}")
        assert isinstance(outcome, Accepted) and bool(outcome.changed) == (turn == 0)
        model.run(S // 10)
    model.run(3 * S)
    out = [order for order in model.ordered if isinstance(order, api.Withdraw)]
    assert model.shut == {0} and model.controller.commands == 1 and out == [api.Withdraw(0, True)]
    assert model.controller.view(model.now).inventory.override(0).origin.who == "client 0"


def test_opposite_changes_in_one_batch_cost_no_line() -> None:
    model = make_model()
    model.run(5 * S)
    before = model.reply
    for state in (DRAIN, READY, MAINT, READY):
        model.operate(Change(0, state=state))
    model.run(2 * S)
    assert model.reply == before and model.controller.applied([0])


def test_reductions_of_a_flapping_server_are_sent_at_doubling_intervals() -> None:
    model = make_model()
    first = model.now
    for turn in range(200):
        model.operate(Change(0, state=(DRAIN, READY)[turn % 2]))
        model.run(S // 10)
    # Gaps of 0.5, 1, 2, 4 and then 8 s: at most seven reductions in 20 s instead of a hundred.
    assert model.now - first >= 19 * S and model.controller.batcher.flips[0].count <= 7
    model.run(10 * S)
    assert model.shut == set() and module_entry(model, 0).phase == api.Phase.READY


def test_after_a_calm_period_a_change_is_sent_without_delay_again() -> None:
    model = make_model()
    for state in (DRAIN, READY, DRAIN):
        model.operate(Change(0, state=state))
        model.run(batching.FLIP_RESET_NS + S)
    model.operate(Change(0, state=READY))
    model.run(S // 2)
    assert model.shut == set()


def test_a_flapping_server_is_restored_without_delay() -> None:
    model = make_model()
    for turn in range(60):
        model.operate(Change(0, state=(DRAIN, READY)[turn % 2]))
        model.run(S // 3)
    model.operate(Change(0, state=DRAIN))
    while model.shut != {0}:
        model.run(S // 10)
    # A further drain would be delayed.
    assert model.controller.batcher.flips[0].earliest() > model.now + 5 * S
    model.operate(Change(0, state=READY))
    model.run(2 * batching.MAX_BATCH_DELAY_NS)
    assert model.shut == set()


def test_commands_that_take_the_last_warm_server_of_a_zone_or_of_all_are_refused() -> None:
    model = make_model(4)
    assert isinstance(model.operate(Change(0, state=DRAIN)), Accepted)
    assert model.operate(Change(2, state=DRAIN)) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    assert model.operate(Change(2, weight=Weight(0.0, False))) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    assert model.operate(Change(2, health=Health.DOWN)) == Refused(Reason.ZONE_WITHOUT_WARM, 2, 0)
    # The changes of a command are checked together: checked one by one these would pass, and one server
    # may replace another within a command.
    assert model.operate(Change(1, state=MAINT), Change(3, state=MAINT), Change(2, state=MAINT)) == Refused(
        Reason.GROUP_WITHOUT_WARM, 1, 1
    )
    assert isinstance(model.operate(Change(0, state=READY), Change(2, state=DRAIN)), Accepted)
    assert model.controller.commands == 2


def test_a_cold_server_does_not_replace_a_warm_one() -> None:
    model = make_model(4)
    model.tell(list_update(2, api.Phase.READY, 0, model.now))
    refused = model.operate(Change(0, state=DRAIN))
    assert refused == Refused(Reason.ZONE_WITHOUT_WARM, 0, 0)
    model.run(model.terms.cold + S)
    assert isinstance(model.operate(Change(0, state=DRAIN)), Accepted)


@pytest.mark.parametrize("phase", [api.Phase.DRAINING, api.Phase.GONE])
@pytest.mark.parametrize("soft", [False, True])
def test_drained_servers_are_lent_after_the_last_other_is_lost_until_others_stay(
    phase: api.Phase, soft: bool
) -> None:
    model = make_model(4, only_draining_binds=soft)
    for server, state in ((0, MAINT), (1, DRAIN)):
        assert isinstance(model.operate(Change(server, state=state)), Accepted)
    model.run(2 * S)
    assert model.shut == {0, 1}
    model.tell(list_update(2, phase, 0), list_update(3, phase, 1))
    # The server of the milder override is lent, at once; that of the stricter one only if there is no other.
    assert set(model.controller.inventory.lent) == {1} and module_entry(model, 1).phase == api.Phase.READY
    model.run(4 * S)
    assert 1 not in model.shut and 0 in model.shut
    model.tell(list_update(3, api.Phase.READY, 1))
    model.run(S)
    assert 1 not in model.shut  # The list may be flapping.
    model.run(LENT_RETURN_DELAY_NS + S)
    assert 1 in model.shut and not model.controller.inventory.lent
    kinds = [record.kind for record in model.controller.audit_log.records]
    assert kinds == ["command", "command", "lent", "returned"]


def test_servers_in_maintenance_or_of_weight_0_are_lent_if_no_other_is_left() -> None:
    model = make_model(2, zones=1)
    model.operate(Change(0, state=MAINT))
    model.run(S)
    model.tell(list_update(1, api.Phase.DRAINING))
    model.run(2 * S)
    assert model.shut == {1} and module_entry(model, 0).phase == api.Phase.READY
    second = make_model(2, zones=1)
    second.operate(Change(0, weight=Weight(0.0, False)))
    second.run(S)
    second.tell(list_update(1, api.Phase.DRAINING))
    assert module_entry(second, 0).weight == entry(0).weight


def test_the_stricter_of_list_and_operator_prevails() -> None:
    model = make_model()
    model.tell(list_update(0, api.Phase.DRAINING))
    model.operate(Change(0, state=READY))
    model.run(2 * S)
    assert model.shut == {0}  # An operator does not end the list's drain.
    model.operate(Change(2, state=DRAIN))
    model.run(S)
    model.tell(list_update(2, api.Phase.READY))  # Nor does the list end the operator's.
    model.tell(api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8))))
    model.run(2 * S)
    assert model.shut == {2}
    model.tell(api.Listed(True, False, tuple(entry(i, i % 2) for i in range(8) if i != 2)))
    model.run(2 * S)
    assert model.shut == {2}


@pytest.mark.parametrize("soft", [False, True])
def test_a_drained_server_that_restarts_stays_out_and_is_cold_once_ready(soft: bool) -> None:
    model = make_model(only_draining_binds=soft)
    model.operate(Change(0, state=DRAIN))
    model.run(2 * S)
    model.tell(list_update(0, api.Phase.GONE))
    model.run(2 * S)
    model.tell(list_update(0, api.Phase.READY, 0, model.now))
    model.run(S)
    assert model.shut == {0}
    model.operate(Change(0, state=READY), Change(0, weight=Weight(256.0, False)))
    for _ in range(8):
        # The model's own check of cold servers uses the entry sent, capped at the listed weight.
        model.run(S)
        age = model.now - model.true[0].since
        part = model.terms.cold_share + (1 - model.terms.cold_share) * age / model.terms.cold
        for table in model.tables.values():
            assert table.get(0, 0.0) <= part * model.true[0].weight + 0.051
    model.run(model.terms.cold + 3 * S)
    assert module_entry(model, 0).weight == 256.0
    assert max(table.get(0, 0.0) for table in model.tables.values()) == 256.0


def test_a_drain_applies_to_a_server_whose_removal_by_the_list_is_doubted() -> None:
    model = make_model(only_draining_binds=True)
    model.run(2 * S, *[api.ServerReport(0, i, 20, 0, 50_000_000, S, ()) for i in range(8)])
    model.tell(list_update(0, api.Phase.GONE))
    model.run(S, *[api.ServerReport(0, i, 20, 0, 50_000_000, S, ()) for i in range(8)])
    assert (
        model.module.servers[0].doubted and 0 not in model.shut
    )  # The list dropped it, and it still serves.
    model.operate(Change(0, state=DRAIN))
    model.run(2 * S)
    assert model.shut == {0} and not model.module.servers[0].doubted


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
def test_a_refused_command_changes_nothing(changes: list[Change], reason: Reason) -> None:
    model = make_model()
    inventory = model.controller.inventory
    outcome = model.operate(*changes)
    assert isinstance(outcome, Refused) and outcome.reason is reason
    assert model.controller.inventory is inventory and model.controller.next_at(model.now) is None
    assert model.controller.audit_log.errors[-1].kind == "refused"


def test_weights_are_relative_or_absolute_and_can_be_reset() -> None:
    model = make_model()
    for weight, due in ((Weight(0.5, True), 0.5 * entry(2).weight), (Weight(7.5, False), 7.5)):
        model.operate(Change(2, weight=weight))
        model.run(2 * S)
        assert module_entry(model, 2).weight == due
        assert {table[2] for table in model.tables.values() if 2 in table} == {due}
        assert model.controller.applied([2])
    model.operate(Change(2, as_listed=True))
    model.run(2 * S)
    assert module_entry(model, 2) == model.true[2]


def test_a_weight_after_0_is_applied_only_once_a_line_exists_again() -> None:
    model = make_model(message_limit=3)
    model.run(20 * S)
    model.operate(Change(2, weight=Weight(0.0, False)))
    model.run(S)
    assert model.controller.applied([2]) and not any(table.get(2) for table in model.tables.values())
    for server in (0, 1, 4):  # These use up the messages for ordinary updates.
        model.operate(Change(server, state=DRAIN))
        model.run(3 * S // 2)
    model.operate(Change(2, weight=Weight(0.5, True)))
    model.run(S)
    assert model.controller.view(model.now).stage(2) is Stage.TOLD
    model.run(20 * S)
    assert model.controller.applied([2]) and any(table.get(2) for table in model.tables.values())


def test_stages_follow_what_is_sent_ordered_answered_and_applied() -> None:
    model = make_model(lines_per_s=20.0)
    model.run(30 * S)
    model.away = True
    model.operate(Change(0, state=DRAIN))

    def stage() -> Stage | None:
        return model.controller.view(model.now).stage(0)

    assert stage() is Stage.GATHERED
    model.run(S // 5)
    assert stage() is Stage.ORDERED and not model.controller.applied([0])
    model.away = False
    model.controller.settled(model.reply)
    assert stage() is Stage.CARRIED
    model.run(3 * S)
    assert stage() is None and model.controller.applied([0])
    assert model.controller.drained([0], model.now)
    model.run(S, api.ServerReport(0, 0, 3, 0, 50_000_000, S, ()))
    assert not model.controller.drained([0], model.now)  # Proxies still report attempts.
    model.run(4 * S)
    assert model.controller.drained([0], model.now) and not model.controller.drained([2], model.now)


def test_a_change_that_waits_for_the_message_limit_shows_as_told() -> None:
    model = make_model(message_limit=5)  # Drains may use all five, other updates four.
    model.run(20 * S)
    for server in (0, 1, 4, 5, 6):
        model.operate(Change(server, state=DRAIN))
        model.run(3 * S // 2)
    model.operate(Change(2, weight=Weight(0.5, True)))
    model.run(S)
    view = model.controller.view(model.now)
    assert view.stage(2) is Stage.TOLD
    model.run(20 * S)
    assert model.controller.applied([0, 1, 2, 4, 5, 6])


def test_the_number_of_pending_changes_is_bounded() -> None:
    model = OperatedModel(make_terms(zones=1), [entry(i, 0) for i in range(3)])
    model.controller.pending = model.controller.pending.update(
        {at + 10: PendingChange(0) for at in range(MAX_PENDING_CHANGES)}
    )
    assert model.operate(Change(0, state=DRAIN)) == Refused(Reason.TOO_MANY_WAIT)


def test_flush_sends_accepted_changes_and_later_commands_are_refused() -> None:
    model = make_model()
    model.operate(Change(0, state=DRAIN))
    event = model.controller.flush(model.now)
    assert event is not None and [one.server for one in event.entries] == [0]
    assert model.operate(Change(1, state=DRAIN)) == Refused(Reason.STOPPING)


def test_a_view_does_not_change_while_changes_go_on() -> None:
    model = make_model()
    view = model.controller.view(model.now)
    before = {server: view.inventory.override(server) for server in view.inventory.listed}
    lines = dict(view.data_plane.tables.items())
    model.operate(Change(0, state=DRAIN), Change(1, weight=Weight(0.5, True)))
    model.run(3 * S)
    assert {server: view.inventory.override(server) for server in view.inventory.listed} == before
    assert dict(view.data_plane.tables.items()) == lines
    assert model.controller.view(model.now).inventory.override(0).state is DRAIN


def test_a_token_repeats_the_answer_to_the_same_command_only() -> None:
    audit_log = AuditLog()
    assert audit_log.earlier_answer("a", "x") is None
    audit_log.remember_answer("a", "x", "no")
    assert audit_log.earlier_answer("a", "x") == "no"
    with pytest.raises(TokenReused):
        audit_log.earlier_answer("a", "y")
    for number in range(5000):
        audit_log.remember_answer(f"t{number}", "x", "")
    assert len(audit_log.answers) == 4096 and audit_log.earlier_answer("t0", "x") is None


@pytest.mark.parametrize(
    "make", [lambda s: Change(s, state=DRAIN), lambda s: Change(s, weight=Weight(0.5, True))]
)
def test_a_thousand_changes_cost_only_the_lines_of_the_last_ones(make: Callable[[int], Change]) -> None:
    model = make_model(40, message_limit=0)
    model.run(5 * S)
    rng, wanted = random.Random(3), dict[int, bool]()
    model.ordered.clear()
    for at in range(1000):  # Within a second, while the module goes on stepping.
        server = rng.randrange(30)
        wanted[server] = rng.random() < 0.5
        model.operate(make(server) if wanted[server] else Change(server, state=READY, as_listed=True))
        model.run(S // 1000)
        if not at % 5:
            model.tell()
    changed = {server for server, out in wanted.items() if out}
    model.run(10 * S)
    lines = sum(
        isinstance(order, api.Withdraw) or (isinstance(order, api.SetWeight) and bool(order.weight))
        for order in model.ordered
    )
    assert lines == len(changed)
    assert model.controller.applied(range(30))

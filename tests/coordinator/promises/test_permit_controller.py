"""The permit controller step by step: each case sets the members' reports and checks the commands."""

from datetime import UTC, datetime

import pytest

from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.permits import MemberReports, SteeringReport
from ambershift.coordinator.maintenance.types import (
    Agreement,
    Declared,
    Phase,
    Refusal,
    Standing,
    Tenant,
    Trouble,
    Window,
    Work,
)
from ambershift.coordinator.promises.codec import Outcome, decode_outcome, encode_command
from ambershift.coordinator.promises.commands import Command, Declare, Grant, Move
from ambershift.coordinator.promises.permit_controller import PermitController
from ambershift.coordinator.promises.state import EMPTY
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.types import Entry

S = 1_000_000_000
M = 60 * S
OPENS = int(datetime(2026, 12, 2, 1, 0, tzinfo=UTC).timestamp()) * S
LIMITS = Limits(
    clock_bound_ns=S,
    drain_ns=M,
    warmup_ns=15 * S,
    report_timeout_ns=30 * S,
    retry_delay_ns=30 * M,
    return_timeout_ns=5 * M,
)
FOUR = {name: Standing(name, "z", 1.0, None, 0) for name in "abcd"}
AGREED = Agreement(2.0, 1, 0, ())


class Leader:
    """A leader from time `at` on, with a window of one hour that opens at OPENS."""

    def __init__(
        self,
        at: int,
        agreement: Agreement = AGREED,
        takes: int = 5 * M,
        before: int = OPENS + 30 * 3600 * S,
        length: int = 60 * M,
        at_once: int = 0,
    ) -> None:
        tenant = Tenant(
            "t", (), (), (), agreement, (Window("w", "FREQ=DAILY", "2026-12-01T01:00:00", length, "UTC"),)
        )
        self.declared = Declared(1, (tenant,), (Work("k", tuple("abc"), takes, before, at_once),))
        self.machine, self.state, self.number = GroupStateMachine(), EMPTY, 0
        self.at, self.controller, self.servers = at, PermitController(LIMITS), dict(FOUR)
        self.steering = {"n1": SteeringReport(5, 0, 0), "n2": SteeringReport(5, 0, 0)}
        self.drained, self.let_in = set[str](), set[str]()
        self.put(Declare(self.declared))

    def put(self, command: Command) -> Outcome:
        self.number += 1
        self.state, answer = self.machine.apply(
            self.state, Entry(1, self.number, self.at, "", encode_command(command))
        )
        return decode_outcome(answer)

    def look(self, later: int = 0) -> list[Command]:
        self.at += later
        ids = list(self.state.permits)
        return self.controller.next_commands(
            self.at,
            self.at,
            self.state,
            self.servers,
            MemberReports(
                ("n1", "n2"),
                self.steering,
                {one: self.drained for one in ids},
                {one: self.let_in for one in ids},
            ),
        )

    def go(self, later: int = 0) -> list[Command]:
        found = self.look(later)
        for command in found:
            assert self.put(command).done
        return found

    @property
    def phases(self) -> dict[str, str]:
        return {held.permit.server: held.permit.phase.name.lower() for held in self.state.permits.values()}

    @property
    def bound(self) -> set[str]:
        return {row.reason for row in self.controller.rows(self.state, self.at) if row.reason}


def test_one_server_passes_all_phases_before_the_next_is_granted() -> None:
    leader = Leader(OPENS + 2 * S)
    assert leader.go() and leader.phases == {"a": "draining"} and not leader.look(2 * S)
    leader.drained = {"n1"}
    assert not leader.go(2 * S)  # The other has not drained it yet.
    leader.drained = {"n1", "n2"}
    (move,) = leader.go(6 * S)
    assert move == Move(2, "k/a/1", Phase.OUT, leader.at + 5 * M)
    assert not leader.go(5 * M - S) and leader.go(S) and leader.phases == {"a": "returning"}
    assert not leader.go(S)
    leader.let_in = {"n1", "n2"}
    assert not leader.go(S)  # It looks healthy only because no request has reached it yet.
    leader.servers["a"] = Standing("a", "z", 1.0, Trouble.COLD, leader.at + 15 * S)
    assert not leader.go(14 * S)  # It is in service but cold, and counts as out: no other server is granted.
    leader.servers["a"] = FOUR["a"]
    assert leader.go(S) and not leader.phases and leader.state.history["k", "a"].done
    assert leader.go(S) and leader.phases == {"b": "draining"}


@pytest.mark.parametrize(
    ("at", "granted"),
    [
        (-10 * S, 0),
        (S // 2, 0),
        (2 * S, 1),
        (53 * M, 1),
        (53 * M + 41 * S, 1),
        (53 * M + 43 * S, 0),
        (61 * M, 0),
    ],
)
def test_a_wave_is_granted_only_if_drain_work_and_warm_up_fit_the_window(at: int, granted: int) -> None:
    """The window is an hour: 1 min drain, 5 min work, 15 s warm-up, and three clock bounds of 1 s."""
    assert len(Leader(OPENS + at).look()) == granted


@pytest.mark.parametrize(
    ("agreement", "servers", "reason"),
    [
        (Agreement(3.5, 9, 0, ()), {}, "capacity"),
        (Agreement(2.0, 1, 0, ()), {"d": Trouble.ILL}, "out-most"),
        (Agreement(2.0, 1, 0, ()), {"d": Trouble.CUT}, "out-most"),
        (Agreement(2.0, 1, 0, ()), {"d": Trouble.UNKNOWN}, "out-most"),
        (Agreement(2.0, 1, 0, ()), {"d": Trouble.WISHED_OUT}, "out-most"),
        (Agreement(2.0, 1, 0, ()), {"d": Trouble.LISTED_OUT}, ""),
        (Agreement(3.0, 1, 0, ()), {"d": Trouble.LISTED_OUT}, "capacity"),
        (Agreement(2.0, 1, 0, ("2026-12-02", "2026-12-03")), {}, "closed-day"),
    ],
)
def test_no_wave_violates_an_agreement(
    agreement: Agreement, servers: dict[str, Trouble], reason: str
) -> None:
    leader = Leader(OPENS + M, agreement)
    for name, trouble in servers.items():
        leader.servers[name] = Standing(name, "z", 1.0, trouble, 0)
    assert bool(leader.look()) == (reason == "")
    assert not reason or reason in leader.bound


def test_cold_and_interfered_servers_do_not_count_as_full_capacity() -> None:
    leader = Leader(OPENS + M, Agreement(3.0, 2, 0, ()))
    leader.servers["d"] = Standing("d", "z", 1.0, Trouble.COLD, leader.at + 10 * S)
    assert not leader.look()
    leader.servers["d"] = Standing("d", "z", 1.0, None, 0, 0.1)
    assert not leader.look(2 * S)
    leader.servers = dict(FOUR)
    assert leader.look(2 * S)


def test_the_most_interfered_goes_first_and_drains_keep_their_minimum_interval() -> None:
    leader = Leader(OPENS + M, Agreement(1.0, 3, 10 * M, ()))
    leader.servers["b"] = Standing("b", "z", 1.0, None, 0, 0.3)
    leader.go()
    assert leader.phases == {"b": "draining"}
    leader.drained = {"n1", "n2"}
    leader.go(S)  # The interval starts here, when the leader sees the grant committed.
    assert not any(isinstance(one, Grant) for _ in range(60) for one in leader.go(10 * S))
    assert not leader.phases
    leader.go(3 * S)
    assert leader.phases == {"a": "draining"}


def test_a_drain_counts_from_its_commit_as_seen_and_for_a_new_leader_from_its_start() -> None:
    leader = Leader(OPENS + M, Agreement(1.0, 3, 10 * M, ()))
    leader.look()  # So that it isn't new at its next decision.
    (grant,) = leader.look(4 * S)
    granted = leader.at
    leader.at += 9 * S
    assert (
        leader.put(grant).done and not leader.look()
    )  # The grant was committed nine seconds after the decision.
    leader.drained = leader.let_in = {"n1", "n2"}
    while leader.at < granted + 10 * M + 9 * S:
        assert not any(isinstance(one, Grant) for one in leader.go(S))
    while leader.at < granted + 10 * M + 13 * S:
        leader.go(S)
    assert list(leader.phases) == ["b"]
    leader.controller, began = PermitController(LIMITS), leader.at + 5 * S
    leader.go(5 * S)
    while leader.at < began + 10 * M + S:
        assert not any(isinstance(one, Grant) for one in leader.go(S))
    leader.go(2 * S)
    assert "c" in leader.phases


def test_a_slow_drain_is_extended_while_it_fits_and_at_most_four_times_as_long() -> None:
    leader = Leader(OPENS + 2 * S)
    leader.go()
    ends = leader.state.permits["k/a/1"].permit.ends
    leader.drained = {"n2"}
    renewed = [at for at in range(40) if leader.go(10 * S) and leader.phases == {"a": "draining"}]
    assert renewed and leader.state.history["k", "a"].tries == 1
    assert ends + 3 * M <= leader.state.permits["k/a/1"].permit.ends <= ends + 4 * M
    assert leader.phases == {"a": "returning"}  # After four times the expected time of a drain.
    for drained in (set[str](), {"n1", "n2"}):  # Neither if the work would end after the window.
        late = Leader(OPENS + 53 * M + 40 * S)
        assert late.go() and not late.go(59 * S)
        late.drained = drained
        assert late.go(6 * S) and late.phases == {"a": "returning"}


def test_a_silent_member_need_not_drain_but_the_permit_stays_until_it_has_ended_by_its_clock() -> None:
    leader = Leader(OPENS + 2 * S)
    leader.controller = PermitController(LIMITS._replace(warmup_ns=0))
    leader.go()
    leader.drained, leader.let_in = {"n1"}, {"n1"}
    leader.steering["n2"] = SteeringReport(5, 0, 29 * S)
    assert not leader.go(5 * S)
    leader.steering["n2"] = SteeringReport(5, 0, 31 * S)
    assert leader.go(2 * S) and leader.phases == {"a": "out"}
    held = leader.state.permits["k/a/1"]
    assert leader.go(held.permit.ends - leader.at) and leader.phases == {"a": "returning"}
    assert not leader.go(held.latest_end + S - leader.at)  # The silent member may still keep it out.
    assert leader.go(S) and not leader.phases


def test_a_permit_with_a_sooner_end_stays_until_its_latest_end_if_a_member_may_not_know() -> None:
    leader = Leader(OPENS + 2 * S)
    leader.controller = PermitController(LIMITS._replace(warmup_ns=0))
    leader.go()
    first = leader.state.permits["k/a/1"].permit.ends
    leader.drained, leader.let_in = {"n1", "n2"}, {"n1"}
    leader.go(S)
    assert leader.state.permits["k/a/1"].permit.ends == first - 59 * S
    assert leader.go(5 * M) and not leader.go(60 * S)
    assert leader.go(S) and not leader.phases and leader.at == first + 2 * S


def test_the_permit_of_a_server_that_does_not_come_back_is_closed_and_it_counts_as_ill() -> None:
    leader = Leader(OPENS + 2 * S, Agreement(2.0, 1, 0, ()))
    leader.go()
    leader.drained = leader.let_in = {"n1", "n2"}
    leader.go(S)
    leader.servers["a"] = Standing("a", "z", 1.0, Trouble.ILL, 0)
    leader.go(5 * M)
    assert leader.phases == {"a": "returning"} and not leader.go(5 * M)
    assert leader.go(20 * S) and not leader.phases
    assert not leader.go(2 * S) and "out-most" in leader.bound


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.OUT])
def test_a_server_that_leaves_the_list_counts_as_out_until_its_permit_ends(phase: Phase) -> None:
    leader = Leader(OPENS + 2 * S)
    leader.go()
    if phase is Phase.OUT:
        leader.drained = {"n1", "n2"}
        leader.go(S)
    del leader.servers["a"]
    leader.servers["new"] = Standing("new", "z", 1.0, None, 0)
    assert not any(isinstance(one, Grant) for _ in range(5) for one in leader.go(2 * S))
    leader.drained = leader.let_in = {"n1", "n2"}
    for _ in range(400):
        leader.go(3 * S)
        assert len(leader.phases) <= 1
    assert leader.state.history["k", "a"].done and leader.state.history["k", "b"].done
    assert "no-such-server" not in leader.bound  # Its work is done, so it isn't planned again.


def test_a_failure_aborts_only_the_drain_that_restores_the_most_capacity() -> None:
    leader = Leader(OPENS + 2 * S, Agreement(2.0, 3, 0, ()))
    leader.servers["b"] = Standing("b", "z", 1.5, None, 0)
    leader.go()
    assert leader.phases == {"a": "draining", "b": "draining"}
    leader.servers["d"] = Standing("d", "z", 1.0, Trouble.ILL, 0)
    (move,) = leader.go(S)
    assert isinstance(move, Move) and move.permit == "k/b/1" and move.phase is Phase.RETURNING
    leader.let_in = {"n1", "n2"}
    for _ in range(20):
        leader.go(2 * S)
    assert leader.phases == {"a": "draining"} and leader.state.history["k", "b"] == (1, False, OPENS + 2 * S)
    # A new leader without reports about servers aborts nothing and grants nothing.
    leader.controller = PermitController(LIMITS)
    leader.servers = {
        name: Standing(name, "z", 1.0, Trouble.UNKNOWN if name != "a" else None, 0) for name in "abcd"
    }
    assert not leader.go(2 * S)
    leader.servers = dict(FOUR)
    for _ in range(120):
        leader.go(10 * S)  # It is tried again, but not within the retry delay of half an hour.
    assert leader.state.history["k", "b"].tries == 1
    leader.controller = PermitController(LIMITS)
    for _ in range(120):
        leader.go(10 * S)
    assert leader.state.history["k", "b"].tries == 2


def test_servers_of_a_work_that_is_no_longer_declared_return() -> None:
    leader = Leader(OPENS + 2 * S)
    leader.go()
    leader.drained = leader.let_in = {"n1", "n2"}
    leader.go(S)
    assert leader.put(Declare(Declared(2, leader.declared.tenants, ()))).done
    assert leader.go(S) and leader.phases == {"a": "returning"}
    assert leader.go(S) and not leader.phases and not len(leader.state.history) and not leader.go(S)


def test_a_lost_command_is_sent_again_and_a_leader_with_a_skewed_clock_sends_none() -> None:
    leader = Leader(OPENS + 2 * S)
    (first,) = leader.look()
    assert not leader.look(2 * S)
    (again,) = leader.look(2 * S)
    assert leader.put(first).done and leader.put(again).reason == Refusal.CHANGED_MEANWHILE
    leader.steering["n2"] = SteeringReport(5, 9 * S, 0)
    leader.drained = {"n1", "n2"}
    assert not leader.look(9 * M) and leader.bound == {"clock-apart"}
    leader.steering["n3"] = SteeringReport(0, 0, 0)  # With a third member this clock is the median.
    assert leader.look(S)


def test_an_operators_wish_ends_the_wait_for_a_server_to_warm_up() -> None:
    leader = Leader(OPENS + 2 * S)
    leader.go()
    leader.drained = leader.let_in = {"n1", "n2"}
    leader.go(S)
    leader.servers["a"] = Standing("a", "z", 1.0, Trouble.WISHED_OUT, 0)
    assert not leader.go(M) and leader.phases == {"a": "out"}  # The permit is kept beside the wish.
    leader.go(4 * M)
    assert leader.go(S) and not leader.phases
    assert not leader.go(2 * S)  # It counts as out because of the operator.

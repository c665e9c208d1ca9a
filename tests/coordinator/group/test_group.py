"""A group's committed state at the controller, the leader's validation, clock skew, settings, processes."""

import asyncio
import random
import shutil
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from ambershift import interface as api
from ambershift.coordinator.admin.types import (
    NO_ORIGIN,
    Change,
    Health,
    Origin,
    Reason,
    ServerOverride,
    State,
    Weight,
)
from ambershift.coordinator.group.clock_skew import SAMPLE_LIFETIME_NS, ClockSkew
from ambershift.coordinator.group.command_validator import CommandValidator
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.gossip import LET_IN, NEITHER, Gossip
from ambershift.coordinator.group.group_commands import GroupCommands
from ambershift.coordinator.group.standings import GroupObservations, standings
from ambershift.coordinator.maintenance.types import Declared, Permit, Phase, Trouble, Work
from ambershift.coordinator.promises.codec import (
    Outcome,
    decode_outcome,
    encode_command,
    encode_outcome,
    refused,
)
from ambershift.coordinator.promises.commands import (
    Answered,
    Command,
    Declare,
    Grant,
    Move,
    Wishes,
    WishOne,
)
from ambershift.coordinator.promises.state import EMPTY, OpenPermit
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.promises.uncommitted_ends import UncommittedEnd, uncommitted_ends
from ambershift.coordinator.replication.types import Answer, Entry
from ambershift.coordinator.replication.types import Reason as Why
from ambershift.coordinator.settings.model import read_text
from ambershift.coordinator.settings.tree import SettingsError
from ambershift.coordinator.standins.processes import Member as Process
from ambershift.coordinator.standins.rig import Rig
from ambershift.coordinator.standins.world import until
from ambershift.id_index import IdIndex
from tests.support.operator_model import OperatedModel, some_changes
from tests.support.policy_model import S, entry, make_terms

READY, DRAIN, MAINT = State.READY, State.DRAIN, State.MAINT


class SimulatedMember(OperatedModel):
    """A coordinator of a group in virtual time; `state` is the committed state."""

    def __init__(self, count: int = 6, zones: int = 2, ahead: int = 0, **terms: Any) -> None:
        self.door, self.state, self.number, self.answers = IdIndex[str](), EMPTY, 0, list[bytes]()
        super().__init__(make_terms(zones=zones, **terms), [])
        self.desk_applier = DeskApplier(self.controller, self.door, lambda: self.now, ahead, lambda: None)
        self.validator = CommandValidator(
            self.controller,
            self.door,
            lambda: self.now,
            lambda one: one.reason.value,
            lambda: self.clock_skewed,
        )
        self.machine, self.clock_skewed, self.ahead = GroupStateMachine(self.validator), False, ahead
        self.tell(*[api.Joined(proxy, proxy % zones, 5.0, True) for proxy in range(2 * zones)])
        self.list_servers(range(count))

    def list_servers(self, servers: Any, phase: api.Phase = api.Phase.READY, since: int = 0) -> None:
        event = api.Listed(
            False, False, tuple(entry(self.door.index(f"s{one}"), one % 2, phase, since) for one in servers)
        )
        self.desk_applier.prepare_list(event)
        self.tell(event)

    def validate(self, command: Command) -> bytes | None:
        return self.machine.validate(self.state, self.now + self.ahead, encode_command(command))

    def apply(self, command: Command) -> Outcome:
        """Apply a committed command, as `Member` does."""
        self.number += 1
        entry_ = Entry(1, self.number, self.now + self.ahead, "", encode_command(command))
        self.state, answer = self.machine.apply(self.state, entry_)
        outcome = decode_outcome(answer)
        if outcome.done and outcome.changed:
            if isinstance(command, Wishes):
                self.desk_applier.apply_wishes(self.state, outcome.changed, [(command.who, command.text)])
            else:
                self.desk_applier.apply_permits(self.state)
        return outcome

    def wish(self, *changes: tuple[int, dict[str, Any]], who: str = "op") -> Wishes:
        return Wishes(who, f"{changes}", tuple(WishOne(f"s{at}", **what) for at, what in changes))

    def shut_out_orders(self) -> list[int]:
        """Return the server of each order that shuts one out, repeated ones too."""
        return [one.server for one in self.ordered if isinstance(one, api.Withdraw) and one.out]

    def settle(self, turns: int = 8) -> None:
        for _ in range(turns):
            self.run(S)


def out(*servers: int, state: State = MAINT) -> tuple[tuple[int, dict[str, Any]], ...]:
    return tuple((one, {"state": int(state)}) for one in servers)


def permit(member: SimulatedMember, server: int, ends: int) -> Permit:
    at = member.now + member.ahead
    return Permit(f"w/s{server}/1", "w", f"s{server}", Phase.DRAINING, at, ends, (), 1.0)


def declare(*servers: int) -> Declare:
    return Declare(Declared(1, (), (Work("w", tuple(f"s{one}" for one in servers), S, 1 << 62, 0),)))


def test_committed_wishes_act_at_the_desk_once() -> None:
    member = SimulatedMember()
    member.apply(member.wish(*out(0)))
    member.settle()
    assert member.shut_out_orders() == [0]
    # The same by another operator, and by an equivalent command; then a snapshot with nothing new.
    for again in (member.wish(*out(0), who="other"), member.wish(*out(0), (0, {"health": 0}))):
        member.apply(again)
    member.desk_applier.apply_snapshot(member.state)
    member.settle()
    assert member.shut_out_orders() == [0] and member.controller.commands == 1
    # The same wish with another origin, as after it was withdrawn and set again while this member was away.
    again = member.state.wish("s0")._replace(origin=Origin("z", 7, 7))
    member.desk_applier.apply_snapshot(member.state._replace(wishes=member.state.wishes.insert("s0", again)))
    assert (
        not member.controller.pending and member.controller.inventory.operator_override(0).origin.who == "z"
    )
    member.desk_applier.apply_snapshot(
        EMPTY._replace(
            wishes=member.state.wishes.insert("s2", ServerOverride(DRAIN, Health.UP, None, Origin("x", 1, 2)))
        )
    )
    member.settle()
    assert member.shut_out_orders() == [0, 2]
    member.desk_applier.apply_snapshot(EMPTY)  # A wish that a snapshot lacks is withdrawn.
    member.settle()
    assert not member.shut and member.controller.inventory.override(0).state is READY


@pytest.mark.parametrize("seed", range(12))
def test_members_with_different_lists_reach_the_same_wishes(seed: int) -> None:
    """Generated histories: lists come late and in parts, a member restarts; the last wishes apply at all."""
    rng = random.Random(seed)
    members = [SimulatedMember(count=6) for _ in range(2)]
    fresh = SimulatedMember(count=0)
    for _ in range(30):
        changes = some_changes(rng, 8)
        command = Wishes(
            "op",
            "x",
            tuple(
                WishOne(
                    f"s{one.server}",
                    None if one.state is None else int(one.state),
                    None if one.health is None else int(one.health),
                    None if one.weight is None else (one.weight.figure, one.weight.relative),
                    one.as_listed,
                )
                for one in changes
            ),
        )
        if members[0].validate(command) is None:
            for member in members:
                member.apply(command)
        for member in members:
            if rng.random() < 0.2:
                member.list_servers([rng.randrange(8)], rng.choice(list(api.Phase)[:2]))
            member.run(S)
    fresh.state = members[0].state
    fresh.desk_applier.apply_snapshot(fresh.state)
    for member in (*members, fresh):
        member.list_servers(range(8))
        member.settle(20)
    for member in (*members, fresh):
        assert member.controller.pending.keys() <= set(), member.controller.pending
        for one in range(8):
            index = member.door.lookup(f"s{one}")
            assert index is not None
            assert member.controller.inventory.operator_override(index)._replace(
                origin=NO_ORIGIN
            ) == member.state.wish(f"s{one}")._replace(origin=NO_ORIGIN), one
            assert (index in member.shut) == (
                member.controller.inventory.override(index).out
                and index not in member.controller.inventory.lent
            ), one


def test_wishes_for_unlisted_servers_apply_before_the_server_is_listed() -> None:
    member = SimulatedMember(count=4)
    member.apply(member.wish(*out(4), (5, {"weight": (0.5, True)})))
    assert not member.controller.pending
    member.list_servers([4, 5])
    member.settle()
    four, five = member.door.lookup("s4"), member.door.lookup("s5")
    assert member.controller.sent_entries[four].phase == api.Phase.DRAINING  # type: ignore[index]
    assert member.controller.sent_entries[five].weight == pytest.approx(0.5 * entry(5, 1).weight)  # type: ignore[index]
    assert not any(
        isinstance(one, api.SetWeight) and one.server == four and one.weight for one in member.ordered
    ), "it had a weight before it was shut out"
    # A server that is forgotten and listed again has another index, and the same wish.
    member.list_servers([4], api.Phase.GONE)
    member.door.forget(four)  # type: ignore[arg-type]
    member.list_servers([4])
    assert member.controller.inventory.override(member.door.lookup("s4")).state is MAINT  # type: ignore[arg-type]


def test_the_leader_refuses_to_drain_the_last_two_servers_of_a_zone() -> None:
    """Two operators drain one each at two members: the leader checks against its log, committed or not."""
    leader = SimulatedMember(count=4)  # Of zone 0: s0 and s2.
    first, second = leader.wish(*out(0)), leader.wish(*out(2))
    assert leader.validate(first) is None and leader.validate(second) is None
    committed, log = (
        leader.state,
        leader.machine.apply(leader.state, Entry(1, 1, 1, "", encode_command(first)))[0],
    )
    assert leader.controller.inventory.operator_override(0).state is READY and committed is EMPTY
    answer = leader.machine.validate(log, leader.now, encode_command(second))
    assert answer is not None and Reason.ZONE_WITHOUT_WARM.value.encode() in answer
    # A server that the log enables again, committed or not, counts again.
    leader.apply(first)
    back = leader.machine.apply(
        leader.state, Entry(1, 9, 1, "", encode_command(leader.wish(*out(0, state=READY))))
    )[0]
    assert leader.validate(second) is not None
    assert leader.machine.validate(back, leader.now, encode_command(second)) is None
    leader.desk_applier.apply_snapshot(EMPTY)
    # The same for a permit in the log, which counts until it is closed, whatever this clock shows.
    leader.state = EMPTY
    leader.apply(declare(0, 2))
    leader.apply(Grant(leader.state.last_permit_entry, (permit(leader, 0, leader.now + S),)))
    leader.settle()
    assert (
        not leader.shut and not leader.controller.inventory.held_out
    )  # By its own clock the permit has ended.
    assert leader.validate(second) is not None
    grant = leader.validate(Grant(leader.state.last_permit_entry, (permit(leader, 2, leader.now + S),)))
    assert grant is not None and b"zone-without-warm" in grant
    leader.apply(Move(leader.state.last_permit_entry, "w/s0/1", Phase.RETURNING, 0))
    assert leader.validate(second) is None
    # A server that its list lacks isn't checked; refusals by its list alone have a reason too.
    assert leader.validate(leader.wish(*out(77))) is None
    assert leader.validate(leader.wish((1, {"weight": (0.0, False)}), (3, {"health": 2}))) is not None


def test_a_leader_with_a_skewed_clock_grants_no_permit() -> None:
    leader = SimulatedMember(count=8)
    leader.apply(declare(0, 1))
    grant = Grant(leader.state.last_permit_entry, (permit(leader, 0, leader.now + S),))
    assert leader.validate(grant) is None
    leader.clock_skewed = True
    answer = leader.validate(grant)
    assert answer is not None and b"clock-apart" in answer


@pytest.mark.parametrize("ahead", [0, 3 * S, -3 * S])
def test_the_stricter_of_a_permit_and_a_wish_applies_until_the_permit_ends(ahead: int) -> None:
    """The permit ends by the member's own clock."""
    member = SimulatedMember(count=8, ahead=ahead)
    member.apply(declare(0, 1, 2))
    ends = member.now + ahead + 20 * S
    member.apply(Grant(member.state.last_permit_entry, (permit(member, 0, ends), permit(member, 1, ends))))
    member.apply(member.wish(*out(1, state=DRAIN)))
    member.settle(4)
    assert member.shut >= {0, 1} and member.controller.inventory.override(1).state is MAINT
    assert member.controller.inventory.operator_override(1).state is DRAIN
    # A wish that enables a server doesn't override the permit, and one that disables it outlives the permit.
    member.apply(member.wish(*out(0, state=READY)))
    member.settle(2)
    assert 0 in member.shut and member.desk_applier.is_held_out("s0")
    while member.now + ahead < ends:
        assert 0 in member.shut and member.controller.next_at(member.now) is not None
        member.run(S)
    member.settle(3)
    assert 0 not in member.shut and 1 in member.shut and not member.desk_applier.is_held_out("s0")
    assert member.shut_out_orders().count(0) == 1


def test_returned_permits_let_servers_in_and_a_skewed_clock_disables_permits() -> None:
    member = SimulatedMember(count=8)
    member.apply(declare(0, 1, 2, 4))
    ends = member.now + 600 * S
    member.apply(
        Grant(member.state.last_permit_entry, tuple(permit(member, one, ends) for one in (0, 2, 4, 1)))
    )
    member.settle()
    assert member.shut == {0, 2, 4, 1} and member.desk_applier.is_drained("s0")
    for server, phase in ((0, Phase.RETURNING), (2, Phase.CLOSED), (4, Phase.OUT)):
        member.apply(Move(member.state.last_permit_entry, f"w/s{server}/1", phase, ends))
    member.settle()
    assert (
        member.shut == {4, 1}
        and not member.desk_applier.is_held_out("s0")
        and not member.desk_applier.is_drained("s0")
    )
    member.desk_applier.enable_permits(False)
    member.settle()
    assert not member.shut and not member.desk_applier.is_drained("s4")
    member.desk_applier.enable_permits(True)
    member.settle()
    assert member.shut == {4, 1}


def test_uncommitted_ends_of_permits_apply_until_the_state_has_them() -> None:
    """After a restart the state has a permit, and uncommitted entries end it sooner or return it."""
    moves = [
        Move(2, "work/0/1", Phase.OUT, 5 * S),
        Move(2, "work/1/1", Phase.DRAINING, 99 * S),
        Move(3, "work/1/1", Phase.RETURNING, 99 * S),
        Move(2, "work/2/1", Phase.OUT, 7 * S),
    ]
    log = [Entry(1, number, 0, "", encode_command(one)) for number, one in enumerate(moves, 3)]
    found = uncommitted_ends(log, 5)
    assert found == {"work/2/1": UncommittedEnd(6, 7 * S)}
    found = uncommitted_ends(log, 2)
    assert found == {
        "work/0/1": UncommittedEnd(3, 5 * S),
        "work/1/1": UncommittedEnd(5, 0),
        "work/2/1": UncommittedEnd(6, 7 * S),
    }
    member = SimulatedMember()
    member.apply(declare(0, 1, 2))
    assert member.apply(Grant(1, tuple(permit(member, at, member.now + 30 * S) for at in (0, 1, 2)))).done
    names = {held.permit.server: held.permit.id for held in member.state.permits.values()}
    member.desk_applier.uncommitted_ends = {
        names["s0"]: UncommittedEnd(3, 0),
        names["s1"]: UncommittedEnd(4, member.now + 5 * S),
        names["s2"]: UncommittedEnd(5, member.now + 40 * S),
    }
    kept = {member.door.ids[server]: ends for server, ends in member.desk_applier.permit_deadlines().items()}
    assert kept == {"s1": member.now + 5 * S, "s2": member.now + 30 * S}
    member.desk_applier.entries_committed(
        3
    )  # Another entry was committed under that number: the state still has the permit.
    assert {member.door.ids[server] for server in member.desk_applier.permit_deadlines()} == {
        "s0",
        "s1",
        "s2",
    }
    assert member.desk_applier.permit_deadlines() == member.controller.permits


@pytest.mark.parametrize(("durable", "word"), [(6, NEITHER), (7, LET_IN)])
def test_let_in_is_published_only_once_a_restart_cannot_undo_it(durable: int, word: bytes) -> None:
    member = SimulatedMember()
    returning = msgspec.structs.replace(permit(member, 0, member.now + S), phase=Phase.RETURNING)
    gossip = Gossip.__new__(Gossip)
    gossip.member = SimpleNamespace(
        desk_applier=member.desk_applier,  # type: ignore[assignment]
        replica=SimpleNamespace(durable=durable),
    )
    assert gossip.permit_progress(OpenPermit(returning, 7, True, returning.ends)) == word


def test_a_proxy_keeps_a_server_in_spite_of_committed_wishes() -> None:
    """Committed wishes apply at a member whose list lost all other servers; it lends some back there."""
    member = SimulatedMember(count=4)
    member.apply(declare(0))
    member.apply(Grant(member.state.last_permit_entry, (permit(member, 0, member.now + 600 * S),)))
    member.apply(member.wish(*out(1)))
    member.settle()
    member.list_servers([2, 3], api.Phase.GONE)
    member.run(S)
    assert member.controller.inventory.lent and not member.ready() <= member.shut
    lent = set(member.controller.inventory.lent)
    assert lent == {0, 1}  # Both are under maintenance, so neither is preferred.
    member.list_servers([2, 3])
    member.settle(10)
    assert not member.controller.inventory.lent and member.shut >= {0, 1}


def test_an_eased_server_has_its_weight_reduced_and_restored() -> None:
    member = SimulatedMember(count=6)
    member.apply(member.wish((2, {"weight": (0.5, True)}), *out(4)))
    member.desk_applier.ease({"s0": 0.8, "s2": 0.8, "s4": 0.8, "gone": 0.5})
    member.settle()

    def parts() -> list[float]:
        return [member.controller.sent_entries[one].weight / entry(one, one % 2).weight for one in (0, 1, 2)]

    assert parts() == pytest.approx([0.8, 1.0, 0.4])
    assert 4 in member.shut
    told = len(member.ordered)
    member.desk_applier.ease({"s0": 0.8, "s2": 0.8, "s4": 0.8})
    member.settle()
    assert not [one for one in member.ordered[told:] if isinstance(one, api.SetWeight)]
    member.desk_applier.ease({})
    member.settle()
    assert parts() == pytest.approx([1.0, 1.0, 0.5])


def test_standings_of_servers_for_maintenance() -> None:
    member = SimulatedMember(count=8, cold=60 * S)
    member.apply(declare(0))
    member.apply(Grant(member.state.last_permit_entry, (permit(member, 0, member.now + 600 * S),)))
    member.apply(member.wish(*out(1), (2, {"weight": (0.5, True)})))
    member.settle()
    member.list_servers([3], api.Phase.DRAINING)
    member.list_servers([9], since=member.now - S)
    member.tell(*[api.ServerReport(0, 4, 40, 40, 0, S, ()) for _ in range(3)])
    member.settle(3)
    found = standings(
        member.controller,
        member.door,
        str,
        member.now,
        GroupObservations(
            failing=lambda one: one == "s5",
            failing_for_some=lambda one: one == "s1",
            interfered=lambda one: 0.25 * (one == "s6"),
        ),
    )
    told = {name: one.trouble for name, one in found.items()}
    assert told["s0"] is None and told["s1"] is Trouble.WISHED_OUT and told["s3"] is Trouble.LISTED_OUT
    assert told["s5"] is Trouble.ILL and told["s9"] is Trouble.COLD and told["s6"] is None
    assert found["s2"].weight == pytest.approx(0.5 * entry(2, 0).weight) and found["s6"].interfered == 0.25
    assert found["s9"].warm_at > member.now and not found["s0"].warm_at
    assert (told["s4"] is Trouble.ILL) == (4 in member.shut)


def test_clock_skew_is_measured_from_the_median() -> None:
    skew, now = ClockSkew(S), 100 * S
    assert not skew.exceeds_bound(now)  # Without other members there is no skew.
    skew.add_sample(now, 50 * S, "b", 53 * S, 0)
    skew.add_sample(now, 50 * S, "c", 45 * S, 8 * S)  # Delayed on the way, and 3 s ahead by its age.
    assert skew.offset(now, "c") == 3 * S and skew.exceeds_bound(now)
    skew.add_sample(now, 50 * S, "d", 50 * S, 0)
    skew.add_sample(now, 50 * S, "e", 50 * S, 0)
    assert not skew.exceeds_bound(now)  # Two others are off now.
    # A delayed sample makes a clock look behind; the least delayed one counts.
    skew.add_sample(now + S, 51 * S, "d", 40 * S, 0)
    assert skew.offset(now + S, "d") == 0
    assert (
        not skew.exceeds_bound(now + 2 * SAMPLE_LIFETIME_NS)
        and skew.offset(now + 2 * SAMPLE_LIFETIME_NS, "b") == 0
    )


# The runtime API


class FakeMember:
    """A member that gives prepared answers, and records the commands."""

    def __init__(self, *answers: Answer) -> None:
        self.answers, self.submitted = iter(answers), list[tuple[str, Command]]()
        self.halted: tuple[str, str] | None = None
        self.state = EMPTY

    async def submit(self, token: str, command: Command, wait: int) -> Answer:
        self.submitted.append((token, command))
        return next(self.answers)


def committed(outcome: Outcome) -> Answer:
    return Answer(1, None, encode_outcome(outcome), 0)


def failed(reason: Why, retry: int = 0) -> Answer:
    return Answer(1, reason, b"", retry)


BARE = refused(Reason.ZONE_WITHOUT_WARM, "no warm one")
ANSWERS: list[tuple[str, list[Answer], str, int]] = [
    ("", [committed(Outcome(True))], "Done.", 1),
    ("T", [committed(Outcome(True))], "Done.", 1),
    ("", [failed(Why.NO_MAJORITY, 3 * S)], "Refused (no-majority)|come back in 3 s", 1),
    ("T", [failed(Why.OUTCOME_UNKNOWN)], "Unknown (outcome-unknown)|ask again with 'once T'", 1),
    ("", [failed(Why.OUTCOME_UNKNOWN)], "Unknown (outcome-unknown)|ask again with 'once own-", 1),
    ("T", [failed(Why.TOKEN_REUSED)], "Refused (token-reused)", 1),
    ("", [failed(Why.TOO_MANY_WAIT, S)], "Refused (too-many-promises-wait)|come back in 1 s", 1),
    ("", [failed(Why.STOPPING)], "Refused (stopping)", 1),
    ("", [failed(Why.TOO_LARGE)], "Refused (too-large)", 1),
    ("", [committed(BARE)], "Refused (zone-without-warm-server): no warm one.", 1),
    # Under a token the refusal is committed, and what is committed under that token first is the answer.
    ("T", [committed(BARE), committed(BARE)], "Refused (zone-without-warm-server): no warm one.", 2),
    ("T", [committed(BARE), committed(Outcome(True))], "Done.", 2),
    ("T", [committed(BARE), failed(Why.OUTCOME_UNKNOWN)], "Unknown (outcome-unknown)", 2),
]


@pytest.mark.parametrize(("token", "answers", "words", "asked"), ANSWERS)
def test_answers_tell_the_outcome(token: str, answers: list[Answer], words: str, asked: int) -> None:
    member = FakeMember(*answers)
    commands = GroupCommands(member, lambda one: f"s{one}")  # type: ignore[arg-type]
    change = Change(0, state=MAINT, weight=Weight(0.5, True))
    answer = asyncio.run(commands.promise("op", token, "the text", [change], S))
    text = "\n".join(answer.lines)
    assert all(part in text for part in words.split("|")), text
    assert len(member.submitted) == asked and len({one for one, _ in member.submitted}) == 1
    assert member.submitted[0][1] == Wishes("op", "the text", (WishOne("s0", 2, None, (0.5, True)),))
    if asked == 2:
        assert member.submitted[1] == (token, Answered("the text", BARE.reason, BARE.text))
        machine = GroupStateMachine()
        assert machine.digest(encode_command(member.submitted[0][1])) == machine.digest(
            encode_command(member.submitted[1][1])
        )


def test_a_committed_refusal_is_not_validated_itself() -> None:
    machine = GroupStateMachine(lambda state, at, command: BARE)
    told = encode_command(Answered("x", BARE.reason, BARE.text))
    assert machine.validate(EMPTY, 0, told) is None
    state, answer = machine.apply(EMPTY, Entry(1, 1, 0, "T", told))
    assert state is EMPTY and answer == encode_outcome(BARE)


# Settings

GROUP = """group {
  name = "g"
  me = "a"
  listen = "127.0.0.1:7101"
%s  member "a" { address = "127.0.0.1:7101" }
  member "b" { address = "127.0.0.1:7102" }
  member "c" { address = "127.0.0.1:7103"
  %s }
}
"""
BAD = [
    ('  folder = "relative"\n', "", 5, "group.folder"),
    ('  clock_bound = "soon"\n', "", 5, "group.clock_bound"),
    ('  clock_ahead = "+2s"\n', "", 5, "group.clock_ahead"),
    ("", "votes = false", 1, "group.member"),
    ('  member "b" { address = "127.0.0.1:7109" }\n', "", 7, "group.member[2]"),
    ('  member "d" { address = "127.0.0.1:7102" }\n', "", 7, "group.member[2].address"),
    ('  member "d" { address = "10.0.0.1:1" }\n', "", 5, "group.member[0].address"),
    ('  member "d" { address = "127.0.0.1" }\n', "", 5, "group.member[0].address"),
    ('  member "d d" { address = "127.0.0.1:4" }\n', "", 5, "group.member[0]"),
    ("  votes = true\n", "", 5, "group.votes"),
    ("", "vote = true", 8, "group.member[2].vote"),
]


@pytest.mark.parametrize(
    ("more", "inner", "line", "key"), BAD, ids=[one[3] + str(at) for at, one in enumerate(BAD)]
)
def test_a_bad_group_setting_names_file_line_and_key(more: str, inner: str, line: int, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_text(GROUP % (more, inner), "f.hcl")
    assert (caught.value.line, caught.value.key) == (line, key) and str(caught.value).startswith("f.hcl:")


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('me = "a"', 'me = "z"', "group.me"),
        ('127.0.0.1:7101"\n', '0.0.0.0:7101"\n', "group.listen"),
        ('name = "g"', 'name = "g g"', "group.name"),
        ('listen = "127.0.0.1:7101"', "", "group.listen"),
        ("group {", 'runtime {\n tcp "127.0.0.1:7101" {\n }\n}\ngroup {', "group.listen"),
    ],
)
def test_inconsistent_group_settings_are_refused(old: str, new: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_text((GROUP % ("", "")).replace(old, new), "f.hcl")
    assert key == caught.value.key or (caught.value.key, key.rpartition(".")[2]) == ("group", "listen")


def test_a_valid_group_is_read_with_members_sorted_by_name() -> None:
    from ambershift.coordinator.group.spec import spec_of

    root = read_text(
        GROUP
        % (
            '  clock_ahead = "-1500ms"\n  folder = "/x"\n  member "0" {\n address = '
            '"127.0.0.1:1"\n votes = false\n }\n',
            "votes = true",
        ),
        "f",
    )
    spec = spec_of(root.group)  # type: ignore[arg-type]
    assert spec.voters == ("a", "b", "c") and spec.learners == ("0",) and spec.clock_ahead == -1_500_000_000
    assert [peer.name for peer in spec.peers] == ["0", "b", "c"] and spec.clock_bound == S


def test_the_platform_program_imports_no_module_of_a_group() -> None:
    code = (
        "import sys, ambershift.coordinator.program.assembly, ambershift.__main__\n"
        "print([one for one in sys.modules if one.startswith(('ambershift.coordinator.group', "
        "'ambershift.coordinator.promises', 'ambershift.coordinator.replication', "
        "'ambershift.coordinator.maintenance', 'ambershift.coordinator.interference', 'aiohttp',"
        "'ambershift.coordinator.admin', 'ambershift.coordinator.runtime', 'numpy'))])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], check=False, capture_output=True, text=True, timeout=60
    )
    assert found.stdout.strip() == "[]", found


# Three processes


@pytest.fixture
def place(tmp_path: Path) -> Path:
    return tmp_path


def test_three_processes_keep_a_command_when_the_leader_is_lost(place: Path) -> None:
    async def play() -> None:
        async with Rig(place, 3, disk=False) as rig:
            await rig.settled()
            assert (await rig.say("n2", "once T disable server east/s-0")).text == "Done."
            assert (await rig.say("n3", "once T disable server east/s-0")).text == "Done."
            reused = await rig.say("n1", "once T enable server east/s-0")
            assert "token-reused" in reused.text
            bare = [(await rig.say(one, "once U disable server east/*")).text for one in ("n1", "n2")]
            assert bare[0].startswith("Refused (zone-without-warm-server)") and bare[0] == bare[1]
            gone = await rig.leader()
            await rig.kill(gone, wipe=True)
            rest = rig.running()
            assert await rig.leader(rest) in rest
            assert (await rig.say(rest[0], "once T disable server east/s-0")).text == "Done."
            for one in rest:
                rows = await rig.rows(one, "show standing json")
                assert [(row["server"], row["wish"]) for row in rows] == [("east/s-0", "maint")]
            await rig.members[rest[0]].kill()
            alone = await rig.say(rest[1], "enable server east/s-0")
            assert alone.failed and ("outcome-unknown" in alone.text or "no-majority" in alone.text)
            later = await rig.say(rest[1], "enable server east/s-0")
            assert later.text.startswith("Refused (no-majority)") and "come back in" in later.text
            status = await rig.rows(rest[1], "show servers state")
            assert status is not None
            rows = await rig.rows(rest[1], "show group json")
            assert {row["name"]: row["link"] for row in rows if row["name"] in (gone, rest[0])} == {
                gone: "away",
                rest[0]: "away",
            }

    asyncio.run(play())


def test_a_clone_is_logged_and_the_newer_incarnation_stays(place: Path) -> None:
    async def play() -> None:
        async with Rig(place, 3) as rig:
            await rig.settled()
            one = rig.members["n2"]
            listens = {**one.configuration, "listen": f"{rig.host}:7399"}
            clone = Process("n2", place / "clone", listens, one.group.replace(":7101", ":7999"), "", True)
            assert clone.folder
            shutil.copytree(one.keep_copy("copy"), clone.folder)
            await clone.start()
            try:
                await until(lambda: one.logged("group_halted"), 30)
                assert one.logged("group_halted")[0]["reason"] == "superseded"
                rows = {row["name"]: row for row in await rig.rows("n2", "show group json")}
                assert rows["n2"]["state"] == "halted"
                assert "superseded" in (rows["n1"]["link"], rows["n3"]["link"])
                alone = await rig.say("n2", "disable server east/s-0")
                assert alone.text.startswith("Refused (no-majority)") and "(superseded)" in alone.text
                await rig.tell("n1", "disable server east/s-0")  # The other members go on.
            finally:
                await clone.kill()
            await one.kill()
            await one.start()
            await rig.settled()  # Its new incarnation is newer than both.
            rows = await rig.rows("n2", "show standing json")
            assert [row["server"] for row in rows] == ["east/s-0"]

    asyncio.run(play())


def test_a_disk_that_hangs_at_the_start_does_not_block_steering(place: Path) -> None:
    """The log is a FIFO that nobody writes to: opening it never returns."""
    import os

    async def play() -> None:
        folder = place / "n1" / "folder"
        folder.mkdir(parents=True)
        os.mkfifo(folder / "log")
        async with Rig(place, 1) as rig:
            member = rig.members["n1"]
            await until(lambda: member.logged("group_slow_start"), 30)
            await until(lambda: rig.fleet.proxies and all(one.steered for one in rig.fleet.proxies), 30)
            assert (await rig.say("n1", "disable server east/s-0")).text.startswith("Refused (no-majority)")
            assert await member.terminate() == 0

    asyncio.run(play())


def test_without_a_group_its_commands_are_unknown_and_not_listed() -> None:
    from ambershift.coordinator.runtime.execute import Executor
    from ambershift.coordinator.runtime.grammar import Command as ParsedCommand
    from ambershift.coordinator.runtime.session import Level, Session

    for common, known in ((None, False), (object(), True)):
        executor = Executor(SimpleNamespace(common=common))  # type: ignore[arg-type]
        session = Session("x", Level.ADMIN)
        listed = "\n".join(executor.run(session, ParsedCommand(("help",), "help")).lines)  # type: ignore[union-attr]
        assert [f"show {one} " in listed for one in ("group", "maintenance", "interference")] == [known] * 3
        if not known:
            told = executor.run(session, ParsedCommand(("show", "group"), "show group"))
            text = "\n".join(told.lines)  # type: ignore[union-attr]
            assert text.startswith("Unknown command: 'show group'") and "show interference" not in text

"""Replicas over a simulated network, generated histories of faults, and single replicas by their messages."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.coordinator.replication import bootstrap, messages, peers
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.messages import (
    MemberProgress,
    PrepareOk,
    RecoveryResponse,
    StateChunk,
    UnreadableError,
    decode,
    encode,
)
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, MS
from ambershift.coordinator.replication.types import (
    Answer,
    Applied,
    Entry,
    Halt,
    PersistedState,
    Reason,
    Restored,
    Send,
    Status,
    Write,
)
from tests.support.fault_schedules import SMALL_TUNING, run_history
from tests.support.simulated_replicas import SECOND, WALL, CountingMachine, Simulation


def group(voters: int = 3, learners: int = 0, seed: int = 1, disk: bool = False, **more: Any) -> Simulation:
    """A group that has a leader."""
    sim = Simulation(seed, voters, learners, disk, **more)
    for name in sim.hosts:
        sim.start(name)
    sim.run(SECOND)
    assert leader(sim)
    return sim


def leader(sim: Simulation) -> str:
    """The leader of the newest view."""
    leaders = [
        (host.replica.view, name)
        for name, host in sim.hosts.items()
        if host.replica and host.replica.leader == name
    ]
    return max(leaders)[1] if leaders else ""


def follower(sim: Simulation) -> str:
    return next(name for name in sim.voters if name != leader(sim) and sim.hosts[name].replica)


def isolate(sim: Simulation, *names: str) -> None:
    """Cut these members off from all others."""
    pairs = ((sender, to) for sender in sim.hosts for to in sim.hosts)
    sim.cuts = {(sender, to) for sender, to in pairs if (sender in names) != (to in names)}


def submit_many(sim: Simulation, count: int, name: str = "", tag: str = "f") -> None:
    """Commands with tokens of their own, at a member or the leader."""
    for number in range(count):
        sim.submit(name or leader(sim), f"{tag}{number}", b"x" * 20)
    sim.run(SECOND)


def test_acknowledged_commands_survive_a_crash_of_the_leader() -> None:
    for seed in range(10):
        sim = group(seed=seed)
        ticket = sim.submit(leader(sim), "a", b"x")
        while ticket in sim.waiting:
            sim.run(MS)
        crashed = leader(sim)
        sim.crash(crashed)  # Right after its answer, and it has no disk.
        for name in sim.voters:
            sim.read(name)  # Answered once the next leader has committed an entry of its own view.
        began = sim.now
        while not leader(sim):
            sim.run(10 * MS)
        assert sim.now - began < SECOND
        sim.start(crashed)
        sim.settle()
        assert sim.acked["a"] in sim.log and sim.answers["done"] == 6


def test_views_of_crashed_leaders_are_skipped() -> None:
    sim = group(voters=5)
    sim.crash("n2")
    sim.run(SECOND)
    sim.crash("n1")
    sim.run(700 * MS)
    assert leader(sim) == "n3" and sim.notes["group-leaves"] == 3  # No view change to the view of n2.


def test_a_minority_refuses_or_times_out_every_request() -> None:
    sim = group(voters=5)
    old = leader(sim)
    other = follower(sim)
    isolate(sim, old, other)
    tickets = [sim.submit(old, "a", b"x"), sim.submit(other, "b", b"x"), sim.read(old)]
    sim.run(2500 * MS)
    assert not set(tickets) & set(sim.waiting)
    assert sim.answers == {"outcome-unknown": 2, "no-majority": 1}
    # By now the old leader knows that it has no majority: the command can't have been written.
    sim.submit(old, "c", b"x")
    sim.submit(leader(sim), "d", b"x")
    sim.run(2500 * MS)
    assert sim.answers["no-majority"] == 2 and sim.answers["done"] == 1 and "d" in sim.acked
    sim.settle()


def test_a_leader_that_was_paused_serves_no_stale_read() -> None:
    sim = group()
    old = leader(sim)
    sim.pause(old)
    sim.run(2 * SECOND)
    sim.submit(leader(sim), "a", b"x")
    sim.run(SECOND)
    assert "a" in sim.acked
    host = sim.hosts[old]
    host.paused, host.inbox = False, []  # All messages that were sent to it meanwhile are lost.
    ticket = sim.read(old)
    assert ticket in sim.waiting  # It has to be confirmed by the others first.
    sim.run(2 * SECOND)
    assert (
        ticket not in sim.waiting and sim.answers["done"] == 2
    )  # `check_answer` checks that the read is not stale.
    sim.settle()


def test_a_one_way_partition_changes_the_leader_only_if_it_hears_no_majority() -> None:
    sim = group()
    first, unreached = leader(sim), follower(sim)
    sim.cuts = {(first, unreached)}
    sim.run(5 * SECOND)
    assert leader(sim) == first and sim.notes["group-leaves"] == 0
    sim.cuts = {(other, first) for other in sim.hosts}  # It hears nobody, and all others hear it.
    sim.run(3 * SECOND)
    assert leader(sim) != first and sim.notes["group-doubts"] == 1
    sim.settle()


def test_blank_voters_recover_from_a_majority_and_wait_without_one() -> None:
    sim = group(voters=5)
    submit_many(sim, 5)
    two = [name for name in sim.voters if name != leader(sim)][:2]
    for name in two:
        sim.crash(name)
        sim.start(name)
    sim.run(SECOND)
    assert sim.notes["group-recovered"] == 2
    sim.settle()
    for name in sim.voters[:3]:  # A majority at once: they must not form an empty group.
        sim.crash(name)
        sim.start(name)
    sim.run(5 * SECOND)
    assert sim.notes["group-born"] == 5
    assert all(sim.hosts[name].replica.status is Status.BLANK for name in sim.voters[:3])  # type: ignore[union-attr]


def test_a_group_restarts_from_its_folders() -> None:
    for seed in range(5):
        sim = group(seed=seed, disk=True)
        for number in range(20):
            sim.submit(follower(sim), f"a{number}", b"x")
            sim.run(3 * MS)
        for name in sim.voters:
            sim.crash(name)
        for name in sim.voters[:2]:  # One stays down.
            sim.start(name)
        sim.run(3 * SECOND)
        assert leader(sim)
        sim.settle()


def test_lagging_members_get_a_snapshot_in_chunks_and_logs_stay_bounded() -> None:
    for disk in (False, True):
        sim = group(learners=1, disk=disk, tuning=SMALL_TUNING)
        isolate(sim, follower(sim))
        for block in range(10):
            submit_many(sim, 20, tag=f"f{block}.")
        assert len(sim.acked) == 200
        sim.crash("c1")
        sim.hosts["c1"].saved = None
        chunks = sim.sent["StateChunk"]
        sim.settle()
        assert sim.sent["StateChunk"] - chunks > 20
        for host in sim.hosts.values():
            assert (
                host.replica
                and len(host.replica.core.log.entries) <= 3 * SMALL_TUNING.snapshot_interval_entries
            )
            assert len(host.replica.core.tokens.answers) <= SMALL_TUNING.max_tokens


def test_a_repeated_token_is_written_once_and_answered_again() -> None:
    sim = group()
    sim.submit(leader(sim), "a", b"x")
    sim.submit(follower(sim), "a", b"x")
    sim.run(SECOND)
    sim.submit(follower(sim), "a", b"y")
    sim.submit(leader(sim), "", b"bad")
    sim.run(SECOND)
    assert sim.answers == {"done": 3, "token-reused": 1} and list(sim.tokens).count("a") == 1
    isolated = leader(sim)
    isolate(sim, isolated)
    ticket = sim.submit(isolated, "b", b"bad")
    sim.run(2500 * MS)  # It leads no more, so that its refusal is not confirmed.
    assert ticket not in sim.waiting and sim.answers["done"] == 3
    sim.submit(isolated, "big", b"x" * (DEFAULT_TUNING.max_command_bytes + 1))
    assert sim.answers["too-large"] == 1


def test_pending_requests_are_bounded_and_answered_when_the_program_stops() -> None:
    sim = group(tuning=DEFAULT_TUNING._replace(max_pending_requests=4))
    isolate(sim, follower(sim))
    name = next(one for one in sim.voters if (one, leader(sim)) in sim.cuts)
    for number in range(6):
        sim.submit(name, f"a{number}", b"x")
    assert sim.answers == {"too-many-promises-wait": 2}
    sim.carry_out(sim.hosts[name], sim.hosts[name].replica.stop(sim.now))  # type: ignore[union-attr]
    assert sim.answers["outcome-unknown"] == 4 and not sim.waiting


def test_old_folders_superseded_cloned_and_misconfigured_members_halt() -> None:
    sim = group(disk=True)
    submit_many(sim, 3)
    name = follower(sim)
    folder = sim.hosts[name].saved
    submit_many(sim, 3, tag="g")
    sim.crash(name)
    assert folder is not None
    sim.start(name, folder)
    sim.run(2 * SECOND)
    assert sim.hosts[name].halts == [Reason.OLD_FOLDER]
    sim.settle()
    # Another process as the same member, under a newer incarnation and under the same one.
    for more, reason in ((1, Reason.SUPERSEDED), (0, Reason.CLONED)):
        sim = group()
        submit_many(sim, 3)
        name = follower(sim)
        running = sim.hosts[name].replica
        assert running is not None
        other = Replica(
            name,
            sim.voters,
            [],
            CountingMachine(),
            1,
            running.core.incarnation + more,
            None,
            False,
            now=sim.now,
        )
        bootstrap.join_new_group(other.core, sim.now, ())
        effects = list[Any]()
        for one in (other, running):
            row = peers.own_progress(one.core)
            effects += (running if one is other else other).receive(
                sim.now,
                leader(sim),
                messages.Heartbeat(
                    incarnation=sim.hosts[leader(sim)].replica.core.incarnation,  # type: ignore[union-attr]
                    view=0,
                    group="",
                    round=0,
                    last_number=0,
                    committed=0,
                    progress=(row,),
                    voters=tuple(sim.voters),
                ),
            )
        assert [one.reason for one in effects if hasattr(one, "why")] == [reason]
    # A member that is configured with another order of voters.
    sim = Simulation(3, 3)
    sim.start("n1")
    sim.start("n2")
    host = sim.hosts["n3"]
    host.replica = Replica("n3", ["n3", "n2", "n1"], [], CountingMachine(), 1, 1, None, False)
    sim.schedule_tick(host)
    sim.run(SECOND)
    assert host.halts == [Reason.OTHER_MEMBERS] and sim.notes["group-born"] == 0


@pytest.mark.parametrize("caught_up", [False, True])
def test_an_old_folder_that_has_caught_up_is_kept(caught_up: bool) -> None:
    """Set aside, it would be blank beside another voter that lost its state: too few to recover from."""
    old = PersistedState("g", 8, 0, 0, 2, None, tuple(Entry(0, number, 0, "", b"") for number in (1, 2)))
    replica = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, old, True, noop=b"noop")
    row = MemberProgress("n3", 8, 0, 0, 4, 4, "normal")
    if caught_up:
        more = tuple(Entry(0, number, 0, "", b"") for number in (3, 4))
        replica.receive(
            0,
            "n1",
            messages.Prepare(
                incarnation=5,
                view=0,
                group="g",
                previous_number=2,
                previous_view=0,
                committed=4,
                entries=more,
            ),
        )
    replica.receive(
        0,
        "n1",
        messages.Heartbeat(
            incarnation=5,
            view=0,
            group="g",
            round=0,
            last_number=4,
            committed=4,
            progress=(row,),
            voters=("n1", "n2", "n3"),
        ),
    )
    assert replica.status is (Status.NORMAL if caught_up else Status.HALTED)


def test_members_of_different_groups_reject_each_other() -> None:
    sim = group()
    name = follower(sim)
    replica = sim.hosts[name].replica
    assert replica is not None
    replica.core.group = "another"
    sim.run(SECOND)
    sim.heal()
    submit_many(sim, 1)
    assert sim.notes["group-stranger"] >= 1 and replica.committed < len(sim.log)
    for other in sim.voters:
        if other != name:
            bootstrap.reject_foreign_member(replica.core, other, "group")
    assert replica.status is Status.HALTED


def test_freezing_and_thawing_does_not_change_a_run() -> None:
    """Members that are thawed before each call do the same as those that are not."""

    class Thawing(Simulation):
        def call_replica(self, host: Any, start_count: int, call: Any) -> None:
            if host.replica is not None and host.start_count == start_count and not host.paused:
                old = host.replica
                frozen = old.freeze()
                hash(frozen)
                host.replica = Replica.thaw(
                    host.name,
                    self.voters,
                    self.learners,
                    CountingMachine(),
                    self.disk,
                    self.tuning,
                    frozen,
                    noop=b"noop",
                )
                assert host.replica.freeze() == frozen and host.replica.next_tick_at == old.next_tick_at
            super().call_replica(host, start_count, call)

    sims = [
        kind(7, 3, 1, True, SMALL_TUNING, loss_rate=0.05, late_rate=0.02) for kind in (Simulation, Thawing)
    ]
    for sim in sims:
        for name in sim.hosts:
            sim.start(name)
        sim.run(SECOND)
        submit_many(sim, 40, "c1")
        sim.crash("n1")
        submit_many(sim, 40, "n2", tag="g")
        sim.settle()
    assert sims[0].log == sims[1].log and sims[0].sent == sims[1].sent


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_invalid_message_bytes_are_refused(junk: bytes, place: int, value: int) -> None:
    good = encode(
        RecoveryResponse(
            incarnation=1,
            view=2,
            requester_incarnation=3,
            round=4,
            is_normal=True,
            group="g",
            last_number=5,
            incarnations=(("n1", 1),),
            founders=(),
            progress=(),
        )
    )
    flipped = bytearray(good)
    flipped[place % len(good)] = value
    for data in (junk, messages.WIRE_VERSION.to_bytes(1, "big") + junk, good[:place], bytes(flipped)):
        try:
            decode(data)
        except UnreadableError as error:
            assert error.reason in ("unreadable", "other-version")
    assert decode(good).view == 2
    with pytest.raises(UnreadableError, match="too-large"):
        decode(good + bytes(messages.MAX_MESSAGE_BYTES))


def test_invalid_messages_change_nothing() -> None:
    sim = group()
    name, leader_replica = follower(sim), sim.hosts[leader(sim)].replica
    assert leader_replica is not None
    incarnation = sim.hosts[name].replica.core.incarnation  # type: ignore[union-attr]
    before = leader_replica.committed
    for sender, number in ((name, 10**9), ("stranger", 1)):
        leader_replica.receive(
            sim.now,
            sender,
            PrepareOk(
                incarnation=incarnation,
                view=leader_replica.view,
                round=9,
                number=number,
                committed=0,
                status="",
            ),
        )
    leader_replica.receive(
        sim.now,
        name,
        StateChunk(
            incarnation=incarnation,
            view=leader_replica.view,
            group="",
            after=0,
            entries=(),
            last_number=9,
            committed=9,
            snapshot=0,
            offset=0,
            total=0,
            data=b"",
        ),
    )
    row = messages.MemberProgress("stranger", 7, 0, 0, 0, 0, "")
    leader_replica.receive(
        sim.now,
        name,
        messages.SuspectRequest(incarnation=incarnation, view=leader_replica.view, round=1, progress=(row,)),
    )
    assert "stranger" not in {**leader_replica.core.progress, **leader_replica.core.incarnations}
    assert leader_replica.committed == before and leader_replica.status is Status.NORMAL
    sim.settle()


def test_the_write_comes_first_and_commits_wait_for_its_sync() -> None:
    replica = Replica("n1", ["n1"], [], CountingMachine(), 1, 5, None, True, noop=b"noop")
    first = replica.tick(0, WALL)
    assert [type(effect).__name__ for effect in first] == ["Write", "Note", "Note"] and replica.committed == 0
    done = replica.write_synced(MS, 1)
    assert [effect.entry.number for effect in done if isinstance(effect, Applied)] == [1]
    replica.submit(2 * MS, WALL, 1, "a", b"x", SECOND)
    assert replica.committed == 1  # The new entry is not synced yet.
    saved = PersistedState("g", 5, 0, 0, 1, None, tuple(replica.core.log.entries[:1]))
    again = Replica("n1", ["n1"], [], CountingMachine(), 1, 6, saved, True, noop=b"noop")
    assert again.status is Status.VIEW_CHANGE
    assert not [effect for effect in again.tick(0, WALL) if isinstance(effect, Send | Restored)]


def test_a_view_change_is_announced_only_once_the_view_is_synced() -> None:
    """A member that crashes before would else restart in the old view, and help to commit entries there."""
    replica = Replica(
        "n3",
        ["n1", "n2", "n3"],
        [],
        CountingMachine(),
        1,
        5,
        PersistedState("g", 4, 0, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),)),
        True,
        noop=b"noop",
    )
    replica.tick(0, WALL)
    replica.write_synced(0, 1)
    asked = replica.tick(SECOND, WALL)
    number = next(effect.message.round for effect in asked if isinstance(effect, Send))
    message = messages.SuspectResponse(
        incarnation=1, view=0, asked_view=0, round=number, agree=True, progress=()
    )
    effects = replica.receive(SECOND, "n2", message)
    effects += replica.receive(
        SECOND, "n2", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=())
    )
    assert replica.view == 1 and [effect.view for effect in effects if isinstance(effect, Write)] == [1]
    assert not [effect for effect in effects if isinstance(effect, Send)]
    sent = [effect.message for effect in replica.write_synced(SECOND, 2) if isinstance(effect, Send)]
    assert {type(message) for message in sent} == {messages.StartViewChange, messages.DoViewChange}


def test_entries_that_contradict_committed_ones_halt_the_member() -> None:
    sim = group()
    submit_many(sim, 3)
    name = follower(sim)
    replica = sim.hosts[name].replica
    assert replica is not None
    later_leader, view = "n3" if name != "n3" else "n1", 2 if name != "n3" else 3
    incarnation = sim.hosts[later_leader].replica.core.incarnation  # type: ignore[union-attr]
    wrong = (Entry(view, 2, 0, "", b"another"),)
    effects = replica.receive(
        sim.now,
        later_leader,
        messages.Prepare(
            incarnation=incarnation,
            view=view,
            group=replica.group,
            previous_number=1,
            previous_view=0,
            entries=wrong,
            committed=2,
        ),
    )
    assert [effect.reason for effect in effects if isinstance(effect, Halt)] == [Reason.OTHER_GROUP]
    answers = replica.submit(sim.now, WALL, 1, "z", b"x", sim.now + SECOND)
    assert answers == [Answer(1, Reason.OTHER_GROUP, b"", 0)]


def test_a_blank_member_does_not_recover_from_a_member_of_an_old_view() -> None:
    sim = group()
    isolate(sim, "n1")
    sim.run(2 * SECOND)
    submit_many(sim, 3)  # In a later view of n2 and n3.
    sim.crash("n3")
    sim.start("n3")
    isolate(sim, "n2")  # Now n3 hears only n1, which is still in its old view.
    sim.run(3 * SECOND)
    replica = sim.hosts["n3"].replica
    assert len(sim.acked) == 3 and replica and replica.status is Status.BLANK
    sim.settle()


def recovery_response(
    incarnation: int, view: int, normal: bool = True, incarnations: Any = (), number: int = 0
) -> RecoveryResponse:
    return RecoveryResponse(
        incarnation=incarnation,
        view=view,
        requester_incarnation=9,
        round=1,
        is_normal=normal,
        group="g",
        last_number=number,
        incarnations=incarnations,
        founders=(),
        progress=(),
    )


@pytest.mark.parametrize(
    ("answers", "source"),
    [
        ({"n2": recovery_response(2, 1), "n4": recovery_response(4, 1)}, ""),  # Too few.
        ({"n2": recovery_response(2, 1), "n4": recovery_response(4, 0), "n5": recovery_response(5, 1)}, "n2"),
        (
            {
                "n2": recovery_response(2, 1),
                "n4": recovery_response(4, 1, normal=False),
                "n5": recovery_response(5, 0),
            },
            "",
        ),  # n4 is in a view change.
        (
            {"n1": recovery_response(1, 0), "n4": recovery_response(4, 1), "n5": recovery_response(5, 0)},
            "",
        ),  # Without the newest view's leader.
        ({"n1": recovery_response(1, 5), "n2": recovery_response(2, 1), "n4": recovery_response(4, 0)}, "n1"),
        (
            {
                "n2": recovery_response(2, 1),
                "n4": recovery_response(4, 0),
                "n5": recovery_response(5, 1, incarnations=(("n4", 40),)),
            },
            "",
        ),  # n4 has restarted.
        (
            {
                "n4": recovery_response(40, 0),
                "n2": recovery_response(2, 1),
                "n5": recovery_response(5, 1, incarnations=(("n4", 40),)),
            },
            "n2",
        ),
    ],
)
def test_recovery_needs_a_crash_consistent_majority_with_the_newest_leader(
    answers: dict[str, RecoveryResponse], source: str
) -> None:
    replica = Replica(
        "n3", ["n1", "n2", "n3", "n4", "n5"], [], CountingMachine(), 1, 9, None, False, noop=b"noop"
    )
    for name, answer in answers.items():
        replica.receive(0, name, answer)
    task = replica.core.transfer
    assert (task.source if task else "") == source


def test_bootstrap_needs_a_moment_at_which_all_voters_were_blank() -> None:
    replica = Replica("n1", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, None, False, noop=b"noop")
    replica.tick(0, WALL)
    blank = Status.BLANK
    for round_, incarnations, status in (
        (1, (2, 3), blank),
        (2, (2, 4), blank),
        (2, (2, 4), blank),
        (3, (2, 4), Status.NORMAL),
    ):
        for name, incarnation in zip(("n2", "n3"), incarnations, strict=True):
            replica.receive(
                0,
                name,
                messages.BlankResponse(
                    incarnation=incarnation, view=0, requester_incarnation=9, round=round_
                ),
            )
        assert replica.status is status, (round_, incarnations)


def test_no_group_is_formed_with_a_member_that_lost_its_state() -> None:
    single = Replica("n1", ["n1"], [], CountingMachine(), 1, 9, None, True, noop=b"noop", lost_state=True)
    single.tick(0, WALL)
    assert single.status is Status.BLANK
    replica = Replica(
        "n1", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, None, True, noop=b"noop", lost_state=True
    )
    ask = messages.RecoveryRequest(incarnation=2, view=0, round=1, voters=("n1", "n2", "n3"), incarnations=())
    for part in (
        {"lost_state": True},
        {"lost_state": False, "log": Log(3), "committed": 3, "matched_number": 3},
    ):
        # In the second case it has recovered a part of the log, then lost its source.
        for name, value in part.items():
            setattr(replica.core, name, value)
        assert not [effect for effect in replica.receive(0, "n2", ask) if isinstance(effect, Send)], part
        for round_ in (1, 2, 3):
            for name in ("n2", "n3"):
                replica.receive(
                    0,
                    name,
                    messages.BlankResponse(incarnation=2, view=0, requester_incarnation=9, round=round_),
                )
        assert replica.status is Status.BLANK, part
    replica.core.log, replica.core.committed, replica.core.matched_number = Log(), 0, 0
    assert [effect.message.round for effect in replica.receive(0, "n2", ask) if isinstance(effect, Send)] == [
        1
    ]


@pytest.mark.parametrize("disk", [False, True])
def test_a_new_leader_counts_itself_once_synced_and_commits_by_entries_of_its_own_view(disk: bool) -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, tuple(Entry(0, number, 0, "", b"") for number in (1, 2)))
    replica = Replica("n2", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, disk, noop=b"noop")
    replica.core.options = replica.core.options._replace(disk=disk)
    replica.tick(0, WALL)
    replica.receive(0, "n3", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=()))
    replica.receive(
        0,
        "n3",
        messages.DoViewChange(
            incarnation=1, view=1, last_entry_view=0, last_number=1, committed=1, incarnations=(), progress=()
        ),
    )
    assert replica.status is (Status.VIEW_CHANGE if disk else Status.NORMAL)
    while disk and replica.core.synced_ticket < replica.core.last_ticket:
        replica.write_synced(0, replica.core.synced_ticket + 1)
    assert replica.leader == "n2" and replica.core.log.last_number == 3
    for number, committed in ((2, 1), (3, 3)):
        replica.receive(
            0, "n3", PrepareOk(incarnation=1, view=1, round=0, number=number, committed=0, status="")
        )
        assert replica.committed == committed


def test_a_restarted_leader_does_not_lead_its_old_view() -> None:
    saved = PersistedState("g", 4, 1, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    replica = Replica("n2", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    replica.tick(0, WALL)
    replica.write_synced(0, 1)
    replica.receive(0, "n3", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=()))
    replica.receive(
        0,
        "n3",
        messages.DoViewChange(
            incarnation=1, view=1, last_entry_view=0, last_number=1, committed=1, incarnations=(), progress=()
        ),
    )
    assert replica.status is Status.VIEW_CHANGE and replica.core.log.last_number == 1


def test_a_vote_is_given_once_a_majority_is_known_to_have_left_its_view() -> None:
    replica = Replica(
        "n3", ["n1", "n2", "n3", "n4", "n5"], [], CountingMachine(), 1, 5, None, False, noop=b"noop"
    )
    bootstrap.join_new_group(replica.core, 0, ())
    for name, votes in (("n4", 0), ("n4", 0), ("n5", 1)):
        effects = replica.receive(
            0, name, messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=())
        )
        assert [
            effect.to
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, messages.DoViewChange)
        ] == ["n2"] * votes


def test_a_late_copy_of_a_refused_command_is_not_written() -> None:
    class ChangingMachine(CountingMachine):
        refusal = b"refused"

        def validate(self, state: Any, at: int, command: bytes) -> bytes | None:
            return self.refusal or None

    machine = ChangingMachine()
    replica = Replica("n1", ["n1", "n2", "n3"], [], machine, 1, 9, None, False, noop=b"noop")
    form_group(replica)
    for refusal, view, attempt, last_number in (
        (b"refused", 0, 1, 1),
        (b"", 0, 1, 1),
        (b"", 3, 2, 1),
        (b"", 0, 2, 2),
    ):
        machine.refusal = refusal
        replica.receive(
            0,
            "n3",
            messages.CommandRequest(
                incarnation=1, view=view, ticket=1, attempt=attempt, token="t", command=b"x"
            ),
        )
        assert replica.core.log.last_number == last_number


def form_group(replica: Replica) -> None:
    """Make it the leader of a new group, which writes the first entry once a majority follows."""
    bootstrap.join_new_group(replica.core, 0, ())
    for name in replica.core.options.voters[1:]:
        assert replica.core.log.last_number == (
            1 if len(replica.core.acknowledged) + 1 >= replica.core.options.majority else 0
        )
        replica.receive(0, name, PrepareOk(incarnation=1, view=0, round=0, number=0, committed=0, status=""))


def test_a_bootstrap_without_a_first_entry_is_abandoned() -> None:
    for late in ("n1", "n3"):
        sim = Simulation(4, 3)
        for name in sim.voters:
            sim.start(name)
        # The two others answered blank, and restarted before they joined the group.
        replica = sim.hosts[late].replica
        assert replica is not None
        incarnations = {name: 1 for name in sim.voters} | {late: replica.core.incarnation}
        bootstrap.join_new_group(replica.core, sim.now, tuple(incarnations.items()))
        sim.run(5 * SECOND)
        assert leader(sim) and sim.notes["group-unborn"] == 1
        sim.settle()


def test_acknowledgements_of_an_ended_incarnation_do_not_count() -> None:
    names = ("n1", "n2", "n3", "n4", "n5")
    replica = Replica("n1", names, [], CountingMachine(), 1, 9, None, False, noop=b"noop")
    form_group(replica)

    def acknowledge(name: str, incarnation: int) -> int:
        replica.receive(
            0, name, PrepareOk(incarnation=incarnation, view=0, round=0, number=1, committed=0, status="")
        )
        return replica.committed

    assert acknowledge("n3", 1) == 0
    replica.receive(
        0, "n3", messages.RecoveryRequest(incarnation=2, view=0, round=1, voters=names, incarnations=())
    )  # n3 has restarted blank.
    assert [acknowledge("n4", 1), acknowledge("n3", 1), acknowledge("n3", 2)] == [0, 0, 1]


def test_the_most_that_a_member_has_acknowledged_is_kept() -> None:
    core = group().hosts["n1"].replica.core  # type: ignore[union-attr]
    for incarnation, number, kept in ((500, 10, (500, 10)), (501, 3, (500, 10)), (501, 11, (501, 11))):
        peers.learn_member_progress(core, messages.MemberProgress("n3", incarnation, 0, 0, number, 0, ""))
        assert (core.progress["n3"].incarnation, core.progress["n3"].number) == kept


def test_a_follower_acknowledges_nothing_before_its_view_is_synced() -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    replica = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    replica.tick(0, WALL)
    replica.write_synced(0, 1)
    beat = messages.Heartbeat(
        incarnation=1,
        view=1,
        group="g",
        round=3,
        last_number=1,
        committed=1,
        progress=(),
        voters=("n1", "n2", "n3"),
    )
    kinds = [type(effect.message) for effect in replica.receive(0, "n2", beat) if isinstance(effect, Send)]
    assert kinds == [] and replica.view == 1
    sent = [effect.message for effect in replica.write_synced(0, 2) if isinstance(effect, Send)]
    assert [(type(message), message.view, message.number) for message in sent] == [(PrepareOk, 1, 1)]


def test_entries_that_replaced_others_are_acknowledged_after_their_own_sync() -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    replica = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    replica.tick(0, WALL)
    for view, ticket in ((0, 2), (1, 3)):
        entries = tuple(Entry(view, number, 0, "", b"v%d" % view) for number in (2, 3))
        message = messages.Prepare(
            incarnation=1,
            view=view,
            group="g",
            previous_number=1,
            previous_view=0,
            entries=entries,
            committed=1,
        )
        replica.receive(0, f"n{view + 1}", message)
        assert replica.core.last_ticket == ticket
    effects = [
        [effect.message.number for effect in replica.write_synced(0, ticket) if isinstance(effect, Send)]
        for ticket in (2, 3)
    ]
    assert effects == [[], [3]]
    replica.receive(0, "n3", messages.NewerView(incarnation=1, view=9))
    replica.receive(
        0,
        "n1",
        messages.Prepare(
            incarnation=1,
            view=3,
            group="g",
            previous_number=1,
            previous_view=0,
            entries=(Entry(3, 2, 0, "", b"v3"),),
            committed=1,
        ),
    )
    assert replica.core.durable == 1 and replica.core.acknowledgeable_number == -1


@pytest.mark.parametrize("block", range(12))
def test_acknowledged_commands_survive_generated_histories(block: int) -> None:
    for seed in range(4):
        run_history(block * 4 + seed, acts=40)

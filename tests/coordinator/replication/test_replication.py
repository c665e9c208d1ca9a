"""Replicas over a simulated network: generated histories, failures by name, and guards taken out."""

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


def group(voters: int = 3, copies: int = 0, seed: int = 1, disk: bool = False, **more: Any) -> Simulation:
    sim = Simulation(seed, voters, copies, disk, **more)
    for name in sim.hosts:
        sim.start(name)
    sim.run(SECOND)
    assert leader(sim)
    return sim


def leader(sim: Simulation) -> str:
    """Who leads the newest view."""
    found = [
        (host.replica.view, name)
        for name, host in sim.hosts.items()
        if host.replica and host.replica.leader == name
    ]
    return max(found)[1] if found else ""


def follower(sim: Simulation) -> str:
    return next(name for name in sim.voters if name != leader(sim) and sim.hosts[name].replica)


def alone(sim: Simulation, *names: str) -> None:
    pairs = ((one, other) for one in sim.hosts for other in sim.hosts)
    sim.cuts = {(one, other) for one, other in pairs if (one in names) != (other in names)}


def fill(sim: Simulation, count: int, name: str = "", tag: str = "f") -> None:
    for number in range(count):
        sim.submit(name or leader(sim), f"{tag}{number}", b"x" * 20)
    sim.run(SECOND)


def test_a_killed_leader_takes_nothing_acknowledged_with_it() -> None:
    for seed in range(10):
        sim = group(seed=seed)
        ticket = sim.submit(leader(sim), "a", b"x")
        while ticket in sim.waiting:
            sim.run(MS)
        gone = leader(sim)
        sim.crash(gone)  # In the moment of its answer, and it has no disk.
        for name in sim.voters:
            sim.read(name)  # The next leader knows what is committed only once something of its own is.
        began = sim.now
        while not leader(sim):
            sim.run(10 * MS)
        assert sim.now - began < SECOND
        sim.start(gone)
        sim.settle()
        assert sim.acked["a"] in sim.log and sim.answers["done"] == 6


def test_the_next_leader_is_one_that_is_there() -> None:
    sim = group(voters=5)
    sim.crash("n2")
    sim.run(SECOND)
    sim.crash("n1")
    sim.run(700 * MS)
    assert leader(sim) == "n3" and sim.notes["group-leaves"] == 3  # None for the view that n2 would lead.


def test_a_minority_answers_nothing_and_says_when_to_come_back() -> None:
    sim = group(voters=5)
    old = leader(sim)
    other = follower(sim)
    alone(sim, old, other)
    told = [sim.submit(old, "a", b"x"), sim.submit(other, "b", b"x"), sim.read(old)]
    sim.run(2500 * MS)
    assert not set(told) & set(sim.waiting)  # Nobody waits for ever.
    assert sim.answers == {"outcome-unknown": 2, "no-majority": 1}
    # Later it knows that it is alone: nothing of this can be written.
    sim.submit(old, "c", b"x")
    sim.submit(leader(sim), "d", b"x")
    sim.run(2500 * MS)
    assert sim.answers["no-majority"] == 2 and sim.answers["done"] == 1 and "d" in sim.acked
    sim.settle()


def test_a_member_that_was_stopped_answers_nothing_stale() -> None:
    sim = group()
    old = leader(sim)
    sim.pause(old)
    sim.run(2 * SECOND)
    sim.submit(leader(sim), "a", b"x")
    sim.run(SECOND)
    assert "a" in sim.acked
    host = sim.hosts[old]
    host.paused, host.inbox = False, []  # All that was sent to it meanwhile is lost.
    ticket = sim.read(old)
    assert ticket in sim.waiting  # It asks first.
    sim.run(2 * SECOND)
    assert ticket not in sim.waiting and sim.answers["done"] == 2  # Checked against its floor.
    sim.settle()


def test_cut_one_way_the_leader_stays_where_a_majority_hears_it() -> None:
    sim = group()
    first, deaf = leader(sim), follower(sim)
    sim.cuts = {(first, deaf)}
    sim.run(5 * SECOND)
    assert leader(sim) == first and sim.notes["group-leaves"] == 0
    sim.cuts = {(other, first) for other in sim.hosts}  # It hears nobody, and all hear it.
    sim.run(3 * SECOND)
    assert leader(sim) != first and sim.notes["group-doubts"] == 1
    sim.settle()


def test_blank_ones_recover_and_lose_nothing_while_too_many_of_them_wait() -> None:
    sim = group(voters=5)
    fill(sim, 5)
    two = [name for name in sim.voters if name != leader(sim)][:2]
    for name in two:
        sim.crash(name)
        sim.start(name)
    sim.run(SECOND)
    assert sim.notes["group-recovered"] == 2
    sim.settle()
    for name in sim.voters[:3]:  # A majority at once: no one may claim that all is empty.
        sim.crash(name)
        sim.start(name)
    sim.run(5 * SECOND)
    assert sim.notes["group-born"] == 5
    assert all(sim.hosts[name].replica.status is Status.BLANK for name in sim.voters[:3])  # type: ignore[union-attr]


def test_all_restart_from_their_folders_at_once() -> None:
    for seed in range(5):
        sim = group(seed=seed, disk=True)
        for number in range(20):
            sim.submit(follower(sim), f"a{number}", b"x")
            sim.run(3 * MS)
        for name in sim.voters:
            sim.crash(name)
        for name in sim.voters[:2]:  # One stays away.
            sim.start(name)
        sim.run(3 * SECOND)
        assert leader(sim)
        sim.settle()


def test_laggards_get_pieces_of_a_snapshot_and_logs_stay_bounded() -> None:
    for disk in (False, True):
        sim = group(copies=1, disk=disk, tuning=SMALL_TUNING)
        late = follower(sim)
        alone(sim, late)
        for block in range(10):
            fill(sim, 20, tag=f"f{block}.")
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


def test_a_token_writes_once_and_answers_again() -> None:
    sim = group()
    sim.submit(leader(sim), "a", b"x")
    sim.submit(follower(sim), "a", b"x")
    sim.run(SECOND)
    sim.submit(follower(sim), "a", b"y")
    sim.submit(leader(sim), "", b"bad")
    sim.run(SECOND)
    assert sim.answers == {"done": 3, "token-reused": 1} and list(sim.tokens).count("a") == 1
    lonely = leader(sim)
    alone(sim, lonely)
    ticket = sim.submit(lonely, "b", b"bad")
    sim.run(2500 * MS)  # It is no leader any more, and refuses nothing as one.
    assert ticket not in sim.waiting and sim.answers["done"] == 3
    sim.submit(lonely, "big", b"x" * (DEFAULT_TUNING.max_command_bytes + 1))
    assert sim.answers["too-large"] == 1


def test_what_waits_is_bounded_and_ends_with_the_program() -> None:
    sim = group(tuning=DEFAULT_TUNING._replace(max_pending_requests=4))
    alone(sim, follower(sim))
    name = next(one for one in sim.voters if (one, leader(sim)) in sim.cuts)
    for number in range(6):
        sim.submit(name, f"a{number}", b"x")
    assert sim.answers == {"too-many-promises-wait": 2}
    sim.do(sim.hosts[name], sim.hosts[name].replica.stop(sim.now))  # type: ignore[union-attr]
    assert sim.answers["outcome-unknown"] == 4 and not sim.waiting


def test_members_that_are_not_what_they_seem_halt_by_name() -> None:
    sim = group(disk=True)
    fill(sim, 3)
    name = follower(sim)
    folder = sim.hosts[name].saved
    fill(sim, 3, tag="g")
    sim.crash(name)
    assert folder is not None
    sim.start(name, folder)
    sim.run(2 * SECOND)
    assert sim.hosts[name].halts == [Reason.OLD_FOLDER]
    sim.settle()
    # The same name under a newer incarnation, and under the same one in another process.
    for more, reason in ((1, Reason.SUPERSEDED), (0, Reason.CLONED)):
        sim = group()
        fill(sim, 3)
        name = follower(sim)
        held = sim.hosts[name].replica
        assert held is not None
        other = Replica(
            name, sim.voters, [], CountingMachine(), 1, held.core.incarnation + more, None, False, now=sim.now
        )
        bootstrap.join_new_group(other.core, sim.now, ())
        found = list[Any]()
        for one in (other, held):
            row = peers.own_progress(one.core)
            found += (held if one is other else other).receive(
                sim.now,
                leader(sim),
                messages.Heartbeat(
                    incarnation=sim.hosts[leader(sim)].replica.core.incarnation,
                    view=0,
                    group="",  # type: ignore[union-attr]
                    round=0,
                    last_number=0,
                    committed=0,
                    progress=(row,),
                    voters=tuple(sim.voters),
                ),
            )
        assert [one.reason for one in found if hasattr(one, "why")] == [reason]
    # A member with another idea of who votes, and one of another group.
    sim = Simulation(3, 3)
    sim.start("n1")
    sim.start("n2")
    host = sim.hosts["n3"]
    host.replica = Replica("n3", ["n3", "n2", "n1"], [], CountingMachine(), 1, 1, None, False)
    sim.wake(host)
    sim.run(SECOND)
    assert host.halts == [Reason.OTHER_MEMBERS] and sim.notes["group-born"] == 0


@pytest.mark.parametrize("caught_up", [False, True])
def test_an_old_folder_that_has_caught_up_is_as_good_as_a_new_one(caught_up: bool) -> None:
    """Set aside then, it would be blank beside another voter that lost its memory meanwhile."""
    old = PersistedState("g", 8, 0, 0, 2, None, tuple(Entry(0, number, 0, "", b"") for number in (1, 2)))
    one = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, old, True, noop=b"noop")
    row = MemberProgress("n3", 8, 0, 0, 4, 4, "normal")
    if caught_up:
        more = tuple(Entry(0, number, 0, "", b"") for number in (3, 4))
        one.receive(
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
    one.receive(
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
    assert one.status is (Status.NORMAL if caught_up else Status.HALTED)


def test_members_of_two_groups_that_meet_refuse_each_other() -> None:
    sim = group()
    name = follower(sim)
    one = sim.hosts[name].replica
    assert one is not None
    one.core.group = "another"
    sim.run(SECOND)
    sim.heal()
    fill(sim, 1)
    assert sim.notes["group-stranger"] >= 1 and one.committed < len(sim.log)
    for other in sim.voters:
        if other != name:
            bootstrap.reject_foreign_member(one.core, other, "group")
    assert one.status is Status.HALTED


def test_a_frozen_replica_goes_on_as_the_same() -> None:
    """Thawed before each call, a member does what it would have done."""

    class Thawing(Simulation):
        def feed(self, host: Any, life: int, call: Any) -> None:
            if host.replica is not None and host.life == life and not host.paused:
                old = host.replica
                frozen = old.freeze()
                hash(frozen)
                host.replica = Replica.thaw(
                    host.name,
                    self.voters,
                    self.copies,
                    CountingMachine(),
                    self.disk,
                    self.tuning,
                    frozen,
                    noop=b"noop",
                )
                assert host.replica.freeze() == frozen and host.replica.next_tick_at == old.next_tick_at
            super().feed(host, life, call)

    sims = [kind(7, 3, 1, True, SMALL_TUNING, lose=0.05, late=0.02) for kind in (Simulation, Thawing)]
    for sim in sims:
        for name in sim.hosts:
            sim.start(name)
        sim.run(SECOND)
        fill(sim, 40, "c1")
        sim.crash("n1")
        fill(sim, 40, "n2", tag="g")
        sim.settle()
    assert sims[0].log == sims[1].log and sims[0].sent == sims[1].sent


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_bytes_that_are_no_message_are_refused(junk: bytes, place: int, value: int) -> None:
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


def test_messages_that_no_member_of_ours_sends_do_no_harm() -> None:
    sim = group()
    name, head = follower(sim), sim.hosts[leader(sim)].replica
    assert head is not None
    life = sim.hosts[name].replica.core.incarnation  # type: ignore[union-attr]
    before = head.committed
    for sender, number in ((name, 10**9), ("stranger", 1)):
        head.receive(
            sim.now,
            sender,
            PrepareOk(incarnation=life, view=head.view, round=9, number=number, committed=0, status=""),
        )
    head.receive(
        sim.now,
        name,
        StateChunk(
            incarnation=life,
            view=head.view,
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
    head.receive(
        sim.now, name, messages.SuspectRequest(incarnation=life, view=head.view, round=1, progress=(row,))
    )
    assert "stranger" not in {**head.core.progress, **head.core.incarnations}
    assert head.committed == before and head.status is Status.NORMAL
    sim.settle()


def test_effects_keep_their_order_and_what_vouches_waits_for_the_disk() -> None:
    one = Replica("n1", ["n1"], [], CountingMachine(), 1, 5, None, True, noop=b"noop")
    first = one.tick(0, WALL)
    assert [type(effect).__name__ for effect in first] == ["Write", "Note", "Note"] and one.committed == 0
    done = one.write_synced(MS, 1)
    assert [effect.entry.number for effect in done if isinstance(effect, Applied)] == [1]
    one.submit(2 * MS, WALL, 1, "a", b"x", SECOND)
    assert one.committed == 1  # Not before its own write is synced.
    saved = PersistedState("g", 5, 0, 0, 1, None, tuple(one.core.log.entries[:1]))
    again = Replica("n1", ["n1"], [], CountingMachine(), 1, 6, saved, True, noop=b"noop")
    assert again.status is Status.VIEW_CHANGE
    assert not [effect for effect in again.tick(0, WALL) if isinstance(effect, Send | Restored)]


def test_a_member_leaves_and_votes_only_once_that_is_on_its_disk() -> None:
    """Else one that crashes between would come back in the old view, and help it commit."""
    one = Replica(
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
    one.tick(0, WALL)
    one.write_synced(0, 1)
    asked = one.tick(SECOND, WALL)
    number = next(effect.message.round for effect in asked if isinstance(effect, Send))
    said = messages.SuspectResponse(
        incarnation=1, view=0, asked_view=0, round=number, agree=True, progress=()
    )
    found = one.receive(SECOND, "n2", said)
    found += one.receive(
        SECOND, "n2", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=())
    )
    assert one.view == 1 and [effect.view for effect in found if isinstance(effect, Write)] == [1]
    assert not [effect for effect in found if isinstance(effect, Send)]
    sent = [effect.message for effect in one.write_synced(SECOND, 2) if isinstance(effect, Send)]
    assert {type(message) for message in sent} == {messages.StartViewChange, messages.DoViewChange}


def test_a_past_that_is_not_ours_halts_and_is_not_taken_over() -> None:
    sim = group()
    fill(sim, 3)
    name = follower(sim)
    one = sim.hosts[name].replica
    assert one is not None
    head, view = "n3" if name != "n3" else "n1", 2 if name != "n3" else 3
    life = sim.hosts[head].replica.core.incarnation  # type: ignore[union-attr]
    wrong = (Entry(view, 2, 0, "", b"another"),)
    found = one.receive(
        sim.now,
        head,
        messages.Prepare(
            incarnation=life,
            view=view,
            group=one.group,
            previous_number=1,
            previous_view=0,
            entries=wrong,
            committed=2,
        ),
    )
    assert [effect.reason for effect in found if isinstance(effect, Halt)] == [Reason.OTHER_GROUP]
    told = one.submit(sim.now, WALL, 1, "z", b"x", sim.now + SECOND)
    assert told == [Answer(1, Reason.OTHER_GROUP, b"", 0)]


def test_a_blank_member_does_not_recover_from_one_that_is_behind() -> None:
    sim = group()
    alone(sim, "n1")
    sim.run(2 * SECOND)
    fill(sim, 3)  # Held by n2 and n3 in a later view.
    sim.crash("n3")
    sim.start("n3")
    alone(sim, "n2")  # Now n3 hears n1 alone, which still believes in its own view.
    sim.run(3 * SECOND)
    one = sim.hosts["n3"].replica
    assert len(sim.acked) == 3 and one and one.status is Status.BLANK
    sim.settle()


def told(name: int, view: int, normal: bool = True, lives: Any = (), number: int = 0) -> RecoveryResponse:
    return RecoveryResponse(
        incarnation=name,
        view=view,
        requester_incarnation=9,
        round=1,
        is_normal=normal,
        group="g",
        last_number=number,
        incarnations=lives,
        founders=(),
        progress=(),
    )


@pytest.mark.parametrize(
    ("answers", "source"),
    [
        ({"n2": told(2, 1), "n4": told(4, 1)}, ""),  # Too few.
        ({"n2": told(2, 1), "n4": told(4, 0), "n5": told(5, 1)}, "n2"),
        (
            {"n2": told(2, 1), "n4": told(4, 1, normal=False), "n5": told(5, 0)},
            "",
        ),  # One is between two views.
        ({"n1": told(1, 0), "n4": told(4, 1), "n5": told(5, 0)}, ""),  # Without the newest view's leader.
        ({"n1": told(1, 5), "n2": told(2, 1), "n4": told(4, 0)}, "n1"),
        ({"n2": told(2, 1), "n4": told(4, 0), "n5": told(5, 1, lives=(("n4", 40),))}, ""),  # n4 lives anew.
        ({"n4": told(40, 0), "n2": told(2, 1), "n5": told(5, 1, lives=(("n4", 40),))}, "n2"),
    ],
)
def test_recovery_needs_a_majority_of_sound_answers(
    answers: dict[str, RecoveryResponse], source: str
) -> None:
    one = Replica(
        "n3", ["n1", "n2", "n3", "n4", "n5"], [], CountingMachine(), 1, 9, None, False, noop=b"noop"
    )
    for name, answer in answers.items():
        one.receive(0, name, answer)
    task = one.core.transfer
    assert (task.source if task else "") == source


def test_birth_needs_one_moment_at_which_all_were_blank() -> None:
    one = Replica("n1", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, None, False, noop=b"noop")
    one.tick(0, WALL)
    blank = Status.BLANK
    for round_, lives, status in (
        (1, (2, 3), blank),
        (2, (2, 4), blank),
        (2, (2, 4), blank),
        (3, (2, 4), Status.NORMAL),
    ):
        for name, life in zip(("n2", "n3"), lives, strict=True):
            one.receive(
                0,
                name,
                messages.BlankResponse(incarnation=life, view=0, requester_incarnation=9, round=round_),
            )
        assert one.status is status, (round_, lives)


def test_no_group_is_born_with_one_that_knows_of_another() -> None:
    alone = Replica("n1", ["n1"], [], CountingMachine(), 1, 9, None, True, noop=b"noop", lost_state=True)
    alone.tick(0, WALL)
    assert alone.status is Status.BLANK
    one = Replica(
        "n1", ["n1", "n2", "n3"], [], CountingMachine(), 1, 9, None, True, noop=b"noop", lost_state=True
    )
    ask = messages.RecoveryRequest(incarnation=2, view=0, round=1, voters=("n1", "n2", "n3"), incarnations=())
    for part in (
        {"lost_state": True},
        {"lost_state": False, "log": Log(3), "committed": 3, "matched_number": 3},
    ):
        # The second recovered a part, then lost its source.
        for name, value in part.items():
            setattr(one.core, name, value)
        assert not [effect for effect in one.receive(0, "n2", ask) if isinstance(effect, Send)], part
        for round_ in (1, 2, 3):
            for name in ("n2", "n3"):
                one.receive(
                    0,
                    name,
                    messages.BlankResponse(incarnation=2, view=0, requester_incarnation=9, round=round_),
                )
        assert one.status is Status.BLANK, part
    one.core.log, one.core.committed, one.core.matched_number = Log(), 0, 0
    assert [effect.message.round for effect in one.receive(0, "n2", ask) if isinstance(effect, Send)] == [1]


@pytest.mark.parametrize("disk", [False, True])
def test_a_new_leader_counts_itself_once_synced_and_commits_by_entries_of_its_own_view(disk: bool) -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, tuple(Entry(0, number, 0, "", b"") for number in (1, 2)))
    one = Replica("n2", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, disk, noop=b"noop")
    one.core.options = one.core.options._replace(disk=disk)
    one.tick(0, WALL)
    one.receive(0, "n3", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=()))
    one.receive(
        0,
        "n3",
        messages.DoViewChange(
            incarnation=1, view=1, last_entry_view=0, last_number=1, committed=1, incarnations=(), progress=()
        ),
    )
    assert one.status is (Status.VIEW_CHANGE if disk else Status.NORMAL)
    while disk and one.core.synced_ticket < one.core.last_ticket:
        one.write_synced(0, one.core.synced_ticket + 1)
    assert one.leader == "n2" and one.core.log.last_number == 3
    for number, committed in ((2, 1), (3, 3)):
        one.receive(0, "n3", PrepareOk(incarnation=1, view=1, round=0, number=number, committed=0, status=""))
        assert one.committed == committed


def test_who_led_a_view_before_a_restart_leads_it_no_more() -> None:
    saved = PersistedState("g", 4, 1, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    one = Replica("n2", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    one.tick(0, WALL)
    one.write_synced(0, 1)
    one.receive(0, "n3", messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=()))
    one.receive(
        0,
        "n3",
        messages.DoViewChange(
            incarnation=1, view=1, last_entry_view=0, last_number=1, committed=1, incarnations=(), progress=()
        ),
    )
    assert one.status is Status.VIEW_CHANGE and one.core.log.last_number == 1


def test_a_vote_is_given_once_a_majority_is_known_to_have_left() -> None:
    one = Replica(
        "n3", ["n1", "n2", "n3", "n4", "n5"], [], CountingMachine(), 1, 5, None, False, noop=b"noop"
    )
    bootstrap.join_new_group(one.core, 0, ())
    for name, votes in (("n4", 0), ("n4", 0), ("n5", 1)):
        found = one.receive(
            0, name, messages.StartViewChange(incarnation=1, view=1, incarnations=(), progress=())
        )
        assert [
            effect.to
            for effect in found
            if isinstance(effect, Send) and isinstance(effect.message, messages.DoViewChange)
        ] == ["n2"] * votes


def test_a_command_that_was_refused_is_not_written_when_it_comes_once_more() -> None:
    class Moody(CountingMachine):
        mood = b"refused"

        def validate(self, state: Any, at: int, command: bytes) -> bytes | None:
            return self.mood or None

    machine = Moody()
    one = Replica("n1", ["n1", "n2", "n3"], [], machine, 1, 9, None, False, noop=b"noop")
    begin(one)
    for mood, view, attempt, top in ((b"refused", 0, 1, 1), (b"", 0, 1, 1), (b"", 3, 2, 1), (b"", 0, 2, 2)):
        machine.mood = mood
        one.receive(
            0,
            "n3",
            messages.CommandRequest(
                incarnation=1, view=view, ticket=1, attempt=attempt, token="t", command=b"x"
            ),
        )
        assert one.core.log.last_number == top


def begin(one: Replica) -> None:
    """Born as the leader of the first view, which writes its first entry once a majority follows."""
    bootstrap.join_new_group(one.core, 0, ())
    for name in one.core.options.voters[1:]:
        assert one.core.log.last_number == (
            1 if len(one.core.acknowledged) + 1 >= one.core.options.majority else 0
        )
        one.receive(0, name, PrepareOk(incarnation=1, view=0, round=0, number=0, committed=0, status=""))


def test_one_that_was_born_alone_is_blank_again_and_lets_the_others_be_born() -> None:
    for late in ("n1", "n3"):
        sim = Simulation(4, 3)
        for name in sim.voters:
            sim.start(name)
        # The two others answered blank, and went before they knew; these are their next lives.
        one = sim.hosts[late].replica
        assert one is not None
        lives = {name: 1 for name in sim.voters} | {late: one.core.incarnation}
        bootstrap.join_new_group(one.core, sim.now, tuple(lives.items()))
        sim.run(5 * SECOND)
        assert leader(sim) and sim.notes["group-unborn"] == 1
        sim.settle()


def test_what_a_member_said_in_an_earlier_life_counts_no_more() -> None:
    names = ("n1", "n2", "n3", "n4", "n5")
    one = Replica("n1", names, [], CountingMachine(), 1, 9, None, False, noop=b"noop")
    begin(one)

    def have(name: str, life: int) -> int:
        one.receive(0, name, PrepareOk(incarnation=life, view=0, round=0, number=1, committed=0, status=""))
        return one.committed

    assert have("n3", 1) == 0
    one.receive(
        0, "n3", messages.RecoveryRequest(incarnation=2, view=0, round=1, voters=names, incarnations=())
    )  # A blank one.
    assert [have("n4", 1), have("n3", 1), have("n3", 2)] == [0, 0, 1]


def test_what_a_member_once_vouched_for_is_not_forgotten_when_it_tells_less() -> None:
    core = group().hosts["n1"].replica.core  # type: ignore[union-attr]
    for incarnation, number, kept in ((500, 10, (500, 10)), (501, 3, (500, 10)), (501, 11, (501, 11))):
        peers.learn_member_progress(core, messages.MemberProgress("n3", incarnation, 0, 0, number, 0, ""))
        assert (core.progress["n3"].incarnation, core.progress["n3"].number) == kept


def test_a_follower_vouches_for_nothing_while_its_view_is_not_on_its_disk() -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    one = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    one.tick(0, WALL)
    one.write_synced(0, 1)
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
    kinds = [type(effect.message) for effect in one.receive(0, "n2", beat) if isinstance(effect, Send)]
    assert kinds == [] and one.view == 1
    sent = [effect.message for effect in one.write_synced(0, 2) if isinstance(effect, Send)]
    assert [(type(message), message.view, message.number) for message in sent] == [(PrepareOk, 1, 1)]


def test_entries_that_took_the_place_of_others_are_vouched_for_after_their_own_sync() -> None:
    saved = PersistedState("g", 4, 0, 0, 1, None, (Entry(0, 1, 0, "group:g", b"noop"),))
    one = Replica("n3", ["n1", "n2", "n3"], [], CountingMachine(), 1, 5, saved, True, noop=b"noop")
    one.tick(0, WALL)
    for view, ticket in ((0, 2), (1, 3)):
        entries = tuple(Entry(view, number, 0, "", b"v%d" % view) for number in (2, 3))
        said = messages.Prepare(
            incarnation=1,
            view=view,
            group="g",
            previous_number=1,
            previous_view=0,
            entries=entries,
            committed=1,
        )
        one.receive(0, f"n{view + 1}", said)
        assert one.core.last_ticket == ticket
    found = [
        [effect.message.number for effect in one.write_synced(0, ticket) if isinstance(effect, Send)]
        for ticket in (2, 3)
    ]
    assert found == [[], [3]]
    one.receive(0, "n3", messages.NewerView(incarnation=1, view=9))
    one.receive(
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
    assert one.core.durable == 1 and one.core.acknowledgeable_number == -1


@pytest.mark.parametrize("block", range(12))
def test_whatever_happens_what_was_acknowledged_stands(block: int) -> None:
    for seed in range(4):
        run_history(block * 4 + seed, acts=40)

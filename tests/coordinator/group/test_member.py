"""One member: restarts under a new incarnation, halting, its records, and the interference worker."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ambershift.coordinator.admin.types import State, Weight
from ambershift.coordinator.group.disk.folder import DiskError, Folder
from ambershift.coordinator.group.gossip import MemberStatus
from ambershift.coordinator.group.interference_worker import InterferenceWorker
from ambershift.coordinator.group.links.interfaces import Peer
from ambershift.coordinator.group.links.wire import CloseReason, FrameKind, Refusal, UnreadableError
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.group.startup import NoFolderError
from ambershift.coordinator.group.status_rows import member_rows
from ambershift.coordinator.interference.records import Put
from ambershift.coordinator.promises.codec import decode_outcome, encode_command
from ambershift.coordinator.promises.commands import Grant, Wishes, WishOne
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.gossip.messages import encode
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import RecordKind
from ambershift.coordinator.replication.types import Applied, Entry, Halt, Note, Reason
from ambershift.coordinator.standins.world import until
from tests.coordinator.group.test_group import SimulatedMember, declare, out, permit

S = 1_000_000_000


def is_under_maintenance(simulated: SimulatedMember) -> bool:
    return simulated.controller.inventory.operator_override(0).state is State.MAINT


def run_scenario(
    scenario: Callable[[Member, SimulatedMember, list[tuple[str, dict[str, Any]]]], Awaitable[None]],
    *voters: str,
    folder: str = "",
) -> None:
    """Run `scenario` with a member that opens no links; alone in its group it leads at once."""

    async def run() -> None:
        simulated, log = SimulatedMember(), list[tuple[str, dict[str, Any]]]()
        loop = asyncio.get_running_loop()
        peers = tuple(Peer(one, "127.0.0.1", 1) for one in voters if one != "a")
        spec = MemberSpec("g", "a", ("127.0.0.1", 1), folder, voters or ("a",), (), peers, S, 0)
        start = loop.time()

        def now() -> int:
            return simulated.now + int((loop.time() - start) * S)

        member = Member(
            spec,
            GroupStateMachine(),
            simulated.desk_applier,
            now,
            lambda event, **fields: log.append((event, fields)),
            3,
        )
        try:
            async with asyncio.timeout(30):
                await member.start_replica()
                await scenario(member, simulated, log)
        finally:
            member.stop()
            if member.timer:
                member.timer.cancel()
            await member.close_disk()

    asyncio.run(run())


def test_a_single_member_commits_and_a_restart_from_its_folder_has_it(tmp_path: Path) -> None:
    async def first(member: Member, simulated: SimulatedMember, log: Any) -> None:
        reply = await member.submit("T", simulated.wish(*out(0)), 5 * S)
        assert reply.reason is None and decode_outcome(reply.answer).done and member.leads
        assert is_under_maintenance(simulated) and (await member.read(5 * S)).reason is None
        with pytest.raises(NoFolderError, match="in use"):
            await Member(
                member.spec, member.machine, simulated.desk_applier, member.now, member.note, 1
            ).start_replica()
        member.stop()
        assert (await member.submit("U", simulated.wish(*out(2)), S)).reason is Reason.STOPPING

    async def second(member: Member, simulated: SimulatedMember, log: Any) -> None:
        await until(lambda: is_under_maintenance(simulated))
        assert log[0][1]["kept"] and log[0][1]["incarnation"] > 1

    run_scenario(first, folder=str(tmp_path / "f"))
    run_scenario(second, folder=str(tmp_path / "f"))


@pytest.mark.parametrize("folder", [False, True])
def test_superseded_before_it_was_accepted_restarts_once_and_then_halts(folder: bool, tmp_path: Path) -> None:
    known = 1 << 62
    refusal = Refusal(CloseReason.SUPERSEDED, "newer", known)

    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        await member.submit("", simulated.wish(*out(0)), S // 10)
        member.on_refused("b", refusal)
        assert member.halted  # Nothing is acknowledged under the old incarnation.
        await until(lambda: not member.halted)
        assert member.startup.incarnation == member.gossip.store.origins["a"].incarnation == known + 1
        waiting = asyncio.ensure_future(member.submit("W", simulated.wish(*out(2)), 20 * S))
        await asyncio.sleep(0)
        member.on_refused("b", refusal)
        assert member.halted and member.halted[0] == "superseded"
        assert (await asyncio.wait_for(waiting, 5)).reason is Reason.OUTCOME_UNKNOWN
        assert (await member.submit("", simulated.wish(*out(2)), S)).reason is Reason.NO_MAJORITY
        assert [fields["reason"] for event, fields in log if event == "group_halted"] == ["superseded"]
        rows = {row["name"]: row for row in member_rows(member)}
        assert rows["a"]["state"] == "halted" and rows["a"]["why"].startswith("superseded")
        assert rows["b"]["link"] == CloseReason.AWAY and not any(row["leader"] for row in rows.values())

    run_scenario(scenario, "a", "b", "c", folder=str(tmp_path / "f") if folder else "")


@pytest.mark.parametrize("reason", [CloseReason.SUPERSEDED, CloseReason.CLONED, CloseReason.OTHER_MEMBERS])
def test_a_refusal_after_it_was_accepted_halts_the_member(reason: CloseReason) -> None:
    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        member.on_link_up("b")
        member.on_refused("c", Refusal(reason, "why", 9))
        # Other members: the fault may be in the settings over there, and be corrected there.
        assert (member.halted and member.halted[0]) == (
            None if reason is CloseReason.OTHER_MEMBERS else reason
        )

    run_scenario(scenario, "a", "b", "c")


def test_a_failed_disk_halts_the_member_and_does_not_make_it_blank(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        assert (await member.submit("", simulated.wish(*out(0)), 5 * S)).reason is None

        def broken(self: Folder, writes: Any) -> None:
            raise DiskError("No space left on device")

        monkeypatch.setattr(Folder, "append", broken)
        assert (await member.submit("", simulated.wish(*out(2)), 5 * S)).reason is Reason.OUTCOME_UNKNOWN
        assert member.halted and member.halted[0] == "disk-failed" and is_under_maintenance(simulated)
        assert [event for event, _ in log if event == "disk_failed"] == ["disk_failed"]

    run_scenario(scenario, folder=str(tmp_path / "f"))

    async def never(member: Member, simulated: SimulatedMember, log: Any) -> None:
        assert member.replica is None and member.halted and member.halted[0] == "disk-failed"
        assert (await member.submit("", simulated.wish(*out(0)), S)).reason is Reason.NO_MAJORITY

    def closed(self: Folder, wall: int, void: str = "") -> None:
        raise DiskError("Input/output error")

    monkeypatch.setattr(Folder, "open", closed)
    run_scenario(never, folder=str(tmp_path / "f"))


def test_own_records_and_those_of_others() -> None:
    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        gossip = member.gossip
        await member.submit("", declare(0), 5 * S)
        one = permit(simulated, 0, member.wall() + 60 * S)
        await member.submit("", Grant(member.state.last_permit_entry, (one,)), 5 * S)
        now = member.now()
        gossip.run_round(now)
        assert gossip.permit_reports(now, "w/s0/1") == {"a": b"0"}  # The module hasn't shut it out yet.
        simulated.settle()
        for _ in range(4):
            gossip.run_round(now)
        assert gossip.permit_reports(now, "w/s0/1") == {"a": b"1"} and gossip.steered_proxies(now)["a"] == (
            0,
            0,
            0,
        )
        other = GossipStore("b", 7)
        for offset in (0, 90 * S):
            other.put(
                now,
                RecordKind.MEMBER_STATUS,
                "",
                msgspec.msgpack.encode(MemberStatus(4, member.wall() + offset)),
            )
            answers, _ = other.receive(now, gossip.store.digest())
            for answer in answers:
                gossip.receive("b", encode(answer))
        proxies, ahead, age = gossip.steered_proxies(now)["b"]
        assert (proxies, age) == (4, 0) and 89 * S < ahead <= 91 * S
        assert gossip.clock_skew.exceeds_bound(now)
        for _ in range(8):
            gossip.run_round(now)
            assert member.desk_applier.permits_enabled  # Not before the third publication in a row.
        for _ in range(4):
            gossip.run_round(now)
        assert not member.desk_applier.permits_enabled and gossip.permit_reports(now, "w/s0/1") == {"a": b"0"}
        with pytest.raises(UnreadableError):
            member.on_frame("b", FrameKind.HEARD, b"rubbish")
        with pytest.raises(UnreadableError):
            member.on_frame("b", FrameKind.REPLICA, b"rubbish")

    run_scenario(scenario)


def test_interference_is_scored_on_a_thread_only_once_there_are_samples() -> None:
    class FakeEngine:
        made = 0

        def __init__(self) -> None:
            FakeEngine.made += 1
            self.got = list[Any]()

        def samples(self, now: int, given: list[Any]) -> int:
            self.got += given
            if len(self.got) == 3:
                raise ValueError("internal")
            return len(given)

        def heard(self, record: Any) -> None:
            self.got.append(record)

        def due(self, now: int) -> list[Put]:
            return [Put(RecordKind.INTERFERENCE_EVIDENCE, "k", b"body" if len(self.got) < 3 else b"")]

        def interfered(self, server: str) -> float:
            return 0.5 if server == "s0" else 0.0

        def eases(self, now: int) -> dict[str, float]:
            return {"s0": 0.8}

        def rows(self) -> list[Any]:
            return []

    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        weight_factors = list[dict[str, float]]()
        servers = ["s0", "s1"]
        worker = InterferenceWorker(
            member.gossip, FakeEngine, lambda: servers, weight_factors.append, member.note
        )  # type: ignore
        worker.open()
        sample = ["n", "m", "s0", "t", 1, 1, 1.0, 1.0, 1.0, 1.0, 1.0]
        assert not FakeEngine.made
        for bad in (b"", b"\xc1", msgspec.msgpack.encode([[1]]), msgspec.msgpack.encode([sample] * 9000)):
            with pytest.raises(UnreadableError):
                worker.on_counters("perf", bad)
        assert not FakeEngine.made
        worker.on_counters("perf", msgspec.msgpack.encode([sample]))
        await until(lambda: weight_factors == [{"s0": 0.8}])
        assert worker.scores.interfered == {"s0": 0.5} and FakeEngine.made == 1
        assert member.gossip.own_body(RecordKind.INTERFERENCE_EVIDENCE, "k") == b"body"
        worker.on_counters("perf", msgspec.msgpack.encode([sample] * 2))
        await until(lambda: any(event == "failure" for event, _ in log))
        worker.on_counters("perf", msgspec.msgpack.encode([sample]))  # It goes on after an error.
        await until(lambda: not member.gossip.own_body(RecordKind.INTERFERENCE_EVIDENCE, "k"))
        assert weight_factors == [{"s0": 0.8}]
        worker.close()

    run_scenario(scenario)


def test_a_log_that_a_member_catches_up_with_is_applied_at_once() -> None:
    """Each application costs a pass over all pending changes: entry by entry a long log took minutes."""

    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        calls, apply_wishes = list[int](), member.desk_applier.apply_wishes

        def record_call(state: Any, servers: Any, commands: Any) -> None:
            calls.append(len(commands))
            apply_wishes(state, servers, commands)

        member.desk_applier.apply_wishes = record_call  # type: ignore[method-assign]
        effects, state = list[Any](), member.state
        for number in range(1, 401):
            command = simulated.wish((number % 6, {"weight": (number / 1000, True)}), who=f"op{number}")
            entry = Entry(1, number, 1, "", encode_command(command))
            state, answer = member.machine.apply(state, entry)
            effects.append(Applied(entry, answer, state))
        wide = Wishes("op", "apply\nset a\nset b", (WishOne("s5", 2),))
        entry = Entry(1, 401, 1, "", encode_command(wide))
        state, answer = member.machine.apply(state, entry)
        effects.append(Applied(entry, answer, state))
        member.perform([*effects[:200], Note("x", {}), *effects[200:]])
        assert calls == [200, 201] and simulated.controller.commands == 401
        texts = [record.text for record in simulated.controller.audit_log.records]
        assert texts[-1] == "apply of 2 lines"  # A audit log record is one line.
        assert simulated.controller.inventory.operator_override(4).weight == Weight(0.4, True)

    run_scenario(scenario)


@pytest.mark.parametrize("folder", [False, True])
def test_an_old_folder_is_set_aside_and_the_member_starts_blank(folder: bool, tmp_path: Path) -> None:
    async def scenario(member: Member, simulated: SimulatedMember, log: Any) -> None:
        await member.submit("", simulated.wish(*out(0)), 5 * S)
        before = member.startup.incarnation
        member.perform([Halt(Reason.OLD_FOLDER, "it forgot")])
        assert member.halted and is_under_maintenance(simulated)
        if not folder:
            assert member.halted[0] == "old-folder"
            return
        await until(lambda: not member.halted)
        assert member.startup.incarnation > before and member.startup.saved is None
        assert [fields["reason"] for event, fields in log if event == "folder_set_aside"] == ["old-folder"]
        assert len(list((tmp_path / "f").glob("*.aside-*old-folder"))) == 2

    run_scenario(scenario, folder=str(tmp_path / "f") if folder else "")

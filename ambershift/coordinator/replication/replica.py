"""The replica: a state machine without I/O that takes events with their time and returns effects.

See docs/design/group.md.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ambershift.coordinator.replication import (
    bootstrap,
    client_requests,
    following,
    leading,
    messages,
    pending_requests,
    view_change,
)
from ambershift.coordinator.replication.applying import commit_up_to, compact_log, install_snapshot
from ambershift.coordinator.replication.core import NEVER, Core, ReplicaOptions
from ambershift.coordinator.replication.frozen import Frozen, freeze, thaw
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.messages import Message
from ambershift.coordinator.replication.peers import all_progress, learn_incarnation
from ambershift.coordinator.replication.persistence import finish_call, on_synced
from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, Tuning
from ambershift.coordinator.replication.types import (
    Effect,
    MemberRow,
    PersistedState,
    Restored,
    StateMachine,
    Status,
)

HANDLERS: dict[type, Callable[[Core, int, str, Any], None]] = {
    messages.RecoveryRequest: bootstrap.on_recovery_request,
    messages.BlankResponse: bootstrap.on_blank_response,
    messages.RecoveryResponse: bootstrap.on_recovery_response,
    messages.Heartbeat: following.on_heartbeat,
    messages.Prepare: following.on_prepare,
    messages.PrepareOk: leading.on_prepare_ok,
    messages.GetState: following.on_get_state,
    messages.StateChunk: following.on_state_chunk,
    messages.SuspectRequest: view_change.on_suspect_request,
    messages.SuspectResponse: view_change.on_suspect_response,
    messages.StartViewChange: view_change.on_start_view_change,
    messages.DoViewChange: view_change.on_do_view_change,
    messages.NewerView: view_change.on_newer_view,
    messages.CommandRequest: client_requests.on_command_request,
    messages.CommandResponse: client_requests.on_command_response,
    messages.ReadIndexRequest: client_requests.on_read_index_request,
    messages.ReadIndexResponse: client_requests.on_read_index_response,
}


MAX_VOTERS = 7


class Replica:
    """One member of a group that replicates a log.

    All times are ns. Each event returns the effects that the caller must carry out, in their order.

    Args:
        me: The member's name.
        voters: The same, in the same order, at all members: who leads a view follows from it.
        learners: Members that follow the log and do not vote.
        machine: What the log is applied to.
        seed: Of the pseudorandom numbers.
        incarnation: Higher than at any earlier start of this member.
        saved: What the folder holds; None where there is none or it was set aside.
        disk: Whether the member has a folder, so that its writes are synced.
        tuning: Timeouts, intervals and bounds.
        now: The replica's clock.
        noop: The command that a new leader writes.
        lost_state: The member acknowledged entries in an earlier incarnation and lost its folder: it waits
            for others to recover from, and no new group is formed with it.

    Raises:
        ValueError: The members or the incarnation are not valid.
    """

    def __init__(
        self,
        me: str,
        voters: Sequence[str],
        learners: Sequence[str],
        machine: StateMachine[Any],
        seed: int,
        incarnation: int,
        saved: PersistedState | None,
        disk: bool,
        tuning: Tuning = DEFAULT_TUNING,
        now: int = 0,
        *,
        noop: bytes = b"",
        lost_state: bool = False,
    ) -> None:
        if len(set(voters)) != len(voters) or len(voters) % 2 == 0 or len(voters) > MAX_VOTERS:
            raise ValueError("a group has 1, 3, 5 or 7 different voters")
        members = (*voters, *learners)
        if me not in members or len(set(members)) != len(members):
            raise ValueError(f"{me} is not a member, or a member is named twice")
        options = ReplicaOptions(me, tuple(voters), members, machine, disk, tuning, noop)
        core = self.core = Core(options, seed, incarnation)
        core.leader_last_heard = core.next_recovery_request = now
        core.start_at = now
        core.lost_state = lost_state
        view_change.draw_leader_timeout(core)
        if saved is not None and (saved.view or saved.entries or saved.snapshot or not options.is_voter):
            self.restore(core, saved, now)  # A folder that holds nothing is as good as none.

    @staticmethod
    def restore(core: Core, saved: PersistedState, now: int) -> None:
        """Go on from the folder, but not as a leader: what it last wrote as one may be lost."""
        if saved.incarnation >= core.incarnation:
            raise ValueError(
                f"incarnation {core.incarnation} is not newer than {saved.incarnation}, the folder's"
            )
        snapshot = saved.snapshot
        core.log = Log(snapshot.number if snapshot else 0, snapshot.view if snapshot else 0)
        if snapshot is not None:
            install_snapshot(core, snapshot, saved.group)
            core.snapshot_due = False
            core.effects.clear()  # `emit_restored_state` reports it with the first call.
        for entry in saved.entries:
            core.log.append(entry)
        core.view, core.group = saved.view, saved.group
        core.status, core.voted = Status.VIEW_CHANGE, True
        core.view_change_deadline = core.next_view_change_resend = now + core.options.tuning.leader_timeout_ns
        core.restored_position = saved.view, core.log.last_view, core.log.last_number
        core.truncate_disk_from, core.written_number = 0, core.log.last_number
        core.durable_number, core.durable_view = core.log.last_number, saved.view
        core.matched_number = max(core.committed, min(saved.committed, core.log.last_number))

    # Events

    def receive(self, now: int, sender: str, message: Message) -> list[Effect]:
        """Take a message of another member, whose identity the caller has checked."""
        core = self.core
        if core.status is Status.HALTED or sender not in core.options.members or sender == core.options.me:
            return []
        if learn_incarnation(core, sender, message.incarnation):
            core.last_heard[sender] = now
            HANDLERS[type(message)](core, now, sender, message)
        return self.finish(now)

    def link_lost(self, now: int, member: str) -> list[Effect]:
        """The link to a member broke: messages in flight may be lost, so that timeouts are shortened."""
        core, tuning = self.core, self.core.options.tuning
        transfer = core.transfer
        if transfer is not None and transfer.source == member and transfer.requested_at:
            requested_at = min(transfer.requested_at, now - tuning.transfer_retry_ns // 2)
            core.transfer = transfer._replace(requested_at=requested_at)
        if member == core.leader:
            if core.status is Status.NORMAL and not core.leading:  # As if half of its timeout were over.
                core.leader_last_heard = min(core.leader_last_heard, now - tuning.suspicion_delay_ns)
            for ticket, request in core.pending.items():
                retry_at = min(request.retry_at, now + tuning.heartbeat_ns)
                core.keep_pending(ticket, request._replace(retry_at=retry_at))
        return self.finish(now)

    def write_synced(self, now: int, ticket: int) -> list[Effect]:
        """The write of a ticket and all before it are on the disk. A sync that failed is never reported."""
        core = self.core
        if core.status is Status.HALTED:
            return []
        on_synced(core, ticket)
        view_change.count_view_change_joiners(core, now)
        following.acknowledge(core, 0)
        return self.finish(now)

    def submit(
        self, now: int, at: int, ticket: int, token: str, command: bytes, deadline: int
    ) -> list[Effect]:
        """Take a client's command, at any member.

        One `Answer` with the ticket follows, by the deadline at the latest where `tick` is called in time.
        `at` is the wall clock.
        """
        self.core.wall_offset = at - now
        client_requests.submit(self.core, now, ticket, token, command, deadline)
        return self.finish(now)

    def read(self, now: int, ticket: int, deadline: int) -> list[Effect]:
        """Take a client's read: answered once `state` has all that was committed when this was called."""
        client_requests.read(self.core, now, ticket, deadline)
        return self.finish(now)

    def tick(self, now: int, at: int) -> list[Effect]:
        """Do what is due; to be called at `next_tick_at`, earlier does no harm. `at` is the wall clock."""
        core = self.core
        core.wall_offset = at - now
        if core.status is not Status.HALTED:
            bootstrap.send_recovery_requests(core, now)
            leading.check_quorum(core, now)
            view_change.check_leader(core, now)
            following.continue_transfer(core, now)
            client_requests.retry_overdue(core, now)
        return self.finish(now)

    def stop(self, now: int) -> list[Effect]:
        """The program is stopping: answer all pending requests."""
        client_requests.stop_all(self.core)
        return self.finish(now)

    def finish(self, now: int) -> list[Effect]:
        """Do what follows from an event, and return its effects."""
        core = self.core
        view_and_status = core.view, core.status
        if core.status is not Status.HALTED:
            if core.start_at != NEVER:
                self.emit_restored_state(core)
            if view_and_status != core.previous_view_and_status and core.status is Status.NORMAL:
                client_requests.forward_all(core, now)
            core.previous_view_and_status = view_and_status
            leading.lead(core, now)
            compact_log(core)
            assert core.log.base <= core.committed <= core.log.last_number
            assert core.matched_number <= core.log.last_number
            pending_requests.answer_ready_reads(core)
        else:
            client_requests.refuse_all(core)
        pending_requests.expire_requests(core, now)
        return finish_call(core)

    @staticmethod
    def emit_restored_state(core: Core) -> None:
        """With the first call, report the state of the folder, and apply what is known to be committed."""
        core.start_at = NEVER
        if core.snapshot is not None and core.committed == core.snapshot.number:
            core.effects.insert(0, Restored(core.committed, core.state))
        if core.status is not Status.BLANK:
            commit_up_to(core, core.matched_number)

    # Observable state

    @property
    def next_tick_at(self) -> int:
        """When `tick` is to be called next, by the replica's clock."""
        core, tuning = self.core, self.core.options.tuning
        if core.status is Status.HALTED:
            return NEVER
        times = [core.start_at, core.next_pending_check]
        if core.transfer is not None:
            requested_at = core.transfer.requested_at
            times.append(requested_at + tuning.transfer_retry_ns if requested_at else 0)
        has_no_entry = not core.view and not core.log.last_number
        if core.status is Status.NORMAL and core.options.is_voter and has_no_entry:
            times.append(core.leader_last_heard + tuning.first_entry_timeout_ns)
        if core.status is Status.BLANK and core.options.is_voter and core.transfer is None:
            times.append(core.next_recovery_request)
        if core.leading and not core.lost_quorum:
            times.append(core.next_heartbeat)
        elif core.status is not Status.BLANK and core.options.is_voter:
            times.append(max(view_change.suspicion_time(core), core.next_suspect_request))
            if core.status is Status.VIEW_CHANGE:
                times.append(core.next_view_change_resend)
        return min(times)

    @property
    def status(self) -> Status:
        """How this member takes part."""
        return self.core.status

    @property
    def view(self) -> int:
        """The view that this member is in."""
        return self.core.view

    @property
    def group(self) -> str:
        """The group's id; "" while no entry is known to be committed."""
        return self.core.group

    @property
    def leader(self) -> str | None:
        """The leader, as far as this member knows."""
        core = self.core
        return core.leader if core.status is Status.NORMAL and not core.lost_quorum else None

    @property
    def committed(self) -> int:
        """The last entry that is committed and applied here."""
        return self.core.committed

    @property
    def durable(self) -> int:
        """The last entry that this member has after a restart.

        Without a disk it recovers all that is committed from the others.
        """
        return self.core.durable_number if self.core.options.disk else self.core.committed

    @property
    def state(self) -> Any:
        """The state that the committed entries result in."""
        return self.core.state

    def member_rows(self, now: int) -> tuple[MemberRow, ...]:
        """What this member knows of each, in the order of the configuration."""
        core = self.core
        progress = {row.name: row for row in all_progress(core)}
        rows = []
        for name in core.options.members:
            known, is_me = progress.get(name), name == core.options.me
            rows.append(
                MemberRow(
                    name,
                    name in core.options.voters,
                    name == self.leader,
                    core.status.value if is_me else known.status if known else "unknown",
                    core.incarnations.get(name, 0),
                    known.committed if known else 0,
                    0 if is_me else now - core.last_heard.get(name, now + 1),
                )
            )
        return tuple(rows)

    # For the model checker

    def freeze(self) -> Frozen:
        """The replica's state as plain values, between two calls."""
        return freeze(self.core)

    @classmethod
    def thaw(
        cls,
        me: str,
        voters: Sequence[str],
        learners: Sequence[str],
        machine: StateMachine[Any],
        disk: bool,
        tuning: Tuning,
        frozen: Frozen,
        *,
        noop: bytes = b"",
    ) -> Replica:
        """The replica whose state was frozen."""
        replica = cls.__new__(cls)
        options = ReplicaOptions(me, tuple(voters), (*voters, *learners), machine, disk, tuning, noop)
        replica.core = thaw(Core(options, 0, 0), frozen)
        if replica.core.leading:
            leading.rebuild_speculative_results(replica.core)
        return replica

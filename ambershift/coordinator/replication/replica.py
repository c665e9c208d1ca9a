"""The replica: events with their time in, effects out. See docs/design/group.md."""

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
from ambershift.coordinator.replication.applying import commit_to, compact, install
from ambershift.coordinator.replication.core import NEVER, Core, Fixed
from ambershift.coordinator.replication.frozen import Frozen, freeze, thaw
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.messages import Message
from ambershift.coordinator.replication.peers import all_rows, learn_life
from ambershift.coordinator.replication.persistence import finish, on_synced
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
    messages.RecoveryRequest: bootstrap.on_ask,
    messages.BlankResponse: bootstrap.on_blank,
    messages.RecoveryResponse: bootstrap.on_told,
    messages.Heartbeat: following.on_beat,
    messages.Prepare: following.on_prepare,
    messages.PrepareOk: leading.on_have,
    messages.GetState: following.on_fetch,
    messages.StateChunk: following.on_chunk,
    messages.SuspectRequest: view_change.on_suspect,
    messages.SuspectResponse: view_change.on_suspected,
    messages.StartViewChange: view_change.on_leave,
    messages.DoViewChange: view_change.on_vote,
    messages.NewerView: view_change.on_newer,
    messages.CommandRequest: client_requests.on_forward,
    messages.CommandResponse: client_requests.on_answered,
    messages.ReadIndexRequest: client_requests.on_read_ask,
    messages.ReadIndexResponse: client_requests.on_read_at,
}


class Replica:
    """One member's share in the log. `voters` are the same, in the same order, at all members: leaders follow
    from it. `incarnation` is higher than of any start before; `saved` is what the folder vouches for, None
    where there is none or it was set aside; `lost` then tells that it has vouched in an earlier life, so that
    it waits for others to recover from and no group is born with it. Times are ns; `noop` is the command that
    a new leader writes.
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
        if len(set(voters)) != len(voters) or len(voters) % 2 == 0 or len(voters) > 7:
            raise ValueError("1, 3, 5 or 7 voters")
        members = (*voters, *learners)
        if me not in members or len(set(members)) != len(members):
            raise ValueError(f"{me} is not one of the members, or one is named twice")
        fixed = Fixed(me, tuple(voters), members, machine, disk, tuning, noop)
        core = self.core = Core(fixed, seed, incarnation)
        core.leader_heard = core.ask_at = now
        core.next_start = now
        core.lost_state = lost_state
        view_change.new_patience(core)
        if saved is not None and (saved.view or saved.entries or saved.snapshot or not fixed.votes):
            self.take_saved(core, saved, now)  # One with nothing is as good as blank.

    @staticmethod
    def take_saved(core: Core, saved: PersistedState, now: int) -> None:
        """It goes on as what it was, but for leading: what it wrote last as a leader may be gone."""
        if saved.incarnation >= core.incarnation:
            raise ValueError(f"incarnation {core.incarnation} after {saved.incarnation}")
        snapshot = saved.snapshot
        core.log = Log(snapshot.number if snapshot else 0, snapshot.view if snapshot else 0)
        if snapshot is not None:
            install(core, snapshot, saved.group)
            core.snapshot_due = False
            core.out.clear()  # Told with the first call.
        for entry in saved.entries:
            core.log.put(entry)
        core.view, core.group = saved.view, saved.group
        core.status, core.voted = Status.VIEW_CHANGE, True
        core.change_at = core.again_at = now + core.fixed.tuning.leader_timeout_ns
        core.behind = saved.view, core.log.last, core.log.top
        core.cut, core.written_top = 0, core.log.top
        core.durable_top, core.durable_view = core.log.top, saved.view
        core.sure = max(core.committed, min(saved.committed, core.log.top))

    # Events

    def receive(self, now: int, sender: str, message: Message) -> list[Effect]:
        """A message of another member, whose name the shell has checked."""
        core = self.core
        if core.status is Status.HALTED or sender not in core.fixed.members or sender == core.fixed.me:
            return []
        if learn_life(core, sender, message.incarnation):
            core.heard[sender] = now
            HANDLERS[type(message)](core, now, sender, message)
        return self.end(now)

    def link_lost(self, now: int, member: str) -> list[Effect]:
        """The link to it broke: what was under way may be lost."""
        core = self.core
        task = core.fetching
        if task is not None and task.source == member and task.at:
            core.fetching = task._replace(at=min(task.at, now - core.fixed.tuning.transfer_retry_ns // 2))
        if member == core.leader:
            if core.status is Status.NORMAL and not core.leading:  # Half of the silence counts as over.
                core.leader_heard = min(core.leader_heard, now - core.fixed.tuning.suspicion_delay_ns)
            for ticket, want in core.wants.items():
                core.keep_want(
                    ticket, want._replace(retry_at=min(want.retry_at, now + core.fixed.tuning.heartbeat_ns))
                )
        return self.end(now)

    def write_synced(self, now: int, ticket: int) -> list[Effect]:
        """That Write and all before it are on the disk. A sync that failed is never told."""
        core = self.core
        if core.status is Status.HALTED:
            return []
        on_synced(core, ticket)
        view_change.count_leavers(core, now)
        following.have(core, 0)
        return self.end(now)

    def submit(self, now: int, at: int, ticket: int, token: str, command: bytes, until: int) -> list[Effect]:
        """At any member. `Answer(ticket, ...)` comes once, by `until` at the latest (as `due` is called)."""
        self.core.wall = at - now
        client_requests.submit(self.core, now, ticket, token, command, until)
        return self.end(now)

    def read(self, now: int, ticket: int, until: int) -> list[Effect]:
        """Answered once the state here has all that was promised when this was called."""
        client_requests.read(self.core, now, ticket, until)
        return self.end(now)

    def tick(self, now: int, at: int) -> list[Effect]:
        """To be called at `next_at`; sooner does no harm."""
        core = self.core
        core.wall = at - now
        if core.status is not Status.HALTED:
            bootstrap.ask(core, now)
            leading.check_quorum(core, now)
            view_change.look(core, now)
            following.keep_fetching(core, now)
            client_requests.push_late(core, now)
        return self.end(now)

    def stop(self, now: int) -> list[Effect]:
        """The program ends: all that wait are answered."""
        client_requests.stop(self.core)
        return self.end(now)

    def end(self, now: int) -> list[Effect]:
        core = self.core
        where = core.view, core.status
        if core.status is not Status.HALTED:
            if core.next_start != NEVER:
                self.tell_start(core)
            if where != core.was and core.status is Status.NORMAL:
                client_requests.push_all(core, now)
            core.was = where
            leading.work(core, now)
            compact(core)
            assert core.log.base <= core.committed <= core.log.top
            assert core.sure <= core.log.top
            pending_requests.serve_reads(core)
        else:
            client_requests.halt(core)
        pending_requests.expire(core, now)
        return finish(core)

    @staticmethod
    def tell_start(core: Core) -> None:
        """With the first call: what the folder vouches for is applied."""
        core.next_start = NEVER
        if core.snapshot is not None and core.committed == core.snapshot.number:
            core.out.insert(0, Restored(core.committed, core.state))
        if core.status is not Status.BLANK:
            commit_to(core, core.sure)

    # What is seen from outside

    @property
    def next_tick_at(self) -> int:
        """When `due` is to be called next."""
        core = self.core
        if core.status is Status.HALTED:
            return NEVER
        times = [core.next_start, core.want_at]
        if core.fetching is not None:
            times.append(core.fetching.at + core.fixed.tuning.transfer_retry_ns if core.fetching.at else 0)
        if core.status is Status.NORMAL and core.fixed.votes and not core.view and not core.log.top:
            times.append(core.leader_heard + core.fixed.tuning.first_entry_timeout_ns)
        if core.status is Status.BLANK and core.fixed.votes and core.fetching is None:
            times.append(core.ask_at)
        if core.leading and not core.doubt:
            times.append(core.beat_at)
        elif core.status is not Status.BLANK and core.fixed.votes:
            times.append(max(view_change.suspect_from(core), core.suspect_at))
            if core.status is Status.VIEW_CHANGE:
                times.append(core.again_at)
        return min(times)

    @property
    def status(self) -> Status:
        return self.core.status

    @property
    def view(self) -> int:
        return self.core.view

    @property
    def group(self) -> str:
        """The group's id; "" while no entry is known to be committed."""
        return self.core.group

    @property
    def leader(self) -> str | None:
        """Who leads as far as this member knows."""
        core = self.core
        return core.leader if core.status is Status.NORMAL and not core.doubt else None

    @property
    def committed(self) -> int:
        return self.core.committed

    @property
    def durable(self) -> int:
        """The last entry that a restart of this member surely finds again; without a disk a restart asks the
        others for all that is committed.
        """
        return self.core.durable_top if self.core.fixed.disk else self.core.committed

    @property
    def state(self) -> Any:
        return self.core.state

    def member_rows(self, now: int) -> tuple[MemberRow, ...]:
        core = self.core
        rows = {row.name: row for row in all_rows(core)}
        found = []
        for name in core.fixed.members:
            row, heard = rows.get(name), 0 if name == core.fixed.me else now - core.heard.get(name, now + 1)
            status = core.status.value if name == core.fixed.me else row.status if row else "unknown"
            found.append(
                MemberRow(
                    name,
                    name in core.fixed.voters,
                    name == self.leader,
                    status,
                    core.lives.get(name, 0),
                    row.committed if row else 0,
                    heard,
                )
            )
        return tuple(found)

    # For the model checker

    def freeze(self) -> Frozen:
        """All of it as plain values, between two calls."""
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
        """The replica that was frozen."""
        replica = cls.__new__(cls)
        fixed = Fixed(me, tuple(voters), (*voters, *learners), machine, disk, tuning, noop)
        replica.core = thaw(Core(fixed, 0, 0), frozen)
        if replica.core.leading:
            leading.look_ahead(replica.core)
        return replica

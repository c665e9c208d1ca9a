"""A member of a group: joins replica, links, disk and controller.

It carries out the replica's effects in order, and decides nothing.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.group.client_calls import ClientCalls
from ambershift.coordinator.group.daemon_thread import run_in_daemon_thread
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.disk.worker import DiskWorker
from ambershift.coordinator.group.gossip import Gossip
from ambershift.coordinator.group.links.handshake import LocalIdentity
from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.links.link_manager import LinkManager
from ambershift.coordinator.group.links.wire import CloseReason, FrameKind, Refusal, UnreadableError
from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.group.startup import Note, StartupState, create_replica, start_incarnation
from ambershift.coordinator.promises.codec import decode_command, decode_outcome
from ambershift.coordinator.promises.commands import Command, Wishes
from ambershift.coordinator.promises.state import GroupState
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.promises.uncommitted_ends import uncommitted_ends
from ambershift.coordinator.replication import messages, types
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import Answer, Applied, Halt, Reason, Restored, Send, Write

SECOND = 1_000_000_000
FAILED_TICK_DELAY_S = 0.2  # Until the next tick after one that raised an error.
MAX_TIMER_DELAY_S = 3600.0
MAX_ERROR_LENGTH = 200


class Member(ClientCalls):
    """One member of a group.

    Attributes:
        members: The names of all members.
        last_heard: When each other member was last heard, ns.
        links: The links to the other members.
        startup: What this member started with.
        gossip: The exchange of records that aren't in the log.
        commit_listeners: Called with the state after each committed entry, and the command; that is None
            where a snapshot replaced the state.
        counters_handler: Takes samples of counter sources: a source's name and a payload.
    """

    def __init__(
        self,
        spec: MemberSpec,
        machine: GroupStateMachine,
        desk_applier: DeskApplier,
        now: Callable[[], int],
        note: Note,
        seed: int,
    ) -> None:
        """Prepare; `open` starts the member.

        Args:
            spec: The member and its group.
            machine: The replicated state machine.
            desk_applier: Applies the committed state.
            now: The monotonic clock, ns.
            note: Writes a log event.
            seed: Of all that is random in replica and links.
        """
        super().__init__()
        self.spec = spec
        self.machine = machine
        self.desk_applier = desk_applier
        self.now = now
        self.note = note
        self._seed = seed
        self.members = frozenset((*spec.voters, *spec.learners))
        self.last_heard = dict[str, int]()
        self.links = LinkManager(spec.listen, spec.peers, self, note, seed)
        self.replica: Replica | None = None
        self.startup = StartupState(0, None, None, "")
        self._disk: DiskWorker | None = None
        self.halted: tuple[str, str] | None = None
        self._incarnation_renewed = False
        self._was_accepted = False  # Whether any member has accepted this one's link.
        self.stopping = False
        self.timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self.gossip = Gossip(self)
        self.commit_listeners = list[Callable[[GroupState, Command | None], None]]()
        self.counters_handler: Callable[[str, bytes], None] | None = None
        self._restarts = set[asyncio.Task[None]]()

    # Start and end.

    async def open(self) -> None:
        """Start the replica, and open links and gossip.

        Raises:
            NoFolderError: The folder is another member's, or another process has it.
            OSError: The address can't be listened at.
        """
        await self.start_replica()
        await self.links.open()
        self.gossip.open()

    async def start_replica(self, min_incarnation: int = 0, void_reason: str = "") -> None:
        """Start a replica under a new incarnation, with the durable state or, without any, blank.

        Args:
            min_incarnation: The lowest incarnation that will do.
            void_reason: Why the folder's content must not be used; empty where it may.

        Raises:
            NoFolderError: The folder is another member's, or another process has it.
        """
        self.startup = await run_in_daemon_thread(
            start_incarnation, self.spec, self.note, min_incarnation, void_reason
        )
        self.halted = ("disk-failed", self.startup.disk_error) if self.startup.disk_error else None
        if self.halted:
            return
        if self.startup.folder is not None:
            self._disk = DiskWorker(self.startup.folder, self, asyncio.get_running_loop())
            self._disk.start()
        saved = self.startup.saved
        self.desk_applier.uncommitted_ends = (
            uncommitted_ends(saved.entries, saved.committed) if saved is not None else {}
        )
        self.replica = create_replica(self.spec, self.machine, self.startup, self.now(), self._seed)
        self.gossip.set_incarnation(self.startup.incarnation)
        self.note(
            "group_start",
            incarnation=self.startup.incarnation,
            folder=self.startup.folder is not None,
            kept=self.startup.saved is not None,
            status=self.replica.status.value,
        )
        if self.replica.committed:
            self._apply_snapshot(self.replica.state)
        self._arm_timer()

    async def close(self) -> None:
        """Answer all calls that wait, then close links and disk."""
        self.stop()
        self.gossip.close()
        if self.timer:
            self.timer.cancel()
        await self.links.close()
        await self.close_disk()

    def stop(self) -> None:
        """Stop the replica; it answers all calls that wait."""
        if not self.stopping and self.replica is not None:
            self.stopping = True
            self.perform(self.replica.stop(self.now()))

    async def close_disk(self) -> None:
        """Sync what is queued, and close the folder."""
        disk, self._disk = self._disk, None
        if disk and not await run_in_daemon_thread(disk.close):
            self.note("disk_hangs")

    # LinkListener.

    def local_identity(self) -> LocalIdentity:
        """Return what this member says of itself in a handshake."""
        group_id = self.replica.group if self.replica is not None else ""
        return LocalIdentity(
            self.spec.name,
            self.spec.group_name,
            self.spec.voters,
            self.members,
            self.startup.incarnation,
            group_id,
        )

    def on_frame(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        """Take a frame of another member.

        Raises:
            UnreadableError: The payload is malformed.
        """
        if self.halted or self.stopping or self.replica is None:
            return
        self.last_heard[sender] = self.now()
        if kind is FrameKind.HEARD:
            self.gossip.receive(sender, payload)
            return
        try:
            message = messages.decode(payload)
        except messages.UnreadableError as error:
            raise UnreadableError(str(error)) from None
        self.perform(self.replica.receive(self.now(), sender, message))

    def on_link_lost(self, member: str) -> None:
        """Tell the replica that messages to that member may be lost."""
        if self.replica is not None and not self.halted:
            self.perform(self.replica.link_lost(self.now(), member))

    def on_link_up(self, member: str) -> None:
        """Record that another member accepts this incarnation."""
        self._was_accepted = True

    def on_refused(self, member: str, refused: Refusal) -> None:
        """Restart under a newer incarnation, once and before any member accepted this one, or halt."""
        if self.halted or refused.reason not in (CloseReason.SUPERSEDED, CloseReason.CLONED):
            return
        if (
            refused.reason == CloseReason.SUPERSEDED
            and not self._was_accepted
            and not self._incarnation_renewed
        ):
            # The machine's clock went back while this member was away, and incarnations come from the clock.
            self._incarnation_renewed = True
            self._restart(refused.known + 1, "")
        else:
            self.halt(refused.reason, refused.why)

    def on_counters(self, name: str, payload: bytes) -> None:
        """Pass on samples of a counter source.

        Raises:
            UnreadableError: The payload is malformed.
        """
        if self.counters_handler is not None:
            self.counters_handler(name, payload)

    # DiskListener.

    def synced(self, ticket: int) -> None:
        """Tell the replica that its writes up to this ticket are durable."""
        if self.replica is not None and not self.halted:
            self.perform(self.replica.write_synced(self.now(), ticket))

    def failed(self, reason: str) -> None:
        """Halt, as nothing more is durable; the coordinator goes on to steer its proxies."""
        self.note("disk_failed", why=reason)
        self.halt("disk-failed", reason)

    # Effects of the replica.

    def perform(self, effects: list[Any]) -> None:
        """Carry out effects of the replica, in order."""
        restart: tuple[int, str] | None = None
        for effect in effects:
            if not isinstance(effect, Applied):
                self.desk_applier.flush()
            match effect:
                case Send():
                    self.links.send(effect.to, FrameKind.REPLICA, messages.encode(effect.message))
                case Write():
                    if self._disk is not None:
                        self._disk.write(effect)
                case Applied():
                    self._apply_entry(effect)
                case Restored():
                    self._apply_snapshot(effect.state)
                    self.desk_applier.entries_committed(effect.number)
                case Answer():
                    self.deliver_answer(effect)
                case types.Note():
                    self.note(effect.event.replace("-", "_"), **effect.fields)
                case Halt():
                    if effect.reason is Reason.OLD_FOLDER and self.startup.folder is not None:
                        restart = 0, Reason.OLD_FOLDER.value
                    elif (
                        effect.reason is Reason.SUPERSEDED
                        and not self._was_accepted
                        and not self._incarnation_renewed
                    ):
                        self._incarnation_renewed, restart = True, (time.time_ns(), "")
                    else:
                        self.halt(effect.reason.value, effect.why)
        self.desk_applier.flush()
        if restart is not None:
            self._restart(*restart)
        self._arm_timer()

    def _apply_entry(self, effect: Applied[Any]) -> None:
        command, outcome = decode_command(effect.entry.command), decode_outcome(effect.answer)
        if outcome.done and outcome.changed:
            if isinstance(command, Wishes):
                self.desk_applier.queue_wishes(effect.state, outcome.changed, command.who, command.text)
            else:
                self.desk_applier.flush()
                self.desk_applier.apply_permits(effect.state)
        self.desk_applier.entries_committed(effect.entry.number)
        for listener in self.commit_listeners:
            listener(effect.state, command)

    def _apply_snapshot(self, state: GroupState) -> None:
        self.desk_applier.apply_snapshot(state)
        for listener in self.commit_listeners:
            listener(state, None)

    def halt(self, reason: str, why: str) -> None:
        """Take no part until an operator restarts the member.

        The coordinator goes on to steer its proxies, by the state that was committed last.
        """
        if self.halted is None:
            self.halted = reason, why
            self.note("group_halted", reason=reason, why=why)
            self.fail_pending_calls()

    def _restart(self, min_incarnation: int, void_reason: str) -> None:
        """Start another replica in this process, blank or under a newer incarnation."""
        self.halted = "starting-again", void_reason or "superseded before it was let in"
        task = asyncio.get_running_loop().create_task(self._run_restart(min_incarnation, void_reason))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _run_restart(self, min_incarnation: int, void_reason: str) -> None:
        try:
            await self.close_disk()
            await self.start_replica(min_incarnation, void_reason)
        except Exception as error:  # Logged as a halt: without it the member would be out without a word.
            self.halted = None
            self.halt("disk-failed", str(error)[:MAX_ERROR_LENGTH])

    # Time.

    def _arm_timer(self) -> None:
        if self.replica is None or self.halted or self.stopping:
            return
        at = self.replica.next_tick_at
        if self.timer is not None and not self.timer.cancelled():
            if self._timer_at == at:
                return
            self.timer.cancel()
        self._timer_at = at
        delay_s = min(MAX_TIMER_DELAY_S, max(0, at - self.now()) / SECOND)
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        if self.replica is None or self.halted or self.stopping:
            return
        try:
            self.perform(self.replica.tick(self.now(), self.wall()))
        except Exception as error:  # Without another timer the member would be silent for ever.
            log_failure(self.note, "replica", error)
            self.timer = asyncio.get_running_loop().call_later(FAILED_TICK_DELAY_S, self._on_timer)

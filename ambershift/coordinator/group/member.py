"""Member: joins replica, links, disk and desk. It carries out effects in their order and decides nothing."""

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
from ambershift.coordinator.group.startup import Note, StartupState, begin, replica_of
from ambershift.coordinator.promises.answers import decode, read_answer
from ambershift.coordinator.promises.machine import PromisesMachine
from ambershift.coordinator.promises.state import Promises
from ambershift.coordinator.promises.unconfirmed import sooner_ends
from ambershift.coordinator.promises.words import Command, Wishes
from ambershift.coordinator.replication import messages, types
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import Answer, Applied, Halt, Reason, Restored, Send, Write

SECOND, FAILED_PAUSE = 1_000_000_000, 0.2


class Member(ClientCalls):
    """`now` never goes back; `wall` is this member's wall clock, what its clock is set ahead included."""

    def __init__(
        self,
        spec: MemberSpec,
        machine: PromisesMachine,
        at_desk: DeskApplier,
        now: Callable[[], int],
        note: Note,
        seed: int,
    ) -> None:
        super().__init__()
        self.spec, self.machine, self.at_desk, self.now, self.note = spec, machine, at_desk, now, note
        self.seed = seed
        self.members = frozenset((*spec.voters, *spec.copies))
        self.heard_at = dict[str, int]()  # The last word of each, of whatever kind.
        self.links = LinkManager(spec.listen, spec.peers, self, note, seed)
        self.replica: Replica | None = None
        self.life = StartupState(0, None, None, "")
        self.disk: DiskWorker | None = None
        self.halted: tuple[str, str] | None = None
        self.renewed, self.welcomed, self.stopping = False, False, False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.gossip = Gossip(self)
        self.listeners = list[Callable[[Promises, Command | None], None]]()  # Told what was committed.
        self.counters_handler: Callable[[str, bytes], None] | None = None
        self.again = set[asyncio.Task[None]]()

    # Beginning and ending

    async def open(self) -> None:
        """A NoFolderError where the folder is another's, an OSError where the address can't be had."""
        await self.live()
        await self.links.open()
        self.gossip.open()

    async def live(self, least: int = 0, void: str = "") -> None:
        """Begin a life: as what the folder vouches for, or blank."""
        self.life = await run_in_daemon_thread(begin, self.spec, self.note, least, void)
        self.halted = ("disk-failed", self.life.failed) if self.life.failed else None
        if self.halted:
            return
        if self.life.folder is not None:
            self.disk = DiskWorker(self.life.folder, self, asyncio.get_running_loop())
            self.disk.start()
        saved = self.life.saved
        self.at_desk.sooner = sooner_ends(saved.entries, saved.committed) if saved is not None else {}
        self.replica = replica_of(self.spec, self.machine, self.life, self.now(), self.seed)
        self.gossip.live(self.life.incarnation)
        self.note(
            "group_start",
            incarnation=self.life.incarnation,
            folder=self.life.folder is not None,
            kept=self.life.saved is not None,
            status=self.replica.status.value,
        )
        if self.replica.committed:
            self.take_all(self.replica.state)
        self.arm()

    async def close(self) -> None:
        """All that wait are answered first."""
        self.stop()
        self.gossip.close()
        if self.timer:
            self.timer.cancel()
        await self.links.close()
        await self.end_disk()

    def stop(self) -> None:
        if not self.stopping and self.replica is not None:
            self.stopping = True
            self.perform(self.replica.stop(self.now()))

    async def end_disk(self) -> None:
        disk, self.disk = self.disk, None
        if disk and not await run_in_daemon_thread(disk.close):
            self.note("disk_hangs")

    # What links tell

    def local_identity(self) -> LocalIdentity:
        group = self.replica.group if self.replica is not None else ""
        return LocalIdentity(
            self.spec.me, self.spec.title, self.spec.voters, self.members, self.life.incarnation, group
        )

    def on_frame(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        if self.halted or self.stopping or self.replica is None:
            return
        self.heard_at[sender] = self.now()
        if kind is FrameKind.HEARD:
            self.gossip.hear(sender, payload)
            return
        try:
            message = messages.decode(payload)
        except messages.UnreadableError as error:
            raise UnreadableError(str(error)) from None
        self.perform(self.replica.hear(self.now(), sender, message))

    def on_link_lost(self, member: str) -> None:
        if self.replica is not None and not self.halted:
            self.perform(self.replica.gone(self.now(), member))

    def on_link_up(self, member: str) -> None:
        self.welcomed = True

    def on_refused(self, member: str, refused: Refusal) -> None:
        if self.halted or refused.reason not in (CloseReason.SUPERSEDED, CloseReason.CLONED):
            return
        if refused.reason == CloseReason.SUPERSEDED and not self.welcomed and not self.renewed:
            # Its clock went back while it was away: it takes a newer incarnation, once.
            self.renewed = True
            self.start_again(refused.known + 1, "")
        else:
            self.halt(refused.reason, refused.why)

    def on_counters(self, name: str, payload: bytes) -> None:
        if self.counters_handler is not None:
            self.counters_handler(name, payload)

    # What the disk tells

    def synced(self, ticket: int) -> None:
        if self.replica is not None and not self.halted:
            self.perform(self.replica.synced(self.now(), ticket))

    def failed(self, reason: str) -> None:
        """Nothing more can be vouched for: others go on without this member, and it steers on."""
        self.note("disk_failed", why=reason)
        self.halt("disk-failed", reason)

    # What the replica wants

    def perform(self, effects: list[Any]) -> None:
        again: tuple[int, str] | None = None
        for effect in effects:
            if not isinstance(effect, Applied):
                self.at_desk.flush()
            match effect:
                case Send():
                    self.links.send(effect.to, FrameKind.REPLICA, messages.encode(effect.message))
                case Write():
                    if self.disk is not None:
                        self.disk.write(effect)
                case Applied():
                    self.applied(effect)
                case Restored():
                    self.take_all(effect.state)
                    self.at_desk.committed(effect.number)
                case Answer():
                    self.answered(effect)
                case types.Note():
                    self.note(effect.event.replace("-", "_"), **effect.fields)
                case Halt():
                    if effect.reason is Reason.OLD_FOLDER and self.life.folder is not None:
                        again = 0, Reason.OLD_FOLDER.value
                    elif effect.reason is Reason.SUPERSEDED and not self.welcomed and not self.renewed:
                        self.renewed, again = True, (time.time_ns(), "")
                    else:
                        self.halt(effect.reason.value, effect.why)
        self.at_desk.flush()
        if again is not None:
            self.start_again(*again)
        self.arm()

    def applied(self, effect: Applied[Any]) -> None:
        command, outcome = decode(effect.entry.command), read_answer(effect.answer)
        if outcome.done and outcome.changed:
            if isinstance(command, Wishes):
                self.at_desk.gather(effect.state, outcome.changed, command.who, command.text)
            else:
                self.at_desk.flush()
                self.at_desk.permits(effect.state)
        self.at_desk.committed(effect.entry.number)
        for listener in self.listeners:
            listener(effect.state, command)

    def take_all(self, state: Promises) -> None:
        self.at_desk.all(state)
        for listener in self.listeners:
            listener(state, None)

    def halt(self, reason: str, why: str) -> None:
        """It takes no part until it is started anew by a person; steering goes on, and what stood stands."""
        if self.halted is None:
            self.halted = reason, why
            self.note("group_halted", reason=reason, why=why)
            self.unknown_all()

    def start_again(self, least: int, void: str) -> None:
        """A new life in the same process: blank, or under a newer incarnation."""
        self.halted = "starting-again", void or "superseded before it was let in"
        task = asyncio.get_running_loop().create_task(self.renew(least, void))
        self.again.add(task)
        task.add_done_callback(self.again.discard)

    async def renew(self, least: int, void: str) -> None:
        try:
            await self.end_disk()
            await self.live(least, void)
        except Exception as error:  # The member must not be lost unheard: it says why, and stays out.
            self.halted = None
            self.halt("disk-failed", str(error)[:200])

    # Time

    def arm(self) -> None:
        if self.replica is None or self.halted or self.stopping:
            return
        at = self.replica.next_at
        if self.timer is not None and not self.timer.cancelled():
            if self.timer_at == at:
                return
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(
            min(3600.0, max(0, at - self.now()) / SECOND), self.ring
        )

    def ring(self) -> None:
        self.timer = None
        if self.replica is None or self.halted or self.stopping:
            return
        try:
            self.perform(self.replica.due(self.now(), self.wall()))
        except Exception as error:  # Told in full; without a timer the member would be silent for ever.
            log_failure(self.note, "replica", error)
            self.timer = asyncio.get_running_loop().call_later(FAILED_PAUSE, self.ring)

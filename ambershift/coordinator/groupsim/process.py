"""One member's process: the replica that runs, its folder and clocks, and what becomes of its effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ambershift.coordinator.groupsim.chance import Chance
from ambershift.coordinator.groupsim.folder import Folder
from ambershift.coordinator.groupsim.plan import MS, SECOND
from ambershift.coordinator.groupsim.register import RegisterMachine
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.tuning import Tuning
from ambershift.coordinator.replication.types import (
    Answer,
    Applied,
    Effect,
    Halt,
    Note,
    Reason,
    Restored,
    Send,
    Status,
    Write,
)

if TYPE_CHECKING:
    from ambershift.coordinator.groupsim.world import World

START = 1_700_000_000 * SECOND
INBOX_MOST = 64
MACHINE = RegisterMachine()
ROOMY = Tuning(heartbeat_ns=130 * MS)  # Fewer beats, so that a history costs less.
TIGHT = Tuning(
    heartbeat_ns=130 * MS,
    snapshot_interval_entries=6,
    max_chunk_bytes=150,
    max_batch_bytes=100,
    max_uncommitted_entries=6,
    max_batches_in_flight=2,
)


class Process:
    def __init__(self, world: World, name: str, chance: Chance, drift: int) -> None:
        self.world, self.name, self.chance, self.drift = world, name, chance, drift
        self.voter = name in world.plan.voters
        self.folder = Folder() if name in world.plan.folders else None
        self.replica: Replica | None = None
        self.runs, self.incarnation, self.wall, self.ring_at = 0, 0, 0, -1
        self.offset = chance.below(1 << 30)
        self.stopped, self.sync_at, self.told_late = False, 0, 0
        self.inbox = list[tuple[str, int, str, Any]]()
        self.newest = dict[str, int]()  # The incarnations that others were heard under.
        self.behind = 0  # After an old copy: what it had vouched for; 0: its folder is what it was.
        self.forgot = 0  # Up to here it had vouched in lives before.
        self.halted: Reason | None = None

    # Clocks

    def clock(self) -> int:
        return self.offset + self.world.now * (1000 + self.drift) // 1000

    def when(self, clock: int) -> int:
        return -((self.offset - clock) * 1000 // (1000 + self.drift))

    # Its life

    def start(self) -> None:
        self.runs += 1
        self.world.starts += 1
        saved = self.folder.saved() if self.folder is not None else None
        self.incarnation, self.newest, self.halted = self.world.starts, {}, None
        self.stopped, self.inbox, self.ring_at, self.told_late = False, [], -1, 0
        held = "its folder" if saved else "nothing"
        self.world.tell(self.name, f"starts as incarnation {self.incarnation} with {held}")
        self.replica = Replica(
            self.name,
            self.world.plan.voters,
            self.world.plan.copies,
            MACHINE,
            self.world.plan.seed * 1000 + self.incarnation,
            self.incarnation,
            saved,
            self.folder is not None,
            TIGHT if self.world.plan.tight else ROOMY,
            self.clock(),
        )
        self.world.judge.started(self)
        self.ring()

    def crash(self, kept: int) -> None:
        """`kept` in thousandths: how many of the writes under way got to the disk."""
        self.world.tell(self.name, "crashes")
        vouched = (
            self.folder.newest() if self.folder else self.replica.core.log.last_number if self.replica else 0
        )
        self.forgot = max(self.forgot, vouched)
        self.replica = None
        self.runs += 1
        if self.folder is not None:
            self.folder.crash(len(self.folder.waiting) * kept // 1000)
        for client in self.world.clients:
            client.broke(self.name)
        for other in self.world.processes.values():
            if other is not self:
                other.link_broke(self.name)

    def stop(self, stopped: bool) -> None:
        self.world.tell(self.name, "stands still" if stopped else "goes on")
        self.stopped = stopped
        if not stopped and self.replica is not None:
            inbox, self.inbox = self.inbox, []
            if self.told_late and self.folder is not None:
                ticket, self.told_late = self.told_late, 0
                self.synced(self.runs, self.folder, ticket)
            # Which comes first after a long stop, what waited or the clock, is chance.
            if self.chance.hits(500):
                self.ring(True)
            for one in inbox:
                self.hear(*one)
            self.ring(True)

    @property
    def up(self) -> bool:
        return self.replica is not None and not self.stopped and self.halted is None

    def holds(self) -> bool:
        """Whether it vouches for anything: in its memory, or in its folder while it is down."""
        if self.behind:
            return False
        if self.replica is not None:
            return self.replica.status is not Status.BLANK
        return self.folder is not None and self.folder.newest() > 0

    def group(self) -> str:
        return self.replica.group if self.replica is not None else ""

    # What happens to it

    def hear(self, sender: str, incarnation: int, group: str, message: Any) -> None:
        if self.replica is None or self.halted is not None:
            return
        if self.stopped:
            if len(self.inbox) < INBOX_MOST:
                self.inbox.append((sender, incarnation, group, message))
            return
        # What the hello of a link refuses: an older incarnation, another group.
        if incarnation < self.newest.get(sender, 0) or (group and self.group() not in ("", group)):
            self.world.count("refused by hello")
            return
        self.newest[sender] = incarnation
        if self.world.traced:
            self.world.tell(self.name, f"hears {sender}: {message}")
        self.carry(self.replica.receive(self.clock(), sender, message))

    def link_broke(self, other: str) -> None:
        if self.up and self.replica is not None:
            self.carry(self.replica.link_lost(self.clock(), other))

    def ring(self, now: bool = False) -> None:
        """Asks for the replica's next time, and calls it then."""
        if not self.up or self.replica is None:
            return
        if now and self.replica.next_tick_at <= self.clock():
            self.carry(self.replica.tick(self.clock(), START + self.world.now + self.wall))
            return
        when = max(self.when(self.replica.next_tick_at), self.world.now)
        if when != self.ring_at:
            self.ring_at = when
            self.world.at(when, self.rings, self.runs, when)

    def rings(self, run: int, when: int) -> None:
        if run == self.runs and when == self.ring_at:
            self.ring_at = -1
            self.ring(True)

    def synced(self, run: int, folder: Folder, ticket: int) -> None:
        if run != self.runs or self.replica is None or folder is not self.folder:
            return
        folder.sync(ticket)
        if self.stopped:  # The disk is done; the process hears of it when it goes on.
            self.told_late = max(self.told_late, ticket)
        elif self.halted is None:
            self.carry(self.replica.write_synced(self.clock(), ticket))

    def submit(self, ticket: int, token: str, command: bytes, waits: int) -> None:
        assert self.replica is not None
        now, at = self.clock(), START + self.world.now + self.wall
        self.carry(self.replica.submit(now, at, ticket, token, command, now + waits))

    def read(self, ticket: int, waits: int) -> None:
        assert self.replica is not None
        self.carry(self.replica.read(self.clock(), ticket, self.clock() + waits))

    # What it does

    def carry(self, effects: list[Effect]) -> None:
        world = self.world
        for effect in effects:
            if isinstance(effect, Send):
                world.network.send(self, effect.to, effect.message)
            elif isinstance(effect, Write):
                assert self.folder is not None, "a write without a folder"
                self.folder.waiting.append(effect)
                takes = 1 + self.chance.below(world.network.weather.sync_ns)
                self.sync_at = max(self.sync_at, world.now) + takes
                world.at(self.sync_at, self.synced, self.runs, self.folder, effect.ticket)
            elif isinstance(effect, Applied):
                world.judge.applied(self, effect)
            elif isinstance(effect, Restored):
                world.judge.restored(self, effect)
            elif isinstance(effect, Answer):
                for client in world.clients:
                    client.answered(effect)
            elif isinstance(effect, Note):
                world.tell(self.name, f"notes {effect.event} {effect.fields}")
            elif isinstance(effect, Halt):
                self.halts(effect)
                return
        self.ring()

    def halts(self, halt: Halt) -> None:
        self.world.tell(self.name, f"halts: {halt.reason} {halt.why}")
        self.world.count(f"halted {halt.reason}")
        self.halted = halt.reason
        for client in self.world.clients:
            client.broke(self.name)
        if halt.reason is Reason.OLD_FOLDER and self.folder is not None:
            self.folder, self.behind = Folder(), 0
            self.start()

"""A simulated network of replicas with disks, clients and faults, in virtual time; a seed gives a history."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from ambershift.coordinator.replication.messages import decode, encode
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, MS, Tuning
from ambershift.coordinator.replication.types import (
    Answer,
    Applied,
    Entry,
    Halt,
    Note,
    PersistedState,
    Reason,
    Restored,
    Send,
    Status,
    Write,
)

SECOND = 1000 * MS
WALL = 1_700_000_000 * SECOND


class CountingMachine:
    """A state machine that counts entries and hashes them in order; the answer is the number of the entry."""

    def initial(self) -> tuple[int, int]:
        return 0, 0

    def validate(self, state: tuple[int, int], at: int, command: bytes) -> bytes | None:
        return b"refused" if command == b"bad" else None

    def apply(self, state: tuple[int, int], entry: Entry) -> tuple[tuple[int, int], bytes]:
        count, total = state
        return (count + 1, hash((total, entry.command)) & 0xFFFFFFFF), b"%d" % entry.number

    def digest(self, command: bytes) -> bytes:
        return command

    def pack(self, state: tuple[int, int]) -> bytes:
        return b"%d %d" % state

    def unpack(self, data: bytes) -> tuple[int, int]:
        count, total = data.split()
        return int(count), int(total)


def folder_after(saved: PersistedState | None, write: Write) -> PersistedState:
    """What a folder holds after a write."""
    snapshot = write.snapshot or (saved.snapshot if saved else None)
    kept = [
        entry
        for entry in (saved.entries if saved else ())
        if not write.truncate_from or entry.number < write.truncate_from
    ]
    base = snapshot.number if snapshot else 0
    entries = (*(entry for entry in kept if entry.number > base), *write.entries)
    assert [entry.number for entry in entries] == list(range(base + 1, base + 1 + len(entries)))
    assert (entries[-1].view if entries else snapshot.view if snapshot else 0) == write.last_entry_view
    return PersistedState(
        write.group, write.incarnation, write.view, write.last_entry_view, write.committed, snapshot, entries
    )


class Host:
    """A machine: its folder remains when its process ends and starts again."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.replica: Replica | None = None
        self.start_count = 0  # Events that were meant for an earlier start are ignored.
        self.saved: PersistedState | None = None
        self.old_folders: list[PersistedState] = []
        self.pending: list[Write] = []
        # View and number of its last entry when it lost its state; None: it has got it back.
        self.lost_position: tuple[int, int] | None = None
        self.disk_hangs = False  # Syncs do not return.
        self.has_old_folder = False  # An older copy of its folder was put back.
        self.halts: list[Reason] = []
        self.paused = False
        self.inbox: list[Any] = []
        self.applied_number = 0
        self.wakes_at = -1

    @property
    def has_empty_folder(self) -> bool:
        """Whether nothing is recovered from its folder."""
        saved = self.saved
        return saved is None or not (saved.view or saved.entries or saved.snapshot)


class Waiting(NamedTuple):
    """A client's request without an answer."""

    host: str
    start_count: int
    token: str
    command: bytes
    min_number: int  # For a read: the highest number acknowledged when it was made.
    is_repeat: bool = False  # The token was submitted before.


class Simulation:
    """A group and its clients.

    The rates, from 0 to 1, are of messages that are lost, sent twice and very late, and of slow syncs.
    """

    def __init__(
        self,
        seed: int,
        voters: int,
        learners: int = 0,
        disk: bool = False,
        tuning: Tuning = DEFAULT_TUNING,
        loss_rate: float = 0.0,
        repeat_rate: float = 0.0,
        late_rate: float = 0.0,
        slow_sync_rate: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.voters = [f"n{index + 1}" for index in range(voters)]
        self.learners = [f"c{index + 1}" for index in range(learners)]
        self.hosts = {name: Host(name) for name in self.voters + self.learners}
        self.disk, self.tuning = disk, tuning
        self.loss_rate, self.repeat_rate = loss_rate, repeat_rate
        self.late_rate, self.slow_sync_rate = late_rate, slow_sync_rate
        self.now, self.event_count = 0, 0
        self.events: list[tuple[int, int, Any]] = []
        self.cuts = set[tuple[str, str]]()  # Sender and receiver between which all messages are lost.
        self.incarnation = 100
        self.tickets = 0
        self.waiting: dict[int, Waiting] = {}
        self.log: dict[int, Entry] = {}
        self.tokens: dict[str, int] = {}
        self.acked: dict[str, int] = {}
        self.refused = set[str]()
        self.asked = set[str]()
        self.answers: Counter[str] = Counter()
        self.notes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    # Events, processes and disks

    def schedule(self, delay: int, event: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, event))

    def run(self, duration: int) -> None:
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = end

    def start(self, name: str, folder: PersistedState | str | None = "own") -> None:
        host = self.hosts[name]
        if folder != "own":
            host.saved = folder  # type: ignore[assignment]
        self.incarnation += 1
        host.start_count += 1
        host.pending, host.inbox, host.paused = [], [], False
        host.replica = Replica(
            name,
            self.voters,
            self.learners,
            CountingMachine(),
            self.random.getrandbits(63),
            self.incarnation,
            host.saved if self.disk else None,
            self.disk,
            self.tuning,
            self.now,
            noop=b"noop",
        )
        host.applied_number = 0
        self.schedule_tick(host)

    def start_if_down(self, name: str) -> None:
        if self.hosts[name].replica is None:
            self.start(name)

    def crash(self, name: str, tear: bool = True, tell: bool | None = None) -> None:
        """End the process. `tear`: some of the unsynced writes may reach the disk, else none does.

        `tell`: whether the others notice that their links broke; None: each by chance.
        """
        host = self.hosts[name]
        if host.replica is None:
            return
        core = host.replica.core
        if not self.disk and host.replica.status is not Status.BLANK:
            host.lost_position = host.lost_position or (core.log.last_view, core.log.last_number)
        for write in host.pending[: self.random.randint(0, len(host.pending)) if tear else 0]:
            host.saved = folder_after(host.saved, write)
        if self.disk and host.saved is None and host.replica.status is not Status.BLANK:
            host.lost_position = host.lost_position or (core.log.last_view, core.log.last_number)
        host.replica, host.pending, host.start_count = None, [], host.start_count + 1
        for other in self.hosts.values():
            if self.random.random() < 0.5 if tell is None else tell:
                self.call_replica(other, other.start_count, lambda replica: replica.link_lost(self.now, name))
        for ticket, waiting in list(self.waiting.items()):
            if waiting.host == name:
                del self.waiting[ticket]

    def lose_folder(self, name: str) -> None:
        host = self.hosts[name]
        assert host.replica is None
        if host.saved is not None:
            last_number = host.saved.entries[-1].number if host.saved.entries else 0
            host.lost_position = host.lost_position or (host.saved.last_entry_view, last_number)
        host.saved = None

    def restore_old_folder(self, name: str) -> None:
        host = self.hosts[name]
        if host.old_folders and host.saved is not None:
            newest, host.saved = host.saved, self.random.choice(host.old_folders)
            if host.saved != newest:
                base = newest.snapshot.number if newest.snapshot else 0
                last_number = newest.entries[-1].number if newest.entries else base
                host.lost_position = host.lost_position or (newest.last_entry_view, last_number)
                host.has_old_folder = True

    def has_lost_state(self, name: str) -> bool:
        """Whether a member lacks state that it has lost and not yet recovered."""
        host = self.hosts[name]
        if host.has_empty_folder and (host.replica is None or host.replica.status is Status.BLANK):
            # A voter that was blank when the group was formed is a member of it, whether it knows or not.
            return any(
                not voter.has_empty_folder or (voter.replica and voter.replica.status is not Status.BLANK)
                for voter_name, voter in self.hosts.items()
                if voter_name in self.voters
            )
        if host.lost_position is None:
            return False
        if host.replica is None or host.replica.status in (Status.BLANK, Status.HALTED):
            return True
        core = host.replica.core
        saved = host.saved
        if self.disk and (saved is None or saved.incarnation != core.incarnation):
            return True
        valid_number = core.log.last_number if core.leading else core.matched_number
        if (core.log.last_view, min(valid_number, core.durable)) < host.lost_position:
            return True
        host.lost_position, host.has_old_folder = None, False
        return False

    def carry_out(self, host: Host, effects: list[Any]) -> None:
        assert host.replica is not None
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent[type(message).__name__] += 1
                    self.send(host.name, to, encode(message))
                case Write():
                    host.pending.append(effect)
                    max_ms = 300 if self.random.random() < self.slow_sync_rate else 8
                    delay = self.random.randint(1, max_ms) * MS
                    self.schedule(delay, self.sync_event(host, host.start_count, effect.ticket))
                case Applied(entry, answer, _):
                    self.check_applied(host, entry, answer)
                case Restored(number, _):
                    assert number > host.applied_number
                    host.applied_number = number
                case Answer():
                    self.check_answer(effect)
                case Halt(reason, _):
                    host.halts.append(reason)
                    self.schedule(50 * MS, self.restart_after_halt(host, host.start_count, reason))
                case Note(event, _):
                    self.notes[event] += 1
        self.schedule_tick(host)

    def restart_after_halt(self, host: Host, start_count: int, reason: Reason) -> Any:
        def event() -> None:
            if host.start_count == start_count and reason is Reason.OLD_FOLDER:
                self.crash(host.name, tear=False)
                host.saved, host.old_folders = None, []
                self.start(host.name)

        return event

    def sync_event(self, host: Host, start_count: int, ticket: int) -> Any:
        def event() -> None:
            if host.start_count != start_count or not host.pending or host.pending[0].ticket > ticket:
                return
            if host.disk_hangs:
                self.schedule(50 * MS, self.sync_event(host, start_count, ticket))
                return
            while host.pending and host.pending[0].ticket <= ticket:
                host.saved = folder_after(host.saved, host.pending.pop(0))
            if self.random.random() < 0.05 and host.saved is not None:
                host.old_folders = [*host.old_folders[-3:], host.saved]
            self.call_replica(host, start_count, lambda replica: replica.write_synced(self.now, ticket))

        return event

    def call_replica(self, host: Host, start_count: int, call: Any) -> None:
        if host.replica is None or host.start_count != start_count:
            return
        if host.paused:
            host.inbox.append(call)
        else:
            self.carry_out(host, call(host.replica))

    def schedule_tick(self, host: Host) -> None:
        assert host.replica is not None
        at = max(host.replica.next_tick_at, self.now)
        if host.wakes_at < self.now or at < host.wakes_at:
            host.wakes_at = at
            start_count = host.start_count

            def event() -> None:
                if host.wakes_at == self.now:
                    host.wakes_at = -1
                self.call_replica(host, start_count, lambda replica: replica.tick(self.now, WALL + self.now))

            self.schedule(at - self.now, event)

    def send(self, source: str, to: str, data: bytes) -> None:
        for _ in range(2 if self.random.random() < self.repeat_rate else 1):
            if self.random.random() < self.loss_rate or (source, to) in self.cuts:
                continue
            delay = self.random.randint(100_000, 2 * MS)
            if self.random.random() < self.late_rate:
                delay = self.random.randint(1, 3000) * MS
            self.schedule(delay, self.arrival(source, to, data))

    def arrival(self, source: str, to: str, data: bytes) -> Any:
        def event() -> None:
            host = self.hosts[to]
            if host.replica is not None and (source, to) not in self.cuts:
                self.call_replica(
                    host, host.start_count, lambda replica: replica.receive(self.now, source, decode(data))
                )

        return event

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        calls, host.inbox = host.inbox, []
        for call in calls:
            self.call_replica(host, host.start_count, call)
        if host.replica is not None:
            self.carry_out(host, host.replica.tick(self.now, WALL + self.now))

    # Clients

    def submit(self, name: str, token: str, command: bytes, timeout: int = 2 * SECOND) -> int:
        """A client's command at a member; returns its ticket, 0 where the member is down or paused."""
        host = self.hosts[name]
        if host.replica is None or host.paused:
            return 0
        self.tickets += 1
        ticket = self.tickets
        self.waiting[ticket] = Waiting(name, host.start_count, token, command, 0, token in self.asked)
        self.asked.add(token)
        deadline = self.now + timeout
        self.carry_out(host, host.replica.submit(self.now, WALL + self.now, ticket, token, command, deadline))
        return ticket

    def read(self, name: str, timeout: int = 2 * SECOND) -> int:
        """A client's read at a member; returns its ticket, 0 where the member is down or paused."""
        host = self.hosts[name]
        if host.replica is None or host.paused:
            return 0
        self.tickets += 1
        ticket = self.tickets
        self.waiting[ticket] = Waiting(name, host.start_count, "", b"", max(self.acked.values(), default=0))
        self.carry_out(host, host.replica.read(self.now, ticket, self.now + timeout))
        return ticket

    # Invariants

    def check_applied(self, host: Host, entry: Entry, answer: bytes) -> None:
        """Entries are applied in order, the same at all members, and each token once."""
        assert entry.number == host.applied_number + 1, (host.name, entry.number, host.applied_number)
        host.applied_number = entry.number
        applied_first = self.log.setdefault(entry.number, entry)
        assert applied_first == entry, f"{host.name} applied {entry}, another member {applied_first}"
        if entry.token:
            assert self.tokens.setdefault(entry.token, entry.number) == entry.number, f"{entry.token} twice"
            assert entry.token not in self.refused, f"{entry.token} was refused and applied"

    def check_answer(self, answer: Answer) -> None:
        """Reads are not stale, acknowledged commands are applied, refused ones are not."""
        waiting = self.waiting.pop(answer.ticket)
        self.answers["done" if answer.reason is None else answer.reason.value] += 1
        host = self.hosts[waiting.host]
        assert host.replica is not None
        if not waiting.token:
            if answer.reason is None:
                assert host.replica.committed >= waiting.min_number, f"stale read at {waiting.host}"
        elif answer.reason is None and answer.answer != b"refused":
            number = int(answer.answer)
            assert self.tokens.get(waiting.token) == number, "acknowledged and not applied anywhere"
            assert self.acked.setdefault(waiting.token, number) == number
        elif answer.reason is Reason.NO_MAJORITY and not waiting.is_repeat:
            self.refused.add(waiting.token)
            assert waiting.token not in self.tokens, f"{waiting.token} was applied and refused"

    def heal(self) -> None:
        """End all faults and start all members."""
        self.cuts.clear()
        self.loss_rate = self.repeat_rate = self.late_rate = 0.0
        for name, host in self.hosts.items():
            host.disk_hangs = False
            if host.paused:
                self.resume(name)
            if host.replica is None:
                self.start(name)

    def settle(self) -> None:
        """End all faults; then each member takes a command, all have the same state, and nothing is lost."""
        self.heal()
        self.run(6 * SECOND)
        for name in self.hosts:
            self.submit(name, f"last-{name}", b"last")
        self.run(3 * SECOND)
        states = {
            name: host.replica
            and (
                host.replica.status,
                host.replica.committed,
                host.replica.state,
                hash(host.replica.core.tokens.all()),
            )
            for name, host in self.hosts.items()
        }
        assert len(set(states.values())) == 1, states
        assert all(state and state[0] is Status.NORMAL for state in states.values()), states
        assert {f"last-{name}" for name in self.hosts} <= self.acked.keys(), (states, self.answers)
        last_number = max(self.log)
        assert all(number <= last_number for number in self.acked.values())
        assert all(host.replica and host.replica.committed == last_number for host in self.hosts.values())

"""A simulated network of replicas with disks, clients and faults, on virtual time; one seed, one history."""

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
    """State: how many entries, and a sum that tells their order apart. The answer is the place."""

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
    """What a folder holds after that."""
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
    """A machine: its folder stays while the process comes and goes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.replica: Replica | None = None
        self.life = 0  # Counts starts; what was meant for an earlier one is void.
        self.saved: PersistedState | None = None
        self.olds: list[PersistedState] = []
        self.pending: list[Write] = []
        self.lost_mark: tuple[int, int] | None = None  # What it had when it lost its memory.
        self.stuck = False  # Its disk holds up each sync.
        self.old = False  # And it was given a folder that is behind.
        self.halts: list[Reason] = []
        self.paused = False
        self.inbox: list[Any] = []
        self.fed = 0
        self.wake = -1

    @property
    def bare(self) -> bool:
        """Whether its folder vouches for nothing."""
        saved = self.saved
        return saved is None or not (saved.view or saved.entries or saved.snapshot)


class Waiting(NamedTuple):
    host: str
    life: int
    token: str
    command: bytes
    floor: int  # Reads: the highest number acknowledged when it was asked.
    again: bool = False


class Simulation:
    """Parts of one: messages lost, repeated and very late, and syncs that take long."""

    def __init__(
        self,
        seed: int,
        voters: int,
        copies: int = 0,
        disk: bool = False,
        tuning: Tuning = DEFAULT_TUNING,
        lose: float = 0.0,
        repeat: float = 0.0,
        late: float = 0.0,
        slow: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.voters = [f"n{index + 1}" for index in range(voters)]
        self.copies = [f"c{index + 1}" for index in range(copies)]
        self.hosts = {name: Host(name) for name in self.voters + self.copies}
        self.disk, self.tuning = disk, tuning
        self.lose, self.repeat, self.late, self.slow = lose, repeat, late, slow
        self.now, self.order = 0, 0
        self.events: list[tuple[int, int, Any]] = []
        self.cuts = set[tuple[str, str]]()
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

    # The plumbing

    def at(self, after: int, what: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + after, self.order, what))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = end

    def start(self, name: str, folder: PersistedState | str | None = "own") -> None:
        host = self.hosts[name]
        if folder != "own":
            host.saved = folder  # type: ignore[assignment]
        self.incarnation += 1
        host.life += 1
        host.pending, host.inbox, host.paused = [], [], False
        host.replica = Replica(
            name,
            self.voters,
            self.copies,
            CountingMachine(),
            self.random.getrandbits(63),
            self.incarnation,
            host.saved if self.disk else None,
            self.disk,
            self.tuning,
            self.now,
            noop=b"noop",
        )
        host.fed = 0
        self.wake(host)

    def start_if_down(self, name: str) -> None:
        if self.hosts[name].replica is None:
            self.start(name)

    def crash(self, name: str, tear: bool = True, tell: bool | None = None) -> None:
        """The process ends; of what was under way to the disk some is there, or none."""
        host = self.hosts[name]
        if host.replica is None:
            return
        core = host.replica.core
        if not self.disk and host.replica.status is not Status.BLANK:
            host.lost_mark = host.lost_mark or (core.log.last_view, core.log.last_number)
        for write in host.pending[: self.random.randint(0, len(host.pending)) if tear else 0]:
            host.saved = folder_after(host.saved, write)
        if self.disk and host.saved is None and host.replica.status is not Status.BLANK:
            host.lost_mark = host.lost_mark or (core.log.last_view, core.log.last_number)
        host.replica, host.pending, host.life = None, [], host.life + 1
        for other in self.hosts.values():
            if self.random.random() < 0.5 if tell is None else tell:
                self.feed(other, other.life, lambda replica: replica.link_lost(self.now, name))
        for ticket, waiting in list(self.waiting.items()):
            if waiting.host == name:
                del self.waiting[ticket]

    def lose_disk(self, name: str) -> None:
        host = self.hosts[name]
        assert host.replica is None
        if host.saved is not None:
            top = host.saved.entries[-1].number if host.saved.entries else 0
            host.lost_mark = host.lost_mark or (host.saved.last_entry_view, top)
        host.saved = None

    def old_disk(self, name: str) -> None:
        host = self.hosts[name]
        if host.olds and host.saved is not None:
            held, host.saved = host.saved, self.random.choice(host.olds)
            if host.saved != held:
                base = held.snapshot.number if held.snapshot else 0
                top = held.entries[-1].number if held.entries else base
                host.lost_mark = host.lost_mark or (held.last_entry_view, top)
                host.old = True

    def is_lost(self, name: str) -> bool:
        """Whether it has yet to get back what it has lost."""
        host = self.hosts[name]
        if host.bare and (host.replica is None or host.replica.status is Status.BLANK):
            # One that was blank when the group was born is of it, told or not.
            return any(
                not one.bare or (one.replica and one.replica.status is not Status.BLANK)
                for other, one in self.hosts.items()
                if other in self.voters
            )
        if host.lost_mark is None:
            return False
        if host.replica is None or host.replica.status in (Status.BLANK, Status.HALTED):
            return True
        core = host.replica.core
        saved = host.saved
        if self.disk and (saved is None or saved.incarnation != core.incarnation):
            return True
        if (
            core.log.last_view,
            min(core.log.last_number if core.leading else core.matched_number, core.durable),
        ) < host.lost_mark:
            return True
        host.lost_mark, host.old = None, False
        return False

    def do(self, host: Host, effects: list[Any]) -> None:
        assert host.replica is not None
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent[type(message).__name__] += 1
                    self.post(host.name, to, encode(message))
                case Write():
                    host.pending.append(effect)
                    span = 300 if self.random.random() < self.slow else 8
                    self.at(self.random.randint(1, span) * MS, self.syncing(host, host.life, effect.ticket))
                case Applied(entry, answer, _):
                    self.check_entry(host, entry, answer)
                case Restored(number, _):
                    assert number > host.fed
                    host.fed = number
                case Answer():
                    self.check_answer(effect)
                case Halt(reason, _):
                    host.halts.append(reason)
                    self.at(50 * MS, self.after_halt(host, host.life, reason))
                case Note(event, _):
                    self.notes[event] += 1
        self.wake(host)

    def after_halt(self, host: Host, life: int, reason: Reason) -> Any:
        def then() -> None:
            if host.life == life and reason is Reason.OLD_FOLDER:
                self.crash(host.name, tear=False)
                host.saved, host.olds = None, []
                self.start(host.name)

        return then

    def syncing(self, host: Host, life: int, ticket: int) -> Any:
        def then() -> None:
            if host.life != life or not host.pending or host.pending[0].ticket > ticket:
                return
            if host.stuck:
                self.at(50 * MS, self.syncing(host, life, ticket))
                return
            while host.pending and host.pending[0].ticket <= ticket:
                host.saved = folder_after(host.saved, host.pending.pop(0))
            if self.random.random() < 0.05 and host.saved is not None:
                host.olds = [*host.olds[-3:], host.saved]
            self.feed(host, life, lambda replica: replica.write_synced(self.now, ticket))

        return then

    def feed(self, host: Host, life: int, call: Any) -> None:
        if host.replica is None or host.life != life:
            return
        if host.paused:
            host.inbox.append(call)
        else:
            self.do(host, call(host.replica))

    def wake(self, host: Host) -> None:
        assert host.replica is not None
        at = max(host.replica.next_tick_at, self.now)
        if host.wake < self.now or at < host.wake:
            host.wake = at
            life = host.life

            def then() -> None:
                if host.wake == self.now:
                    host.wake = -1
                self.feed(host, life, lambda replica: replica.tick(self.now, WALL + self.now))

            self.at(at - self.now, then)

    def post(self, source: str, to: str, data: bytes) -> None:
        for _ in range(2 if self.random.random() < self.repeat else 1):
            if self.random.random() < self.lose or (source, to) in self.cuts:
                continue
            delay = self.random.randint(100_000, 2 * MS)
            if self.random.random() < self.late:
                delay = self.random.randint(1, 3000) * MS
            self.at(delay, self.arriving(source, to, data))

    def arriving(self, source: str, to: str, data: bytes) -> Any:
        def then() -> None:
            host = self.hosts[to]
            if host.replica is not None and (source, to) not in self.cuts:
                self.feed(host, host.life, lambda replica: replica.receive(self.now, source, decode(data)))

        return then

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        calls, host.inbox = host.inbox, []
        for call in calls:
            self.feed(host, host.life, call)
        if host.replica is not None:
            self.do(host, host.replica.tick(self.now, WALL + self.now))

    # Clients

    def submit(self, name: str, token: str, command: bytes, patience: int = 2 * SECOND) -> int:
        host = self.hosts[name]
        if host.replica is None or host.paused:
            return 0
        self.tickets += 1
        ticket = self.tickets
        self.waiting[ticket] = Waiting(name, host.life, token, command, 0, token in self.asked)
        self.asked.add(token)
        until = self.now + patience
        self.do(host, host.replica.submit(self.now, WALL + self.now, ticket, token, command, until))
        return ticket

    def read(self, name: str, patience: int = 2 * SECOND) -> int:
        host = self.hosts[name]
        if host.replica is None or host.paused:
            return 0
        self.tickets += 1
        ticket = self.tickets
        self.waiting[ticket] = Waiting(name, host.life, "", b"", max(self.acked.values(), default=0))
        self.do(host, host.replica.read(self.now, ticket, self.now + patience))
        return ticket

    # What must hold

    def check_entry(self, host: Host, entry: Entry, answer: bytes) -> None:
        assert entry.number == host.fed + 1, (host.name, entry.number, host.fed)
        host.fed = entry.number
        held = self.log.setdefault(entry.number, entry)
        assert held == entry, f"{host.name} applied {entry}, another {held}"
        if entry.token:
            assert self.tokens.setdefault(entry.token, entry.number) == entry.number, f"{entry.token} twice"
            assert entry.token not in self.refused, f"{entry.token} was refused, and stands"

    def check_answer(self, answer: Answer) -> None:
        waiting = self.waiting.pop(answer.ticket)
        self.answers["done" if answer.reason is None else answer.reason.value] += 1
        host = self.hosts[waiting.host]
        assert host.replica is not None
        if not waiting.token:
            if answer.reason is None:
                assert host.replica.committed >= waiting.floor, f"stale read at {waiting.host}"
        elif answer.reason is None and answer.answer != b"refused":
            number = int(answer.answer)
            assert self.tokens.get(waiting.token) == number, "acknowledged, and nobody has applied it"
            assert self.acked.setdefault(waiting.token, number) == number
        elif answer.reason is Reason.NO_MAJORITY and not waiting.again:
            self.refused.add(waiting.token)
            assert waiting.token not in self.tokens, f"{waiting.token} stands, and was refused"

    def heal(self) -> None:
        self.cuts.clear()
        self.lose = self.repeat = self.late = 0.0
        for name, host in self.hosts.items():
            host.stuck = False
            if host.paused:
                self.resume(name)
            if host.replica is None:
                self.start(name)

    def settle(self) -> None:
        """After healing all go on: each takes a command, all end with the same state, nothing is lost."""
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
        top = max(self.log)
        assert all(number <= top for number in self.acked.values())
        assert all(host.replica and host.replica.committed == top for host in self.hosts.values())

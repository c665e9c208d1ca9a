"""What a replica holds, and the steps that all its parts share: applying, vouching, writing, compacting."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ambershift.replication.log import Log
from ambershift.replication.messages import Lives, Message, Vouch
from ambershift.replication.timing import Timing
from ambershift.replication.tokens import Tokens
from ambershift.replication.words import (
    Applied,
    Effect,
    Entry,
    Halt,
    Machine,
    Note,
    Reason,
    Restored,
    Send,
    Snapshot,
    Status,
    Write,
)

GROUP = "group:"
NEVER = 1 << 62


class Want(NamedTuple):
    """A client's command or read at this member. `open`: attempts that may have reached a leader and were not
    refused by it. `place`: a read waits until this number is applied; -1: not told yet."""

    read: bool
    token: str
    command: bytes
    until: int
    retry_at: int
    open: tuple[int, ...]
    place: int
    reason: str  # Why it was refused last.

    @property
    def due(self) -> int:
        return self.until if self.place >= 0 else min(self.until, self.retry_at)


class Fetching(NamedTuple):
    """What is being taken over from whom. `then` is what it is for."""

    source: str
    view: int
    then: str  # "follow", "lead" or "recover".
    target: int  # For "recover": up to where it must come.
    at: int  # When the last piece was asked for.
    snapshot: int
    data: bytes


Waiter = tuple[str, int, int, int]  # Member, incarnation, ticket, attempt.
Reader = tuple[str, int, int, int, int]  # Member, incarnation, ticket, round (or 0), number.


class Fixed(NamedTuple):
    """What stays the same for a run."""

    me: str
    voters: tuple[str, ...]
    members: tuple[str, ...]
    machine: Machine[Any]
    disk: bool
    timing: Timing
    noop: bytes

    @property
    def votes(self) -> bool:
        return self.me in self.voters

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


class Core:
    """All of the state is plain values, so that it can be frozen; see `freeze`."""

    def __init__(self, fixed: Fixed, seed: int, incarnation: int) -> None:
        self.fixed = fixed
        self.chance = seed & (2**64 - 1)
        self.incarnation = incarnation
        self.status = Status.BLANK
        self.view = 0
        self.group = ""
        self.log = Log()
        self.committed = 0
        self.state: Any = fixed.machine.initial()
        self.tokens = Tokens(fixed.timing.tokens)
        self.snapshot: Snapshot | None = None
        self.sure = 0  # Up to here the log is that of the view's leader.
        self.wall = 0  # Wall clock less `now`, as told last.
        self.halted: tuple[str, str] = ("", "")
        # What is known of the others.
        self.lives: dict[str, int] = {fixed.me: incarnation}
        self.rows: dict[str, Vouch] = {}
        self.heard: dict[str, int] = {}
        self.leader_heard = 0
        self.strangers: dict[str, str] = {}  # Who told another group or other voters, and which.
        self.behind: tuple[int, int, int] | None = None  # View, last, number of the folder it started from.
        # The disk.
        self.ticket = 0
        self.synced = 0
        self.written: tuple[int, str] = (-1, "")  # View and group as handed to the disk last.
        self.written_top = 0
        self.cut = 1  # The lowest number that is void on the disk; 0: none. A blank one voids all.
        self.snapshot_due = False
        self.durable_top = 0
        self.durable_view = -1
        self.writes: list[tuple[int, int, int]] = []  # Ticket, view, top: not synced yet.
        self.held: list[tuple[int, str, Message]] = []
        # Being born and recovering.
        self.round = 0
        self.ask_at = 0
        self.blank_before: dict[str, int] = {}
        self.blank_now: dict[str, int] = {}
        self.told: dict[str, tuple[int, int, int, Lives]] = {}  # Incarnation, view, number, lives.
        self.birth: Lives = ()
        # Views.
        self.patience = 0
        self.suspecting = False
        self.suspect_at = 0
        self.agreed: dict[str, int] = {}
        self.doubt = False  # A leader that hears no majority.
        self.change_at = 0
        self.again_at = 0
        self.leavers: dict[str, int] = {}
        self.votes: dict[str, tuple[int, int, int]] = {}  # Incarnation, last, number.
        self.voted = False
        self.fetching: Fetching | None = None
        # Leading.
        self.have: dict[str, tuple[int, int]] = {}  # Incarnation, number.
        self.rounds: dict[str, int] = {}
        self.sent_top = 0
        self.batches: list[int] = []
        self.beat_at = 0
        self.open: dict[str, int] = {}  # Tokens in the log that are not committed.
        self.waiters: dict[int, tuple[Waiter, ...]] = {}
        self.attempts: dict[str, tuple[int, ...]] = {}  # Taken from a member in this view, the highest.
        self.readers: list[Reader] = []
        self.ahead: list[tuple[Any, bytes]] = []  # State and answer of what is in the log and not committed.
        # Clients here.
        self.attempt = 0
        self.was: tuple[int, Status] = (0, Status.BLANK)  # View and status after the last call.
        self.next_start = 0
        self.wants: dict[int, Want] = {}
        self.want_at = NEVER  # Not later than the first of them is to be looked at.
        self.served = 0  # Up to here reads that waited for a number were answered.
        # Gone with the call that made it.
        self.out: list[Effect] = []
        self.vouching: list[tuple[str, Message]] = []

    def keep_want(self, ticket: int, want: Want) -> None:
        self.wants[ticket] = want
        self.want_at = min(self.want_at, want.due)

    # Who and where

    @property
    def leader(self) -> str:
        """Of the current view, whether it has begun or not."""
        return self.leader_of(self.view)

    def leader_of(self, view: int) -> str:
        return self.fixed.voters[view % len(self.fixed.voters)]

    @property
    def leading(self) -> bool:
        return self.status is Status.NORMAL and self.leader == self.fixed.me

    @property
    def durable(self) -> int:
        return min(self.log.top, self.durable_top) if self.fixed.disk else self.log.top

    @property
    def vouched(self) -> int:
        """What this member may be counted for in its view."""
        if self.fixed.disk and self.durable_view != self.view:
            return -1
        return min(self.durable, self.log.top if self.leading else self.sure)

    def draw(self, below: int) -> int:
        if below <= 0:
            return 0
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.chance >> 33) % below

    # Effects

    def send(self, to: str, message: Message) -> None:
        self.out.append(Send(to, message))

    def vouch(self, to: str, message: Message) -> None:
        """Leaves once all is on the disk that it stands on."""
        self.vouching.append((to, message))

    def note(self, event: str, **fields: Any) -> None:
        self.out.append(Note(event, fields))

    def halt(self, reason: Reason, why: str) -> None:
        if self.status is not Status.HALTED:
            self.status, self.halted = Status.HALTED, (reason.value, why)
            self.held.clear()
            self.vouching.clear()
            self.fetching = None
            self.out.append(Halt(reason, why))

    def finish(self) -> list[Effect]:
        """The effects of one call: what the disk needs first, then the rest; what vouches waits for it."""
        if self.fixed.disk and self.status not in (Status.BLANK, Status.HALTED) and self.dirty():
            self.out.insert(0, self.write())
        for to, message in self.vouching:
            if self.fixed.disk and self.ticket > self.synced:
                self.held.append((self.ticket, to, message))
            else:
                self.send(to, message)
        self.vouching = []
        out, self.out = self.out, []
        return out

    def dirty(self) -> bool:
        return bool(self.written != (self.view, self.group) or self.written_top != self.log.top or self.cut
                    or self.snapshot_due)

    def write(self) -> Write:
        self.ticket += 1
        snapshot = self.snapshot if self.snapshot_due or self.cut == 1 else None
        first = max(self.written_top, snapshot.number if snapshot else 0)
        entries = tuple(self.log.entries[first - self.log.base:])
        write = Write(self.ticket, self.group, self.incarnation, self.view, self.log.last, self.committed,
                      entries, self.cut, snapshot)
        self.writes.append((self.ticket, self.view, self.log.top))
        self.written, self.written_top = (self.view, self.group), self.log.top
        self.cut, self.snapshot_due = 0, False
        return write

    def on_synced(self, ticket: int) -> None:
        assert self.synced <= ticket <= self.ticket, (self.synced, ticket, self.ticket)
        self.synced = ticket
        for number, view, top in self.writes:
            if number <= ticket:
                self.durable_view, self.durable_top = view, top
        self.writes = [one for one in self.writes if one[0] > ticket]
        ready = [one for one in self.held if one[0] <= ticket]
        self.held = [one for one in self.held if one[0] > ticket]
        for _, to, message in ready:
            self.send(to, message)

    # The log

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Take over entries that follow from where the two logs are the same."""
        for entry in entries:
            if entry.number <= self.log.base:
                continue
            held = self.log.view_at(entry.number)
            if held == entry.view:
                continue
            if held >= 0:
                self.void(entry.number)
            self.log.put(entry)

    def void(self, number: int) -> None:
        assert number > self.committed, f"{number} is committed, and is to be void"
        self.log.cut(number)
        self.sure = min(self.sure, number - 1)
        if number <= self.written_top:
            self.cut = min(self.cut or number, number)
            self.written_top = number - 1
        self.durable_top = min(self.durable_top, number - 1)
        self.writes = [(ticket, view, min(top, number - 1)) for ticket, view, top in self.writes]

    def commit_to(self, number: int) -> list[tuple[int, bytes]]:
        """Apply up to there, as far as the log is known to be the leader's. Gives numbers and answers."""
        done = list[tuple[int, bytes]]()
        number = min(number, self.log.top if self.leading else self.sure)
        while self.committed < number:
            entry = self.log.at(self.committed + 1)
            if self.ahead:
                self.state, answer = self.ahead.pop(0)
            else:
                self.state, answer = self.run(self.state, entry, False)
            self.committed += 1
            if self.committed == 1:
                self.group = entry.token.removeprefix(GROUP).split(" ")[0]
            elif entry.token and not self.tokens.get(entry.token):
                self.tokens.keep(entry.token, entry.command, answer)
            self.open.pop(entry.token, None)
            self.out.append(Applied(entry, answer, self.state))
            done.append((self.committed, answer))
        return done

    def run(self, state: Any, entry: Entry, known: bool) -> tuple[Any, bytes]:
        """The first use of a token counts, whatever a log holds. `known`: it is in the log before."""
        before = self.tokens.get(entry.token) if entry.token else None
        if before or known:
            return state, before[1] if before else b""
        found: tuple[Any, bytes] = self.fixed.machine.apply(state, entry)
        return found

    def compact(self) -> None:
        timing = self.fixed.timing
        done = self.committed - (self.snapshot.number if self.snapshot else 0)
        heavy = self.log.size > timing.snapshot_bytes and done >= timing.snapshot_entries // 16
        if done < timing.snapshot_entries and not heavy:
            return
        self.snapshot = Snapshot(self.committed, self.log.view_at(self.committed),
                                 self.fixed.machine.pack(self.state), self.tokens.all())
        self.snapshot_due = True
        keep = 0 if heavy else timing.snapshot_entries // 2  # For those that lag a little.
        self.log.compact(min(self.committed, max(self.log.base, self.committed - keep)))

    def install(self, snapshot: Snapshot, group: str) -> None:
        """A snapshot from another member, or from the folder."""
        if snapshot.number <= self.committed:
            return
        if self.log.view_at(snapshot.number) != snapshot.view:  # What it held above may be of another past.
            self.durable_top = min(self.durable_top, self.committed)
            self.writes = [(ticket, view, min(top, self.committed)) for ticket, view, top in self.writes]
            if self.written_top > snapshot.number:
                self.cut = min(self.cut or snapshot.number + 1, snapshot.number + 1)
                self.written_top = snapshot.number
        self.log.restart(snapshot.number, snapshot.view)
        self.snapshot, self.snapshot_due = snapshot, True
        self.committed, self.group = snapshot.number, group
        self.state = self.fixed.machine.unpack(snapshot.state)
        self.tokens = Tokens(self.fixed.timing.tokens, snapshot.answers)
        self.sure = max(self.sure, snapshot.number)
        self.out.append(Restored(snapshot.number, self.state))

    def packed(self) -> bytes:
        assert self.snapshot is not None
        return msgspec.msgpack.encode(self.snapshot)

    # What is known of members

    def own_row(self) -> Vouch:
        number = max(0, self.vouched)
        view = self.durable_view if self.fixed.disk else self.view
        return Vouch(self.fixed.me, self.incarnation, max(0, view), max(0, self.log.view_at(number)), number,
                     self.committed, self.status.value)

    def all_rows(self) -> tuple[Vouch, ...]:
        self.rows[self.fixed.me] = self.own_row()
        return tuple(self.rows[name] for name in sorted(self.rows))

    def learn_rows(self, rows: tuple[Vouch, ...]) -> None:
        """Keep what is newest of each; find out about myself."""
        for row in rows:
            if row.name == self.fixed.me:
                self.judge_myself(row)
                continue
            self.learn_row(row)
            self.learn_life(row.name, row.incarnation)

    def learn_row(self, row: Vouch) -> None:
        """What a member vouches for never shrinks, over its starts too, but where its folder is behind: so the
        most is kept, until it vouches for as much again."""
        old = self.rows.get(row.name)
        if old is None or (row.view >= old.view and (row.last, row.number) >= (old.last, old.number)
                           and row.incarnation >= old.incarnation):
            self.rows[row.name] = row

    def judge_myself(self, row: Vouch) -> None:
        if not self.fixed.votes:
            return
        if row.incarnation < self.incarnation:
            if self.behind and (row.view > self.behind[0] or (row.last, row.number) > self.behind[1:]):
                self.halt(Reason.OLD_FOLDER, f"vouched for {row.number} of view {row.view}, the folder has "
                                             f"{self.behind[2]} of view {self.behind[0]}")
        elif row.incarnation > self.incarnation:
            self.halt(Reason.SUPERSEDED, f"incarnation {row.incarnation} lives, this is {self.incarnation}")
        elif row.view > self.view or (row.view == self.view and row.number > self.log.top):
            self.halt(Reason.CLONED, f"incarnation {row.incarnation} vouched for {row.number} of {row.view}")

    def learn_life(self, name: str, incarnation: int) -> bool:
        """False where it is older than one known of: what it says counts no more."""
        known = self.lives.get(name, 0)
        if name == self.fixed.me:
            if incarnation > known:
                self.halt(Reason.SUPERSEDED, f"incarnation {incarnation} lives, this is {known}")
            return True
        if incarnation > known:
            self.lives[name] = incarnation
            said: tuple[dict[str, Any], ...] = (self.have, self.rounds, self.leavers, self.votes, self.agreed,
                                                self.told, self.attempts)
            for held in said:
                held.pop(name, None)
        return incarnation >= known

    def learn_lives(self, lives: Lives) -> None:
        for name, incarnation in lives:
            self.learn_life(name, incarnation)

    def all_lives(self) -> Lives:
        return tuple(sorted(self.lives.items()))



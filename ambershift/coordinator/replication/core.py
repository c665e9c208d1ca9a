"""What a replica holds, and the steps that all its parts share: applying, vouching, writing, compacting."""

from __future__ import annotations

from typing import Any, NamedTuple

from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.messages import Incarnations, MemberProgress, Message
from ambershift.coordinator.replication.tokens import Tokens
from ambershift.coordinator.replication.tuning import Tuning
from ambershift.coordinator.replication.types import (
    Effect,
    Halt,
    Note,
    Reason,
    Send,
    Snapshot,
    StateMachine,
    Status,
)

GROUP = "group:"
NEVER = 1 << 62


class Want(NamedTuple):
    """A client's command or read at this member. `open`: attempts that may have reached a leader and were not
    refused by it. `place`: a read waits until this number is applied; -1: not told yet.
    """

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


class Reader(NamedTuple):
    """A read, or a refusal, that goes out once the leader has shown in a round that it still is it, and all
    up to `number` is committed. `round` is 0 until one has begun. `attempt` is 0 for a read.
    """

    member: str
    incarnation: int
    ticket: int
    attempt: int
    answer: bytes
    number: int
    round: int


class Fixed(NamedTuple):
    """What stays the same for a run."""

    me: str
    voters: tuple[str, ...]
    members: tuple[str, ...]
    machine: StateMachine[Any]
    disk: bool
    tuning: Tuning
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
        self.tokens = Tokens(fixed.tuning.max_tokens)
        self.snapshot: Snapshot | None = None
        self.sure = 0  # Up to here the log is that of the view's leader.
        self.wall = 0  # Wall clock less `now`, as told last.
        self.halted: tuple[str, str] = ("", "")
        # What is known of the others.
        self.lives: dict[str, int] = {fixed.me: incarnation}
        self.rows: dict[str, MemberProgress] = {}
        self.heard: dict[str, int] = {}
        self.leader_heard = 0
        self.led_by = 0  # The leader's life that this member follows in its view; 0: not heard yet.
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
        self.told: dict[str, tuple[int, int, int, Incarnations]] = {}  # Incarnation, view, number, lives.
        self.birth: Incarnations = ()
        self.lost_state = False  # It has vouched in an earlier life, and can't tell for what.
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
        self.serving: tuple[int, bytes] = (0, b"")  # The snapshot of this number, packed to be handed out.

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
    def told_group(self) -> str:
        """The group's id as its first entry has it, committed or not: a newborn one is told from another
        from its first word on.
        """
        if self.group or self.log.base or not self.log.top:
            return self.group
        return self.log.at(1).token.removeprefix(GROUP).split(" ")[0]

    @property
    def leading(self) -> bool:
        return self.status is Status.NORMAL and self.leader == self.fixed.me

    @property
    def barren(self) -> bool:
        """Whether a group may be born with this member: not with one that knows of a group that there was, or
        all that lose their folders in one hour would give birth to an empty one.
        """
        return self.status is Status.BLANK and not self.lost_state and not self.log.top

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

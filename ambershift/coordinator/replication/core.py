"""The state of a replica, shared by the modules that handle its messages, its log and its clients."""

from __future__ import annotations

from typing import Any, NamedTuple

from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.messages import Incarnations, MemberProgress, Message
from ambershift.coordinator.replication.tokens import TokenTable
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

# The first entry's token: this prefix, the group's id, then one `name=incarnation` for each founder.
GROUP_TOKEN_PREFIX = "group:"
NEVER = 1 << 62  # A time that is not reached, ns.
# Linear congruential generator of Knuth's MMIX; the low bits of its state are weak and are not used.
RANDOM_MULTIPLIER = 6364136223846793005
RANDOM_INCREMENT = 1442695040888963407
RANDOM_STATE_MODULUS = 2**64
RANDOM_UNUSED_BITS = 33


class PendingRequest(NamedTuple):
    """A command or read of a client at this member. Times are ns of the replica's clock.

    `open_attempts` are the attempts that may have reached a leader and were not refused by it.
    """

    read: bool
    token: str
    command: bytes
    deadline: int
    retry_at: int
    open_attempts: tuple[int, ...]
    read_number: int  # A read is answered once this entry is applied; -1: not known yet.
    last_refusal: str  # A `Reason` value; "": not refused.

    @property
    def next_due(self) -> int:
        """When the request is to be retried or given up."""
        return self.deadline if self.read_number >= 0 else min(self.deadline, self.retry_at)


class StateTransfer(NamedTuple):
    """Entries or a snapshot being fetched from another member."""

    source: str
    view: int
    purpose: str  # "follow", "lead" or "recover".
    target_number: int  # The entry up to which the log must come; 0: up to the end of the source's log.
    requested_at: int  # When the last chunk was requested; 0: none is outstanding.
    snapshot_number: int  # Of the snapshot that `data` is the beginning of.
    data: bytes


CommandWaiter = tuple[str, int, int, int]  # Member, incarnation, ticket, attempt.


class UnconfirmedReply(NamedTuple):
    """A read or a refusal that the leader may answer only once a quorum has confirmed it as leader.

    It goes out after a heartbeat round that began after it came, and once all up to `number` is committed.
    """

    member: str
    incarnation: int
    ticket: int
    attempt: int  # 0 for a read.
    answer: bytes
    number: int
    round: int  # 0: no round has begun since it came.


class ReplicaOptions(NamedTuple):
    """What does not change while a replica runs."""

    me: str
    voters: tuple[str, ...]
    members: tuple[str, ...]  # The voters, then the learners.
    machine: StateMachine[Any]
    disk: bool  # Whether the member has a folder.
    tuning: Tuning
    noop: bytes  # The command that a new leader writes.

    @property
    def is_voter(self) -> bool:
        """Whether this member votes; a learner follows the log and does not."""
        return self.me in self.voters

    @property
    def majority(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1


class Core:
    """The state of one replica. All of it is plain values, so that it can be frozen; see `freeze`."""

    def __init__(self, options: ReplicaOptions, seed: int, incarnation: int) -> None:
        self.options = options
        self.random_state = seed & (RANDOM_STATE_MODULUS - 1)
        self.incarnation = incarnation
        self.status = Status.BLANK
        self.view = 0
        self.group = ""
        self.log = Log()
        self.committed = 0
        self.state: Any = options.machine.initial()
        self.tokens = TokenTable(options.tuning.max_tokens)
        self.snapshot: Snapshot | None = None
        self.matched_number = 0  # Up to this entry the log is known to equal that of the view's leader.
        self.wall_offset = 0  # Wall clock minus `now`, as of the last call with both.
        self.halted: tuple[str, str] = ("", "")
        # The other members.
        self.incarnations: dict[str, int] = {options.me: incarnation}
        self.progress: dict[str, MemberProgress] = {}
        self.last_heard: dict[str, int] = {}
        self.leader_last_heard = 0
        # The incarnation of the leader that this member follows in its view; 0: not heard yet.
        self.leader_incarnation = 0
        # Members that named another group or other voters, and which of the two.
        self.foreign_members: dict[str, str] = {}
        # View, last entry's view and last number of the folder that this member started from.
        self.restored_position: tuple[int, int, int] | None = None
        # The disk.
        self.last_ticket = 0
        self.synced_ticket = 0
        self.last_written: tuple[int, str] = (-1, "")  # View and group as handed to the disk last.
        self.written_number = 0
        # The lowest entry on the disk that is no longer valid; 0: none. A blank member invalidates all.
        self.truncate_disk_from = 1
        self.snapshot_due = False
        self.durable_number = 0
        self.durable_view = -1
        self.unsynced_writes: list[tuple[int, int, int]] = []  # Ticket, view, last number.
        self.messages_awaiting_sync: list[tuple[int, str, Message]] = []
        # Bootstrap and recovery.
        self.round = 0  # Of this member's requests and heartbeats, to tell late answers from current ones.
        self.next_recovery_request = 0
        self.blank_in_last_round: dict[str, int] = {}
        self.blank_in_this_round: dict[str, int] = {}
        # Incarnation, view, last number and known incarnations of each member that answered.
        self.recovery_responses: dict[str, tuple[int, int, int, Incarnations]] = {}
        self.founders: Incarnations = ()
        # This member acknowledged entries in an earlier incarnation, and its folder no longer tells which.
        self.lost_state = False
        # View changes.
        self.leader_timeout = 0
        self.suspecting = False
        self.next_suspect_request = 0
        self.suspicion_votes: dict[str, int] = {}  # The round in which each agreed.
        self.lost_quorum = False  # This leader does not hear a majority.
        self.view_change_deadline = 0
        self.next_view_change_resend = 0
        self.view_change_joiners: dict[str, int] = {}
        self.view_change_votes: dict[str, tuple[int, int, int]] = {}  # Incarnation, last view, last number.
        self.voted = False
        self.transfer: StateTransfer | None = None
        # Leading.
        self.acknowledged: dict[str, tuple[int, int]] = {}  # Incarnation, number.
        self.acknowledged_rounds: dict[str, int] = {}
        self.sent_number = 0
        self.batches_in_flight: list[int] = []  # The last number of each.
        self.next_heartbeat = 0
        self.uncommitted_tokens: dict[str, int] = {}  # The entry of each token that is not committed.
        self.command_waiters: dict[int, tuple[CommandWaiter, ...]] = {}
        self.accepted_attempts: dict[str, tuple[int, ...]] = {}  # The highest of each member in this view.
        self.unconfirmed_replies: list[UnconfirmedReply] = []
        self.speculative_results: list[tuple[Any, bytes]] = []  # State and answer of each uncommitted entry.
        # Clients of this member.
        self.last_attempt = 0
        self.previous_view_and_status: tuple[int, Status] = (0, Status.BLANK)  # After the last call.
        self.start_at = 0
        self.pending: dict[int, PendingRequest] = {}
        self.next_pending_check = NEVER  # Not later than the first of them is due.
        self.served_number = 0  # Reads that waited for entries up to this one were answered.
        # Valid within one call.
        self.effects: list[Effect] = []
        self.messages_after_sync: list[tuple[str, Message]] = []
        self.packed_snapshot: tuple[int, bytes] = (0, b"")  # Number and bytes of a snapshot being handed out.

    def keep_pending(self, ticket: int, request: PendingRequest) -> None:
        """Store a request under its ticket, and check it when it is due."""
        self.pending[ticket] = request
        self.next_pending_check = min(self.next_pending_check, request.next_due)

    # Roles

    @property
    def leader(self) -> str:
        """The leader of the current view, whether that view has begun or not."""
        return self.leader_of(self.view)

    def leader_of(self, view: int) -> str:
        """The voter that leads a view: they take turns in the order of the configuration."""
        return self.options.voters[view % len(self.options.voters)]

    @property
    def known_group(self) -> str:
        """The group's id as its first entry has it, committed or not.

        As the uncommitted entry counts, a newly formed group differs from others from its first message on.
        """
        if self.group or self.log.base or not self.log.last_number:
            return self.group
        return self.log.entry(1).token.removeprefix(GROUP_TOKEN_PREFIX).split(" ")[0]

    @property
    def leading(self) -> bool:
        """Whether this member leads the current view."""
        return self.status is Status.NORMAL and self.leader == self.options.me

    @property
    def may_bootstrap(self) -> bool:
        """Whether a new group may be formed with this member.

        Not with one that knows of an earlier group: else voters that all lose their folders at about the same
        time would form an empty group in place of the one that existed.
        """
        return self.status is Status.BLANK and not self.lost_state and not self.log.last_number

    @property
    def durable(self) -> int:
        """The last entry that this member holds durably; without a disk, the last of its log."""
        return min(self.log.last_number, self.durable_number) if self.options.disk else self.log.last_number

    @property
    def acknowledgeable_number(self) -> int:
        """The entry up to which this member may be counted in its view; -1: the view is not on its disk."""
        if self.options.disk and self.durable_view != self.view:
            return -1
        return min(self.durable, self.log.last_number if self.leading else self.matched_number)

    def random_below(self, bound: int) -> int:
        """A pseudorandom number from 0 to `bound` - 1; 0 where the bound is not positive."""
        if bound <= 0:
            return 0
        self.random_state = (self.random_state * RANDOM_MULTIPLIER + RANDOM_INCREMENT) % RANDOM_STATE_MODULUS
        return (self.random_state >> RANDOM_UNUSED_BITS) % bound

    # Effects

    def send(self, to: str, message: Message) -> None:
        """Send a message at once."""
        self.effects.append(Send(to, message))

    def send_after_sync(self, to: str, message: Message) -> None:
        """Send a message once everything that it asserts is on the disk."""
        self.messages_after_sync.append((to, message))

    def note(self, event: str, **fields: Any) -> None:
        """Report an event for the log."""
        self.effects.append(Note(event, fields))

    def halt(self, reason: Reason, why: str) -> None:
        """Stop taking part under this incarnation; no message is sent any more."""
        if self.status is not Status.HALTED:
            self.status, self.halted = Status.HALTED, (reason.value, why)
            self.messages_awaiting_sync.clear()
            self.messages_after_sync.clear()
            self.transfer = None
            self.effects.append(Halt(reason, why))

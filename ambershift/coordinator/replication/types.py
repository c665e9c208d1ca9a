"""Types of the replica's interface: its events, its effects, and what it stores. No decisions.

Times are whole nanoseconds. `now` of a replica is its own monotonic clock; `at` of an entry is the wall clock
of the leader that wrote it. Members are known by their names.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import msgspec

State = TypeVar("State")


class Status(StrEnum):
    """How a member takes part."""

    BLANK = "blank"  # It holds no state: a voter bootstraps a group with the others, or recovers from them.
    NORMAL = "normal"
    VIEW_CHANGE = "changing"  # It has left a view, and the next has not begun.
    HALTED = "halted"  # It was refused by name, and takes no part until it is started again.


class Reason(StrEnum):
    """Why a request is refused or a link is closed. Answers, logs and documents use the value."""

    NO_MAJORITY = "no-majority"  # Nothing was written; the client may retry after the given time.
    OUTCOME_UNKNOWN = "outcome-unknown"  # It may have been written; the client may retry with the same token.
    TOO_MANY_WAIT = "too-many-promises-wait"
    TOKEN_REUSED = "token-reused"
    TOO_LARGE = "too-large"  # The command has more bytes than a message carries.
    STOPPING = "stopping"
    SUPERSEDED = "superseded"  # A newer incarnation of this member is running.
    CLONED = "cloned"  # Another process runs the same member under the same incarnation.
    OLD_FOLDER = "old-folder"  # The folder lacks entries that this member has acknowledged.
    OTHER_GROUP = "other-group"
    OTHER_MEMBERS = "other-members"  # The two disagree on who the voters are.


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. `number` counts from 1; `view` is the one in which the entry was written."""

    view: int
    number: int
    at: int
    token: str  # The client's idempotency token; "" for an entry that the leader writes by itself.
    command: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state that the entries up to `number` result in, serialized."""

    number: int
    view: int
    state: bytes
    answers: tuple[tuple[str, bytes, bytes], ...]  # Token, digest of its command, answer; oldest first.


class PersistedState(msgspec.Struct, frozen=True, array_like=True):
    """What a member recovers from its folder when it starts."""

    group: str
    incarnation: int
    view: int
    last_entry_view: int
    committed: int
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class StateMachine(Protocol, Generic[State]):
    """What the log is applied to. States are immutable: whoever holds one sees no later change."""

    def initial(self) -> State:
        """The state of an empty log."""

    def validate(self, state: State, at: int, command: bytes) -> bytes | None:
        """Check a command before the leader writes it.

        Only the leader calls this, so it may use what the leader alone knows, the server list for one.

        Args:
            state: The result of the leader's whole log, committed or not.
            at: The leader's wall clock, ns.
            command: The command as the client sent it.

        Returns:
            The answer that refuses the command; None where it may be written.
        """

    def apply(self, state: State, entry: Entry) -> tuple[State, bytes]:
        """The state after an entry and the answer to it, by the state and the entry alone.

        The same on every member. A malformed command gets an answer and raises nothing.
        """

    def digest(self, command: bytes) -> bytes:
        """What must be equal where a token comes again; the request is else refused as TOKEN_REUSED.

        Who sent the command, and which servers a name stood for at that moment, may differ and are left out.
        """

    def pack(self, state: State) -> bytes:
        """Serialize a state for a snapshot."""

    def unpack(self, data: bytes) -> State:
        """The state that `pack` serialized."""


class Write(NamedTuple):
    """Append these to the folder and sync them; then report the ticket to `Replica.write_synced`.

    Tickets count up, and a synced one implies all before it.
    """

    ticket: int
    group: str
    incarnation: int
    view: int
    last_entry_view: int
    committed: int
    entries: tuple[Entry, ...]
    truncate_from: int  # Entries from this number on are removed before `entries` are appended; 0: none.
    snapshot: Snapshot | None  # Replaces all entries up to its number.


class Send(NamedTuple):
    """Send a message to a member."""

    to: str
    message: Any  # One of ambershift.coordinator.replication.messages.Message.


class Applied(NamedTuple, Generic[State]):
    """An entry was committed, so that it is not lost, and applied. In log order, each once a run."""

    entry: Entry
    answer: bytes
    state: State


class Restored(NamedTuple, Generic[State]):
    """A snapshot replaced everything that was applied so far."""

    number: int
    state: State


class Answer(NamedTuple):
    """The answer to one `submit` or `read`.

    `reason` is None where the request succeeded. `retry_ns` is how long the client should wait before it
    retries; 0: a retry is of no use.
    """

    ticket: int
    reason: Reason | None
    answer: bytes
    retry_ns: int


class Note(NamedTuple):
    """An event for the log."""

    event: str
    fields: dict[str, Any]


class Halt(NamedTuple):
    """This member takes no further part under this incarnation.

    Where `reason` is OLD_FOLDER, the caller sets the folder aside and starts a blank replica; for any other
    reason it waits for an operator.
    """

    reason: Reason
    why: str


class MemberRow(NamedTuple):
    """What this member knows of another, for operators. `last_heard_ns` is an age; -1: not heard yet."""

    name: str
    is_voter: bool
    is_leader: bool
    status: str
    incarnation: int
    committed: int
    last_heard_ns: int


Effect = Write | Send | Applied[Any] | Restored[Any] | Answer | Note | Halt

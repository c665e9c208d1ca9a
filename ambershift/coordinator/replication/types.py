"""What a replica is told and what it wants done: types only, no decision.

Times are whole nanoseconds. `now` of a replica is its own clock, which never goes back; `at` in an entry is
the wall clock of the leader that wrote it. Members are known by their names.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import msgspec

State = TypeVar("State")


class Status(StrEnum):
    """How a member takes part."""

    BLANK = "blank"  # It holds nothing that it can vouch for: asks for the group's birth, or recovers.
    NORMAL = "normal"
    VIEW_CHANGE = "changing"  # Between two views.
    HALTED = "halted"  # It was refused by name, and takes no part until it is started anew.


class Reason(StrEnum):
    """Why something is refused or a link is closed. The value is the name that answers, logs and docs use."""

    NO_MAJORITY = "no-majority"  # Nothing was written; come back after the time told.
    OUTCOME_UNKNOWN = "outcome-unknown"  # It may stand or not; ask again with the same token.
    TOO_MANY_WAIT = "too-many-promises-wait"
    TOKEN_REUSED = "token-reused"
    TOO_LARGE = "too-large"  # A command of more bytes than a message carries.
    STOPPING = "stopping"
    SUPERSEDED = "superseded"  # The same name lives under a newer incarnation.
    CLONED = "cloned"  # The same name and incarnation, run by another process.
    OLD_FOLDER = "old-folder"  # The folder is behind what this member has vouched for.
    OTHER_GROUP = "other-group"
    OTHER_MEMBERS = "other-members"  # The two don't agree on who the voters are.


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log. `number` counts from 1; `view` is the one in which it was written."""

    view: int
    number: int
    at: int
    token: str  # "" for what the leader writes by itself and nobody asks again.
    command: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to `number` have made, packed."""

    number: int
    view: int
    state: bytes
    answers: tuple[tuple[str, bytes, bytes], ...]  # Token, digest of its command, answer; oldest first.


class PersistedState(msgspec.Struct, frozen=True, array_like=True):
    """What a member's folder vouches for after a start."""

    group: str
    incarnation: int
    view: int
    last_entry_view: int
    committed: int
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class StateMachine(Protocol, Generic[State]):
    """What the log is applied to. States are values: whoever holds one sees no later change."""

    def initial(self) -> State: ...

    def validate(self, state: State, at: int, command: bytes) -> bytes | None:
        """Before the leader writes it: the answer that refuses it, None where it may stand.

        `state` has all that is in the leader's log, committed or not. Only the leader asks, so it may look
        at what it knows by itself, the list for one.
        """

    def apply(self, state: State, entry: Entry) -> tuple[State, bytes]:
        """The same on every member, from the state and the entry alone; bad commands answer, never raise."""

    def digest(self, command: bytes) -> bytes:
        """What must be the same where a token comes again: another one is TOKEN_REUSED. Who sent it, and
        which servers a name meant at that moment, may differ and are left out.
        """

    def pack(self, state: State) -> bytes: ...

    def unpack(self, data: bytes) -> State: ...


class Write(NamedTuple):
    """Append these to the folder and sync them; then tell `Replica.synced` the ticket. Tickets count up, and
    one that is synced vouches for all before it.
    """

    ticket: int
    group: str
    incarnation: int
    view: int
    last_entry_view: int
    committed: int
    entries: tuple[Entry, ...]
    truncate_from: int  # Entries from this number on are void before `entries` are appended; 0: none.
    snapshot: Snapshot | None  # In place of all entries up to its number.


class Send(NamedTuple):
    to: str
    message: Any  # One of ambershift.coordinator.replication.messages.Message.


class Applied(NamedTuple, Generic[State]):
    """Committed: from here on it is a promise. In the order of the log, each once a run."""

    entry: Entry
    answer: bytes
    state: State


class Restored(NamedTuple, Generic[State]):
    """A snapshot took the place of all that was applied so far."""

    number: int
    state: State


class Answer(NamedTuple):
    """To one `submit` or `read`: `reason` is None where it stands; `retry_ns` says when to come back, 0: no
    use.
    """

    ticket: int
    reason: Reason | None
    answer: bytes
    retry_ns: int


class Note(NamedTuple):
    """For the log: something worth telling."""

    event: str
    fields: dict[str, Any]


class Halt(NamedTuple):
    """This member takes no further part under this incarnation; the shell sets its folder aside where
    `reason` is OLD_FOLDER and starts a blank replica, for the others it waits for a person.
    """

    reason: Reason
    why: str


class MemberRow(NamedTuple):
    """What a member knows of one, for people. `heard_ns`: how long ago it was heard; -1: not yet."""

    name: str
    is_voter: bool
    is_leader: bool
    status: str
    incarnation: int
    committed: int
    last_heard_ns: int


Effect = Write | Send | Applied[Any] | Restored[Any] | Answer | Note | Halt

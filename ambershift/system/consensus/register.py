"""What a proposer keeps of one register: the calls waiting, the lease it holds, and the round out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ambershift.system.consensus.acceptor import EMPTY_STATE
from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.interfaces import ChangeFunction
from ambershift.system.messages.replication import (
    ZERO_BALLOT,
    Accept,
    AcceptorState,
    Ballot,
    ConfirmBallot,
    Prepare,
)


@dataclass(slots=True)
class PendingChange:
    change: ChangeFunction
    deadline_ns: int
    on_done: Callable[[CallSucceeded | Exception], None]
    maybe_applied: bool = False  # Whether a write with its effect went out, so that it may hold.


@dataclass(slots=True)
class PreparedBallot:
    """Enough voters promised `ballot` in `epoch`, and the newest accepted value is this."""

    epoch: int
    ballot: Ballot
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


@dataclass(slots=True)
class Round:
    request_id: int
    epoch: int
    message: Prepare | Accept | ConfirmBallot
    started_ns: int
    retry_at_ns: int = 0
    contacted: set[str] = field(default_factory=set)
    granted: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    # Of a prepare: the newest accepted value found. Of an accept: what it writes.
    accepted_ballot: Ballot = ZERO_BALLOT
    origin_ballot: Ballot = ZERO_BALLOT
    value: bytes | None = None
    results: list[tuple[PendingChange, CallSucceeded | Exception]] = field(default_factory=list)


@dataclass(slots=True)
class ProposerRegister:
    name: str
    queue: list[PendingChange] = field(default_factory=list)
    prepared: PreparedBallot | None = None
    round: Round | None = None
    highest_counter: int = 0  # The highest counter used or met.
    local_state: AcceptorState = EMPTY_STATE  # What the acceptor here held when the prepare went out.
    peer_ballots: dict[str, Ballot] = field(
        default_factory=dict
    )  # What each voter should have accepted last.
    failed_attempts: int = 0
    counter_raised: bool = (
        False  # Whether a prepare was refused and sent again, higher, since the last success.
    )
    backoff_until_ns: int = 0

"""What a proposer knows of one register: pending changes, prepared ballot, and the round in flight."""

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
    """A change that its caller waits for.

    Attributes:
        change: Makes the new value of the old one.
        deadline_ns: When the caller is answered at the latest, steady clock.
        on_done: Called once with the outcome.
        maybe_applied: Whether a write with its effect was sent, so that it may be stored.
    """

    change: ChangeFunction
    deadline_ns: int
    on_done: Callable[[CallSucceeded | Exception], None]
    maybe_applied: bool = False


@dataclass(slots=True)
class PreparedBallot:
    """A majority of the voters of `epoch` promised `ballot`: a change may be sent without a prepare.

    Attributes:
        epoch: Of the voters.
        ballot: What the next `Accept` or `ConfirmBallot` carries.
        accepted_ballot: The newest that one of them had accepted.
        origin_ballot: The ballot of the change that made the value.
        value: What was accepted there; None where the register was never written.
    """

    epoch: int
    ballot: Ballot
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


@dataclass(slots=True)
class Round:
    """One request to the voters, and what has been answered.

    Attributes:
        request_id: Repeated in the answers.
        epoch: Of the voters asked.
        message: What they are asked.
        started_ns: When it was sent first, steady clock.
        retry_at_ns: When voters without an answer are asked again, or others.
        contacted: The ips of the voters that were sent it.
        granted: The ips of those that promised, accepted or confirmed.
        rejected: The ips of those that promised a higher ballot to another proposer.
        accepted_ballot: Of a prepare: the newest accepted one found. Of a confirm: that of the value.
        origin_ballot: The ballot of the change that made `value`.
        value: Of a prepare: the newest accepted value found. Of an accept: what it writes.
        results: The changes it completes, with their outcomes.
    """

    request_id: int
    epoch: int
    message: Prepare | Accept | ConfirmBallot
    started_ns: int
    retry_at_ns: int = 0
    contacted: set[str] = field(default_factory=set)
    granted: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    accepted_ballot: Ballot = ZERO_BALLOT
    origin_ballot: Ballot = ZERO_BALLOT
    value: bytes | None = None
    results: list[tuple[PendingChange, CallSucceeded | Exception]] = field(default_factory=list)


@dataclass(slots=True)
class ProposerRegister:
    """One register, as its proposer on this machine sees it.

    Attributes:
        name: Of the register.
        queue: The changes that wait for a round, oldest first.
        prepared: The ballot that the next round may use; None: a prepare is needed.
        round: The round in flight.
        highest_counter: The highest ballot counter used here or met in a rejection.
        local_state: What this machine's acceptor had when the last prepare was sent.
        peer_ballots: By the ip of a voter, the ballot that it should have accepted last.
        failed_attempts: How many rounds were abandoned since the last success.
        counter_raised: Whether a prepare was rejected and sent again, higher, since the last success.
        backoff_until_ns: No round is begun before then, steady clock.
    """

    name: str
    queue: list[PendingChange] = field(default_factory=list)
    prepared: PreparedBallot | None = None
    round: Round | None = None
    highest_counter: int = 0
    local_state: AcceptorState = EMPTY_STATE
    peer_ballots: dict[str, Ballot] = field(default_factory=dict)
    failed_attempts: int = 0
    counter_raised: bool = False
    backoff_until_ns: int = 0

"""What a proposer keeps of one register: the calls waiting, the lease it holds, and the round out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ambershift.system.consensus.acceptor import EMPTY
from ambershift.system.consensus.effect_buffer import Held
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
class Call:
    change: ChangeFunction
    deadline: int
    done: Callable[[Held | Exception], None]
    sent: bool = False  # Whether a write with its effect went out, so that it may hold.


@dataclass(slots=True)
class Lease:
    """Enough voters promised `ballot` in `epoch`, and the newest accepted value is this."""

    epoch: int
    ballot: Ballot
    accepted: Ballot
    origin: Ballot
    value: bytes | None


@dataclass(slots=True)
class Round:
    number: int
    epoch: int
    message: Prepare | Accept | ConfirmBallot
    started: int
    again: int = 0
    asked: set[str] = field(default_factory=set)
    yes: set[str] = field(default_factory=set)
    no: set[str] = field(default_factory=set)
    # Of a prepare: the newest accepted value found. Of an accept: what it writes.
    best: Ballot = ZERO_BALLOT
    origin: Ballot = ZERO_BALLOT
    value: bytes | None = None
    results: list[tuple[Call, Held | Exception]] = field(default_factory=list)


@dataclass(slots=True)
class Register:
    name: str
    queue: list[Call] = field(default_factory=list)
    lease: Lease | None = None
    round: Round | None = None
    counter: int = 0  # The highest counter used or met.
    own: AcceptorState = EMPTY  # What the acceptor here held when the prepare went out.
    held: dict[str, Ballot] = field(default_factory=dict)  # What each voter should have accepted last.
    tries: int = 0
    leapt: bool = False  # Whether a prepare was refused and sent again, higher, since the last success.
    pause: int = 0

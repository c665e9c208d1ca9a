"""One exchange with peers to bring this copy up to date: whom it asks, what has arrived, when it is done.

`AntiEntropy` runs the sessions. A subclass says which peers count and what follows from the answers:
`QuorumRead`, `ContactProof`, `CatchUp` and `Repair`.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import SyncResponse, VoterConfiguration


@dataclass(frozen=True, slots=True)
class SyncContext:
    """What the sessions need of their replica.

    Attributes:
        out: Takes the effects and knows the time.
        voters: The voters of the current epoch.
        contact: Gets the proof of contact that a quorum read gives.
        is_ready: Whether the peer with that ip can answer now.
        on_caught_up: Called once this copy is complete for the epoch.
    """

    out: EffectBuffer
    voters: VotingState
    contact: ContactLease
    is_ready: Callable[[str], bool]
    on_caught_up: Callable[[], None]


class SyncSession(ABC):
    """The state of one exchange.

    Attributes:
        deadline_ns: When the session is given up, steady clock.
        epoch: The epoch of the voters it belongs to; 0 while no voters are known.
        started_ns: When the peers were asked first.
        contacted: The ips of the peers that are asked.
        completed: The ips whose complete answers count.
        parts: By the id of each request: the peer, and the indexes of the parts of its answer that have
            arrived. Parts of two answers must not make up one: between them lies what neither brought.
        wants_bucket_digests: The peers that asked for the digests of all buckets.
        retry_at_ns: When peers without an answer are asked again.
    """

    needs_bucket_digests: ClassVar[bool] = False
    transfers_registers: ClassVar[bool] = True

    def __init__(self, context: SyncContext, deadline_ns: int) -> None:
        self._context = context
        self.deadline_ns = deadline_ns
        self.epoch = 0
        self.started_ns = 0
        self.contacted: set[str] = set()
        self.completed: set[str] = set()
        self.parts: dict[int, tuple[str, set[int]]] = {}
        self.wants_bucket_digests: set[str] = set()
        self.retry_at_ns = 0

    def start(self, configuration: VoterConfiguration) -> None:
        """Begin, again if need be, among the voters of `configuration`."""
        self.epoch = configuration.epoch
        self.started_ns = self._context.out.now
        self.completed.clear()
        self.parts.clear()
        self.wants_bucket_digests.clear()
        self._choose_peers(configuration)

    def pending_peers(self) -> set[str]:
        """The ips of the peers that are asked and whose answers don't count yet."""
        return self.contacted - self.completed

    def add_part(self, response: SyncResponse) -> bool:
        """Note a part of an answer; True where the answer is complete with it."""
        parts = self.parts[response.request_id][1]
        parts.add(response.part_index)
        if len(parts) < response.part_count:
            return False
        del self.parts[response.request_id]
        return True

    def widen(self) -> bool:
        """Ask more peers, where the time for that has come; True where it did."""
        return False

    @abstractmethod
    def _choose_peers(self, configuration: VoterConfiguration) -> None:
        """Set `contacted`, and `completed` where this copy itself counts."""

    @abstractmethod
    def on_answer(self, sender: str, response: SyncResponse, is_merged: bool) -> None:
        """A peer's answer is complete.

        Args:
            sender: The ip of the peer.
            response: The last part of its answer.
            is_merged: Whether its items were merged. They aren't where the peer misses too many batches of
                collected tombstones.
        """

    @abstractmethod
    def is_done(self) -> bool:
        """Whether enough has been received."""

    @abstractmethod
    def on_timeout(self) -> None:
        """The deadline has passed. The session has ended."""

    @abstractmethod
    def on_done(self) -> None:
        """Act on it. The session has ended."""

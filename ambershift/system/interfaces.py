"""Protocols between the packages of a control node, with the values and errors that they use."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.proxy_link import ControlNodeAddress


@dataclass(eq=False)
class ReplicationError(Exception):
    """The base of the errors of `ReplicatedState`.

    Attributes:
        reason: What went wrong, as part of a sentence.
    """

    reason: str


@dataclass(eq=False)
class OutcomeUnknownError(ReplicationError):
    """Too few voters answered in time. A write may be stored or not: the caller must allow for both."""

    def __str__(self) -> str:
        return f"The outcome is unknown: {self.reason}."


@dataclass(eq=False)
class NotAppliedError(ReplicationError):
    """Nothing was changed, and this call never will change anything."""

    def __str__(self) -> str:
        return f"Nothing was changed: {self.reason}."


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What a change makes of a register.

    Attributes:
        new_value: None leaves the register as it is.
        result: Goes to the caller, once it is certain that the change saw the newest value and that a
            majority has accepted the new one, if any.
    """

    new_value: bytes | None
    result: Any


# Takes the value (None: never written), since when this machine knows it, and now (both ns, steady clock).
ChangeFunction = Callable[[bytes | None, int, int], ChangeOutcome]


class DeltaCodec(Protocol):
    """Makes deltas between values of a register, so that a large value need not be sent whole."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        """The delta from `old` to `new`; None if the whole value is no larger."""

    def patch(self, old: bytes, difference: bytes) -> bytes:
        """The new value that `diff` made this delta to."""


class ReplicatedState(Protocol):
    """The state that all control nodes share: items, merged one by one, and agreed registers.

    `consensus/replicated_store.py` implements it. Time-outs are in seconds.
    """

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        """Merge the items, and return once these or newer ones are synced at a majority of the voters.

        Raises:
            OutcomeUnknownError: Too few voters answered in time.
            NotAppliedError: No voters are known, or the store is closed.
        """

    async def read_quorum(self, timeout_s: float) -> None:
        """Merge what a majority of the voters stores: `items()` then has all that was acknowledged before.

        Raises:
            OutcomeUnknownError: Too few voters answered in time.
            NotAppliedError: The store is closed.
        """

    def items(self) -> Mapping[Key, Item]:
        """All items of this copy, tombstones too."""

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        """Call `on_items` with each batch of items that were just updated here."""

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        """Run a change on a register, with this machine as proposer.

        Returns:
            The `result` of the change's outcome.

        Raises:
            OutcomeUnknownError: Too few voters answered in time; the change may be applied.
            NotAppliedError: It isn't applied and never will be.
            Exception: What the change itself raised.
        """

    def control_nodes(self) -> Sequence[ControlNodeAddress]:
        """All control nodes known and not known to be gone for good, including this one."""

    def membership_status(self) -> msgspec.Struct | None:
        """The voters as this machine sees them (`consensus/membership_view.py`); None before it runs."""

    def has_quorum_contact(self) -> bool:
        """Whether a majority of the voters was in contact within the last 1.5 s."""

    def contact_age_ms(self) -> int:
        """Upper bound of this copy's age: all that was acknowledged longer ago is stored here."""

    def is_alive(self, ip: str) -> bool:
        """Whether a message of that control node came recently; always true of this one."""

    def settled_voters(self) -> frozenset[str]:
        """The voters that have run steadily for a while, so that all nodes agree on them; none if too few."""

    def is_responsive(self, ip: str) -> bool:
        """Whether a message came within two or three heartbeat intervals, though it may be slow."""

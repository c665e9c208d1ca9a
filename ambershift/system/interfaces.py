"""What the parts of a control node offer each other. Implementations stand in the packages named."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.proxy_link import ControlNodeAddress


@dataclass(eq=False)
class ReplicationError(Exception):
    """The base of what a call of `ReplicatedState` raises.

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
    """What a change makes of a register: `value` None leaves it as it is. `result` goes to the caller, once
    it is certain that the value judged was the newest and (where changed) that enough copies hold the new.
    """

    new_value: bytes | None
    result: Any


# Takes the value (None: never written), since when (ns, steady) this machine knows exactly this value, now.
ChangeFunction = Callable[[bytes | None, int, int], ChangeOutcome]


class DeltaCodec(Protocol):
    """How a register's values are told in differences, so that a large value need not travel whole."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        """None where the whole value is no larger."""

    def patch(self, old: bytes, difference: bytes) -> bytes: ...


class ReplicatedState(Protocol):
    """`consensus/`: items merged one by one, and agreed registers, each synced on enough copies."""

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        """Merge, and return once these or newer are synced on enough copies.

        Raises `OutcomeUnknownError`, `NotAppliedError`.
        """

    async def read_quorum(self, timeout_s: float) -> None:
        """Merge what enough copies hold: `items()` then has all acknowledged.

        Raises `OutcomeUnknownError`.
        """

    def items(self) -> Mapping[Key, Item]:
        """All items merged here, tombstones too."""

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        """Call `heard` with each batch of items that has just become newer here."""

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        """Run a change on a register, through this machine as proposer. Returns the verdict's result.

        Raises `OutcomeUnknownError` (it may hold) or `NotAppliedError` (it never will).
        """

    def control_nodes(self) -> Sequence[ControlNodeAddress]:
        """All control nodes known and not known to be gone for good, this one too."""

    def membership_status(self) -> msgspec.Struct | None:
        """The voters as this machine sees them (`consensus/membership_view.py`); None before it runs."""

    def has_quorum_contact(self) -> bool:
        """Whether enough of the others were heard within the last second and a half."""

    def contact_age_ms(self) -> int:
        """How long ago the last moment was before which nothing was acknowledged that isn't held here."""

    def is_alive(self, ip: str) -> bool:
        """Whether that control node was heard lately (always for this one)."""

    def settled_voters(self) -> frozenset[str]:
        """The voters that have been well for a while, so that all agree on them; none where most are not."""

    def is_responsive(self, ip: str) -> bool:
        """Whether it was heard within two or three of its beats: it may be slow, but it is there."""

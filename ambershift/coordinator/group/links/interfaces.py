"""What links ask of the member above them, and what they tell: types only."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ambershift.coordinator.group.links.handshake import LocalIdentity
from ambershift.coordinator.group.links.wire import FrameKind, Refusal


class LinkListener(Protocol):
    """Called in the loop's turn; what it raises ends the link as unreadable where the payload is to blame."""

    def mine(self) -> LocalIdentity: ...

    def heard(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        """A frame of a member that was let in; a `wire.UnreadableError` closes its link by name."""

    def gone(self, member: str) -> None:
        """The way to it broke: what was under way may be lost."""

    def came(self, member: str) -> None:
        """The way to it stands."""

    def refused(self, member: str, refused: Refusal) -> None:
        """It does not let this member in."""

    def counters(self, name: str, payload: bytes) -> None:
        """Samples from a process beside the coordinator."""


class Peer(NamedTuple):
    """Another member, and where the settings say that it is reached."""

    name: str
    host: str
    port: int


class LinkStatistics:
    """Counts by name, and how the way to each member stands."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        self.ways = dict[str, str]()  # "" where it stands, else why it does not.


def failure(note: Callable[..., None], where: str, error: BaseException) -> None:
    """An error that nobody foresaw: told in full, and the work goes on."""
    note(
        "failure",
        where=where,
        error=repr(error)[:500],
        trace="".join(traceback.format_exception(error))[-4000:],
    )

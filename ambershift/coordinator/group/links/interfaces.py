"""What links need of their owner and tell it, and what they count."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ambershift.coordinator.group.links.handshake import LocalIdentity
from ambershift.coordinator.group.links.wire import FrameKind, Refusal


class LinkListener(Protocol):
    """The owner of links. It is called on the event loop.

    An error that it raises for a frame closes the link as unreadable.
    """

    def local_identity(self) -> LocalIdentity:
        """Return what this process says of itself in a handshake."""

    def on_frame(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        """Take a frame of an accepted member.

        Raises:
            wire.UnreadableError: The payload is malformed; its text goes to the log.
        """

    def on_link_lost(self, member: str) -> None:
        """The outgoing link to that member broke; what was under way may be lost."""

    def on_link_up(self, member: str) -> None:
        """The outgoing link to that member is up."""

    def on_refused(self, member: str, refused: Refusal) -> None:
        """That member refuses this one."""

    def on_counters(self, name: str, payload: bytes) -> None:
        """Take samples from a process beside the coordinator.

        Raises:
            wire.UnreadableError: The payload is malformed; its text goes to the log.
        """


class Peer(NamedTuple):
    """Another member, and its address in the settings."""

    name: str
    host: str
    port: int


class LinkStatistics:
    """Counts of what happened to links, and the state of the outgoing ones.

    Attributes:
        counts: How often each thing happened, by a `CloseReason` or another name.
        states: By member, empty where the outgoing link is up, else why it is down.
    """

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counts = Counter[str]()
        self.states = dict[str, str]()


def log_failure(note: Callable[..., None], where: str, error: BaseException) -> None:
    """Log an unexpected error with its trace, where the program goes on after it."""
    note(
        "failure",
        where=where,
        error=repr(error)[:500],
        trace="".join(traceback.format_exception(error))[-4000:],
    )

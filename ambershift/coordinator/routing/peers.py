"""Peers that connect to the coordinator's own address: their kinds, limits, and the handling of bad input."""

from __future__ import annotations

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

Connection = TypeVar("Connection")


class PeerKind(Enum):
    """What a peer is known to be."""

    STRANGER = "has not named a zone that we know"
    COLLECTOR = "has joined as the collector of a zone"


class PeerLimits(NamedTuple):
    """What a peer may do, and what closes its connection.

    Attributes:
        max_line_bytes: The longest line.
        line_timeout_s: Seconds from a line's first byte to its last.
        max_duration_s: Seconds after which the connection is closed, whatever arrives; None for no limit.
        max_consecutive_invalid: Unusable messages in a row that are tolerated. Up to there a collector only
            loses the message itself.
        sends_error: Whether the peer is sent `error` before the close.
    """

    max_line_bytes: int
    line_timeout_s: float
    max_duration_s: float | None
    max_consecutive_invalid: int
    sends_error: bool


# A stranger must name its zone within the second that the protocol grants. Collectors send a batch of reports
# a second, and most of a damaged batch is valid: eight invalid messages in a row are not reports at all.
PEER_LIMITS = {
    PeerKind.STRANGER: PeerLimits(4096, 1.0, 1.0, 0, True),
    PeerKind.COLLECTOR: PeerLimits(1 << 20, 1.0, None, 7, False),
}
# A collector that reconnects may leave its old connection open and silent, as after a network partition.
MAX_COLLECTORS_PER_ZONE = 3


class CollectorRegistry(Generic[Connection]):
    """The collectors of each zone, least recently heard first.

    A connection is a `Link` here and a number in the model checker.
    """

    def __init__(self) -> None:
        self.by_zone = dict[str, list[Connection]]()

    def add(self, link: Connection, zone: str) -> Connection | None:
        """Add a collector; return the connection to close for it, if the zone has too many."""
        links = self.by_zone.setdefault(zone, [])
        links.append(link)
        return links[0] if len(links) > MAX_COLLECTORS_PER_ZONE else None

    def touch(self, link: Connection, zone: str) -> None:
        """Mark a collector as the one heard last."""
        links = self.by_zone[zone]
        if links[-1] is not link:
            links.remove(link)
            links.append(link)

    def remove(self, link: Connection, zone: str) -> None:
        """Remove a collector whose connection has ended."""
        self.by_zone[zone].remove(link)


class PeerSession:
    """The behaviour of one peer so far, and its limits. Times are seconds of any monotonic clock."""

    def __init__(self, now: float) -> None:
        self.consecutive_invalid, self.since = 0, now
        self.set_kind(PeerKind.STRANGER)

    def set_kind(self, kind: PeerKind) -> None:
        """Set what the peer is, and with it its limits."""
        self.kind, self.limits = kind, PEER_LIMITS[kind]

    def remaining_s(self, now: float) -> float | None:
        """Return the time until the connection has to end, or None if it has no limit."""
        max_duration_s = self.limits.max_duration_s
        return None if max_duration_s is None else max(0.0, self.since + max_duration_s - now)

    def record_valid(self) -> None:
        """Count a valid message, which ends a row of invalid ones."""
        self.consecutive_invalid = 0

    def record_invalid(self) -> bool:
        """Count a message that can't be used; return whether the connection has to end."""
        self.consecutive_invalid += 1
        return self.consecutive_invalid > self.limits.max_consecutive_invalid

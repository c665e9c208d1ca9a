"""Peers: what whoever connects to our own address is, what that allows, and what bad input from it earns."""

from __future__ import annotations

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

Connection = TypeVar("Connection")


class PeerKind(Enum):
    STRANGER = "has not named a zone that we know"
    COLLECTOR = "has joined as the collector of a zone"


class PeerLimits(NamedTuple):
    """What a peer may do, and what earns it the end of its connection."""

    max_line_bytes: int  # Bytes of a line.
    line_timeout_s: float  # Seconds from a line's first byte to its last.
    max_duration_s: float | None  # Seconds from its beginning to the end of the connection, whatever comes.
    max_consecutive_invalid: (
        int  # Messages on end that can't be used; of one who has joined, each costs itself alone.
    )
    sends_error: bool  # Whether it hears `error` before the close.


# A stranger must name its zone within the second that the protocol grants. Collectors bring a row of reports
# a second, and of a spoilt row most are good: as many bad ones on end are no reports at all, but rubbish.
PEER_LIMITS = {
    PeerKind.STRANGER: PeerLimits(4096, 1.0, 1.0, 0, True),
    PeerKind.COLLECTOR: PeerLimits(1 << 20, 1.0, None, 7, False),
}
# A collector that comes anew may have left its old connection open and silent, as a machine cut off does.
MAX_COLLECTORS_PER_ZONE = 3


class CollectorRegistry(Generic[Connection]):
    """Keeps who has joined for each zone, whatever a connection is: links here, numbers in the checker."""

    def __init__(self) -> None:
        self.by_zone = dict[str, list[Connection]]()

    def add(self, link: Connection, zone: str) -> Connection | None:
        """Gives the one that must go for it, if there are too many."""
        links = self.by_zone.setdefault(zone, [])
        links.append(link)
        # The one that has been silent for longest stands first.
        return links[0] if len(links) > MAX_COLLECTORS_PER_ZONE else None

    def touch(self, link: Connection, zone: str) -> None:
        links = self.by_zone[zone]
        if links[-1] is not link:
            links.remove(link)
            links.append(link)

    def remove(self, link: Connection, zone: str) -> None:
        self.by_zone[zone].remove(link)


class PeerSession:
    """How one peer has behaved so far, measured by the table. Times are seconds of any clock that goes on."""

    def __init__(self, now: float) -> None:
        self.consecutive_invalid, self.since = 0, now
        self.set_kind(PeerKind.STRANGER)

    def set_kind(self, peer: PeerKind) -> None:
        self.kind, self.limits = peer, PEER_LIMITS[peer]

    def remaining_s(self, now: float) -> float | None:
        stays = self.limits.max_duration_s
        return None if stays is None else max(0.0, self.since + stays - now)

    def record_valid(self) -> None:
        self.consecutive_invalid = 0

    def record_invalid(self) -> bool:
        """One more message that can't be used; tells whether that ends the connection."""
        self.consecutive_invalid += 1
        return self.consecutive_invalid > self.limits.max_consecutive_invalid

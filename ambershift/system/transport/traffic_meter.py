"""How many bytes of each kind of message went how far: what an operator pays for, and where it comes from.

Counted as written to links: the message and its frame, without TCP's own headers. No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from ambershift.system.state_machine import NS_PER_SECOND

TOLD_EACH = 10 * NS_PER_SECOND
ZONE, REGION, ABROAD, UNKNOWN = "zone", "region", "abroad", "unknown"
MASK = 4  # Bytes that only the dialling end's frames have.

Place = tuple[str, str]  # Zone and region.


def reach(own: Place, other: Place | None) -> str:
    """How far it is: within a zone, a region, abroad."""
    if other is None:
        return UNKNOWN
    return ZONE if other[0] == own[0] else REGION if other[1] == own[1] else ABROAD


def frame(size: int, masked: bool) -> int:
    """Bytes of a websocket message of so many bytes."""
    head = 2 if size < 126 else 4 if size < 1 << 16 else 10
    return size + head + (MASK if masked else 0)


class Meter:
    """`where` gives a peer's place, or None where it isn't known yet."""

    def __init__(self, own: Place, where: Callable[[str], Place | None]) -> None:
        self.own, self.where = own, where
        self.counts = defaultdict[tuple[str, str], list[int]](lambda: [0, 0])
        self.told_at = 0

    def count(self, peer: str, masked: bool, kind: str, size: int) -> None:
        one = self.counts[reach(self.own, self.where(peer)), kind]
        one[0] += 1
        one[1] += frame(size, masked)

    def due(self, now: int) -> Mapping[str, dict[str, list[int]]] | None:
        """Every ten seconds: by reach and kind of message, how many and how many bytes, since the start."""
        if now < self.told_at + TOLD_EACH:
            return None
        self.told_at = now
        told = defaultdict[str, dict[str, list[int]]](dict)
        for (far, kind), (times, size) in sorted(self.counts.items()):
            told[far][kind] = [times, size]
        return told

"""How many bytes of each kind of message went how far: what an operator pays for, and where it comes from.

Counted as written to links: the message and its frame, without TCP's own headers. No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from ambershift.system.state_machine import NS_PER_SECOND

REPORT_INTERVAL_NS = 10 * NS_PER_SECOND
ZONE, REGION, ABROAD, UNKNOWN = "zone", "region", "abroad", "unknown"
MASK_BYTES = 4  # Bytes that only the dialling end's frames have.

Locality = tuple[str, str]  # Zone and region.


def traffic_scope(local: Locality, peer: Locality | None) -> str:
    """How far it is: within a zone, a region, abroad."""
    if peer is None:
        return UNKNOWN
    return ZONE if peer[0] == local[0] else REGION if peer[1] == local[1] else ABROAD


def frame_bytes(size: int, masked: bool) -> int:
    """Bytes of a websocket message of so many bytes."""
    head = 2 if size < 126 else 4 if size < 1 << 16 else 10
    return size + head + (MASK_BYTES if masked else 0)


class TrafficMeter:
    """`where` gives a peer's place, or None where it isn't known yet."""

    def __init__(self, local: Locality, locality_of: Callable[[str], Locality | None]) -> None:
        self._local, self._locality_of = local, locality_of
        self._counts = defaultdict[tuple[str, str], list[int]](lambda: [0, 0])
        self._reported_at = 0

    def record(self, peer: str, masked: bool, kind: str, size: int) -> None:
        one = self._counts[traffic_scope(self._local, self._locality_of(peer)), kind]
        one[0] += 1
        one[1] += frame_bytes(size, masked)

    def report_if_due(self, now: int) -> Mapping[str, dict[str, list[int]]] | None:
        """Every ten seconds: by reach and kind of message, how many and how many bytes, since the start."""
        if now < self._reported_at + REPORT_INTERVAL_NS:
            return None
        self._reported_at = now
        told = defaultdict[str, dict[str, list[int]]](dict)
        for (far, kind), (times, size) in sorted(self._counts.items()):
            told[far][kind] = [times, size]
        return told

"""Counts messages and bytes by kind and scope, since traffic between regions is what an operator pays for.

Counted as written to links: the message and its websocket frame, without the headers of TCP and IP. No I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from ambershift.system.state_machine import NS_PER_SECOND

REPORT_INTERVAL_NS = 10 * NS_PER_SECOND
# Names of the scopes, as they are logged.
SAME_ZONE = "zone"
SAME_REGION = "region"
OTHER_REGION = "abroad"
UNKNOWN = "unknown"
# Header of a websocket frame (RFC 6455, section 5.2). From a certain size on, the length takes more bytes.
MIN_HEADER_BYTES = 2
MIN_SIZE_2_LENGTH_BYTES = 126
MIN_SIZE_8_LENGTH_BYTES = 1 << 16
MASK_BYTES = 4  # The masking key, which only frames of the dialling end have (RFC 6455, section 5.3).

Locality = tuple[str, str]  # Zone and region.


def traffic_scope(local: Locality, peer: Locality | None) -> str:
    """How far traffic goes: within the zone, within the region, between regions, or unknown."""
    if peer is None:
        return UNKNOWN
    if peer[0] == local[0]:
        return SAME_ZONE
    return SAME_REGION if peer[1] == local[1] else OTHER_REGION


def frame_bytes(size: int, masked: bool) -> int:
    """Size of a websocket frame with a payload of `size` bytes (RFC 6455, section 5.2)."""
    length_bytes = 0
    if size >= MIN_SIZE_2_LENGTH_BYTES:
        length_bytes = 2 if size < MIN_SIZE_8_LENGTH_BYTES else 8
    return size + MIN_HEADER_BYTES + length_bytes + (MASK_BYTES if masked else 0)


class TrafficMeter:
    """Counts what one machine sends, since its start."""

    def __init__(self, local: Locality, locality_of: Callable[[str], Locality | None]) -> None:
        """Create it with all counts at zero.

        Args:
            local: This machine's zone and region.
            locality_of: Gives a peer's zone and region by its ip or name; None if they aren't known yet.
        """
        self._local = local
        self._locality_of = locality_of
        # Messages and bytes, by scope and kind.
        self._counts = defaultdict[tuple[str, str], list[int]](lambda: [0, 0])
        self._reported_at = 0

    def record(self, peer: str, masked: bool, kind: str, size: int) -> None:
        """Count one message.

        Args:
            peer: The receiver's ip or name.
            masked: Whether its frame is masked, as those of the dialling end are.
            kind: The message's tag.
            size: Its encoded size in bytes.
        """
        counts = self._counts[traffic_scope(self._local, self._locality_of(peer)), kind]
        counts[0] += 1
        counts[1] += frame_bytes(size, masked)

    def report_if_due(self, now: int) -> Mapping[str, dict[str, list[int]]] | None:
        """The counts since the start, at most every `REPORT_INTERVAL_NS`; None if it isn't time yet.

        Args:
            now: Steady time in ns.

        Returns:
            By scope and kind of message a list of how many messages and how many bytes.
        """
        if now < self._reported_at + REPORT_INTERVAL_NS:
            return None
        self._reported_at = now
        report = defaultdict[str, dict[str, list[int]]](dict)
        for (scope, kind), (messages, size) in sorted(self._counts.items()):
            report[scope][kind] = [messages, size]
        return report

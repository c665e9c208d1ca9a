"""What the operator lets a client send, and how long it may take; what one connection has used. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# Clients are told to close idle connections so much before the proxy does.
KEEP_ALIVE_LEAD_NS = NS_PER_SECOND


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """The limits of clients. The defaults hold where the operator sets nothing.

    Attributes:
        max_body_bytes: Size of a request's body.
        max_head_bytes: Size of a request's head, from the request line to the empty line.
        head_timeout_ns: Time from a head's first byte to its last.
        idle_timeout_ns: Time from the opening of a connection, or from a response, to the next head.
    """

    max_body_bytes: int = 64 << 20
    max_head_bytes: int = 64 << 10
    head_timeout_ns: int = 10 * NS_PER_SECOND
    idle_timeout_ns: int = 60 * NS_PER_SECOND

    @property
    def advertised_keep_alive_s(self) -> int | None:
        """Seconds that clients are told to keep idle connections; None if that would be less than one."""
        if self.idle_timeout_ns <= KEEP_ALIVE_LEAD_NS:
            return None
        return (self.idle_timeout_ns - KEEP_ALIVE_LEAD_NS) // NS_PER_SECOND or None


def read_limits(body: Mapping[str, Any]) -> ClientLimits:
    """Read the body of the operator's item; what is missing or invalid has its default."""
    default = ClientLimits()

    def read(name: str, unit: int, default: int) -> int:
        value = body.get(name)
        return max(1, int(value * unit)) if isinstance(value, int | float) and value > 0 else default

    return ClientLimits(
        read("BodyBytes", 1, default.max_body_bytes),
        read("HeaderBytes", 1, default.max_head_bytes),
        read("HeaderTimeoutMs", NS_PER_MS, default.head_timeout_ns),
        read("IdleTimeoutMs", NS_PER_MS, default.idle_timeout_ns),
    )


class HeadTracker:
    """One client's connection: how much of a head has come and since when, or since when it is idle.

    The parser doesn't tell how many bytes a head has. What was read since it began is at least as much; of
    data that held bytes of other messages, too, it is unknown how many belong to the head.

    Attributes:
        has_open_head: Whether a head has begun and is incomplete.
        head_started_at: When that head began, ns on the monotonic clock.
        head_bytes: Bytes read since the head began, those of the same read before it included.
        stall_grace_used: Whether the current timeout was put off once, to read what came during a stall.
    """

    __slots__ = (
        "_is_shared",
        "_unattributed_bytes",
        "has_open_head",
        "head_bytes",
        "head_started_at",
        "idle_since",
        "stall_grace_used",
    )

    def __init__(self, now: int) -> None:
        """A connection was opened."""
        self.idle_since = now
        self.has_open_head = False
        self.head_started_at = now
        self.head_bytes = 0
        self.stall_grace_used = False
        self._unattributed_bytes = 0  # Of the first read of the head, if it held other messages, too.
        self._is_shared = False  # Whether the last read held bytes of other messages.

    def record_read(self, size: int, in_body: bool) -> None:
        """So many bytes were read and are parsed next; `in_body` if a body is incomplete."""
        if self.has_open_head:
            self.head_bytes += size
        else:
            self.head_bytes, self._unattributed_bytes = size, 0
        self._is_shared = in_body

    def record_head_start(self) -> None:
        """A head begins within the bytes read last."""
        self.has_open_head = True

    def record_head_end(self) -> None:
        """A head has ended within the bytes read last."""
        self.has_open_head, self._is_shared, self.stall_grace_used = False, True, False

    def record_parsed(self, now: int, had_no_head: bool) -> None:
        """All bytes read last are parsed; `had_no_head` if no head was open before them."""
        if self.has_open_head and (had_no_head or self._is_shared):
            self.head_started_at = now
            self._unattributed_bytes = self.head_bytes if self._is_shared else 0

    def record_response(self, now: int) -> None:
        """A response is complete."""
        self.idle_since, self.stall_grace_used = now, False

    def exceeds(self, limits: ClientLimits) -> bool:
        """Whether the open head is too large already, whatever still comes of it."""
        return self.has_open_head and self.head_bytes - self._unattributed_bytes > limits.max_head_bytes

    def deadline(self, limits: ClientLimits, busy: bool) -> int | None:
        """Return until when the client has to send more.

        Args:
            limits: The limits of clients.
            busy: Whether a request is being served.

        Returns:
            ns on the monotonic clock; None while a request is being served and no head is open.
        """
        if self.has_open_head:
            return self.head_started_at + limits.head_timeout_ns
        return None if busy else self.idle_since + limits.idle_timeout_ns

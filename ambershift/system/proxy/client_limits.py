"""What the operator allows a client to send and to wait, and what one connection has taken of it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

CLIENTS_FIRST = NS_PER_SECOND  # Clients are told to end idle connections so much before we do.


@dataclass(frozen=True, slots=True)
class Limits:
    """Bytes of a body and of a head, from the request line to the empty line; ns from a head's first byte to
    its last, and between the opening or an answer and the next head. Set where the operator sets nothing.
    """

    body: int = 64 << 20
    head: int = 64 << 10
    head_for: int = 10 * NS_PER_SECOND
    idle_for: int = 60 * NS_PER_SECOND

    @property
    def advertised_keep_alive_s(self) -> int | None:
        """Whole seconds that clients are told to keep idle connections; None if too short to be told."""
        return (
            (self.idle_for - CLIENTS_FIRST) // NS_PER_SECOND or None
            if self.idle_for > CLIENTS_FIRST
            else None
        )


def read_limits(item: Mapping[str, Any]) -> Limits:
    plain = Limits()

    def taken(name: str, unit: int, default: int) -> int:
        value = item.get(name)
        return max(1, int(value * unit)) if isinstance(value, int | float) and value > 0 else default

    return Limits(
        taken("BodyBytes", 1, plain.body),
        taken("HeaderBytes", 1, plain.head),
        taken("HeaderTimeoutMs", NS_PER_MS, plain.head_for),
        taken("IdleTimeoutMs", NS_PER_MS, plain.idle_for),
    )


class Waiting:
    """One connection of a client: how much of a head has come and since when, or since when nothing has.

    The parser doesn't tell how many bytes a head has. What was read since it began is at least as much; of a
    reading that held bytes of other messages too (`shared`), we can't tell how many are the head's.
    """

    __slots__ = ("head", "idle_since", "shared", "since", "size", "spared", "unsure")

    def __init__(self, now: int) -> None:
        self.idle_since = now
        self.head = False  # One has begun and is not whole.
        self.since = now
        self.size = self.unsure = 0
        self.shared = self.spared = False

    def reads(self, size: int, body: bool) -> None:
        """So many bytes were read and are parsed next; `body`: in the middle of a body."""
        if self.head:
            self.size += size
        else:
            self.size, self.unsure = size, 0
        self.shared = body

    def whole(self) -> None:
        """A head has ended among the bytes read last."""
        self.head, self.shared, self.spared = False, True, False

    def parsed(self, now: int, fresh: bool) -> None:
        """All bytes read last are parsed. `fresh`: no head was open before, so one open now began in them."""
        if self.head and (fresh or self.shared):
            self.since = now
            self.unsure = self.size if self.shared else 0

    def answered(self, now: int) -> None:
        self.idle_since, self.spared = now, False

    def over(self, limits: Limits) -> bool:
        """Whether the head that is open is too large already, whatever still comes of it."""
        return self.head and self.size - self.unsure > limits.head

    def due(self, limits: Limits, busy: bool) -> int | None:
        """Until when the next is awaited; None while a request is answered (`busy`) and no head is open."""
        if self.head:
            return self.since + limits.head_for
        return None if busy else self.idle_since + limits.idle_for

"""What every state machine of the system is made of: it takes an event and returns what is to be done.

`step(now, event) -> list[Effect]`. `now` is the steady clock in whole nanoseconds; a machine knows no socket,
file, clock or random source of its own (a seed is handed to it). The shell carries the effects out in order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

NS_PER_SECOND = 1_000_000_000
NS_PER_MS = 1_000_000


# Events that all machines know.
@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another machine, named by its ip; for proxies by their name."""

    sender: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A link to another control node, named by its ip, is up; what was sent before may be lost."""

    ip: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: a wake that was asked for, or the shell's own beat."""


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """A write is on disk, synced; or it has failed, and `fault` says how ("full", "stalled", "failed")."""

    token: int
    fault: str | None = None


# Effects.
@dataclass(frozen=True, slots=True)
class Send:
    """To a control node's ip or a proxy's name. May be lost: whoever needs an answer asks again."""

    recipient: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Write:
    """Rows (table, key, value; None deletes) for one synced disk transaction, then `WriteCompleted`."""

    token: int
    rows: tuple[tuple[str, str, bytes | None], ...]


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """The outcome of a call that an event brought."""

    call_id: int
    outcome: Any


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """A `Tick` at `at_ns` (ns, steady) or soon after."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A numbered event for the log, with its fields."""

    number: int
    fields: dict[str, Any]


Effect = Send | Write | CompleteCall | ScheduleTick | LogEvent

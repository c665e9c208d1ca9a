"""Events and effects that the system's state machines share.

A state machine has `step(now, event) -> list[Effect]`. `now` is the steady clock in whole nanoseconds. It
has no socket, file, clock or random source of its own; it gets a seed. Its caller carries the effects out in
order, so that a simulation can run the same state machines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

NS_PER_SECOND = 1_000_000_000
NS_PER_MS = 1_000_000


# Events.
@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has arrived.

    Attributes:
        sender: The ip of a control node, or the name of a proxy.
        message: The decoded message.
    """

    sender: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A link to another control node is up; messages sent to it before may be lost.

    Attributes:
        ip: The other control node's.
    """

    ip: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: a scheduled tick, or the regular one."""


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """A write has ended.

    Attributes:
        token: That of the `Write`.
        fault: None if the rows are synced to disk; else "full", "stalled" or "failed".
    """

    token: int
    fault: str | None = None


# Effects.
@dataclass(frozen=True, slots=True)
class Send:
    """Send a message. It may be lost: a sender that needs an answer sends it again.

    Attributes:
        recipient: The ip of a control node, or the name of a proxy.
        message: The message, not yet encoded.
    """

    recipient: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Write:
    """Write rows to disk in one synced transaction; `WriteCompleted` follows.

    Attributes:
        token: Identifies the write in its `WriteCompleted`.
        rows: Table, key and value of each row; the value None deletes it.
    """

    token: int
    rows: tuple[tuple[str, str, bytes | None], ...]


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """Complete a call that an event started.

    Attributes:
        call_id: The call's, as the event gave it.
        outcome: What the caller gets.
    """

    call_id: int
    outcome: Any


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Schedule a `Tick`.

    Attributes:
        at_ns: Time of the steady clock; the tick comes then or soon after.
    """

    at_ns: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a numbered event to the log.

    Attributes:
        number: A key of the catalogue in `system/events.py`.
        fields: Values of the fields that the catalogue names.
    """

    number: int
    fields: dict[str, Any]


Effect = Send | Write | CompleteCall | ScheduleTick | LogEvent

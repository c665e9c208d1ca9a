"""What the state machines of a replica share in a step: time, effects, messages to the node itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages.items import Item
from ambershift.system.state_machine import CompleteCall, Effect, LogEvent, ScheduleTick, Send, Write


@dataclass(frozen=True, slots=True)
class ItemsUpdated:
    """Effect: these items have just become newer in this copy."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """The outcome of a call that succeeded; that of one that failed is an exception."""

    result: Any


class EffectBuffer:
    """Collects effects in their order. A message to this node is handled within the same step.

    Attributes:
        local_ip: This node's ip.
        now: The time of this step, in steady ns.
        effects: The effects of this step so far.
        loopback: Messages of this node to itself that aren't handled yet.
    """

    def __init__(self, local_ip: str) -> None:
        """Start at time 0 without effects."""
        self.local_ip = local_ip
        self.now = 0
        self.effects: list[Effect | ItemsUpdated] = []
        self.loopback: deque[msgspec.Struct] = deque()

    def send(self, recipient: str, message: msgspec.Struct) -> None:
        """Send a message to a control node, by its ip; this node's own is put into `loopback`."""
        if recipient == self.local_ip:
            self.loopback.append(message)
        else:
            self.effects.append(Send(recipient, message))

    def write(self, token: int, rows: tuple[tuple[str, str, bytes | None], ...]) -> None:
        """Write rows (table, key, value; None deletes) in one transaction."""
        self.effects.append(Write(token, rows))

    def schedule_tick(self, at: int) -> None:
        """Ask for a tick at that moment (steady ns)."""
        self.effects.append(ScheduleTick(at))

    def complete_call(self, call: int, outcome: CallSucceeded | Exception) -> None:
        """Give a caller its outcome."""
        self.effects.append(CompleteCall(call, outcome))

    def items_updated(self, items: Sequence[Item]) -> None:
        """Tell the listeners of newer items."""
        self.effects.append(ItemsUpdated(tuple(items)))

    def log(self, number: int, **fields: Any) -> None:
        """Log an event of the catalogue, by its number."""
        self.effects.append(LogEvent(number, fields))

    def drain(self) -> list[Effect | ItemsUpdated]:
        """Return the effects of this step, and begin anew."""
        effects = self.effects
        self.effects = []
        return effects

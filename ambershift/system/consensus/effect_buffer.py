"""What the small machines of a replica share: the time, the effects so far, and messages to itself."""

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
    """Effect: these items have just become newer here."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """The good outcome of a call."""

    result: Any


class EffectBuffer:
    """Collects effects in order. A message to this machine is handled within the same step."""

    def __init__(self, ip: str) -> None:
        self.local_ip = ip
        self.now = 0
        self.effects: list[Effect | ItemsUpdated] = []
        self.loopback: deque[msgspec.Struct] = deque()

    def send(self, recipient: str, message: msgspec.Struct) -> None:
        if recipient == self.local_ip:
            self.loopback.append(message)
        else:
            self.effects.append(Send(recipient, message))

    def write(self, token: int, rows: tuple[tuple[str, str, bytes | None], ...]) -> None:
        self.effects.append(Write(token, rows))

    def schedule_tick(self, at: int) -> None:
        self.effects.append(ScheduleTick(at))

    def complete_call(self, call: int, outcome: CallSucceeded | Exception) -> None:
        self.effects.append(CompleteCall(call, outcome))

    def items_updated(self, items: Sequence[Item]) -> None:
        self.effects.append(ItemsUpdated(tuple(items)))

    def log(self, number: int, **fields: Any) -> None:
        self.effects.append(LogEvent(number, fields))

    def drain(self) -> list[Effect | ItemsUpdated]:
        effects, self.effects = self.effects, []
        return effects

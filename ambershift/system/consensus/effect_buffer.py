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
class News:
    """Effect: these items have just become newer here."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Held:
    """The good outcome of a call."""

    result: Any


class Outbox:
    """Collects effects in order. A message to this machine is handled within the same step."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.now = 0
        self.effects: list[Effect | News] = []
        self.own: deque[msgspec.Struct] = deque()

    def send(self, to: str, message: msgspec.Struct) -> None:
        if to == self.ip:
            self.own.append(message)
        else:
            self.effects.append(Send(to, message))

    def write(self, token: int, rows: tuple[tuple[str, str, bytes | None], ...]) -> None:
        self.effects.append(Write(token, rows))

    def wake(self, at: int) -> None:
        self.effects.append(ScheduleTick(at))

    def answer(self, call: int, outcome: Held | Exception) -> None:
        self.effects.append(CompleteCall(call, outcome))

    def news(self, items: Sequence[Item]) -> None:
        self.effects.append(News(tuple(items)))

    def log(self, number: int, **fields: Any) -> None:
        self.effects.append(LogEvent(number, fields))

    def taken(self) -> list[Effect | News]:
        effects, self.effects = self.effects, []
        return effects

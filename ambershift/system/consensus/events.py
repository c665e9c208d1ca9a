"""What a replica takes beside the events of `steps`: its callers' wishes, and links that come up."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ambershift.system.interfaces import ChangeFunction
from ambershift.system.messages.items import Item
from ambershift.system.state_machine import MessageReceived, Tick, WriteCompleted


@dataclass(frozen=True, slots=True)
class Put:
    call: int
    items: Sequence[Item]
    within: float  # Seconds.


@dataclass(frozen=True, slots=True)
class Freshen:
    call: int
    within: float


@dataclass(frozen=True, slots=True)
class ChangeRegister:
    call: int
    register: str
    change: ChangeFunction
    within: float


@dataclass(frozen=True, slots=True)
class Reached:
    """A link to that machine has come up; what was sent to it before is lost."""

    ip: str


Event = MessageReceived | Reached | Tick | WriteCompleted | Put | Freshen | ChangeRegister

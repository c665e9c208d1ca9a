"""What a replica takes beside the events of `steps`: its callers' wishes, and links that come up."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ambershift.system.interfaces import ChangeFunction
from ambershift.system.messages.items import Item
from ambershift.system.state_machine import MessageReceived, PeerConnected, Tick, WriteCompleted


@dataclass(frozen=True, slots=True)
class WriteItems:
    call: int
    items: Sequence[Item]
    timeout_s: float  # Seconds.


@dataclass(frozen=True, slots=True)
class ReadQuorum:
    call: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ChangeRegister:
    call: int
    register: str
    change: ChangeFunction
    timeout_s: float


Event = MessageReceived | PeerConnected | Tick | WriteCompleted | WriteItems | ReadQuorum | ChangeRegister

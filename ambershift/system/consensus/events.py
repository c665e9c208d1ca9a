"""What a replica handles besides the events of `state_machine`: the calls of its callers.

`call` is the caller's number of a call; the outcome repeats it. Time-outs are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ambershift.system.interfaces import ChangeFunction
from ambershift.system.messages.items import Item
from ambershift.system.state_machine import MessageReceived, PeerConnected, Tick, WriteCompleted


@dataclass(frozen=True, slots=True)
class WriteItems:
    """Store items on a majority of the voters."""

    call: int
    items: Sequence[Item]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ReadQuorum:
    """Read what a majority of the voters stores."""

    call: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ChangeRegister:
    """Run a change on an agreed register."""

    call: int
    register: str
    change: ChangeFunction
    timeout_s: float


Event = MessageReceived | PeerConnected | Tick | WriteCompleted | WriteItems | ReadQuorum | ChangeRegister

"""What all parts of the control API need of the node that they run on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.interfaces import ReplicatedState

# Sends a message to the control node with this ip, or loses it.
Sender = Callable[[str, msgspec.Struct], None]

# Writes a log line: the number of the event (`log_events.py`), and its fields.
Logger = Callable[[int, dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The node's identity, storage, clock, network and log.

    Attributes:
        ip: This node's own address.
        store: The replicated items and registers.
        monotonic_ns: The monotonic clock, in ns.
        send: Sends a message to another control node.
        log: Writes a log line.
    """

    ip: str
    store: ReplicatedState
    monotonic_ns: Callable[[], int]
    send: Sender
    log: Logger

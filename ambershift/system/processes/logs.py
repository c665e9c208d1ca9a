"""Logs: one JSON line an event on standard output, by structlog, with the event's number and message."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog

from ambershift.system.events import EVENTS, WARNING, EventDescription
from ambershift.system.state_machine import NS_PER_SECOND

# Per event number: a storm of one event tells nothing more, and each line costs processor time.
MAX_LINES_PER_SECOND = 20


class EventLog:
    """Writes events as JSON lines; call it with an event's number and fields.

    `system/events.py` has the catalogue of numbers. A number that isn't in it is a fault of the program, and
    is written as a warning.
    """

    def __init__(self, node: str, steady: Callable[[], int]) -> None:
        """Configure structlog for this process.

        Args:
            node: Name of this machine, in each line.
            steady: The steady clock, in ns.
        """
        structlog.configure(
            processors=[structlog.processors.JSONRenderer()],
            logger_factory=structlog.WriteLoggerFactory(sys.stdout),
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )
        self._logger: Any = structlog.get_logger().bind(node=node)
        self._steady = steady
        self._second = -1  # Of the steady clock; the lines of this second are counted.
        self._line_counts = Counter[int]()  # By event number.

    def __call__(self, number: int, fields: dict[str, Any]) -> None:
        """Write an event, unless its number had `MAX_LINES_PER_SECOND` lines in this second."""
        now = self._steady()
        if now // NS_PER_SECOND != self._second:
            self._second = now // NS_PER_SECOND
            self._line_counts.clear()
        self._line_counts[number] += 1
        if self._line_counts[number] > MAX_LINES_PER_SECOND:
            return
        description = EVENTS.get(number) or EventDescription(WARNING, f"event {number}")
        getattr(self._logger, description.level)(
            description.message, n=number, at=round(now / NS_PER_SECOND, 3), **fields
        )

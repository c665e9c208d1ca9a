"""Logs: one JSON line an event on standard output, by structlog, with the event's number and text."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog

from ambershift.system.events import EVENTS, WARNING

MAX_LINES_PER_SECOND = (
    20  # Of a number: a storm of the same tells nothing more, and each line costs processor time.
)


class EventLog:
    """`log(number, fields)`; a number that isn't in the catalogue is a fault of the program."""

    def __init__(self, name: str, steady: Callable[[], int]) -> None:
        structlog.configure(
            processors=[structlog.processors.JSONRenderer()],
            logger_factory=structlog.WriteLoggerFactory(sys.stdout),
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )
        self.logger: Any = structlog.get_logger().bind(node=name)
        self.steady, self.second, self.counts = steady, -1, Counter[int]()

    def __call__(self, number: int, fields: dict[str, Any]) -> None:
        now = self.steady()
        if now // 1_000_000_000 != self.second:
            self.second = now // 1_000_000_000
            self.counts.clear()
        self.counts[number] += 1
        if self.counts[number] > MAX_LINES_PER_SECOND:
            return
        level, text = EVENTS.get(number, (WARNING, f"event {number}"))
        getattr(self.logger, level)(text, n=number, at=round(now / 1e9, 3), **fields)

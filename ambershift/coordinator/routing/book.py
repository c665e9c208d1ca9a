"""Book: counts of all that passes, and the log lines, bounded for each kind of event."""

from __future__ import annotations

import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.transport.endings import MEANING, EndedError

Log = Callable[[dict[str, Any]], None]
SECOND = 1_000_000_000
LINES_A_SECOND = 40


class Book:
    """Against a flood of bad input: of each kind of event a bounded number of lines a second is logged."""

    def __init__(self, log: Log, clock: Callable[[], int] = time.monotonic_ns) -> None:
        self.log, self.clock = log, clock
        self.counts = Counter[str]()
        self.since, self.written = clock(), Counter[str]()

    def count(self, event: str, more: int = 1) -> None:
        self.counts[event] += more

    def note(self, event: str, **fields: Any) -> None:
        self.counts[event] += 1
        now = self.clock()
        if now - self.since >= SECOND:
            self.since = now
            missed = {
                kind: count - LINES_A_SECOND for kind, count in self.written.items() if count > LINES_A_SECOND
            }
            self.written.clear()
            if missed:
                self.log({"event": "left_out", "lines": missed})
        self.written[event] += 1
        if self.written[event] <= LINES_A_SECOND:
            self.log({"event": event, **fields})

    def ended(self, what: str, end: EndedError, **fields: Any) -> None:
        self.count(f"{what}_{end.ending.name.lower()}")
        if MEANING[end.ending].fault:
            self.note(f"{what}_ended", how=end.ending.name.lower(), detail=end.detail, **fields)

    def failure(self, where: str, error: BaseException) -> None:
        """An error that nobody foresaw: told in full, and the work goes on."""
        self.note(
            "failure",
            where=where,
            error=repr(error)[:500],
            trace="".join(traceback.format_exception(error))[-4000:],
        )

    def totals(self) -> None:
        self.log({"event": "totals", "counts": dict(sorted(self.counts.items()))})

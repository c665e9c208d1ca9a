"""EventLog: counts of all that passes, and the log lines, bounded for each kind of event."""

from __future__ import annotations

import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.transport.disconnect import DISCONNECT_EFFECTS, DisconnectedError

Log = Callable[[dict[str, Any]], None]
SECOND = 1_000_000_000
MAX_LINES_PER_SECOND = 40


class EventLog:
    """Against a flood of bad input: of each kind of event a bounded number of lines a second is logged."""

    def __init__(self, log: Log, clock: Callable[[], int] = time.monotonic_ns) -> None:
        self.log, self.clock = log, clock
        self.counts = Counter[str]()
        self.since, self.written = clock(), Counter[str]()

    def count(self, event: str, more: int = 1) -> None:
        self.counts[event] += more

    def record(self, event: str, **fields: Any) -> None:
        self.counts[event] += 1
        now = self.clock()
        if now - self.since >= SECOND:
            self.since = now
            missed = {
                kind: count - MAX_LINES_PER_SECOND
                for kind, count in self.written.items()
                if count > MAX_LINES_PER_SECOND
            }
            self.written.clear()
            if missed:
                self.log({"event": "left_out", "lines": missed})
        self.written[event] += 1
        if self.written[event] <= MAX_LINES_PER_SECOND:
            self.log({"event": event, **fields})

    def record_disconnect(self, what: str, end: DisconnectedError, **fields: Any) -> None:
        self.count(f"{what}_{end.reason.name.lower()}")
        if DISCONNECT_EFFECTS[end.reason].is_fault:
            self.record(f"{what}_ended", how=end.reason.name.lower(), detail=end.detail, **fields)

    def record_failure(self, where: str, error: BaseException) -> None:
        """An error that nobody foresaw: told in full, and the work goes on."""
        self.record(
            "failure",
            where=where,
            error=repr(error)[:500],
            trace="".join(traceback.format_exception(error))[-4000:],
        )

    def record_totals(self) -> None:
        self.log({"event": "totals", "counts": dict(sorted(self.counts.items()))})

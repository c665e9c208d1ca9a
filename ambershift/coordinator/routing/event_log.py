"""Counters of all events, and log lines limited for each kind of event."""

from __future__ import annotations

import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.transport.disconnect import DISCONNECT_EFFECTS, DisconnectedError

Log = Callable[[dict[str, Any]], None]
NS_PER_S = 1_000_000_000
MAX_LINES_PER_SECOND = 40
MAX_ERROR_LENGTH = 500
MAX_TRACE_LENGTH = 4000


class EventLog:
    """Logs and counts events; a flood of bad input yields a bounded number of lines a second of each kind."""

    def __init__(self, log: Log, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Log by `log`, with a monotonic clock in nanoseconds."""
        self.log, self.clock = log, clock
        self.counts = Counter[str]()
        self.window_start, self.window_counts = clock(), Counter[str]()

    def count(self, event: str, more: int = 1) -> None:
        """Count events without a log line."""
        self.counts[event] += more

    def record(self, event: str, **fields: Any) -> None:
        """Count an event and log it, unless its kind has used up this second's lines."""
        self.counts[event] += 1
        now = self.clock()
        if now - self.window_start >= NS_PER_S:
            self.window_start = now
            suppressed = {
                kind: count - MAX_LINES_PER_SECOND
                for kind, count in self.window_counts.items()
                if count > MAX_LINES_PER_SECOND
            }
            self.window_counts.clear()
            if suppressed:
                self.log({"event": "left_out", "lines": suppressed})
        self.window_counts[event] += 1
        if self.window_counts[event] <= MAX_LINES_PER_SECOND:
            self.log({"event": event, **fields})

    def record_disconnect(self, what: str, error: DisconnectedError, **fields: Any) -> None:
        """Count the end of a connection, and log it if it is a fault."""
        reason = error.reason.name.lower()
        self.count(f"{what}_{reason}")
        if DISCONNECT_EFFECTS[error.reason].is_fault:
            self.record(f"{what}_ended", how=reason, detail=error.detail, **fields)

    def record_failure(self, where: str, error: BaseException) -> None:
        """Log an unexpected exception with its traceback."""
        self.record(
            "failure",
            where=where,
            error=repr(error)[:MAX_ERROR_LENGTH],
            trace="".join(traceback.format_exception(error))[-MAX_TRACE_LENGTH:],
        )

    def record_totals(self) -> None:
        """Log all counters."""
        self.log({"event": "totals", "counts": dict(sorted(self.counts.items()))})

"""A clock that starts at Unix time and advances with the monotonic clock, so that it never goes back."""

from __future__ import annotations

import time


class Clock:
    """Unix time in nanoseconds, without later corrections of the system's clock."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time, ns."""
        return self.offset + time.monotonic_ns()

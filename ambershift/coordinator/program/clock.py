"""The clock: Unix time at the start, carried on by the monotonic clock, so that it never goes back."""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self.anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return self.anchor + time.monotonic_ns()

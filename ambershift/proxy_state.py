"""What an instance knows of one proxy: its zone and part, its table, its usage. Nothing is decided here."""

from collections import deque

from ambershift import interface as api

NO_PART, SAMPLES = -1, 40


class Proxy:
    """State of one proxy.

    Times and spans are ns. `usage` has the time, the requests and the span of each report that still counts.
    """

    def __init__(self, zone: int) -> None:
        self.zone, self.part, self.rate = zone, NO_PART, 0.0
        self.table: int | None = None
        self.usage: deque[tuple[int, int, int]] = deque()
        self.messages: deque[int] = deque(maxlen=SAMPLES)
        self.came = self.span = 0  # Sums over the usage held.

    def hear(self, now: int, event: api.DemandReport) -> None:
        """Add a usage report."""
        self.usage.append((now, event.requests, event.span))
        self.came, self.span = self.came + event.requests, self.span + event.span

    def forget(self, before: int) -> None:
        """Drop reports from before a time."""
        while self.usage and self.usage[0][0] < before:
            _, came, span = self.usage.popleft()
            self.came, self.span = self.came - came, self.span - span

"""What an instance knows of one proxy: zone, partition, table and demand. Nothing is decided here."""

from collections import deque

from ambershift import interface as api

NO_PARTITION = -1
MAX_SAMPLES = 40  # Of reports and messages that are kept.


class ProxyState:
    """State of one proxy. Times and spans are ns.

    Attributes:
        zone: Its zone; -1 if it is unknown.
        partition: Its partition, numbered over all zones; NO_PARTITION until one is assigned.
        rate: The traffic that it announced when it joined.
        table: The table that it is bound to; None if it has none of this instance.
        usage: Time, requests and span of each demand report that still counts.
        messages: When it was last sent messages.
        requests: Sum of the requests in `usage`.
        span: Sum of the spans in `usage`.
    """

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.partition = NO_PARTITION
        self.rate = 0.0
        self.table: int | None = None
        self.usage: deque[tuple[int, int, int]] = deque()
        self.messages: deque[int] = deque(maxlen=MAX_SAMPLES)
        self.requests = 0
        self.span = 0

    def record_demand(self, now: int, event: api.DemandReport) -> None:
        """Add a demand report."""
        self.usage.append((now, event.requests, event.span))
        self.requests += event.requests
        self.span += event.span

    def drop_reports(self, before: int) -> None:
        """Drop reports from before a time."""
        while self.usage and self.usage[0][0] < before:
            _, requests, span = self.usage.popleft()
            self.requests -= requests
            self.span -= span

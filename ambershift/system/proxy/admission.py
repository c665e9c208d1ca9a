"""Whether a proxy admits one more request: limits on requests in flight and on bytes held, by priority."""

from __future__ import annotations

# Requests in flight at one proxy. Each holds parts of a request and of a response, so memory limits them.
MAX_IN_FLIGHT = 1200
# A request of priority p is admitted while fewer than (1 - p x this) of the limit are in flight.
PRIORITY_STEP = 0.1
MAX_PRIORITY = 5
# Bytes of request bodies held at once, by all requests.
MAX_BODY_BYTES_HELD = 96 << 20


class Admission:
    """Counts what the requests of a proxy use.

    Attributes:
        in_flight: Requests in flight.
        body_bytes_held: Bytes of request bodies that are held.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.in_flight = 0
        self.body_bytes_held = 0

    def admits(self, priority: int) -> bool:
        """Whether a request of that priority is admitted; the higher the number, the sooner it is refused."""
        return self.in_flight < MAX_IN_FLIGHT * (1 - PRIORITY_STEP * min(priority, MAX_PRIORITY))

    def reserve_body(self, size: int) -> bool:
        """Count so many bytes of a body as held, if that many more may be; return whether they may."""
        if self.body_bytes_held + size > MAX_BODY_BYTES_HELD:
            return False
        self.body_bytes_held += size
        return True

"""Whether a proxy takes one more request: bounds on requests in flight and on bytes held, by priority."""

from __future__ import annotations

# Requests in flight at one proxy. Each holds a body's part and an answer's, so memory bounds them.
FLYING_MOST = 1200
# A request of priority p is taken while fewer than (1 - p x this) of the most are in flight.
PRIORITY_STEP = 0.1
# Bytes of request bodies held at once, over all requests.
BODIES_MOST = 96 << 20


class Admission:
    def __init__(self) -> None:
        self.in_flight = 0
        self.held = 0

    def takes(self, priority: int) -> bool:
        return self.in_flight < FLYING_MOST * (1 - PRIORITY_STEP * min(priority, 5))

    def holds(self, more: int) -> bool:
        """Whether so many bytes more may be held; if so, they count from now on."""
        if self.held + more > BODIES_MOST:
            return False
        self.held += more
        return True

"""Limits that maintenance keeps, and the time that a server is out by them."""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000_000
MINUTE = 60 * SECOND


class Limits(NamedTuple):
    """Limits of maintenance, the same on every member.

    Attributes:
        clock_bound_ns: How far a member's clock may be from the median of all.
        drain_ns: How long a server should take to drain.
        warmup_ns: How long a server is cold after a start.
        report_timeout_ns: A member that hasn't reported for so long no longer steers proxies: others have
            taken them over. If it is cut off and still steers, its proxies see the server stop as if it had
            failed.
        retry_delay_ns: How long after an aborted drain the server is tried again; after the second it is
            twice that, and so on.
        return_timeout_ns: The permit of a server that isn't back so long after it should be warm is closed:
            the server is ill, and counts as such.
        planning_horizon_ns: How far ahead a time is looked for.
    """

    clock_bound_ns: int = SECOND
    drain_ns: int = 2 * MINUTE
    warmup_ns: int = 17 * SECOND
    report_timeout_ns: int = 30 * SECOND
    retry_delay_ns: int = 30 * MINUTE
    return_timeout_ns: int = 10 * MINUTE
    planning_horizon_ns: int = 120 * 24 * 60 * MINUTE

    def let_in_by_all(self, ends: int) -> int:
        """Return when no member keeps the server out any longer, by any clock within the bound."""
        return ends + 2 * self.clock_bound_ns

    def total_time(self, work_duration: int) -> int:
        """Return the time from the grant until the server is back and warm."""
        return self.let_in_by_all(self.drain_ns + work_duration) + self.warmup_ns

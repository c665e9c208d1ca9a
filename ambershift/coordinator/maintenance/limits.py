"""Limits that maintenance keeps, and what each costs in time."""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000_000
MINUTE = 60 * SECOND


class Limits(NamedTuple):
    """`clock_bound`: how far a member's clock may be from the middle of all. `drain` is how long a server may
    take to drain, `warm` how long it is cold after a start.
    """

    clock_bound_ns: int = SECOND
    drain_ns: int = 2 * MINUTE
    warmup_ns: int = 17 * SECOND
    # A member that says nothing for so long steers no more: others have taken its proxies over. One that is
    # cut off and still steers sees the server stop as if it had failed.
    report_timeout_ns: int = 30 * SECOND
    # A server that broke off is tried again after so long, twice that after the second time, and so on.
    retry_delay_ns: int = 30 * MINUTE
    # One that is not back so long after it should be warm is closed: it is ill, and counts as such.
    return_timeout_ns: int = 10 * MINUTE
    # How far ahead a time is looked for.
    planning_horizon_ns: int = 120 * 24 * 60 * MINUTE

    def let_in_by_all(self, ends: int) -> int:
        """From when on, by the clock of any member that is not apart, no member holds it out any longer."""
        return ends + 2 * self.clock_bound_ns

    def total_time(self, takes: int) -> int:
        """From the grant until it is back and warm."""
        return self.let_in_by_all(self.drain_ns + takes) + self.warmup_ns

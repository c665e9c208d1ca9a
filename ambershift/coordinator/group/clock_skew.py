"""Clock skew: how far this member's wall clock is from the median of the members' clocks. No I/O."""

from __future__ import annotations

from ambershift.coordinator.maintenance.permits import is_clock_skewed

SAMPLE_LIFETIME_NS = 10_000_000_000
MAX_EARLIER_SAMPLES = 32  # Kept of each member beside the newest one.


class ClockSkew:
    """Estimates the offsets of the other members' wall clocks from the times they sent. Times are in ns.

    Of several samples of a member the largest offset counts: time on the way makes a clock look behind.
    """

    def __init__(self, bound: int) -> None:
        """Start without samples; `bound` is how far a clock may be from the median."""
        self._bound = bound
        self._samples = dict[str, list[tuple[int, int]]]()  # By member, the time of arrival and the offset.

    def add_sample(self, now: int, local_wall: int, member: str, wall: int, age: int) -> None:
        """Take the wall clock of another member.

        Args:
            now: The monotonic clock.
            local_wall: This member's wall clock at the same moment.
            member: The other member.
            wall: Its wall clock.
            age: How long ago it showed that.
        """
        recent = [sample for sample in self._samples.get(member, []) if now - sample[0] < SAMPLE_LIFETIME_NS]
        self._samples[member] = [*recent[-MAX_EARLIER_SAMPLES:], (now, wall + age - local_wall)]

    def offset(self, now: int, member: str) -> int:
        """Return how far that member's clock is ahead of this one's; 0 without a recent sample."""
        return max(
            (offset for at, offset in self._samples.get(member, ()) if now - at < SAMPLE_LIFETIME_NS),
            default=0,
        )

    def exceeds_bound(self, now: int) -> bool:
        """Return whether this clock is further from the median of all, its own included, than the bound."""
        recent = [
            member
            for member, samples in self._samples.items()
            if any(now - at < SAMPLE_LIFETIME_NS for at, _ in samples)
        ]
        return is_clock_skewed([0, *(self.offset(now, member) for member in recent)], self._bound)

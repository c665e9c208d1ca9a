"""The contact lease: up to which moment this copy provably has all that was acknowledged. No I/O.

What is acknowledged is stored by a majority of the voters. So a copy that equalled those of a majority, each
at some moment after T, has all that was acknowledged before T. Two things prove that: heartbeats of complete
voters with a checksum equal to this copy's on their arrival, and a quorum read that was begun at T. A
heartbeat counts from its arrival: how long it was in transit isn't known, and whoever relies on the lease
includes that in its bounds.
"""

from __future__ import annotations

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.voters import VotingState
from ambershift.system.state_machine import NS_PER_MS

# At this age a quorum read renews the lease: heartbeats, 300 ms apart, have not done so.
RENEWAL_AGE_NS = 450 * NS_PER_MS
LEARNER_RENEWAL_AGE_NS = 700 * NS_PER_MS  # Voters send learners half as many heartbeats.
PAUSE_THRESHOLD_NS = 800 * NS_PER_MS  # A longer time between two events (ticks are 50 ms apart) is a pause.
# By then all heartbeats have been read that arrived during a pause of this process.
STALE_HEARTBEAT_PERIOD_NS = 1000 * NS_PER_MS
NO_CONTACT_AGE_MS = 1 << 30  # The age of a lease that there never was.


class ContactLease:
    """Derives from heartbeats and quorum reads how old this copy may be."""

    def __init__(self, effects: EffectBuffer, voters: VotingState) -> None:
        """Start without any proof."""
        self._effects = effects
        self._voters = voters
        self._matched_at: dict[str, int] = {}  # When each voter last had the same items as this copy.
        self._heartbeats_count_from = 0  # Earlier heartbeats may have waited for this process.
        self._proven_until: int | None = None  # Only rises: what was proven of a moment stays true.

    def record_matching_heartbeat(self, voter: str) -> None:
        """Note a heartbeat of a complete voter of this epoch with this copy's own checksum."""
        if self._effects.now >= self._heartbeats_count_from:
            self._matched_at[voter] = self._effects.now

    def record_elapsed(self, elapsed_ns: int) -> None:
        """Note how long ago the event before was.

        After a pause of this process, heartbeats that waited for it are old and prove nothing of now.
        """
        if elapsed_ns > PAUSE_THRESHOLD_NS:
            self._heartbeats_count_from = self._effects.now + STALE_HEARTBEAT_PERIOD_NS

    def record_quorum_read(self, started_at: int) -> None:
        """Note that all that a majority stored at that moment (steady ns) is merged here."""
        self._extend(started_at)

    def handle_configuration_change(self) -> None:
        """Forget heartbeats of the voters before: they say nothing of what the new ones acknowledge."""
        self._matched_at.clear()

    def proven_until(self) -> int | None:
        """Return the moment (steady ns) before which nothing was acknowledged that isn't stored here.

        Returns:
            The moment; None as long as nothing is proven.
        """
        quorum_size = self._voters.quorum_size
        local_ip = self._voters.local_node.ip
        matched_at = [self._matched_at.get(ip, 0) for ip in self._voters.ips if ip != local_ip]
        if self._voters.can_vote:
            matched_at.append(self._effects.now)
        if self._voters.configuration is not None and len(matched_at) >= quorum_size:
            moment = sorted(matched_at, reverse=True)[quorum_size - 1]
            if moment:
                self._extend(moment)
        return self._proven_until

    def age_ns(self) -> int | None:
        """Return how long ago that moment was; None as long as nothing is proven."""
        proven_until = self.proven_until()
        return None if proven_until is None else self._effects.now - proven_until

    def age_ms(self) -> int:
        """Return the age in whole ms, `NO_CONTACT_AGE_MS` at the most and as long as nothing is proven."""
        age_ns = self.age_ns()
        return NO_CONTACT_AGE_MS if age_ns is None else min(age_ns // NS_PER_MS, NO_CONTACT_AGE_MS)

    def needs_quorum_read(self) -> bool:
        """Return whether heartbeats have failed to renew the lease in time."""
        age_ns = self.age_ns()
        return age_ns is None or age_ns > (
            RENEWAL_AGE_NS if self._voters.is_voter else LEARNER_RENEWAL_AGE_NS
        )

    def _extend(self, moment: int) -> None:
        self._proven_until = moment if self._proven_until is None else max(self._proven_until, moment)

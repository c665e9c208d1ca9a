"""Up to when this copy surely has all that was acknowledged: the proof of contact with a majority. No I/O.

What is acknowledged is stored by a majority of the voters. So a copy that equalled those of a majority, each
at some moment after T, has all that was acknowledged before T. Two things prove that: beats of complete
voters with a checksum equal to this copy's when they come, and a reading of a majority's stores begun at T.
A beat counts from its arrival: how long it was on its way is not known, and belongs to the bounds of those
who rely on this.
"""

from __future__ import annotations

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.voters import VotingState
from ambershift.system.state_machine import NS_PER_MS

RENEWAL_AGE_NS = (
    450 * NS_PER_MS
)  # A proof of this age is renewed by a reading: beats, 300 ms apart, have not done so.
LEARNER_RENEWAL_AGE_NS = 700 * NS_PER_MS  # Voters beat to those that don't vote half as often.
PAUSE_THRESHOLD_NS = 800 * NS_PER_MS  # Ticks come each 50 ms.
STALE_HEARTBEAT_PERIOD_NS = (
    1000 * NS_PER_MS
)  # By then all beats are read that came while this process stood still.
NO_CONTACT_AGE_MS = 1 << 30  # The age, in ms, of a proof that there never was.


class ContactLease:
    def __init__(self, out: EffectBuffer, voters: VotingState) -> None:
        self._out, self._voters = out, voters
        self._matched_at: dict[str, int] = {}  # When each voter was last known to hold the same as this copy.
        self._heartbeats_count_from = 0  # Beats before then may have waited for this process.
        self._proven_until: int | None = None  # Only rises: what was proved once stays true of that moment.

    def record_matching_heartbeat(self, voter: str) -> None:
        """A beat of a complete voter of this epoch told this copy's own checksum."""
        if self._out.now >= self._heartbeats_count_from:
            self._matched_at[voter] = self._out.now

    def record_elapsed(self, since: int) -> None:
        """That long (ns) nothing happened in this process: where it stood still, beats that waited for it
        are old, and prove nothing of now."""
        if since > PAUSE_THRESHOLD_NS:
            self._heartbeats_count_from = self._out.now + STALE_HEARTBEAT_PERIOD_NS

    def record_quorum_read(self, begun: int) -> None:
        """All that a majority of the voters held after `begun` (ns) is merged here."""
        self._extend(begun)

    def handle_configuration_change(self) -> None:
        """Beats of the voters before say nothing of what those of now acknowledge."""
        self._matched_at.clear()

    def proven_until(self) -> int | None:
        """The moment (ns) before which nothing was acknowledged that isn't held here; None: not known yet."""
        enough = self._voters.quorum_size
        times = [self._matched_at.get(ip, 0) for ip in self._voters.ips if ip != self._voters.local_node.ip]
        if self._voters.can_vote:
            times.append(self._out.now)
        if self._voters.configuration is not None and len(times) >= enough:
            latest = sorted(times, reverse=True)[enough - 1]
            if latest:
                self._extend(latest)
        return self._proven_until

    def age_ns(self) -> int | None:
        """How long ago (ns) that was."""
        proved = self.proven_until()
        return None if proved is None else self._out.now - proved

    def age_ms(self) -> int:
        age = self.age_ns()
        return NO_CONTACT_AGE_MS if age is None else min(age // NS_PER_MS, NO_CONTACT_AGE_MS)

    def needs_quorum_read(self) -> bool:
        age = self.age_ns()
        return age is None or age > (RENEWAL_AGE_NS if self._voters.is_voter else LEARNER_RENEWAL_AGE_NS)

    def _extend(self, moment: int) -> None:
        self._proven_until = moment if self._proven_until is None else max(self._proven_until, moment)

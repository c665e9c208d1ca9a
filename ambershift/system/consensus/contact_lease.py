"""Up to when this copy surely has all that was acknowledged: the proof of contact with a majority. No I/O.

What is acknowledged is stored by a majority of the voters. So a copy that equalled those of a majority, each
at some moment after T, has all that was acknowledged before T. Two things prove that: beats of complete
voters with a checksum equal to this copy's when they come, and a reading of a majority's stores begun at T.
A beat counts from its arrival: how long it was on its way is not known, and belongs to the bounds of those
who rely on this.
"""

from __future__ import annotations

from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.voters import Voters
from ambershift.system.state_machine import NS_PER_MS

READ_AFTER = (
    450 * NS_PER_MS
)  # A proof of this age is renewed by a reading: beats, 300 ms apart, have not done so.
READ_AFTER_AS_LEARNER = 700 * NS_PER_MS  # Voters beat to those that don't vote half as often.
STOOD_STILL = 800 * NS_PER_MS  # Ticks come each 50 ms.
CATCH_UP = 1000 * NS_PER_MS  # By then all beats are read that came while this process stood still.
NEVER_MS = 1 << 30  # The age, in ms, of a proof that there never was.


class Contact:
    def __init__(self, out: Outbox, voters: Voters) -> None:
        self._out, self._voters = out, voters
        self._equal: dict[str, int] = {}  # When each voter was last known to hold the same as this copy.
        self._beats_from = 0  # Beats before then may have waited for this process.
        self._proved: int | None = None  # Only rises: what was proved once stays true of that moment.

    def equal(self, voter: str) -> None:
        """A beat of a complete voter of this epoch told this copy's own checksum."""
        if self._out.now >= self._beats_from:
            self._equal[voter] = self._out.now

    def passed(self, since: int) -> None:
        """That long (ns) nothing happened in this process: where it stood still, beats that waited for it
        are old, and prove nothing of now."""
        if since > STOOD_STILL:
            self._beats_from = self._out.now + CATCH_UP

    def read(self, begun: int) -> None:
        """All that a majority of the voters held after `begun` (ns) is merged here."""
        self._prove(begun)

    def voters_changed(self) -> None:
        """Beats of the voters before say nothing of what those of now acknowledge."""
        self._equal.clear()

    def proved(self) -> int | None:
        """The moment (ns) before which nothing was acknowledged that isn't held here; None: not known yet."""
        enough = self._voters.enough
        times = [self._equal.get(ip, 0) for ip in self._voters.ips if ip != self._voters.me.ip]
        if self._voters.voting:
            times.append(self._out.now)
        if self._voters.decision is not None and len(times) >= enough:
            latest = sorted(times, reverse=True)[enough - 1]
            if latest:
                self._prove(latest)
        return self._proved

    def age(self) -> int | None:
        """How long ago (ns) that was."""
        proved = self.proved()
        return None if proved is None else self._out.now - proved

    def age_ms(self) -> int:
        age = self.age()
        return NEVER_MS if age is None else min(age // NS_PER_MS, NEVER_MS)

    def wants_reading(self) -> bool:
        age = self.age()
        return age is None or age > (READ_AFTER if self._voters.member else READ_AFTER_AS_LEARNER)

    def _prove(self, moment: int) -> None:
        self._proved = moment if self._proved is None else max(self._proved, moment)

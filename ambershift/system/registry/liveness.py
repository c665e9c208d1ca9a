"""What this control node hears itself: lives by their beats, and which of them have fallen silent."""

from __future__ import annotations

from collections.abc import Container

from ambershift.system.registry.heartbeats import Beat
from ambershift.system.registry.records import Life
from ambershift.system.state_machine import NS_PER_MS

MISSED, WARY_MISSED, SUSPECT = 3.5, 5.5, 2.3  # Heartbeats without a word.
MASS_LEAST = 3  # Fewer than these that fall silent together may well be their own fault.


class Keeping:
    def __init__(self, heartbeat: int) -> None:
        self.heartbeat = heartbeat
        self.lives: dict[str, Life] = {}
        self.heard: dict[str, int] = {}
        self.mass = False  # Whether most have fallen silent together.

    def beat(self, now: int, beat: Beat, born: int) -> bool:
        """Take a beat in; whether others must be told. An older beat changes nothing, but draining sticks."""
        known = self.lives.get(beat.id)
        if known and beat.sequence <= known.sequence and not (beat.draining and not known.draining):
            return False
        sequence = max(beat.sequence, known.sequence) if known else beat.sequence
        life = Life(
            beat.id,
            beat.service,
            beat.address,
            beat.zone,
            beat.slots,
            sequence,
            beat.draining or known is not None and known.draining,
            now + beat.cold * NS_PER_MS if beat.cold else 0,
            born,
        )
        self.lives[beat.id], self.heard[beat.id] = life, now
        return known is None or not life.alike(known, now)

    def drop(self, id: str) -> None:
        self.lives.pop(id, None)
        self.heard.pop(id, None)

    def silent(self, now: int, well_since: int, elsewhere: Container[str]) -> list[str]:
        """Lives that have missed their beats. `well_since`: since when this control node itself is well.

        Where most fall silent at once, it is the link or this machine: others get time to hear them first.
        """
        # After a trouble of our own one heartbeat more than a full round has to pass before silence tells.
        floor = well_since - int((MISSED - 2) * self.heartbeat)
        quiet = {id: now - max(at, floor) for id, at in self.heard.items()}
        here = [span for id, span in quiet.items() if id not in elsewhere]
        suspects = sum(span > SUSPECT * self.heartbeat for span in here)
        self.mass = suspects >= MASS_LEAST and 2 * suspects > len(here)
        limit = int((WARY_MISSED if self.mass else MISSED) * self.heartbeat)
        return [
            id
            for id, span in quiet.items()
            if span > (int(MISSED * self.heartbeat) if id in elsewhere else limit)
        ]

"""What a proxy knows of each incarnation of a backend: whether it may be used, its load, its failures."""

from __future__ import annotations

from dataclasses import dataclass, field

from ambershift.system.messages.proxy_link import Backend
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# A reported load counts for so long, ns.
LOAD_FOR = NS_PER_SECOND
# Pauses after failures grow from the first to the most, ns.
PAUSE_FIRST, PAUSE_MOST = NS_PER_SECOND // 2, 5 * NS_PER_SECOND
# One that turns a request away has at least so many waiting for each slot, we assume.
QUEUED = 2
# A backend that answers none of our requests for so long, and twice its mean time, is passed over, ns.
QUIET = 150 * NS_PER_MS
# A share of broken answers above this, over enough tries, counts as a failing backend.
BAD_SHARE, BAD_TRIES = 0.5, 12


@dataclass(slots=True, eq=False)
class Life:
    """One incarnation of a backend (`InstanceId`). Times are ns on the steady clock."""

    id: str
    service: str
    address: str
    zone: str
    region: str
    slots: int
    draining: bool = False
    ended: bool = False
    withdrawn: bool = False
    evacuated: bool = False
    named: bool = True  # By the list of the link in use.
    doubt_until: int = 0  # While not named: how long it may still be used.
    cold_until: int = 0
    mark: bytes = b""  # Its id as a header's value.

    flying: int = 0  # Our own requests there.
    heard: int = 0  # When it last answered.
    since: int = 0  # Since when requests there wait without it answering any.
    room: int = 1 << 30  # As many as this proxy may have there at once.
    waiting: int = 0
    told_at: int = -LOAD_FOR
    sent: int = 0  # By us, since the load was told.
    work: int = 0  # The mean of its answers' times while nobody waited there, ns, fading.
    paused_until: int = 0
    pause: int = 0
    recent: list[int] = field(default_factory=lambda: [0, 0])  # Answers and broken ones, fading.

    attempts: int = 0
    bad: int = 0
    spent: int = 0
    came: int = 0  # Answers that the mean stands for.
    mean: int = 0  # Of the answers' times, ns, fading.

    def open(self, now: int) -> bool:
        """Whether anything may be sent there, coldness and failures apart."""
        return not (self.draining or self.ended or self.withdrawn or self.evacuated) and (
            self.named or now < self.doubt_until
        )

    def full(self, now: int) -> bool:
        """Whether others should be preferred: our own requests fill it, or it has just reported a queue."""
        return (
            self.flying >= self.slots
            or self.flying >= self.room
            or (self.waiting > 0 and now - self.told_at < LOAD_FOR)
        )

    def choked(self) -> bool:
        """Whether one more of ours is too much whatever else there is."""
        return self.flying >= 2 * self.slots or self.flying >= self.room

    def resting(self, now: int) -> bool:
        """Passed over: after failures (after the pause it is tried by one request at a time), or while it
        keeps all that was sent to it waiting for unusually long.
        """
        if self.pause > 0 and (now < self.paused_until or self.flying > 0):
            return True
        return self.flying > 0 and now - self.since > self.patience()

    def patience(self) -> int:
        """How long it may stay silent to everybody before others are preferred, ns."""
        return QUIET + 2 * self.mean

    def quiet(self, since: int) -> bool:
        """Whether it has answered nobody since then."""
        return self.heard < since

    def wait(self, now: int) -> int:
        """How long one more request would wait there for a slot, as far as can be told, ns."""
        told = now - self.told_at < LOAD_FOR
        before = self.waiting + self.sent if told else self.flying + 1 - self.slots
        return max(0, before) * self.work // self.slots

    def load_told(self, now: int, waiting: int) -> None:
        self.waiting, self.told_at, self.sent = waiting, now, 0

    def started(self, now: int) -> None:
        if not self.flying:
            self.since = now
        self.flying += 1
        self.sent += 1
        self.attempts += 1

    def ended_well(self, now: int, took: int) -> None:
        """It has answered; what the answer was is another matter."""
        self._over(took)
        self.heard = self.since = now
        self.pause = 0
        if not self.waiting or now - self.told_at >= LOAD_FOR:
            self.work += (took - self.work) // 8 if self.work else took
        self.recent[0] += 1
        self._fade()

    def turned_away(self, now: int, gone: bool) -> None:
        """It has not run our request: it is full, or (`gone`) another life has its address."""
        self.flying -= 1
        self.heard = self.since = now
        self.ended = self.ended or gone
        if not gone:
            self.load_told(now, max(QUEUED * self.slots, self.waiting))

    def ended_badly(self, now: int, took: int, proof: bool) -> None:
        """`proof` where one such end is enough to pass it over: no connection, a reset or silence while it
        answered nobody. Other broken answers count only once they are many.
        """
        self._over(took)
        self.bad += 1
        self.recent[0] += 1
        self.recent[1] += 1
        many = self.recent[0] >= BAD_TRIES and self.recent[1] > BAD_SHARE * self.recent[0]
        if (proof or many) and now >= self.paused_until:
            self.pause = min(PAUSE_MOST, 2 * self.pause) or PAUSE_FIRST
            self.paused_until = now + self.pause
        self._fade()

    def given_up(self) -> None:
        """The try ended for a reason that says nothing of the backend."""
        self.flying -= 1

    def _over(self, took: int) -> None:
        self.flying -= 1
        self.spent += took
        self.came += 1
        self.mean += (took - self.mean) // 8 if self.mean else took

    def _fade(self) -> None:
        if self.recent[0] > 4 * BAD_TRIES:
            self.recent = [one // 2 for one in self.recent]


def life_of(backend: Backend, region: str) -> Life:
    return Life(
        backend.id,
        backend.service,
        backend.address,
        backend.zone,
        region,
        max(1, backend.slots),
        backend.draining,
        mark=backend.id.encode("latin-1", "replace"),
    )


# A list from a control node that has just started may lack those whose next beat is still to come.
DOUBT = 3 * NS_PER_SECOND
# Told coldness is a little old when it arrives.
COLD_MORE = 300 * NS_PER_MS

"""One request's attempts at backends: the outcome of each, whether another may follow, and our own status.

No input or output. Widens the idea of `ambershift.attempt` (what a failed try proves) to what a proxy sees.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from ambershift.attempt.machine import Evidence
from ambershift.system.state_machine import NS_PER_MS


class Stage(IntEnum):
    """How far an attempt got. From `SENDING` on, bytes of the request may have reached the backend."""

    NOT_CONNECTED = 0
    CONNECTED = 1
    SENDING = 2
    SENT = 3
    BEGUN = 4
    WHOLE = 5


class Ending(Enum):
    """What ended it: the connection was refused, reset or closed; nothing came in time; bytes came that are
    no answer to this request; the client has left; or the answer was whole.
    """

    LOST = "lost"
    SILENT = "silent"
    GARBLED = "garbled"
    LEFT = "left"
    ANSWERED = "answered"


class Outcome(Enum):
    """`NOT_RUN` and `MAY_HAVE_RUN` are evidence; `FAILED` is the backend's own failure answer, which is
    passed on unless a repeat is worth it; `GOOD` is passed on.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    FAILED = "failed"
    GOOD = "good"


EVIDENCE = {
    Outcome.NOT_RUN: Evidence.NOT_RUN,
    Outcome.MAY_HAVE_RUN: Evidence.MAY_HAVE_RUN,
    Outcome.FAILED: Evidence.MAY_HAVE_RUN,
    Outcome.GOOD: Evidence.MAY_HAVE_RUN,
}


@dataclass(frozen=True, slots=True)
class Told:
    """What counts of an answer's head: whether it echoes this try's id, bears the server's seal, says that
    the request was not executed, is encoded although nobody asked for it.
    """

    status: int
    ours: bool
    sealed: bool
    turned_away: bool
    encoded: bool = False


# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


def outcome(stage: Stage, ending: Ending, told: Told | None = None) -> Outcome:
    """The one outcome of an attempt that ended so at this stage. Total: every pair has one."""
    if stage <= Stage.CONNECTED:
        return Outcome.NOT_RUN
    if ending is not Ending.ANSWERED or told is None or not told.ours:
        return Outcome.MAY_HAVE_RUN
    if told.turned_away or told.status == 421:
        return Outcome.NOT_RUN
    if told.status < 300:
        return Outcome.GOOD if told.sealed and not told.encoded else Outcome.MAY_HAVE_RUN
    if told.status in PROMISES or told.status >= 600:
        return Outcome.MAY_HAVE_RUN  # A promise the backend has not made in full may not be passed on.
    return Outcome.FAILED if told.status >= 500 else Outcome.GOOD


# The event loop counts in ms: a timer of the deadline may fire so much before it, ns.
TIMER_EARLY = 2 * NS_PER_MS
# With less left a further try can't bring an answer in time, ns.
LEAST_LEFT = 20 * NS_PER_MS
# Connections that may fail in one request: they prove that nothing ran, but they take time.
CONNECTS_MOST = 6


@dataclass(slots=True)
class Tries:
    """The attempts of one request so far. `deadline` is ns on the steady clock."""

    repeatable: bool
    most: int
    deadline: int
    under_way: int = 0
    arrivals: int = 0
    connects: int = 0
    evidence: Evidence = Evidence.NOT_RUN
    failure: bool = False

    def begun(self) -> None:
        self.under_way += 1

    def ended(self, stage: Stage, came_to: Outcome) -> None:
        """An attempt has ended. Count it as an arrival if the request may have reached the backend."""
        self.under_way -= 1
        if stage <= Stage.CONNECTED:
            self.connects += 1
        else:
            self.arrivals += 1
        self.failure = came_to is Outcome.FAILED
        self.evidence = max(self.evidence, EVIDENCE[came_to])

    @property
    def costs(self) -> bool:
        """Whether the next attempt is paid from the service's retry budget."""
        return self.arrivals + self.under_way > 0

    def may(self, now: int) -> bool:
        """Whether another backend may be tried, the budget apart."""
        if now + LEAST_LEFT >= self.deadline or self.connects >= CONNECTS_MOST:
            return False
        if self.arrivals + self.under_way >= self.most:
            return False
        return self.repeatable or self.evidence is Evidence.NOT_RUN

    def last_word(self, now: int) -> int:
        """The status of our own answer when no backend's is passed on."""
        if self.evidence is Evidence.NOT_RUN:
            return 503
        return 504 if now + TIMER_EARLY >= self.deadline else 502

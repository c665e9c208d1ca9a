"""Retry decisions for one request: what each attempt proves, whether another may follow, the final status.

No input or output. Extends `ambershift.attempt` (what a failed attempt proves) to what a proxy observes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from ambershift.attempt.machine import Evidence
from ambershift.system.state_machine import NS_PER_MS

# Timers of the event loop may fire this much before the deadline, since it counts in ms.
TIMER_TOLERANCE_NS = 2 * NS_PER_MS
# With less time left, a further attempt can't bring a response before the deadline.
MIN_TIME_LEFT_NS = 20 * NS_PER_MS
# Connections that may fail in one request: they prove that nothing was executed, but they take time.
MAX_CONNECT_FAILURES = 6
# Statuses by which a server says that it has not executed the request and never will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
MISDIRECTED_REQUEST = 421
REDIRECTION_MIN = 300
SERVER_ERROR_MIN = 500
STATUS_LIMIT = 600


class Stage(IntEnum):
    """How far an attempt got. From `SENDING` on, bytes of the request may have reached the backend."""

    NOT_CONNECTED = 0
    CONNECTED = 1
    SENDING = 2
    SENT = 3
    RESPONSE_STARTED = 4
    RESPONSE_COMPLETE = 5


class Ending(Enum):
    """What ended an attempt."""

    CONNECTION_LOST = "lost"  # Refused, reset or closed.
    TIMED_OUT = "silent"
    MALFORMED = "garbled"  # Bytes came that are no response to this request.
    ABANDONED = "left"  # The client has disconnected, or the proxy could not make the attempt.
    RESPONDED = "answered"  # The response is complete.


class Outcome(Enum):
    """What an attempt came to.

    `NOT_RUN` and `MAY_HAVE_RUN` are evidence only. `ERROR_RESPONSE` is the backend's own error, which is
    passed on unless a retry is worth it. `SUCCESS` is any other response to this request; it is passed on.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    ERROR_RESPONSE = "failed"
    SUCCESS = "good"


EVIDENCE_BY_OUTCOME = {
    Outcome.NOT_RUN: Evidence.NOT_RUN,
    Outcome.MAY_HAVE_RUN: Evidence.MAY_HAVE_RUN,
    Outcome.ERROR_RESPONSE: Evidence.MAY_HAVE_RUN,
    Outcome.SUCCESS: Evidence.MAY_HAVE_RUN,
}


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the head of a response says that retries depend on.

    Attributes:
        status: The HTTP status.
        matches_attempt: Whether it echoes the id of this attempt and is well-formed.
        sealed: Whether it bears the server's seal.
        not_executed: Whether it says that the request was not executed.
        encoded: Whether it has a `Content-Encoding`, which nobody asks backends for.
    """

    status: int
    matches_attempt: bool
    sealed: bool
    not_executed: bool
    encoded: bool = False


def classify_attempt(stage: Stage, ending: Ending, response: ResponseHead | None = None) -> Outcome:
    """Return the outcome of an attempt that ended so at this stage. Every combination has exactly one."""
    if stage <= Stage.CONNECTED:
        return Outcome.NOT_RUN
    if ending is not Ending.RESPONDED or response is None or not response.matches_attempt:
        return Outcome.MAY_HAVE_RUN
    if response.not_executed or response.status == MISDIRECTED_REQUEST:
        return Outcome.NOT_RUN
    if response.status < REDIRECTION_MIN:
        return Outcome.SUCCESS if response.sealed and not response.encoded else Outcome.MAY_HAVE_RUN
    if response.status in NOT_EXECUTED_STATUSES or response.status >= STATUS_LIMIT:
        # The status promises that the request never runs. Without `X-Not-Executed` it may not be passed on.
        return Outcome.MAY_HAVE_RUN
    return Outcome.ERROR_RESPONSE if response.status >= SERVER_ERROR_MIN else Outcome.SUCCESS


@dataclass(slots=True)
class RetryState:
    """The attempts of one request so far.

    Attributes:
        idempotent: Whether the request may be executed more than once.
        max_attempts: How many attempts may reach a backend.
        deadline: When the response is due, ns on the monotonic clock.
        in_progress: Attempts that have not ended.
        arrivals: Ended attempts whose request may have reached a backend.
        connect_failures: Ended attempts that sent nothing.
        evidence: Whether any attempt may have been executed.
        last_was_error: Whether the attempt that ended last brought the backend's own error.
    """

    idempotent: bool
    max_attempts: int
    deadline: int
    in_progress: int = 0
    arrivals: int = 0
    connect_failures: int = 0
    evidence: Evidence = Evidence.NOT_RUN
    last_was_error: bool = False

    def record_start(self) -> None:
        """An attempt has started."""
        self.in_progress += 1

    def record_end(self, stage: Stage, outcome: Outcome) -> None:
        """An attempt has ended; it is an arrival if the request may have reached the backend."""
        self.in_progress -= 1
        if stage <= Stage.CONNECTED:
            self.connect_failures += 1
        else:
            self.arrivals += 1
        self.last_was_error = outcome is Outcome.ERROR_RESPONSE
        self.evidence = max(self.evidence, EVIDENCE_BY_OUTCOME[outcome])

    @property
    def needs_budget(self) -> bool:
        """Whether the next attempt is charged to the service's retry budget."""
        return self.arrivals + self.in_progress > 0

    def may_attempt(self, now: int) -> bool:
        """Whether another backend may be tried, the retry budget apart."""
        if now + MIN_TIME_LEFT_NS >= self.deadline or self.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if self.arrivals + self.in_progress >= self.max_attempts:
            return False
        return self.idempotent or self.evidence is Evidence.NOT_RUN

    def final_status(self, now: int) -> int:
        """Return the status of the proxy's own response, where no backend's is passed on."""
        if self.evidence is Evidence.NOT_RUN:
            return 503
        return 504 if now + TIMER_TOLERANCE_NS >= self.deadline else 502

"""The attempts of one flow, without input or output: what a proxy that obeys tables and levels may do next.

The coordinator says by `RetryPolicy` when a proxy may try another server by itself, and the settings say by
`Idempotency` what a flow tolerates. The stricter of the two holds: a level that allows too much must not make
a flow run twice that may not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from ambershift.interface import Idempotency, RetryPolicy


class Evidence(IntEnum):
    """What a proxy knows of an attempt that brought no good answer."""

    NOT_RUN = 0  # Refused before a byte of the flow was sent, or rejected by the server itself.
    MAY_HAVE_RUN = 1  # Timed out, or reset with bytes sent.


MAX_RETRIES = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.IF_NOT_RUN: 1,
    RetryPolicy.ONCE: 1,
    RetryPolicy.TWICE: 2,
}
# Whether a retry may follow an attempt that may have run.
RETRIES_AFTER_POSSIBLE_RUN = {
    RetryPolicy.NEVER: False,
    RetryPolicy.IF_NOT_RUN: False,
    RetryPolicy.ONCE: True,
    RetryPolicy.TWICE: True,
}


class RetryConstraints(NamedTuple):
    """What repeated execution a traffic group tolerates.

    Attributes:
        idempotency: Whether a flow may run twice, or is deduplicated by its key.
        dedup_everywhere: Whether all servers know each other's keys.
        dedup_window: For how long keys are known, ns from the sending of the first attempt that may have run.
        travel_time: How long an attempt may travel before it runs, ns.
    """

    idempotency: Idempotency
    dedup_everywhere: bool
    dedup_window: int
    travel_time: int


class AttemptHistory(NamedTuple):
    """The attempts of one flow so far.

    Attributes:
        attempts: How many were sent.
        first_server: The server of the first attempt that may have run; -1 if none may have.
        first_sent_at: When that one was sent, ns; -1 if none may have run.
    """

    attempts: int = 0
    first_server: int = -1
    first_sent_at: int = -1

    def record_attempt(self) -> AttemptHistory:
        """Return the history with one more attempt."""
        return self._replace(attempts=self.attempts + 1)

    def record_failure(self, evidence: Evidence, server: int, sent_at: int) -> AttemptHistory:
        """Return the history after the last attempt failed; a flow that may have run once may have for good.

        Args:
            evidence: What is known of the attempt.
            server: The server that it was sent to.
            sent_at: When it was sent, ns.
        """
        if evidence is Evidence.MAY_HAVE_RUN and self.first_server < 0:
            return self._replace(first_server=server, first_sent_at=sent_at)
        return self

    def may_send(self, policy: RetryPolicy, constraints: RetryConstraints, server: int, now: int) -> bool:
        """Return whether one more attempt at this server is allowed, as table and level are now.

        They may have changed since the last attempt: what counts is the whole flow, not its first table.
        """
        if self.attempts > MAX_RETRIES[policy]:
            return False
        if self.first_server < 0:
            return True
        if not RETRIES_AFTER_POSSIBLE_RUN[policy] or constraints.idempotency is Idempotency.NON_RETRIABLE:
            return False
        if constraints.idempotency is Idempotency.DEDUPED:
            key_is_known = constraints.dedup_everywhere or server == self.first_server
            # It must still be known when the attempt gets there, not only when it is sent.
            arrives_at = now + constraints.travel_time
            return key_is_known and arrives_at < self.first_sent_at + constraints.dedup_window
        return True

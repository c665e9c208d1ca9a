"""One flow's attempts, without input or output: what a proxy that obeys tables and levels does next.

The coordinator says by `Again` when a proxy may try another server by itself, and the settings say by
`Repeat` what a flow bears. The stricter of the two holds: a level that is too free must not make a flow
that may not run twice do so.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from ambershift.interface import Idempotency, RetryPolicy


class Evidence(IntEnum):
    """What a proxy knows of a try that brought no good answer."""

    NOT_RUN = 0  # Refused before a byte of the flow was sent, or turned away by the server itself.
    MAY_HAVE_RUN = 1  # Timed out, or reset with bytes sent.


# Further tries that each way allows, and whether one may follow a try that may have run.
FURTHER = {RetryPolicy.NEVER: 0, RetryPolicy.IF_NOT_RUN: 1, RetryPolicy.ONCE: 1, RetryPolicy.TWICE: 2}
AFTER_RUN = {
    RetryPolicy.NEVER: False,
    RetryPolicy.IF_NOT_RUN: False,
    RetryPolicy.ONCE: True,
    RetryPolicy.TWICE: True,
}


class Bearing(NamedTuple):
    """What repeats a traffic group tolerates.

    Attributes:
        repeat: Whether a flow may run twice, or is deduplicated by its key.
        everywhere: Whether all servers know each other's keys.
        window: For how long keys are known, ns from the sending of the first attempt that may have run.
        way: How long an attempt may travel before it runs, ns.
    """

    repeat: Idempotency
    everywhere: bool
    window: int
    way: int


class Attempt(NamedTuple):
    """The attempts of one flow so far.

    Attributes:
        tries: How many were sent.
        first: The server of the first attempt that may have run; -1 if none may have.
        since: When that one was sent, ns; -1 if none may have run.
    """

    tries: int = 0
    first: int = -1
    since: int = -1

    def sent(self) -> Attempt:
        """One more attempt was sent."""
        return self._replace(tries=self.tries + 1)

    def failed(self, evidence: Evidence, server: int, sent_at: int) -> Attempt:
        """The last try, at this server, brought nothing. What may have run once may have for good."""
        if evidence is Evidence.MAY_HAVE_RUN and self.first < 0:
            return self._replace(first=server, since=sent_at)
        return self

    def may(self, again: RetryPolicy, bearing: Bearing, server: int, now: int) -> bool:
        """Whether one more try at this server is allowed, as table and level stand now.

        They may have changed since the try before: what counts is the whole flow, not the table it met first.
        """
        if self.tries > FURTHER[again]:
            return False
        if self.first < 0:
            return True
        if not AFTER_RUN[again] or bearing.repeat is Idempotency.NON_RETRIABLE:
            return False
        if bearing.repeat is Idempotency.DEDUPED:
            known = bearing.everywhere or server == self.first
            # It must still be known when it gets there, not only when it is sent.
            return known and now + bearing.way < self.since + bearing.window
        return True

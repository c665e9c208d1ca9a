"""Locks: who holds one, under which fence, and how long others have to wait.

A value tells how long it holds and not until when, as steady clocks are a machine's own. Each value is unlike
all before it (`turn` rises), so a machine knows since when it has known exactly this one, and counts from
there. A holder counts from when it sent its call, which was before any machine knew the value: whenever a
machine finds a hold to be over, its holder has found so already.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome
from ambershift.system.state_machine import NS_PER_MS

CLOCK_DRIFT_MARGIN_NS = 50 * NS_PER_MS  # Against steady clocks that don't run quite alike.
MAX_LEASE_MS = 86_400_000


class Lease(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """`holder` is empty while it is free; `hold` in ms; `call` is the `initiate` that took or kept it last.

    `kept` after a holder asked for what it had: see `terminate`.
    """

    holder: str
    fencing_token: int
    duration_ms: int
    sequence: int
    call_id: str
    reacquired: bool

    def is_expired(self, known_since: int, now: int) -> bool:
        return now - known_since >= self.duration_ms * NS_PER_MS + CLOCK_DRIFT_MARGIN_NS

    def remaining_ms(self, known_since: int, now: int) -> int:
        """At least what is left of the hold, in ms: a shorter one must not cut short what was promised."""
        return self.duration_ms - (now - known_since) // NS_PER_MS


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Lease).decode
NEVER_LEASED = Lease("", 0, 0, 0, "", False)

Transition = Callable[[Lease, int, int], tuple[Lease | None, Reply]]


def _change(judge: Transition) -> ChangeFunction:
    def change(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        lock, answer = judge(NEVER_LEASED if value is None else _decode(value), known_since, now)
        return ChangeOutcome(None if lock is None else _encode(lock), answer)

    return change


def acquire(holder: str, hold: int, call: str) -> ChangeFunction:
    """Take the lock, or keep it. `call` is this call's own, the same in each of its runs."""

    def judge(lock: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        held = bool(lock.holder) and not lock.is_expired(known_since, now)
        if lock.call_id == call:
            # An earlier run of this call took it; if it has gone since, a late run must not take it again.
            return None, json_reply(
                200, fence=lock.fencing_token
            ) if held and lock.holder == holder else json_reply(409)
        if held and lock.holder != holder:
            return None, json_reply(409)
        if held:
            hold_on = max(hold, lock.remaining_ms(known_since, now))
            return Lease(holder, lock.fencing_token, hold_on, lock.sequence + 1, call, True), json_reply(
                200, fence=lock.fencing_token
            )
        fence = lock.fencing_token + 1
        return Lease(holder, fence, hold, lock.sequence + 1, call, False), json_reply(200, fence=fence)

    return _change(judge)


def renew(holder: str, fence: int, hold: int) -> ChangeFunction:
    """More time for the holder. Once its time is over it is refused, even if nobody has taken the lock: its
    own clock has ended the hold before ours."""

    def judge(lock: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        if (lock.holder, lock.fencing_token) != (holder, fence) or lock.is_expired(known_since, now):
            return None, json_reply(409)
        hold_on = max(hold, lock.remaining_ms(known_since, now))
        return Lease(holder, fence, hold_on, lock.sequence + 1, lock.call_id, lock.reacquired), json_reply(
            200
        )

    return _change(judge)


def release(holder: str, fence: int) -> ChangeFunction:
    """Give the lock back. Where its holder has asked for it anew under the same fence (`kept`), this may be
    an older call that was under way all the time; then the lock is left to run out."""

    def judge(lock: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        if (lock.holder, lock.fencing_token) != (holder, fence) or lock.reacquired:
            return None, json_reply(200)
        return Lease("", fence, 0, lock.sequence + 1, lock.call_id, False), json_reply(200)

    return _change(judge)

"""Locks: who holds one, under which fence, and how long others have to wait.

A value tells how long it holds and not until when, as steady clocks are a machine's own. Each value is unlike
all before it (`turn` rises), so a machine knows since when it has known exactly this one, and counts from
there. A holder counts from when it sent its call, which was before any machine knew the value: whenever a
machine finds a hold to be over, its holder has found so already.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.coordination.replies import Reply, reply
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome
from ambershift.system.state_machine import NS_PER_MS

MARGIN = 50 * NS_PER_MS  # Against steady clocks that don't run quite alike.
HOLD_MOST = 86_400_000


class Lock(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """`holder` is empty while it is free; `hold` in ms; `call` is the `initiate` that took or kept it last.

    `kept` after a holder asked for what it had: see `terminate`.
    """

    holder: str
    fence: int
    hold: int
    turn: int
    call: str
    kept: bool

    def ended(self, known_since: int, now: int) -> bool:
        return now - known_since >= self.hold * NS_PER_MS + MARGIN

    def left(self, known_since: int, now: int) -> int:
        """At least what is left of the hold, in ms: a shorter one must not cut short what was promised."""
        return self.hold - (now - known_since) // NS_PER_MS


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Lock).decode
UNTOUCHED = Lock("", 0, 0, 0, "", False)

Judge = Callable[[Lock, int, int], tuple[Lock | None, Reply]]


def _change(judge: Judge) -> ChangeFunction:
    def change(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        lock, answer = judge(UNTOUCHED if value is None else _decode(value), known_since, now)
        return ChangeOutcome(None if lock is None else _encode(lock), answer)

    return change


def initiate(holder: str, hold: int, call: str) -> ChangeFunction:
    """Take the lock, or keep it. `call` is this call's own, the same in each of its runs."""

    def judge(lock: Lock, known_since: int, now: int) -> tuple[Lock | None, Reply]:
        held = bool(lock.holder) and not lock.ended(known_since, now)
        if lock.call == call:
            # An earlier run of this call took it; if it has gone since, a late run must not take it again.
            return None, reply(200, fence=lock.fence) if held and lock.holder == holder else reply(409)
        if held and lock.holder != holder:
            return None, reply(409)
        if held:
            hold_on = max(hold, lock.left(known_since, now))
            return Lock(holder, lock.fence, hold_on, lock.turn + 1, call, True), reply(200, fence=lock.fence)
        fence = lock.fence + 1
        return Lock(holder, fence, hold, lock.turn + 1, call, False), reply(200, fence=fence)

    return _change(judge)


def heartbeat(holder: str, fence: int, hold: int) -> ChangeFunction:
    """More time for the holder. Once its time is over it is refused, even if nobody has taken the lock: its
    own clock has ended the hold before ours."""

    def judge(lock: Lock, known_since: int, now: int) -> tuple[Lock | None, Reply]:
        if (lock.holder, lock.fence) != (holder, fence) or lock.ended(known_since, now):
            return None, reply(409)
        hold_on = max(hold, lock.left(known_since, now))
        return Lock(holder, fence, hold_on, lock.turn + 1, lock.call, lock.kept), reply(200)

    return _change(judge)


def terminate(holder: str, fence: int) -> ChangeFunction:
    """Give the lock back. Where its holder has asked for it anew under the same fence (`kept`), this may be
    an older call that was under way all the time; then the lock is left to run out."""

    def judge(lock: Lock, known_since: int, now: int) -> tuple[Lock | None, Reply]:
        if (lock.holder, lock.fence) != (holder, fence) or lock.kept:
            return None, reply(200)
        return Lock("", fence, 0, lock.turn + 1, lock.call, False), reply(200)

    return _change(judge)

"""Locks: leases with fencing tokens.

A lease's value says for how long it is granted and not until when, as the monotonic clocks of two nodes
can't be compared. No two values of a register are alike (`sequence` rises), so that a node knows since when
it has known exactly this value, and counts from there. A holder counts from when it sent its call, which was
before any node knew the value: when a node finds that a lease has expired, its holder has found so already.

Fencing tokens: M. Kleppmann, "How to do distributed locking" (2016); the sequencers of Chubby (Burrows,
2006).
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome
from ambershift.system.state_machine import NS_PER_MS

CLOCK_DRIFT_MARGIN_NS = 50 * NS_PER_MS  # The monotonic clocks of two nodes run at slightly different rates.
MAX_LEASE_MS = 86_400_000


class Lease(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The value of a lock's register.

    Attributes:
        holder: Who has the lock; empty while it is free.
        fencing_token: Rises by one with each new holder.
        duration_ms: For how long the lease is granted, from when this value is known.
        sequence: Rises with each value.
        call_id: The call that acquired the lock last.
        reacquired: Whether the holder asked for the lock again while it had it; see `release`.
    """

    holder: str
    fencing_token: int
    duration_ms: int
    sequence: int
    call_id: str
    reacquired: bool

    def is_expired(self, known_since: int, now: int) -> bool:
        """Whether the lease is over for its holder too. Times in ns, of this node's monotonic clock."""
        return now - known_since >= self.duration_ms * NS_PER_MS + CLOCK_DRIFT_MARGIN_NS

    def is_held(self, known_since: int, now: int) -> bool:
        """Whether somebody has the lock. Times as for `is_expired`."""
        return bool(self.holder) and not self.is_expired(known_since, now)

    def extended_ms(self, duration_ms: int, known_since: int, now: int) -> int:
        """The duration of a renewed lease: never less than what remains of the one that was granted."""
        return max(duration_ms, self.remaining_ms(known_since, now))

    def remaining_ms(self, known_since: int, now: int) -> int:
        """What remains of the lease, rounded up."""
        return self.duration_ms - (now - known_since) // NS_PER_MS


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Lease).decode
NEVER_LEASED = Lease(holder="", fencing_token=0, duration_ms=0, sequence=0, call_id="", reacquired=False)

# Takes the lease, since when (ns) this value is known, and now (ns). Returns the new lease, None to leave it.
Transition = Callable[[Lease, int, int], tuple[Lease | None, Reply]]


def _change(transition: Transition) -> ChangeFunction:
    def change(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        stored = NEVER_LEASED if value is None else _decode(value)
        lease, reply = transition(stored, known_since, now)
        return ChangeOutcome(None if lease is None else _encode(lease), reply)

    return change


def acquire(holder: str, duration_ms: int, call_id: str) -> ChangeFunction:
    """Acquire the lock, or extend the holder's lease; 409 while another one has it.

    `call_id` is the same in each run of this call.
    """

    def transition(lease: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        is_held = lease.is_held(known_since, now)
        if lease.call_id == call_id:
            # An earlier run of this call acquired the lock. If it was released since, a late run must not
            # acquire it again: nobody waits for the answer, and the lock would be held for nothing.
            if is_held and lease.holder == holder:
                return None, json_reply(HTTPStatus.OK, fence=lease.fencing_token)
            return None, json_reply(HTTPStatus.CONFLICT)
        if is_held and lease.holder != holder:
            return None, json_reply(HTTPStatus.CONFLICT)
        fencing_token = lease.fencing_token if is_held else lease.fencing_token + 1
        granted_ms = lease.extended_ms(duration_ms, known_since, now) if is_held else duration_ms
        granted = Lease(holder, fencing_token, granted_ms, lease.sequence + 1, call_id, reacquired=is_held)
        return granted, json_reply(HTTPStatus.OK, fence=fencing_token)

    return _change(transition)


def renew(holder: str, fencing_token: int, duration_ms: int) -> ChangeFunction:
    """Extend the holder's lease; 409 if it has expired, even where nobody has acquired the lock since.

    The holder's own clock has ended the lease before ours.
    """

    def transition(lease: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        is_holder = (lease.holder, lease.fencing_token) == (holder, fencing_token)
        if not is_holder or lease.is_expired(known_since, now):
            return None, json_reply(HTTPStatus.CONFLICT)
        granted_ms = lease.extended_ms(duration_ms, known_since, now)
        renewed = msgspec.structs.replace(lease, duration_ms=granted_ms, sequence=lease.sequence + 1)
        return renewed, json_reply(HTTPStatus.OK)

    return _change(transition)


def release(holder: str, fencing_token: int) -> ChangeFunction:
    """Release the lock; 200 also where the holder doesn't have it.

    Where the holder has acquired it again under the same fencing token (`reacquired`), this may be an older
    call that was delayed; then the lease is left to expire.
    """

    def transition(lease: Lease, known_since: int, now: int) -> tuple[Lease | None, Reply]:
        is_holder = (lease.holder, lease.fencing_token) == (holder, fencing_token)
        if not is_holder or lease.reacquired:
            return None, json_reply(HTTPStatus.OK)
        released = Lease("", fencing_token, 0, lease.sequence + 1, lease.call_id, reacquired=False)
        return released, json_reply(HTTPStatus.OK)

    return _change(transition)

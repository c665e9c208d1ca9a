"""Numbers: each call gets one above all that were given before. A call that is run twice leaves a gap."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.replies import reply
from ambershift.system.interfaces import ChangeOutcome


def following(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `Change`."""
    number = (0 if value is None else int(msgspec.msgpack.decode(value))) + 1
    return ChangeOutcome(msgspec.msgpack.encode(number), reply(200, Value=number))

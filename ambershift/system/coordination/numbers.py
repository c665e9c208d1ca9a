"""Numbers: each call gets one above all that were given before. A call that is run twice leaves a gap."""

from __future__ import annotations

import msgspec

from ambershift.system.coordination.replies import json_reply
from ambershift.system.interfaces import ChangeOutcome


def next_number(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `ChangeFunction`."""
    number = (0 if value is None else int(msgspec.msgpack.decode(value))) + 1
    return ChangeOutcome(msgspec.msgpack.encode(number), json_reply(200, Value=number))

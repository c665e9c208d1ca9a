"""Numbers: a rising counter. A call that is run twice leaves a gap."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from ambershift.system.coordination.replies import json_reply
from ambershift.system.interfaces import ChangeOutcome


def next_number(value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `ChangeFunction`: each call gets a number above all that were issued before."""
    number = (0 if value is None else int(msgspec.msgpack.decode(value))) + 1
    return ChangeOutcome(msgspec.msgpack.encode(number), json_reply(HTTPStatus.OK, Value=number))

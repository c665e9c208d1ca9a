"""Reads the applications' calls: which register each is about, and what it makes of its value."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ambershift.system.coordination import cells, locks, numbers
from ambershift.system.coordination.groups import group_of
from ambershift.system.coordination.replies import Call, ImproperError, read_body, text, whole
from ambershift.system.coordination.revision_ages import Ages

BODY_MOST = 1 << 20
NAME_MOST = 512
COUNT_MOST = 1 << 62

Reader = Callable[[str, bytes, str, Ages], Call]


def read_call(name: str, of: str, body: bytes, call: str, ages: Ages) -> Call:
    """`name` as in the protocol, `of` the id, `call` this call's own name. Raises `ImproperError`."""
    if not of or len(of) > NAME_MOST:
        raise ImproperError("of", "is empty or too long")
    reader = CALLS.get(name)
    if reader is None:
        raise ImproperError("call", "is not known")
    return reader(of, body, call, ages)


def _initiate(of: str, body: bytes, call: str, ages: Ages) -> Call:
    fields = read_body(body)
    hold = whole(fields, "HoldMs", 1, locks.HOLD_MOST)
    return Call("l/" + of, locks.initiate(text(fields, "Holder"), hold, call))


def _heartbeat(of: str, body: bytes, call: str, ages: Ages) -> Call:
    fields = read_body(body)
    hold, fence = whole(fields, "HoldMs", 1, locks.HOLD_MOST), whole(fields, "fence", 0, COUNT_MOST)
    return Call("l/" + of, locks.heartbeat(text(fields, "Holder"), fence, hold))


def _terminate(of: str, body: bytes, call: str, ages: Ages) -> Call:
    fields = read_body(body)
    return Call("l/" + of, locks.terminate(text(fields, "Holder"), whole(fields, "fence", 0, COUNT_MOST)))


def _number(of: str, body: bytes, call: str, ages: Ages) -> Call:
    return Call("n/" + of, numbers.following)


def _replace(of: str, body: bytes, call: str, ages: Ages) -> Call:
    fields = read_body(body)
    if fields.get("Value") is None:
        raise ImproperError("Value", "is missing")
    applies_to = None
    if fields.get("AppliesTo") is not None:
        applies_to = whole(fields, "AppliesTo", 0, COUNT_MOST)
    return Call("g/" + group_of(of), cells.replace(of, fields["Value"], applies_to, ages))


def _retrieve(of: str, body: bytes, call: str, ages: Ages) -> Call:
    return Call("g/" + group_of(of), cells.retrieve(of))


def _present(of: str, body: bytes, call: str, ages: Ages) -> Call:
    return Call("g/" + of, cells.present)


PUT = "cells.replace"
PRESENT = "cells.present"  # Ours: a watch with `after` 0, and a look at a group that is watched.
CALLS: Mapping[str, Reader] = {
    "locks.initiate": _initiate,
    "locks.heartbeat": _heartbeat,
    "locks.terminate": _terminate,
    "numbers": _number,
    PUT: _replace,
    "cells.retrieve": _retrieve,
    PRESENT: _present,
}

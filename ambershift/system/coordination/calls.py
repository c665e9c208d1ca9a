"""Reads the applications' calls: which register each is about, and what it makes of its value."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ambershift.system.coordination import cells, locks, numbers
from ambershift.system.coordination.groups import group_name
from ambershift.system.coordination.replies import (
    InvalidCallError,
    RegisterCall,
    integer_field,
    name_field,
    parse_body,
)
from ambershift.system.coordination.revision_ages import RevisionAges

MAX_BODY_BYTES = 1 << 20
MAX_ID_LENGTH = 512
MAX_COUNT = 1 << 62

CallParser = Callable[[str, bytes, str, RevisionAges], RegisterCall]


def parse_call(name: str, of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    """`name` as in the protocol, `of` the id, `call` this call's own name. Raises `ImproperError`."""
    if not of or len(of) > MAX_ID_LENGTH:
        raise InvalidCallError("of", "is empty or too long")
    reader = PARSERS.get(name)
    if reader is None:
        raise InvalidCallError("call", "is not known")
    return reader(of, body, call, ages)


def _parse_acquire(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    hold = integer_field(fields, "HoldMs", 1, locks.MAX_LEASE_MS)
    return RegisterCall("l/" + of, locks.acquire(name_field(fields, "Holder"), hold, call))


def _parse_renew(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    hold, fence = (
        integer_field(fields, "HoldMs", 1, locks.MAX_LEASE_MS),
        integer_field(fields, "fence", 0, MAX_COUNT),
    )
    return RegisterCall("l/" + of, locks.renew(name_field(fields, "Holder"), fence, hold))


def _parse_release(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    return RegisterCall(
        "l/" + of, locks.release(name_field(fields, "Holder"), integer_field(fields, "fence", 0, MAX_COUNT))
    )


def _parse_next_number(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    return RegisterCall("n/" + of, numbers.next_number)


def _parse_compare_and_set(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    if fields.get("Value") is None:
        raise InvalidCallError("Value", "is missing")
    applies_to = None
    if fields.get("AppliesTo") is not None:
        applies_to = integer_field(fields, "AppliesTo", 0, MAX_COUNT)
    return RegisterCall("g/" + group_name(of), cells.compare_and_set(of, fields["Value"], applies_to, ages))


def _parse_read(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    return RegisterCall("g/" + group_name(of), cells.read(of))


def _parse_snapshot(of: str, body: bytes, call: str, ages: RevisionAges) -> RegisterCall:
    return RegisterCall("g/" + of, cells.snapshot)


REPLACE_CELL = "cells.replace"
SNAPSHOT_GROUP = "cells.present"  # Ours: a watch with `after` 0, and a look at a group that is watched.
PARSERS: Mapping[str, CallParser] = {
    "locks.initiate": _parse_acquire,
    "locks.heartbeat": _parse_renew,
    "locks.terminate": _parse_release,
    "numbers": _parse_next_number,
    REPLACE_CELL: _parse_compare_and_set,
    "cells.retrieve": _parse_read,
    SNAPSHOT_GROUP: _parse_snapshot,
}

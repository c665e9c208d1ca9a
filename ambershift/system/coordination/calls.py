"""Parses the applications' calls: the register of each, and the change that it makes to the register's value.

The names of calls and fields are the HTTP protocol's (PROTOCOL.md). A register's name starts with the kind of
its value: `l/` for locks, `n/` for numbers, `g/` for groups of cells.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ambershift.system.coordination import cells, locks, numbers
from ambershift.system.coordination.groups import group_name
from ambershift.system.coordination.request_fields import (
    InvalidCallError,
    integer_field,
    name_field,
    parse_body,
)
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ChangeFunction

MAX_BODY_BYTES = 1 << 20
MAX_ID_LENGTH = 512
MAX_COUNT = 1 << 62

ACQUIRE_LOCK = "locks.initiate"
RENEW_LOCK = "locks.heartbeat"
RELEASE_LOCK = "locks.terminate"
NEXT_NUMBER = "numbers"
REPLACE_CELL = "cells.replace"
RETRIEVE_CELL = "cells.retrieve"
SNAPSHOT_GROUP = "cells.present"  # Internal: a watch with `after` 0, and a read of a group that is watched.

LOCK_PREFIX = "l/"
NUMBER_PREFIX = "n/"
GROUP_PREFIX = "g/"


@dataclass(frozen=True, slots=True)
class RegisterCall:
    """A call that was parsed and is valid.

    Attributes:
        register: The name of the register that the call is about.
        change: What the call makes of the register's value.
    """

    register: str
    change: ChangeFunction


# Takes the id that the call is about, its body, the call's own id, and the ages of revisions.
CallParser = Callable[[str, bytes, str, RevisionAges], RegisterCall]


def parse_call(
    operation: str, subject_id: str, body: bytes, call_id: str, revision_ages: RevisionAges
) -> RegisterCall:
    """Parse a call.

    Args:
        operation: The call's name in the protocol.
        subject_id: The id of the lock, number, cell or group that it is about.
        body: JSON.
        call_id: The id of this call among all calls; the same each time that this call is run.
        revision_ages: Tells which events a put may forget.

    Raises:
        InvalidCallError: The name is unknown, the id improper, or a field of the body is.
    """
    if not subject_id or len(subject_id) > MAX_ID_LENGTH:
        raise InvalidCallError("of", "is empty or too long")
    parser = PARSERS.get(operation)
    if parser is None:
        raise InvalidCallError("call", "is not known")
    return parser(subject_id, body, call_id, revision_ages)


def _parse_acquire(subject_id: str, body: bytes, call_id: str, _ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    duration_ms = integer_field(fields, "HoldMs", 1, locks.MAX_LEASE_MS)
    holder = name_field(fields, "Holder")
    return RegisterCall(LOCK_PREFIX + subject_id, locks.acquire(holder, duration_ms, call_id))


def _parse_renew(subject_id: str, body: bytes, _call_id: str, _ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    duration_ms = integer_field(fields, "HoldMs", 1, locks.MAX_LEASE_MS)
    fencing_token = integer_field(fields, "fence", 0, MAX_COUNT)
    holder = name_field(fields, "Holder")
    return RegisterCall(LOCK_PREFIX + subject_id, locks.renew(holder, fencing_token, duration_ms))


def _parse_release(subject_id: str, body: bytes, _call_id: str, _ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    holder = name_field(fields, "Holder")
    fencing_token = integer_field(fields, "fence", 0, MAX_COUNT)
    return RegisterCall(LOCK_PREFIX + subject_id, locks.release(holder, fencing_token))


def _parse_next_number(subject_id: str, _body: bytes, _call_id: str, _ages: RevisionAges) -> RegisterCall:
    return RegisterCall(NUMBER_PREFIX + subject_id, numbers.next_number)


def _parse_replace(key: str, body: bytes, _call_id: str, revision_ages: RevisionAges) -> RegisterCall:
    fields = parse_body(body)
    value = fields.get("Value")
    if value is None:
        raise InvalidCallError("Value", "is missing")
    expected_revision = None
    if fields.get("AppliesTo") is not None:
        expected_revision = integer_field(fields, "AppliesTo", 0, MAX_COUNT)
    change = cells.compare_and_set(key, value, expected_revision, revision_ages)
    return RegisterCall(GROUP_PREFIX + group_name(key), change)


def _parse_retrieve(key: str, _body: bytes, _call_id: str, _ages: RevisionAges) -> RegisterCall:
    return RegisterCall(GROUP_PREFIX + group_name(key), cells.read(key))


def _parse_snapshot(group: str, _body: bytes, _call_id: str, _ages: RevisionAges) -> RegisterCall:
    return RegisterCall(GROUP_PREFIX + group, cells.snapshot)


PARSERS: Mapping[str, CallParser] = {
    ACQUIRE_LOCK: _parse_acquire,
    RENEW_LOCK: _parse_renew,
    RELEASE_LOCK: _parse_release,
    NEXT_NUMBER: _parse_next_number,
    REPLACE_CELL: _parse_replace,
    RETRIEVE_CELL: _parse_retrieve,
    SNAPSHOT_GROUP: _parse_snapshot,
}

"""The calls on cells (keys) as changes of their group, and the events that a watch receives."""

from __future__ import annotations

from dataclasses import replace as with_fields
from http import HTTPStatus
from typing import Any

from ambershift.system.coordination.groups import Group, decode_group, encode_group, group_name
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome


def _verdict(value: bytes | None, reply: Reply, group: Group) -> ChangeOutcome:
    return ChangeOutcome(value, with_fields(reply, group=group))


def compare_and_set(
    key: str, value: Any, expected_revision: int | None, revision_ages: RevisionAges
) -> ChangeFunction:
    """Put a value if the key is at the expected revision (0: never put); None puts it at any revision.

    A value that the key has or recently had is answered with its first revision, at whatever revision it was
    expected: the call may be a retry of a put that took effect, and must not be answered that it failed.
    """
    name = group_name(key)

    def change(stored: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = decode_group(stored)
        first_revision = group.first_revision_of(key, value)
        if first_revision is not None:
            return _verdict(None, json_reply(HTTPStatus.OK, Revision=first_revision), group)
        cell = group.cells.get(key)
        revision = 0 if cell is None else cell.revision
        if expected_revision is not None and expected_revision != revision:
            return _verdict(None, json_reply(HTTPStatus.PRECONDITION_FAILED, Revision=revision), group)
        after = group.put(key, value, revision_ages.prunable_revision(name, now))
        return _verdict(encode_group(after), json_reply(HTTPStatus.OK, Revision=after.revision), after)

    return change


def read(key: str) -> ChangeFunction:
    """Read a key's value and revision; changes nothing."""

    def change(stored: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = decode_group(stored)
        cell = group.cells.get(key)
        if cell is None:
            return _verdict(None, Reply(HTTPStatus.NOT_FOUND, b""), group)
        return _verdict(None, json_reply(HTTPStatus.OK, Value=cell.value, Revision=cell.revision), group)

    return change


def snapshot(stored: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `ChangeFunction` that changes nothing: the group's revision, and the group itself for its watches."""
    group = decode_group(stored)
    return _verdict(None, json_reply(HTTPStatus.OK, Events=[], Revision=group.revision), group)


def events_since(group: Group, after: int) -> Reply | None:
    """The answer to a watch: all events after a revision, or 410 if some of them are pruned.

    None if there are no such events yet.
    """
    if after < group.pruned_up_to:
        return json_reply(HTTPStatus.GONE)
    if after >= group.revision:
        return None
    events = [
        {"Name": event.key, "Value": event.value, "Revision": event.revision}
        for event in group.events_after(after)
    ]
    return json_reply(HTTPStatus.OK, Events=events, Revision=group.revision)

"""What the calls on cells make of their group, and what a watch is told of it."""

from __future__ import annotations

from dataclasses import replace as with_fields
from typing import Any

from ambershift.system.coordination.groups import Group, decode_group, encode_group, group_name
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome


def _verdict(value: bytes | None, answer: Reply, group: Group) -> ChangeOutcome:
    return ChangeOutcome(value, with_fields(answer, group=group))


def compare_and_set(key: str, value: Any, applies_to: int | None, ages: RevisionAges) -> ChangeFunction:
    """Put a value. One that is there already (the call has arrived again) gets its first revision, whatever
    it was to apply to: else a put that took effect would be told that it had not."""
    name = group_name(key)

    def change(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = decode_group(held)
        first = group.first_revision_of(key, value)
        if first is not None:
            return _verdict(None, json_reply(200, Revision=first), group)
        present = group.cells.get(key, (None, 0))[1]
        if applies_to is not None and applies_to != present:
            return _verdict(None, json_reply(412, Revision=present), group)
        after = group.put(key, value, ages.prunable_revision(name, now))
        return _verdict(encode_group(after), json_reply(200, Revision=after.revision), after)

    return change


def read(key: str) -> ChangeFunction:
    def change(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = decode_group(held)
        found = group.cells.get(key)
        answer = Reply(404, b"") if found is None else json_reply(200, Value=found[0], Revision=found[1])
        return _verdict(None, answer, group)

    return change


def snapshot(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `ChangeFunction` that changes nothing: the group as it stands, and its revision."""
    group = decode_group(held)
    return _verdict(None, json_reply(200, Events=[], Revision=group.revision), group)


def events_since(group: Group, after: int) -> Reply | None:
    """What a watch is told: all events above `after`, 410 if some are forgotten, None if there are none."""
    if after < group.pruned_up_to:
        return json_reply(410)
    if after >= group.revision:
        return None
    events = [
        {"Name": name, "Value": value, "Revision": revision}
        for name, value, revision in group.events_after(after)
    ]
    return json_reply(200, Events=events, Revision=group.revision)

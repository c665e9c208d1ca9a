"""What the calls on cells make of their group, and what a watch is told of it."""

from __future__ import annotations

from dataclasses import replace as with_fields
from typing import Any

from ambershift.system.coordination.groups import Group, group_of, read_group, write_group
from ambershift.system.coordination.replies import Reply, reply
from ambershift.system.coordination.revision_ages import Ages
from ambershift.system.interfaces import ChangeFunction, ChangeOutcome


def _verdict(value: bytes | None, answer: Reply, group: Group) -> ChangeOutcome:
    return ChangeOutcome(value, with_fields(answer, group=group))


def replace(key: str, value: Any, applies_to: int | None, ages: Ages) -> ChangeFunction:
    """Put a value. One that is there already (the call has arrived again) gets its first revision, whatever
    it was to apply to: else a put that took effect would be told that it had not."""
    name = group_of(key)

    def change(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = read_group(held)
        first = group.known(key, value)
        if first is not None:
            return _verdict(None, reply(200, Revision=first), group)
        present = group.cells.get(key, (None, 0))[1]
        if applies_to is not None and applies_to != present:
            return _verdict(None, reply(412, Revision=present), group)
        after = group.put(key, value, ages.old(name, now))
        return _verdict(write_group(after), reply(200, Revision=after.revision), after)

    return change


def retrieve(key: str) -> ChangeFunction:
    def change(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        group = read_group(held)
        found = group.cells.get(key)
        answer = Reply(404, b"") if found is None else reply(200, Value=found[0], Revision=found[1])
        return _verdict(None, answer, group)

    return change


def present(held: bytes | None, known_since: int, now: int) -> ChangeOutcome:
    """A `Change` that changes nothing: the group as it stands, and its revision."""
    group = read_group(held)
    return _verdict(None, reply(200, Events=[], Revision=group.revision), group)


def since(group: Group, after: int) -> Reply | None:
    """What a watch is told: all events above `after`, 410 if some are forgotten, None if there are none."""
    if after < group.pruned:
        return reply(410)
    if after >= group.revision:
        return None
    events = [
        {"Name": name, "Value": value, "Revision": revision} for name, value, revision in group.above(after)
    ]
    return reply(200, Events=events, Revision=group.revision)

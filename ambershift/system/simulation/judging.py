"""Judges what callers were told of locks, numbers, cells and watches; an unknown outcome counts as both."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ambershift.system.testbed.histories import History, group_of


@dataclass(frozen=True, slots=True)
class Told:
    """One answer of a watch: `after` was asked, all up to `upto` is told."""

    sent: float
    after: int
    upto: int
    events: tuple[tuple[str, str, int], ...]


class Judge(History):
    """Beside what it inherits it looks at each answer of a watch, and knows all values ever sent.

    To be asked once all callers have ended, so that each put has an outcome, though it may be unknown.
    """

    def __init__(self) -> None:
        super().__init__()
        self.told = defaultdict[str, list[Told]](list)  # By group.
        self.sent_values = dict[str, str]()  # The key of each value.
        self.notes = list[str]()  # What was wrong at once.

    def outcomes(self) -> int:
        return (
            sum(map(len, self.holds.values()))
            + sum(map(len, self.numbers.values()))
            + sum(map(len, self.told.values()))
            + len(self.puts)
            + len(self.gets)
        )

    def judge(self) -> list[str]:
        found = [*self.notes, *super().judge(), *self._values()]
        for group, told in self.told.items():
            found += self._watch(group, told)
        return found

    def _seen(self) -> list[tuple[str, str, int]]:
        """Key, value and revision of all that was read or that watches told."""
        return [
            *((got.key, got.value, got.revision) for got in self.gets if got.value is not None),
            *(event for told in self.told.values() for one in told for event in one.events),
        ]

    def _values(self) -> list[str]:
        """A value has one revision wherever it shows up, a revision one value, and none was refused."""
        found = list[str]()
        refused = {put.value for put in self.puts if put.refused}
        at = {put.value: put.revision for put in self.puts if put.revision is not None}
        for key, value, revision in self._seen():
            if self.sent_values.get(value) != key:
                found.append(f"key {key}: {value} was told, which nobody put there")
            elif value in refused:
                found.append(f"key {key}: {value} was told, whose put was refused")
            elif at.setdefault(value, revision) != revision:
                found.append(f"key {key}: {value} has revisions {at[value]} and {revision}")
        values = defaultdict[tuple[str, int], set[str]](set)
        for value, revision in at.items():
            if value in self.sent_values:
                values[group_of(self.sent_values[value]), revision].add(value)
        return found + [
            f"group {name}: revision {revision} is of {sorted(some)}"
            for (name, revision), some in values.items()
            if len(some) > 1
        ]

    def _watch(self, group: str, told: list[Told]) -> list[str]:
        found = list[str]()
        acknowledged = [
            (put.at, put.revision)
            for put in self.puts
            if put.revision is not None and group_of(put.key) == group
        ]
        known = {revision for _, revision in acknowledged}
        known |= {revision for key, _, revision in self._seen() if group_of(key) == group}
        for one in told:
            revisions = [revision for _, _, revision in one.events]
            if revisions != sorted(set(revisions)) or any(
                not one.after < revision <= one.upto for revision in revisions
            ):
                found.append(f"watch of {group}: after {one.after} it tells {revisions}, up to {one.upto}")
            missed = [at for at in sorted(known) if one.after < at <= one.upto and at not in revisions]
            if one.after and missed:
                found.append(f"watch of {group}: after {one.after} it passes over {missed[:3]}")
            floor = max((revision for at, revision in acknowledged if at < one.sent), default=0)
            if one.upto < floor and not one.events:  # A part of what there is may be told, nothing may not.
                found.append(f"watch of {group}: up to {one.upto} after {floor} was acknowledged")
        return found

"""Judges application calls: fences and numbers rise, one holds at a time, reads are never stale."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hold:
    """A caller counted itself holder from `since` until `until`; the call that got it left at `asked`."""

    holder: str
    fence: int
    asked: float
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Given:
    """A number or revision: when the call was first sent, when it was answered, what it gave."""

    sent: float
    at: float
    value: int


@dataclass(frozen=True, slots=True)
class Put:
    """`revision` None: no clear answer. `refused`: answered that it never took effect."""

    key: str
    value: str
    over: int
    sent: float
    at: float
    revision: int | None
    refused: bool


@dataclass(frozen=True, slots=True)
class Got:
    key: str
    value: str | None
    revision: int
    sent: float


class History:
    """Collects while the callers run; `judge` looks at all at once."""

    def __init__(self) -> None:
        self.holds = defaultdict[str, list[Hold]](list)
        self.numbers = defaultdict[str, list[Given]](list)
        self.puts = list[Put]()
        self.gets = list[Got]()
        self.named = list[tuple[str, int]]()  # (key, revision) that a 412 named.
        self.events = defaultdict[str, list[list[tuple[str, str, int]]]](list)  # By watch, by answer.
        self.spans = defaultdict[str, list[tuple[int, int]]](list)  # By group, (after, up to) of the answers.
        self.counts = Counter[str]()
        self.reasons = Counter[str]()

    def judge(self) -> list[str]:
        """One line for each promise broken."""
        return [*self.judge_locks(), *self.judge_numbers(), *self.judge_cells(), *self.judge_watches()]

    def judge_locks(self) -> list[str]:
        found = list[str]()
        for name, holds in self.holds.items():
            fences = dict[int, str]()
            latest = sorted(holds, key=lambda one: one.since)
            for hold in latest:
                if fences.setdefault(hold.fence, hold.holder) != hold.holder:
                    found.append(f"lock {name}: two holders got fence {hold.fence}")
            for at, hold in enumerate(latest):
                for other in latest[:at]:
                    if other.holder == hold.holder:
                        continue
                    if other.since < hold.until and hold.since < other.until:
                        found.append(f"lock {name}: {hold.holder} and {other.holder} held it at once")
                    if other.since < hold.asked and other.fence >= hold.fence:
                        found.append(f"lock {name}: fence {hold.fence} after {other.fence}")
        return found

    def judge_numbers(self) -> list[str]:
        found = list[str]()
        for name, given in self.numbers.items():
            if len({one.value for one in given}) < len(given):
                found.append(f"number {name}: given twice")
            found += [f"number {name}: {low} {why}" for low, why in not_rising(given)]
        return found

    def judge_cells(self) -> list[str]:
        found = list[str]()
        groups = defaultdict[str, list[Given]](list)
        held = defaultdict[str, dict[int, str]](dict)  # By key, the value at each revision.
        for put in self.puts:
            if put.revision is not None:
                groups[group_of(put.key)].append(Given(put.sent, put.at, put.revision))
                held[put.key][put.revision] = put.value
        for name, given in groups.items():
            if len({one.value for one in given}) < len(given):
                found.append(f"group {name}: a revision given twice")
            found += [f"group {name}: revision {low} {why}" for low, why in not_rising(given)]
        for put in self.puts:
            if put.revision is None:
                continue
            between = [one for one in held[put.key] if put.over < one < put.revision]
            if between:
                found.append(f"key {put.key}: put over {put.over} got {put.revision} past {between[0]}")
        return found + self.judge_reads(held)

    def judge_reads(self, held: dict[str, dict[int, str]]) -> list[str]:
        found = list[str]()
        values = {put.value: put for put in self.puts}
        seen = dict[str, int]()
        acknowledged = defaultdict[str, list[Put]](list)
        for put in self.puts:
            if put.revision is not None:
                acknowledged[put.key].append(put)
                seen[put.value] = put.revision
        for got in self.gets:
            floor = max((put.revision or 0 for put in acknowledged[got.key] if put.at < got.sent), default=0)
            if got.revision < floor:
                found.append(f"key {got.key}: read at {got.revision} after {floor} was acknowledged")
            if got.value is None:
                continue
            put_of = values.get(got.value)
            if put_of is None or put_of.key != got.key:
                found.append(f"key {got.key}: a value that nobody put there")
            elif put_of.refused:
                found.append(f"key {got.key}: a value whose put was refused")
            elif seen.setdefault(got.value, got.revision) != got.revision:
                found.append(f"key {got.key}: one value at {seen[got.value]} and {got.revision}")
        unclear = {put.key for put in self.puts if put.revision is None and not put.refused}
        for key, revision in self.named:
            if revision and revision not in held[key] and key not in unclear:
                found.append(f"key {key}: a 412 names {revision}, which no put got")
        return found

    def judge_watches(self) -> list[str]:
        found = list[str]()
        for watch, answers in self.events.items():
            flat = [revision for answer in answers for _, _, revision in answer]
            if flat != sorted(set(flat)):
                found.append(f"watch {watch}: its events don't rise")
        puts = [(group_of(put.key), put.revision) for put in self.puts if put.revision is not None]
        for group, spans in self.spans.items():
            events = {
                revision
                for watch, answers in self.events.items()
                if watch.partition("@")[0] == group
                for answer in answers
                for _, _, revision in answer
            }
            missed = [
                revision
                for name, revision in puts
                if name == group
                and revision not in events
                and any(low < revision <= high for low, high in spans)
            ]
            if missed:
                found.append(f"watch of {group}: passed over {missed[:3]}")
        return found


def group_of(key: str) -> str:
    return key.partition(".")[0] + "."


def not_rising(given: list[Given]) -> list[tuple[int, str]]:
    """Values that aren't above one that was given before their call was sent."""
    found = list[tuple[int, str]]()
    by_answer = sorted(given, key=lambda one: one.at)
    at, highest = 0, 0
    for one in sorted(given, key=lambda one: one.sent):
        while at < len(by_answer) and by_answer[at].at < one.sent:
            highest = max(highest, by_answer[at].value)
            at += 1
        if one.value <= highest and highest:
            found.append((one.value, f"given after {highest}"))
    return found

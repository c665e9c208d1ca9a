"""Vouched: what the bytes of a member's folder vouch for, or why they vouch for nothing. No I/O.

The rule: what was told as synced is given back whole, or the log is refused by a named fault. Less is never
given silently.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ambershift.coordinator.replication.records import Fault, Found, Head, Line, Mark, begin, frames, marks
from ambershift.coordinator.replication.types import Entry, Saved, Snapshot


class ContradictionError(Exception):
    """A write that does not follow from those before it."""


@dataclass
class Held:
    """All writes so far, folded into one."""

    group: str = ""
    view: int = 0
    last_normal: int = 0
    committed: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    written: bool = False

    def fold(self, line: Line) -> None:
        """ContradictionError, and nothing taken, where numbers have a gap or come twice."""
        entries = self.entries
        start = self.snapshot.number if self.snapshot else 0
        if line.cut:
            entries = entries[: max(0, line.cut - 1 - start)]
        if line.snapshot:
            entries = entries[max(0, line.snapshot.number - start) :]
            start = line.snapshot.number
        following = start + len(entries) + 1
        for place, entry in enumerate(line.entries, following):
            if entry.number != place:
                raise ContradictionError(f"entry {entry.number} where {place} belongs")
        if entries is self.entries:
            entries.extend(line.entries)
        else:
            self.entries = [*entries, *line.entries]
        self.group, self.view, self.last_normal = line.group, line.view, line.last_normal
        self.committed, self.snapshot = line.committed, line.snapshot or self.snapshot
        self.written = True

    def line(self) -> Line:
        """One write that says all."""
        return Line(
            self.group, self.view, self.last_normal, self.committed, tuple(self.entries), 0, self.snapshot
        )

    def saved(self, incarnation: int) -> Saved | None:
        if not self.written:
            return None
        return Saved(
            self.group,
            incarnation,
            self.view,
            self.last_normal,
            self.committed,
            self.snapshot,
            tuple(self.entries),
        )


class Reading(NamedTuple):
    """What a folder holds. With a fault `held` vouches for nothing; `head` is told where it can be read."""

    fault: Fault | None
    why: str
    head: Head | None
    held: Held
    generation: int
    torn: int  # Bytes of an append that was never told as synced; they go.
    turn: int  # Of the last mark made.


def read(log: bytes | None, mark: bytes | None) -> Reading:
    """Judge the two files; None where one is not there. Both missing: a new folder, no fault."""
    slots = marks(mark) if mark is not None else [None, None]
    known = [one for one in slots if one is not None]
    latest = max(known, default=Mark(0, 0, 0))
    if log is None:
        fault = Fault.MISSING if latest.end else None  # A mark is made before its first log, and says 0.
        return Reading(
            fault, "a mark and no log" if fault else "", None, Held(), latest.generation, 0, latest.turn
        )
    begun = begin(log)
    if isinstance(begun, Fault):
        return Reading(begun, "its first bytes", None, Held(), latest.generation, 0, latest.turn)
    generation, base = begun
    newest = max(generation, latest.generation)
    if latest.generation > generation:
        why = f"generation {generation}, its mark {latest.generation}"
        return Reading(Fault.BEHIND, why, None, Held(), newest, 0, latest.turn)
    # A log gets its name only once `base` bytes are synced; its mark comes after.
    vouched = max([base, *(one.end for one in known if one.generation == generation)])
    head, held, at = None, Held(), 0
    for one in frames(log, generation):
        if not isinstance(one, Found):
            at = one.at
            fault = judge(one.at, one.fault, vouched, generation, known)
            why = f"no whole record at byte {one.at} of {len(log)}, synced to {vouched}"
            return Reading(
                fault,
                why if fault else "",
                head,
                Held() if fault else held,
                newest,
                len(log) - at,
                latest.turn,
            )
        try:
            if head is None:
                head = msgspec.msgpack.decode(one.body, type=Head)
            else:
                held.fold(msgspec.msgpack.decode(one.body, type=Line))
        except (msgspec.MsgspecError, ValueError, ContradictionError) as error:
            why = f"byte {one.at}: {error}"
            return Reading(Fault.CONTRADICTS, why, head, Held(), newest, 0, latest.turn)
    raise AssertionError("frames always end with where they stopped")


def judge(at: int, fault: Fault | None, vouched: int, generation: int, known: list[Mark]) -> Fault | None:
    """A whole log, or one whose last append was never told as synced, is none."""
    if at < vouched:
        return fault or Fault.SHORT
    # One crash tears a mark or an append, never both: an append begins after the mark before it is synced.
    # And the log goes on past the mark before a torn one, as it is synced first.
    if len(known) == 2:
        return None
    goes_on = bool(known) and (at > known[0].end or generation > known[0].generation)
    return None if fault is None and goes_on else Fault.UNMARKED

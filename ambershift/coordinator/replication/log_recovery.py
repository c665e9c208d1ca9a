"""Vouched: what the bytes of a member's folder vouch for, or why they vouch for nothing. No I/O.

The rule: what was told as synced is given back whole, or the log is refused by a named fault. Less is never
given silently.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ambershift.coordinator.replication.records import (
    LogFault,
    LogHeader,
    LogRecord,
    SyncMark,
    WholeFrame,
    decode_frames,
    decode_marks,
    decode_preamble,
)
from ambershift.coordinator.replication.types import Entry, PersistedState, Snapshot


class InconsistentLogError(Exception):
    """A write that does not follow from those before it."""


@dataclass
class FoldedLog:
    """All writes so far, folded into one."""

    group: str = ""
    view: int = 0
    last_entry_view: int = 0
    committed: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    written: bool = False

    def apply(self, line: LogRecord) -> None:
        """ContradictionError, and nothing taken, where numbers have a gap or come twice."""
        entries = self.entries
        start = self.snapshot.number if self.snapshot else 0
        if line.truncate_from:
            entries = entries[: max(0, line.truncate_from - 1 - start)]
        if line.snapshot:
            entries = entries[max(0, line.snapshot.number - start) :]
            start = line.snapshot.number
        following = start + len(entries) + 1
        for place, entry in enumerate(line.entries, following):
            if entry.number != place:
                raise InconsistentLogError(f"entry {entry.number} where {place} belongs")
        if entries is self.entries:
            entries.extend(line.entries)
        else:
            self.entries = [*entries, *line.entries]
        self.group, self.view, self.last_entry_view = line.group, line.view, line.last_entry_view
        self.committed, self.snapshot = line.committed, line.snapshot or self.snapshot
        self.written = True

    def to_record(self) -> LogRecord:
        """One write that says all."""
        return LogRecord(
            self.group, self.view, self.last_entry_view, self.committed, tuple(self.entries), 0, self.snapshot
        )

    def to_persisted_state(self, incarnation: int) -> PersistedState | None:
        if not self.written:
            return None
        return PersistedState(
            self.group,
            incarnation,
            self.view,
            self.last_entry_view,
            self.committed,
            self.snapshot,
            tuple(self.entries),
        )


class RecoveredLog(NamedTuple):
    """What a folder holds. With a fault `held` vouches for nothing; `head` is told where it can be read."""

    fault: LogFault | None
    why: str
    header: LogHeader | None
    log: FoldedLog
    generation: int
    torn_bytes: int  # Bytes of an append that was never told as synced; they go.
    mark_sequence: int  # Of the last mark made.


def recover_log(log: bytes | None, mark: bytes | None) -> RecoveredLog:
    """Judge the two files; None where one is not there. Both missing: a new folder, no fault."""
    slots = decode_marks(mark) if mark is not None else [None, None]
    known = [one for one in slots if one is not None]
    latest = max(known, default=SyncMark(0, 0, 0))
    if log is None:
        fault = LogFault.MISSING if latest.end else None  # A mark is made before its first log, and says 0.
        return RecoveredLog(
            fault,
            "a mark and no log" if fault else "",
            None,
            FoldedLog(),
            latest.generation,
            0,
            latest.sequence,
        )
    begun = decode_preamble(log)
    if isinstance(begun, LogFault):
        return RecoveredLog(
            begun, "its first bytes", None, FoldedLog(), latest.generation, 0, latest.sequence
        )
    generation, base = begun
    newest = max(generation, latest.generation)
    if latest.generation > generation:
        why = f"generation {generation}, its mark {latest.generation}"
        return RecoveredLog(LogFault.BEHIND, why, None, FoldedLog(), newest, 0, latest.sequence)
    # A log gets its name only once `base` bytes are synced; its mark comes after.
    vouched = max([base, *(one.end for one in known if one.generation == generation)])
    head, held, at = None, FoldedLog(), 0
    for one in decode_frames(log, generation):
        if not isinstance(one, WholeFrame):
            at = one.at
            fault = classify_fault(one.at, one.fault, vouched, generation, known)
            why = f"no whole record at byte {one.at} of {len(log)}, synced to {vouched}"
            return RecoveredLog(
                fault,
                why if fault else "",
                head,
                FoldedLog() if fault else held,
                newest,
                len(log) - at,
                latest.sequence,
            )
        try:
            if head is None:
                head = msgspec.msgpack.decode(one.body, type=LogHeader)
            else:
                held.apply(msgspec.msgpack.decode(one.body, type=LogRecord))
        except (msgspec.MsgspecError, ValueError, InconsistentLogError) as error:
            why = f"byte {one.at}: {error}"
            return RecoveredLog(LogFault.CONTRADICTS, why, head, FoldedLog(), newest, 0, latest.sequence)
    raise AssertionError("frames always end with where they stopped")


def classify_fault(
    at: int, fault: LogFault | None, vouched: int, generation: int, known: list[SyncMark]
) -> LogFault | None:
    """A whole log, or one whose last append was never told as synced, is none."""
    if at < vouched:
        return fault or LogFault.SHORT
    # One crash tears a mark or an append, never both: an append begins after the mark before it is synced.
    # And the log goes on past the mark before a torn one, as it is synced first.
    if len(known) == 2:
        return None
    goes_on = bool(known) and (at > known[0].end or generation > known[0].generation)
    return None if fault is None and goes_on else LogFault.UNMARKED

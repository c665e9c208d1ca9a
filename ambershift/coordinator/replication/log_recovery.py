"""Recovers a member's state from the bytes of its folder, or names the fault for which it can't. No I/O.

Everything that was reported as synced is recovered, or the log is refused by a named fault. A part of it is
never returned without a fault.
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

MARK_SLOTS = 2


class InconsistentLogError(Exception):
    """A write that does not follow from those before it."""


@dataclass
class FoldedLog:
    """The result of all writes so far."""

    group: str = ""
    view: int = 0
    last_entry_view: int = 0
    committed: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    written: bool = False

    def apply(self, record: LogRecord) -> None:
        """Take over one more write.

        Raises:
            InconsistentLogError: The numbers of entries have a gap or repeat; nothing is changed.
        """
        entries = self.entries
        base = self.snapshot.number if self.snapshot else 0
        if record.truncate_from:
            entries = entries[: max(0, record.truncate_from - 1 - base)]
        if record.snapshot:
            entries = entries[max(0, record.snapshot.number - base) :]
            base = record.snapshot.number
        next_number = base + len(entries) + 1
        for expected, entry in enumerate(record.entries, next_number):
            if entry.number != expected:
                raise InconsistentLogError(f"entry {entry.number} in place of entry {expected}")
        if entries is self.entries:
            entries.extend(record.entries)
        else:
            self.entries = [*entries, *record.entries]
        self.group, self.view, self.last_entry_view = record.group, record.view, record.last_entry_view
        self.committed, self.snapshot = record.committed, record.snapshot or self.snapshot
        self.written = True

    def to_record(self) -> LogRecord:
        """One write with the result of all."""
        return LogRecord(
            self.group, self.view, self.last_entry_view, self.committed, tuple(self.entries), 0, self.snapshot
        )

    def to_persisted_state(self, incarnation: int) -> PersistedState | None:
        """What a replica starts from; None where nothing was written."""
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
    """What a folder holds. With a fault `log` is empty; `header` is given where it can be read."""

    fault: LogFault | None
    why: str
    header: LogHeader | None
    log: FoldedLog
    generation: int
    torn_bytes: int  # Of a last append that was never reported as synced; they are dropped.
    mark_sequence: int  # Of the last mark written.


def recover_log(log: bytes | None, mark: bytes | None) -> RecoveredLog:
    """Recover the log from the two files; None for a file that does not exist.

    A folder without both is new, which is no fault.
    """
    slots = decode_marks(mark) if mark is not None else [None, None]
    marks = [slot for slot in slots if slot is not None]
    latest = max(marks, default=SyncMark(0, 0, 0))
    if log is None:
        fault = LogFault.MISSING if latest.end else None  # The first mark precedes its log, and its end is 0.
        why = "the mark file has no log" if fault else ""
        return RecoveredLog(fault, why, None, FoldedLog(), latest.generation, 0, latest.sequence)
    preamble = decode_preamble(log)
    if isinstance(preamble, LogFault):
        why = "the preamble can't be read"
        return RecoveredLog(preamble, why, None, FoldedLog(), latest.generation, 0, latest.sequence)
    generation, base = preamble
    newest_generation = max(generation, latest.generation)
    if latest.generation > generation:
        why = f"the log is of generation {generation}, its mark of {latest.generation}"
        return RecoveredLog(LogFault.BEHIND, why, None, FoldedLog(), newest_generation, 0, latest.sequence)
    # A log gets its name only once its first `base` bytes are synced; its mark is written after that.
    synced_end = max([base, *(known.end for known in marks if known.generation == generation)])
    header, folded = None, FoldedLog()
    for frame in decode_frames(log, generation):
        if not isinstance(frame, WholeFrame):
            fault = classify_fault(frame.at, frame.fault, synced_end, generation, marks)
            why = f"no whole record at byte {frame.at} of {len(log)}, synced up to byte {synced_end}"
            return RecoveredLog(
                fault,
                why if fault else "",
                header,
                FoldedLog() if fault else folded,
                newest_generation,
                len(log) - frame.at,
                latest.sequence,
            )
        try:
            if header is None:
                header = msgspec.msgpack.decode(frame.body, type=LogHeader)
            else:
                folded.apply(msgspec.msgpack.decode(frame.body, type=LogRecord))
        except (msgspec.MsgspecError, ValueError, InconsistentLogError) as error:
            why = f"record at byte {frame.at}: {error}"
            return RecoveredLog(
                LogFault.CONTRADICTS, why, header, FoldedLog(), newest_generation, 0, latest.sequence
            )
    raise AssertionError("decode_frames ends with an EndOfFrames")


def classify_fault(
    at: int, fault: LogFault | None, synced_end: int, generation: int, marks: list[SyncMark]
) -> LogFault | None:
    """The fault of a log whose whole frames end at `at`.

    None where the log is whole, or where only its last append is cut short that was never reported as synced.
    """
    if at < synced_end:
        return fault or LogFault.SHORT
    # One crash tears a mark or an append, never both, as an append begins after the mark before it is synced.
    # And the log goes on past the mark before a torn one, as the log is synced first.
    if len(marks) == MARK_SLOTS:
        return None
    goes_on = bool(marks) and (at > marks[0].end or generation > marks[0].generation)
    return None if fault is None and goes_on else LogFault.UNMARKED

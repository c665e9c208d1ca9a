"""The log and the state that follows from it: appending, committing, snapshots."""

from __future__ import annotations

from typing import Any

import msgspec

from ambershift.coordinator.replication.core import GROUP_TOKEN_PREFIX, Core
from ambershift.coordinator.replication.tokens import TokenTable
from ambershift.coordinator.replication.types import Applied, Entry, Reason, Restored, Snapshot

# A log of too many bytes is snapshotted early, but not before this part of the interval was applied.
EARLY_SNAPSHOT_DIVISOR = 16


def append_entries(core: Core, entries: tuple[Entry, ...]) -> bool:
    """Append entries that follow an entry on which both logs agree; conflicting ones are truncated first.

    Returns:
        False where an entry contradicts a committed one; this member halts. No tolerated fault causes that:
        the other member is of another history, and nobody may go on from its entries.
    """
    for entry in entries:
        if entry.number <= core.log.base:
            continue
        held_view = core.log.view_at(entry.number)
        if held_view == entry.view:
            continue
        if held_view >= 0 and entry.number <= core.committed:
            core.halt(
                Reason.OTHER_GROUP,
                f"entry {entry.number} is committed with view {held_view}, another member sent it "
                f"with view {entry.view}",
            )
            return False
        if held_view >= 0:
            truncate_log(core, entry.number)
        core.log.append(entry)
    return True


def truncate_log(core: Core, number: int) -> None:
    """Remove the uncommitted entries from a number on, in memory and with the next write on the disk."""
    assert number > core.committed, f"entry {number} is committed and can't be truncated"
    core.log.truncate_from(number)
    core.matched_number = min(core.matched_number, number - 1)
    if number <= core.written_number:
        core.truncate_disk_from = min(core.truncate_disk_from or number, number)
        core.written_number = number - 1
    core.durable_number = min(core.durable_number, number - 1)
    core.unsynced_writes = [
        (ticket, view, min(last_number, number - 1)) for ticket, view, last_number in core.unsynced_writes
    ]


def commit_up_to(core: Core, number: int) -> list[tuple[int, bytes]]:
    """Commit and apply entries, as far as the log is known to equal the leader's.

    Returns:
        The number and the answer of each entry that was applied.
    """
    done = list[tuple[int, bytes]]()
    end = min(number, core.log.last_number if core.leading else core.matched_number)
    while core.committed < end:
        entry = core.log.entry(core.committed + 1)
        if core.speculative_results:
            core.state, answer = core.speculative_results.pop(0)
        else:
            core.state, answer = apply_once(core, core.state, entry, False)
        core.committed += 1
        if core.committed == 1:
            core.group = entry.token.removeprefix(GROUP_TOKEN_PREFIX).split(" ")[0]
        elif entry.token and not core.tokens.get(entry.token):
            digest = core.options.machine.digest(entry.command)
            core.tokens.keep(entry.token, digest, answer)
        core.uncommitted_tokens.pop(entry.token, None)
        core.effects.append(Applied(entry, answer, core.state))
        done.append((core.committed, answer))
    return done


def apply_once(core: Core, state: Any, entry: Entry, is_repeat: bool) -> tuple[Any, bytes]:
    """Apply an entry, unless its token was applied before: only the first entry of a token takes effect.

    `is_repeat`: an earlier uncommitted entry has the same token.
    """
    completed = core.tokens.get(entry.token) if entry.token else None
    if completed or is_repeat:
        return state, completed[1] if completed else b""
    result: tuple[Any, bytes] = core.options.machine.apply(state, entry)
    return result


def compact_log(core: Core) -> None:
    """Take a snapshot and remove entries that it covers, where enough was applied since the last one."""
    tuning = core.options.tuning
    applied = core.committed - (core.snapshot.number if core.snapshot else 0)
    early_interval = tuning.snapshot_interval_entries // EARLY_SNAPSHOT_DIVISOR
    too_large = core.log.size > tuning.max_log_bytes and applied >= early_interval
    if applied < tuning.snapshot_interval_entries and not too_large:
        return
    core.snapshot = Snapshot(
        core.committed,
        core.log.view_at(core.committed),
        core.options.machine.pack(core.state),
        core.tokens.all(),
    )
    core.snapshot_due = True
    # Members that lag a little still get entries and need no snapshot.
    kept = 0 if too_large else tuning.snapshot_interval_entries // 2
    core.log.compact(min(core.committed, max(core.log.base, core.committed - kept)))


def install_snapshot(core: Core, snapshot: Snapshot, group: str) -> None:
    """Replace the state by a snapshot of another member or of the folder, where it is newer."""
    if snapshot.number <= core.committed:
        return
    if core.log.view_at(snapshot.number) != snapshot.view:  # Entries above it may be of another history.
        core.durable_number = min(core.durable_number, core.committed)
        core.unsynced_writes = [
            (ticket, view, min(last_number, core.committed))
            for ticket, view, last_number in core.unsynced_writes
        ]
        if core.written_number > snapshot.number:
            core.truncate_disk_from = min(core.truncate_disk_from or snapshot.number + 1, snapshot.number + 1)
            core.written_number = snapshot.number
    core.log.reset_to(snapshot.number, snapshot.view)
    core.snapshot, core.snapshot_due = snapshot, True
    core.committed, core.group = snapshot.number, group
    core.state = core.options.machine.unpack(snapshot.state)
    core.tokens = TokenTable(core.options.tuning.max_tokens, snapshot.answers)
    core.matched_number = max(core.matched_number, snapshot.number)
    core.effects.append(Restored(snapshot.number, core.state))


def snapshot_chunk(core: Core, offset: int) -> tuple[int, bytes]:
    """The size of the serialized snapshot, and its bytes from an offset on that go in one message."""
    assert core.snapshot is not None
    if core.packed_snapshot[0] != core.snapshot.number:
        core.packed_snapshot = core.snapshot.number, msgspec.msgpack.encode(core.snapshot)
    data, end = core.packed_snapshot[1], offset + core.options.tuning.max_chunk_bytes
    if end >= len(data):
        core.packed_snapshot = 0, b""
    return len(data), data[offset:end]

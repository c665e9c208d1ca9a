"""The log and what it makes: taking entries over, committing, snapshots."""

from __future__ import annotations

from typing import Any

import msgspec

from ambershift.coordinator.replication.core import GROUP, Core
from ambershift.coordinator.replication.tokens import Tokens
from ambershift.coordinator.replication.types import Applied, Entry, Reason, Restored, Snapshot


def append(core: Core, entries: tuple[Entry, ...]) -> bool:
    """Take over entries that follow from where the two logs are the same. False: the other's past is not
    ours, which no faults make that are borne; nobody may go on from there as if it were.
    """
    for entry in entries:
        if entry.number <= core.log.base:
            continue
        held = core.log.view_at(entry.number)
        if held == entry.view:
            continue
        if held >= 0 and entry.number <= core.committed:
            core.halt(
                Reason.OTHER_GROUP,
                f"entry {entry.number} was committed as of view {held}, told is another of view {entry.view}",
            )
            return False
        if held >= 0:
            void(core, entry.number)
        core.log.put(entry)
    return True


def void(core: Core, number: int) -> None:
    assert number > core.committed, f"{number} is committed, and is to be void"
    core.log.cut(number)
    core.sure = min(core.sure, number - 1)
    if number <= core.written_top:
        core.cut = min(core.cut or number, number)
        core.written_top = number - 1
    core.durable_top = min(core.durable_top, number - 1)
    core.writes = [(ticket, view, min(top, number - 1)) for ticket, view, top in core.writes]


def commit_to(core: Core, number: int) -> list[tuple[int, bytes]]:
    """Apply up to there, as far as the log is known to be the leader's. Gives numbers and answers."""
    done = list[tuple[int, bytes]]()
    number = min(number, core.log.top if core.leading else core.sure)
    while core.committed < number:
        entry = core.log.at(core.committed + 1)
        if core.ahead:
            core.state, answer = core.ahead.pop(0)
        else:
            core.state, answer = run(core, core.state, entry, False)
        core.committed += 1
        if core.committed == 1:
            core.group = entry.token.removeprefix(GROUP).split(" ")[0]
        elif entry.token and not core.tokens.get(entry.token):
            digest = core.fixed.machine.digest(entry.command)
            core.tokens.keep(entry.token, digest, answer)
        core.open.pop(entry.token, None)
        core.out.append(Applied(entry, answer, core.state))
        done.append((core.committed, answer))
    return done


def run(core: Core, state: Any, entry: Entry, known: bool) -> tuple[Any, bytes]:
    """The first use of a token counts, whatever a log holds. `known`: it is in the log before."""
    before = core.tokens.get(entry.token) if entry.token else None
    if before or known:
        return state, before[1] if before else b""
    found: tuple[Any, bytes] = core.fixed.machine.apply(state, entry)
    return found


def compact(core: Core) -> None:
    tuning = core.fixed.tuning
    done = core.committed - (core.snapshot.number if core.snapshot else 0)
    heavy = core.log.size > tuning.max_log_bytes and done >= tuning.snapshot_interval_entries // 16
    if done < tuning.snapshot_interval_entries and not heavy:
        return
    core.snapshot = Snapshot(
        core.committed,
        core.log.view_at(core.committed),
        core.fixed.machine.pack(core.state),
        core.tokens.all(),
    )
    core.snapshot_due = True
    keep = 0 if heavy else tuning.snapshot_interval_entries // 2  # For those that lag a little.
    core.log.compact(min(core.committed, max(core.log.base, core.committed - keep)))


def install(core: Core, snapshot: Snapshot, group: str) -> None:
    """A snapshot from another member, or from the folder."""
    if snapshot.number <= core.committed:
        return
    if core.log.view_at(snapshot.number) != snapshot.view:  # What it held above may be of another past.
        core.durable_top = min(core.durable_top, core.committed)
        core.writes = [(ticket, view, min(top, core.committed)) for ticket, view, top in core.writes]
        if core.written_top > snapshot.number:
            core.cut = min(core.cut or snapshot.number + 1, snapshot.number + 1)
            core.written_top = snapshot.number
    core.log.restart(snapshot.number, snapshot.view)
    core.snapshot, core.snapshot_due = snapshot, True
    core.committed, core.group = snapshot.number, group
    core.state = core.fixed.machine.unpack(snapshot.state)
    core.tokens = Tokens(core.fixed.tuning.max_tokens, snapshot.answers)
    core.sure = max(core.sure, snapshot.number)
    core.out.append(Restored(snapshot.number, core.state))


def piece(core: Core, offset: int) -> tuple[int, bytes]:
    """Bytes of the packed snapshot in all, and those from there on that go in one message."""
    assert core.snapshot is not None
    if core.serving[0] != core.snapshot.number:
        core.serving = core.snapshot.number, msgspec.msgpack.encode(core.snapshot)
    data, end = core.serving[1], offset + core.fixed.tuning.max_chunk_bytes
    if end >= len(data):
        core.serving = 0, b""
    return len(data), data[offset:end]

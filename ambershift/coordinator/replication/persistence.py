"""Writes to the member's folder, and messages that wait until these are synced."""

from __future__ import annotations

from ambershift.coordinator.replication.core import Core
from ambershift.coordinator.replication.types import Effect, Status, Write


def finish_call(core: Core) -> list[Effect]:
    """The effects of one call: the write first, then the rest.

    Messages that acknowledge something are held back until the write that contains it is synced.
    """
    takes_part = core.status not in (Status.BLANK, Status.HALTED)
    must_write = core.options.disk and takes_part and has_unwritten_changes(core)
    if must_write and len(core.unsynced_writes) < core.options.tuning.max_writes_in_flight:
        core.effects.insert(0, make_write(core))
        must_write = False
    # With too many writes in flight, the changes go with the next one.
    ticket = core.last_ticket + 1 if must_write else core.last_ticket
    for to, message in core.messages_after_sync:
        if core.options.disk and ticket > core.synced_ticket:
            # A newer message of the same type replaces the one that waits.
            core.messages_awaiting_sync = [
                waiting
                for waiting in core.messages_awaiting_sync
                if waiting[1] != to or type(waiting[2]) is not type(message)
            ]
            core.messages_awaiting_sync.append((ticket, to, message))
        else:
            core.send(to, message)
    core.messages_after_sync = []
    effects, core.effects = core.effects, []
    return effects


def has_unwritten_changes(core: Core) -> bool:
    """Whether the folder, with all writes made so far, differs from what it should hold."""
    return bool(
        core.last_written != (core.view, core.group)
        or core.written_number != core.log.last_number
        or core.truncate_disk_from
        or core.snapshot_due
    )


def make_write(core: Core) -> Write:
    """A write of everything that the folder lacks."""
    core.last_ticket += 1
    snapshot = core.snapshot if core.snapshot_due or core.truncate_disk_from == 1 else None
    written_number = max(core.written_number, snapshot.number if snapshot else 0)
    assert written_number >= core.log.base
    entries = tuple(core.log.entries[written_number - core.log.base :])
    write = Write(
        core.last_ticket,
        core.group,
        core.incarnation,
        core.view,
        core.log.last_view,
        core.committed,
        entries,
        core.truncate_disk_from,
        snapshot,
    )
    core.unsynced_writes.append((core.last_ticket, core.view, core.log.last_number))
    core.last_written, core.written_number = (core.view, core.group), core.log.last_number
    core.truncate_disk_from, core.snapshot_due = 0, False
    return write


def on_synced(core: Core, ticket: int) -> None:
    """The writes up to a ticket are on the disk: send what waited for them."""
    assert core.synced_ticket <= ticket <= core.last_ticket, (core.synced_ticket, ticket, core.last_ticket)
    core.synced_ticket = ticket
    for written, view, last_number in core.unsynced_writes:
        if written <= ticket:
            core.durable_view, core.durable_number = view, last_number
    core.unsynced_writes = [write for write in core.unsynced_writes if write[0] > ticket]
    ready = [waiting for waiting in core.messages_awaiting_sync if waiting[0] <= ticket]
    core.messages_awaiting_sync = [waiting for waiting in core.messages_awaiting_sync if waiting[0] > ticket]
    for _, to, message in ready:
        core.send(to, message)

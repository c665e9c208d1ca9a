"""What goes to the disk, and what waits until it is there."""

from __future__ import annotations

from ambershift.coordinator.replication.core import Core
from ambershift.coordinator.replication.types import Effect, Status, Write


def finish(core: Core) -> list[Effect]:
    """The effects of one call: what the disk needs first, then the rest; what vouches waits for it."""
    needs = core.fixed.disk and core.status not in (Status.BLANK, Status.HALTED) and dirty(core)
    if needs and len(core.writes) < core.fixed.tuning.max_writes_in_flight:
        core.out.insert(0, write(core))
        needs = False
    ticket = core.ticket + 1 if needs else core.ticket  # What the disk has no room for goes with the next.
    for to, message in core.vouching:
        if core.fixed.disk and ticket > core.synced:
            core.held = [one for one in core.held if one[1] != to or type(one[2]) is not type(message)]
            core.held.append((ticket, to, message))
        else:
            core.send(to, message)
    core.vouching = []
    out, core.out = core.out, []
    return out


def dirty(core: Core) -> bool:
    return bool(
        core.written != (core.view, core.group)
        or core.written_top != core.log.top
        or core.cut
        or core.snapshot_due
    )


def write(core: Core) -> Write:
    core.ticket += 1
    snapshot = core.snapshot if core.snapshot_due or core.cut == 1 else None
    first = max(core.written_top, snapshot.number if snapshot else 0)
    assert first >= core.log.base
    entries = tuple(core.log.entries[first - core.log.base :])
    write = Write(
        core.ticket,
        core.group,
        core.incarnation,
        core.view,
        core.log.last,
        core.committed,
        entries,
        core.cut,
        snapshot,
    )
    core.writes.append((core.ticket, core.view, core.log.top))
    core.written, core.written_top = (core.view, core.group), core.log.top
    core.cut, core.snapshot_due = 0, False
    return write


def on_synced(core: Core, ticket: int) -> None:
    assert core.synced <= ticket <= core.ticket, (core.synced, ticket, core.ticket)
    core.synced = ticket
    for number, view, top in core.writes:
        if number <= ticket:
            core.durable_view, core.durable_top = view, top
    core.writes = [one for one in core.writes if one[0] > ticket]
    ready = [one for one in core.held if one[0] <= ticket]
    core.held = [one for one in core.held if one[0] > ticket]
    for _, to, message in ready:
        core.send(to, message)

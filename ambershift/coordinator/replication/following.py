"""Following a leader: beats, entries, and taking over what is missing, in pieces."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.replication.applying import append, commit_to, install, piece
from ambershift.coordinator.replication.bootstrap import recovered, start_again, strange
from ambershift.coordinator.replication.core import Core, Fetching
from ambershift.coordinator.replication.leading import answer_older, start_leading
from ambershift.coordinator.replication.messages import GetState, Heartbeat, Prepare, PrepareOk, StateChunk
from ambershift.coordinator.replication.peers import learn_rows
from ambershift.coordinator.replication.types import Entry, Snapshot, Status
from ambershift.coordinator.replication.view_change import follow


def from_leader(core: Core, now: int, sender: str, message: Heartbeat | Prepare) -> bool:
    """Whether this is from the leader of my view, to which I may just have come.

    A view has one leader in one life, but for the first, in which a group may be born again that had not yet
    begun: a copy may have heard the life that ended.
    """
    view, group = message.view, message.group
    if sender != core.leader_of(view):
        return False
    if group and core.group and group != core.group:
        strange(core, sender, "group")
        return False
    if core.status is Status.BLANK and core.fixed.votes:
        return False
    if view < core.view:
        answer_older(core, sender)
        return False
    if view > core.view or core.status is not Status.NORMAL or core.led_by not in (0, message.incarnation):
        follow(core, now, view)
    core.led_by = message.incarnation
    core.leader_heard = now
    return True


def on_beat(core: Core, now: int, sender: str, message: Heartbeat) -> None:
    if message.voters != core.fixed.voters:
        strange(core, sender, "voters")
        return
    if not from_leader(core, now, sender, message):
        return
    learn_rows(core, message.rows)
    if core.status is not Status.NORMAL:
        return
    commit_to(core, message.committed)
    have(core, message.round)
    if core.sure < message.top:
        fetch(core, now, sender)


def on_prepare(core: Core, now: int, sender: str, message: Prepare) -> None:
    if not from_leader(core, now, sender, message):
        return
    if not in_order(message.after, message.entries):
        core.note("group-unfit", member=sender)
        return
    if message.after <= core.sure or core.log.view_at(message.after) == message.after_view:
        if not append(core, message.entries):
            return
        core.sure = max(core.sure, message.after + len(message.entries))
        commit_to(core, message.committed)
        if not core.fixed.disk:  # Else once it is synced.
            have(core, 0)
    else:
        fetch(core, now, sender)


def in_order(after: int, entries: tuple[Entry, ...]) -> bool:
    views = [entry.view for entry in entries]
    return views == sorted(views) and all(entry.number == after + 1 + at for at, entry in enumerate(entries))


def have(core: Core, round_: int) -> None:
    """Vouch for what is on the disk; what is not yet is vouched for once it is."""
    number = core.vouched
    if number >= 0 and core.status is Status.NORMAL and not core.leading:
        core.send(
            core.leader,
            PrepareOk(
                incarnation=core.incarnation,
                view=core.view,
                round=round_,
                number=number,
                committed=core.committed,
                status=core.status.value,
            ),
        )


def fetch(core: Core, now: int, source: str) -> None:
    if core.fetching is None:
        core.fetching = Fetching(source, core.view, "follow", 0, 0, 0, b"")
        keep_fetching(core, now)


def keep_fetching(core: Core, now: int) -> None:
    """Ask for the next piece, or once more for one that has not come."""
    task = core.fetching
    if task is None or (task.at and now < task.at + core.fixed.tuning.transfer_retry_ns):
        return
    if task.then == "recover" and task.at:
        start_again(core)  # Each time anew: its leader may be gone.
        return
    core.fetching = task._replace(at=now)
    after = core.sure
    core.send(
        task.source,
        GetState(
            incarnation=core.incarnation,
            view=task.view,
            after=after,
            snapshot=task.snapshot,
            offset=len(task.data),
        ),
    )


def on_fetch(core: Core, now: int, sender: str, message: GetState) -> None:
    """Only the leader's log is the view's, and that of a voter for a view that has not begun."""
    if message.view != core.view or not (core.leading or core.status is Status.VIEW_CHANGE):
        return
    after, tuning = message.after, core.fixed.tuning
    if after >= core.log.base:
        entries = core.log.after(after, tuning.max_chunk_bytes) if after < core.log.top else ()
        core.send(
            sender,
            StateChunk(
                incarnation=core.incarnation,
                view=core.view,
                group=core.told_group,
                after=after,
                entries=entries,
                top=core.log.top,
                committed=core.committed,
                snapshot=0,
                offset=0,
                total=0,
                data=b"",
            ),
        )
        return
    assert core.snapshot is not None
    offset = message.offset if message.snapshot == core.snapshot.number else 0
    total, data = piece(core, offset)
    core.send(
        sender,
        StateChunk(
            incarnation=core.incarnation,
            view=core.view,
            group=core.told_group,
            after=after,
            entries=(),
            top=core.log.top,
            committed=core.committed,
            snapshot=core.snapshot.number,
            offset=offset,
            total=total,
            data=data,
        ),
    )


def on_chunk(core: Core, now: int, sender: str, message: StateChunk) -> None:
    task = core.fetching
    if task is None or sender != task.source or message.view != task.view:
        return
    if message.snapshot:
        if not take_piece(core, message):
            return
    elif message.after <= core.sure and in_order(message.after, message.entries):
        if not append(core, message.entries):
            return
        core.sure = max(core.sure, message.after + len(message.entries))
    else:
        return
    assert core.fetching is not None
    core.fetching = core.fetching._replace(at=0)
    if task.then == "follow":
        commit_to(core, message.committed)
        have(core, 0)
    if core.sure < (task.target or message.top):
        keep_fetching(core, now)
        return
    core.fetching = None
    if task.then == "recover":
        recovered(core, now, task.view)
        commit_to(core, message.committed)
        have(core, 0)
    elif task.then == "lead":
        start_leading(core, now)


def take_piece(core: Core, message: StateChunk) -> bool:
    """A piece of a snapshot. Pieces of another than the one begun start it anew."""
    task = core.fetching
    assert task is not None
    data = task.data if message.snapshot == task.snapshot else b""
    if message.offset != len(data) or message.total > core.fixed.tuning.max_snapshot_bytes:
        return False
    data += message.data
    core.fetching = task._replace(snapshot=message.snapshot, data=data)
    if len(data) < message.total:
        return True
    core.fetching = core.fetching._replace(snapshot=0, data=b"")
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        core.note("group-unfit", member=task.source)
        return False
    install(core, snapshot, message.group)
    return True

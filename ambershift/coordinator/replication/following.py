"""Followers: heartbeats and entries of the leader, and transfer of the state that a log lacks."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.replication.applying import (
    append_entries,
    commit_up_to,
    install_snapshot,
    snapshot_chunk,
)
from ambershift.coordinator.replication.bootstrap import (
    finish_recovery,
    reject_foreign_member,
    restart_recovery,
)
from ambershift.coordinator.replication.core import Core, StateTransfer
from ambershift.coordinator.replication.leading import send_newer_view, start_leading
from ambershift.coordinator.replication.messages import GetState, Heartbeat, Prepare, PrepareOk, StateChunk
from ambershift.coordinator.replication.peers import learn_progress
from ambershift.coordinator.replication.types import Entry, Snapshot, Status
from ambershift.coordinator.replication.view_change import follow_leader


def follow_sender(core: Core, now: int, sender: str, message: Heartbeat | Prepare) -> bool:
    """Whether a message is from the leader of this member's view, which it may just have entered.

    A view has one leader in one incarnation, except for the first: a group without a first entry may be
    formed anew, and a learner may have heard the leader of the one before.
    """
    view, group = message.view, message.group
    if sender != core.leader_of(view):
        return False
    if group and core.group and group != core.group:
        reject_foreign_member(core, sender, "group")
        return False
    if core.status is Status.BLANK and core.options.is_voter:
        return False
    if view < core.view:
        send_newer_view(core, sender)
        return False
    if (
        view > core.view
        or core.status is not Status.NORMAL
        or core.leader_incarnation not in (0, message.incarnation)
    ):
        follow_leader(core, now, view)
    core.leader_incarnation = message.incarnation
    core.leader_last_heard = now
    return True


def on_heartbeat(core: Core, now: int, sender: str, message: Heartbeat) -> None:
    """Follow the leader, commit what it has committed, and acknowledge."""
    if message.voters != core.options.voters:
        reject_foreign_member(core, sender, "voters")
        return
    if not follow_sender(core, now, sender, message):
        return
    learn_progress(core, message.progress)
    if core.status is not Status.NORMAL:
        return
    commit_up_to(core, message.committed)
    acknowledge(core, message.round)
    if core.matched_number < message.last_number:
        start_transfer(core, now, sender)


def on_prepare(core: Core, now: int, sender: str, message: Prepare) -> None:
    """Append the leader's entries, or request the missing ones before them."""
    if not follow_sender(core, now, sender, message):
        return
    if not is_contiguous(message.previous_number, message.entries):
        core.note("group-unfit", member=sender)
        return
    if (
        message.previous_number <= core.matched_number
        or core.log.view_at(message.previous_number) == message.previous_view
    ):
        if not append_entries(core, message.entries):
            return
        core.matched_number = max(core.matched_number, message.previous_number + len(message.entries))
        commit_up_to(core, message.committed)
        if not core.options.disk:  # With a disk, once the write is synced.
            acknowledge(core, 0)
    else:
        start_transfer(core, now, sender)


def is_contiguous(after: int, entries: tuple[Entry, ...]) -> bool:
    """Whether entries follow the number `after` without a gap, and their views never decrease."""
    views = [entry.view for entry in entries]
    numbers = [entry.number for entry in entries]
    return views == sorted(views) and numbers == list(range(after + 1, after + 1 + len(entries)))


def acknowledge(core: Core, round_: int) -> None:
    """Acknowledge to the leader what is durable; the rest is acknowledged once it is synced."""
    number = core.acknowledgeable_number
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


def start_transfer(core: Core, now: int, source: str) -> None:
    """Request the leader's log after the part that is known to be equal."""
    if core.transfer is None:
        core.transfer = StateTransfer(source, core.view, "follow", 0, 0, 0, b"")
        continue_transfer(core, now)


def continue_transfer(core: Core, now: int) -> None:
    """Request the next chunk, or once more one that has not come in time."""
    transfer = core.transfer
    if transfer is None:
        return
    if transfer.requested_at and now < transfer.requested_at + core.options.tuning.transfer_retry_ns:
        return
    if transfer.purpose == "recover" and transfer.requested_at:
        restart_recovery(core)  # The leader that it recovers from may be gone.
        return
    core.transfer = transfer._replace(requested_at=now)
    core.send(
        transfer.source,
        GetState(
            incarnation=core.incarnation,
            view=transfer.view,
            after=core.matched_number,
            snapshot=transfer.snapshot_number,
            offset=len(transfer.data),
        ),
    )


def on_get_state(core: Core, now: int, sender: str, message: GetState) -> None:
    """Send entries or a part of the snapshot.

    The leader does, whose log is the view's; and, while the view has not begun, a voter, as the next leader
    may have to take its log.
    """
    if message.view != core.view or not (core.leading or core.status is Status.VIEW_CHANGE):
        return
    after = message.after
    if after >= core.log.base:
        entries = tuple[Entry, ...]()
        if after < core.log.last_number:
            entries = core.log.entries_after(after, core.options.tuning.max_chunk_bytes)
        core.send(
            sender,
            StateChunk(
                incarnation=core.incarnation,
                view=core.view,
                group=core.known_group,
                after=after,
                entries=entries,
                last_number=core.log.last_number,
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
    total, data = snapshot_chunk(core, offset)
    core.send(
        sender,
        StateChunk(
            incarnation=core.incarnation,
            view=core.view,
            group=core.known_group,
            after=after,
            entries=(),
            last_number=core.log.last_number,
            committed=core.committed,
            snapshot=core.snapshot.number,
            offset=offset,
            total=total,
            data=data,
        ),
    )


def on_state_chunk(core: Core, now: int, sender: str, message: StateChunk) -> None:
    """Take over entries or a part of a snapshot; end the transfer, or request the next chunk."""
    transfer = core.transfer
    if transfer is None or sender != transfer.source or message.view != transfer.view:
        return
    if message.snapshot:
        if not take_snapshot_chunk(core, message):
            return
    elif message.after <= core.matched_number and is_contiguous(message.after, message.entries):
        if not append_entries(core, message.entries):
            return
        core.matched_number = max(core.matched_number, message.after + len(message.entries))
    else:
        return
    assert core.transfer is not None
    core.transfer = core.transfer._replace(requested_at=0)
    if transfer.purpose == "follow":
        commit_up_to(core, message.committed)
        acknowledge(core, 0)
    if core.matched_number < (transfer.target_number or message.last_number):
        continue_transfer(core, now)
        return
    core.transfer = None
    if transfer.purpose == "recover":
        finish_recovery(core, now, transfer.view)
        commit_up_to(core, message.committed)
        acknowledge(core, 0)
    elif transfer.purpose == "lead":
        start_leading(core, now)


def take_snapshot_chunk(core: Core, message: StateChunk) -> bool:
    """Take over a part of a snapshot; a part of another snapshot discards the parts of the one before.

    Returns:
        False where the part does not follow those that this member has, or the snapshot can't be decoded.
    """
    transfer = core.transfer
    assert transfer is not None
    data = transfer.data if message.snapshot == transfer.snapshot_number else b""
    if message.offset != len(data) or message.total > core.options.tuning.max_snapshot_bytes:
        return False
    data += message.data
    core.transfer = transfer._replace(snapshot_number=message.snapshot, data=data)
    if len(data) < message.total:
        return True
    core.transfer = core.transfer._replace(snapshot_number=0, data=b"")
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        core.note("group-unfit", member=transfer.source)
        return False
    install_snapshot(core, snapshot, message.group)
    return True

"""What a member knows of all members: their incarnations, and the most that each has acknowledged."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.replication.core import NEVER, Core
from ambershift.coordinator.replication.messages import Incarnations, MemberProgress
from ambershift.coordinator.replication.types import Reason, Status


def own_progress(core: Core) -> MemberProgress:
    """What this member acknowledges, as others may rely on it."""
    number = max(0, core.acknowledgeable_number)
    view = core.durable_view if core.options.disk else core.view
    return MemberProgress(
        core.options.me,
        core.incarnation,
        max(0, view),
        max(0, core.log.view_at(number)),
        number,
        core.committed,
        core.status.value,
    )


def all_progress(core: Core) -> tuple[MemberProgress, ...]:
    """The progress of this member and of all that it knows of, by name."""
    core.progress[core.options.me] = own_progress(core)
    return tuple(core.progress[name] for name in sorted(core.progress))


def learn_progress(core: Core, progress: tuple[MemberProgress, ...]) -> None:
    """Take over newer progress of other members; check this member's own against it."""
    for row in progress:
        if row.name == core.options.me:
            check_own_identity(core, row)
            continue
        if row.name in core.options.members:
            learn_member_progress(core, row)
            learn_incarnation(core, row.name, row.incarnation)


def learn_member_progress(core: Core, row: MemberProgress) -> None:
    """Keep the most that a member has acknowledged.

    That never decreases, across its restarts too, unless its folder is an old one: so the most is kept until
    the member has acknowledged as much again.
    """
    known = core.progress.get(row.name)
    if known is None or (
        row.view >= known.view
        and (row.last_entry_view, row.number) >= (known.last_entry_view, known.number)
        and row.incarnation >= known.incarnation
    ):
        core.progress[row.name] = row


def check_own_identity(core: Core, row: MemberProgress) -> None:
    """Halt on an old folder, or where another process runs as this member, as others have seen it."""
    if not core.options.is_voter:
        return
    if row.incarnation < core.incarnation:
        # An old folder that has caught up with the leader is not set aside: that would gain nothing, and
        # another voter may have lost its state meanwhile, which would leave too few to recover from.
        held = core.log.view_at(core.matched_number), core.matched_number
        acknowledged = row.last_entry_view, row.number
        if core.status is Status.NORMAL and core.view >= row.view and held >= acknowledged:
            core.restored_position = None
        restored = core.restored_position
        if restored and (row.view > restored[0] or acknowledged > restored[1:]):
            core.halt(
                Reason.OLD_FOLDER,
                f"entry {row.number} was acknowledged in view {row.view}, "
                f"the folder ends at entry {restored[2]} of view {restored[0]}",
            )
    elif row.incarnation > core.incarnation:
        core.halt(
            Reason.SUPERSEDED,
            f"incarnation {row.incarnation} of this member is running, this is {core.incarnation}",
        )
    elif row.view > core.view or (row.view == core.view and row.number > core.log.last_number):
        core.halt(
            Reason.CLONED,
            f"another process of incarnation {row.incarnation} acknowledged entry {row.number} "
            f"of view {row.view}",
        )


def learn_incarnation(core: Core, name: str, incarnation: int) -> bool:
    """Take over a newer incarnation of a member, and discard what its earlier ones said.

    Returns:
        False where a newer incarnation is known: what this one says no longer counts.
    """
    known = core.incarnations.get(name, 0)
    if name == core.options.me:
        if incarnation > known:
            core.halt(
                Reason.SUPERSEDED, f"incarnation {incarnation} of this member is running, this is {known}"
            )
        return True
    if incarnation > known and name in core.options.members:
        core.incarnations[name] = incarnation
        if core.transfer is not None and core.transfer.source == name:
            core.transfer = None
        if name == core.leader and core.status is Status.NORMAL:
            core.leader_last_heard = -NEVER  # A restarted leader no longer leads this view.
        statements: tuple[dict[str, Any], ...] = (
            core.acknowledged,
            core.acknowledged_rounds,
            core.view_change_joiners,
            core.view_change_votes,
            core.suspicion_votes,
            core.recovery_responses,
            core.accepted_attempts,
        )
        for by_member in statements:
            by_member.pop(name, None)
    return incarnation >= known


def learn_incarnations(core: Core, incarnations: Incarnations) -> None:
    """Take over each incarnation that is newer."""
    for name, incarnation in incarnations:
        learn_incarnation(core, name, incarnation)


def known_incarnations(core: Core) -> Incarnations:
    """The newest incarnation known of each member, by name."""
    return tuple(sorted(core.incarnations.items()))

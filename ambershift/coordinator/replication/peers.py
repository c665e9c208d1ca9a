"""What a member knows of the others and of itself: lives, and the most that each has vouched for."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.replication.core import NEVER, Core
from ambershift.coordinator.replication.messages import Incarnations, MemberProgress
from ambershift.coordinator.replication.types import Reason, Status


def own_row(core: Core) -> MemberProgress:
    number = max(0, core.vouched)
    view = core.durable_view if core.fixed.disk else core.view
    return MemberProgress(
        core.fixed.me,
        core.incarnation,
        max(0, view),
        max(0, core.log.view_at(number)),
        number,
        core.committed,
        core.status.value,
    )


def all_rows(core: Core) -> tuple[MemberProgress, ...]:
    core.rows[core.fixed.me] = own_row(core)
    return tuple(core.rows[name] for name in sorted(core.rows))


def learn_rows(core: Core, rows: tuple[MemberProgress, ...]) -> None:
    """Keep what is newest of each; find out about myself."""
    for row in rows:
        if row.name == core.fixed.me:
            judge_myself(core, row)
            continue
        if row.name in core.fixed.members:
            learn_row(core, row)
            learn_life(core, row.name, row.incarnation)


def learn_row(core: Core, row: MemberProgress) -> None:
    """What a member vouches for never shrinks, over its starts too, unless its folder is behind: so the
    most is kept, until it vouches for as much again.
    """
    old = core.rows.get(row.name)
    if old is None or (
        row.view >= old.view
        and (row.last, row.number) >= (old.last, old.number)
        and row.incarnation >= old.incarnation
    ):
        core.rows[row.name] = row


def judge_myself(core: Core, row: MemberProgress) -> None:
    if not core.fixed.votes:
        return
    if row.incarnation < core.incarnation:
        # One that has all of it again by now, from the leader, would be set aside for nothing: and another
        # voter may have lost its memory meanwhile, so that nobody were left to recover from.
        has = core.log.view_at(core.sure), core.sure
        if core.status is Status.NORMAL and core.view >= row.view and has >= (row.last, row.number):
            core.behind = None
        if core.behind and (row.view > core.behind[0] or (row.last, row.number) > core.behind[1:]):
            core.halt(
                Reason.OLD_FOLDER,
                f"vouched for {row.number} of view {row.view}, the folder has "
                f"{core.behind[2]} of view {core.behind[0]}",
            )
    elif row.incarnation > core.incarnation:
        core.halt(Reason.SUPERSEDED, f"incarnation {row.incarnation} lives, this is {core.incarnation}")
    elif row.view > core.view or (row.view == core.view and row.number > core.log.top):
        core.halt(Reason.CLONED, f"incarnation {row.incarnation} vouched for {row.number} of {row.view}")


def learn_life(core: Core, name: str, incarnation: int) -> bool:
    """False where it is older than one known of: what it says counts no more."""
    known = core.lives.get(name, 0)
    if name == core.fixed.me:
        if incarnation > known:
            core.halt(Reason.SUPERSEDED, f"incarnation {incarnation} lives, this is {known}")
        return True
    if incarnation > known and name in core.fixed.members:
        core.lives[name] = incarnation
        if core.fetching is not None and core.fetching.source == name:
            core.fetching = None
        if name == core.leader and core.status is Status.NORMAL:
            core.leader_heard = -NEVER  # Whoever led this view doesn't any more.
        said: tuple[dict[str, Any], ...] = (
            core.have,
            core.rounds,
            core.leavers,
            core.votes,
            core.agreed,
            core.told,
            core.attempts,
        )
        for held in said:
            held.pop(name, None)
    return incarnation >= known


def learn_lives(core: Core, lives: Incarnations) -> None:
    for name, incarnation in lives:
        learn_life(core, name, incarnation)


def all_lives(core: Core) -> Incarnations:
    return tuple(sorted(core.lives.items()))

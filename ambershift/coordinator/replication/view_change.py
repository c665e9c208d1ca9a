"""Changes of view: suspecting the leader, leaving with a majority, and the vote for the next."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import void
from ambershift.coordinator.replication.core import Core, Fetching
from ambershift.coordinator.replication.leading import start_leading
from ambershift.coordinator.replication.messages import (
    DoViewChange,
    NewerView,
    StartViewChange,
    SuspectRequest,
    SuspectResponse,
)
from ambershift.coordinator.replication.peers import all_lives, all_rows, learn_lives, learn_rows
from ambershift.coordinator.replication.types import Status

AT_WORK = (Status.NORMAL, Status.VIEW_CHANGE)


def new_patience(core: Core) -> None:
    core.patience = core.fixed.tuning.leader_timeout_ns + core.draw(
        core.fixed.tuning.leader_timeout_jitter_ns
    )


def suspect_from(core: Core) -> int:
    """When patience ends."""
    if core.status is Status.VIEW_CHANGE:
        return core.change_at
    if core.doubt:
        return 0
    return core.leader_heard + core.patience


def look(core: Core, now: int) -> None:
    """Ask the others where the leader is not heard; say again that I leave."""
    if not core.fixed.votes or core.status not in AT_WORK or (core.leading and not core.doubt):
        return
    if core.status is Status.VIEW_CHANGE and now >= core.again_at:
        core.again_at = now + core.fixed.tuning.request_interval_ns
        tell_leaving(core)
    if now < suspect_from(core) or now < core.suspect_at:
        return
    core.suspect_at = now + core.fixed.tuning.request_interval_ns
    core.round += 1
    core.suspecting = True
    core.agreed = {core.fixed.me: core.round}
    rows = all_rows(core)
    for name in core.fixed.voters:
        if name != core.fixed.me:
            core.send(
                name,
                SuspectRequest(incarnation=core.incarnation, view=core.view, round=core.round, rows=rows),
            )
    count_agreed(core, now)


def hears_no_leader(core: Core, now: int) -> bool:
    if core.status is Status.VIEW_CHANGE or core.doubt:
        return True
    return not core.leading and now - core.leader_heard >= core.fixed.tuning.suspicion_delay_ns


def on_suspect(core: Core, now: int, sender: str, message: SuspectRequest) -> None:
    if core.status not in AT_WORK or not core.fixed.votes:
        return
    agree = core.view == message.view and hears_no_leader(core, now)
    learn_rows(core, message.rows)
    if core.status not in AT_WORK:
        return
    join(core, now, message.view)
    core.send(
        sender,
        SuspectResponse(
            incarnation=core.incarnation,
            view=core.view,
            asked=message.view,
            round=message.round,
            agree=agree,
            rows=all_rows(core),
        ),
    )


def on_suspected(core: Core, now: int, sender: str, message: SuspectResponse) -> None:
    learn_rows(core, message.rows)
    if core.status not in AT_WORK or not core.suspecting:
        return
    join(core, now, message.view)
    if message.asked == core.view and message.round == core.round and message.agree:
        core.agreed[sender] = message.round
        count_agreed(core, now)


def count_agreed(core: Core, now: int) -> None:
    agreed = [
        name for name, asked in core.agreed.items() if asked == core.round and name in core.fixed.voters
    ]
    if core.suspecting and len(agreed) >= core.fixed.majority:
        leave_for(core, now, next_view(core, now, core.view + 1))


def next_view(core: Core, now: int, first: int) -> int:
    """The smallest from `first` on whose leader was heard lately."""
    for view in range(first, first + len(core.fixed.voters)):
        name = core.leader_of(view)
        if (
            name == core.fixed.me
            or now - core.heard.get(name, -1 << 62) <= core.fixed.tuning.leader_timeout_ns
        ):
            return view
    return first


def leave_for(core: Core, now: int, view: int) -> None:
    """From here on nothing of an earlier view is accepted."""
    assert view > core.view
    assert core.fixed.votes
    enter(core, now, view)
    core.status = Status.VIEW_CHANGE
    core.change_at = (
        now + core.fixed.tuning.view_change_timeout_ns + core.draw(core.fixed.tuning.leader_timeout_jitter_ns)
    )
    core.again_at = now + core.fixed.tuning.request_interval_ns
    core.note("group-leaves", view=view, leader=core.leader)
    tell_leaving(core)
    count_leavers(core, now)


def enter(core: Core, now: int, view: int) -> None:
    """What belonged to the view before is void."""
    core.view = view
    core.sure = core.committed
    core.suspecting, core.doubt, core.voted = False, False, False
    core.agreed, core.leavers, core.votes = {}, {}, {}
    core.fetching, core.led_by = None, 0
    core.have, core.rounds, core.attempts, core.open = {}, {}, {}, {}
    core.waiters, core.readers, core.batches, core.ahead = {}, [], [], []
    core.suspect_at = 0
    new_patience(core)


def tell_leaving(core: Core) -> None:
    message = StartViewChange(
        incarnation=core.incarnation, view=core.view, lives=all_lives(core), rows=all_rows(core)
    )
    for name in core.fixed.voters:
        if name != core.fixed.me:
            core.vouch(name, message)
    if core.voted and core.leader != core.fixed.me:
        vote(core)


def on_leave(core: Core, now: int, sender: str, message: StartViewChange) -> None:
    if core.status not in AT_WORK or not core.fixed.votes:
        return
    learn_lives(core, message.lives)
    learn_rows(core, message.rows)
    if core.status not in AT_WORK:
        return
    join(core, now, message.view)
    if message.view < core.view:
        core.send(sender, NewerView(incarnation=core.incarnation, view=core.view))
    elif core.status is Status.VIEW_CHANGE:
        core.leavers[sender] = message.incarnation
        count_leavers(core, now)


def current(core: Core, names: dict[str, int]) -> list[str]:
    return [
        name
        for name, incarnation in names.items()
        if incarnation == core.lives.get(name) and name in core.fixed.voters
    ]


def count_leavers(core: Core, now: int) -> None:
    """A vote is given once a majority is known to have left: it then can't be forgotten by all of them."""
    durable = not core.fixed.disk or core.durable_view == core.view
    if core.status is not Status.VIEW_CHANGE or core.voted or not durable:
        return
    core.leavers[core.fixed.me] = core.incarnation
    if len(current(core, core.leavers)) < core.fixed.majority:
        return
    core.voted = True
    if core.leader == core.fixed.me:
        core.votes[core.fixed.me] = core.incarnation, core.log.last, core.log.top
        count_votes(core, now)
    else:
        vote(core)


def vote(core: Core) -> None:
    core.vouch(
        core.leader,
        DoViewChange(
            incarnation=core.incarnation,
            view=core.view,
            last=core.log.last,
            number=core.log.top,
            committed=core.committed,
            lives=all_lives(core),
            rows=all_rows(core),
        ),
    )


def on_vote(core: Core, now: int, sender: str, message: DoViewChange) -> None:
    if core.status not in AT_WORK or not core.fixed.votes or message.view < core.view:
        return
    learn_lives(core, message.lives)
    learn_rows(core, message.rows)
    if core.status not in AT_WORK:
        return
    join(core, now, message.view)
    if (
        core.view == message.view
        and core.status is Status.VIEW_CHANGE
        and core.leader == core.fixed.me
        and core.fetching is None
    ):
        core.votes[sender] = message.incarnation, message.last, message.number
        count_votes(core, now)


def count_votes(core: Core, now: int) -> None:
    """The newest log of a majority is the new view's."""
    counted = current(core, {name: held[0] for name, held in core.votes.items()})
    if len(counted) < core.fixed.majority or core.fixed.me not in counted or core.fetching is not None:
        return
    mine = core.log.last, core.log.top
    best = max(counted, key=lambda name: (core.votes[name][1:], name == core.fixed.me))
    if core.votes[best][1:] > mine:
        core.fetching = Fetching(best, core.view, "lead", core.votes[best][2], 0, 0, b"")
    else:
        start_leading(core, now)


def on_newer(core: Core, now: int, sender: str, message: NewerView) -> None:
    if core.status in AT_WORK and core.fixed.votes:
        join(core, now, message.view)


def join(core: Core, now: int, view: int) -> None:
    """Someone has left for this view with a majority's word, and can't come back to mine."""
    if view > core.view:
        leave_for(core, now, next_view(core, now, view) if core.leading else view)


def follow(core: Core, now: int, view: int) -> None:
    """The leader of this view is at work."""
    enter(core, now, view)
    core.status = Status.NORMAL
    core.leader_heard = now
    if not core.fixed.votes and core.log.top > core.committed:
        void(core, core.committed + 1)  # It vouches for none of this, and gets it anew.
    core.note("group-follows", view=view, leader=core.leader)

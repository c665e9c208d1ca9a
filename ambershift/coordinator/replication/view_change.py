"""View changes: suspecting the leader, leaving the view with a majority, electing the next leader."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import truncate_log
from ambershift.coordinator.replication.core import NEVER, Core, StateTransfer
from ambershift.coordinator.replication.leading import start_leading
from ambershift.coordinator.replication.messages import (
    DoViewChange,
    NewerView,
    StartViewChange,
    SuspectRequest,
    SuspectResponse,
)
from ambershift.coordinator.replication.peers import (
    all_progress,
    known_incarnations,
    learn_incarnations,
    learn_progress,
)
from ambershift.coordinator.replication.types import Status

ACTIVE = (Status.NORMAL, Status.VIEW_CHANGE)  # In which a voter takes part in view changes.


def draw_leader_timeout(core: Core) -> None:
    """Draw how long this member waits for the leader before it suspects it."""
    jitter = core.random_below(core.options.tuning.leader_timeout_jitter_ns)
    core.leader_timeout = core.options.tuning.leader_timeout_ns + jitter


def suspicion_time(core: Core) -> int:
    """When this member begins to suspect the leader of its view."""
    if core.status is Status.VIEW_CHANGE:
        return core.view_change_deadline
    if core.lost_quorum:
        return 0
    return core.leader_last_heard + core.leader_timeout


def check_leader(core: Core, now: int) -> None:
    """Ask the others whether they hear the leader, where this member does not; resend a view change."""
    if not core.options.is_voter or core.status not in ACTIVE or (core.leading and not core.lost_quorum):
        return
    if core.status is Status.VIEW_CHANGE and now >= core.next_view_change_resend:
        core.next_view_change_resend = now + core.options.tuning.request_interval_ns
        send_start_view_change(core)
    if now < suspicion_time(core) or now < core.next_suspect_request:
        return
    core.next_suspect_request = now + core.options.tuning.request_interval_ns
    core.round += 1
    core.suspecting = True
    core.suspicion_votes = {core.options.me: core.round}
    message = SuspectRequest(
        incarnation=core.incarnation, view=core.view, round=core.round, progress=all_progress(core)
    )
    for name in core.options.voters:
        if name != core.options.me:
            core.send(name, message)
    count_suspicion_votes(core, now)


def hears_no_leader(core: Core, now: int) -> bool:
    """Whether this member agrees that its view's leader is to be replaced."""
    if core.status is Status.VIEW_CHANGE or core.lost_quorum:
        return True
    return not core.leading and now - core.leader_last_heard >= core.options.tuning.suspicion_delay_ns


def on_suspect_request(core: Core, now: int, sender: str, message: SuspectRequest) -> None:
    """Answer whether this member hears the leader."""
    if core.status not in ACTIVE or not core.options.is_voter:
        return
    agree = core.view == message.view and hears_no_leader(core, now)
    learn_progress(core, message.progress)
    if core.status not in ACTIVE:
        return
    join_view_change(core, now, message.view)
    core.send(
        sender,
        SuspectResponse(
            incarnation=core.incarnation,
            view=core.view,
            asked_view=message.view,
            round=message.round,
            agree=agree,
            progress=all_progress(core),
        ),
    )


def on_suspect_response(core: Core, now: int, sender: str, message: SuspectResponse) -> None:
    """Count a member that does not hear the leader either."""
    learn_progress(core, message.progress)
    if core.status not in ACTIVE or not core.suspecting:
        return
    join_view_change(core, now, message.view)
    if message.asked_view == core.view and message.round == core.round and message.agree:
        core.suspicion_votes[sender] = message.round
        count_suspicion_votes(core, now)


def count_suspicion_votes(core: Core, now: int) -> None:
    """Start a view change once a majority does not hear the leader."""
    agreed = [
        name
        for name, round_ in core.suspicion_votes.items()
        if round_ == core.round and name in core.options.voters
    ]
    if core.suspecting and len(agreed) >= core.options.majority:
        start_view_change(core, now, next_reachable_view(core, now, core.view + 1))


def next_reachable_view(core: Core, now: int, first: int) -> int:
    """The lowest view from `first` on whose leader was heard lately; `first` if there is none."""
    for view in range(first, first + len(core.options.voters)):
        name = core.leader_of(view)
        age = now - core.last_heard.get(name, -NEVER)
        if name == core.options.me or age <= core.options.tuning.leader_timeout_ns:
            return view
    return first


def start_view_change(core: Core, now: int, view: int) -> None:
    """Leave for a later view: nothing of an earlier one is accepted from here on."""
    assert view > core.view
    assert core.options.is_voter
    enter_view(core, now, view)
    core.status = Status.VIEW_CHANGE
    jitter = core.random_below(core.options.tuning.leader_timeout_jitter_ns)
    core.view_change_deadline = now + core.options.tuning.view_change_timeout_ns + jitter
    core.next_view_change_resend = now + core.options.tuning.request_interval_ns
    core.note("group-leaves", view=view, leader=core.leader)
    send_start_view_change(core)
    count_view_change_joiners(core, now)


def enter_view(core: Core, now: int, view: int) -> None:
    """Discard all state that belonged to the view before."""
    core.view = view
    core.matched_number = core.committed
    core.suspecting, core.lost_quorum, core.voted = False, False, False
    core.suspicion_votes, core.view_change_joiners, core.view_change_votes = {}, {}, {}
    core.transfer, core.leader_incarnation = None, 0
    core.acknowledged, core.acknowledged_rounds, core.accepted_attempts = {}, {}, {}
    core.uncommitted_tokens, core.speculative_results = {}, []
    core.command_waiters, core.unconfirmed_replies, core.batches_in_flight = {}, [], []
    core.next_suspect_request = 0
    draw_leader_timeout(core)


def send_start_view_change(core: Core) -> None:
    """Tell all other voters that this member has left for its view; repeat its vote if it has given one."""
    message = StartViewChange(
        incarnation=core.incarnation,
        view=core.view,
        incarnations=known_incarnations(core),
        progress=all_progress(core),
    )
    for name in core.options.voters:
        if name != core.options.me:
            core.send_after_sync(name, message)
    if core.voted and core.leader != core.options.me:
        send_do_view_change(core)


def on_start_view_change(core: Core, now: int, sender: str, message: StartViewChange) -> None:
    """Count a member that has left for this view, or follow it to a later one."""
    if core.status not in ACTIVE or not core.options.is_voter:
        return
    learn_incarnations(core, message.incarnations)
    learn_progress(core, message.progress)
    if core.status not in ACTIVE:
        return
    join_view_change(core, now, message.view)
    if message.view < core.view:
        core.send(sender, NewerView(incarnation=core.incarnation, view=core.view))
    elif core.status is Status.VIEW_CHANGE:
        core.view_change_joiners[sender] = message.incarnation
        count_view_change_joiners(core, now)


def current_voters(core: Core, incarnations: dict[str, int]) -> list[str]:
    """The voters among these whose incarnation is the newest known."""
    return [
        name
        for name, incarnation in incarnations.items()
        if incarnation == core.incarnations.get(name) and name in core.options.voters
    ]


def count_view_change_joiners(core: Core, now: int) -> None:
    """Vote once a majority is known to have left for this view: then not all of them can forget it."""
    durable = not core.options.disk or core.durable_view == core.view
    if core.status is not Status.VIEW_CHANGE or core.voted or not durable:
        return
    core.view_change_joiners[core.options.me] = core.incarnation
    if len(current_voters(core, core.view_change_joiners)) < core.options.majority:
        return
    core.voted = True
    if core.leader == core.options.me:
        core.view_change_votes[core.options.me] = core.incarnation, core.log.last_view, core.log.last_number
        count_view_change_votes(core, now)
    else:
        send_do_view_change(core)


def send_do_view_change(core: Core) -> None:
    """Give this member's vote, with the end of its log, to the view's leader."""
    core.send_after_sync(
        core.leader,
        DoViewChange(
            incarnation=core.incarnation,
            view=core.view,
            last_entry_view=core.log.last_view,
            last_number=core.log.last_number,
            committed=core.committed,
            incarnations=known_incarnations(core),
            progress=all_progress(core),
        ),
    )


def on_do_view_change(core: Core, now: int, sender: str, message: DoViewChange) -> None:
    """Count a vote for this member as the view's leader."""
    if core.status not in ACTIVE or not core.options.is_voter or message.view < core.view:
        return
    learn_incarnations(core, message.incarnations)
    learn_progress(core, message.progress)
    if core.status not in ACTIVE:
        return
    join_view_change(core, now, message.view)
    if (
        core.view == message.view
        and core.status is Status.VIEW_CHANGE
        and core.leader == core.options.me
        and core.transfer is None
    ):
        core.view_change_votes[sender] = message.incarnation, message.last_entry_view, message.last_number
        count_view_change_votes(core, now)


def count_view_change_votes(core: Core, now: int) -> None:
    """Lead once a majority has voted, with the newest log among theirs."""
    voters = current_voters(core, {name: vote[0] for name, vote in core.view_change_votes.items()})
    if len(voters) < core.options.majority or core.options.me not in voters or core.transfer is not None:
        return
    own_position = core.log.last_view, core.log.last_number
    newest = max(voters, key=lambda name: (core.view_change_votes[name][1:], name == core.options.me))
    if core.view_change_votes[newest][1:] > own_position:
        last_number = core.view_change_votes[newest][2]
        core.transfer = StateTransfer(newest, core.view, "lead", last_number, 0, 0, b"")
    else:
        start_leading(core, now)


def on_newer_view(core: Core, now: int, sender: str, message: NewerView) -> None:
    """Follow a member that has left for a later view."""
    if core.status in ACTIVE and core.options.is_voter:
        join_view_change(core, now, message.view)


def join_view_change(core: Core, now: int, view: int) -> None:
    """Leave for a later view that another member is in: with a majority's agreement it left, for good."""
    if view > core.view:
        start_view_change(core, now, next_reachable_view(core, now, view) if core.leading else view)


def follow_leader(core: Core, now: int, view: int) -> None:
    """Follow the leader of a view that has begun."""
    enter_view(core, now, view)
    core.status = Status.NORMAL
    core.leader_last_heard = now
    if not core.options.is_voter and core.log.last_number > core.committed:
        truncate_log(core, core.committed + 1)  # A learner acknowledges none of it, and gets it again.
    core.note("group-follows", view=view, leader=core.leader)

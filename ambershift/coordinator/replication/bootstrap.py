"""Blank voters: bootstrap of a new group, and recovery from one that exists.

A bootstrap needs a moment at which all voters were blank. Each round asks all; the next starts once a round
is complete, and a voter that answers blank in both under the same incarnation was blank in between.
"""

from __future__ import annotations

from ambershift.coordinator.replication.core import Core, StateTransfer
from ambershift.coordinator.replication.leading import start_leading
from ambershift.coordinator.replication.messages import (
    BlankResponse,
    Incarnations,
    RecoveryRequest,
    RecoveryResponse,
)
from ambershift.coordinator.replication.peers import (
    all_progress,
    known_incarnations,
    learn_incarnations,
    learn_progress,
)
from ambershift.coordinator.replication.types import Reason, Status


def other_voters(core: Core) -> list[str]:
    """All voters but this member."""
    return [name for name in core.options.voters if name != core.options.me]


def abandon_bootstrap(core: Core, now: int) -> None:
    """Return to blank where the group that this member joined has no first entry in time.

    Nobody else may know of that group any more. The member holds nothing and has acknowledged nothing, so it
    is as good as blank, and by staying it would keep the others from forming a group.
    """
    has_no_entry = (
        core.status is Status.NORMAL and core.options.is_voter and not core.view and not core.log.last_number
    )
    if has_no_entry and now >= core.leader_last_heard + core.options.tuning.first_entry_timeout_ns:
        core.note("group-unborn")
        core.status, core.founders = Status.BLANK, ()
        core.lost_quorum, core.suspecting, core.leader_incarnation = False, False, 0
        core.acknowledged, core.acknowledged_rounds = {}, {}
        core.unconfirmed_replies = []
        core.transfer = None
        core.round, core.next_recovery_request = core.round + 1, now


def send_recovery_requests(core: Core, now: int) -> None:
    """Ask all other voters for the group's state, where this member is blank and it is time."""
    abandon_bootstrap(core, now)
    if core.status is not Status.BLANK or not core.options.is_voter or now < core.next_recovery_request:
        return
    core.next_recovery_request = now + core.options.tuning.request_interval_ns
    if not other_voters(core):
        if core.may_bootstrap:
            join_new_group(core, now, known_incarnations(core))
        return
    if core.transfer is not None:
        return
    core.round = core.round or 1
    for name in other_voters(core):
        core.send(
            name,
            RecoveryRequest(
                incarnation=core.incarnation,
                view=0,
                round=core.round,
                voters=core.options.voters,
                incarnations=known_incarnations(core),
            ),
        )


def on_recovery_request(core: Core, now: int, sender: str, message: RecoveryRequest) -> None:
    """Answer a blank voter with this member's state, or that it is blank too."""
    if message.voters != core.options.voters:
        reject_foreign_member(core, sender, "voters")
        return
    learn_incarnations(core, message.incarnations)
    if core.status is Status.BLANK and core.options.is_voter:
        if core.may_bootstrap:
            core.send(
                sender,
                BlankResponse(
                    incarnation=core.incarnation,
                    view=0,
                    requester_incarnation=message.incarnation,
                    round=message.round,
                ),
            )
    elif core.options.is_voter:
        core.send_after_sync(
            sender,
            RecoveryResponse(
                incarnation=core.incarnation,
                view=core.view,
                requester_incarnation=message.incarnation,
                round=message.round,
                is_normal=core.status is Status.NORMAL,
                group=core.known_group,
                last_number=core.log.last_number,
                incarnations=known_incarnations(core),
                founders=known_founders(core),
                progress=all_progress(core),
            ),
        )


def known_founders(core: Core) -> Incarnations:
    """The founders of the group; a member that started from a folder reads them from the first entry."""
    if core.founders or core.log.base or not core.log.last_number:
        return core.founders
    pairs = [pair.rpartition("=") for pair in core.log.entry(1).token.split(" ")[1:]]
    return tuple((name, int(incarnation)) for name, _, incarnation in pairs)


def reject_foreign_member(core: Core, sender: str, what: str) -> None:
    """Note a member of another group, or with other voters.

    One such member is ignored. Where a majority differs from this member, it is this one that is wrong: it
    halts. `what` is "group" or "voters".
    """
    if sender in core.options.voters and sender not in core.foreign_members:
        core.foreign_members[sender] = what
        core.note("group-stranger", member=sender, what=what)
    if len(core.foreign_members) >= core.options.majority:
        names = ", ".join(sorted(core.foreign_members))
        if what == "voters":
            core.halt(Reason.OTHER_MEMBERS, f"{names}: configured with other voters")
        else:
            core.halt(Reason.OTHER_GROUP, f"{names}: members of another group")


def on_blank_response(core: Core, now: int, sender: str, message: BlankResponse) -> None:
    """Complete a round, start the second one, or form the group after it."""
    if not core.may_bootstrap or sender not in core.options.voters:
        return
    if message.requester_incarnation != core.incarnation or message.round != core.round:
        return
    in_last_round = core.blank_in_last_round.get(sender)
    if core.blank_in_last_round and in_last_round != message.incarnation:
        # It restarted between the rounds, so no moment is known at which all were blank.
        core.blank_in_last_round, core.blank_in_this_round = {}, {}
    core.blank_in_this_round[sender] = message.incarnation
    if len(core.blank_in_this_round) < len(core.options.voters) - 1:
        return
    if core.blank_in_last_round:
        founders = {**core.blank_in_this_round, core.options.me: core.incarnation}
        join_new_group(core, now, tuple(sorted(founders.items())))
        return
    core.blank_in_last_round, core.blank_in_this_round = core.blank_in_this_round, {}
    core.round += 1
    core.next_recovery_request = now
    send_recovery_requests(core, now)


def join_new_group(core: Core, now: int, founders: Incarnations) -> None:
    """Become a member of a new group, with an empty log, in view 0."""
    core.note("group-born", members=[name for name, _ in founders])
    core.founders = founders
    learn_incarnations(core, founders)
    core.recovery_responses.clear()
    core.blank_in_last_round, core.blank_in_this_round = {}, {}
    core.status, core.view, core.matched_number = Status.NORMAL, 0, core.committed
    core.leader_last_heard = now
    if core.leader == core.options.me:
        start_leading(core, now)


def on_recovery_response(core: Core, now: int, sender: str, message: RecoveryResponse) -> None:
    """Recover with f + 1 responses of members in normal operation, the newest view's leader among them."""
    if core.status is not Status.BLANK or not core.options.is_voter:
        return
    if message.requester_incarnation != core.incarnation or sender not in core.options.voters:
        return
    learn_incarnations(core, message.incarnations)
    learn_progress(core, message.progress)
    if core.status is not Status.BLANK:  # What it learnt halted it.
        return
    if (core.options.me, core.incarnation) in message.founders and not core.log.last_number:
        # It was blank at the moment of the bootstrap and has been since, so it may join as a slow founder. No
        # ended incarnation can tell it of a bootstrap before the last: whoever answered that incarnation's
        # RecoveryRequest knows which incarnations are running.
        join_new_group(core, now, message.founders)
        return
    core.blank_in_last_round, core.blank_in_this_round = {}, {}
    if message.is_normal and message.incarnation == core.incarnations.get(sender):
        core.recovery_responses[sender] = (
            message.incarnation,
            message.view,
            message.last_number,
            message.incarnations,
        )
    if core.transfer is not None:
        return
    responders = crash_consistent_responders(core)
    if len(responders) < core.options.majority:
        return
    view = max(core.recovery_responses[name][1] for name in responders)
    leader = core.leader_of(view)
    if leader in responders and core.recovery_responses[leader][1] == view:
        last_number = core.recovery_responses[leader][2]
        core.transfer = StateTransfer(leader, view, "recover", last_number, 0, 0, b"")


def crash_consistent_responders(core: Core) -> list[str]:
    """Members whose response counts: no other response knows that they have restarted since they gave it.

    See Michael, Ports, Sharma, Szekeres 2017, "Recovering Shared Objects Without Stable Storage".
    """
    return [
        name
        for name, (incarnation, _, _, _) in sorted(core.recovery_responses.items())
        if incarnation == core.incarnations.get(name)
    ]


def finish_recovery(core: Core, now: int, view: int) -> None:
    """The log was transferred: take part in its view."""
    core.note("group-recovered", view=view, number=core.log.last_number, leader=core.leader_of(view))
    core.recovery_responses.clear()
    core.status, core.view = Status.NORMAL, view
    core.leader_last_heard = now


def restart_recovery(core: Core) -> None:
    """The leader that this member recovered from has gone on to another view, or is gone."""
    core.transfer = None
    core.matched_number = core.committed
    core.recovery_responses.clear()
    core.round += 1

"""Blank voters: whether the group is to be born, or lives and is to be recovered from.

Birth needs a moment at which all voters were blank. Each round asks all; the next starts when one is
complete, and who answers blank in both under the same incarnation was blank in between.
"""

from __future__ import annotations

from ambershift.coordinator.replication.core import Core, Fetching
from ambershift.coordinator.replication.leading import start_leading
from ambershift.coordinator.replication.messages import (
    BlankResponse,
    Incarnations,
    RecoveryRequest,
    RecoveryResponse,
)
from ambershift.coordinator.replication.peers import all_lives, all_rows, learn_lives, learn_rows
from ambershift.coordinator.replication.types import Reason, Status


def others(core: Core) -> list[str]:
    return [name for name in core.fixed.voters if name != core.fixed.me]


def look_back(core: Core, now: int) -> None:
    """One that was born with nobody left who knows of it holds nothing and has vouched for nothing: it is as
    good as blank, and would else keep the others from being born.
    """
    void = core.status is Status.NORMAL and core.fixed.votes and not core.view and not core.log.top
    if void and now >= core.leader_heard + core.fixed.tuning.first_entry_timeout_ns:
        core.note("group-unborn")
        core.status, core.birth, core.doubt, core.suspecting, core.led_by = Status.BLANK, (), False, False, 0
        core.have, core.rounds = {}, {}
        core.readers = []
        core.fetching = None
        core.round, core.ask_at = core.round + 1, now


def ask(core: Core, now: int) -> None:
    look_back(core, now)
    if core.status is not Status.BLANK or not core.fixed.votes or now < core.ask_at:
        return
    core.ask_at = now + core.fixed.tuning.request_interval_ns
    if not others(core):
        if core.barren:
            be_born(core, now, all_lives(core))
        return
    if core.fetching is not None:
        return
    core.round = core.round or 1
    for name in others(core):
        core.send(
            name,
            RecoveryRequest(
                incarnation=core.incarnation,
                view=0,
                round=core.round,
                voters=core.fixed.voters,
                lives=all_lives(core),
            ),
        )


def on_ask(core: Core, now: int, sender: str, message: RecoveryRequest) -> None:
    if message.voters != core.fixed.voters:
        strange(core, sender, "voters")
        return
    learn_lives(core, message.lives)
    if core.status is Status.BLANK and core.fixed.votes:
        if core.barren:
            core.send(
                sender,
                BlankResponse(
                    incarnation=core.incarnation, view=0, asked=message.incarnation, round=message.round
                ),
            )
    elif core.fixed.votes:
        core.vouch(
            sender,
            RecoveryResponse(
                incarnation=core.incarnation,
                view=core.view,
                asked=message.incarnation,
                round=message.round,
                normal=core.status is Status.NORMAL,
                group=core.told_group,
                number=core.log.top,
                lives=all_lives(core),
                birth=birth_of(core),
                rows=all_rows(core),
            ),
        )


def birth_of(core: Core) -> Incarnations:
    """The group's first entry tells it to those that started from a folder."""
    if core.birth or core.log.base or not core.log.top:
        return core.birth
    pairs = [pair.rpartition("=") for pair in core.log.at(1).token.split(" ")[1:]]
    return tuple((name, int(incarnation)) for name, _, incarnation in pairs)


def strange(core: Core, sender: str, what: str) -> None:
    """Another group, or another idea of who votes. One such is left alone; a majority means that it is me."""
    if sender in core.fixed.voters and sender not in core.strangers:
        core.strangers[sender] = what
        core.note("group-stranger", member=sender, what=what)
    if len(core.strangers) >= core.fixed.majority:
        reason = Reason.OTHER_MEMBERS if what == "voters" else Reason.OTHER_GROUP
        core.halt(reason, f"{', '.join(sorted(core.strangers))} tell another {what}")


def on_blank(core: Core, now: int, sender: str, message: BlankResponse) -> None:
    if not core.barren or message.asked != core.incarnation or message.round != core.round:
        return
    if sender not in core.fixed.voters:
        return
    before = core.blank_before.get(sender)
    if core.blank_before and before != message.incarnation:  # Started anew: no such moment yet.
        core.blank_before, core.blank_now = {}, {}
    core.blank_now[sender] = message.incarnation
    if len(core.blank_now) < len(core.fixed.voters) - 1:
        return
    if core.blank_before:
        be_born(core, now, tuple(sorted({**core.blank_now, core.fixed.me: core.incarnation}.items())))
        return
    core.blank_before, core.blank_now = core.blank_now, {}
    core.round += 1
    core.ask_at = now
    ask(core, now)


def be_born(core: Core, now: int, birth: tuple[tuple[str, int], ...]) -> None:
    """From here on a member of the new group, with an empty log, in view 0."""
    core.note("group-born", members=[name for name, _ in birth])
    core.birth = birth
    learn_lives(core, birth)
    core.told.clear()
    core.blank_before, core.blank_now = {}, {}
    core.status, core.view, core.sure = Status.NORMAL, 0, core.committed
    core.leader_heard = now
    if core.leader == core.fixed.me:
        start_leading(core, now)


def on_told(core: Core, now: int, sender: str, message: RecoveryResponse) -> None:
    """Recover by f + 1 answers of members at work, and the leader of the newest view among them."""
    if core.status is not Status.BLANK or message.asked != core.incarnation or not core.fixed.votes:
        return
    if sender not in core.fixed.voters:
        return
    learn_lives(core, message.lives)
    learn_rows(core, message.rows)
    if core.status is not Status.BLANK:  # Halted by what it learnt.
        return
    if (core.fixed.me, core.incarnation) in message.birth and not core.log.top:
        # It was blank at that moment and has been since: as good as one that was born then, and is slow. No
        # ended life can tell it of a birth before the last: whoever answered that one's Ask knows who lives.
        be_born(core, now, message.birth)
        return
    core.blank_before, core.blank_now = {}, {}
    if message.normal and message.incarnation == core.lives.get(sender):
        core.told[sender] = message.incarnation, message.view, message.number, message.lives
    if core.fetching is not None:
        return
    counted = crash_consistent(core)
    if len(counted) < core.fixed.majority:
        return
    view = max(core.told[name][1] for name in counted)
    leader = core.leader_of(view)
    if leader in counted and core.told[leader][1] == view:
        core.fetching = Fetching(leader, view, "recover", core.told[leader][2], 0, 0, b"")


def crash_consistent(core: Core) -> list[str]:
    """Without answers of which another knows that who gave it has been started anew since (Michael, Ports,
    Sharma, Szekeres 2017).
    """
    return [
        name
        for name, (incarnation, _, _, _) in sorted(core.told.items())
        if incarnation == core.lives.get(name)
    ]


def recovered(core: Core, now: int, view: int) -> None:
    core.note("group-recovered", view=view, number=core.log.top, leader=core.leader_of(view))
    core.told.clear()
    core.status, core.view = Status.NORMAL, view
    core.leader_heard = now


def start_again(core: Core) -> None:
    """Whom it recovered from has gone on to another view or away."""
    core.fetching = None
    core.sure = core.committed
    core.told.clear()
    core.round += 1

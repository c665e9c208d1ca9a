"""The leader's work: entries, batches, commit, read rounds, beats."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import commit_to, run
from ambershift.coordinator.replication.core import GROUP, Core, Reader
from ambershift.coordinator.replication.messages import (
    Heartbeat,
    MemberProgress,
    NewerView,
    Prepare,
    PrepareOk,
)
from ambershift.coordinator.replication.peers import all_rows, learn_row
from ambershift.coordinator.replication.pending_requests import reply, reply_read
from ambershift.coordinator.replication.types import Entry, Reason, Status


def start_leading(core: Core, now: int) -> None:
    """The log is the newest of a majority. What it holds is applied ahead, and counts once an entry of this
    view does.
    """
    core.status, core.sure = Status.NORMAL, core.log.top
    core.fetching = None
    core.note("group-leads", view=core.view, number=core.log.top)
    for name in core.fixed.voters:
        core.heard[name] = max(now, core.heard.get(name, now))
    core.leader_heard = now
    core.sent_top = core.log.top
    look_ahead(core)
    if core.view:
        propose(core, now, "" if core.log.top else first_token(core), core.fixed.noop)
    core.beat_at = now


def begin_group(core: Core, now: int) -> None:
    """The first entry, once a majority follows in the first view: until then all may be blank again."""
    follow = sum(1 for name in core.fixed.voters if name == core.fixed.me or name in core.have)
    if not core.log.top and follow >= core.fixed.majority:
        propose(core, now, first_token(core), core.fixed.noop)


def first_token(core: Core) -> str:
    """The group's id, and who was blank at the moment of its birth."""
    birth = "".join(f" {name}={incarnation}" for name, incarnation in core.birth)
    return f"{GROUP}{core.draw(1 << 30):08x}{core.draw(1 << 30):08x}{birth}"


def look_ahead(core: Core) -> None:
    """State and answers of what is in the log and not committed."""
    assert not core.ahead
    assert not core.open
    for number in range(core.committed + 1, core.log.top + 1):
        entry = core.log.at(number)
        extend(core, entry)


def extend(core: Core, entry: Entry) -> None:
    core.ahead.append(run(core, newest(core), entry, entry.token in core.open))
    if entry.token:
        core.open.setdefault(entry.token, entry.number)


def newest(core: Core) -> object:
    return core.ahead[-1][0] if core.ahead else core.state


def propose(core: Core, now: int, token: str, command: bytes) -> int:
    assert core.leading
    assert not core.doubt
    entry = Entry(core.view, core.log.top + 1, now + core.wall, token, command)
    core.log.put(entry)
    extend(core, entry)
    return entry.number


def accept(
    core: Core, now: int, origin: str, incarnation: int, ticket: int, attempt: int, token: str, command: bytes
) -> None:
    """A command of a client, here or at another member. One attempt of a member is taken at most once."""
    assert core.leading
    if core.doubt or not core.log.top:  # For good, in this view; or there is no group yet.
        reply(core, origin, incarnation, ticket, attempt, Reason.NO_MAJORITY, b"")
        return
    known = core.tokens.get(token)
    number = core.open.get(token, 0)
    digest = core.fixed.machine.digest
    held = known[0] if known else digest(core.log.at(number).command) if number else None
    if held is not None and held != digest(command):
        reply(core, origin, incarnation, ticket, attempt, Reason.TOKEN_REUSED, b"")
    elif known is not None:
        reply(core, origin, incarnation, ticket, attempt, "", known[1])
    elif not number and core.log.top - core.committed >= core.fixed.tuning.max_uncommitted_entries:
        reply(core, origin, incarnation, ticket, attempt, Reason.TOO_MANY_WAIT, b"")
    else:
        refused = None if number else core.fixed.machine.validate(newest(core), now + core.wall, command)
        if refused is not None:
            wait_for_round(core, Reader(origin, incarnation, ticket, attempt, refused, core.log.top, 0))
            return
        number = number or propose(core, now, token, command)
        key = origin, incarnation, ticket
        waiting = tuple(one for one in core.waiters.get(number, ()) if one[:3] != key)
        core.waiters[number] = (*waiting, (*key, attempt))


def ask_to_read(core: Core, origin: str, incarnation: int, ticket: int) -> None:
    if not core.leading or core.doubt or not core.log.top:
        return
    wait_for_round(core, Reader(origin, incarnation, ticket, 0, b"", 0, 0))


def wait_for_round(core: Core, reader: Reader) -> None:
    """A refusal too is true of the state of a leader only: it waits as a read does."""
    if len(core.readers) < core.fixed.tuning.max_uncommitted_entries and all(
        one[:3] != reader[:3] for one in core.readers
    ):
        core.readers.append(reader)


def beat(core: Core, now: int) -> None:
    core.beat_at = now + core.fixed.tuning.heartbeat_ns
    message = Heartbeat(
        incarnation=core.incarnation,
        view=core.view,
        group=core.told_group,
        round=core.round,
        top=core.sent_top,
        committed=core.committed,
        rows=all_rows(core),
        voters=core.fixed.voters,
    )
    for name in core.fixed.members:
        if name != core.fixed.me:
            core.send(name, message)


def on_have(core: Core, now: int, sender: str, message: PrepareOk) -> None:
    if not core.leading or message.view != core.view:
        return
    if message.number > core.log.top:
        core.note("group-unfit", member=sender)
        return
    if message.number >= core.have.get(sender, (0, 0))[1]:
        core.have[sender] = message.incarnation, message.number
        learn_row(
            core,
            MemberProgress(
                sender,
                message.incarnation,
                message.view,
                max(0, core.log.view_at(message.number)),
                message.number,
                message.committed,
                message.status,
            ),
        )
    core.rounds[sender] = max(core.rounds.get(sender, 0), message.round)


def work(core: Core, now: int) -> None:
    """What a leader does after each event."""
    if not core.leading:
        return
    if core.doubt:
        count(core, now)
        return
    begin_group(core, now)
    count(core, now)
    rounds(core, now)
    core.batches = [top for top in core.batches if top > core.committed]
    while core.sent_top < core.log.top and len(core.batches) < core.fixed.tuning.max_batches_in_flight:
        send_batch(core)
    if now >= core.beat_at:
        beat(core, now)


def send_batch(core: Core) -> None:
    entries = core.log.after(core.sent_top, core.fixed.tuning.max_batch_bytes)
    message = Prepare(
        incarnation=core.incarnation,
        view=core.view,
        group=core.told_group,
        after=core.sent_top,
        after_view=max(0, core.log.view_at(core.sent_top)),
        entries=entries,
        committed=core.committed,
    )
    core.sent_top += len(entries)
    core.batches.append(core.sent_top)
    for name in core.fixed.members:
        if name != core.fixed.me:
            core.send(name, message)


def count(core: Core, now: int) -> None:
    """Commit what a majority vouches for, if it is of this view: what is older goes with it."""
    held = sorted(
        (
            max(0, core.vouched) if name == core.fixed.me else core.have.get(name, (0, 0))[1]
            for name in core.fixed.voters
        ),
        reverse=True,
    )
    number = held[core.fixed.majority - 1]
    if number <= core.committed or core.log.view_at(number) != core.view:
        return
    done = commit_to(core, number)
    core.beat_at = min(core.beat_at, now + core.fixed.tuning.commit_notice_delay_ns)
    for one, answer in done:
        for origin, incarnation, ticket, attempt in core.waiters.pop(one, ()):
            reply(core, origin, incarnation, ticket, attempt, "", answer)


def rounds(core: Core, now: int) -> None:
    """A read is served once a majority has said, in a round that began after it came, that this is still its
    leader; and once what was promised before this view is known to be committed.
    """
    while core.readers and core.log.view_at(core.committed) == core.view:
        said = sorted(
            (core.round if name == core.fixed.me else core.rounds.get(name, 0) for name in core.fixed.voters),
            reverse=True,
        )
        heard = said[core.fixed.majority - 1]
        waiting = list[Reader]()
        for one in core.readers:
            if not 0 < one.round <= heard or one.number > core.committed:
                waiting.append(one)
            elif one.attempt:
                reply(core, one.member, one.incarnation, one.ticket, one.attempt, "", one.answer)
            else:
                reply_read(core, one.member, one.incarnation, one.ticket, one.number)
        core.readers = waiting
        if all(one.round for one in waiting) or any(one.round > heard for one in waiting):
            return
        core.round += 1
        core.readers = [
            one
            if one.round
            else one._replace(round=core.round, number=one.number if one.attempt else core.committed)
            for one in waiting
        ]
        beat(core, now)


def check_quorum(core: Core, now: int) -> None:
    """A leader that hears no majority for a silence stops beating: the others go on without it."""
    if not core.leading or core.doubt:
        return
    lately = sum(
        1
        for name in core.fixed.voters
        if name == core.fixed.me or now - core.heard.get(name, now) <= core.fixed.tuning.leader_timeout_ns
    )
    if lately < core.fixed.majority:
        core.doubt = True
        core.note("group-doubts", view=core.view)


def answer_older(core: Core, sender: str) -> None:
    """To the leader of a view that this member has left."""
    if core.fixed.votes:
        core.send(sender, NewerView(incarnation=core.incarnation, view=core.view))

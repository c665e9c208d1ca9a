"""The leader: proposing and sending entries, committing them, confirming reads, heartbeats."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import apply_once, commit_up_to
from ambershift.coordinator.replication.core import GROUP_TOKEN_PREFIX, Core, UnconfirmedReply
from ambershift.coordinator.replication.messages import (
    Heartbeat,
    MemberProgress,
    NewerView,
    Prepare,
    PrepareOk,
)
from ambershift.coordinator.replication.peers import all_progress, learn_member_progress
from ambershift.coordinator.replication.pending_requests import reply_to_command, reply_to_read
from ambershift.coordinator.replication.types import Entry, Reason, Status

GROUP_ID_HALF = 1 << 30  # A group's id is two random numbers below it.


def start_leading(core: Core, now: int) -> None:
    """Begin the view, with the newest log of a majority.

    Its uncommitted entries are applied speculatively, and are committed together with an entry of this view.
    """
    core.status, core.matched_number = Status.NORMAL, core.log.last_number
    core.transfer = None
    core.note("group-leads", view=core.view, number=core.log.last_number)
    for name in core.options.voters:
        core.last_heard[name] = max(now, core.last_heard.get(name, now))
    core.leader_last_heard = now
    core.sent_number = core.log.last_number
    rebuild_speculative_results(core)
    if core.view:
        propose(core, now, "" if core.log.last_number else new_group_token(core), core.options.noop)
    core.next_heartbeat = now


def propose_first_entry(core: Core, now: int) -> None:
    """Write a new group's first entry once a majority follows: until then all founders may be blank again."""
    followers = sum(1 for name in core.options.voters if name == core.options.me or name in core.acknowledged)
    if not core.log.last_number and followers >= core.options.majority:
        propose(core, now, new_group_token(core), core.options.noop)


def new_group_token(core: Core) -> str:
    """The token of the first entry: a new group id and the founders."""
    founders = "".join(f" {name}={incarnation}" for name, incarnation in core.founders)
    high, low = core.random_below(GROUP_ID_HALF), core.random_below(GROUP_ID_HALF)
    return f"{GROUP_TOKEN_PREFIX}{high:08x}{low:08x}{founders}"


def rebuild_speculative_results(core: Core) -> None:
    """Apply all uncommitted entries of the log speculatively."""
    assert not core.speculative_results
    assert not core.uncommitted_tokens
    for number in range(core.committed + 1, core.log.last_number + 1):
        apply_speculatively(core, core.log.entry(number))


def apply_speculatively(core: Core, entry: Entry) -> None:
    """Keep the state and answer that an uncommitted entry will result in."""
    is_repeat = entry.token in core.uncommitted_tokens
    core.speculative_results.append(apply_once(core, speculative_state(core), entry, is_repeat))
    if entry.token:
        core.uncommitted_tokens.setdefault(entry.token, entry.number)


def speculative_state(core: Core) -> object:
    """The state after all entries of the leader's log, committed or not."""
    return core.speculative_results[-1][0] if core.speculative_results else core.state


def propose(core: Core, now: int, token: str, command: bytes) -> int:
    """Append an entry of this view to the leader's log; returns its number."""
    assert core.leading
    assert not core.lost_quorum
    entry = Entry(core.view, core.log.last_number + 1, now + core.wall_offset, token, command)
    core.log.append(entry)
    apply_speculatively(core, entry)
    return entry.number


def accept_command(
    core: Core, now: int, origin: str, incarnation: int, ticket: int, attempt: int, token: str, command: bytes
) -> None:
    """Answer, refuse or propose a command of a client of `origin`, which may be this member."""
    assert core.leading
    # A leader that lost its quorum refuses all in this view; without a first entry there is no group yet.
    if core.lost_quorum or not core.log.last_number:
        reply_to_command(core, origin, incarnation, ticket, attempt, Reason.NO_MAJORITY, b"")
        return
    completed = core.tokens.get(token)
    number = core.uncommitted_tokens.get(token, 0)
    digest = core.options.machine.digest
    known_digest = completed[0] if completed else digest(core.log.entry(number).command) if number else None
    uncommitted = core.log.last_number - core.committed
    if known_digest is not None and known_digest != digest(command):
        reply_to_command(core, origin, incarnation, ticket, attempt, Reason.TOKEN_REUSED, b"")
    elif completed is not None:
        reply_to_command(core, origin, incarnation, ticket, attempt, "", completed[1])
    elif not number and uncommitted >= core.options.tuning.max_uncommitted_entries:
        reply_to_command(core, origin, incarnation, ticket, attempt, Reason.TOO_MANY_WAIT, b"")
    else:
        refusal = None
        if not number:
            wall = now + core.wall_offset
            refusal = core.options.machine.validate(speculative_state(core), wall, command)
        if refusal is not None:
            reply = UnconfirmedReply(origin, incarnation, ticket, attempt, refusal, core.log.last_number, 0)
            await_confirmation(core, reply)
            return
        number = number or propose(core, now, token, command)
        key = origin, incarnation, ticket
        waiters = tuple(waiter for waiter in core.command_waiters.get(number, ()) if waiter[:3] != key)
        core.command_waiters[number] = (*waiters, (*key, attempt))


def accept_read(core: Core, origin: str, incarnation: int, ticket: int) -> None:
    """Take a read of a client of `origin`, which may be this member."""
    if not core.leading or core.lost_quorum or not core.log.last_number:
        return
    await_confirmation(core, UnconfirmedReply(origin, incarnation, ticket, 0, b"", 0, 0))


def await_confirmation(core: Core, reply: UnconfirmedReply) -> None:
    """Hold a reply back until a quorum confirms the leader.

    A refusal waits as a read does: it too follows from the state, which is current only at a leader.
    """
    is_new = all(held[:3] != reply[:3] for held in core.unconfirmed_replies)
    if len(core.unconfirmed_replies) < core.options.tuning.max_uncommitted_entries and is_new:
        core.unconfirmed_replies.append(reply)


def send_heartbeats(core: Core, now: int) -> None:
    """Send a heartbeat of the current round to all other members."""
    core.next_heartbeat = now + core.options.tuning.heartbeat_ns
    message = Heartbeat(
        incarnation=core.incarnation,
        view=core.view,
        group=core.known_group,
        round=core.round,
        last_number=core.sent_number,
        committed=core.committed,
        progress=all_progress(core),
        voters=core.options.voters,
    )
    for name in core.options.members:
        if name != core.options.me:
            core.send(name, message)


def on_prepare_ok(core: Core, now: int, sender: str, message: PrepareOk) -> None:
    """Record what a member has acknowledged."""
    if not core.leading or message.view != core.view:
        return
    if message.number > core.log.last_number:
        core.note("group-unfit", member=sender)
        return
    if message.number >= core.acknowledged.get(sender, (0, 0))[1]:
        core.acknowledged[sender] = message.incarnation, message.number
        learn_member_progress(
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
    core.acknowledged_rounds[sender] = max(core.acknowledged_rounds.get(sender, 0), message.round)


def lead(core: Core, now: int) -> None:
    """Do the leader's work that an event may have made possible."""
    if not core.leading:
        return
    if core.lost_quorum:
        advance_commit(core, now)
        return
    propose_first_entry(core, now)
    advance_commit(core, now)
    send_confirmed_replies(core, now)
    core.batches_in_flight = [number for number in core.batches_in_flight if number > core.committed]
    max_batches = core.options.tuning.max_batches_in_flight
    while core.sent_number < core.log.last_number and len(core.batches_in_flight) < max_batches:
        send_batch(core)
    if now >= core.next_heartbeat:
        send_heartbeats(core, now)


def send_batch(core: Core) -> None:
    """Send the next entries to all other members."""
    entries = core.log.entries_after(core.sent_number, core.options.tuning.max_batch_bytes)
    message = Prepare(
        incarnation=core.incarnation,
        view=core.view,
        group=core.known_group,
        previous_number=core.sent_number,
        previous_view=max(0, core.log.view_at(core.sent_number)),
        entries=entries,
        committed=core.committed,
    )
    core.sent_number += len(entries)
    core.batches_in_flight.append(core.sent_number)
    for name in core.options.members:
        if name != core.options.me:
            core.send(name, message)


def advance_commit(core: Core, now: int) -> None:
    """Commit up to the last entry that a majority holds, if it is of this view; older ones go with it."""
    held_numbers = sorted(
        (
            max(0, core.acknowledgeable_number)
            if name == core.options.me
            else core.acknowledged.get(name, (0, 0))[1]
            for name in core.options.voters
        ),
        reverse=True,
    )
    number = held_numbers[core.options.majority - 1]
    if number <= core.committed or core.log.view_at(number) != core.view:
        return
    done = commit_up_to(core, number)
    core.next_heartbeat = min(core.next_heartbeat, now + core.options.tuning.commit_notice_delay_ns)
    for committed, answer in done:
        for origin, incarnation, ticket, attempt in core.command_waiters.pop(committed, ()):
            reply_to_command(core, origin, incarnation, ticket, attempt, "", answer)


def send_confirmed_replies(core: Core, now: int) -> None:
    """Send replies that a quorum has confirmed, and begin a new round for those that wait for one.

    A majority must have answered a round that began after the reply came. And an entry of this view must be
    committed: only then is everything known to be committed that earlier views have acknowledged.
    """
    while core.unconfirmed_replies and core.log.view_at(core.committed) == core.view:
        rounds = sorted(
            (
                core.round if name == core.options.me else core.acknowledged_rounds.get(name, 0)
                for name in core.options.voters
            ),
            reverse=True,
        )
        confirmed_round = rounds[core.options.majority - 1]
        waiting = list[UnconfirmedReply]()
        for reply in core.unconfirmed_replies:
            if not 0 < reply.round <= confirmed_round or reply.number > core.committed:
                waiting.append(reply)
            elif reply.attempt:
                reply_to_command(
                    core, reply.member, reply.incarnation, reply.ticket, reply.attempt, "", reply.answer
                )
            else:
                reply_to_read(core, reply.member, reply.incarnation, reply.ticket, reply.number)
        core.unconfirmed_replies = waiting
        if all(reply.round for reply in waiting) or any(reply.round > confirmed_round for reply in waiting):
            return
        core.round += 1
        core.unconfirmed_replies = [
            reply
            if reply.round
            else reply._replace(round=core.round, number=reply.number if reply.attempt else core.committed)
            for reply in waiting
        ]
        send_heartbeats(core, now)


def check_quorum(core: Core, now: int) -> None:
    """A leader that has not heard a majority lately stops its heartbeats, so that the others replace it."""
    if not core.leading or core.lost_quorum:
        return
    heard_lately = sum(
        1
        for name in core.options.voters
        if name == core.options.me
        or now - core.last_heard.get(name, now) <= core.options.tuning.leader_timeout_ns
    )
    if heard_lately < core.options.majority:
        core.lost_quorum = True
        core.note("group-doubts", view=core.view)


def send_newer_view(core: Core, sender: str) -> None:
    """Tell the leader of a view that this member has left which one it is in."""
    if core.options.is_voter:
        core.send(sender, NewerView(incarnation=core.incarnation, view=core.view))

"""Commands and reads of this member's clients: to the leader, and again until they are settled."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import commit_to
from ambershift.coordinator.replication.core import Core, Want
from ambershift.coordinator.replication.leading import accept, ask_to_read
from ambershift.coordinator.replication.messages import (
    CommandRequest,
    CommandResponse,
    ReadIndexRequest,
    ReadIndexResponse,
)
from ambershift.coordinator.replication.pending_requests import settle, take_answer, take_read
from ambershift.coordinator.replication.types import Answer, Reason, Status

TAKEN = 64  # Attempts of a member that are told apart; what comes later than so many others is left out.
LOST = 0  # In place of attempts too many to keep: never refused.


def submit(core: Core, now: int, ticket: int, token: str, command: bytes, until: int) -> None:
    """A command without a token gets one of its own, so that sending it again writes it once."""
    token = token or f"~{core.fixed.me}.{core.incarnation}.{ticket}"
    begin(core, now, ticket, Want(False, token, command, until, now, (), -1, ""))


def read(core: Core, now: int, ticket: int, until: int) -> None:
    begin(core, now, ticket, Want(True, "", b"", until, now, (), -1, ""))


def begin(core: Core, now: int, ticket: int, want: Want) -> None:
    tuning = core.fixed.tuning
    assert ticket not in core.wants, ticket
    if core.status is Status.HALTED:
        core.out.append(Answer(ticket, Reason(core.halted[0]), b"", 0))
    elif len(core.wants) >= tuning.max_pending_requests:
        core.out.append(Answer(ticket, Reason.TOO_MANY_WAIT, b"", tuning.client_retry_ns))
    elif len(want.command) + len(want.token) > tuning.max_command_bytes:
        core.out.append(Answer(ticket, Reason.TOO_LARGE, b"", 0))
    else:
        core.keep_want(ticket, want)
        push(core, now, ticket)


def push(core: Core, now: int, ticket: int) -> None:
    """On to the leader, if there is one."""
    want = core.wants[ticket]
    # What goes to a leader that has long been quiet could no more be refused: its outcome would be unknown.
    quiet = not core.leading and now - core.leader_heard > core.fixed.tuning.leader_timeout_ns
    if core.status is not Status.NORMAL or core.doubt or quiet or want.place >= 0 or (now >= want.until):
        core.keep_want(ticket, want._replace(retry_at=now + core.fixed.tuning.request_retry_ns))
        return
    if want.read:
        core.keep_want(ticket, want._replace(retry_at=now + core.fixed.tuning.request_retry_ns))
        if core.leading:
            ask_to_read(core, core.fixed.me, core.incarnation, ticket)
        else:
            core.send(
                core.leader,
                ReadIndexRequest(
                    incarnation=core.incarnation, view=core.view, ticket=ticket, group=core.group
                ),
            )
        return
    core.attempt += 1
    tries = (*want.open, core.attempt) if len(want.open) < 8 else (LOST, *want.open[-6:], core.attempt)
    core.keep_want(ticket, want._replace(retry_at=now + core.fixed.tuning.request_retry_ns, open=tries))
    if core.leading:
        accept(core, now, core.fixed.me, core.incarnation, ticket, core.attempt, want.token, want.command)
    else:
        core.send(
            core.leader,
            CommandRequest(
                incarnation=core.incarnation,
                view=core.view,
                ticket=ticket,
                attempt=core.attempt,
                token=want.token,
                command=want.command,
            ),
        )


def push_late(core: Core, now: int) -> None:
    if now < core.want_at:
        return
    for ticket, want in list(core.wants.items()):
        if want.due <= now < want.until and want.place < 0 and ticket in core.wants:
            push(core, now, ticket)


def push_all(core: Core, now: int) -> None:
    """There is another leader."""
    for ticket in list(core.wants):
        if ticket in core.wants:
            push(core, now, ticket)


def on_forward(core: Core, now: int, sender: str, message: CommandRequest) -> None:
    """Only in the view for which it was meant, and each attempt once: a copy that comes late writes nothing
    that was refused or forgotten.
    """
    if message.view != core.view or not core.leading:
        return
    taken = core.attempts.get(sender, ())
    if message.attempt in taken or (len(taken) == TAKEN and message.attempt < taken[0]):
        return
    core.attempts[sender] = tuple(sorted((*taken, message.attempt))[-TAKEN:])
    accept(
        core,
        now,
        sender,
        message.incarnation,
        message.ticket,
        message.attempt,
        message.token,
        message.command,
    )


def on_answered(core: Core, now: int, sender: str, message: CommandResponse) -> None:
    if message.asked == core.incarnation:
        take_answer(core, message.ticket, message.attempt, message.reason, message.answer)


def on_read_ask(core: Core, now: int, sender: str, message: ReadIndexRequest) -> None:
    # Another group, which lived before all was lost, is not told what is read here.
    if message.view == core.view and message.group in ("", core.told_group):
        ask_to_read(core, sender, message.incarnation, message.ticket)


def on_read_at(core: Core, now: int, sender: str, message: ReadIndexResponse) -> None:
    if message.asked == core.incarnation:
        if message.view == core.view and sender == core.leader and core.status is Status.NORMAL:
            commit_to(core, message.number)  # It is committed, or the leader would not have told it.
        take_read(core, message.ticket, message.number)


def halt(core: Core) -> None:
    """Refused by name: nothing that waits can be settled here any more."""
    for ticket, want in list(core.wants.items()):
        settle(core, ticket, Reason.OUTCOME_UNKNOWN if want.open else Reason(core.halted[0]), b"")


def stop(core: Core) -> None:
    """The member is to end: nobody waits longer."""
    for ticket, want in list(core.wants.items()):
        settle(core, ticket, Reason.OUTCOME_UNKNOWN if want.open else Reason.STOPPING, b"")

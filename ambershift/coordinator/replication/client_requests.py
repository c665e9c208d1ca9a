"""Commands and reads of this member's clients: forwarded to the leader, and again until they are answered."""

from __future__ import annotations

from ambershift.coordinator.replication.applying import commit_up_to
from ambershift.coordinator.replication.core import Core, PendingRequest
from ambershift.coordinator.replication.leading import accept_command, accept_read
from ambershift.coordinator.replication.messages import (
    CommandRequest,
    CommandResponse,
    ReadIndexRequest,
    ReadIndexResponse,
)
from ambershift.coordinator.replication.pending_requests import (
    answer_client,
    take_command_reply,
    take_read_index,
)
from ambershift.coordinator.replication.types import Answer, Reason, Status

# A leader remembers so many attempts of a member, the highest; an older one that it lacks is ignored.
MAX_TRACKED_ATTEMPTS = 64
MAX_OPEN_ATTEMPTS = 8  # Of one command.
FORGOTTEN_ATTEMPTS = 0  # Stands for open attempts that are not kept one by one; it is never refused.


def submit(core: Core, now: int, ticket: int, token: str, command: bytes, deadline: int) -> None:
    """Take a client's command.

    A command without a token gets one of its own, so that forwarding it again does not write it twice.
    """
    token = token or f"~{core.options.me}.{core.incarnation}.{ticket}"
    start_request(core, now, ticket, PendingRequest(False, token, command, deadline, now, (), -1, ""))


def read(core: Core, now: int, ticket: int, deadline: int) -> None:
    """Take a client's read."""
    start_request(core, now, ticket, PendingRequest(True, "", b"", deadline, now, (), -1, ""))


def start_request(core: Core, now: int, ticket: int, request: PendingRequest) -> None:
    """Refuse a request, or keep it and forward it."""
    tuning = core.options.tuning
    assert ticket not in core.pending, ticket
    if core.status is Status.HALTED:
        core.effects.append(Answer(ticket, Reason(core.halted[0]), b"", 0))
    elif len(core.pending) >= tuning.max_pending_requests:
        core.effects.append(Answer(ticket, Reason.TOO_MANY_WAIT, b"", tuning.client_retry_ns))
    elif len(request.command) + len(request.token) > tuning.max_command_bytes:
        core.effects.append(Answer(ticket, Reason.TOO_LARGE, b"", 0))
    else:
        core.keep_pending(ticket, request)
        forward(core, now, ticket)


def forward(core: Core, now: int, ticket: int) -> None:
    """Pass a request on to the leader, if there is one, and retry it later."""
    request = core.pending[ticket]
    retry_at = now + core.options.tuning.request_retry_ns
    # A command sent to a leader that has been silent for long could no longer be refused as not written: its
    # outcome would be unknown.
    silent = not core.leading and now - core.leader_last_heard > core.options.tuning.leader_timeout_ns
    has_leader = core.status is Status.NORMAL and not core.lost_quorum and not silent
    if not has_leader or request.read_number >= 0 or now >= request.deadline:
        core.keep_pending(ticket, request._replace(retry_at=retry_at))
        return
    if request.read:
        core.keep_pending(ticket, request._replace(retry_at=retry_at))
        if core.leading:
            accept_read(core, core.options.me, core.incarnation, ticket)
        else:
            core.send(
                core.leader,
                ReadIndexRequest(
                    incarnation=core.incarnation, view=core.view, ticket=ticket, group=core.group
                ),
            )
        return
    core.last_attempt += 1
    attempts = (*request.open_attempts, core.last_attempt)
    if len(attempts) > MAX_OPEN_ATTEMPTS:
        attempts = (FORGOTTEN_ATTEMPTS, *attempts[1 - MAX_OPEN_ATTEMPTS :])
    core.keep_pending(ticket, request._replace(retry_at=retry_at, open_attempts=attempts))
    if core.leading:
        accept_command(
            core,
            now,
            core.options.me,
            core.incarnation,
            ticket,
            core.last_attempt,
            request.token,
            request.command,
        )
    else:
        core.send(
            core.leader,
            CommandRequest(
                incarnation=core.incarnation,
                view=core.view,
                ticket=ticket,
                attempt=core.last_attempt,
                token=request.token,
                command=request.command,
            ),
        )


def retry_overdue(core: Core, now: int) -> None:
    """Forward the requests that are due again."""
    if now < core.next_pending_check:
        return
    for ticket, request in list(core.pending.items()):
        is_due = request.next_due <= now < request.deadline and request.read_number < 0
        if is_due and ticket in core.pending:
            forward(core, now, ticket)


def forward_all(core: Core, now: int) -> None:
    """Forward all requests: there is another leader."""
    for ticket in list(core.pending):
        if ticket in core.pending:
            forward(core, now, ticket)


def on_command_request(core: Core, now: int, sender: str, message: CommandRequest) -> None:
    """Take a forwarded command, only in the view that it was sent in, and each attempt once.

    Else a late copy could write a command that was refused, or whose token is no longer kept.
    """
    if message.view != core.view or not core.leading:
        return
    known = core.accepted_attempts.get(sender, ())
    if message.attempt in known or (len(known) == MAX_TRACKED_ATTEMPTS and message.attempt < known[0]):
        return
    core.accepted_attempts[sender] = tuple(sorted((*known, message.attempt))[-MAX_TRACKED_ATTEMPTS:])
    accept_command(
        core,
        now,
        sender,
        message.incarnation,
        message.ticket,
        message.attempt,
        message.token,
        message.command,
    )


def on_command_response(core: Core, now: int, sender: str, message: CommandResponse) -> None:
    """Take the leader's answer to a command that this incarnation forwarded."""
    if message.requester_incarnation == core.incarnation:
        take_command_reply(core, message.ticket, message.attempt, message.reason, message.answer)


def on_read_index_request(core: Core, now: int, sender: str, message: ReadIndexRequest) -> None:
    """Take a read that another member forwarded."""
    # A member of an earlier group, whose state was lost, must not read this one's.
    if message.view == core.view and message.group in ("", core.known_group):
        accept_read(core, sender, message.incarnation, message.ticket)


def on_read_index_response(core: Core, now: int, sender: str, message: ReadIndexResponse) -> None:
    """Take the entry that a read must wait for."""
    if message.requester_incarnation == core.incarnation:
        if message.view == core.view and sender == core.leader and core.status is Status.NORMAL:
            commit_up_to(core, message.number)  # The leader tells only committed entries.
        take_read_index(core, message.ticket, message.number)


def refuse_all(core: Core) -> None:
    """Answer all requests with the reason for which this member halted."""
    for ticket, request in list(core.pending.items()):
        reason = Reason.OUTCOME_UNKNOWN if request.open_attempts else Reason(core.halted[0])
        answer_client(core, ticket, reason, b"")


def stop_all(core: Core) -> None:
    """Answer all requests: the member is stopping."""
    for ticket, request in list(core.pending.items()):
        reason = Reason.OUTCOME_UNKNOWN if request.open_attempts else Reason.STOPPING
        answer_client(core, ticket, reason, b"")

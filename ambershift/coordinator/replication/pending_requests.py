"""Commands and reads of this member's clients that wait until they are answered or expire."""

from __future__ import annotations

from ambershift.coordinator.replication.core import NEVER, Core, PendingRequest
from ambershift.coordinator.replication.messages import CommandResponse, ReadIndexResponse
from ambershift.coordinator.replication.types import Answer, Reason

FINAL_REFUSALS = {Reason.TOKEN_REUSED.value, Reason.TOO_LARGE.value}


def reply_to_command(
    core: Core, to: str, incarnation: int, ticket: int, attempt: int, reason: str, answer: bytes
) -> None:
    """The leader's answer to a command, for the member that forwarded it, which may be the leader itself."""
    if to == core.options.me:
        take_command_reply(core, ticket, attempt, reason, answer)
    else:
        core.send(
            to,
            CommandResponse(
                incarnation=core.incarnation,
                view=core.view,
                requester_incarnation=incarnation,
                ticket=ticket,
                attempt=attempt,
                reason=reason,
                answer=answer,
                retry_ns=0,
            ),
        )


def take_command_reply(core: Core, ticket: int, attempt: int, reason: str, answer: bytes) -> None:
    """Answer the client, or keep its command for another attempt where this one was refused."""
    request = core.pending.get(ticket)
    if request is None or request.read:
        return
    if not reason:
        answer_client(core, ticket, None, answer)
        return
    # A refused attempt wrote nothing; another one that is open may have.
    open_attempts = tuple(number for number in request.open_attempts if number != attempt)
    core.keep_pending(ticket, request._replace(open_attempts=open_attempts, last_refusal=reason))
    if not open_attempts and reason in FINAL_REFUSALS:
        answer_client(core, ticket, Reason(reason), b"")


def answer_client(core: Core, ticket: int, reason: Reason | None, answer: bytes) -> None:
    """Answer a request, which is pending no more."""
    del core.pending[ticket]
    may_retry = reason in (Reason.NO_MAJORITY, Reason.TOO_MANY_WAIT)
    retry_ns = core.options.tuning.client_retry_ns if may_retry else 0
    core.effects.append(Answer(ticket, reason, answer, retry_ns))


def reply_to_read(core: Core, to: str, incarnation: int, ticket: int, number: int) -> None:
    """The entry that a read must wait for, for the member that asked, which may be the leader itself."""
    if to == core.options.me:
        take_read_index(core, ticket, number)
    else:
        core.send(
            to,
            ReadIndexResponse(
                incarnation=core.incarnation,
                view=core.view,
                requester_incarnation=incarnation,
                ticket=ticket,
                number=number,
            ),
        )


def take_read_index(core: Core, ticket: int, number: int) -> None:
    """Answer a read, at once or when the entry `number` is applied here."""
    request = core.pending.get(ticket)
    if request is not None and request.read and request.read_number < 0:
        if number <= core.committed:
            answer_client(core, ticket, None, b"")
        else:
            core.keep_pending(ticket, request._replace(read_number=number))


def answer_ready_reads(core: Core) -> None:
    """Answer the reads whose entry has been applied."""
    if core.served_number == core.committed:
        return
    core.served_number = core.committed
    for ticket, request in list(core.pending.items()):
        if request.read and 0 <= request.read_number <= core.committed:
            answer_client(core, ticket, None, b"")


def expire_requests(core: Core, now: int) -> None:
    """Answer the requests whose deadline has passed."""
    if now < core.next_pending_check:
        return
    for ticket, request in list(core.pending.items()):
        if now >= request.deadline:
            expire_request(core, ticket, request)
    core.next_pending_check = min((request.next_due for request in core.pending.values()), default=NEVER)


def expire_request(core: Core, ticket: int, request: PendingRequest) -> None:
    """Answer a request whose deadline has passed; a command that may be written has an unknown outcome."""
    if request.open_attempts and not request.read:
        answer_client(core, ticket, Reason.OUTCOME_UNKNOWN, b"")
    elif request.last_refusal:
        answer_client(core, ticket, Reason(request.last_refusal), b"")
    else:
        answer_client(core, ticket, Reason.NO_MAJORITY, b"")

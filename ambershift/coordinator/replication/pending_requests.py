"""Clients' commands and reads that wait at this member, until they are answered or their time is over."""

from __future__ import annotations

from ambershift.coordinator.replication.core import NEVER, Core, Want
from ambershift.coordinator.replication.messages import CommandResponse, ReadIndexResponse
from ambershift.coordinator.replication.types import Answer, Reason

FINAL = {Reason.TOKEN_REUSED.value, Reason.TOO_LARGE.value}


def reply(
    core: Core, to: str, incarnation: int, ticket: int, attempt: int, reason: str, answer: bytes
) -> None:
    """What a leader says of a command to the member that forwarded it, which may be itself."""
    if to == core.fixed.me:
        take_answer(core, ticket, attempt, reason, answer)
    else:
        core.send(
            to,
            CommandResponse(
                incarnation=core.incarnation,
                view=core.view,
                asked=incarnation,
                ticket=ticket,
                attempt=attempt,
                reason=reason,
                answer=answer,
                retry_ns=0,
            ),
        )


def take_answer(core: Core, ticket: int, attempt: int, reason: str, answer: bytes) -> None:
    want = core.wants.get(ticket)
    if want is None or want.read:
        return
    if not reason:
        settle(core, ticket, None, answer)
        return
    # Refused: this attempt wrote nothing. Another that is open may have.
    left = tuple(one for one in want.open if one != attempt)
    core.keep_want(ticket, want._replace(open=left, reason=reason))
    if not left and reason in FINAL:
        settle(core, ticket, Reason(reason), b"")


def settle(core: Core, ticket: int, reason: Reason | None, answer: bytes) -> None:
    del core.wants[ticket]
    retry = core.fixed.tuning.client_retry_ns if reason in (Reason.NO_MAJORITY, Reason.TOO_MANY_WAIT) else 0
    core.out.append(Answer(ticket, reason, answer, retry))


def reply_read(core: Core, to: str, incarnation: int, ticket: int, number: int) -> None:
    if to == core.fixed.me:
        take_read(core, ticket, number)
    else:
        core.send(
            to,
            ReadIndexResponse(
                incarnation=core.incarnation, view=core.view, asked=incarnation, ticket=ticket, number=number
            ),
        )


def take_read(core: Core, ticket: int, number: int) -> None:
    want = core.wants.get(ticket)
    if want is not None and want.read and want.place < 0:
        if number <= core.committed:
            settle(core, ticket, None, b"")
        else:
            core.keep_want(ticket, want._replace(place=number))


def serve_reads(core: Core) -> None:
    if core.served == core.committed:
        return
    core.served = core.committed
    for ticket, want in list(core.wants.items()):
        if want.read and 0 <= want.place <= core.committed:
            settle(core, ticket, None, b"")


def expire(core: Core, now: int) -> None:
    if now < core.want_at:
        return
    for ticket, want in list(core.wants.items()):
        if now >= want.until:
            give_up(core, ticket, want)
    core.want_at = min((want.due for want in core.wants.values()), default=NEVER)


def give_up(core: Core, ticket: int, want: Want) -> None:
    if want.open and not want.read:
        settle(core, ticket, Reason.OUTCOME_UNKNOWN, b"")
    elif want.reason:
        settle(core, ticket, Reason(want.reason), b"")
    else:
        settle(core, ticket, Reason.NO_MAJORITY, b"")

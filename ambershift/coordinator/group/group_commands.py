"""Promise: an operator's command as a promise of the group, and its answer in words."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from typing import Any

from ambershift.coordinator.admin.words import Change
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.group.status_rows import member_rows, permit_rows
from ambershift.coordinator.promises.answers import Outcome, read_answer
from ambershift.coordinator.promises.words import Answered, Wishes, WishOne
from ambershift.coordinator.replication.types import Answer as Reply
from ambershift.coordinator.replication.types import Reason
from ambershift.coordinator.runtime.changing import BAD_COMMAND
from ambershift.coordinator.runtime.outcomes import Answer, error
from ambershift.coordinator.runtime.session import Severity

SECOND = 1_000_000_000
Rows = list[dict[str, Any]]
DONE = Answer(("Done.",), Severity.INFO)


class GroupCommands:
    """Implements `runtime.common.Common`; `name` gives a server's id in the list."""

    def __init__(self, member: Member, name: Callable[[int], str]) -> None:
        self.member, self.name = member, name
        # Given by the parts that know more of them; until then what the log holds.
        self.maintained: Callable[[], Rows] = lambda: permit_rows(member.state, member.wall())
        self.interfered: Callable[[], Rows] = list

    async def promise(self, who: str, token: str, text: str, changes: Sequence[Change], wait: int) -> Answer:
        given, token = token, token or f"own-{secrets.token_hex(8)}"
        wishes = Wishes(who, text, tuple(self.wish(one) for one in changes))
        reply = await self.member.submit(token, wishes, wait)
        outcome = read_answer(reply.answer) if reply.reason is None else None
        if given and outcome is not None and not outcome.done:
            # Refused by the leader's judgement nothing is written yet; under a token of the client's it shall
            # be, so that it is answered the same for good.
            return await self.refuse(given, text, outcome.reason, outcome.text, wait)
        return self.tell(reply, token)

    async def refuse(self, token: str, text: str, reason: str, why: str, wait: int) -> Answer:
        return self.tell(await self.member.submit(token, Answered(text, reason, why), wait), token)

    async def read(self, wait: int) -> Answer | None:
        reply = await self.member.read(wait)
        if reply.reason is None:
            return None
        # Of a read an unknown outcome is none: whichever it is, nothing can be told that is not stale.
        reason = Reason.STOPPING if reply.reason is Reason.STOPPING else Reason.NO_MAJORITY
        return error(
            f"Refused ({reason.value}): what stands can't be told, as this member reaches no "
            f"majority of the voters; {after(reply)}. 'show servers state' tells what holds here."
        )

    def wish(self, change: Change) -> WishOne:
        weight = (change.weight.figure, change.weight.relative) if change.weight is not None else None
        return WishOne(
            self.name(change.server),
            None if change.state is None else int(change.state),
            None if change.health is None else int(change.health),
            weight,
            change.as_listed,
        )

    def tell(self, reply: Reply, token: str) -> Answer:
        if reply.reason is None:
            return told(read_answer(reply.answer))
        match reply.reason:
            case Reason.OUTCOME_UNKNOWN:
                return error(
                    f"Unknown (outcome-unknown): it may stand or not, as no majority answered in "
                    f"time; ask again with 'once {token}' and the same command."
                )
            case Reason.NO_MAJORITY:
                why = f" ({self.member.halted[0]})" if self.member.halted else ""
                return error(
                    f"Refused (no-majority): nothing was written, as this member{why} reaches no "
                    f"majority of the voters; {after(reply)}."
                )
            case Reason.TOO_MANY_WAIT:
                return error(
                    f"Refused ({reply.reason.value}): too many commands wait for a majority here; "
                    f"{after(reply)}."
                )
            case Reason.TOKEN_REUSED:
                return error(f"Refused ({reply.reason.value}): this token was used for another command.")
            case Reason.STOPPING:
                return error(f"Refused ({reply.reason.value}): the coordinator ends; send it to another one.")
        return error(f"Refused ({reply.reason.value}): nothing was written; see 'show group'.")

    def members(self) -> Rows:
        return member_rows(self.member)

    def maintenance(self) -> Rows:
        return self.maintained()

    def interference(self) -> Rows:
        return self.interfered()


def after(reply: Reply) -> str:
    return f"come back in {max(1, round(reply.retry_ns / SECOND))} s"


def told(outcome: Outcome) -> Answer:
    if outcome.done:
        return DONE
    if outcome.reason == BAD_COMMAND:
        return error(outcome.text)
    return error(f"Refused ({outcome.reason}): {outcome.text}.")

"""An operator's command, committed by the group, and its answer in words."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from typing import Any

from ambershift.coordinator.admin.types import Change
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.group.status_rows import member_rows, permit_rows
from ambershift.coordinator.promises.codec import Outcome, decode_outcome
from ambershift.coordinator.promises.commands import Answered, Wishes, WishOne
from ambershift.coordinator.replication.types import Answer as Reply
from ambershift.coordinator.replication.types import Reason
from ambershift.coordinator.runtime.changing import BAD_COMMAND
from ambershift.coordinator.runtime.outcomes import Answer, error
from ambershift.coordinator.runtime.session import Severity

SECOND = 1_000_000_000
Rows = list[dict[str, Any]]
DONE = Answer(("Done.",), Severity.INFO)


class GroupCommands:
    """Implements `runtime.common.Common` by a member.

    Attributes:
        maintenance_rows: Returns the rows of `show maintenance`; those of the log alone unless replaced.
        interference_rows: Returns the rows of `show interference`; none unless replaced.
    """

    def __init__(self, member: Member, server_id: Callable[[int], str]) -> None:
        """Use this member; `server_id` returns the id of a server by its index in the list."""
        self._member = member
        self._server_id = server_id
        self.maintenance_rows: Callable[[], Rows] = lambda: permit_rows(member.state, member.wall())
        self.interference_rows: Callable[[], Rows] = list

    async def promise(self, who: str, token: str, text: str, changes: Sequence[Change], wait: int) -> Answer:
        """Commit an operator's changes.

        Args:
            who: The operator.
            token: The client's token, under which a command takes effect once; empty where it has none.
            text: The command, which must come again with the same token.
            changes: The wishes.
            wait: The time limit for the answer, ns.
        """
        client_token, token = token, token or f"own-{secrets.token_hex(8)}"
        wishes = Wishes(who, text, tuple(self._to_wish(change) for change in changes))
        reply = await self._member.submit(token, wishes, wait)
        outcome = decode_outcome(reply.answer) if reply.reason is None else None
        if client_token and outcome is not None and not outcome.done:
            # The leader refused it before anything was written. Under a client's token the refusal is
            # committed too, so that the same token always gets the same answer.
            return await self.refuse(client_token, text, outcome.reason, outcome.text, wait)
        return self._to_answer(reply, token)

    async def refuse(self, token: str, text: str, reason: str, why: str, wait: int) -> Answer:
        """Commit a refusal under a client's token, and return the answer that is committed under it."""
        return self._to_answer(await self._member.submit(token, Answered(text, reason, why), wait), token)

    async def read(self, wait: int) -> Answer | None:
        """Wait until this member has all that was committed before this call, `wait` ns at most.

        Returns:
            None then, or the refusal.
        """
        reply = await self._member.read(wait)
        if reply.reason is None:
            return None
        # An unknown outcome of a read is a refusal: nothing can be shown that isn't stale.
        reason = Reason.STOPPING if reply.reason is Reason.STOPPING else Reason.NO_MAJORITY
        return error(
            f"Refused ({reason.value}): what stands can't be told, as this member reaches no "
            f"majority of the voters; {_retry_hint(reply)}. 'show servers state' tells what holds here."
        )

    def _to_wish(self, change: Change) -> WishOne:
        weight = (change.weight.figure, change.weight.relative) if change.weight is not None else None
        return WishOne(
            self._server_id(change.server),
            None if change.state is None else int(change.state),
            None if change.health is None else int(change.health),
            weight,
            change.as_listed,
        )

    def _to_answer(self, reply: Reply, token: str) -> Answer:
        if reply.reason is None:
            return _outcome_answer(decode_outcome(reply.answer))
        match reply.reason:
            case Reason.OUTCOME_UNKNOWN:
                return error(
                    f"Unknown (outcome-unknown): it may stand or not, as no majority answered in "
                    f"time; ask again with 'once {token}' and the same command."
                )
            case Reason.NO_MAJORITY:
                why = f" ({self._member.halted[0]})" if self._member.halted else ""
                return error(
                    f"Refused (no-majority): nothing was written, as this member{why} reaches no "
                    f"majority of the voters; {_retry_hint(reply)}."
                )
            case Reason.TOO_MANY_WAIT:
                return error(
                    f"Refused ({reply.reason.value}): too many commands wait for a majority here; "
                    f"{_retry_hint(reply)}."
                )
            case Reason.TOKEN_REUSED:
                return error(f"Refused ({reply.reason.value}): this token was used for another command.")
            case Reason.STOPPING:
                return error(f"Refused ({reply.reason.value}): the coordinator ends; send it to another one.")
        return error(f"Refused ({reply.reason.value}): nothing was written; see 'show group'.")

    def members(self) -> Rows:
        """Return the rows of `show group`."""
        return member_rows(self._member)

    def maintenance(self) -> Rows:
        """Return the rows of `show maintenance`."""
        return self.maintenance_rows()

    def interference(self) -> Rows:
        """Return the rows of `show interference`."""
        return self.interference_rows()


def _retry_hint(reply: Reply) -> str:
    return f"come back in {max(1, round(reply.retry_ns / SECOND))} s"


def _outcome_answer(outcome: Outcome) -> Answer:
    if outcome.done:
        return DONE
    if outcome.reason == BAD_COMMAND:
        return error(outcome.text)
    return error(f"Refused ({outcome.reason}): {outcome.text}.")

"""Mistakes in how configurations are agreed. See `mistakes`."""

from __future__ import annotations

import asyncio
from typing import Any

from ambershift.system.configuration import agreement
from ambershift.system.configuration.change_request import read_order
from ambershift.system.configuration.errors import InvalidError
from ambershift.system.control_api.configuration_calls import (
    CALL_TIMEOUT_NS,
    OUTCOME_UNKNOWN,
    ConfigurationCalls,
)
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError

ALL_READ = 1 << 60


def decided_here(real: Any) -> Any:
    """By the newest copies and at the machine that was asked: two machines may decide at once."""

    async def modify(self: ConfigurationCalls, body: bytes) -> Reply:
        until = self._monotonic_ns() + CALL_TIMEOUT_NS
        try:
            order = read_order(body)
            await self._store.read_quorum(self._remaining_s(until))
            start, progress = agreement.Agreement(0, ()), agreement.Progress()
            _, outcome = agreement.decide(order, start, progress, self._store.items())
            if isinstance(outcome, agreement.Accepted):
                await self._store_items(outcome, until)
                return json_reply(200)
        except (OutcomeUnknownError, NotAppliedError):
            return OUTCOME_UNKNOWN
        except InvalidError as why:
            return self._invalid_reply(why.faults)
        return json_reply(409 if isinstance(outcome, agreement.Conflict) else 400)

    return modify


def any_copy_will_do(real: Any) -> Any:
    def call(self: agreement.Proposal, value: bytes | None, since: int, now: int) -> Any:
        self._progress.read = ALL_READ
        return real(self, value, since, now)

    return call


def acknowledged_before_stored(real: Any) -> Any:
    async def stored(self: ConfigurationCalls, outcome: agreement.Accepted, until: int) -> None:
        storing = asyncio.ensure_future(real(self, outcome, until))
        storing.add_done_callback(lambda done: done.cancelled() or done.exception())

    return stored


def counted_before_stored(real: Any) -> Any:
    async def stored(self: ConfigurationCalls, outcome: agreement.Accepted, until: int) -> None:
        self._progress.has_stored(outcome.end)
        await real(self, outcome, until)

    return stored


class _LastTryOnly:
    tried = property(lambda self: False, lambda self, value: None)


def last_try_only(real: Any) -> Any:
    return type("Proposal", (_LastTryOnly, real), {})


def refusal_forgotten(real: Any) -> Any:
    return lambda before, refusal: before


def valid_by_itself(real: Any) -> Any:
    """What was agreed but isn't stored here yet is not looked at."""
    return lambda recent, held: {}


def digests_alike(real: Any) -> Any:
    return lambda item: agreement.Superseded(item.kind, item.name, item.version[0], b"")

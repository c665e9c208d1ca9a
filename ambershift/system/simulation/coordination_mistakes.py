"""Mistakes in locks, numbers, keys, watches and evacuations. See `mistakes`."""

from __future__ import annotations

import copy
from typing import Any

import msgspec

from ambershift.system.consensus import acceptor
from ambershift.system.control_api import asgi, coordination_calls, evacuations, watches
from ambershift.system.coordination import groups, locks
from ambershift.system.coordination.calls import RegisterCall
from ambershift.system.coordination.replies import json_reply
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import Item
from ambershift.system.messages.replication import ZERO_BALLOT
from ambershift.system.simulation.cluster import Place
from ambershift.system.state_machine import NS_PER_MS

_lock = msgspec.msgpack.Decoder(locks.Lease).decode
_encode = msgspec.msgpack.Encoder().encode


def known_since_the_first(real: Any) -> Any:
    def since(self: acceptor.Acceptor, name: str, origin: Any) -> int:
        known = self._known_since.get(name)
        if known is None or origin == ZERO_BALLOT:
            known = self._known_since[name] = origin, self._out.now
        return known[1]

    return since


def fence_of_before(real: Any) -> Any:
    def initiate(holder: str, hold: int, call: str) -> Any:
        judged = real(holder, hold, call)

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            verdict: ChangeOutcome = judged(value, since, now)
            before = 1 if value is None else max(1, _lock(value).fencing_token)
            if verdict.new_value is None:
                return verdict
            after = msgspec.structs.replace(_lock(verdict.new_value), fencing_token=before)
            return ChangeOutcome(_encode(after), json_reply(200, fence=before))

        return change

    return initiate


def fence_forgotten(real: Any) -> Any:
    def terminate(holder: str, fence: int) -> Any:
        judged = real(holder, fence)

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            verdict: ChangeOutcome = judged(value, since, now)
            if verdict.new_value is None:
                return verdict
            return ChangeOutcome(
                _encode(msgspec.structs.replace(_lock(verdict.new_value), fencing_token=0)), verdict.result
            )

        return change

    return terminate


def each_run_a_new_call(real: Any) -> Any:
    def initiate(holder: str, hold: int, call: str) -> Any:
        return lambda value, since, now: real(holder, hold, f"{call}.{now}")(value, since, now)

    return initiate


def kept_is_given_back(real: Any) -> Any:
    def terminate(holder: str, fence: int) -> Any:
        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            plain = value and _encode(msgspec.structs.replace(_lock(value), reacquired=False))
            verdict: ChangeOutcome = real(holder, fence)(plain, since, now)
            return verdict

        return change

    return terminate


def shorter_cuts_short(real: Any) -> Any:
    return lambda self, known_since, now: 0


def put_unchecked(real: Any) -> Any:
    return lambda key, value, applies_to, ages: real(key, value, None, ages)


def never_known(real: Any) -> Any:
    return lambda self, key, value: None


def last_event_only(real: Any) -> Any:
    def put(self: groups.Group, key: str, value: Any, prune: int) -> groups.Group:
        after: groups.Group = real(self, key, value, prune)
        return groups.Group(after.revision, self.revision, after.cells, after.events[-1:])

    return put


def by_the_time_of_day(real: Any) -> Any:
    def evacuation(self: evacuations.Evacuations, zone: str, out: bool) -> Item:
        assert isinstance(self._settings, Place)
        made: Item = real(self, zone, out)
        return msgspec.structs.replace(made, version=(self._settings.wall() // NS_PER_MS, made.version[1]))

    return evacuation


class _Unfresh:
    def __init__(self, store: Any) -> None:
        self._store = store

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    async def read_quorum(self, timeout_s: float) -> None:
        return


def without_freshening(real: Any) -> Any:
    async def call(self: Any, *given: Any) -> Any:
        alone = copy.copy(self)
        alone._store = _Unfresh(self._store)
        return await real(alone, *given)

    return call


def nothing_from_memory(real: Any) -> Any:
    async def nothing(self: watches.Watches, name: str, after: int) -> Any:
        return watches.no_events_reply(after)

    return nothing


def told_before_held(real: Any) -> Any:
    async def propose(self: coordination_calls.CoordinationCalls, call: Any, until: int) -> Any:
        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            verdict: ChangeOutcome = call.change(value, since, now)
            if verdict.result.group is not None:
                self._waiters.group_read(call.register.removeprefix("g/"), verdict.result.group, now)
            return verdict

        return await real(self, RegisterCall(call.register, change), until)

    return propose


def however_late(self: evacuations.Evacuations, call: Any, connection: Any) -> None:
    return


def nobody_left(self: asgi.CallerConnection) -> bool:
    return False

"""Locks, numbers and cells: each call goes to the machine that proposes for its register.

What is answered here must be true whatever becomes of the copies of a call: 503 only where no copy has been
or will be carried out, 504 where that is not certain. A call that was handed over may be proposed here too:
locks know their call, puts their value, and numbers may have gaps.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ambershift.system.contracts import Change, Ledger, NotDoneError, NotHeldError, Verdict
from ambershift.system.control_api.events import CALL_REFUSED, CALL_UNCLEAR, CHANGE_FAILED, OWNER_SILENT
from ambershift.system.control_api.open_calls import OpenCalls, Sender
from ambershift.system.control_api.proposers import Proposers
from ambershift.system.coordination.ages import Ages
from ambershift.system.coordination.calls import PUT, read_call
from ambershift.system.coordination.groups import Group
from ambershift.system.coordination.replies import Call, ImproperError, Reply, reply
from ambershift.system.messages.forwarding import ForwardedCall, Outcome, Stirred
from ambershift.system.steps import MS, SECOND

PATIENCE = 900 * MS  # A caller gives up after a second of silence, and time is looked at each 50 ms.
OWNER_PATIENCE = 350 * MS  # Two trips between regions and a turn that has to be waited for.
LOOK_S = 0.02  # Seconds between looks whether this machine is in touch again.
LOOK = 50 * MS  # How often it is asked after that whether the owner is still there.
CATCH_UP = 150 * MS  # A voter's copy is whole again within this, once it has heard of new voters.
WORTH_TRYING = 60 * MS  # With less left, nothing new is begun.

REFUSED = reply(503, Cause="not in touch with enough machines")
UNCLEAR = reply(504, Cause="no clear outcome in time")
DECISIVE = frozenset({200, 400, 404, 409, 412})


class News(Protocol):
    """Who is told of groups as rounds that came through have left or found them."""

    def learn(self, name: str, group: Group) -> None: ...

    def note(self, name: str, group: Group) -> None:
        """As others are sent word of it, they will ask here for what it holds."""


class Applications:
    def __init__(
        self,
        ledger: Ledger,
        own: str,
        steady: Callable[[], int],
        send: Sender,
        open_calls: OpenCalls,
        proposers: Proposers,
        ages: Ages,
        log: Callable[[int, dict[str, Any]], None],
        news: News,
    ) -> None:
        self._ledger, self._own, self._steady, self._send = ledger, own, steady, send
        self._open_calls, self._proposers, self._ages, self._log, self._news = (
            open_calls,
            proposers,
            ages,
            log,
            news,
        )
        self._touched = 0  # When this machine was last seen to be in touch.

    async def ask(self, name: str, of: str, body: bytes) -> Reply:
        """A call that has just been read from its caller.

        A put is the same call however often and wherever it is sent, and this machine knows of this time
        alone: that nothing was done now is no promise that its value never shows up.
        """
        answer = await self._ask(name, of, body)
        return UNCLEAR if answer.status == 503 and name == PUT else answer

    async def _ask(self, name: str, of: str, body: bytes) -> Reply:
        until = self._steady() + PATIENCE
        number = self._open_calls.number()
        try:
            call = self._read(name, of, body, self._own, number)
        except ImproperError as why:
            return reply(400, Cause=f"{why.field}: {why.reason}")
        if not await self._in_touch():
            return REFUSED
        unclear = False
        while True:
            owner = self._proposers.owner(call.register)
            if owner == self._own:
                answer = await self.propose(call, until)
            else:
                left = (until - self._steady()) // MS
                handed = self._open_calls.hand(owner, number, name, of, body, left)
                answer = await self._handed(owner, handed, call, until)
            if answer.status in DECISIVE:
                return answer
            unclear |= answer.status != REFUSED.status
            if owner == self._own or until - self._steady() < WORTH_TRYING:
                return UNCLEAR if unclear else REFUSED

    async def _handed(self, owner: str, handed: asyncio.Future[Reply], call: Call, until: int) -> Reply:
        """What the owner makes of it. One that is there but slow is waited for: a second proposer beside it
        would only take the register from it again and again, and make it slower still."""
        try:
            patience = OWNER_PATIENCE
            while not handed.done() and (left := until - self._steady()) > 0:
                await asyncio.wait([handed], timeout=min(patience, left) / SECOND)
                patience = LOOK
                if not handed.done() and not self._ledger.lately(owner):
                    break
            if handed.done():
                if handed.result().status == REFUSED.status:
                    self._proposers.doubt(owner)
                return handed.result()
            self._proposers.doubt(owner)
            self._log(OWNER_SILENT, {"owner": owner, "register": call.register})
            return UNCLEAR
        finally:
            handed.cancel()

    async def _in_touch(self) -> bool:
        """Waits for a moment where this machine has only just lost touch: at each change of voters all copies
        are made whole first. Refused, callers' machines would look for another proposer, each its own."""
        if self._ledger.in_touch():
            self._touched = self._steady()
            return True
        until = min(self._touched + SECOND, self._steady() + CATCH_UP)
        while self._steady() < until:
            await asyncio.sleep(LOOK_S)
            if self._ledger.in_touch():
                return True
        return False

    async def propose(self, call: Call, until: int) -> Reply:
        """Through this machine, by `until`."""
        within = (until - self._steady()) / SECOND
        if within <= 0:
            return REFUSED
        noted = _Noted(call.change)
        try:
            answer: Reply = await self._ledger.change(call.register, noted, within)
        except NotDoneError as why:
            self._log(CALL_REFUSED, {"register": call.register, "reason": why.reason})
            return REFUSED
        except NotHeldError as why:
            self._log(CALL_UNCLEAR, {"register": call.register, "reason": why.reason})
            return UNCLEAR
        except Exception as why:  # Whatever it was, the caller must hear that it is unclear.
            self._log(CHANGE_FAILED, {"register": call.register, "reason": repr(why)})
            return UNCLEAR
        if answer.group is not None:
            self._put_about(call.register, answer.group, noted.changed)
        return answer

    async def carry_out(self, sender: str, forwarded: ForwardedCall) -> None:
        """A forwarded call of another machine; its outcome goes back whatever it is."""
        until = self._steady() + forwarded.left * MS
        try:
            call = self._read(forwarded.name, forwarded.of, forwarded.body, sender, forwarded.number)
            answer = await self.propose(call, until) if await self._in_touch() else REFUSED
        except ImproperError as why:
            answer = reply(400, Cause=f"{why.field}: {why.reason}")
        self._send(sender, Outcome(forwarded.number, answer.status, answer.body))

    def _read(self, name: str, of: str, body: bytes, sender: str, number: int) -> Call:
        return read_call(name, of, body, f"{sender}/{number:x}", self._ages)

    def _put_about(self, register: str, group: Group, changed: bool) -> None:
        """A round has come through: those that watch the group may know of it now."""
        name = register.removeprefix("g/")
        self._ages.note(name, group.revision, self._steady())
        self._news.learn(name, group)
        if changed and not self._proposers.first(register):
            self._news.note(name, group)
            for ip in self._proposers.others():
                self._send(ip, Stirred(name, group.revision))


class _Noted:
    """A change that remembers whether its last run, the one that counts, was to change the value."""

    def __init__(self, change: Change) -> None:
        self._change = change
        self.changed = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> Verdict:
        verdict = self._change(value, known_since, now)
        self.changed = verdict.value is not None
        return verdict

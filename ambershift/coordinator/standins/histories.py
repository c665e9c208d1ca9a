"""Operators at several members at once, and the history of what they called and were answered."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable

from ambershift.coordinator.groupsim.history import Kind, Operation, Outcome, Violation, check
from ambershift.coordinator.runtime.client import ClientError, Reply
from ambershift.coordinator.standins.rig import Rig

PAUSE = 0.02
# By these names alone a member may not know; by all others nothing was written.
UNKNOWN = ("(outcome-unknown)",)
NOT_SENT = ("can't connect", "did not come up", "before the first answer")


def judge(reply: Reply) -> Outcome:
    if not reply.failed:
        return Outcome.DONE
    return Outcome.UNKNOWN if any(name in reply.text for name in UNKNOWN) else Outcome.REFUSED


class History:
    """All operations of one rig, by one clock. A register is what is wished of one server's weight."""

    def __init__(self, rig: Rig, servers: Iterable[str]) -> None:
        self.rig, self.servers = rig, list(servers)
        self.operations = list[Operation]()
        self.reasons = Counter[str]()
        self.numbers = 0

    def next_value(self) -> int:
        """A weight that no other operation writes, so that a read tells which one it saw."""
        self.numbers += 1
        return self.numbers

    async def write(
        self, who: str, member: str, server: str, value: int, token: str, limit: float
    ) -> Outcome:
        called = time.monotonic_ns()
        try:
            reply = await self.rig.say(member, f"once {token} set weight {server} {weight(value)}", limit)
            outcome = judge(reply)
            if reply.failed:
                self.reasons[reply.text.partition(":")[0]] += 1
        except ClientError as error:
            if any(words in str(error) for words in NOT_SENT):
                self.reasons["not sent"] += 1
                return Outcome.REFUSED
            outcome = Outcome.UNKNOWN
            self.reasons["no answer"] += 1
        returned = None if outcome is Outcome.UNKNOWN else time.monotonic_ns()
        self.operations.append(
            Operation(who, server, Kind.ONCE, weight(value), called, returned, outcome, token)
        )
        return outcome

    async def read(self, who: str, member: str, limit: float) -> bool:
        """One read of all registers; nothing is recorded where it is refused or not answered."""
        called = time.monotonic_ns()
        try:
            reply = await self.rig.say(member, "show standing json", limit)
        except ClientError:
            return False
        if reply.failed:
            self.reasons["read: " + reply.text.partition(":")[0]] += 1
            return False
        returned, seen = time.monotonic_ns(), {row["server"]: row["wish"] for row in json.loads(reply.text)}
        for server in self.servers:
            value = wished(seen.get(server))
            self.operations.append(Operation(who, server, Kind.READ, value, called, returned, Outcome.DONE))
        return True

    async def read_at_last(self, member: str, limit: float = 60.0) -> None:
        """Once all is mended a read must come to an answer, however busy the machine is meanwhile."""
        await self.rig.eventually(lambda: self.read("last", member, 5.0), limit, f"a read at {member}")

    async def operator(
        self,
        name: str,
        chance: random.Random,
        going: Callable[[], bool],
        members: Callable[[], list[str]],
        limit: float = 5.0,
    ) -> None:
        """Writes and reads at whichever member, and asks again with the same token where it does not know."""
        count = 0
        while going():
            places = members()
            if not places:
                await asyncio.sleep(PAUSE)
                continue
            member, count = chance.choice(places), count + 1
            if chance.random() < 0.4:
                await self.read(name, member, limit)
            else:
                server, value, token = chance.choice(self.servers), self.next_value(), f"{name}-{count}"
                for _ in range(3):
                    if await self.write(name, member, server, value, token, limit) is not Outcome.UNKNOWN:
                        break
                    member = chance.choice(members() or places)
            await asyncio.sleep(PAUSE * chance.random())

    def violation(self) -> Violation | None:
        return check(self.operations)

    def counts(self) -> dict[str, int]:
        found = Counter(f"{one.kind}-{one.outcome}" for one in self.operations)
        return dict(sorted({**found, **self.reasons}.items()))


def weight(value: int) -> str:
    """Distinct figures within what a weight may be, up to 25,500 of them; none is so small that what has been
    drained would be lent back for want of others.
    """
    return f"{1 + value / 100:g}"


def wished(words: str | None) -> str | None:
    """The weight in the words of `show standing`, as it was written; None where none stands."""
    for word in (words or "").split(","):
        if word.startswith("weight="):
            return word.removeprefix("weight=")
    return None

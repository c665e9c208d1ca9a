"""When the voters should change, and to what: the first set grows, silent ones are replaced one for one."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.consensus.acceptor import VOTERS, Acceptor
from ambershift.system.consensus.outbox import Held, Outbox
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.quorum import balanced
from ambershift.system.consensus.voters import Voters
from ambershift.system.consensus.watching import SILENT, Watching
from ambershift.system.contracts import Verdict
from ambershift.system.messages.copies import Decision, Machine, Member
from ambershift.system.steps import MS, SECOND

SETTLE = SECOND  # After the last newcomer, before the first set takes all in.
RANK = 300 * MS  # Between the tries of one voter and the next, so that they seldom meet.
WITHIN = 2 * SECOND
GAP = 500 * MS  # A longer time between ticks: this process stood still, and others only seem silent.
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Decision).decode


def register_of(epoch: int) -> str:
    return f"{VOTERS}{epoch}"


class Joining:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        watching: Watching,
        acceptor: Acceptor,
        proposer: Proposer,
        tolerated: tuple[int, int, int],
        decided: Callable[[Decision], None],
    ) -> None:
        self._out, self._voters, self._watching = out, voters, watching
        self._acceptor, self._proposer, self._tolerated = acceptor, proposer, tolerated
        self._decided = decided
        self._ticked = self._awake = out.now
        self._wanted: tuple[Member, ...] | None = None
        self._since = 0
        self._busy = 0  # Till when a try of this machine is out.

    def _ready(self, machine: Machine) -> bool:
        decision = self._voters.decision
        counting = decision is not None and any(
            one.counted for one in self._watching.machines.values() if one.ip in self._voters.ips
        )
        return self._watching.lately(machine.ip) and (machine.counted or not counting)

    def _lost(self, one: Member) -> bool:
        """Whether enough voters, this one too, haven't heard it for a while."""
        witnesses = sum(
            one.ip in self._watching.silent.get(ip, ())
            for ip in self._voters.ips
            if ip != self._voters.me.ip and self._watching.alive(ip)
        )
        return (
            not self._watching.alive(one.ip)
            and self._out.now - self._awake > SILENT
            and witnesses + 1 >= self._voters.enough
        )

    def wanted(self) -> tuple[Member, ...]:
        """The voters that there should be, by what is known here."""
        decision = self._voters.decision
        if decision is None:
            return ()
        machines = self._watching.machines
        members = []
        for old in decision.members:
            # Whoever lost its disk comes back as another member. The newest word tells its place, too.
            now = machines.get(old.ip)
            again = now is not None and (
                now.birth == old.birth
                or (self._watching.lately(old.ip) and self._watching.own.get(old.ip) == now.birth)
            )
            members.append(now.member if now is not None and again else old)
        learners = [
            one for _, one in sorted(machines.items()) if one.ip not in self._voters.ips and self._ready(one)
        ]
        for index, old in enumerate(members):
            if learners and self._lost(old):
                chosen = min(
                    learners,
                    key=lambda one, old=old: (  # type: ignore[misc]
                        one.zone != old.zone,
                        one.region != old.region,
                        one.ip,
                    ),
                )
                learners.remove(chosen)
                members[index] = chosen.member
        members += [one.member for one in learners if one.initial]
        if len(members) > len(decision.members):
            return balanced(members, *self._tolerated)
        return tuple(members)

    def tick(self) -> None:
        now = self._out.now
        if now - self._ticked > GAP:
            self._awake = now
        self._ticked = now
        decision = self._voters.decision
        if decision is None or not self._voters.voting or now < self._busy or not self._watching.in_touch():
            return
        rank = sorted(ip for ip in self._voters.ips if self._watching.alive(ip)).index(self._voters.me.ip)
        wanted = self.wanted()
        if self._acceptor.record(register_of(decision.epoch)).value is not None:
            wanted = ()  # A decision may have been made that nobody tells of: find it out.
        elif {(one.ip, one.birth) for one in wanted} == {(one.ip, one.birth) for one in decision.members}:
            self._wanted = None
            return
        if wanted != self._wanted:
            self._wanted, self._since = wanted, now
        grown = len(wanted) > len(decision.members)
        if grown and now - self._watching.newcomer < SETTLE:
            return
        if now - self._since >= rank * RANK:
            self._try(decision, wanted)

    def _try(self, decision: Decision, wanted: tuple[Member, ...]) -> None:
        self._busy = self._out.now + WITHIN
        after = _encode(Decision(decision.epoch + 1, wanted, decision.members))

        def change(value: bytes | None, since: int, now: int) -> Verdict:
            if value is None and wanted:
                return Verdict(after, after)
            return Verdict(None, value)

        def done(outcome: Held | Exception) -> None:
            self._busy = 0
            if isinstance(outcome, Held) and outcome.result is not None:
                self._decided(_decode(outcome.result))

        self._proposer.call(register_of(decision.epoch), change, self._out.now + WITHIN, done)

"""When the voters change: one change at a time, agreed by the voters before it.

A change is the content of the register `@epoch`, so it needs a majority of the voters that it replaces: two
parts of a set can't both make themselves a smaller one. The next one waits until all voters that are there
have what was held before, unless the next loss would leave no majority of complete ones.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.consensus.acceptor import VOTER_REGISTER_PREFIX, Acceptor
from ambershift.system.consensus.effect_buffer import Held, Outbox
from ambershift.system.consensus.failure_detector import SILENT, FailureDetector
from ambershift.system.consensus.membership_plan import Plan, VoterView, plan
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.voters import Voters
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.replication import NodeRecord, Voter, VoterConfiguration
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

SETTLE = NS_PER_SECOND  # After the last newcomer, before the first set takes all in.
RANK = 300 * NS_PER_MS  # Between the tries of one voter and the next, so that they seldom meet.
WITHIN = 2 * NS_PER_SECOND
GAP = 500 * NS_PER_MS  # A longer time between ticks: this process stood still, and others only seem silent.
LEFT_OUT = 6 * NS_PER_SECOND  # Silent for so long, with no learner to take its seat, a voter may be left out.
TAKEN_IN = 3 * NS_PER_SECOND  # A learner is there for so long before it is taken in beside all others.
EVENT_COPIES = 208
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterConfiguration).decode


def register_of(epoch: int) -> str:
    return f"{VOTER_REGISTER_PREFIX}{epoch}"


def _identities(members: tuple[Voter, ...]) -> set[tuple[str, int]]:
    return {(one.ip, one.birth) for one in members}


class Membership:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        watching: FailureDetector,
        acceptor: Acceptor,
        proposer: Proposer,
        tolerated: tuple[int, int, int],
        decided: Callable[[VoterConfiguration], None],
    ) -> None:
        self._out, self._voters, self._failure_detector = out, voters, watching
        self._acceptor, self._proposer, self._tolerated = acceptor, proposer, tolerated
        self._decided = decided
        self._ticked = self._awake = out.now
        self._wanted: tuple[Voter, ...] | None = None
        self._since = 0
        self._busy = 0  # Till when a try of this machine is out.
        self._told = (0, 0, 0, 0)  # What was logged last.

    # Who is how.

    def _ready(self, machine: NodeRecord) -> bool:
        """Whether a learner may be made a voter."""
        counting = any(
            one.counted for one in self._failure_detector.nodes.values() if one.ip in self._voters.ips
        )
        return (
            self._failure_detector.was_heard_recently(machine.ip)
            and machine.ip not in self._failure_detector.leaving
            and (machine.counted or not counting)
        )

    def _lost(self, one: Voter) -> bool:
        """Whether enough voters, this one too, haven't heard it for a while."""
        witnesses = sum(
            one.ip in self._failure_detector.suspected_by.get(ip, ())
            for ip in self._voters.ips
            if ip != self._voters.me.ip and self._failure_detector.is_alive(ip)
        )
        return (
            not self._failure_detector.is_alive(one.ip)
            and self._out.now - self._awake > SILENT
            and witnesses + 1 >= self._voters.enough
        )

    def _now(self, old: Voter) -> Voter:
        """The voter with the disk that it has now: whoever lost its disk comes back as another member."""
        machine = self._failure_detector.nodes.get(old.ip)
        if machine is None:
            return old
        again = (
            self._failure_detector.was_heard_recently(old.ip)
            and self._failure_detector.self_reported_disks.get(old.ip) == machine.birth
        )
        return machine.voter if machine.birth == old.birth or again else old

    def _view(self, old: Voter) -> VoterView:
        lost = self._lost(old)
        gone = (
            lost
            and not self._failure_detector.is_alive(old.ip, LEFT_OUT)
            and self._out.now - self._awake > LEFT_OUT
        )
        # Within a beat and a half: one that has just died must not be counted on when others are left out.
        heard = self._failure_detector.is_responsive(old.ip)
        leaving, complete = (
            old.ip in self._failure_detector.leaving,
            self._failure_detector.is_complete(old.ip),
        )
        return VoterView(self._now(old), heard, lost, gone, leaving, complete)

    def wanted(self) -> Plan:
        """The voters that there should be, by what is known here."""
        decision = self._voters.decision
        if decision is None:
            return Plan(())
        machines = self._failure_detector.nodes
        learners = [
            one for _, one in sorted(machines.items()) if one.ip not in self._voters.ips and self._ready(one)
        ]
        return plan([self._view(old) for old in decision.voters], learners, self._tolerated)

    def _completing(self) -> bool:
        """Whether voters that are there lack what was held before, and the others can do without them."""
        present = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        complete = sum(self._failure_detector.is_complete(ip) for ip in present)
        return complete < len(present) and complete > self._voters.enough

    def _tell(self, decision: VoterConfiguration) -> None:
        """Log how many copies there are, whenever that changes: a copy that is filled isn't complete."""
        present = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        complete = sum(self._failure_detector.is_complete(ip) for ip in present)
        told = (decision.epoch, len(decision.voters), len(present), complete)
        if told != self._told:
            self._told = told
            epoch, voters, there, whole = told
            self._out.log(EVENT_COPIES, epoch=epoch, voters=voters, present=there, complete=whole)

    # Changes.

    def tick(self) -> None:
        now = self._out.now
        if now - self._ticked > GAP:
            self._awake = now
        self._ticked = now
        decision = self._voters.decision
        if (
            decision is None
            or not self._voters.voting
            or now < self._busy
            or not self._failure_detector.has_quorum_contact()
        ):
            return
        self._tell(decision)
        found = self.wanted()
        wanted = found.members
        if self._acceptor.state(register_of(decision.epoch)).value is not None:
            wanted = ()  # A decision may have been made that nobody tells of: find it out.
        elif _identities(wanted) == _identities(decision.voters) or self._completing():
            self._wanted = None
            return
        if wanted != self._wanted:
            self._wanted, self._since = wanted, now
        if wanted and found.grows and self._too_early(found):
            return
        if now - self._since >= self._rank() * RANK:
            self._try(decision, wanted)

    def _rank(self) -> int:
        """The place of this machine in the order in which voters try."""
        present = sorted(ip for ip in self._voters.ips if self._failure_detector.is_alive(ip))
        return present.index(self._voters.me.ip)

    def _too_early(self, found: Plan) -> bool:
        if found.founding:
            return self._out.now - self._failure_detector.last_newcomer_at < SETTLE
        return self._out.now - self._since < TAKEN_IN

    def _try(self, decision: VoterConfiguration, wanted: tuple[Voter, ...]) -> None:
        self._busy = self._out.now + WITHIN
        after = _encode(VoterConfiguration(decision.epoch + 1, wanted, decision.voters))

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            if value is None and wanted:
                return ChangeOutcome(after, after)
            return ChangeOutcome(None, value)

        def done(outcome: Held | Exception) -> None:
            self._busy = 0
            if isinstance(outcome, Held) and outcome.result is not None:
                self._decided(_decode(outcome.result))

        self._proposer.change(register_of(decision.epoch), change, self._out.now + WITHIN, done)

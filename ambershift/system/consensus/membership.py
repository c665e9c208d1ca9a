"""When the voters change: one change at a time, agreed by the voters before it.

A change is the content of the register `@epoch`, so it needs a majority of the voters that it replaces: two
parts of a set can't both make themselves a smaller one. The next one waits until all voters that are there
have what was held before, unless the next loss would leave no majority of complete ones.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.consensus.acceptor import VOTER_REGISTER_PREFIX, Acceptor
from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.failure_detector import SUSPICION_TIMEOUT_NS, FailureDetector
from ambershift.system.consensus.membership_plan import VoterPlan, VoterView, plan_voters
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.voters import VotingState
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.replication import NodeRecord, Voter, VoterConfiguration
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

FOUNDING_DELAY_NS = NS_PER_SECOND  # After the last newcomer, before the first set takes all in.
PROPOSAL_STAGGER_NS = (
    300 * NS_PER_MS
)  # Between the tries of one voter and the next, so that they seldom meet.
PROPOSAL_TIMEOUT_NS = 2 * NS_PER_SECOND
PAUSE_THRESHOLD_NS = (
    500 * NS_PER_MS
)  # A longer time between ticks: this process stood still, and others only seem silent.
REMOVAL_TIMEOUT_NS = (
    6 * NS_PER_SECOND
)  # Silent for so long, with no learner to take its seat, a voter may be left out.
JOIN_DELAY_NS = 3 * NS_PER_SECOND  # A learner is there for so long before it is taken in beside all others.
EVENT_REPLICA_COUNT = 208
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterConfiguration).decode


def register_of(epoch: int) -> str:
    return f"{VOTER_REGISTER_PREFIX}{epoch}"


def _voter_ids(members: tuple[Voter, ...]) -> set[tuple[str, int]]:
    return {(one.ip, one.disk_id) for one in members}


class MembershipManager:
    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        directory: PeerDirectory,
        failure_detector: FailureDetector,
        acceptor: Acceptor,
        proposer: Proposer,
        tolerated: tuple[int, int, int],
        decided: Callable[[VoterConfiguration], None],
    ) -> None:
        self._out, self._voters = out, voters
        self._directory, self._failure_detector = directory, failure_detector
        self._acceptor, self._proposer, self._tolerated = acceptor, proposer, tolerated
        self._on_configuration = decided
        self._last_tick = self._running_since = out.now
        self._planned_voters: tuple[Voter, ...] | None = None
        self._planned_since = 0
        self._proposal_deadline = 0  # Till when a try of this machine is out.
        self._last_logged_counts = (0, 0, 0, 0)  # What was logged last.

    # Who is how.

    def _is_eligible(self, machine: NodeRecord) -> bool:
        """Whether a learner may be made a voter."""
        counting = any(one.counted for one in self._directory.nodes.values() if one.ip in self._voters.ips)
        return (
            self._failure_detector.was_heard_recently(machine.ip)
            and machine.ip not in self._failure_detector.leaving
            and (machine.counted or not counting)
        )

    def _is_lost(self, one: Voter) -> bool:
        """Whether enough voters, this one too, haven't heard it for a while."""
        witnesses = sum(
            one.ip in self._failure_detector.suspected_by.get(ip, ())
            for ip in self._voters.ips
            if ip != self._voters.local_node.ip and self._failure_detector.is_alive(ip)
        )
        return (
            not self._failure_detector.is_alive(one.ip)
            and self._out.now - self._running_since > SUSPICION_TIMEOUT_NS
            and witnesses + 1 >= self._voters.quorum_size
        )

    def _current_identity(self, old: Voter) -> Voter:
        """The voter with the disk that it has now: whoever lost its disk comes back as another member."""
        machine = self._directory.nodes.get(old.ip)
        if machine is None:
            return old
        again = (
            self._failure_detector.was_heard_recently(old.ip)
            and self._directory.self_reported_disks.get(old.ip) == machine.disk_id
        )
        return machine.voter if machine.disk_id == old.disk_id or again else old

    def _view_of(self, old: Voter) -> VoterView:
        lost = self._is_lost(old)
        gone = (
            lost
            and not self._failure_detector.is_alive(old.ip, REMOVAL_TIMEOUT_NS)
            and self._out.now - self._running_since > REMOVAL_TIMEOUT_NS
        )
        # Within a beat and a half: one that has just died must not be counted on when others are left out.
        heard = self._failure_detector.is_responsive(old.ip)
        leaving, complete = (
            old.ip in self._failure_detector.leaving,
            self._failure_detector.is_complete(old.ip),
        )
        return VoterView(self._current_identity(old), heard, lost, gone, leaving, complete)

    def plan(self) -> VoterPlan:
        """The voters that there should be, by what is known here."""
        decision = self._voters.configuration
        if decision is None:
            return VoterPlan(())
        machines = self._directory.nodes
        learners = [
            one
            for _, one in sorted(machines.items())
            if one.ip not in self._voters.ips and self._is_eligible(one)
        ]
        return plan_voters([self._view_of(old) for old in decision.voters], learners, self._tolerated)

    def _awaits_completion(self) -> bool:
        """Whether voters that are there lack what was held before, and the others can do without them."""
        present = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        complete = sum(self._failure_detector.is_complete(ip) for ip in present)
        return complete < len(present) and complete > self._voters.quorum_size

    def _log_replica_counts(self, decision: VoterConfiguration) -> None:
        """Log how many copies there are, whenever that changes: a copy that is filled isn't complete."""
        present = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        complete = sum(self._failure_detector.is_complete(ip) for ip in present)
        told = (decision.epoch, len(decision.voters), len(present), complete)
        if told != self._last_logged_counts:
            self._last_logged_counts = told
            epoch, voters, there, whole = told
            self._out.log(EVENT_REPLICA_COUNT, epoch=epoch, voters=voters, present=there, complete=whole)

    # Changes.

    def tick(self) -> None:
        now = self._out.now
        if now - self._last_tick > PAUSE_THRESHOLD_NS:
            self._running_since = now
        self._last_tick = now
        decision = self._voters.configuration
        if (
            decision is None
            or not self._voters.can_vote
            or now < self._proposal_deadline
            or not self._failure_detector.has_quorum_contact()
        ):
            return
        self._log_replica_counts(decision)
        found = self.plan()
        wanted = found.voters
        if self._acceptor.state(register_of(decision.epoch)).value is not None:
            wanted = ()  # A decision may have been made that nobody tells of: find it out.
        elif _voter_ids(wanted) == _voter_ids(decision.voters) or self._awaits_completion():
            self._planned_voters = None
            return
        if wanted != self._planned_voters:
            self._planned_voters, self._planned_since = wanted, now
        if wanted and found.grows and self._is_too_early(found):
            return
        if now - self._planned_since >= self._proposal_rank() * PROPOSAL_STAGGER_NS:
            self._propose(decision, wanted)

    def _proposal_rank(self) -> int:
        """The place of this machine in the order in which voters try."""
        present = sorted(ip for ip in self._voters.ips if self._failure_detector.is_alive(ip))
        return present.index(self._voters.local_node.ip)

    def _is_too_early(self, found: VoterPlan) -> bool:
        if found.founding:
            return self._out.now - self._directory.last_newcomer_at < FOUNDING_DELAY_NS
        return self._out.now - self._planned_since < JOIN_DELAY_NS

    def _propose(self, decision: VoterConfiguration, wanted: tuple[Voter, ...]) -> None:
        self._proposal_deadline = self._out.now + PROPOSAL_TIMEOUT_NS
        after = _encode(VoterConfiguration(decision.epoch + 1, wanted, decision.voters))

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            if value is None and wanted:
                return ChangeOutcome(after, after)
            return ChangeOutcome(None, value)

        def done(outcome: CallSucceeded | Exception) -> None:
            self._proposal_deadline = 0
            if isinstance(outcome, CallSucceeded) and outcome.result is not None:
                self._on_configuration(_decode(outcome.result))

        self._proposer.change(register_of(decision.epoch), change, self._out.now + PROPOSAL_TIMEOUT_NS, done)

"""Membership changes: when and to what the set of voters changes, agreed by the voters before it.

A change is the content of a register of its own, `@epoch`, so it needs a majority of the voters that it
replaces: two parts of a partitioned set can't both form a smaller one. There is one change at a time. The
next one waits until all voters that are alive are complete, unless the next loss would leave no majority of
complete ones.
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

FOUNDING_DELAY_NS = NS_PER_SECOND  # From the last newcomer until the first set takes in all founders.
PROPOSAL_STAGGER_NS = 300 * NS_PER_MS  # Between the proposals of two voters, so that they seldom collide.
PROPOSAL_TIMEOUT_NS = 2 * NS_PER_SECOND
PAUSE_THRESHOLD_NS = 500 * NS_PER_MS  # A longer time between two ticks: this process stood still.
REMOVAL_TIMEOUT_NS = 6 * NS_PER_SECOND  # A voter silent for so long may be removed without a replacement.
JOIN_DELAY_NS = 3 * NS_PER_SECOND  # A learner must be alive for so long before the set grows by it.
EVENT_REPLICA_COUNT = 208
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterConfiguration).decode


def register_of(epoch: int) -> str:
    """Return the name of the register that holds the successor of that epoch's configuration."""
    return f"{VOTER_REGISTER_PREFIX}{epoch}"


def _voter_ids(voters: tuple[Voter, ...]) -> set[tuple[str, int]]:
    return {(voter.ip, voter.disk_id) for voter in voters}


class MembershipManager:
    """Watches the voters, and proposes the next configuration when a better one is possible."""

    def __init__(
        self,
        effects: EffectBuffer,
        voters: VotingState,
        *,
        directory: PeerDirectory,
        failure_detector: FailureDetector,
        acceptor: Acceptor,
        proposer: Proposer,
        tolerated: tuple[int, int, int],
        on_configuration: Callable[[VoterConfiguration], None],
    ) -> None:
        """Begin with the voters known here.

        Args:
            effects: Gives the time, and takes what is logged.
            voters: The voters, and whether this node votes.
            directory: The records of all nodes.
            failure_detector: Who is alive, leaving and complete.
            acceptor: Holds this node's state of the registers.
            proposer: Proposes the changes.
            tolerated: How many nodes, zones and regions may be lost at once.
            on_configuration: Called with each configuration that was found to be agreed.
        """
        self._effects = effects
        self._voters = voters
        self._directory = directory
        self._failure_detector = failure_detector
        self._acceptor = acceptor
        self._proposer = proposer
        self._tolerated = tolerated
        self._on_configuration = on_configuration
        self._last_tick = effects.now
        self._running_since = effects.now  # The start, or the end of the last pause of this process.
        self._planned_voters: tuple[Voter, ...] | None = None
        self._planned_since = 0
        self._proposal_deadline = 0  # Until then a proposal of this node may be in flight.
        self._last_logged_counts = (0, 0, 0, 0)

    # The state of each node.

    def _is_eligible(self, node: NodeRecord) -> bool:
        """Return whether a learner may become a voter.

        Where one of the voters is of a class that counts for the promised tolerance, only such ones may.
        """
        records = self._directory.nodes.values()
        any_voter_counted = any(record.counted for record in records if record.ip in self._voters.ips)
        return (
            self._failure_detector.was_heard_recently(node.ip)
            and node.ip not in self._failure_detector.leaving
            and (node.counted or not any_voter_counted)
        )

    def _is_lost(self, voter: Voter) -> bool:
        """Return whether a majority of the voters, this one included, suspects that voter."""
        if self._failure_detector.is_alive(voter.ip):
            return False
        if self._effects.now - self._running_since <= SUSPICION_TIMEOUT_NS:
            return False  # This process stood still: others only seem to be silent.
        witnesses = sum(
            voter.ip in self._failure_detector.suspected_by.get(ip, ())
            for ip in self._voters.ips
            if ip != self._voters.local_node.ip and self._failure_detector.is_alive(ip)
        )
        return witnesses + 1 >= self._voters.quorum_size

    def _is_expired(self, voter: Voter) -> bool:
        """Return whether a lost voter has been silent for so long that it may be removed."""
        return (
            not self._failure_detector.is_alive(voter.ip, REMOVAL_TIMEOUT_NS)
            and self._effects.now - self._running_since > REMOVAL_TIMEOUT_NS
        )

    def _current_identity(self, voter: Voter) -> Voter:
        """Return the voter with the disk that it has now.

        A node that has lost its disk comes back as another voter. Its new disk counts once the node itself
        has reported it: a record that others pass on may be outdated.
        """
        record = self._directory.nodes.get(voter.ip)
        if record is None:
            return voter
        is_confirmed = (
            self._failure_detector.was_heard_recently(voter.ip)
            and self._directory.self_reported_disks.get(voter.ip) == record.disk_id
        )
        return record.voter if record.disk_id == voter.disk_id or is_confirmed else voter

    def _view_of(self, voter: Voter) -> VoterView:
        is_lost = self._is_lost(voter)
        return VoterView(
            voter=self._current_identity(voter),
            # Judged by the shortest time-out: a voter that has just died must not be relied on when others
            # are removed.
            is_responsive=self._failure_detector.is_responsive(voter.ip),
            is_lost=is_lost,
            is_expired=is_lost and self._is_expired(voter),
            is_leaving=voter.ip in self._failure_detector.leaving,
            is_complete=self._failure_detector.is_complete(voter.ip),
        )

    def plan(self) -> VoterPlan:
        """Return the voters that there should be, by what is known here."""
        configuration = self._voters.configuration
        if configuration is None:
            return VoterPlan(())
        learners = [
            record
            for ip, record in sorted(self._directory.nodes.items())
            if ip not in self._voters.ips and self._is_eligible(record)
        ]
        views = [self._view_of(voter) for voter in configuration.voters]
        return plan_voters(views, learners, self._tolerated)

    def _count_replicas(self) -> tuple[int, int]:
        """Return how many voters are alive, and how many of these are complete."""
        alive = [ip for ip in self._voters.ips if self._failure_detector.is_alive(ip)]
        return len(alive), sum(self._failure_detector.is_complete(ip) for ip in alive)

    def _awaits_completion(self) -> bool:
        """Return whether voters are still catching up, and the complete ones can afford to wait for them."""
        alive, complete = self._count_replicas()
        return complete < alive and complete > self._voters.quorum_size

    def _log_replica_counts(self, configuration: VoterConfiguration) -> None:
        """Log how many replicas there are, whenever that changes."""
        alive, complete = self._count_replicas()
        counts = (configuration.epoch, len(configuration.voters), alive, complete)
        if counts != self._last_logged_counts:
            self._last_logged_counts = counts
            epoch, voters, present, complete = counts
            self._effects.log(
                EVENT_REPLICA_COUNT, epoch=epoch, voters=voters, reachable=present, complete=complete
            )

    # Changes.

    def tick(self) -> None:
        """Propose a change if one is due and it is this node's turn."""
        now = self._effects.now
        if now - self._last_tick > PAUSE_THRESHOLD_NS:
            self._running_since = now
        self._last_tick = now
        configuration = self._voters.configuration
        if (
            configuration is None
            or not self._voters.can_vote
            or now < self._proposal_deadline
            or not self._failure_detector.has_quorum_contact()
        ):
            return
        self._log_replica_counts(configuration)
        plan = self.plan()
        wanted = plan.voters
        if self._acceptor.state(register_of(configuration.epoch)).value is not None:
            # A successor may have been agreed by a proposer that died before it told anybody. An empty
            # proposal finds it out.
            wanted = ()
        elif _voter_ids(wanted) == _voter_ids(configuration.voters) or self._awaits_completion():
            self._planned_voters = None
            return
        if wanted != self._planned_voters:
            self._planned_voters = wanted
            self._planned_since = now
        if wanted and plan.grows and self._is_too_early(plan):
            return
        if now - self._planned_since >= self._proposal_rank() * PROPOSAL_STAGGER_NS:
            self._propose(configuration, wanted)

    def _proposal_rank(self) -> int:
        """Return this node's position in the order in which voters propose, from 0."""
        alive = sorted(ip for ip in self._voters.ips if self._failure_detector.is_alive(ip))
        return alive.index(self._voters.local_node.ip)

    def _is_too_early(self, plan: VoterPlan) -> bool:
        """Return whether a set that would grow should wait: further nodes may be about to join."""
        if plan.founding:
            return self._effects.now - self._directory.last_newcomer_at < FOUNDING_DELAY_NS
        return self._effects.now - self._planned_since < JOIN_DELAY_NS

    def _propose(self, configuration: VoterConfiguration, wanted: tuple[Voter, ...]) -> None:
        """Propose the successor of a configuration; with no voters wanted, only find out an agreed one."""
        deadline = self._effects.now + PROPOSAL_TIMEOUT_NS
        self._proposal_deadline = deadline
        successor = _encode(VoterConfiguration(configuration.epoch + 1, wanted, configuration.voters))

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            if value is None and wanted:
                return ChangeOutcome(successor, successor)
            return ChangeOutcome(None, value)

        def done(outcome: CallSucceeded | Exception) -> None:
            self._proposal_deadline = 0
            if isinstance(outcome, CallSucceeded) and outcome.result is not None:
                self._on_configuration(_decode(outcome.result))

        self._proposer.change(register_of(configuration.epoch), change, deadline, done)

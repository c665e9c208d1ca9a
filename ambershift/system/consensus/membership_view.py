"""What one control node knows of its peers, for operators and proxies."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus.failure_detector import LISTING_TIMEOUT_NS, FailureDetector
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.quorum import FULL_MESH_MAX_NODES
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.proxy_link import ControlNodeAddress


class VoterStatus(msgspec.Struct, frozen=True, rename="pascal"):
    """One voter.

    Attributes:
        is_alive: It was heard within the suspicion time-out (1.5 s).
        is_complete: It has all that was committed before the epoch.
        is_leaving: Its process is about to end.
    """

    ip: str
    zone: str
    is_alive: bool = msgspec.field(name="Heard")
    is_complete: bool = msgspec.field(name="Complete")
    is_leaving: bool = msgspec.field(name="Leaving")


class MembershipStatus(msgspec.Struct, frozen=True, rename="pascal"):
    """All voters.

    Attributes:
        epoch: Rises with each change of the voters.
        complete_count: How many of the voters are alive and complete.
        tolerated_losses: How many more of them may be lost before writes wait; below 0 they wait now.
        learners: Ips of other nodes that are alive.
    """

    epoch: int
    voters: tuple[VoterStatus, ...]
    complete_count: int = msgspec.field(name="Complete")
    tolerated_losses: int = msgspec.field(name="Bears")
    learners: tuple[str, ...]


def membership_status(
    voters: VotingState, directory: PeerDirectory, failure_detector: FailureDetector
) -> MembershipStatus:
    """Return the voters, and how many of them may be lost."""
    nodes = directory.nodes
    statuses = tuple(
        VoterStatus(
            voter.ip,
            # The first configuration names voters without their zones.
            nodes[voter.ip].zone if voter.ip in nodes else voter.zone,
            failure_detector.is_alive(voter.ip),
            failure_detector.is_complete(voter.ip),
            voter.ip in failure_detector.leaving,
        )
        for voter in (voters.configuration.voters if voters.configuration else ())
    )
    complete_count = sum(status.is_alive and status.is_complete for status in statuses)
    return MembershipStatus(
        epoch=voters.epoch,
        voters=statuses,
        complete_count=complete_count,
        tolerated_losses=complete_count - voters.quorum_size,
        learners=tuple(failure_detector.learners()),
    )


def control_node_addresses(
    voters: VotingState, directory: PeerDirectory, failure_detector: FailureDetector
) -> tuple[ControlNodeAddress, ...]:
    """Return the control nodes that proxies may link to, sorted by ip.

    These are all voters, and the other nodes heard within `LISTING_TIMEOUT_NS`. A learner of a large cluster
    doesn't receive heartbeats of all nodes: it lists all that it knows.
    """
    configuration = voters.configuration
    addresses = {
        voter.ip: ControlNodeAddress(voter.ip, voter.zone, voter.region)
        for voter in (configuration.voters if configuration else ())
    }
    hears_all = voters.can_vote or len(directory.nodes) <= FULL_MESH_MAX_NODES
    for node in directory.nodes.values():
        if node.ip in addresses or not hears_all or failure_detector.is_alive(node.ip, LISTING_TIMEOUT_NS):
            addresses[node.ip] = ControlNodeAddress(node.ip, node.zone, node.region)
    return tuple(addresses[ip] for ip in sorted(addresses))

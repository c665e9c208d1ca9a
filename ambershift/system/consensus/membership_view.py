"""What one control node knows of the voters: who there is, who is heard, and how many copies are complete."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus.failure_detector import FailureDetector
from ambershift.system.consensus.voters import VotingState


class VoterStatus(msgspec.Struct, frozen=True, rename="pascal"):
    """`heard` within the last second and a half; `complete`: it has all that was held before the epoch;
    `leaving`: its process is about to end."""

    ip: str
    zone: str
    is_alive: bool = msgspec.field(name="Heard")
    is_complete: bool = msgspec.field(name="Complete")
    is_leaving: bool = msgspec.field(name="Leaving")


class MembershipStatus(msgspec.Struct, frozen=True, rename="pascal"):
    """`epoch` rises with each change of the voters. `complete` of `voters` are heard and hold all that was
    acknowledged before it; `bears` more may be lost before writes wait (below 0: they wait now)."""

    epoch: int
    voters: tuple[VoterStatus, ...]
    complete_count: int = msgspec.field(name="Complete")
    tolerated_losses: int = msgspec.field(name="Bears")
    learners: tuple[str, ...]


def membership_status(voters: VotingState, watching: FailureDetector) -> MembershipStatus:
    decision = voters.configuration
    machines = watching.nodes
    found = tuple(
        VoterStatus(
            one.ip,
            machines[one.ip].zone if one.ip in machines else one.zone,  # Founders are named without.
            watching.is_alive(one.ip),
            watching.is_complete(one.ip),
            one.ip in watching.leaving,
        )
        for one in (decision.voters if decision else ())
    )
    complete = sum(one.is_alive and one.is_complete for one in found)
    bears = complete - voters.quorum_size
    return MembershipStatus(voters.epoch, found, complete, bears, tuple(watching.learners()))

"""What one control node knows of the voters: who there is, who is heard, and how many copies are complete."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus.failure_detector import Watching
from ambershift.system.consensus.voters import Voters


class Voter(msgspec.Struct, frozen=True, rename="pascal"):
    """`heard` within the last second and a half; `complete`: it has all that was held before the epoch;
    `leaving`: its process is about to end."""

    ip: str
    zone: str
    heard: bool
    complete: bool
    leaving: bool


class Members(msgspec.Struct, frozen=True, rename="pascal"):
    """`epoch` rises with each change of the voters. `complete` of `voters` are heard and hold all that was
    acknowledged before it; `bears` more may be lost before writes wait (below 0: they wait now)."""

    epoch: int
    voters: tuple[Voter, ...]
    complete: int
    bears: int
    learners: tuple[str, ...]


def members_of(voters: Voters, watching: Watching) -> Members:
    decision = voters.decision
    machines = watching.machines
    found = tuple(
        Voter(
            one.ip,
            machines[one.ip].zone if one.ip in machines else one.zone,  # Founders are named without.
            watching.alive(one.ip),
            watching.complete(one.ip),
            one.ip in watching.leaving,
        )
        for one in (decision.members if decision else ())
    )
    complete = sum(one.heard and one.complete for one in found)
    bears = complete - voters.enough
    return Members(voters.epoch, found, complete, bears, tuple(watching.learners()))

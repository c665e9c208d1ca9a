"""Which voters there should be: who is replaced, removed or added. Pure functions, without state.

The measure is how many voters a set can lose next and still have a majority. A voter is removed, or a
learner added, only where that number rises: so a set that is as good as another one is left as it is, and one
that was made smaller grows again when nodes return.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ambershift.system.consensus.quorum import MAX_VOTERS, balance_voters, majority
from ambershift.system.messages.replication import NodeRecord, Voter

MIN_VOTERS = 3  # A smaller set would keep too few replicas.


@dataclass(frozen=True, slots=True)
class VoterView:
    """A voter as one node sees it.

    A voter may be neither responsive nor known to be lost: then it isn't relied on, and keeps its seat.

    Attributes:
        voter: The voter, with the disk that it has now.
        is_responsive: This node has heard it just now.
        is_lost: A majority suspects it.
        is_expired: It has been silent for so long that it may be removed.
        is_leaving: It says that its process is about to end.
        is_complete: It says that it has all that was committed before this epoch.
    """

    voter: Voter
    is_responsive: bool = True
    is_lost: bool = False
    is_expired: bool = False
    is_leaving: bool = False
    is_complete: bool = True

    @property
    def is_available(self) -> bool:
        """Whether it is responsive and stays."""
        return self.is_responsive and not self.is_leaving

    @property
    def is_reliable(self) -> bool:
        """Whether its copy can be relied on: responsive, complete and not suspected by a majority."""
        return self.is_responsive and self.is_complete and not self.is_lost


@dataclass(frozen=True, slots=True)
class VoterPlan:
    """The voters that there should be.

    Attributes:
        voters: All of them.
        grows: Learners are added to the voters that there are.
        founding: The first set takes in those that were started with it.
    """

    voters: tuple[Voter, ...]
    grows: bool = False
    founding: bool = False


def loss_tolerance(available: int, size: int) -> int:
    """Return how many more voters a set may lose.

    Args:
        available: How many of its voters are available.
        size: How many voters it has.

    Returns:
        The number; below 0 the set has no majority now.
    """
    return available - majority(size)


def plan_voters(
    views: Sequence[VoterView], learners: Iterable[NodeRecord], tolerated: tuple[int, int, int]
) -> VoterPlan:
    """Return the voters that there should be.

    Args:
        views: The present voters.
        learners: Nodes that are alive and may become voters.
        tolerated: How many nodes, zones and regions may be lost at once.
    """
    spare = list(learners)
    seats = _replace_seats(views, spare)
    unchanged = tuple(seat.voter for seat in seats)
    founders = [node.voter for node in spare if node.initial]
    # The first set takes in all that were started with it, but for those that would spoil its balance.
    founding = balance_voters((*unchanged, *founders), *tolerated)
    if founders and set(founding) != set(unchanged):
        return VoterPlan(founding, grows=True, founding=True)
    kept = _remove_leaving(_remove_expired(seats))
    if len(kept) < len(seats):
        return VoterPlan(tuple(seat.voter for seat in kept))
    voters = (*unchanged, *(node.voter for node in _choose_additions(seats, spare)))
    if len(balance_voters(voters, *tolerated)) < len(voters):
        return VoterPlan(unchanged)  # The loss of one zone or region would be the loss of the majority.
    return VoterPlan(voters, grows=len(voters) > len(unchanged))


def _replace_seats(views: Sequence[VoterView], spare: list[NodeRecord]) -> list[VoterView]:
    """Hand the seats of lost voters, then of leaving ones, to the nearest spare nodes (taken out of `spare`).

    Leaving voters hand over their seats only while the reliable ones keep a majority. A learner may have died
    a moment ago: with a majority of the seats such learners would leave the set without a majority, though
    the leaving voters may be back with their disks in a second.
    """
    seats = list(views)
    reliable = sum(seat.is_reliable for seat in seats)
    for index in sorted(range(len(seats)), key=lambda index: not seats[index].is_lost):
        seat = seats[index]
        if not spare or not (seat.is_lost or seat.is_leaving):
            continue
        if not seat.is_lost:
            if reliable - seat.is_reliable < majority(len(seats)):
                continue
            reliable -= seat.is_reliable
        replacement = _nearest(seat.voter, spare)
        spare.remove(replacement)
        seats[index] = VoterView(replacement.voter)
    return seats


def _nearest(voter: Voter, nodes: Sequence[NodeRecord]) -> NodeRecord:
    return min(nodes, key=lambda node: (node.zone != voter.zone, node.region != voter.region, node.ip))


def _remove_expired(seats: Sequence[VoterView]) -> list[VoterView]:
    """Remove as few expired voters as make the set tolerate most."""
    return _remove_while_better(seats, [seat for seat in seats if seat.is_expired], min_tolerance=0)


def _remove_leaving(seats: Sequence[VoterView]) -> list[VoterView]:
    """Remove as few leaving voters as make the set tolerate most, and at least one more loss.

    A leaving voter may be back in a moment, and what is known of the others is a second old.
    """
    leaving = [seat for seat in seats if seat.is_leaving and not seat.is_lost]
    return _remove_while_better(seats, leaving, min_tolerance=1)


def _remove_while_better(
    seats: Sequence[VoterView], candidates: Sequence[VoterView], min_tolerance: int
) -> list[VoterView]:
    """Remove the first few candidates, where that makes the set tolerate more losses.

    Args:
        seats: The set.
        candidates: Those of it that may be removed, in order.
        min_tolerance: How many further losses the smaller set must tolerate at least.

    Returns:
        The smaller set; the same set where a smaller one isn't better.
    """
    available = sum(seat.is_available for seat in seats)
    removable = max(0, min(len(candidates), len(seats) - MIN_VOTERS))
    best = max(
        range(removable + 1), key=lambda count: (loss_tolerance(available, len(seats) - count), -count)
    )
    if best == 0 or loss_tolerance(available, len(seats) - best) < min_tolerance:
        return list(seats)
    return [seat for seat in seats if seat not in candidates[:best]]


def _choose_additions(seats: Sequence[VoterView], spare: Sequence[NodeRecord]) -> list[NodeRecord]:
    """Return as few learners as make the set tolerate most, of the regions with the fewest voters first."""
    available = sum(seat.is_available for seat in seats)
    addable = max(0, min(len(spare), MAX_VOTERS - len(seats)))
    best = max(
        range(addable + 1),
        key=lambda count: (loss_tolerance(available + count, len(seats) + count), -count),
    )
    voters_by_region = Counter(seat.voter.region for seat in seats)
    chosen: list[NodeRecord] = []
    for _ in range(best):
        remaining = [node for node in spare if node not in chosen]
        addition = min(remaining, key=lambda node: (voters_by_region[node.region], node.ip))
        voters_by_region[addition.region] += 1
        chosen.append(addition)
    return chosen

"""Which voters there should be, by what is known of each: who is replaced, left out or taken in. No state.

The measure is how many voters a set can lose next and still have a majority. A voter is left out, or a
learner taken in, only where that number rises: so a set that is as good as another one is left as it is, and
one that was made smaller grows again when machines return.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ambershift.system.consensus.quorum import MAX_VOTERS, balance_voters, majority
from ambershift.system.messages.replication import NodeRecord, Voter


@dataclass(frozen=True, slots=True)
class VoterView:
    """A voter as one machine sees it. `member` has the disk that it has now.

    `heard`: this machine hears it. `lost`: a majority hasn't heard it for a moment. `gone`: for so long that
    it may be left out. `leaving`: it tells that its process is about to end. `complete`: it tells that it has
    all that was held before this epoch. One may be neither heard nor known to be lost: then it isn't counted
    on, and its seat isn't taken.
    """

    voter: Voter
    is_responsive: bool = True
    is_lost: bool = False
    is_expired: bool = False
    is_leaving: bool = False
    is_complete: bool = True

    @property
    def is_available(self) -> bool:
        return self.is_responsive and not self.is_leaving


@dataclass(frozen=True, slots=True)
class VoterPlan:
    """The voters that there should be. `grows`: learners are taken in beside those that there are;
    `founding`: the first set takes in those that were started with it."""

    voters: tuple[Voter, ...]
    grows: bool = False
    founding: bool = False


MIN_VOTERS = 3


def loss_tolerance(present: int, size: int) -> int:
    """How many more of a set's voters may be lost, of which so many are there. Below 0: it stands still."""
    return present - majority(size)


def plan_voters(
    voters: Sequence[VoterView], learners: Iterable[NodeRecord], tolerated: tuple[int, int, int]
) -> VoterPlan:
    """`learners` are well and may vote. `tolerated`: machines, zones and regions that may be lost at once."""
    spare = list(learners)
    seats = _replace_seats(voters, spare)
    unchanged = tuple(seat.voter for seat in seats)
    founders = [one.voter for one in spare if one.initial]
    # The first set takes in all that were started with it, but for those that would spoil its balance.
    founding = balance_voters((*unchanged, *founders), *tolerated)
    if founders and set(founding) != set(unchanged):
        return VoterPlan(founding, grows=True, founding=True)
    kept = _remove_leaving(_remove_expired(seats))
    if len(kept) < len(seats):
        return VoterPlan(tuple(seat.voter for seat in kept))
    members = (*unchanged, *(one.voter for one in _choose_additions(seats, spare)))
    if len(balance_voters(members, *tolerated)) < len(members):
        return VoterPlan(unchanged)  # The loss of one zone or region would be the loss of the majority.
    return VoterPlan(members, grows=len(members) > len(unchanged))


def _replace_seats(voters: Sequence[VoterView], spare: list[NodeRecord]) -> list[VoterView]:
    """Seats of voters that are lost, then of those that leave, go to the nearest learners, which are then no
    longer spare.

    Those that leave hand their seats over only while complete voters that are heard keep a majority. A
    learner may have died a moment ago: with a majority of seats such ones would keep the set standing still,
    though those that leave may be back with their disks in a second."""
    seats = list(voters)
    staying = sum(_counted_on(seat) for seat in seats)
    order = sorted(range(len(seats)), key=lambda at: not seats[at].is_lost)
    for at in order:
        seat = seats[at]
        if not spare or not (seat.is_lost or seat.is_leaving):
            continue
        if not seat.is_lost:
            if staying - _counted_on(seat) < majority(len(seats)):
                continue
            staying -= _counted_on(seat)
        chosen = _nearest(seat.voter, spare)
        spare.remove(chosen)
        seats[at] = VoterView(chosen.voter)
    return seats


def _counted_on(seat: VoterView) -> bool:
    return seat.is_responsive and seat.is_complete and not seat.is_lost


def _nearest(old: Voter, spare: Sequence[NodeRecord]) -> NodeRecord:
    return min(spare, key=lambda one: (one.zone != old.zone, one.region != old.region, one.ip))


def _remove_expired(seats: Sequence[VoterView]) -> list[VoterView]:
    """Without as few of those that are gone as make the set tolerate most."""
    gone = [seat for seat in seats if seat.is_expired]
    return _remove_while_better(seats, gone, least=0)


def _remove_leaving(seats: Sequence[VoterView]) -> list[VoterView]:
    """The same for those that leave. One that is told to end may be back in a moment, and what is heard of
    the others is a second old: so only where one more may be lost then."""
    leaving = [seat for seat in seats if seat.is_leaving and not seat.is_lost]
    return _remove_while_better(seats, leaving, least=1)


def _remove_while_better(seats: Sequence[VoterView], out: Sequence[VoterView], least: int) -> list[VoterView]:
    """Without the first few of some, where that makes the set tolerate more, and `least` losses at least.

    Fewer voters than `FEWEST` would keep too few copies."""
    present = sum(seat.is_available for seat in seats)
    most = max(0, min(len(out), len(seats) - MIN_VOTERS))
    best = max(range(most + 1), key=lambda count: (loss_tolerance(present, len(seats) - count), -count))
    if best == 0 or loss_tolerance(present, len(seats) - best) < least:
        return list(seats)
    return [seat for seat in seats if seat not in out[:best]]


def _choose_additions(seats: Sequence[VoterView], spare: Sequence[NodeRecord]) -> list[NodeRecord]:
    """As few learners as make the set tolerate most, of the regions with the fewest voters first."""
    present = sum(seat.is_available for seat in seats)
    most = max(0, min(len(spare), MAX_VOTERS - len(seats)))
    count = max(range(most + 1), key=lambda some: (loss_tolerance(present + some, len(seats) + some), -some))
    regions = Counter(seat.voter.region for seat in seats)
    taken: list[NodeRecord] = []
    for _ in range(count):
        left = [one for one in spare if one not in taken]
        chosen = min(left, key=lambda one: (regions[one.region], one.ip))
        regions[chosen.region] += 1
        taken.append(chosen)
    return taken

"""Which voters there should be, by what is known of each: who is replaced, left out or taken in. No state.

The measure is how many voters a set can lose next and still have a majority. A voter is left out, or a
learner taken in, only where that number rises: so a set that is as good as another one is left as it is, and
one that was made smaller grows again when machines return.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ambershift.system.consensus.quorum import VOTERS_MOST, balanced, majority
from ambershift.system.messages.replication import NodeRecord, Voter


@dataclass(frozen=True, slots=True)
class VoterView:
    """A voter as one machine sees it. `member` has the disk that it has now.

    `heard`: this machine hears it. `lost`: a majority hasn't heard it for a moment. `gone`: for so long that
    it may be left out. `leaving`: it tells that its process is about to end. `complete`: it tells that it has
    all that was held before this epoch. One may be neither heard nor known to be lost: then it isn't counted
    on, and its seat isn't taken.
    """

    member: Voter
    heard: bool = True
    lost: bool = False
    gone: bool = False
    leaving: bool = False
    complete: bool = True

    @property
    def present(self) -> bool:
        return self.heard and not self.leaving


@dataclass(frozen=True, slots=True)
class Plan:
    """The voters that there should be. `grows`: learners are taken in beside those that there are;
    `founding`: the first set takes in those that were started with it."""

    members: tuple[Voter, ...]
    grows: bool = False
    founding: bool = False


FEWEST = 3


def tolerance(present: int, size: int) -> int:
    """How many more of a set's voters may be lost, of which so many are there. Below 0: it stands still."""
    return present - majority(size)


def plan(
    voters: Sequence[VoterView], learners: Iterable[NodeRecord], tolerated: tuple[int, int, int]
) -> Plan:
    """`learners` are well and may vote. `tolerated`: machines, zones and regions that may be lost at once."""
    spare = list(learners)
    seats = _replaced(voters, spare)
    unchanged = tuple(seat.member for seat in seats)
    founders = [one.voter for one in spare if one.initial]
    # The first set takes in all that were started with it, but for those that would spoil its balance.
    founding = balanced((*unchanged, *founders), *tolerated)
    if founders and set(founding) != set(unchanged):
        return Plan(founding, grows=True, founding=True)
    kept = _without_leaving(_without_gone(seats))
    if len(kept) < len(seats):
        return Plan(tuple(seat.member for seat in kept))
    members = (*unchanged, *(one.voter for one in _taken_in(seats, spare)))
    if len(balanced(members, *tolerated)) < len(members):
        return Plan(unchanged)  # The loss of one zone or region would be the loss of the majority.
    return Plan(members, grows=len(members) > len(unchanged))


def _replaced(voters: Sequence[VoterView], spare: list[NodeRecord]) -> list[VoterView]:
    """Seats of voters that are lost, then of those that leave, go to the nearest learners, which are then no
    longer spare.

    Those that leave hand their seats over only while complete voters that are heard keep a majority. A
    learner may have died a moment ago: with a majority of seats such ones would keep the set standing still,
    though those that leave may be back with their disks in a second."""
    seats = list(voters)
    staying = sum(_counted_on(seat) for seat in seats)
    order = sorted(range(len(seats)), key=lambda at: not seats[at].lost)
    for at in order:
        seat = seats[at]
        if not spare or not (seat.lost or seat.leaving):
            continue
        if not seat.lost:
            if staying - _counted_on(seat) < majority(len(seats)):
                continue
            staying -= _counted_on(seat)
        chosen = _nearest(seat.member, spare)
        spare.remove(chosen)
        seats[at] = VoterView(chosen.voter)
    return seats


def _counted_on(seat: VoterView) -> bool:
    return seat.heard and seat.complete and not seat.lost


def _nearest(old: Voter, spare: Sequence[NodeRecord]) -> NodeRecord:
    return min(spare, key=lambda one: (one.zone != old.zone, one.region != old.region, one.ip))


def _without_gone(seats: Sequence[VoterView]) -> list[VoterView]:
    """Without as few of those that are gone as make the set tolerate most."""
    gone = [seat for seat in seats if seat.gone]
    return _without(seats, gone, least=0)


def _without_leaving(seats: Sequence[VoterView]) -> list[VoterView]:
    """The same for those that leave. One that is told to end may be back in a moment, and what is heard of
    the others is a second old: so only where one more may be lost then."""
    leaving = [seat for seat in seats if seat.leaving and not seat.lost]
    return _without(seats, leaving, least=1)


def _without(seats: Sequence[VoterView], out: Sequence[VoterView], least: int) -> list[VoterView]:
    """Without the first few of some, where that makes the set tolerate more, and `least` losses at least.

    Fewer voters than `FEWEST` would keep too few copies."""
    present = sum(seat.present for seat in seats)
    most = max(0, min(len(out), len(seats) - FEWEST))
    best = max(range(most + 1), key=lambda count: (tolerance(present, len(seats) - count), -count))
    if best == 0 or tolerance(present, len(seats) - best) < least:
        return list(seats)
    return [seat for seat in seats if seat not in out[:best]]


def _taken_in(seats: Sequence[VoterView], spare: Sequence[NodeRecord]) -> list[NodeRecord]:
    """As few learners as make the set tolerate most, of the regions with the fewest voters first."""
    present = sum(seat.present for seat in seats)
    most = max(0, min(len(spare), VOTERS_MOST - len(seats)))
    count = max(range(most + 1), key=lambda some: (tolerance(present + some, len(seats) + some), -some))
    regions = Counter(seat.member.region for seat in seats)
    taken: list[NodeRecord] = []
    for _ in range(count):
        left = [one for one in spare if one not in taken]
        chosen = min(left, key=lambda one: (regions[one.region], one.ip))
        regions[chosen.region] += 1
        taken.append(chosen)
    return taken

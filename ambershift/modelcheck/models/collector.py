"""Whoever connects to our own address: strangers, collectors of a zone, and what each may.

Driven: `PeerSession` and `CollectorRegistry` of `coordinator/routing/peers.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ambershift.coordinator.routing.peers import (
    MAX_COLLECTORS_PER_ZONE,
    PEER_LIMITS,
    CollectorRegistry,
    PeerKind,
    PeerSession,
)
from ambershift.modelcheck.model import Base, Step, prop

ZONE = "a"
GONE, STRANGER, COLLECTOR = 0, 1, 2
AGE_MOST = 3


class Visitor(NamedTuple):
    """One connection: what it is by the machine, its bad messages on end, its age in seconds, and by our own
    count how many it really sent on end, and for how many things it has been silent.
    """

    what: int = GONE
    bad: int = 0
    age: int = 0
    really_bad: int = 0
    silent: int = 0


class World(NamedTuple):
    """`order` is the machine's row of a zone's collectors; `wrong` what was noticed as it happened."""

    visitors: tuple[Visitor, ...]
    order: tuple[int, ...]
    wrong: str


@prop
def no_stranger_stays(world: World) -> str | None:
    """Whoever has not named a zone is gone after the second that the protocol grants."""
    over = [at for at, one in enumerate(world.visitors) if one.what == STRANGER and one.age > 1]
    return f"visitor {over[0]} is here since {world.visitors[over[0]].age} s" if over else None


@prop
def a_zone_holds_three(world: World) -> str | None:
    """A zone has three collectors at the most, and the row of the zone has each that is here once."""
    here = sorted(at for at, one in enumerate(world.visitors) if one.what == COLLECTOR)
    if len(here) > MAX_COLLECTORS_PER_ZONE or sorted(world.order) != here:
        return f"here are {here}, the row has {world.order}"
    return None


@prop
def only_rubbish_ends_a_collector(world: World) -> str | None:
    """A collector is ended by eight bad messages on end and by a fourth of its zone, and by nothing less."""
    return world.wrong if world.wrong.startswith("ended") else None


@prop
def the_silent_one_goes(world: World) -> str | None:
    """Of too many collectors of a zone the one that has been silent for longest goes."""
    return world.wrong if world.wrong.startswith("pushed") else None


class CollectorModel(Base):
    name = "collector"
    sentence = "strangers and collectors at our own address: bad messages, too many of a zone, time"
    kind = World
    properties = (no_stranger_stays, a_zone_holds_three, only_rubbish_ends_a_collector, the_silent_one_goes)
    visitors = 4

    def initial(self) -> World:
        return World((Visitor(),) * self.visitors, (), "")

    def conduct(self, one: Visitor) -> PeerSession:
        conduct = PeerSession(0.0)
        if one.what == COLLECTOR:
            conduct.set_kind(PeerKind.COLLECTOR)
        conduct.consecutive_invalid = one.bad
        return conduct

    def peers(self, world: World) -> CollectorRegistry[int]:
        peers = CollectorRegistry[int]()
        peers.by_zone[ZONE] = list(world.order)
        return peers

    def steps(self, world: World) -> Iterator[Step[World]]:
        for at, one in enumerate(world.visitors):
            if one.what == GONE:
                yield Step(f"visitor {at}: connects", self.put(world, at, Visitor(STRANGER)))
                continue
            yield Step(f"visitor {at}: goes", self.leaves(world, at))
            yield self.sends_rubbish(world, at, one)
            if one.what == STRANGER:
                yield self.joins(world, at)
            else:
                yield self.reports(world, at, one)
            if one.age < AGE_MOST and one.what == STRANGER:
                yield self.waits(world, at, one)

    def put(self, world: World, at: int, one: Visitor) -> World:
        return world._replace(visitors=(*world.visitors[:at], one, *world.visitors[at + 1 :]))

    def leaves(self, world: World, at: int) -> World:
        peers = self.peers(world)
        if world.visitors[at].what == COLLECTOR:
            peers.remove(at, ZONE)
        return self.put(world, at, Visitor())._replace(order=tuple(peers.by_zone[ZONE]))

    def sends_rubbish(self, world: World, at: int, one: Visitor) -> Step[World]:
        conduct = self.conduct(one)
        ends, really = conduct.record_invalid(), one.really_bad + 1
        after = self.put(world, at, one._replace(bad=conduct.consecutive_invalid, really_bad=really))
        if not ends:
            if really > 8:
                after = after._replace(wrong="ended too late: over eight bad messages on end are borne")
            return Step(f"visitor {at}: sends what can't be used", after)
        if one.what == COLLECTOR and really < 8:
            after = after._replace(wrong=f"ended: a collector after {really} bad messages on end")
        return Step(f"visitor {at}: sends what can't be used and is closed", self.leaves(after, at))

    def joins(self, world: World, at: int) -> Step[World]:
        peers, conduct = self.peers(world), self.conduct(world.visitors[at])
        conduct.set_kind(PeerKind.COLLECTOR)
        conduct.record_valid()
        gone = peers.add(at, ZONE)
        after = self.heard(world, at, Visitor(COLLECTOR, conduct.consecutive_invalid))._replace(
            order=tuple(peers.by_zone[ZONE])
        )
        if gone is None:
            return Step(f"visitor {at}: names its zone", after)
        longest = max(one.silent for one in after.visitors if one.what == COLLECTOR)
        if after.visitors[gone].silent < longest:
            after = after._replace(wrong=f"pushed out {gone}, which others have been silent for longer than")
        return Step(f"visitor {at}: names its zone, and {gone} goes for it", self.leaves(after, gone))

    def heard(self, world: World, at: int, one: Visitor) -> World:
        """Something came of this one: of all other collectors nothing did."""
        return world._replace(
            visitors=tuple(
                one
                if other == at
                else each._replace(silent=min(each.silent + 1, self.visitors))
                if each.what == COLLECTOR
                else each
                for other, each in enumerate(world.visitors)
            )
        )

    def reports(self, world: World, at: int, one: Visitor) -> Step[World]:
        peers, conduct = self.peers(world), self.conduct(one)
        conduct.record_valid()
        peers.touch(at, ZONE)
        after = self.heard(world, at, one._replace(bad=conduct.consecutive_invalid, really_bad=0, silent=0))
        return Step(f"visitor {at}: reports", after._replace(order=tuple(peers.by_zone[ZONE])))

    def waits(self, world: World, at: int, one: Visitor) -> Step[World]:
        left = self.conduct(one).remaining_s(float(one.age + 1))
        older = one._replace(age=one.age + 1)
        if left is not None and left <= 0:
            return Step(
                f"visitor {at}: waits a second and is closed", self.leaves(self.put(world, at, older), at)
            )
        return Step(f"visitor {at}: waits a second", self.put(world, at, older))

    def orbit(self, world: World) -> Iterable[World]:
        """Visitors have no names: sorted by what they are and where the row has them, they stand for all."""
        places = {one: at for at, one in enumerate(world.order)}
        back = sorted(range(self.visitors), key=lambda one: (world.visitors[one], places.get(one, -1)))
        names = {one: at for at, one in enumerate(back)}
        yield World(
            tuple(world.visitors[one] for one in back), tuple(names[one] for one in world.order), world.wrong
        )


# The sentences above say so.
assert PEER_LIMITS[PeerKind.COLLECTOR].max_consecutive_invalid == 7
assert PEER_LIMITS[PeerKind.STRANGER].max_duration_s == 1.0

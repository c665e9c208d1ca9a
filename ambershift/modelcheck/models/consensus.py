"""Three control nodes, one list, few calls; disks lost, processes killed, and voters that change.

Driven: `system/consensus/`, all of it but beats and words of third ones. One step is one call, change or
start with all that follows, among those who hear each other then; what doesn't get through is lost, and
then so much time passes that nobody waits for it. What comes late is left to the drills.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ambershift.modelcheck.model import Base, Property, Step
from ambershift.modelcheck.models.consensus_table import ALL, IPS, PLACES, Table, Ways, World
from ambershift.system.state_machine import MessageReceived, Tick


def broken(name: str, sentence: str) -> Property:
    def check(world: World) -> str | None:
        return world.wrong[1] if world.wrong[0] == name else None

    return Property(name, sentence, check)


class ConsensusModel(Base):
    name = "consensus"
    sentence = "three control nodes and a list: calls, kills, a lost disk, voters that change"
    kind = World
    properties = (
        broken("one-order", "Each list told begins with the one told before it."),
        broken("refused-is-never", "What was told never to come in never does."),
    )
    appends, calls, restarts, wipes, changes = 2, 2, 0, 1, 1

    def initial(self) -> World:
        nothing = World(
            (b"",) * 3,
            (_NO_ROWS,) * 3,
            (b"",) * 3,
            (),
            (),
            0,
            self.appends,
            self.calls,
            self.restarts,
            self.wipes,
            self.changes,
            ("", ""),
        )
        table = Table(nothing)
        for place in PLACES:
            table.start(place)
        return table.done()

    def key(self, world: World) -> Any:
        return (world.disks, world.sums, world.told, world.refused, world[6:])

    @staticmethod
    def ways(place: int) -> Iterator[tuple[str, Ways]]:
        one, other = (at for at in PLACES if at != place)
        for near in (one, other):
            yield f"{IPS[near]} hears and is heard", frozenset(((place, near), (near, place)))
            yield f"{IPS[near]} hears", frozenset(((place, near),))
        yield "nobody hears", frozenset()

    def steps(self, world: World) -> Iterator[Step[World]]:
        if world.wrong[0]:
            return
        for place in PLACES:
            for name, ways in self.ways(place):
                yield from self.called(world, place, name, ways)
                if world.changes and self.behind(world):
                    table = Table(world)
                    if table.replica(place).voters.can_vote:
                        table.propose(place, ways)
                        yield Step(
                            f"{IPS[place]}: changes the voters; {name}", table.done(changes=world.changes - 1)
                        )
            yield from self.catches_up(world, place)
        yield from self.starts_anew(world)

    def called(self, world: World, place: int, name: str, ways: Ways) -> Iterator[Step[World]]:
        if world.appends:
            table = Table(world)
            table.call(place, b"%08d" % world.appends, ways)
            yield Step(
                f"{IPS[place]}: is asked to append {world.appends}; {name}",
                table.done(appends=world.appends - 1),
            )
        if world.calls:
            table = Table(world)
            table.call(place, b"", ways)
            yield Step(f"{IPS[place]}: is asked to read; {name}", table.done(calls=world.calls - 1))

    @staticmethod
    def behind(world: World) -> bool:
        """Whether a voter of the newest epoch has another disk."""
        table = Table(world)
        newest = max(
            (
                table.replica(place).voters.configuration
                for place in PLACES
                if table.replica(place).voters.configuration is not None
            ),
            key=lambda one: one.epoch if one else 0,
        )
        births = {ip: table.replica(at).voters.local_node.disk_id for at, ip in enumerate(IPS)}
        return newest is not None and any(births[one.ip] != one.disk_id for one in newest.voters)

    def catches_up(self, world: World, place: int) -> Iterator[Step[World]]:
        """It hears of newer voters, or gathers what it lacks before it votes."""
        table = Table(world)
        mine = table.replica(place).voters
        for other in PLACES:
            theirs = table.replica(other).voters.configuration
            if other != place and theirs is not None and theirs.epoch > mine.epoch:
                after = Table(world)
                after.does(place, MessageReceived(IPS[other], theirs), frozenset())
                after.settle()
                yield Step(f"{IPS[place]}: hears of the voters from {IPS[other]}", after.done())
        if mine.is_voter and not mine.can_vote:
            for name, ways in (*self.ways(place), ("all hear", ALL)):
                after = Table(world)
                after.does(place, Tick(), ways)
                after.settle()
                yield Step(f"{IPS[place]}: gathers; {name}", after.done())

    def starts_anew(self, world: World) -> Iterator[Step[World]]:
        for place in PLACES:
            if world.restarts:
                table = Table(world)
                table.start(place)
                yield Step(f"{IPS[place]}: is killed and starts", table.done(restarts=world.restarts - 1))
            if world.wipes and self.may_lose(world, place):
                table = Table(world)
                table.start(place, True)
                yield Step(f"{IPS[place]}: loses its disk", table.done(wipes=world.wipes - 1))

    @staticmethod
    def may_lose(world: World, place: int) -> bool:
        """Whether the others are complete voters of the newest epoch, and no disk is lost yet."""
        table = Table(world)
        epochs = [table.replica(at).voters.epoch for at in PLACES]
        return all(
            table.replica(at).voters.can_vote and epochs[at] == max(epochs) for at in PLACES if at != place
        )

    def show(self, world: World) -> list[str]:
        table = Table(world)
        told = []
        for place in PLACES:
            replica = table.replica(place)
            record = replica._acceptor.state("list")
            told.append(
                f"{IPS[place]}: epoch {replica.voters.epoch}, whole {replica.voters.complete_epoch}, "
                f"votes {replica.voters.can_vote}, promised {record.promised_ballot[0]}, accepted "
                f"{record.accepted_ballot[0]}, {record.value!r}"
            )
        return [*told, f"told: {world.told}; refused: {world.refused}"]


class ConsensusKills(ConsensusModel):
    name = "consensus-kills"
    sentence = "three control nodes and a list: calls and kills, the voters stay"
    appends, calls, restarts, wipes, changes = 3, 1, 1, 0, 0


class ConsensusLarge(ConsensusModel):
    name = "consensus-large"
    sentence = "three control nodes and a list: more calls, two disks lost one after the other"
    appends, calls, restarts, wipes, changes = 3, 3, 1, 2, 2


_NO_ROWS = b"\x80\x04}\x94."  # An empty dict, pickled.

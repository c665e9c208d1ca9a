"""Adopt: a desk takes over what a group has promised. Nothing of it is refused here, that was the leader's to
do; the rules on who is lent and who waits for an heir hold as for any command.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rpds import HashTrieMap

from ambershift.coordinator.admin.ledger import Ledger
from ambershift.coordinator.admin.mirror import Mirror
from ambershift.coordinator.admin.pace import Pace
from ambershift.coordinator.admin.pending import Told, Waiting
from ambershift.coordinator.admin.words import Standing
from ambershift.coordinator.admin.world import World


class Adopting:
    """The part of a desk that a group speaks to."""

    world: World
    ledger: Ledger
    mirror: Mirror
    pace: Pace
    waiting: Waiting
    ahead: dict[int, Standing]
    permits: dict[int, int]
    urgent: set[int]
    commands: int

    def set_world(self, world: World) -> None:
        raise NotImplementedError

    def relend(self, world: World, now: int) -> World:
        raise NotImplementedError

    def adopt(
        self, now: int, wishes: Mapping[int, Standing], said: Sequence[tuple[str, str]]
    ) -> tuple[int, ...]:
        """Take over wishes that stand. Of servers that are not listed yet `ahead` must tell when they come.
        `said` has who said what, command by command.
        """
        world, changed = self.world, list[int]()
        for server, wish in wishes.items():
            if server in world.listed and (old := world.own(server)) != wish:
                world = world.with_wish(server, wish)
                if old._replace(origin=wish.origin) != wish:
                    changed.append(server)
        if changed:
            self.commands += len(said)
            for who, text in said:
                self.ledger.note(now, "command", who, text)
        self.take_up(now, changed)
        if not self.mirror.picture.seats:
            # A member that catches up: no proxy costs a line yet, and the first to come must find all told.
            self.urgent.update(changed)
        self.set_world(self.relend(world, now))
        return tuple(changed)

    def permit(self, now: int, until: Mapping[int, int]) -> None:
        """Keep these out as under maintenance, each until its end by this desk's clock, and no others."""
        self.permits = dict(until)
        world = self.world.with_permits(self.permits)
        self.take_up(
            now,
            [
                server
                for server in {*world.permitted, *self.world.permitted}
                if world.wish(server) != self.world.wish(server)
            ],
        )
        self.set_world(self.relend(world, now))

    def ease(self, now: int, parts: Mapping[int, float]) -> None:
        """What part of its weight each of these keeps; all others keep all."""
        before = self.world.eased
        eased = {server: part for server, part in parts.items() if server in self.world.listed}
        if eased != dict(before):
            self.take_up(
                now, [server for server in {*eased, *before} if eased.get(server) != before.get(server)]
            )
            self.set_world(self.world._replace(eased=HashTrieMap(eased)))

    def take_up(self, now: int, servers: Sequence[int]) -> None:
        """What is wanted of these is another now, and on its way."""
        for server in servers:
            self.pace.note(server, now)
            told = self.waiting.get(server)
            scaled = told.scaled if told else False
            self.waiting = self.waiting.insert(server, Told(told.at if told else now, scaled=scaled))

"""Coverage: which servers carry traffic, what a command would leave bare, and who is lent back in need.

The rule that it guards: no joined proxy is left without a line to pick. Commands are refused before they
do harm; what the list takes away afterwards can't be refused, so there the operator's word yields.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.words import Reason, Refused
from ambershift.coordinator.admin.world import World

# Lent servers go back only once others have carried the traffic for so long: a list that flaps would else
# have each proxy told twice for every flap.
LENT_SPELL = 5_000_000_000


class Warmth:
    """Whether a server has been up for as long as the settings call cold."""

    def __init__(self, cold: int) -> None:
        self.cold = cold

    def warm_at(self, entry: api.Entry) -> int:
        return entry.since + self.cold if entry.since and self.cold else 0

    def warm(self, entry: api.Entry, now: int) -> bool:
        return now >= self.warm_at(entry)


def there(entry: api.Entry) -> bool:
    """By the list alone: ready and of some weight, cold or warm."""
    return entry.phase == api.Phase.READY and entry.weight > 0


def available(entry: api.Entry, warmth: Warmth, now: int) -> bool:
    """By the list alone: ready, of some weight, and warm."""
    return there(entry) and warmth.warm(entry, now)


def serves(world: World, server: int, warmth: Warmth, now: int) -> bool:
    """By list and operator together; what is lent does not count, as it shall go back."""
    wish = world.wish(server)
    return not wish.severity and available(world.listed[server], warmth, now)


def starts(world: World, server: int) -> bool:
    """Whether it is let in by list and operator, cold or warm."""
    return not world.wish(server).severity and there(world.listed[server])


def loses(world: World, server: int) -> bool:
    """Whether the list has it ready and the operator wants no flow there."""
    return there(world.listed[server]) and world.wish(server).severity > 0


def uncovered(
    before: World, after: World, changed: Iterable[int], warmth: Warmth, now: int
) -> Refused | None:
    """What a command would leave without a ready warm server: a zone, or with the last one all traffic
    groups.

    Only what the command itself takes away counts. A zone that had none before, say as all its servers are
    cold, is told in the same way: the ones that it has are needed the more.
    """
    lost = [server for server in changed if loses(after, server) and not loses(before, server)]
    if not lost:
        return None
    if not any(serves(after, server, warmth, now) for server in after.listed):
        return Refused(Reason.GROUP_WITHOUT_WARM, lost[0], after.listed[lost[0]].zone)
    for zone in sorted({after.listed[server].zone for server in lost}):
        if not any(serves(after, server, warmth, now) for server in after.members(zone)):
            first = next(server for server in lost if after.listed[server].zone == zone)
            return Refused(Reason.ZONE_WITHOUT_WARM, first, zone)
    return None


def heir_is_away(world: World, server: int, in_use: Callable[[int], bool], warmth: Warmth, now: int) -> bool:
    """Whether those that shall carry on for a server that goes are wanted, but not let in yet at any proxy.

    Orders that shut out go ahead of those that let in, so that told together the one would leave first. It
    waits for one heir of its zone, or of all where the zone has none; where nobody is wanted there is
    nothing to wait for.
    """
    for group in (world.members(world.listed[server].zone), world.listed):
        heirs = [one for one in group if one != server and serves(world, one, warmth, now)]
        if heirs:
            return not any(map(in_use, heirs))
    return False


class Lender:
    """Lends servers back where nobody else is left, and takes them out again once others have come to
    stay.
    """

    def __init__(self, warmth: Warmth) -> None:
        self.warmth = warmth
        self.covered_since: int | None = None

    def lend(self, world: World, now: int) -> World:
        """Those kept out most mildly go first, what is under maintenance only where nothing else is there.

        Warm ones go before cold ones, and cold ones only where not even a cold one is let in.
        """
        if any(serves(world, server, self.warmth, now) for server in world.listed):
            if self.covered_since is None:
                self.covered_since = now
            if world.lent and now >= self.covered_since + LENT_SPELL:
                return world._replace(lent=HashTrieMap())
            # One that the operator wants ready again, or that the list took away, is lent no more.
            return self.keep(world, now)
        self.covered_since = None
        world = self.keep(world, now)
        if any(available(world.listed[server], self.warmth, now) for server in world.lent):
            return world
        kept_out = [
            server
            for server in world.wished()
            if world.wish(server).severity and there(world.listed[server]) and server not in world.lent
        ]
        warm = [server for server in kept_out if available(world.listed[server], self.warmth, now)]
        if not warm and (world.lent or any(map(partial(starts, world), world.listed))):
            return world  # Cold ones are at work, each with its part; more of them only in need.
        if not (chosen := warm or kept_out):
            return world
        mildest = min(world.wish(server).severity for server in chosen)
        fresh = {server: now for server in sorted(chosen) if world.wish(server).severity == mildest}
        return world._replace(lent=world.lent.update(fresh))

    def keep(self, world: World, now: int) -> World:
        for server in world.lent:
            if not world.wish(server).severity or not there(world.listed[server]):
                world = world._replace(lent=world.lent.remove(server))
        return world

    def next_at(self, world: World, now: int) -> int | None:
        """When to look again though nothing comes: a lent server may go back, or a cold one turn warm."""
        if not world.standing and not world.permitted:
            return None
        if world.lent and self.covered_since is not None:
            return self.covered_since + LENT_SPELL
        if self.covered_since is None:
            return min(
                (at for entry in world.listed.values() if (at := self.warmth.warm_at(entry)) > now),
                default=None,
            )
        return None

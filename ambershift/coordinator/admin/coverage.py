"""Coverage: which servers carry traffic, what a command would leave bare, and who is lent back in need.

The rule that it guards: no joined proxy is left without a line to pick. Commands are refused before they
do harm; what the list takes away afterwards can't be refused, so there the operator's word yields.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.types import Reason, Refused

# Lent servers go back only once others have carried the traffic for so long: a list that flaps would else
# have each proxy told twice for every flap.
LENT_RETURN_DELAY_NS = 5_000_000_000


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


def serves(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> bool:
    """By list and operator together; what is lent does not count, as it shall go back."""
    override = inventory.override(server)
    return not override.severity and available(inventory.listed[server], warmth, now)


def starts(inventory: ServerInventory, server: int) -> bool:
    """Whether it is let in by list and operator, cold or warm."""
    return not inventory.override(server).severity and there(inventory.listed[server])


def loses(inventory: ServerInventory, server: int) -> bool:
    """Whether the list has it ready and the operator wants no flow there."""
    return there(inventory.listed[server]) and inventory.override(server).severity > 0


def uncovered(
    before: ServerInventory, after: ServerInventory, changed: Iterable[int], warmth: Warmth, now: int
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


def awaits_replacement(
    inventory: ServerInventory, server: int, in_use: Callable[[int], bool], warmth: Warmth, now: int
) -> bool:
    """Whether those that shall carry on for a server that goes are wanted, but not let in yet at any proxy.

    Orders that shut out go ahead of those that let in, so that told together the one would leave first. It
    waits for one heir of its zone, or of all where the zone has none; where nobody is wanted there is
    nothing to wait for.
    """
    for group in (inventory.members(inventory.listed[server].zone), inventory.listed):
        heirs = [one for one in group if one != server and serves(inventory, one, warmth, now)]
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

    def lend(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Those kept out most mildly go first, what is under maintenance only where nothing else is there.

        Warm ones go before cold ones, and cold ones only where not even a cold one is let in.
        """
        if any(serves(inventory, server, self.warmth, now) for server in inventory.listed):
            if self.covered_since is None:
                self.covered_since = now
            if inventory.lent and now >= self.covered_since + LENT_RETURN_DELAY_NS:
                return inventory._replace(lent=HashTrieMap())
            # One that the operator wants ready again, or that the list took away, is lent no more.
            return self.keep(inventory, now)
        self.covered_since = None
        inventory = self.keep(inventory, now)
        if any(available(inventory.listed[server], self.warmth, now) for server in inventory.lent):
            return inventory
        kept_out = [
            server
            for server in inventory.overridden()
            if inventory.override(server).severity
            and there(inventory.listed[server])
            and server not in inventory.lent
        ]
        warm = [server for server in kept_out if available(inventory.listed[server], self.warmth, now)]
        if not warm and (inventory.lent or any(map(partial(starts, inventory), inventory.listed))):
            return inventory  # Cold ones are at work, each with its part; more of them only in need.
        if not (chosen := warm or kept_out):
            return inventory
        mildest = min(inventory.override(server).severity for server in chosen)
        fresh = {server: now for server in sorted(chosen) if inventory.override(server).severity == mildest}
        return inventory._replace(lent=inventory.lent.update(fresh))

    def keep(self, inventory: ServerInventory, now: int) -> ServerInventory:
        for server in inventory.lent:
            if not inventory.override(server).severity or not there(inventory.listed[server]):
                inventory = inventory._replace(lent=inventory.lent.remove(server))
        return inventory

    def next_at(self, inventory: ServerInventory, now: int) -> int | None:
        """When to look again though nothing comes: a lent server may go back, or a cold one turn warm."""
        if not inventory.overrides and not inventory.held_out:
            return None
        if inventory.lent and self.covered_since is not None:
            return self.covered_since + LENT_RETURN_DELAY_NS
        if self.covered_since is None:
            return min(
                (at for entry in inventory.listed.values() if (at := self.warmth.warm_at(entry)) > now),
                default=None,
            )
        return None

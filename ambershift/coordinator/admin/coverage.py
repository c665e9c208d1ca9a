"""Which servers carry traffic, what a command would leave without one, and which servers to lend.

The invariant: every joined proxy has a server to choose. A command that would break it is refused. What the
server list takes away can't be refused, so there the operator's override gives way.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.types import Reason, Refused

# Lent servers are taken back only after others have carried the traffic for this long. Otherwise a flapping
# list would cost two messages to each proxy for every flap.
LENT_RETURN_DELAY_NS = 5_000_000_000


class Warmth:
    """Whether a server has been up for the period during which the settings call it cold.

    Attributes:
        cold: That period, ns; 0 if no server is ever cold.
    """

    def __init__(self, cold: int) -> None:
        self.cold = cold

    def warm_at(self, entry: api.Entry) -> int:
        """Return when the server is warm; 0 if it always is."""
        return entry.since + self.cold if entry.since and self.cold else 0

    def warm(self, entry: api.Entry, now: int) -> bool:
        """Return whether the server is warm."""
        return now >= self.warm_at(entry)


def there(entry: api.Entry) -> bool:
    """Return whether the server is ready and has a weight by the list alone, cold or warm."""
    return entry.phase == api.Phase.READY and entry.weight > 0


def available(entry: api.Entry, warmth: Warmth, now: int) -> bool:
    """Return whether the server is ready, has a weight and is warm by the list alone."""
    return there(entry) and warmth.warm(entry, now)


def serves(inventory: ServerInventory, server: int, warmth: Warmth, now: int) -> bool:
    """Return whether list and operator let a warm server serve; lent ones, which go back, don't count."""
    override = inventory.override(server)
    return not override.severity and available(inventory.listed[server], warmth, now)


def starts(inventory: ServerInventory, server: int) -> bool:
    """Return whether list and operator let a server serve, cold or warm."""
    return not inventory.override(server).severity and there(inventory.listed[server])


def loses(inventory: ServerInventory, server: int) -> bool:
    """Return whether the operator keeps out a server that the list has as ready."""
    return there(inventory.listed[server]) and inventory.override(server).severity > 0


def uncovered(
    before: ServerInventory, after: ServerInventory, changed: Iterable[int], warmth: Warmth, now: int
) -> Refused | None:
    """Return the refusal of a command that leaves a zone, or all traffic, without a ready warm server.

    Only servers that the command itself takes away count. A zone that had no such server before, for example
    as all its servers are cold, leads to a refusal too: it needs those that it has the more.
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
    """Return whether a server that leaves has replacements, none of which is in use at the proxies yet.

    Orders that withdraw servers precede those that restore them, so that in one batch the server would leave
    first. It waits for one replacement of its zone, or of all zones if its zone has none; without any
    replacement there is nothing to wait for.
    """
    for candidates in (inventory.members(inventory.listed[server].zone), inventory.listed):
        replacements = [
            other for other in candidates if other != server and serves(inventory, other, warmth, now)
        ]
        if replacements:
            return not any(map(in_use, replacements))
    return False


class Lender:
    """Lends servers that are kept out while no other is left, and takes them back once others stay.

    Attributes:
        covered_since: Since when servers that aren't lent carry the traffic; None if none does.
    """

    def __init__(self, warmth: Warmth) -> None:
        self.warmth = warmth
        self.covered_since: int | None = None

    def lend(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Return the inventory with the servers lent that are needed now.

        Servers of the mildest override are lent first, those under maintenance only if there is no other.
        Warm ones precede cold ones; cold ones are lent only if not even a cold server is let in.
        """
        if any(serves(inventory, server, self.warmth, now) for server in inventory.listed):
            if self.covered_since is None:
                self.covered_since = now
            if inventory.lent and now >= self.covered_since + LENT_RETURN_DELAY_NS:
                return inventory._replace(lent=HashTrieMap())
            # A server that the operator made ready again, or that the list took away, is lent no more.
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
            return inventory  # Cold servers serve, each with its share; no more cold ones are needed.
        if not (chosen := warm or kept_out):
            return inventory
        mildest = min(inventory.override(server).severity for server in chosen)
        newly_lent = {
            server: now for server in sorted(chosen) if inventory.override(server).severity == mildest
        }
        return inventory._replace(lent=inventory.lent.update(newly_lent))

    def keep(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Return the inventory with only those servers lent that are still kept out and ready by the list."""
        for server in inventory.lent:
            if not inventory.override(server).severity or not there(inventory.listed[server]):
                inventory = inventory._replace(lent=inventory.lent.remove(server))
        return inventory

    def next_at(self, inventory: ServerInventory, now: int) -> int | None:
        """Return when to decide again without an event: lent servers may go back, or a cold one gets warm."""
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

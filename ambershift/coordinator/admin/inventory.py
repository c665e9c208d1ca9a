"""The server list, the overrides and the index of zones, as one persistent structure.

A change makes a new inventory that shares what did not change, so that a reader keeps one consistent state
for as long as it needs while changes go on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rpds import HashTrieMap, HashTrieSet

from ambershift import interface as api
from ambershift.coordinator.admin.types import NO_OVERRIDE, Origin, ServerOverride, State


class ServerInventory(NamedTuple):
    """The servers and what applies to each.

    Attributes:
        listed: The list's entries; a server that the list dropped stays with the phase GONE.
        zones: The servers of each zone.
        overrides: The operators' overrides.
        lent: Servers that serve although an operator keeps them out, and since when, as no other is left.
        held_out: Servers that a group's permits keep out, and until when.
        weight_factors: By which part of its weight a server that its neighbours slow down is weighted.
    """

    listed: HashTrieMap[int, api.Entry]
    zones: HashTrieMap[int, HashTrieSet[int]]
    overrides: HashTrieMap[int, ServerOverride]
    lent: HashTrieMap[int, int]
    held_out: HashTrieMap[int, int]
    weight_factors: HashTrieMap[int, float]

    def operator_override(self, server: int) -> ServerOverride:
        """Return the operators' override alone."""
        return self.overrides.get(server, NO_OVERRIDE)

    def override(self, server: int) -> ServerOverride:
        """Return the stricter of the operators' override and the permits'."""
        override = self.overrides.get(server, NO_OVERRIDE)
        if self.held_out and server in self.held_out and override.state is not State.MAINT:
            return override._replace(state=State.MAINT, origin=PERMIT_ORIGIN)
        return override

    def overridden(self) -> set[int]:
        """Return the servers with an override of an operator or of a permit."""
        return {*self.overrides, *self.held_out}

    def members(self, zone: int) -> Iterable[int]:
        """Return the servers of a zone, also those that are gone."""
        return self.zones.get(zone, NO_SERVERS)

    def with_list(self, whole: bool, entries: Iterable[api.Entry]) -> ServerInventory:
        """Return the inventory with these entries of the list; servers that a whole list omits are gone."""
        listed, zones, named = self.listed, self.zones, set[int]()
        for entry in entries:
            named.add(entry.server)
            known = listed.get(entry.server)
            if known == entry:
                continue
            if known is None or known.zone != entry.zone:
                if known is not None:
                    zones = zones.insert(known.zone, zones[known.zone].discard(entry.server))
                zones = zones.insert(entry.zone, zones.get(entry.zone, NO_SERVERS).insert(entry.server))
            listed = listed.insert(entry.server, entry)
        if whole:
            for server, entry in listed.items():
                if server not in named and entry.phase != api.Phase.GONE:
                    listed = listed.insert(server, entry._replace(phase=api.Phase.GONE))
        return self._replace(listed=listed, zones=zones)

    def with_permits(self, until: Mapping[int, int]) -> ServerInventory:
        """Return the inventory with these permits, of listed servers only, in place of all earlier ones."""
        held_out = {server: at for server, at in until.items() if server in self.listed}
        return self if held_out == dict(self.held_out) else self._replace(held_out=HashTrieMap(held_out))

    def with_override(self, server: int, override: ServerOverride) -> ServerInventory:
        """Return the inventory with this operator's override."""
        return self._replace(overrides=self.overrides.insert(server, override))


NO_SERVERS: HashTrieSet[int] = HashTrieSet()
PERMIT_ORIGIN = Origin("permit", 0, 0)
EMPTY_INVENTORY = ServerInventory(
    HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap()
)

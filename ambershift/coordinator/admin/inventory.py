"""The world as the operator's commands meet it: the list, the standing wishes, and an index of the zones.

All of it is persistent: a change makes a new world that shares what did not change, so that whoever reads
holds one whole state for as long as it likes while changes go on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rpds import HashTrieMap, HashTrieSet

from ambershift import interface as api
from ambershift.coordinator.admin.types import NO_OVERRIDE, Origin, ServerOverride, State


class ServerInventory(NamedTuple):
    """`lent` holds the servers that serve against the operator's word, and since when; `permitted` those that
    a group's permits keep out, and until when; `eased` what part of its weight a server keeps that neighbours
    slow down.
    """

    listed: HashTrieMap[int, api.Entry]
    zones: HashTrieMap[int, HashTrieSet[int]]
    overrides: HashTrieMap[int, ServerOverride]
    lent: HashTrieMap[int, int]
    held_out: HashTrieMap[int, int]
    weight_factors: HashTrieMap[int, float]

    def operator_override(self, server: int) -> ServerOverride:
        """The operator's word alone."""
        return self.overrides.get(server, NO_OVERRIDE)

    def override(self, server: int) -> ServerOverride:
        """The operator's word and a permit's: the stricter holds."""
        override = self.overrides.get(server, NO_OVERRIDE)
        if self.held_out and server in self.held_out and override.state is not State.MAINT:
            return override._replace(state=State.MAINT, origin=PERMIT)
        return override

    def overridden(self) -> set[int]:
        """All of which something is wanted."""
        return {*self.overrides, *self.held_out}

    def members(self, zone: int) -> Iterable[int]:
        return self.zones.get(zone, NO_SERVERS)

    def with_list(self, whole: bool, entries: Iterable[api.Entry]) -> ServerInventory:
        """The list as told: changes, or the whole, in which those that it leaves out are gone."""
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
        """Those of them that are listed, in place of all before."""
        held_out = {server: at for server, at in until.items() if server in self.listed}
        return self if held_out == dict(self.held_out) else self._replace(held_out=HashTrieMap(held_out))

    def with_override(self, server: int, override: ServerOverride) -> ServerInventory:
        return self._replace(overrides=self.overrides.insert(server, override))


NO_SERVERS: HashTrieSet[int] = HashTrieSet()
PERMIT = Origin("permit", 0, 0)
EMPTY_INVENTORY = ServerInventory(
    HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap()
)

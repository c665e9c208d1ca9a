"""The world as the operator's commands meet it: the list, the standing wishes, and an index of the zones.

All of it is persistent: a change makes a new world that shares what did not change, so that whoever reads
holds one whole state for as long as it likes while changes go on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rpds import HashTrieMap, HashTrieSet

from ambershift import interface as api
from ambershift.coordinator.admin.words import AS_LISTED, Origin, Standing, State


class World(NamedTuple):
    """`lent` holds the servers that serve against the operator's word, and since when; `permitted` those that
    a group's permits keep out, and until when; `eased` what part of its weight a server keeps that neighbours
    slow down.
    """

    listed: HashTrieMap[int, api.Entry]
    zones: HashTrieMap[int, HashTrieSet[int]]
    standing: HashTrieMap[int, Standing]
    lent: HashTrieMap[int, int]
    permitted: HashTrieMap[int, int]
    eased: HashTrieMap[int, float]

    def own(self, server: int) -> Standing:
        """The operator's word alone."""
        return self.standing.get(server, AS_LISTED)

    def wish(self, server: int) -> Standing:
        """The operator's word and a permit's: the stricter holds."""
        wish = self.standing.get(server, AS_LISTED)
        if self.permitted and server in self.permitted and wish.state is not State.MAINT:
            return wish._replace(state=State.MAINT, origin=PERMIT)
        return wish

    def wished(self) -> set[int]:
        """All of which something is wanted."""
        return {*self.standing, *self.permitted}

    def members(self, zone: int) -> Iterable[int]:
        return self.zones.get(zone, EMPTY_ZONE)

    def with_list(self, whole: bool, entries: Iterable[api.Entry]) -> World:
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
                zones = zones.insert(entry.zone, zones.get(entry.zone, EMPTY_ZONE).insert(entry.server))
            listed = listed.insert(entry.server, entry)
        if whole:
            for server, entry in listed.items():
                if server not in named and entry.phase != api.Phase.GONE:
                    listed = listed.insert(server, entry._replace(phase=api.Phase.GONE))
        return self._replace(listed=listed, zones=zones)

    def with_permits(self, until: Mapping[int, int]) -> World:
        """Those of them that are listed, in place of all before."""
        permitted = {server: at for server, at in until.items() if server in self.listed}
        return self if permitted == dict(self.permitted) else self._replace(permitted=HashTrieMap(permitted))

    def with_wish(self, server: int, wish: Standing) -> World:
        return self._replace(standing=self.standing.insert(server, wish))


EMPTY_ZONE: HashTrieSet[int] = HashTrieSet()
PERMIT = Origin("permit", 0, 0)
EMPTY = World(HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap())

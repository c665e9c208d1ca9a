"""Whether servers that are out stay within an agreement, at each moment that a proxy shuts one out or lets it
in.
"""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.standins.fleet import Fleet


class Breach(NamedTuple):
    at: float
    what: str


class Keeper:
    """Looks at the proxies, not at what members say: a server counts as out while any proxy shuts it out, and
    as cold for its time after it started.
    """

    def __init__(self, fleet: Fleet, capacity: float, out_most: int, weight: float = 1.0) -> None:
        self.fleet, self.capacity, self.out_most, self.weight = fleet, capacity, out_most, weight
        self.breaches = list[Breach]()
        self.most_out = 0
        self.least = float("inf")
        self.drains = dict[str, int]()  # How often a server went from used by all to shut out by any.
        self.before, self.broken = set[str](), list[str]()
        fleet.watchers.append(self.look)

    def look(self) -> None:
        now, out = self.fleet.now(), self.fleet.out()
        for server in out - self.before:
            self.drains[server] = self.drains.get(server, 0) + 1
        self.before = out
        cold = {name for name, one in self.fleet.servers.items() if now < one.warm_at}
        left = self.weight * len(self.fleet.servers.keys() - out - cold)
        self.most_out, self.least = max(self.most_out, len(out)), min(self.least, left)
        found = list[str]()
        if len(out) > self.out_most:
            found.append(f"{len(out)} out, {self.out_most} may be: {', '.join(sorted(out))}")
        if left < self.capacity:
            gone = ", ".join(sorted(out | cold))
            found.append(f"{left:g} warm and usable, {self.capacity:g} agreed; not: {gone}")
        self.breaches += [Breach(now, what) for what in found if what not in self.broken]
        self.broken = found

    def twice(self) -> list[str]:
        return sorted(server for server, count in self.drains.items() if count > 1)

"""Whether servers that are out stay within an agreement, at each moment that a proxy shuts one out or lets it
in."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.standins.fleet import Fleet


class Breach(NamedTuple):
    at: float
    what: str


class Keeper:
    """Looks at the proxies, not at what members say: a server counts as out while any proxy shuts it out, and
    as cold for its time after the last one let it in."""

    def __init__(self, fleet: Fleet, capacity: float, out_most: int, weight: float = 1.0) -> None:
        self.fleet, self.capacity, self.out_most, self.weight = fleet, capacity, out_most, weight
        self.breaches = list[Breach]()
        self.most_out = 0
        self.least = float("inf")
        self.drains = dict[str, int]()  # How often a server went from used by all to shut out by any.
        self.before = set[str]()
        fleet.watchers.append(self.look)

    def look(self) -> None:
        now, out = self.fleet.now(), self.fleet.out()
        for server in out - self.before:
            self.drains[server] = self.drains.get(server, 0) + 1
        self.before = out
        cold = {name for name, one in self.fleet.servers.items() if now < one.warm_at}
        left = self.weight * len(self.fleet.servers.keys() - out - cold)
        self.most_out, self.least = max(self.most_out, len(out)), min(self.least, left)
        if len(out) > self.out_most:
            which = ", ".join(sorted(out))
            self.breaches.append(Breach(now, f"{len(out)} out, {self.out_most} may be: {which}"))
        if left < self.capacity:
            gone = ", ".join(sorted(out | cold))
            self.breaches.append(Breach(
                now, f"{left:g} warm and usable, {self.capacity:g} agreed; not: {gone}"))

    def twice(self) -> list[str]:
        return sorted(server for server, count in self.drains.items() if count > 1)

"""The directory: which desks there are, by their links here and by what other nodes tell of theirs."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ambershift.system.messages.fronts import Hello
from ambershift.system.registry.records import Desk
from ambershift.system.steps import MS

PARTED = 1000 * MS  # A desk dials anew within this, or is taken for lost.
SILENT = 2500 * MS  # A desk reports each second.
ADDRESSES_MOST, NEAR_LEAST = 64, 2


@dataclass(slots=True)
class Linked:
    desk: Desk
    spoke: int
    parted: int | None = None


class Desks:
    """Desks linked to this node. Each method returns the record to tell others, or the name to drop."""

    def __init__(self) -> None:
        self.linked: dict[str, Linked] = {}

    def greet(self, now: int, hello: Hello) -> Desk:
        desk = Desk(hello.name, hello.life, hello.zone, hello.address, hello.ready, hello.leaving, now)
        known = self.linked.get(hello.name)
        if known and known.desk.life == desk.life and known.desk.leaving:
            desk = replace(desk, leaving=True)
        self.linked[hello.name] = Linked(desk, now)
        return desk

    def speak(self, now: int, name: str) -> Desk | None:
        """A word of any kind; the record where it is told of anew."""
        if not (known := self.linked.get(name)):
            return None
        quiet, known.spoke = now > known.spoke + SILENT, now
        return known.desk if quiet else None

    def part(self, now: int, name: str) -> None:
        if known := self.linked.get(name):
            known.parted = now

    def silent(self, now: int, awake: int) -> list[str]:
        """Names of desks that are lost, or not heard for so long that none should be sent there.

        `awake`: since when this process has run without standing still."""
        lost = [
            name
            for name, one in self.linked.items()
            if one.parted is not None and (one.desk.leaving or now > one.parted + PARTED)
        ]
        for name in lost:
            del self.linked[name]
        return lost + [name for name, one in self.linked.items() if now > max(one.spoke, awake) + SILENT]


def merge(records: Iterable[tuple[str, Desk]]) -> dict[str, tuple[str, Desk]]:
    """One record a name, with its keeper: that of the last Hello; a life that leaves does not come back."""
    merged = dict[str, tuple[str, Desk]]()
    leaving = set[tuple[str, str]]()
    for keeper, one in records:
        if one.leaving:
            leaving.add((one.name, one.life))
        known = merged.get(one.name)
        if known is None or (one.since, one.life) > (known[1].since, known[1].life):
            merged[one.name] = keeper, one
    return {
        name: (keeper, replace(one, leaving=True) if (name, one.life) in leaving else one)
        for name, (keeper, one) in merged.items()
    }


def nearest(
    desks: Iterable[Desk], region: str, zone: str, regions: Mapping[str, str], homes: Container[str] = ()
) -> Sequence[Desk]:
    """Ready desks of the homes if there are two; else of the zone if there are two, else of the region if
    there is any, else all. `homes`: where all that the client asks for has to be answered, if not near it."""
    ready = sorted((one for one in desks if one.ready and not one.leaving), key=lambda one: one.name)
    there = [one for one in ready if regions.get(one.zone) in homes]
    if len(there) >= NEAR_LEAST:
        return there
    near = [one for one in ready if one.zone == zone]
    if len(near) >= NEAR_LEAST:
        return near
    region = region or regions.get(zone, "")
    return [one for one in ready if regions.get(one.zone) == region] or ready

"""The directory: which proxies there are, by their links here and by what other nodes tell of theirs."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.registry.records import ProxyRecord
from ambershift.system.state_machine import NS_PER_MS

PARTED = 1000 * NS_PER_MS  # A proxy dials anew within this, or is taken for lost.
SILENT = 2500 * NS_PER_MS  # A proxy reports each second.
ADDRESSES_MOST, NEAR_LEAST = 64, 2


@dataclass(slots=True)
class Linked:
    proxy: ProxyRecord
    spoke: int
    parted: int | None = None


class Proxies:
    """Proxies linked to this node. Each method returns the record to tell others, or the name to drop."""

    def __init__(self) -> None:
        self.linked: dict[str, Linked] = {}

    def greet(self, now: int, hello: Hello) -> ProxyRecord:
        proxy = ProxyRecord(
            hello.name, hello.incarnation, hello.zone, hello.address, hello.ready, hello.draining, now
        )
        known = self.linked.get(hello.name)
        if known and known.proxy.life == proxy.life and known.proxy.leaving:
            proxy = replace(proxy, leaving=True)
        self.linked[hello.name] = Linked(proxy, now)
        return proxy

    def speak(self, now: int, name: str) -> ProxyRecord | None:
        """A word of any kind; the record where it is told of anew."""
        if not (known := self.linked.get(name)):
            return None
        quiet, known.spoke = now > known.spoke + SILENT, now
        return known.proxy if quiet else None

    def part(self, now: int, name: str) -> None:
        if known := self.linked.get(name):
            known.parted = now

    def silent(self, now: int, awake: int) -> list[str]:
        """Names of proxies that are lost, or not heard for so long that none should be sent there.

        `awake`: since when this process has run without standing still."""
        lost = [
            name
            for name, one in self.linked.items()
            if one.parted is not None and (one.proxy.leaving or now > one.parted + PARTED)
        ]
        for name in lost:
            del self.linked[name]
        return lost + [name for name, one in self.linked.items() if now > max(one.spoke, awake) + SILENT]


def merge(records: Iterable[tuple[str, ProxyRecord]]) -> dict[str, tuple[str, ProxyRecord]]:
    """One record a name, with its keeper: that of the last Hello; a life that leaves does not come back."""
    merged = dict[str, tuple[str, ProxyRecord]]()
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
    proxies: Iterable[ProxyRecord],
    region: str,
    zone: str,
    regions: Mapping[str, str],
    homes: Container[str] = (),
) -> Sequence[ProxyRecord]:
    """Ready proxies of the homes if there are two; else of the zone if there are two, else of the region if
    there is any, else all. `homes`: where all that the client asks for has to be answered, if not near it."""
    ready = sorted((one for one in proxies if one.ready and not one.leaving), key=lambda one: one.name)
    there = [one for one in ready if regions.get(one.zone) in homes]
    if len(there) >= NEAR_LEAST:
        return there
    near = [one for one in ready if one.zone == zone]
    if len(near) >= NEAR_LEAST:
        return near
    region = region or regions.get(zone, "")
    return [one for one in ready if regions.get(one.zone) == region] or ready

"""The directory: which proxies there are, by their links here and by what other nodes tell of theirs."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.registry.records import ProxyRecord
from ambershift.system.state_machine import NS_PER_MS

RECONNECT_TIMEOUT_NS = 1000 * NS_PER_MS  # A proxy dials anew within this, or is taken for lost.
REPORT_TIMEOUT_NS = 2500 * NS_PER_MS  # A proxy reports each second.
MAX_ADDRESSES, MIN_NEAR_PROXIES = 64, 2


@dataclass(slots=True)
class LinkedProxy:
    record: ProxyRecord
    last_contact_at: int
    disconnected_at: int | None = None


class LinkedProxies:
    """Proxies linked to this node. Each method returns the record to tell others, or the name to drop."""

    def __init__(self) -> None:
        self.by_name: dict[str, LinkedProxy] = {}

    def connect(self, now: int, hello: Hello) -> ProxyRecord:
        proxy = ProxyRecord(
            hello.name, hello.incarnation, hello.zone, hello.address, hello.ready, hello.draining, now
        )
        known = self.by_name.get(hello.name)
        if known and known.record.incarnation == proxy.incarnation and known.record.draining:
            proxy = replace(proxy, draining=True)
        self.by_name[hello.name] = LinkedProxy(proxy, now)
        return proxy

    def record_contact(self, now: int, name: str) -> ProxyRecord | None:
        """A word of any kind; the record where it is told of anew."""
        if not (known := self.by_name.get(name)):
            return None
        quiet, known.last_contact_at = now > known.last_contact_at + REPORT_TIMEOUT_NS, now
        return known.record if quiet else None

    def disconnect(self, now: int, name: str) -> None:
        if known := self.by_name.get(name):
            known.disconnected_at = now

    def timed_out(self, now: int, running_since: int) -> list[str]:
        """Names of proxies that are lost, or not heard for so long that none should be sent there.

        `awake`: since when this process has run without standing still."""
        lost = [
            name
            for name, one in self.by_name.items()
            if one.disconnected_at is not None
            and (one.record.draining or now > one.disconnected_at + RECONNECT_TIMEOUT_NS)
        ]
        for name in lost:
            del self.by_name[name]
        return lost + [
            name
            for name, one in self.by_name.items()
            if now > max(one.last_contact_at, running_since) + REPORT_TIMEOUT_NS
        ]


def merge_proxies(records: Iterable[tuple[str, ProxyRecord]]) -> dict[str, tuple[str, ProxyRecord]]:
    """One record a name, with its keeper: that of the last Hello; a life that leaves does not come back."""
    merged = dict[str, tuple[str, ProxyRecord]]()
    leaving = set[tuple[str, str]]()
    for keeper, one in records:
        if one.draining:
            leaving.add((one.name, one.incarnation))
        known = merged.get(one.name)
        if known is None or (one.hello_at, one.incarnation) > (known[1].hello_at, known[1].incarnation):
            merged[one.name] = keeper, one
    return {
        name: (keeper, replace(one, draining=True) if (name, one.incarnation) in leaving else one)
        for name, (keeper, one) in merged.items()
    }


def nearest_proxies(
    proxies: Iterable[ProxyRecord],
    region: str,
    zone: str,
    regions: Mapping[str, str],
    homes: Container[str] = (),
) -> Sequence[ProxyRecord]:
    """Ready proxies of the homes if there are two; else of the zone if there are two, else of the region if
    there is any, else all. `homes`: where all that the client asks for has to be answered, if not near it."""
    ready = sorted((one for one in proxies if one.ready and not one.draining), key=lambda one: one.name)
    there = [one for one in ready if regions.get(one.zone) in homes]
    if len(there) >= MIN_NEAR_PROXIES:
        return there
    near = [one for one in ready if one.zone == zone]
    if len(near) >= MIN_NEAR_PROXIES:
        return near
    region = region or regions.get(zone, "")
    return [one for one in ready if regions.get(one.zone) == region] or ready

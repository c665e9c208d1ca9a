"""Which proxies there are: those linked to this control node, and those that peers report."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.registry.exchange import RecordExchange
from ambershift.system.registry.records import ProxyRecord, RecordSet
from ambershift.system.state_machine import NS_PER_MS

RECONNECT_TIMEOUT_NS = 1000 * NS_PER_MS  # A proxy that reconnects later than this is taken for lost.
REPORT_TIMEOUT_NS = 2500 * NS_PER_MS  # A proxy reports each second.
LOST_PEER_PROXY_RETENTION_NS = 1500 * NS_PER_MS  # Proxies of a lost control node link to another one by then.


@dataclass(slots=True)
class LinkedProxy:
    """A proxy that is or was linked to this control node; times in ns, steady clock.

    Attributes:
        last_contact_at: When its newest message arrived.
        disconnected_at: When its link ended; None while it is linked.
    """

    record: ProxyRecord
    last_contact_at: int
    disconnected_at: int | None = None


class LinkedProxies:
    """Proxies linked to this control node, by name. Times are ns of the steady clock."""

    def __init__(self) -> None:
        self.by_name: dict[str, LinkedProxy] = {}

    def connect(self, now: int, hello: Hello) -> ProxyRecord:
        """Apply a `Hello` and return the record to send to peers."""
        record = ProxyRecord(
            name=hello.name,
            incarnation=hello.incarnation,
            zone=hello.zone,
            address=hello.address,
            ready=hello.ready,
            draining=hello.draining,
            hello_at=now,
        )
        known = self.by_name.get(hello.name)
        if known and known.record.incarnation == record.incarnation and known.record.draining:
            record = replace(record, draining=True)
        self.by_name[hello.name] = LinkedProxy(record, now)
        return record

    def record_contact(self, now: int, name: str) -> ProxyRecord | None:
        """Note a message of any kind. Returns the record if peers have to be sent it again."""
        if not (known := self.by_name.get(name)):
            return None
        had_timed_out = now > known.last_contact_at + REPORT_TIMEOUT_NS
        known.last_contact_at = now
        return known.record if had_timed_out else None

    def disconnect(self, now: int, name: str) -> None:
        """Note the end of a link."""
        if known := self.by_name.get(name):
            known.disconnected_at = now

    def timed_out(self, now: int, running_since: int) -> list[str]:
        """Return names of proxies to which no client should be sent: lost ones and silent ones.

        Lost ones are forgotten. `running_since`: since when this process has run without a pause; silence
        before it doesn't count.
        """
        lost = [
            name
            for name, proxy in self.by_name.items()
            if proxy.disconnected_at is not None
            and (proxy.record.draining or now > proxy.disconnected_at + RECONNECT_TIMEOUT_NS)
        ]
        for name in lost:
            del self.by_name[name]
        silent = [
            name
            for name, proxy in self.by_name.items()
            if now > max(proxy.last_contact_at, running_since) + REPORT_TIMEOUT_NS
        ]
        return lost + silent


class ProxyDirectory:
    """All proxies as the own records and the peers' tell of them."""

    def __init__(self, exchange: RecordExchange) -> None:
        self._exchange = exchange
        self._merged: dict[str, tuple[str, ProxyRecord]] = {}
        self._merged_revisions: list[tuple[str, int]] = []  # Peer and revision of what has been merged.

    def proxies(self, now: int, lost_peers: Mapping[str, int]) -> dict[str, tuple[str, ProxyRecord]]:
        """Return all known proxies, by name, with the control node each is linked to ("": this one).

        Those of a lost control node stay for a short while only. `lost_peers`: peers out of contact, and
        since when (ns, steady clock).
        """
        record_sets: list[tuple[str, RecordSet]] = [
            ("", self._exchange.own),
            *(
                (peer, copy.records)
                for peer, copy in self._exchange.copies.items()
                if peer not in lost_peers or now < lost_peers[peer] + LOST_PEER_PROXY_RETENTION_NS
            ),
        ]
        revisions = [(peer, records.proxies_revision) for peer, records in record_sets]
        if revisions != self._merged_revisions:
            self._merged_revisions = revisions
            self._merged = merge_proxies(
                (peer, record) for peer, records in record_sets for record in records.proxies.values()
            )
        return self._merged

    def max_proxies(self, now: int, lost_peers: Mapping[str, int]) -> int:
        """Return the most proxies that were known at once, here or at a peer."""
        self._exchange.max_proxies = max(
            self._exchange.max_proxies,
            len(self.proxies(now, lost_peers)),
            *(copy.max_proxies for copy in self._exchange.copies.values()),
            0,
        )
        return self._exchange.max_proxies


def merge_proxies(records: Iterable[tuple[str, ProxyRecord]]) -> dict[str, tuple[str, ProxyRecord]]:
    """Keep one record a name, with its control node: the one with the latest `Hello`.

    An incarnation that drains anywhere drains for good.
    """
    merged = dict[str, tuple[str, ProxyRecord]]()
    draining = set[tuple[str, str]]()
    for peer, record in records:
        if record.draining:
            draining.add((record.name, record.incarnation))
        known = merged.get(record.name)
        if known is None or (record.hello_at, record.incarnation) > (known[1].hello_at, known[1].incarnation):
            merged[record.name] = peer, record
    return {
        name: (peer, replace(record, draining=True) if (name, record.incarnation) in draining else record)
        for name, (peer, record) in merged.items()
    }

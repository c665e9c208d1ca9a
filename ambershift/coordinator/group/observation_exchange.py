"""What a coordinator publishes of its servers, and how it uses what other members publish. No I/O.

It stands between the server list and the controller, and between the proxies' reports and the decision
module. What other members say only ever makes the module more careful, and only where it knows nothing
itself: a server is at most colder than the list says, and others' attempts count only where no proxy of this
coordinator made one lately. All rules, and the bound of the channel, remain the module's.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import DataPlaneState
from ambershift.coordinator.group.observations import (
    KEY_SEPARATOR,
    SECOND,
    ServerObservation,
    TrafficCounter,
    TrafficTotals,
    failing_servers,
    find_outliers,
    remote_observations,
    sample_servers,
)
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import (
    MAX_BODY_BYTES,
    MAX_KEY_LENGTH,
    Record,
    RecordKind,
    max_age,
)

PUBLISH_INTERVAL_NS = 2 * SECOND
# Starts that differ by less are the same start: the time on the way isn't part of a record's age.
SAME_START_NS = 2 * SECOND
# With attempts of its own within this time a coordinator needs no others' of that server.
OWN_ATTEMPTS_LIFETIME_NS = 5 * SECOND
MAX_OBSERVATION_AGE_NS = 15 * SECOND
# An observation of another member counts as so many attempts at most: a few own ones soon weigh more.
MAX_DELIVERED_ATTEMPTS = 10
MAX_DELIVERED_SERVERS = 2000  # Observations that the module is given at once.


class NameMapping(Protocol):
    """Maps the module's indices to the names that all members use, and back; None for what isn't known."""

    def server(self, index: int) -> str | None:
        """Return the id of a server."""

    def index(self, server: str) -> int | None:
        """Return the index of a server."""

    def zone(self, index: int) -> str | None:
        """Return the name of a zone."""

    def zone_index(self, zone: str) -> int | None:
        """Return the index of a zone."""


class ObservationExchange:
    """Publishes what this coordinator knows of its servers, and turns others' records into events.

    Attributes:
        listed: The entries of servers that are ready, by the own list.
        later_starts: Starts that only other members saw, which the module was told in place of the list's.
        outliers: The zones and servers published as outliers, and not withdrawn.
        delivered: By zone and server, the version of the observation that the module was given last.
        published: By kind and key, the content and the time of the last record.
        failing: Ids of servers that fail for all zones, by all members' observations.
        failing_for_some: Ids of servers that fail for some zones only.
    """

    def __init__(self, store: GossipStore, names: NameMapping, warmup_ns: int, now: int) -> None:
        """Start with nothing known.

        Args:
            store: The records of all members.
            names: Maps indices and names.
            warmup_ns: How long a server is cold after its start.
            now: The time in ns.
        """
        self.store, self.names = store, names
        self._warmup_ns = warmup_ns
        self.listed = dict[int, api.Entry]()
        self.later_starts = dict[int, int]()
        self._changed_starts = set[int]()  # Servers to list to the module again, with another start.
        self._traffic = TrafficCounter(now)
        self._published_at = now
        self._last_attempt_at = dict[int, int]()  # When a proxy of this coordinator last tried each server.
        self.outliers = set[tuple[int, int]]()
        self.delivered = dict[tuple[str, str], tuple[int, int]]()
        self._delivered_events = dict[int, api.ServerReport]()  # By id(): given, and not yet seen to pass.
        self.published = dict[tuple[int, str], tuple[bytes, int]]()
        self.failing, self.failing_for_some = frozenset[str](), frozenset[str]()

    # What passes through.

    def process_list(self, now: int, event: api.Listed) -> api.Listed:
        """Return the list with the starts that only other members know; newer ones of the list are kept."""
        if event.whole:
            servers = {entry.server for entry in event.entries}
            for known in (self.listed, self.later_starts):
                for server in known.keys() - servers:
                    del known[server]
        return event._replace(entries=tuple(self._process_entry(now, entry) for entry in event.entries))

    def _process_entry(self, now: int, entry: api.Entry) -> api.Entry:
        later = self.later_starts.get(entry.server)
        if entry.phase != api.Phase.READY:
            self.listed.pop(entry.server, None)
            self.later_starts.pop(entry.server, None)
            return entry
        if later is None or entry.since != later:  # Else the controller repeats what it was told.
            self.listed[entry.server] = entry
            self._publish_start(now, entry)
        since = self._latest_start(now, self.listed[entry.server])
        return entry if since == entry.since else entry._replace(since=since)

    def _latest_start(self, now: int, listed: api.Entry) -> int:
        """Return since when the server runs, by the list or by a member that saw it start later."""
        told = self.later_starts.get(listed.server, 0)
        name = self.names.server(listed.server)
        record = (
            None
            if name is None
            else self.store.newest(
                now, RecordKind.SERVER_START, name, now - listed.since if listed.since else None
            )
        )
        remote_start = now - record.age_ns if record else 0
        # With each change the module forgets what it met at the server, so a start that it was told is kept.
        since = max(listed.since, told)
        if remote_start > since + SAME_START_NS and now - remote_start < self._warmup_ns:
            since = remote_start
        if since == listed.since:
            self.later_starts.pop(listed.server, None)
        else:
            self.later_starts[listed.server] = since
        return since

    def process_events(self, now: int, events: Sequence[api.Event]) -> Sequence[api.Event]:
        """Count the reports, and return the events without those that `exchange` returned.

        What other members observed is neither published again nor counted as tried here.
        """
        own = events
        if self._delivered_events:
            own = [event for event in events if self._delivered_events.pop(id(event), None) is not event]
        add, last_attempt_at = self._traffic.add, self._last_attempt_at
        for event in own:
            if type(event) is api.ServerReport and event.attempts:
                add(event)
                last_attempt_at[event.server] = now
        return own

    def process_records(self, now: int, news: Sequence[Record]) -> None:
        """Take records that are new to the store."""
        for record in news:
            if (
                record.kind == RecordKind.SERVER_START
                and (server := self.names.index(record.key)) in self.listed
            ):
                assert server is not None
                if self._latest_start(now, self.listed[server]) != self.listed[server].since:
                    self._changed_starts.add(server)

    # What is published and delivered, every second or so.

    def exchange(self, now: int, data_plane: DataPlaneState) -> list[api.Event]:
        """Publish what is due, and return events for the module, to be put like any other."""
        if now >= self._published_at + PUBLISH_INTERVAL_NS:
            self._published_at = now
            self.publish_traffic(now)
            self._publish_levels_and_shares(now, data_plane)
        self.failing, self.failing_for_some = failing_servers(self.store, now, MAX_OBSERVATION_AGE_NS)
        events: list[api.Event] = []
        if self._changed_starts:
            entries = tuple(
                self.listed[server] for server in sorted(self._changed_starts) if server in self.listed
            )
            self._changed_starts.clear()
            events += [api.Listed(False, False, entries)] if entries else []
        return events + list(self._deliver_observations(now))

    def _deliver_observations(self, now: int) -> list[api.ServerReport]:
        """Return others' observations, once each, of servers that no proxy of this one tried lately."""
        reports = list[api.ServerReport]()
        for record, zone, observation in remote_observations(self.store, now, MAX_OBSERVATION_AGE_NS):
            server, zone_index = self.names.index(observation.server), self.names.zone_index(zone)
            if (
                server not in self.listed
                or server is None
                or zone_index is None
                or len(reports) >= MAX_DELIVERED_SERVERS
            ):
                continue
            version = (record.incarnation, record.version)
            place = (record.origin + KEY_SEPARATOR + zone, observation.server)
            last_attempt_at = self._last_attempt_at.get(server, -OWN_ATTEMPTS_LIFETIME_NS)
            if (
                now - last_attempt_at < OWN_ATTEMPTS_LIFETIME_NS
                or self.delivered.get(place, (0, 0)) >= version
            ):
                continue
            # What an earlier process of that server did says nothing of the present one.
            observed_since = now - record.age_ns - observation.span_ns
            if observed_since < self.later_starts.get(server, self.listed[server].since):
                continue
            self.delivered[place] = version
            attempts = min(observation.attempts, MAX_DELIVERED_ATTEMPTS)
            failures = round(observation.failures * attempts / observation.attempts)
            reports.append(
                api.ServerReport(
                    zone_index, server, attempts, failures, observation.mean_ns, observation.span_ns, ()
                )
            )
        if len(self.delivered) > 4 * len(self.listed) + MAX_DELIVERED_SERVERS:
            self.delivered.clear()  # Most are of servers long gone; at worst an observation counts twice.
        self._delivered_events |= {id(event): event for event in reports}
        return reports

    def _publish_start(self, now: int, entry: api.Entry) -> None:
        name = self.names.server(entry.server)
        if name is not None and entry.since and now - entry.since < self._warmup_ns:
            age = max(0, now - entry.since)  # The list's clock may be ahead.
            self._publish_if_new(now, RecordKind.SERVER_START, name, msgspec.msgpack.encode(entry.since), age)

    def publish_traffic(self, now: int) -> None:
        """Publish the totals since the last time: each outlier on its own, and a sample of the others."""
        totals, span = self._traffic.take(now)
        outliers = find_outliers(totals)
        for zone, server in outliers:
            self._publish_observations(now, zone, self.names.server(server) or "", [server], totals, span)
        for zone, servers in sample_servers(totals, outliers).items():
            self._publish_observations(now, zone, "", servers, totals, span)
        # An outlier that was tried and is none any more is withdrawn; where it wasn't tried the record ages.
        for zone, server in (self.outliers - outliers) & totals.keys():
            key = f"{self.names.server(server)}{KEY_SEPARATOR}{self.names.zone(zone)}"
            self.store.withdraw(now, RecordKind.ATTEMPT_STATS, key)
        self.outliers = outliers | {
            place for place in self.outliers - totals.keys() if place[1] in self.listed
        }
        self._last_attempt_at = {
            server: at for server, at in self._last_attempt_at.items() if now - at < OWN_ATTEMPTS_LIFETIME_NS
        }

    def _publish_observations(
        self,
        now: int,
        zone: int,
        key: str,
        servers: list[int],
        totals: dict[tuple[int, int], TrafficTotals],
        span: int,
    ) -> None:
        name = self.names.zone(zone)
        observations = [
            ServerObservation(server, total.attempts, total.failures, total.mean_ns, span)
            for index in servers
            if (server := self.names.server(index)) is not None and (total := totals[zone, index])
        ]
        if name is not None and observations:
            body = msgspec.msgpack.encode(observations)
            self._publish(now, RecordKind.ATTEMPT_STATS, f"{key}{KEY_SEPARATOR}{name}", body)

    def _publish_levels_and_shares(self, now: int, data_plane: DataPlaneState) -> None:
        """Publish the levels and shares of each zone, by the tables that its proxies use."""
        tables_by_zone = dict[int, set[int]]()
        for proxy in data_plane.proxies.values():
            if proxy.table in data_plane.tables:
                tables_by_zone.setdefault(proxy.zone, set()).add(proxy.table)
        for zone, tables in tables_by_zone.items():
            if (name := self.names.zone(zone)) is None:
                continue
            levels = [level for (table, _), level in data_plane.levels.items() if table in tables]
            if levels:
                lowest = min(int(again) for again, _ in levels), min(part for _, part in levels)
                self._publish_if_new(now, RecordKind.ZONE_LEVEL, name, msgspec.msgpack.encode(lowest))
            weights = [
                line.weight for table in tables for line in data_plane.tables[table].values() if line.weight
            ]
            share = msgspec.msgpack.encode((len(weights), round(sum(weights), 2)))
            self._publish_if_new(now, RecordKind.ZONE_SHARE, name, share)

    def _publish_if_new(self, now: int, kind: RecordKind, key: str, body: bytes, age: int = 0) -> None:
        """Publish a record if it changed, or if the last one would soon be too old."""
        last = self.published.get((kind, key))
        if (
            last is None
            or last[0] != body
            or (kind != RecordKind.SERVER_START and now - last[1] > max_age(kind) // 3)
        ):
            self.published[kind, key] = body, now
            self._publish(now, kind, key, body, age)
        if len(self.published) > 4 * len(self.listed) + MAX_DELIVERED_SERVERS:
            self.published.clear()

    def _publish(self, now: int, kind: RecordKind, key: str, body: bytes, age: int = 0) -> None:
        if (
            len(key) <= MAX_KEY_LENGTH and len(body) <= MAX_BODY_BYTES
        ):  # Names come from outside, and may be of any length.
            self.store.put(now, kind, key, body, age)

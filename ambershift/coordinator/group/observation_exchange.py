"""Learned: what a coordinator tells the others of its servers, and what it makes of their words. No I/O.

It stands between the list and the desk, and beside the reports. What is heard only ever makes the module more
careful where it knows nothing itself: a server is at most colder than the list says, and others' tries count
only where no proxy of one's own has tried of late. All rules and the channel's bound stay the module's.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ambershift import interface as api
from ambershift.coordinator.admin.mirror import Picture
from ambershift.coordinator.group.observations import (
    SECOND,
    SPLIT,
    ServerObservation,
    TrafficCounter,
    TrafficTotals,
    newest,
    notable,
    sample,
    troubled,
)
from ambershift.coordinator.replication.gossip.store import Store
from ambershift.coordinator.replication.gossip.types import BODY_MOST, KEY_MOST, Kind, Record, longest

TELL = 2 * SECOND
# Starts that differ by less are the same start: the way of a word is not counted in its age.
SAME_START = 2 * SECOND
# One's own tries of the last OWN_LATE say enough; others' words older than AGE_MOST no longer do.
OWN_LATE, AGE_MOST = 5 * SECOND, 15 * SECOND
# Of one heard row so many tries count at the most: a few of one's own soon weigh more.
TRIES_MOST, GIVEN_MOST = 10, 2000


class Names(Protocol):
    """Both ways between the module's indices and what all members call things; None for what is not known."""

    def server(self, index: int) -> str | None: ...

    def index(self, server: str) -> int | None: ...

    def zone(self, index: int) -> str | None: ...

    def zone_index(self, zone: str) -> int | None: ...


class ObservationExchange:
    def __init__(self, store: Store, names: Names, cold: int, now: int) -> None:
        self.store, self.names, self.cold = store, names, cold
        self.known = dict[int, api.Entry]()  # As the own list has them.
        self.later = dict[int, int]()  # Starts that others saw, told to the module in the list's place.
        self.touched = set[int]()  # To be told anew because of what was heard.
        self.sums, self.told_at = TrafficCounter(now), now
        self.met_at = dict[int, int]()  # When a proxy of one's own last tried a server.
        self.ill = set[tuple[int, int]]()  # Told one by one, and not taken back.
        self.given = dict[tuple[str, str], tuple[int, int]]()  # By zone and server, the word given last.
        self.handed = dict[int, api.ServerReport]()  # Given to the module and not yet seen to pass.
        self.put = dict[tuple[int, str], tuple[bytes, int]]()
        # Ids of servers that fail for all, and of those that fail for some zones only, by all members' words.
        self.out, self.cut = frozenset[str](), frozenset[str]()

    # What passes

    def process_list(self, now: int, event: api.Listed) -> api.Listed:
        """The list with starts that only others know of; the own list's newer word stands."""
        if event.whole:
            here = {entry.server for entry in event.entries}
            for held in (self.known, self.later):
                for server in held.keys() - here:
                    del held[server]
        return event._replace(entries=tuple(self.entry(now, entry) for entry in event.entries))

    def entry(self, now: int, entry: api.Entry) -> api.Entry:
        later = self.later.get(entry.server)
        if entry.phase != api.Phase.READY:
            self.known.pop(entry.server, None)
            self.later.pop(entry.server, None)
            return entry
        if later is None or entry.since != later:  # Else the desk tells again what it was told.
            self.known[entry.server] = entry
            self.tell_start(now, entry)
        since = self.start(now, self.known[entry.server])
        return entry if since == entry.since else entry._replace(since=since)

    def start(self, now: int, own: api.Entry) -> int:
        """Since when the server runs, by the list or by a member that saw it start later."""
        told = self.later.get(own.server, 0)
        name = self.names.server(own.server)
        best = (
            None
            if name is None
            else self.store.best(now, Kind.START, name, now - own.since if own.since else None)
        )
        heard = now - best.age_ns if best else 0
        # Each change makes the module forget what it met there, so that a start once told stays as it is.
        since = max(own.since, told)
        if heard > since + SAME_START and now - heard < self.cold:
            since = heard
        if since == own.since:
            self.later.pop(own.server, None)
        else:
            self.later[own.server] = since
        return since

    def process_events(self, now: int, events: Sequence[api.Event]) -> Sequence[api.Event]:
        """Gives back those of one's own: what was heard is neither told on nor counted as met here."""
        own = events
        if self.handed:
            own = [event for event in events if self.handed.pop(id(event), None) is not event]
        add, met_at = self.sums.add, self.met_at
        for event in own:
            if type(event) is api.ServerReport and event.tries:
                add(event)
                met_at[event.server] = now
        return own

    def process_records(self, now: int, news: Sequence[Record]) -> None:
        """Records that are new to the store."""
        for record in news:
            if record.kind == Kind.START and (server := self.names.index(record.key)) in self.known:
                assert server is not None
                if self.start(now, self.known[server]) != self.known[server].since:
                    self.touched.add(server)

    # What is told and given, every second or so

    def exchange(self, now: int, picture: Picture) -> list[api.Event]:
        """Tell the others, and give back what the module shall hear, to be put like any other event."""
        if now >= self.told_at + TELL:
            self.told_at = now
            self.tell_met(now)
            self.tell_picture(now, picture)
        self.out, self.cut = troubled(self.store, now, AGE_MOST)
        events: list[api.Event] = []
        if self.touched:
            told = tuple(self.known[server] for server in sorted(self.touched) if server in self.known)
            self.touched.clear()
            events += [api.Listed(False, False, told)] if told else []
        return events + list(self.others(now))

    def others(self, now: int) -> list[api.ServerReport]:
        """What others' proxies met lately at servers that none of one's own has tried: each word once."""
        found = list[api.ServerReport]()
        for record, zone, row in newest(self.store, now, AGE_MOST):
            server, at = self.names.index(row.server), self.names.zone_index(zone)
            if server not in self.known or server is None or at is None or len(found) >= GIVEN_MOST:
                continue
            word, place = (record.incarnation, record.version), (record.origin + SPLIT + zone, row.server)
            if now - self.met_at.get(server, -OWN_LATE) < OWN_LATE or self.given.get(place, (0, 0)) >= word:
                continue
            # What an older process did says nothing of the new one.
            if now - record.age_ns - row.span_ns < self.later.get(server, self.known[server].since):
                continue
            self.given[place] = word
            tries = min(row.tries, TRIES_MOST)
            found.append(
                api.ServerReport(
                    at, server, tries, round(row.bad * tries / row.tries), row.mean_ns, row.span_ns, ()
                )
            )
        if len(self.given) > 4 * len(self.known) + GIVEN_MOST:
            self.given.clear()  # Of servers long gone; at worst a word counts twice.
        self.handed |= {id(event): event for event in found}
        return found

    def tell_start(self, now: int, entry: api.Entry) -> None:
        name = self.names.server(entry.server)
        if name is not None and entry.since and now - entry.since < self.cold:
            age = max(0, now - entry.since)  # The list's clock may be ahead.
            self.say(now, Kind.START, name, msgspec.msgpack.encode(entry.since), age)

    def tell_met(self, now: int) -> None:
        sums, span = self.sums.take(now)
        ill = notable(sums)
        for zone, server in ill:
            self.tell_rows(now, zone, self.names.server(server) or "", [server], sums, span)
        for zone, servers in sample(sums, ill).items():
            self.tell_rows(now, zone, "", servers, sums, span)
        # Well again where it was tried; where it was not, the last word ages.
        for zone, server in (self.ill - ill) & sums.keys():
            self.store.take_back(now, Kind.ILL, f"{self.names.server(server)}{SPLIT}{self.names.zone(zone)}")
        self.ill = ill | {place for place in self.ill - sums.keys() if place[1] in self.known}
        self.met_at = {server: at for server, at in self.met_at.items() if now - at < OWN_LATE}

    def tell_rows(
        self,
        now: int,
        zone: int,
        key: str,
        servers: list[int],
        sums: dict[tuple[int, int], TrafficTotals],
        span: int,
    ) -> None:
        name = self.names.zone(zone)
        told = [
            ServerObservation(server, one.tries, one.bad, one.mean_ns, span)
            for index in servers
            if (server := self.names.server(index)) is not None and (one := sums[zone, index])
        ]
        if name is not None and told:
            self.give(now, Kind.ILL, f"{key}{SPLIT}{name}", msgspec.msgpack.encode(told))

    def tell_picture(self, now: int, picture: Picture) -> None:
        """Levels and shares of each zone's proxies, by the tables that they use."""
        tables = dict[int, set[int]]()
        for seat in picture.seats.values():
            if seat.table in picture.tables:
                tables.setdefault(seat.zone, set()).add(seat.table)
        for zone, used in tables.items():
            if (name := self.names.zone(zone)) is None:
                continue
            levels = [one for (table, _), one in picture.levels.items() if table in used]
            if levels:
                least = min(int(again) for again, _ in levels), min(part for _, part in levels)
                self.say(now, Kind.LEVEL, name, msgspec.msgpack.encode(least))
            lines = [line.weight for table in used for line in picture.tables[table].values() if line.weight]
            self.say(now, Kind.SHARE, name, msgspec.msgpack.encode((len(lines), round(sum(lines), 2))))

    def say(self, now: int, kind: Kind, key: str, body: bytes, age: int = 0) -> None:
        """Only what is new, or what would soon be too old."""
        known = self.put.get((kind, key))
        if known is None or known[0] != body or (kind != Kind.START and now - known[1] > longest(kind) // 3):
            self.put[kind, key] = body, now
            self.give(now, kind, key, body, age)
        if len(self.put) > 4 * len(self.known) + GIVEN_MOST:
            self.put.clear()

    def give(self, now: int, kind: Kind, key: str, body: bytes, age: int = 0) -> None:
        if len(key) <= KEY_MOST and len(body) <= BODY_MOST:  # Names come from outside, of any length.
            self.store.put(now, kind, key, body, age)

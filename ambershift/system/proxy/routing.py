"""The items a proxy has merged, and the index from a request's host and path to its route."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages import items as kinds
from ambershift.system.messages.items import Item, Key, newest
from ambershift.system.messages.proxy_link import host_counter_name
from ambershift.system.messages.tombstones import (
    COLLECTED_TOMBSTONES_KIND,
    CONFIGURATION_KINDS,
    NO_COLLECTED_TOMBSTONES,
    CollectedTombstones,
    collected_tombstones_of,
)
from ambershift.system.proxy.client_limits import Limits, read_limits
from ambershift.system.state_machine import NS_PER_MS


@dataclass(frozen=True, slots=True)
class Route:
    """One route as an item gives it. Times are ns; `most` backends may get one request; `shares` are the
    services and their weights (one where the route has no `Distribution`).
    """

    name: str
    version: kinds.Version
    host: bytes
    prefix: bytes
    repeatable: bool
    timeout: int
    target: int
    priority: int
    most: int
    homes: tuple[str, ...]
    shares: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of a service; `cold_for` is ns, `cold_rate` requests a second."""

    connections: int = 100
    cold_for: int = 3_000 * NS_PER_MS
    cold_rate: float = 10.0


def read_route(item: Item) -> Route | None:
    """None where the item is dropped, or can't be read: nothing is sent on a route that is not clear."""
    found = _read(item)
    try:
        shares = tuple((str(one["Service"]), float(one["Weight"])) for one in found.get("Distribution") or ())
        if not shares:
            shares = ((str(found["Service"]), 1.0),)
        return Route(
            item.name,
            item.version,
            str(found["Host"]).lower().encode(),
            str(found["PathPrefix"]).encode(),
            found["RouteType"] == "idempotent",
            int(found.get("TimeoutMs") or 600_000) * NS_PER_MS,
            int(found.get("TargetMs") or 1000) * NS_PER_MS,
            int(found.get("Priority") or 0),
            max(1, int(found.get("MaxAttempts") or 1)),
            tuple(found.get("ServingRegions") or ()),
            shares,
        )
    except (KeyError, TypeError, ValueError):
        return None


def read_service(item: Item | None) -> Service:
    found = _read(item)
    plain = Service()
    return Service(
        int(found.get("ConnectionCap") or plain.connections),
        int(float(found.get("ColdStartS") or 0) * 1000) * NS_PER_MS or plain.cold_for,
        float(found.get("ColdRateS") or plain.cold_rate),
    )


def _read(item: Item | None) -> dict[str, Any]:
    if item is None or item.body is None:
        return {}
    try:
        found = msgspec.json.decode(item.body)
    except msgspec.DecodeError:
        return {}
    return found if isinstance(found, dict) else {}


class Routing:
    """Merges items, never back, and finds routes by host and longest prefix."""

    def __init__(self) -> None:
        self.items: dict[Key, Item] = {}
        self.complete = False
        self.limits = Limits()
        self._cleared = frozenset[Key]()
        self._forgotten = NO_COLLECTED_TOMBSTONES
        self._gone: Mapping[Key, int] = {}
        self._outdated = False  # Whether there may be what was dropped and forgotten since.
        self._first = False  # Whether the next items are the first of a link: all that its node has.
        self._told: set[Key] | None = None  # By the link in use, until it has told all.
        self.control_node_outdated = (
            False  # Whether this link's node may lack collected drops: another is needed.
        )
        self.route_count = 0
        self._services: dict[str, Service] = {}
        self._routes: dict[str, Route] = {}
        self._hosts: dict[bytes, _Host] = {}

    def begin_link(self) -> None:
        """A link begins, to another control node or to one that was lost meanwhile."""
        self._first, self._told, self.control_node_outdated = True, set(), False

    def merge(self, items: Sequence[Item]) -> list[Item]:
        """Those that were newer than what stood here."""
        first, self._first = self._first, False
        if first:
            told = next((item for item in items if item.kind == COLLECTED_TOMBSTONES_KIND), None)
            self.control_node_outdated = collected_tombstones_of(told).batch < self._forgotten.required_batch
        if self.control_node_outdated:
            return []
        fresh = []
        for item in items:
            if self._told is not None:
                self._told.add(item.key)
            if item.key in self._cleared or item.version[0] <= self._gone.get(item.key, -1):
                continue
            old = self.items.get(item.key)
            if old is not None and newest(old, item) is old:
                continue
            self.items[item.key] = item
            fresh.append(item)
            if item.kind == kinds.ROUTE:
                self._place(item)
            elif item.kind == kinds.SERVICE:
                self._services[item.name] = read_service(item)
            elif item.kind == kinds.LIMITS:
                self.limits = read_limits(_read(item))
            elif item.kind == kinds.COLLECTED_INSTANCES_KIND:
                self._cleared = frozenset((kinds.INSTANCE, id) for id in kinds.collected_instance_ids(item))
                for key in self._cleared:
                    self.items.pop(key, None)
            elif item.kind == COLLECTED_TOMBSTONES_KIND:
                self._forget(collected_tombstones_of(item), first)
        self.route_count = len(self._routes)
        return fresh

    def complete_link(self) -> None:
        """All items in force have come on this link. What is no newer than collected tombstones and didn't
        come was dropped while this proxy was away.
        """
        if self._outdated and self._told is not None and not self.control_node_outdated:
            old = [one for one in self.items.values() if one.kind in CONFIGURATION_KINDS]
            for item in old:
                if item.version[0] <= self._forgotten.highest_version and item.key not in self._told:
                    self._drop(item.key)
            self.route_count = len(self._routes)
            self._outdated = False
        self._told = None
        self.complete = self.complete or not self.control_node_outdated

    def _forget(self, by: CollectedTombstones, first: bool) -> None:
        if self._forgotten.batch < by.required_batch:
            self._outdated = True
            self.control_node_outdated = (
                not first
            )  # The node itself was outdated until now: what it told before is void.
        self._forgotten, self._gone = by, by.versions_by_key()
        for key, version in self._gone.items():
            if (held := self.items.get(key)) is not None and held.version[0] <= version:
                self._drop(key)

    def _drop(self, key: Key) -> None:
        item = self.items.pop(key)
        if item.kind == kinds.ROUTE:
            self._take_out(item.name)
        elif item.kind == kinds.SERVICE:
            self._services.pop(item.name, None)

    def service(self, name: str) -> Service:
        return self._services.get(name) or Service()

    def find(self, host: bytes, path: bytes) -> Route | None:
        """`host` as in the request's header: with or without a port, in any case of letters."""
        there = self._hosts.get(host)
        if there is None:
            there = self._hosts.get(host.partition(b":")[0].lower())
        return there.find(path) if there is not None else None

    def counter_names(self, route: Route) -> list[str]:
        """The sums that a request on this route counts in: only hosts that have homes are counted."""
        if not self._hosts[route.host].homed:
            return []
        host = route.host.decode("latin-1")
        return [host_counter_name(host, ()), *([host_counter_name(host, route.homes)] if route.homes else [])]

    def _place(self, item: Item) -> None:
        self._take_out(item.name)
        route = read_route(item)
        if route is not None:
            self._routes[item.name] = route
            self._hosts.setdefault(route.host, _Host()).put(route)

    def _take_out(self, name: str) -> None:
        old = self._routes.pop(name, None)
        if old is not None:
            there = self._hosts[old.host]
            there.take_out(old)
            if not there.heads:
                del self._hosts[old.host]


class _Host:
    """One host's routes, by prefix. Two names may claim one prefix while one replaces the other: the higher
    version has it.
    """

    def __init__(self) -> None:
        self.heads: dict[bytes, list[Route]] = {}
        self.homed = 0  # How many routes have homes.
        self._counts: Counter[int] = Counter()  # Of prefixes, by length.
        self._lengths: tuple[int, ...] = ()

    def put(self, route: Route) -> None:
        claims = self.heads.setdefault(route.prefix, [])
        if not claims:
            self._count(len(route.prefix), 1)
        claims.append(route)
        self.homed += bool(route.homes)
        claims.sort(key=lambda one: (one.version, one.name), reverse=True)

    def take_out(self, route: Route) -> None:
        claims = self.heads[route.prefix]
        claims.remove(route)
        self.homed -= bool(route.homes)
        if not claims:
            del self.heads[route.prefix]
            self._count(len(route.prefix), -1)

    def find(self, path: bytes) -> Route | None:
        for length in self._lengths:
            claims = self.heads.get(path[:length])
            if claims:
                return claims[0]
        return None

    def _count(self, length: int, by: int) -> None:
        self._counts[length] += by
        if not self._counts[length]:
            del self._counts[length]
        if len(self._counts) != len(self._lengths):
            self._lengths = tuple(sorted(self._counts, reverse=True))

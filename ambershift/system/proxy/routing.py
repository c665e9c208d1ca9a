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
from ambershift.system.proxy.client_limits import ClientLimits, read_limits
from ambershift.system.state_machine import NS_PER_MS

DEFAULT_TIMEOUT_MS = 600_000
DEFAULT_TARGET_MS = 1000


@dataclass(frozen=True, slots=True)
class Route:
    """One route, as its item defines it.

    Attributes:
        name: The name of the route.
        version: The version of the item.
        host: The host, in lower case.
        prefix: The prefix of the paths.
        idempotent: Whether a request may be executed more than once.
        timeout_ns: How long a request may take.
        target_ns: How long a request should take.
        priority: 0 is the highest; requests of higher numbers are refused sooner under load.
        max_attempts: How many backends may get one request.
        home_regions: The regions whose backends may get it; none where all may.
        services: The services and their weights; one where the route has no `Distribution`.
    """

    name: str
    version: kinds.Version
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_ns: int
    target_ns: int
    priority: int
    max_attempts: int
    home_regions: tuple[str, ...]
    services: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of a service.

    Attributes:
        connection_cap: Connections that one of its backends takes from all proxies together.
        cold_duration_ns: How long a backend may be cold after a start.
        cold_requests_per_s: What a cold backend bears.
    """

    connection_cap: int = 100
    cold_duration_ns: int = 3_000 * NS_PER_MS
    cold_requests_per_s: float = 10.0


def read_route(item: Item) -> Route | None:
    """Read the route of an item.

    Returns:
        None where the item is dropped, or can't be read: nothing is sent on a route that isn't clear.
    """
    body = _read_body(item)
    try:
        services = tuple(
            (str(share["Service"]), float(share["Weight"])) for share in body.get("Distribution") or ()
        )
        if not services:
            services = ((str(body["Service"]), 1.0),)
        return Route(
            item.name,
            item.version,
            str(body["Host"]).lower().encode(),
            str(body["PathPrefix"]).encode(),
            body["RouteType"] == "idempotent",
            int(body.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) * NS_PER_MS,
            int(body.get("TargetMs") or DEFAULT_TARGET_MS) * NS_PER_MS,
            int(body.get("Priority") or 0),
            max(1, int(body.get("MaxAttempts") or 1)),
            tuple(body.get("ServingRegions") or ()),
            services,
        )
    except (KeyError, TypeError, ValueError):
        return None


def read_service(item: Item | None) -> Service:
    """Read the service of an item; what the item lacks has its default."""
    body = _read_body(item)
    default = Service()
    return Service(
        int(body.get("ConnectionCap") or default.connection_cap),
        int(float(body.get("ColdStartS") or 0) * 1000) * NS_PER_MS or default.cold_duration_ns,
        float(body.get("ColdRateS") or default.cold_requests_per_s),
    )


def _read_body(item: Item | None) -> dict[str, Any]:
    """Decode the body of an item; empty where it has none, or can't be read."""
    if item is None or item.body is None:
        return {}
    try:
        body = msgspec.json.decode(item.body)
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {}


class Routing:
    """Merges items, by version, and finds routes by host and longest prefix.

    Attributes:
        items: The items, by key.
        complete: Whether the proxy has had the complete configuration.
        limits: The limits of clients.
        control_node_outdated: Whether the node of this link may lack collected tombstones: another is needed.
        route_count: How many routes there are.
    """

    def __init__(self) -> None:
        """Start without items."""
        self.items: dict[Key, Item] = {}
        self.complete = False
        self.limits = ClientLimits()
        self.control_node_outdated = False
        self.route_count = 0
        self._collected_instances = frozenset[Key]()
        self._collected = NO_COLLECTED_TOMBSTONES
        self._collected_versions: Mapping[Key, int] = {}
        # Whether items may be left whose tombstones were collected while this proxy was away.
        self._may_have_dropped = False
        # Whether the next items are the first of a link, and with that all that its node has.
        self._is_first_update = False
        self._received: set[Key] | None = None  # On the link in use, until it has sent all.
        self._services: dict[str, Service] = {}
        self._routes: dict[str, Route] = {}
        self._hosts: dict[bytes, _Host] = {}

    # Items.

    def begin_link(self) -> None:
        """A link begins, to another control node or to one that was lost meanwhile."""
        self._is_first_update = True
        self._received = set()
        self.control_node_outdated = False

    def merge(self, items: Sequence[Item]) -> list[Item]:
        """Merge items; return those that were newer than what the proxy had."""
        is_first, self._is_first_update = self._is_first_update, False
        if is_first:
            item_of_node = next((item for item in items if item.kind == COLLECTED_TOMBSTONES_KIND), None)
            batch = collected_tombstones_of(item_of_node).batch
            self.control_node_outdated = batch < self._collected.required_batch
        if self.control_node_outdated:
            return []
        newer = []
        for item in items:
            if self._received is not None:
                self._received.add(item.key)
            is_collected = item.version[0] <= self._collected_versions.get(item.key, -1)
            if item.key in self._collected_instances or is_collected:
                continue
            old = self.items.get(item.key)
            if old is not None and newest(old, item) is old:
                continue
            self.items[item.key] = item
            newer.append(item)
            self._apply(item, is_first)
        self.route_count = len(self._routes)
        return newer

    def _apply(self, item: Item, is_first: bool) -> None:
        if item.kind == kinds.ROUTE:
            self._put_route(item)
        elif item.kind == kinds.SERVICE:
            self._services[item.name] = read_service(item)
        elif item.kind == kinds.LIMITS:
            self.limits = read_limits(_read_body(item))
        elif item.kind == kinds.COLLECTED_INSTANCES_KIND:
            ids = kinds.collected_instance_ids(item)
            self._collected_instances = frozenset((kinds.INSTANCE, id) for id in ids)
            for key in self._collected_instances:
                self.items.pop(key, None)
        elif item.kind == COLLECTED_TOMBSTONES_KIND:
            self._collect(collected_tombstones_of(item), is_first)

    def complete_link(self) -> None:
        """All items in force have come on this link.

        Items that didn't come, and that are no newer than collected tombstones, were dropped while this proxy
        was away.
        """
        if self._may_have_dropped and self._received is not None and not self.control_node_outdated:
            held = [item for item in self.items.values() if item.kind in CONFIGURATION_KINDS]
            for item in held:
                is_old = item.version[0] <= self._collected.highest_version
                if is_old and item.key not in self._received:
                    self._drop(item.key)
            self.route_count = len(self._routes)
            self._may_have_dropped = False
        self._received = None
        self.complete = self.complete or not self.control_node_outdated

    def _collect(self, collected: CollectedTombstones, is_first: bool) -> None:
        """Drop the items whose tombstones were collected."""
        if self._collected.batch < collected.required_batch:
            self._may_have_dropped = True
            # Not in its first items: the node itself was outdated until now, and what it sent before is void.
            self.control_node_outdated = not is_first
        self._collected = collected
        self._collected_versions = collected.versions_by_key()
        for key, version in self._collected_versions.items():
            if (held := self.items.get(key)) is not None and held.version[0] <= version:
                self._drop(key)

    def _drop(self, key: Key) -> None:
        item = self.items.pop(key)
        if item.kind == kinds.ROUTE:
            self._remove_route(item.name)
        elif item.kind == kinds.SERVICE:
            self._services.pop(item.name, None)

    # Routes and services.

    def service(self, name: str) -> Service:
        """Return a service; one that isn't configured has the defaults."""
        return self._services.get(name) or Service()

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of a request.

        Args:
            host: The `Host` header: with or without a port, in any case.
            path: The path.
        """
        found = self._hosts.get(host)
        if found is None:
            found = self._hosts.get(host.partition(b":")[0].lower())
        return found.find(path) if found is not None else None

    def counter_names(self, route: Route) -> list[str]:
        """Return the host counters of a request on this route; only hosts with home regions have any."""
        if not self._hosts[route.host].routes_with_homes:
            return []
        host = route.host.decode("latin-1")
        names = [host_counter_name(host, ())]
        if route.home_regions:
            names.append(host_counter_name(host, route.home_regions))
        return names

    def _put_route(self, item: Item) -> None:
        self._remove_route(item.name)
        route = read_route(item)
        if route is not None:
            self._routes[item.name] = route
            self._hosts.setdefault(route.host, _Host()).put(route)

    def _remove_route(self, name: str) -> None:
        route = self._routes.pop(name, None)
        if route is not None:
            host = self._hosts[route.host]
            host.remove(route)
            if not host.routes_by_prefix:
                del self._hosts[route.host]


class _Host:
    """One host's routes, by prefix.

    Two names may claim one prefix while one replaces the other: the route with the higher version has it.

    Attributes:
        routes_by_prefix: The routes of each prefix, the one in force first.
        routes_with_homes: How many routes have home regions.
    """

    def __init__(self) -> None:
        self.routes_by_prefix: dict[bytes, list[Route]] = {}
        self.routes_with_homes = 0
        self._prefix_counts: Counter[int] = Counter()  # By length of the prefix.
        self._prefix_lengths: tuple[int, ...] = ()  # The longest first.

    def put(self, route: Route) -> None:
        claims = self.routes_by_prefix.setdefault(route.prefix, [])
        if not claims:
            self._count_prefix(len(route.prefix), 1)
        claims.append(route)
        self.routes_with_homes += bool(route.home_regions)
        claims.sort(key=lambda claim: (claim.version, claim.name), reverse=True)

    def remove(self, route: Route) -> None:
        claims = self.routes_by_prefix[route.prefix]
        claims.remove(route)
        self.routes_with_homes -= bool(route.home_regions)
        if not claims:
            del self.routes_by_prefix[route.prefix]
            self._count_prefix(len(route.prefix), -1)

    def find(self, path: bytes) -> Route | None:
        for length in self._prefix_lengths:
            claims = self.routes_by_prefix.get(path[:length])
            if claims:
                return claims[0]
        return None

    def _count_prefix(self, length: int, change: int) -> None:
        self._prefix_counts[length] += change
        if not self._prefix_counts[length]:
            del self._prefix_counts[length]
        if len(self._prefix_counts) != len(self._prefix_lengths):
            self._prefix_lengths = tuple(sorted(self._prefix_counts, reverse=True))

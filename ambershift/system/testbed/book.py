"""What a rehearsal's configuration holds: services, routes and their versions, as the operator sends them."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from ambershift.system.testbed.settings import draw_name

ROUTE_COLUMNS = (
    "Name",
    "Host",
    "PathPrefix",
    "RouteType",
    "TimeoutMs",
    "TargetMs",
    "Priority",
    "Distribution",
    "MaxAttempts",
    "ServingRegions",
    "ConfigVersion",
    "Service",
)
SERVICE_COLUMNS = (
    "Name",
    "HealthPath",
    "ConnectionCap",
    "Protocol",
    "Tls",
    "ColdStartS",
    "ColdRateS",
    "ConfigVersion",
)
COLD_S, COLD_RATE = 2.0, 20.0


@dataclass(frozen=True, slots=True)
class Route:
    """`split` has (service, weight); one service alone is sent as `Service`. `homes` are regions."""

    name: str
    host: str
    prefix: str
    repeatable: bool
    split: tuple[tuple[str, int], ...]
    version: int
    homes: tuple[str, ...] = ()
    timeout_ms: int = 2000
    target_ms: int = 500
    priority: int = 1

    @property
    def services(self) -> frozenset[str]:
        return frozenset(service for service, _ in self.split)

    def row(self) -> list[Any]:
        alone = len(self.split) == 1
        return [
            self.name,
            self.host,
            self.prefix,
            "idempotent" if self.repeatable else "non_idempotent",
            self.timeout_ms,
            self.target_ms,
            self.priority,
            None if alone else [{"Service": name, "Weight": weight} for name, weight in self.split],
            2,
            list(self.homes),
            f"r{self.version}",
            self.split[0][0] if alone else None,
        ]


def service_row(name: str, version: int) -> list[Any]:
    return [name, "/health", 200, "h1", False, COLD_S, COLD_RATE, f"r{version}"]


def routes_part(routes: Iterable[Route]) -> dict[str, Any]:
    return {"Columns": list(ROUTE_COLUMNS), "Rows": [route.row() for route in routes]}


def services_part(names: Iterable[str], version: int) -> dict[str, Any]:
    return {"Columns": list(SERVICE_COLUMNS), "Rows": [service_row(name, version) for name in names]}


def limits_part(version: int) -> dict[str, Any]:
    return {
        "HeaderBytes": 16384,
        "BodyBytes": 1 << 26,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
        "ConfigVersion": f"r{version}",
    }


class Book:
    """The operator's own copy: `routes` by name, and what was dropped at which version."""

    def __init__(self, chance: random.Random, regions: Sequence[str], services: int, routes: int) -> None:
        self.chance, self.version, self.first = chance, 7, 7
        taken = set[str]()
        self.services = [draw_name(chance, taken) for _ in range(services)]
        self.routes = dict[str, Route]()
        self.dropped = dict[str, int]()
        for at in range(routes):
            mine = self.services[at % services]
            other = self.services[(at + 1) % services]
            split = ((mine, 80), (other, 20)) if at % 4 == 2 and services > 1 else ((mine, 100),)
            homes = tuple(sorted(set(regions[:2]))) if at % 4 == 3 and len(regions) > 1 else ()
            self.put(
                Route(
                    f"r-{draw_name(chance, taken)}",
                    f"{draw_name(chance, taken)}.example",
                    f"/{draw_name(chance, taken)}/",
                    at % 2 == 0,
                    split,
                    self.version,
                    homes,
                    priority=at % 3,
                )
            )

    def put(self, route: Route) -> None:
        self.routes[route.name] = route

    def whole(self) -> dict[str, Any]:
        """All items that stand: at the beginning, the first call."""
        return {
            "Upsert": {
                "Routes": routes_part(self.routes.values()),
                "Services": services_part(self.services, self.first),
                "Limits": limits_part(self.first),
            },
            "Remove": {"Routes": []},
        }

    def shift(self, name: str) -> Route:
        """The route goes to the next service from now on."""
        route = self.routes[name]
        at = self.services.index(route.split[0][0])
        return self.renew(replace(route, split=((self.services[(at + 1) % len(self.services)], 100),)))

    def add(self) -> Route:
        taken = {route.name[2:] for route in self.routes.values()}
        name = draw_name(self.chance, taken)
        return self.renew(
            Route(f"r-{name}", f"{name}.example", "/late/", True, ((self.services[0], 100),), 0)
        )

    def renew(self, route: Route) -> Route:
        self.version += self.chance.randrange(1, 4)
        self.put(replace(route, version=self.version))
        return self.routes[route.name]

    def drop(self, name: str) -> int:
        self.version += self.chance.randrange(1, 4)
        del self.routes[name]
        self.dropped[name] = self.version
        return self.version


def change(put: Sequence[Route] = (), drop: Sequence[tuple[str, int]] = ()) -> dict[str, Any]:
    """The body of a change: whole items, and names dropped with their versions."""
    return {
        "Upsert": {"Routes": routes_part(put)},
        "Remove": {"Routes": [{"Name": name, "ConfigVersion": f"r{version}"} for name, version in drop]},
    }


def items_of(configuration: Any) -> dict[tuple[str, str], dict[str, Any]]:
    """A configuration as it is read back, item by item; fields that are null are left out."""
    found = dict[tuple[str, str], dict[str, Any]]()
    whole = configuration.get("Upsert", configuration)
    for kind in ("Routes", "Services"):
        part = whole.get(kind) or {"Columns": [], "Rows": []}
        for row in part["Rows"]:
            item = {
                key: value
                for key, value in zip(part["Columns"], row, strict=True)
                if value is not None and value != []
            }
            found[kind, item["Name"]] = item
    if limits := whole.get("Limits"):
        found["Limits", ""] = dict(limits)
    return found

"""Which pools the operator's routes make: a service's backends within the home regions of a route."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages.items import ROUTE, Item
from ambershift.system.messages.proxy_link import pool_name

DEFAULT_TARGET_MS = 500


@dataclass(frozen=True, slots=True)
class Pool:
    """The backends of a service that certain routes may use.

    Attributes:
        name: As `pool_name` makes it.
        service: The service's name.
        home_regions: The regions that its backends may be in; none stands for all.
        target_ms: Within which time responses are wanted.
    """

    name: str
    service: str
    home_regions: tuple[str, ...]
    target_ms: int


def pools_of_routes(items: Iterable[Item]) -> dict[str, Pool]:
    """All pools by name, each with the shortest target of its routes."""
    pools = dict[str, Pool]()
    for item in items:
        if item.kind != ROUTE or item.body is None:
            continue
        route = msgspec.json.decode(item.body)
        home_regions = tuple(sorted(route.get("ServingRegions") or ()))
        target_ms = int(route.get("TargetMs") or DEFAULT_TARGET_MS)
        for service in _services(route):
            name = pool_name(service, home_regions)
            known = pools.get(name)
            pools[name] = Pool(
                name, service, home_regions, min(target_ms, known.target_ms) if known else target_ms
            )
    return pools


def _services(route: dict[str, Any]) -> list[str]:
    """The services that a route sends requests to: one, or those that it distributes them over."""
    if route.get("Service"):
        return [route["Service"]]
    return [part["Service"] for part in route.get("Distribution") or ()]

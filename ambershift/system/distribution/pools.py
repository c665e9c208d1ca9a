"""Which pools the operator's routes make: a service's backends within the homes of a route."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.messages.items import ROUTE, Item
from ambershift.system.messages.proxy_link import pool_name

USUAL_MS = 500


@dataclass(frozen=True, slots=True)
class Pool:
    """`homes`: the regions its backends may be in (none: all). `target_ms`: when answers are wanted."""

    name: str
    service: str
    home_regions: tuple[str, ...]
    target_ms: int


def pools_of_routes(items: Iterable[Item]) -> dict[str, Pool]:
    """All pools by name, each with the shortest target of its routes."""
    found = dict[str, Pool]()
    for item in items:
        if item.kind != ROUTE or item.body is None:
            continue
        body = msgspec.json.decode(item.body)
        homes = tuple(sorted(body.get("ServingRegions") or ()))
        target = int(body.get("TargetMs") or USUAL_MS)
        for service in _services(body):
            name = pool_name(service, homes)
            known = found.get(name)
            found[name] = Pool(name, service, homes, min(target, known.target_ms) if known else target)
    return found


def _services(body: dict[str, Any]) -> list[str]:
    if body.get("Service"):
        return [body["Service"]]
    return [part["Service"] for part in body.get("Distribution") or ()]

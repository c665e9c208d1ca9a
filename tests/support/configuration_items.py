"""Routes and their drops as items of the configuration."""

from __future__ import annotations

import msgspec

from ambershift.system.messages.items import OPERATOR_AUTHOR, ROUTE, Item


def route(name: str, version: int) -> Item:
    body = {"Host": "h", "PathPrefix": f"/{name}", "RouteType": "idempotent", "Service": "s"}
    return Item(ROUTE, name, (version, OPERATOR_AUTHOR), msgspec.json.encode(body))


def drop(name: str, version: int) -> Item:
    return Item(ROUTE, name, (version, OPERATOR_AUTHOR))

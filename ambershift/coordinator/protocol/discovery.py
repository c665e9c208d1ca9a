"""Discovery's lists of servers, and the targets under which they are asked for."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from ambershift import interface as api
from ambershift.coordinator.protocol.fields import UnreadableError

WHOLE = "/v1/endpoints"
PHASES = {"up": api.Phase.READY, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}
MS_MOST = 1e14


class Server(NamedTuple):
    id: str
    address: str
    zone: str
    phase: api.Phase
    weight: float
    started_ms: float


class Listing(NamedTuple):
    version: int
    full: bool
    servers: tuple[Server, ...]


def watch(version: int, wait_ms: int) -> str:
    return f"{WHOLE}?after={version}&wait_ms={wait_ms}"


def parse(body: bytes) -> Listing:
    try:
        return from_json(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise UnreadableError(f"not JSON: {error}") from None


def from_json(found: Any) -> Listing:
    """From JSON already read: the answer of discovery, or `known` in the configuration."""
    if not isinstance(found, dict):
        raise UnreadableError("the list is no object")
    version, full, servers = found.get("version"), found.get("full"), found.get("servers")
    if type(version) is not int or version < 0 or not isinstance(full, bool) or not isinstance(servers, list):
        raise UnreadableError("the list lacks 'version', 'full' or 'servers'")
    listing = Listing(version, full, tuple(server(one) for one in servers))
    if len({one.id for one in listing.servers}) < len(servers):
        raise UnreadableError("the list has a server twice")
    return listing


def server(found: Any) -> Server:
    if not isinstance(found, dict):
        raise UnreadableError("a server is no object")
    name, address, state = found.get("id"), found.get("addr", ""), found.get("state")
    if not isinstance(name, str) or not usable(name) or not isinstance(address, str):
        raise UnreadableError("a server's 'id' or 'addr' is no word")
    if not isinstance(state, str) or state not in PHASES:
        raise UnreadableError(f"server {name}: unknown state")
    return Server(
        name,
        address,
        str(found.get("zone", "")),
        PHASES[state],
        bounded(found.get("weight", 1.0), f"server {name}: 'weight'"),
        bounded(found.get("started_ms", 0), f"server {name}: 'started_ms'"),
    )


def usable(name: str) -> bool:
    """An id goes into orders as it is, so nothing in it may look like the end of a word or of an order."""
    return 0 < len(name) <= 200 and name.isascii() and name.isprintable() and not set(name) & set(" ,;+*")


def bounded(value: Any, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MS_MOST:
        raise UnreadableError(f"{what} is out of range")
    return float(value)

"""The discovery service's lists of servers, and the targets of requests for them."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from ambershift import interface as api
from ambershift.coordinator.protocol.fields import UnreadableError

LIST_TARGET = "/v1/endpoints"
PHASES = {"up": api.Phase.READY, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}
MAX_NUMBER = 1e14  # For times in milliseconds and for weights.
MAX_ID_LENGTH = 200


class Server(NamedTuple):
    """One server of a list."""

    id: str
    address: str
    zone: str
    phase: api.Phase
    weight: float
    started_ms: float


class Listing(NamedTuple):
    """A list of servers: all of them if `full`, else those that changed."""

    version: int
    full: bool
    servers: tuple[Server, ...]


def watch_target(version: int, wait_ms: int) -> str:
    """Return the target that asks for changes after a version, and waits for one so long."""
    return f"{LIST_TARGET}?after={version}&wait_ms={wait_ms}"


def parse(body: bytes) -> Listing:
    """Parse the body of an answer.

    Raises:
        UnreadableError: It is malformed.
    """
    try:
        return from_json(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise UnreadableError(f"not JSON: {error}") from None


def from_json(found: Any) -> Listing:
    """Check a list in decoded JSON: an answer of the discovery service, or `known` in the configuration.

    Raises:
        UnreadableError: It is malformed.
    """
    if not isinstance(found, dict):
        raise UnreadableError("the list is no object")
    version, full, servers = found.get("version"), found.get("full"), found.get("servers")
    if type(version) is not int or version < 0 or not isinstance(full, bool) or not isinstance(servers, list):
        raise UnreadableError("the list lacks 'version', 'full' or 'servers'")
    listing = Listing(version, full, tuple(server_from_json(one) for one in servers))
    if len({one.id for one in listing.servers}) < len(servers):
        raise UnreadableError("the list has a server twice")
    return listing


def server_from_json(found: Any) -> Server:
    """Check one server of a list.

    Raises:
        UnreadableError: It is malformed.
    """
    if not isinstance(found, dict):
        raise UnreadableError("a server is no object")
    name, address, state = found.get("id"), found.get("addr", ""), found.get("state")
    if not isinstance(name, str) or not is_valid_id(name) or not isinstance(address, str):
        raise UnreadableError("a server's 'id' or 'addr' is no word")
    if not isinstance(state, str) or state not in PHASES:
        raise UnreadableError(f"server {name}: unknown state")
    return Server(
        name,
        address,
        str(found.get("zone", "")),
        PHASES[state],
        check_number(found.get("weight", 1.0), f"server {name}: 'weight'"),
        check_number(found.get("started_ms", 0), f"server {name}: 'started_ms'"),
    )


def is_valid_id(name: str) -> bool:
    """Tell whether an id can be part of an order: it is written as it is, so it must hold no delimiter."""
    has_delimiter = bool(set(name) & set(" ,;+*"))
    return 0 < len(name) <= MAX_ID_LENGTH and name.isascii() and name.isprintable() and not has_delimiter


def check_number(value: Any, name: str) -> float:
    """Return a number that is neither negative nor too large.

    Raises:
        UnreadableError: The value is something else.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_NUMBER:
        raise UnreadableError(f"{name} is out of range")
    return float(value)

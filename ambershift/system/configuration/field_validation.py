"""Validates the fields of one item: what no proxy could serve, and what the protocol calls invalid."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from ambershift.system.configuration.layout import Fields
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE

ROUTE_TYPES = ("idempotent", "non_idempotent")
TIMEOUT_MOST = 600_000  # Ten minutes, in ms.

Found = Iterator[tuple[str, str]]  # Pairs of field and reason.


def number(value: Any) -> bool:
    """Whether a JSON value is a number; JSON's `true` and `false` aren't."""
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def positive(value: Any) -> bool:
    """Whether a JSON value is a number above 0."""
    return number(value) and value > 0


def not_negative(value: Any) -> bool:
    """Whether a JSON value is a number from 0."""
    return number(value) and value >= 0


def text(value: Any) -> bool:
    """Whether a JSON value is a string."""
    return isinstance(value, str)


def texts(value: Any) -> bool:
    """Whether a JSON value is a list of strings."""
    return isinstance(value, list) and all(isinstance(one, str) for one in value)


def truth(value: Any) -> bool:
    """Whether a JSON value is `true` or `false`."""
    return isinstance(value, bool)


# Optional fields, the check of each, and the reason if it fails. Unknown fields are accepted.
Kinds = tuple[tuple[str, Callable[[Any], bool], str], ...]
ROUTE_KINDS: Kinds = (
    ("TargetMs", positive, "is not a positive number"),
    ("Priority", number, "is not a number"),
    ("MaxAttempts", not_negative, "is not a number from 0"),
    ("ServingRegions", texts, "is not a list of regions"),
)
SERVICE_KINDS: Kinds = (
    ("HealthPath", text, "is not a path"),
    ("ConnectionCap", not_negative, "is not a number from 0"),
    ("Protocol", text, "is not a name"),
    ("Tls", truth, "is neither true nor false"),
    ("ColdStartS", not_negative, "is not a number from 0"),
    ("ColdRateS", not_negative, "is not a number from 0"),
)
LIMITS_KINDS: Kinds = tuple(
    (name, positive, "is not a positive number")
    for name in ("HeaderBytes", "BodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs")
)


def faults(kind: str, fields: Fields) -> Found:
    """Field and reason of each fault within one item, except for its name and version.

    Args:
        kind: ROUTE, SERVICE or LIMITS.
        fields: The item's fields without null values.
    """
    if kind == ROUTE:
        yield from _route(fields)
    yield from _kinds({ROUTE: ROUTE_KINDS, SERVICE: SERVICE_KINDS, LIMITS: LIMITS_KINDS}[kind], fields)


def _kinds(kinds: Kinds, fields: Fields) -> Found:
    for name, holds, reason in kinds:
        if name in fields and not holds(fields[name]):
            yield name, reason


def _route(fields: Fields) -> Found:
    host = fields.get("Host")
    if not isinstance(host, str) or not host.strip():
        yield "Host", "is empty"
    prefix = fields.get("PathPrefix")
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        yield "PathPrefix", "does not begin with a slash"
    if fields.get("RouteType") not in ROUTE_TYPES:
        yield "RouteType", f"is none of {', '.join(ROUTE_TYPES)}"
    timeout = fields.get("TimeoutMs")
    if timeout is not None and not positive(timeout):
        yield "TimeoutMs", "is not a positive number"
    elif timeout is not None and timeout > TIMEOUT_MOST:
        yield "TimeoutMs", "is over ten minutes"
    yield from _targets(fields)


def _targets(fields: Fields) -> Found:
    service, shares = fields.get("Service"), fields.get("Distribution")
    if service is not None and (not text(service) or not service):
        yield "Service", "is not a name"
    if not shares:
        if service is None:
            yield "Service", "is missing, and so is Distribution"
        elif shares is not None and shares != []:
            yield "Distribution", "is not a list"
        return
    if not isinstance(shares, list) or not all(isinstance(one, dict) for one in shares):
        yield "Distribution", "is not a list of services and weights"
        return
    if not all(text(one.get("Service")) and one["Service"] for one in shares):
        yield "Distribution", "has a share without a service"
    elif not all(not_negative(one.get("Weight")) for one in shares):
        yield "Distribution", "has a share whose weight is not a number from 0"
    elif not any(one["Weight"] > 0 for one in shares):
        yield "Distribution", "has no positive weight"


def services_of(fields: Fields) -> list[str]:
    """The services that a valid route refers to."""
    named = [one["Service"] for one in fields.get("Distribution") or []]
    if "Service" in fields:
        named.append(fields["Service"])
    return named

"""Probes of a server: the targets of the requests, and the load report in the answer."""

from __future__ import annotations

import math

import orjson

from ambershift.coordinator.protocol.fields import UnreadableError

HEALTH_TARGET = "/health"
LOAD_TARGET = "/status/load"


def parse_load(body: bytes) -> dict[str, float]:
    """Return the numbers in a load report; an empty body is a missing report, and no error.

    Raises:
        UnreadableError: The body is no JSON object.
    """
    if not body.strip():
        return {}
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise UnreadableError("the load report is not JSON") from None
    if not isinstance(found, dict):
        raise UnreadableError("the load report is no object")
    return {
        name: float(value)
        for name, value in found.items()
        if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    }

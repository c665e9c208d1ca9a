"""Probes of a server: where to ask, and the load report in the answer."""

from __future__ import annotations

import math

import orjson

from ambershift.coordinator.protocol.fields import UnreadableError

HEALTH, LOAD = "/health", "/status/load"


def parse_load(body: bytes) -> dict[str, float]:
    """The figures of a load report; an empty body is no report, and that is no error."""
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

"""A role's figures as Prometheus' text, on a port of its own, for whoever looks at an incident.

`metrics` in `deploy/system.toml` names port and path of each role; they stand here too, as a process is
not told its own deploy file. The library is loaded by the first question: a day on which nobody asks pays
nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

PROXY_PORT, CONTROL_PORT, PATH = 9464, 9465, "/metrics"
PORT_TAKEN = 7  # Number of the log's event.

Application = Callable[[Any, Any, Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Metric:
    """A gauge: its name without the program's, what it tells and in which unit, and a value for each set of
    labels (or one without)."""

    name: str
    help_text: str
    value: float = 0.0
    label: str = ""
    values: Mapping[str, float] = field(default_factory=dict)


def render(metrics: Iterable[Metric]) -> bytes:
    """In Prometheus' text format."""
    from prometheus_client import CollectorRegistry, Gauge, generate_latest

    registry = CollectorRegistry()
    for one in metrics:
        gauge = Gauge(
            f"ambershift_{one.name}", one.help_text, [one.label] if one.label else [], registry=registry
        )
        if not one.label:
            gauge.set(one.value)
        for label, value in one.values.items():
            gauge.labels(label).set(value)
    found: bytes = generate_latest(registry)
    return found


class MetricsMiddleware:
    """An ASGI application, and beside it the figures on their own port."""

    def __init__(self, application: Application, port: int, collect: Callable[[], Sequence[Metric]]) -> None:
        self._application, self._port, self._collect = application, port, collect

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["server"][1] != self._port:
            await self._application(scope, receive, send)
            return
        known = scope["path"] == PATH and scope["method"] == "GET"
        body = render(self._collect()) if known else b""
        headers = [
            (b"content-type", b"text/plain; version=0.0.4"),
            (b"content-length", b"%d" % len(body)),
        ]
        await send({"type": "http.response.start", "status": 200 if known else 404, "headers": headers})
        await send({"type": "http.response.body", "body": body})

"""A role's metrics in Prometheus' text format, on a port of their own.

`metrics` in `deploy/system.toml` names port and path of each role; they are repeated here, as a process isn't
told its own deploy file. The library is loaded by the first scrape: one that isn't scraped pays nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

PROXY_PORT = 9464
CONTROL_PORT = 9465
PATH = "/metrics"
PORT_TAKEN = 7  # Number of the event in the log.

Application = Callable[[Any, Any, Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Metric:
    """A gauge or counter, with one value or a value for each value of a label.

    Attributes:
        name: Without the prefix `ambershift_`; with its base unit at the end. A name that ends in `_total` is
            a counter, all others are gauges (https://prometheus.io/docs/practices/naming/).
        help_text: What it tells, for `# HELP`.
        value: The value of a gauge without a label.
        label: Name of the label; empty for none.
        values: By the value of the label.
    """

    name: str
    help_text: str
    value: float = 0.0
    label: str = ""
    values: Mapping[str, float] = field(default_factory=dict)


def render(metrics: Iterable[Metric]) -> bytes:
    """The metrics in Prometheus' text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families: list[CounterMetricFamily | GaugeMetricFamily] = []
    for metric in metrics:
        name = f"ambershift_{metric.name}"
        family_type = CounterMetricFamily if metric.name.endswith("_total") else GaugeMetricFamily
        family = family_type(name, metric.help_text, labels=[metric.label] if metric.label else [])
        if not metric.label:
            family.add_metric([], metric.value)
        for label_value, value in metric.values.items():
            family.add_metric([label_value], value)
        families.append(family)
    registry = CollectorRegistry()
    registry.register(_Scrape(families))
    text: bytes = generate_latest(registry)
    return text


class _Scrape:
    """A collector, by Prometheus' client library, of metrics that are already taken."""

    def __init__(self, families: Iterable[Any]) -> None:
        self._families = families

    def collect(self) -> Iterable[Any]:
        return self._families


class MetricsMiddleware:
    """An ASGI application that answers requests on the metrics port and hands all others on."""

    def __init__(self, application: Application, port: int, collect: Callable[[], Sequence[Metric]]) -> None:
        """Wrap `application`; `collect` is called at each scrape of `port`."""
        self._application = application
        self._port = port
        self._collect = collect

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI connection."""
        if scope["type"] != "http" or scope["server"][1] != self._port:
            await self._application(scope, receive, send)
            return
        is_scrape = scope["path"] == PATH and scope["method"] == "GET"
        body = render(self._collect()) if is_scrape else b""
        headers = [
            (b"content-type", b"text/plain; version=0.0.4"),
            (b"content-length", b"%d" % len(body)),
        ]
        status = 200 if is_scrape else 404
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

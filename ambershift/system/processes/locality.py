"""How far requests went: counts that show an operator whether tables keep traffic in its zone and region."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ambershift.system.messages.proxy_link import BindTable, LoadReport

REPORTS_PER_LOG_LINE = 10


class Located(Protocol):
    """A backend, of which only the location counts here."""

    zone: str
    region: str


class LocalityCounter:
    """Counts attempts by how far they went: own zone, own region, abroad.

    `own_zone` and `own_region` are cumulative here, a zone being in its region; log fields are disjoint.
    """

    def __init__(self, zone: str, region: str) -> None:
        """Start the counts at zero, for a proxy in this zone and region."""
        self.zone = zone
        self.region = region
        self._reset()

    def _reset(self) -> None:
        self.reports = 0
        self.attempts = 0
        self.failures = 0
        self.own_zone = 0
        self.own_region = 0

    def count(self, report: LoadReport, backends: Mapping[str, Located]) -> None:
        """Add the attempts of a report; those to backends that are no longer known aren't counted."""
        self.reports += 1
        for load in report.backends:
            backend = backends.get(load.backend_id)
            if backend is None:
                continue
            self.attempts += load.attempts
            self.failures += load.failures
            self.own_zone += load.attempts * (backend.zone == self.zone)
            self.own_region += load.attempts * (backend.region == self.region)

    def table_fields(self, table: BindTable, backends: Mapping[str, Located]) -> dict[str, object]:
        """The log fields of a table: how many of its entries are how far."""
        known = [backends[backend_id] for backend_id, _ in table.entries if backend_id in backends]
        own_region = sum(backend.region == self.region for backend in known)
        own_zone = sum(backend.zone == self.zone for backend in known)
        return {
            "same_zone": own_zone,
            "same_region": own_region - own_zone,
            "other_region": len(table.entries) - own_region,
        }

    def is_due(self) -> bool:
        """Whether enough reports were counted for a line in the log."""
        return self.reports >= REPORTS_PER_LOG_LINE

    def take_fields(self) -> dict[str, object]:
        """The log fields of the attempts counted; counting starts again at zero."""
        fields: dict[str, object] = {
            "attempts": self.attempts,
            "failures": self.failures,
            "same_zone": self.own_zone,
            "same_region": self.own_region - self.own_zone,
            "other_region": self.attempts - self.own_region,
        }
        self._reset()
        return fields

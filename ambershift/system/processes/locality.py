"""How far requests went: counts that an operator reads to see whether tables keep traffic at home."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ambershift.system.messages.proxy_link import BindTable, LoadReport

REPORTS_PER_LOG_LINE = 10  # A line in the log for so many reports.


class Located(Protocol):
    """A backend's life, of which only the place counts here."""

    zone: str
    region: str


class LocalityCounter:
    def __init__(self, zone: str, region: str) -> None:
        self.zone, self.region = zone, region
        self.reports = self.attempts = self.failures = self.own_zone = self.own_region = 0

    def count(self, report: LoadReport, backends: Mapping[str, Located]) -> None:
        self.reports += 1
        for met in report.backends:
            life = backends.get(met.backend_id)
            if life is None:
                continue  # Gone since: where it was is not worth keeping.
            self.attempts += met.attempts
            self.failures += met.failures
            self.own_zone += met.attempts * (life.zone == self.zone)
            self.own_region += met.attempts * (life.region == self.region)

    def table_fields(self, bind: BindTable, backends: Mapping[str, Located]) -> dict[str, object]:
        """A table's lines by place."""
        found = [backends[id] for id, _ in bind.entries if id in backends]
        region = sum(life.region == self.region for life in found)
        own = sum(life.zone == self.zone for life in found)
        return {"own_zone": own, "own_region": region - own, "abroad": len(bind.entries) - region}

    def is_due(self) -> bool:
        return self.reports >= REPORTS_PER_LOG_LINE

    def take_fields(self) -> dict[str, object]:
        """The fields of the line; counting begins anew."""
        told: dict[str, object] = {
            "tries": self.attempts,
            "bad": self.failures,
            "own_zone": self.own_zone,
            "own_region": self.own_region - self.own_zone,
            "abroad": self.attempts - self.own_region,
        }
        self.reports = self.attempts = self.failures = self.own_zone = self.own_region = 0
        return told

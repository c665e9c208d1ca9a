"""How far requests went: counts that an operator reads to see whether tables keep traffic at home."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ambershift.system.messages.proxy_link import BindTable, LoadReport

REPORTS = 10  # A line in the log for so many reports.


class Placed(Protocol):
    """A backend's life, of which only the place counts here."""

    zone: str
    region: str


class Places:
    def __init__(self, zone: str, region: str) -> None:
        self.zone, self.region = zone, region
        self.reports = self.tries = self.bad = self.own_zone = self.own_region = 0

    def count(self, report: LoadReport, lives: Mapping[str, Placed]) -> None:
        self.reports += 1
        for met in report.backends:
            life = lives.get(met.backend_id)
            if life is None:
                continue  # Gone since: where it was is not worth keeping.
            self.tries += met.attempts
            self.bad += met.failures
            self.own_zone += met.attempts * (life.zone == self.zone)
            self.own_region += met.attempts * (life.region == self.region)

    def lines(self, bind: BindTable, lives: Mapping[str, Placed]) -> dict[str, object]:
        """A table's lines by place."""
        found = [lives[id] for id, _ in bind.entries if id in lives]
        region = sum(life.region == self.region for life in found)
        own = sum(life.zone == self.zone for life in found)
        return {"own_zone": own, "own_region": region - own, "abroad": len(bind.entries) - region}

    def due(self) -> bool:
        return self.reports >= REPORTS

    def told(self) -> dict[str, object]:
        """The fields of the line; counting begins anew."""
        told: dict[str, object] = {
            "tries": self.tries,
            "bad": self.bad,
            "own_zone": self.own_zone,
            "own_region": self.own_region - self.own_zone,
            "abroad": self.tries - self.own_region,
        }
        self.reports = self.tries = self.bad = self.own_zone = self.own_region = 0
        return told

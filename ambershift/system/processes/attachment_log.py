"""Log events and metrics of a proxy's attachment to its control node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE
from ambershift.system.messages.proxy_link import BindTable, ItemUpdate, LoadReport
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.processes.locality import LocalityCounter, Located
from ambershift.system.processes.metrics import Metric
from ambershift.system.state_machine import NS_PER_MS


class AbandonReason(StrEnum):
    """Why a proxy left its control node."""

    SILENT = "silent"  # Nothing came on the link for longer than the time-out.
    STALE = "stale"  # Another control node proved a newer configuration.
    OUTDATED = "outdated"  # It can't tell which items were deleted since.


class AttachmentLog:
    """Writes what happens to the link of a proxy, and counts it for the metrics."""

    def __init__(
        self,
        selector: ControlNodeSelector,
        locality: LocalityCounter,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        """Start the counts at zero.

        Args:
            selector: Knows the control node in use and the proof of its configuration.
            locality: Counts where requests went.
            steady: The steady clock, in ns.
            log: Writes an event, by its number and fields.
        """
        self.configuration_version = 0  # The highest version of the operator's items received.
        self.abandoned_links = Counter[str]()  # By reason.
        self._selector = selector
        self._locality = locality
        self._steady = steady
        self._log = log

    def attached(self, ip: str) -> None:
        """A link to a control node is in use."""
        self._log(111, {"peer": ip})

    def abandoned(self, reason: AbandonReason) -> None:
        """The link in use is given up."""
        self.abandoned_links[reason] += 1
        self._log(
            112,
            {
                "peer": self._selector.linked_ip,
                "reason": str(reason),
                "configuration_age_ms": self.configuration_age_ms(),
            },
        )

    def no_node_answered(self, candidates: int) -> None:
        """None of the candidates answered."""
        self._log(113, {"candidates": candidates})

    def ready(self) -> None:
        """The proxy has all that was acknowledged, and serves."""
        self._log(114, {})

    def table_bound(self, table: BindTable, backends: Mapping[str, Located]) -> None:
        """The proxy sends a pool's requests by another table."""
        self._log(
            115,
            {
                "pool": table.pool,
                "table": table.table,
                **self._locality.table_fields(table, backends),
            },
        )

    def load_reported(self, report: LoadReport, backends: Mapping[str, Located]) -> None:
        """A report was made; each tenth writes where requests went."""
        self._locality.count(report, backends)
        if self._locality.is_due():
            self._log(116, self._locality.take_fields())

    def configuration_applied(self, update: ItemUpdate) -> None:
        """Items are in force; only the operator's are logged."""
        versions = [item.version[0] for item in update.items if item.kind in (ROUTE, SERVICE, LIMITS)]
        if versions:
            self.configuration_version = max(self.configuration_version, *versions)
            self._log(
                117,
                {"peer": self._selector.linked_ip, "items": len(versions), "version": max(versions)},
            )

    def no_newer_configuration(self, candidates: int) -> None:
        """The configuration may be stale, and no control node asked proves a newer one."""
        self._log(118, {"candidates": candidates, "configuration_age_ms": self.configuration_age_ms()})

    def configuration_age_ms(self) -> int | None:
        """Upper bound of the configuration's age; None before the first proof."""
        proved = self._selector.proven_as_of
        return None if proved is None else (self._steady() - proved) // NS_PER_MS

    def metrics(self, linked: bool) -> list[Metric]:
        """The metrics of the link."""
        age_ms = self.configuration_age_ms()
        return [
            Metric(
                "configuration_version",
                "Highest version of the operator's configuration in force.",
                self.configuration_version,
            ),
            Metric(
                "configuration_age_seconds",
                "Upper bound of the configuration's age; -1 before the first proof.",
                -1.0 if age_ms is None else age_ms / 1000,
            ),
            Metric("control_node_linked", "Whether a control node is linked (1) or not (0).", float(linked)),
            Metric(
                "abandoned_links_total",
                "Links given up since the start, by reason.",
                label="reason",
                values=self.abandoned_links,
            ),
        ]

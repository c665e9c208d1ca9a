"""Passes a coordinator's events through the observation exchange, and then to the controller."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.observation_exchange import ObservationExchange
from ambershift.coordinator.routing.admission import Admission
from ambershift.coordinator.runtime.tap import DeskTap


class GroupTap(DeskTap):
    """The controller's tap in a coordinator with a group.

    Of a server that no list had before, the controller learns the group's wishes and permits before it is
    listed.
    """

    def __init__(
        self,
        controller: AdminController,
        now: Callable[[], int],
        on_change: Callable[[], None],
        applier: DeskApplier,
        exchange: ObservationExchange,
    ) -> None:
        """Join the controller, the applier of the group's state and the exchange.

        Args:
            controller: The controller.
            now: Its clock, ns.
            on_change: Called when the controller may have something new to tell.
            applier: Hands the controller the group's wishes and permits.
            exchange: Adds what other members know to lists, and counts reports.
        """
        super().__init__(controller, now, on_change)
        self._applier = applier
        self._exchange = exchange

    def listed(self, event: api.Listed) -> api.Listed:
        """Return the list as the decision module is to see it."""
        event = self._exchange.process_list(self.now(), event)
        self._applier.prepare_list(event)
        return super().listed(event)

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        """Take the events of a step."""
        super().stepped(now, self._exchange.process_events(now, events))


class AdmittedNames:
    """The `NameMapping` of the servers and zones that the coordinator admits."""

    def __init__(self, admission: Admission) -> None:
        """Use the names of `admission`, as they are at each call."""
        self._admission = admission

    def server(self, index: int) -> str | None:
        """Return the id of a server."""
        return self._admission.server_index.ids.get(index)

    def index(self, server: str) -> int | None:
        """Return the index of a server."""
        return self._admission.server_index.lookup(server)

    def zone(self, index: int) -> str | None:
        """Return the name of a zone."""
        zones = self._admission.settings.zones
        return zones[index] if 0 <= index < len(zones) else None

    def zone_index(self, zone: str) -> int | None:
        """Return the index of a zone."""
        return self._admission.zones.get(zone)

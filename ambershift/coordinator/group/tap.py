"""Tap: what passes in a coordinator with a group goes through what was heard first, then to the desk."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.desk import Desk
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.observation_exchange import ObservationExchange
from ambershift.coordinator.routing.admit import Admit
from ambershift.coordinator.runtime.tap import DeskTap


class GroupTap(DeskTap):
    """Of a server that no list had before, the desk learns first what the group wants of it."""

    def __init__(
        self,
        desk: Desk,
        now: Callable[[], int],
        moved: Callable[[], None],
        at_desk: DeskApplier,
        learned: ObservationExchange,
    ) -> None:
        super().__init__(desk, now, moved)
        self.at_desk, self.learned = at_desk, learned

    def listed(self, event: api.Listed) -> api.Listed:
        event = self.learned.process_list(self.now(), event)
        self.at_desk.before_list(event)
        return super().listed(event)

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        super().stepped(now, self.learned.process_events(now, events))


class AdmittedNames:
    """The names of `learned.Names`, from those that the coordinator admits."""

    def __init__(self, admit: Admit) -> None:
        self.admit = admit

    def server(self, index: int) -> str | None:
        return self.admit.door.ids.get(index)

    def index(self, server: str) -> int | None:
        return self.admit.door.lookup(server)

    def zone(self, index: int) -> str | None:
        zones = self.admit.names.zones
        return zones[index] if 0 <= index < len(zones) else None

    def zone_index(self, zone: str) -> int | None:
        return self.admit.zones.get(zone)

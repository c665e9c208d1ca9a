"""View: one whole state of the controller at one time, for those who read."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.admin.data_plane import DataPlaneState
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.pending import PendingChanges, stage
from ambershift.coordinator.admin.types import Stage


class View(NamedTuple):
    """Whoever holds it sees no later change."""

    now: int
    version: int
    inventory: ServerInventory
    data_plane: DataPlaneState
    pending: PendingChanges

    def stage(self, server: int) -> Stage | None:
        told = self.pending.get(server)
        return None if told is None else stage(self.data_plane, server, told)

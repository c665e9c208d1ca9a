"""An immutable view of the admin controller's state, for readers."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.admin.data_plane import DataPlaneState
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.pending import PendingChanges, stage
from ambershift.coordinator.admin.types import Stage


class View(NamedTuple):
    """The whole state at one time; later changes do not show in it."""

    now: int
    version: int
    inventory: ServerInventory
    data_plane: DataPlaneState
    pending: PendingChanges

    def stage(self, server: int) -> Stage | None:
        """Return the progress of a server's last change, None if none is pending."""
        change = self.pending.get(server)
        return None if change is None else stage(self.data_plane, server, change)

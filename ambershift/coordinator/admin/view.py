"""View: one whole state of the desk at one time, for those who read."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.admin.mirror import Picture
from ambershift.coordinator.admin.pending import Waiting, stage
from ambershift.coordinator.admin.words import Stage
from ambershift.coordinator.admin.world import World


class View(NamedTuple):
    """Whoever holds it sees no later change."""

    now: int
    version: int
    world: World
    picture: Picture
    waiting: Waiting

    def stage(self, server: int) -> Stage | None:
        told = self.waiting.get(server)
        return None if told is None else stage(self.picture, server, told)

"""View: one whole state of the desk at one time, for those who read."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.admin.mirror import Picture
from ambershift.admin.pending import Waiting, stage
from ambershift.admin.words import Stage
from ambershift.admin.world import World


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

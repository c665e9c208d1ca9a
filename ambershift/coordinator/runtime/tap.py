"""Tap: hands the controller what passes in the coordinator."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController


class DeskTap:
    """Hands the controller what passes in the coordinator, and tells the front when to look again."""

    def __init__(
        self, controller: AdminController, now: Callable[[], int], moved: Callable[[], None]
    ) -> None:
        self.controller, self.now, self.moved = controller, now, moved

    def listed(self, event: api.Listed) -> api.Listed:
        seen = self.controller.listed(self.now(), event)
        self.moved()
        return seen

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        self.controller.stepped(now, events)
        self.moved()

    def ordered(self, reply: int, orders: Sequence[api.Order]) -> None:
        self.controller.ordered(self.now(), reply, orders)
        self.moved()

    def settled(self, reply: int) -> None:
        self.controller.settled(reply)
        self.moved()

    def refused(self, order: str) -> None:
        self.controller.refused(self.now(), order)
        self.moved()

"""Tap: hands the desk what passes in the coordinator."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.desk import Desk


class DeskTap:
    """Hands the desk what passes in the coordinator, and tells the front when to look again."""

    def __init__(self, desk: Desk, now: Callable[[], int], moved: Callable[[], None]) -> None:
        self.desk, self.now, self.moved = desk, now, moved

    def listed(self, event: api.Listed) -> api.Listed:
        seen = self.desk.listed(self.now(), event)
        self.moved()
        return seen

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        self.desk.stepped(now, events)
        self.moved()

    def ordered(self, reply: int, orders: Sequence[api.Order]) -> None:
        self.desk.ordered(self.now(), reply, orders)
        self.moved()

    def settled(self, reply: int) -> None:
        self.desk.settled(reply)
        self.moved()

    def refused(self, order: str) -> None:
        self.desk.refused(self.now(), order)
        self.moved()

"""The interface through which an extension of the coordinator sees events and replies, and changes lists."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ambershift import interface as api


class Tap(Protocol):
    """An extension that keeps state of its own is called for these, in the order in which they happen.

    A reply is known by its number, counted from 1 in the order in which the policy module gave them. An
    exception of a tap counts as a failure of the caller's, so a tap must not raise because of outside input.
    """

    def listed(self, event: api.Listed) -> api.Listed:
        """Return the list as the policy module is to see it."""

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        """These events are about to be passed to the policy module in one step."""

    def ordered(self, reply: int, orders: Sequence[api.Order]) -> None:
        """The policy module gave these orders for the relay; they are about to be queued."""

    def settled(self, reply: int) -> None:
        """The relay has answered all calls of the replies up to this one."""

    def refused(self, order: str) -> None:
        """The relay will never carry out this order, given as encoded for the relay."""

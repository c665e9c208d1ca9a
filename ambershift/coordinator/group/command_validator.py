"""The leader's check of a command, by its own controller, before it writes the command to the log.

Two operators at two members, each draining one of the last two warm servers of a zone, would each pass a
check at their own member. So only the leader checks, against the wishes in its log, committed or not.
"""

from __future__ import annotations

from collections.abc import Callable

from rpds import HashTrieMap

from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.coverage import uncovered
from ambershift.coordinator.admin.evaluation import evaluate
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.types import NO_ORIGIN, Refused
from ambershift.coordinator.maintenance.types import Phase, Refusal
from ambershift.coordinator.promises.codec import Outcome, refused
from ambershift.coordinator.promises.commands import Command, Grant, Wishes
from ambershift.coordinator.promises.state import GroupState
from ambershift.coordinator.promises.state_machine import to_desk_change
from ambershift.id_index import IdIndex


class CommandValidator:
    """Refuses commands that would leave proxies without warm servers, and grants under a skewed clock."""

    def __init__(
        self,
        controller: AdminController,
        server_index: IdIndex[str],
        now: Callable[[], int],
        describe: Callable[[Refused], str],
        is_clock_skewed: Callable[[], bool],
    ) -> None:
        """Prepare.

        Args:
            controller: This member's controller.
            server_index: Maps server ids to the controller's indices.
            now: The controller's clock, ns.
            describe: Returns a refusal of the controller in words.
            is_clock_skewed: Whether this member's clock is too far from the others'.
        """
        self._controller = controller
        self._server_index = server_index
        self._now = now
        self._describe = describe
        self._is_clock_skewed = is_clock_skewed

    def __call__(self, state: GroupState, at: int, command: Command) -> Outcome | None:
        """Return the refusal of a command on top of `state`, or None."""
        now = self._now()
        match command:
            case Wishes():
                # A server that this member's list lacks can't be judged here, nor is it missed here.
                listed = [
                    (index, wish)
                    for wish in command.changes
                    if (index := self._listed_index(wish.server)) is not None
                ]
                changes = [
                    change._replace(server=index)
                    for index, wish in listed
                    if (change := to_desk_change(wish)) is not None
                ]
                verdict = evaluate(self._world_under(state), changes, NO_ORIGIN, self._controller.warmth, now)
                return (
                    refused(verdict.reason, self._describe(verdict)) if isinstance(verdict, Refused) else None
                )
            case Grant():
                if self._is_clock_skewed():
                    return refused(Refusal.CLOCK_SKEWED, "the leader's clock is apart from the others'")
                before = self._world_under(state)
                granted = {
                    index: permit.ends
                    for permit in command.permits
                    if (index := self._listed_index(permit.server)) is not None
                }
                after = before._replace(held_out=before.held_out.update(granted))
                refusal = uncovered(before, after, list(granted), self._controller.warmth, now)
                return refused(refusal.reason, self._describe(refusal)) if refusal else None
        return None

    def _listed_index(self, server: str) -> int | None:
        index = self._server_index.lookup(server)
        return index if index is not None and index in self._controller.inventory.listed else None

    def _world_under(self, state: GroupState) -> ServerInventory:
        """Return this member's list under the wishes and permits of a state.

        A permit counts until it is closed, whatever this clock says: the clocks of others may be behind.
        """
        inventory, wishes = self._controller.inventory, state.wishes
        overrides = inventory.overrides
        # The controller holds most wishes already, as the very same objects.
        for server, wish in wishes.items():
            if (index := self._listed_index(server)) is not None and inventory.overrides.get(
                index
            ) is not wish:
                overrides = overrides.insert(index, wish)
        for index in inventory.overrides:
            if self._server_index.ids.get(index, "") not in wishes:
                overrides = overrides.remove(index)
        held_out = {
            index: held.permit.ends
            for held in state.permits.values()
            if held.permit.phase <= Phase.OUT
            and (index := self._listed_index(held.permit.server)) is not None
        }
        return inventory._replace(overrides=overrides, held_out=HashTrieMap(held_out))

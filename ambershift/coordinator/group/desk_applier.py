"""Applies at this coordinator's controller, for its proxies, what the group has committed."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.types import NO_OVERRIDE, ServerOverride
from ambershift.coordinator.promises.state import EMPTY, GroupState
from ambershift.coordinator.promises.uncommitted_ends import UncommittedEnd
from ambershift.id_index import IdIndex


class DeskApplier:
    """Hands the controller wishes and permits, which the log holds by server id.

    Those of a server that no list has named yet take effect once one does.

    Attributes:
        state: The committed state, as it was applied last.
        uncommitted_ends: By permit id, sooner ends in log entries that aren't known to be committed.
        permits_enabled: False while this member's clock is too far from the others': then no server is kept
            out by a permit.
    """

    def __init__(
        self,
        controller: AdminController,
        server_index: IdIndex[str],
        now: Callable[[], int],
        clock_ahead: int,
        on_change: Callable[[], None],
    ) -> None:
        """Start with an empty state.

        Args:
            controller: The controller.
            server_index: Maps server ids to the controller's indices.
            now: The controller's clock, ns.
            clock_ahead: How far the member's wall clock is ahead of the controller's, ns.
            on_change: Called when the controller may have something new to tell.
        """
        self.controller = controller
        self._server_index = server_index
        self._now = now
        self._clock_ahead = clock_ahead
        self._on_change = on_change
        self.state = EMPTY
        self._queued_servers = dict[str, None]()  # Used as an ordered set.
        self._queued_commands = list[tuple[str, str]]()
        self.uncommitted_ends = dict[str, UncommittedEnd]()
        self.permits_enabled = True

    def queue_wishes(self, state: GroupState, servers: Iterable[str], who: str, text: str) -> None:
        """Queue the wishes that one command changed, for `flush` to apply all queued ones at once."""
        self._queued_servers.update(dict.fromkeys(servers))
        self._queued_commands.append((who, summarize_command(text)))
        self.state = state

    def flush(self) -> None:
        """Apply the queued wishes."""
        if self._queued_servers:
            servers, commands = list(self._queued_servers), self._queued_commands
            self._queued_servers, self._queued_commands = {}, []
            self.apply_wishes(self.state, servers, commands)

    def apply_wishes(
        self, state: GroupState, servers: Iterable[str], commands: Sequence[tuple[str, str]]
    ) -> None:
        """Apply the wishes for some servers in one go, as each call costs a pass over all pending changes.

        Args:
            state: The committed state.
            servers: The ids of the servers whose wishes changed.
            commands: Who changed them, and by which command.
        """
        self.state = state
        wishes = dict[int, ServerOverride]()
        for server in servers:
            index = self._server_index.lookup(server)
            if index is not None:
                wishes[index] = state.wish(server)
        self.controller.apply_group_overrides(self._now(), wishes, commands)
        self._on_change()

    def apply_permits(self, state: GroupState) -> None:
        """Apply the permits of a state."""
        self.state = state
        self.controller.set_permits(self._now(), self.permit_deadlines())
        self._on_change()

    def apply_snapshot(self, state: GroupState) -> None:
        """Apply all of a state that replaces what was known."""
        wished_here = [
            self._server_index.ids[index]
            for index in self.controller.inventory.overrides
            if index in self._server_index.ids
        ]
        servers = dict.fromkeys((*wished_here, *state.wishes))
        self.apply_wishes(state, servers, [("group", "what stands in the group")])
        self.apply_permits(state)

    def prepare_list(self, event: api.Listed) -> None:
        """Give the controller, ahead of a list, the wishes and permits for servers that are new in it."""
        new = [
            entry.server for entry in event.entries if entry.server not in self.controller.inventory.listed
        ]
        for server in new if self.state.wishes else ():
            if (wish := self.state.wish(self._server_index.ids[server])) != NO_OVERRIDE:
                self.controller.unlisted_overrides[server] = wish
        if new and self.state.permits:
            self.controller.permits = self.permit_deadlines()

    def ease(self, factors: dict[str, float]) -> None:
        """Reduce the weights of servers that suffer interference, by server id; of all others undo it."""
        self.controller.set_weight_factors(
            self._now(),
            {
                index: factor
                for server, factor in factors.items()
                if (index := self._server_index.lookup(server)) is not None
            },
        )
        self._on_change()

    def entries_committed(self, number: int) -> None:
        """Entries up to `number` are in the state, which therefore tells of the ends in them itself."""
        if any(end.entry <= number for end in self.uncommitted_ends.values()):
            self.uncommitted_ends = {
                permit: end for permit, end in self.uncommitted_ends.items() if end.entry > number
            }
            self.apply_permits(self.state)

    def enable_permits(self, enabled: bool) -> None:
        """Keep servers out by permits, or not while this member's clock is too far from the others'."""
        if enabled != self.permits_enabled:
            self.permits_enabled = enabled
            self.apply_permits(self.state)

    def permit_deadlines(self) -> dict[int, int]:
        """Return the servers that permits keep out, and until when by the controller's clock."""
        if not self.permits_enabled:
            return {}
        wall = self._now() + self._clock_ahead
        deadlines = dict[int, int]()
        for server, permit in self.state.held_out(wall).items():
            uncommitted = self.uncommitted_ends.get(permit.id)
            ends = permit.ends if uncommitted is None else min(permit.ends, uncommitted.ends)
            if ends > wall and (index := self._server_index.lookup(server)) is not None:
                deadlines[index] = ends - self._clock_ahead
        return deadlines

    def is_drained(self, server: str) -> bool:
        """Return whether a server is shut out at all proxies of this coordinator, and no try is reported."""
        index = self._server_index.lookup(server)
        return (
            index is None
            or index not in self.controller.inventory.listed
            or self.controller.drained([index], self._now())
        )

    def is_held_out(self, server: str) -> bool:
        """Return whether a permit keeps that server out here."""
        index = self._server_index.lookup(server)
        return index is not None and index in self.controller.permits


def summarize_command(text: str) -> str:
    """Return a command as one line for the audit log: of its payload only the number of lines."""
    first, *payload = text.split("\n")
    return f"{first} of {len(payload)} lines" if payload else first

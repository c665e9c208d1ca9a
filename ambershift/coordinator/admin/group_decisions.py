"""The part of the admin controller that applies what a group has committed.

Nothing is refused here, since the leader has checked it; the rules on lent servers and on replacements hold
as for any command.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rpds import HashTrieMap

from ambershift.coordinator.admin.audit_log import AuditLog
from ambershift.coordinator.admin.batching import ChangeBatcher
from ambershift.coordinator.admin.data_plane import DataPlaneTracker
from ambershift.coordinator.admin.inventory import ServerInventory
from ambershift.coordinator.admin.pending import PendingChange, PendingChanges
from ambershift.coordinator.admin.types import ServerOverride


class GroupDecisions:
    """The part of the admin controller that a group calls; `AdminController` describes the attributes."""

    inventory: ServerInventory
    audit_log: AuditLog
    tracker: DataPlaneTracker
    batcher: ChangeBatcher
    pending: PendingChanges
    unlisted_overrides: dict[int, ServerOverride]
    permits: dict[int, int]
    urgent: set[int]
    commands: int

    def set_inventory(self, inventory: ServerInventory) -> None:
        """Replace the inventory."""
        raise NotImplementedError

    def update_lent(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Return the inventory with the servers lent that are needed now."""
        raise NotImplementedError

    def apply_group_overrides(
        self, now: int, overrides: Mapping[int, ServerOverride], commands: Sequence[tuple[str, str]]
    ) -> tuple[int, ...]:
        """Apply committed overrides of listed servers.

        Those of servers that aren't listed yet belong into `unlisted_overrides`.

        Args:
            now: The time, ns.
            overrides: The overrides by server.
            commands: The originator and the text of each command behind them, for the audit log.

        Returns:
            The servers whose override changed in more than its origin.
        """
        inventory, changed = self.inventory, list[int]()
        for server, override in overrides.items():
            if server in inventory.listed and (old := inventory.operator_override(server)) != override:
                inventory = inventory.with_override(server, override)
                if old._replace(origin=override.origin) != override:
                    changed.append(server)
        if changed:
            self.commands += len(commands)
            for who, text in commands:
                self.audit_log.note(now, "command", who, text)
        self.mark_pending(now, changed)
        if not self.tracker.data_plane.proxies:
            # A member that catches up: without proxies no change costs a line yet, and the module must have
            # all of them before the first proxy joins.
            self.urgent.update(changed)
        self.set_inventory(self.update_lent(inventory, now))
        return tuple(changed)

    def set_permits(self, now: int, until: Mapping[int, int]) -> None:
        """Keep exactly these servers out as under maintenance, each until its end by the local clock."""
        self.permits = dict(until)
        inventory = self.inventory.with_permits(self.permits)
        self.mark_pending(
            now,
            [
                server
                for server in {*inventory.held_out, *self.inventory.held_out}
                if inventory.override(server) != self.inventory.override(server)
            ],
        )
        self.set_inventory(self.update_lent(inventory, now))

    def set_weight_factors(self, now: int, factors: Mapping[int, float]) -> None:
        """Set by which part of its weight each of these servers is weighted; all others have their whole."""
        before = self.inventory.weight_factors
        weight_factors = {
            server: factor for server, factor in factors.items() if server in self.inventory.listed
        }
        if weight_factors != dict(before):
            self.mark_pending(
                now,
                [
                    server
                    for server in {*weight_factors, *before}
                    if weight_factors.get(server) != before.get(server)
                ],
            )
            self.set_inventory(self.inventory._replace(weight_factors=HashTrieMap(weight_factors)))

    def mark_pending(self, now: int, servers: Sequence[int]) -> None:
        """Queue these servers for the module, as their overrides have changed."""
        for server in servers:
            self.batcher.note(server, now)
            earlier = self.pending.get(server)
            scaled = earlier.scaled if earlier else False
            self.pending = self.pending.insert(
                server, PendingChange(earlier.at if earlier else now, scaled=scaled)
            )

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
    """The part of a controller that a group speaks to."""

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
        raise NotImplementedError

    def update_lent(self, inventory: ServerInventory, now: int) -> ServerInventory:
        raise NotImplementedError

    def apply_group_overrides(
        self, now: int, overrides: Mapping[int, ServerOverride], said: Sequence[tuple[str, str]]
    ) -> tuple[int, ...]:
        """Take over wishes that stand. Of servers that are not listed yet `ahead` must tell when they come.
        `said` has who said what, command by command.
        """
        inventory, changed = self.inventory, list[int]()
        for server, override in overrides.items():
            if server in inventory.listed and (old := inventory.operator_override(server)) != override:
                inventory = inventory.with_override(server, override)
                if old._replace(origin=override.origin) != override:
                    changed.append(server)
        if changed:
            self.commands += len(said)
            for who, text in said:
                self.audit_log.note(now, "command", who, text)
        self.mark_pending(now, changed)
        if not self.tracker.data_plane.proxies:
            # A member that catches up: no proxy costs a line yet, and the first to come must find all told.
            self.urgent.update(changed)
        self.set_inventory(self.update_lent(inventory, now))
        return tuple(changed)

    def set_permits(self, now: int, until: Mapping[int, int]) -> None:
        """Keep these out as under maintenance, each until its end by the local clock, and no others."""
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

    def set_weight_factors(self, now: int, parts: Mapping[int, float]) -> None:
        """What part of its weight each of these keeps; all others keep all."""
        before = self.inventory.weight_factors
        weight_factors = {server: part for server, part in parts.items() if server in self.inventory.listed}
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
        """What is wanted of these is another now, and on its way."""
        for server in servers:
            self.batcher.note(server, now)
            told = self.pending.get(server)
            scaled = told.scaled if told else False
            self.pending = self.pending.insert(server, PendingChange(told.at if told else now, scaled=scaled))

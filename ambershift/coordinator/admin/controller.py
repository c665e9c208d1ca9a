"""Takes operators' commands and the server list, and gives the decision module the merged entries.

It does no I/O: each event comes with its time, and the effects are the return values. The server of the
runtime API calls `command` and `due`; the coordinator's tap passes lists, events, orders and the relay's
answers.
"""

from __future__ import annotations

from collections.abc import Sequence

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.audit_log import AuditLog
from ambershift.coordinator.admin.batching import ChangeBatcher
from ambershift.coordinator.admin.coverage import Lender, Warmth, awaits_replacement
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN, DataPlaneTracker
from ambershift.coordinator.admin.evaluation import evaluate
from ambershift.coordinator.admin.group_decisions import GroupDecisions
from ambershift.coordinator.admin.inventory import EMPTY_INVENTORY, ServerInventory
from ambershift.coordinator.admin.overlay import effective_entry, is_reduction, warms_at
from ambershift.coordinator.admin.pending import PendingChange, PendingChanges, drained, stage
from ambershift.coordinator.admin.types import (
    NO_OVERRIDE,
    Accepted,
    Change,
    Origin,
    Reason,
    Refused,
    ServerOverride,
    Stage,
)
from ambershift.coordinator.admin.view import View

# More changes are pending only if the relay has been away for long, or a script sends too many commands.
MAX_PENDING_CHANGES = 20_000
# How often changes that are applied are removed; each sweep goes through all pending ones.
SWEEP_INTERVAL_NS = 50_000_000


class AdminController(GroupDecisions):
    """The operators' overrides in front of the decision module.

    Attributes:
        warmth: Tells which servers are cold.
        period: The proxies' report period, ns.
        inventory: The listed servers, their overrides and the lent ones.
        lender: Decides which servers are lent.
        batcher: Decides when the module gets changed overrides.
        tracker: The state of the relay and the proxies.
        audit_log: The commands and the answers that may be repeated.
        pending: By server, the change that proxies have not all applied yet.
        sent_entries: By server, the last entry that the module got.
        warming: By server that gets a larger weight once it is warm, when that is.
        swept_at: When applied changes were last removed from `pending`.
        urgent: Servers that the module must get at once: lent, taken back, or changed by the group before
            any proxy joined.
        unlisted_overrides: The group's overrides for servers that are not listed yet.
        permits: By server that a group's permits keep out, until when.
        commands: How many commands were accepted.
        version: How often the inventory changed.
        stopping: Whether the program ends and no command is accepted any more.
        now: The time of the last call of `next_at` or `due`.
    """

    def __init__(self, cold: int, report_period: int) -> None:
        """Create a controller without servers.

        Args:
            cold: For how long a server is cold after its start, ns.
            report_period: How often proxies report, ns.
        """
        self.warmth = Warmth(cold)
        self.period = report_period
        self.inventory = EMPTY_INVENTORY
        self.lender = Lender(self.warmth)
        self.batcher = ChangeBatcher(self.would_reduce)
        self.tracker = DataPlaneTracker()
        self.audit_log = AuditLog()
        self.pending: PendingChanges = HashTrieMap()
        self.sent_entries = dict[int, api.Entry]()
        self.warming = dict[int, int]()
        self.swept_at = 0
        self.urgent = set[int]()
        self.unlisted_overrides = dict[int, ServerOverride]()
        self.permits = dict[int, int]()
        self.commands = 0
        self.version = 0
        self.stopping = False
        self.now = 0

    # Events of the coordinator

    def listed(self, now: int, event: api.Listed) -> api.Listed:
        """Return the list for the module, with the servers that are lent or taken back because of it."""
        named = {entry.server for entry in event.entries}
        inventory = self.inventory.with_list(event.whole, event.entries)
        for server in [server for server in self.unlisted_overrides if server in inventory.listed]:
            inventory = inventory.with_override(server, self.unlisted_overrides.pop(server))
            self.pending = self.pending.insert(server, PendingChange(now))
        if self.permits:
            inventory = inventory.with_permits(self.permits)
        inventory = self.update_lent(inventory, now)
        self.set_inventory(inventory)
        self.batcher.held.clear()
        added, self.urgent = self.urgent, set()
        # A server that a whole list omits and an operator keeps out is added, so that it stays out.
        if event.whole:
            added |= {server for server in inventory.overridden() if inventory.override(server).out}
        entries = [
            self.send_entry(server, now)
            for server in (*(entry.server for entry in event.entries), *sorted(added - named))
        ]
        return event._replace(entries=tuple(entries))

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        """Note the events of a step of the module."""
        self.tracker.hear(now, events)
        if self.pending and now >= self.swept_at + SWEEP_INTERVAL_NS:
            self.sweep(now)

    def ordered(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        """Note the orders that the module gave in a reply."""
        self.tracker.order(now, reply, orders)
        self.batcher.held.clear()

    def settled(self, reply: int) -> None:
        """Note that the relay has answered all replies up to this one."""
        self.tracker.settle(reply)

    def refused(self, now: int, order: str) -> None:
        """Record an order that the relay refused."""
        self.audit_log.note(now, "order-refused", "relay", order, error=True)

    # Operators' commands

    def command(self, now: int, who: str, text: str, changes: Sequence[Change]) -> Accepted | Refused:
        """Apply all changes of a command, or none of them."""
        outcome = self.evaluate(now, who, changes)
        if isinstance(outcome, Refused):
            self.audit_log.note(now, "refused", who, f"{text}: {outcome.reason.value}", error=True)
            return outcome
        inventory, changed = outcome
        if not changed:
            return Accepted(self.commands, ())
        self.commands += 1
        self.mark_pending(now, changed)
        self.audit_log.note(now, "command", who, text)
        self.set_inventory(self.update_lent(inventory, now))
        return Accepted(self.commands, changed)

    def evaluate(
        self, now: int, who: str, changes: Sequence[Change]
    ) -> tuple[ServerInventory, tuple[int, ...]] | Refused:
        """Return the inventory after a command and the servers changed, or a refusal."""
        if self.stopping:
            return Refused(Reason.STOPPING)
        outcome = evaluate(self.inventory, changes, Origin(who, now, self.commands + 1), self.warmth, now)
        if isinstance(outcome, Refused):
            return outcome
        count = len(outcome[1])
        if len(self.pending) + count > MAX_PENDING_CHANGES < len(self.sweep(now)) + count:
            return Refused(Reason.TOO_MANY_WAIT)
        return outcome

    # What the module gets, and when

    def next_at(self, now: int) -> int | None:
        """Return when to call `due`; None if not before the next event."""
        self.now = now
        times = [
            self.batcher.next_at(),
            self.lender.next_at(self.inventory, now),
            now if self.urgent else None,
            min(self.warming.values(), default=None),
            min(self.inventory.held_out.values(), default=None),
        ]
        return min((at for at in times if at is not None), default=None)

    def due(self, now: int) -> api.Listed | None:
        """Return the list's entries of the servers that the module must get again, None if there are none."""
        self.now = now
        if any(until <= now for until in self.inventory.held_out.values()):
            self.set_permits(now, {server: until for server, until in self.permits.items() if until > now})
        self.set_inventory(self.update_lent(self.inventory, now))
        # Lent servers are not delayed: without them proxies have no server to choose.
        due = dict.fromkeys(sorted(self.urgent))
        self.urgent.clear()
        for server in self.batcher.take(now):
            if self.would_reduce(server) and awaits_replacement(
                self.inventory, server, self.in_use, self.warmth, now
            ):
                self.batcher.hold(server, now)
            else:
                due[server] = None
        for server in [server for server, at in self.warming.items() if at <= now]:
            del self.warming[server]
            due[server] = None
        return self.changed_entries(now, due)

    def would_reduce(self, server: int) -> bool:
        """Return whether proxies could send less to the server if the module got its entry now."""
        known = self.sent_entries.get(server)
        if known is None:
            return False
        return is_reduction(effective_entry(self.inventory, server, self.warmth, self.now), known)

    def in_use(self, server: int) -> bool:
        """Return whether the module has the server as ready, and no order keeps it withdrawn."""
        known = self.sent_entries.get(server)
        return (
            known is not None
            and known.phase == api.Phase.READY
            and known.weight > 0
            and not self.tracker.data_plane.withdrawals.get(server, NEVER_WITHDRAWN).out
        )

    def flush(self, now: int) -> api.Listed | None:
        """Return all waiting entries as the program ends, and refuse commands from now on."""
        self.stopping = True
        return self.changed_entries(now, dict.fromkeys(self.batcher.flush()))

    def changed_entries(self, now: int, due: dict[int, None]) -> api.Listed | None:
        """Return the list's entries of those servers whose effective entry the module does not have."""
        changed = []
        for server in due:
            if effective_entry(self.inventory, server, self.warmth, now) != self.sent_entries.get(server):
                changed.append(self.inventory.listed[server])
            elif (change := self.pending.get(server)) is not None and change.entry is None:
                # The module has this state already, so that no order follows from the change.
                self.pending = self.pending.insert(
                    server,
                    change._replace(entry=self.sent_entries[server], reply=self.tracker.data_plane.reply),
                )
        return api.Listed(False, False, tuple(changed)) if changed else None

    def send_entry(self, server: int, now: int) -> api.Entry:
        """Return the effective entry of a server, and note that the module gets it."""
        entry = effective_entry(self.inventory, server, self.warmth, now)
        known = self.sent_entries.get(server)
        self.sent_entries[server] = entry
        if (change := self.pending.get(server)) is not None:
            scaled = change.scaled or (known is not None and known.weight != entry.weight)
            self.pending = self.pending.insert(
                server, PendingChange(change.at, entry, self.tracker.data_plane.reply, scaled)
            )
        self.batcher.waiting.pop(server, None)
        self.warming.pop(server, None)
        if (at := warms_at(self.inventory, server, self.warmth, now)) is not None:
            self.warming[server] = at
        if (
            known is not None
            and self.inventory.override(server) != NO_OVERRIDE
            and is_reduction(entry, known)
        ):
            self.batcher.note_reduction(server, now)
        return entry

    # Reading

    def view(self, now: int) -> View:
        """Return an immutable view of the state."""
        return View(now, self.version, self.inventory, self.tracker.data_plane, self.pending)

    def sweep(self, now: int) -> PendingChanges:
        """Remove the changes that every joined proxy has applied, and return the rest.

        Later orders of the module do not belong to a removed change.
        """
        self.swept_at = now
        for server, change in self.pending.items():
            if stage(self.tracker.data_plane, server, change) is Stage.APPLIED:
                self.pending = self.pending.remove(server)
        return self.pending

    def applied(self, servers: Sequence[int]) -> bool:
        """Return whether every joined proxy has applied the last changes of these servers."""
        return all(
            change is None or stage(self.tracker.data_plane, server, change) is Stage.APPLIED
            for server in servers
            for change in (self.pending.get(server),)
        )

    def drained(self, servers: Sequence[int], now: int) -> bool:
        """Return whether these servers are withdrawn at every joined proxy and get no attempts any more."""
        return self.applied(servers) and all(
            drained(self.tracker.data_plane, server, self.period, now) for server in servers
        )

    def set_inventory(self, inventory: ServerInventory) -> None:
        """Replace the inventory, and count a version if it is another."""
        if inventory is not self.inventory:
            self.inventory, self.version = inventory, self.version + 1

    def update_lent(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Return the inventory with the servers lent that are needed now, and record each change of them."""
        before, after = self.inventory.lent, self.lender.lend(inventory, now)
        for server in after.lent:
            if server not in before:
                self.audit_log.note(now, "lent", "desk", f"server {server}", error=True)
                self.urgent.add(server)
        for server in before:
            if server not in after.lent:
                self.audit_log.note(now, "returned", "desk", f"server {server}")
                self.urgent.add(server)
        return after

"""Controller: takes the operator's commands and the list's word, and tells the module of both as one.

Without I/O: events come with their time, effects are what the methods give back. A front above calls
`command` and `due`; the coordinator's tap hands over lists, events, orders and the relay's answers.
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

# Wishes that may be on their way at once. Beyond it the relay has been away for long, or somebody scripts
# badly.
MAX_PENDING_CHANGES = 20_000
# How often wishes that are applied are looked for, as each look goes through all that are on their way.
SWEEP_INTERVAL_NS = 50_000_000


class AdminController(GroupDecisions):
    def __init__(self, cold: int, report_period: int) -> None:
        self.warmth, self.period = Warmth(cold), report_period
        self.inventory, self.lender, self.batcher = (
            EMPTY_INVENTORY,
            Lender(self.warmth),
            ChangeBatcher(self.would_reduce),
        )
        self.tracker, self.audit_log = DataPlaneTracker(), AuditLog()
        self.pending: PendingChanges = HashTrieMap()
        self.sent_entries = dict[int, api.Entry]()  # What the module was told last.
        self.warming = dict[int, int]()  # Servers that get a larger weight once warm, and when.
        self.swept_at = 0
        self.urgent = set[int]()  # To be told at once: lent, taken back, or adopted before any proxy came.
        self.unlisted_overrides = dict[
            int, ServerOverride
        ]()  # Wishes of a group for servers that are not listed yet.
        self.permits = dict[int, int]()  # Kept out by a group's permits, and until when.
        self.commands, self.version, self.stopping, self.now = 0, 0, False, 0

    # What comes from the coordinator

    def listed(self, now: int, event: api.Listed) -> api.Listed:
        """The list as the module shall see it, with those that are lent or taken back because of it."""
        named = {entry.server for entry in event.entries}
        inventory = self.inventory.with_list(event.whole, event.entries)
        for server in [one for one in self.unlisted_overrides if one in inventory.listed]:
            inventory = inventory.with_override(server, self.unlisted_overrides.pop(server))
            self.pending = self.pending.insert(server, PendingChange(now))
        if self.permits:
            inventory = inventory.with_permits(self.permits)
        inventory = self.update_lent(inventory, now)
        self.set_inventory(inventory)
        self.batcher.held.clear()
        touched, self.urgent = self.urgent, set()
        # Gone by a whole list, yet kept out by an operator: named still, so that the module keeps it out.
        if event.whole:
            touched |= {server for server in inventory.overridden() if inventory.override(server).out}
        entries = [
            self.tell(server, now)
            for server in (*(one.server for one in event.entries), *sorted(touched - named))
        ]
        return event._replace(entries=tuple(entries))

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        self.tracker.hear(now, events)
        if self.pending and now >= self.swept_at + SWEEP_INTERVAL_NS:
            self.sweep(now)

    def ordered(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        self.tracker.order(now, reply, orders)
        self.batcher.held.clear()

    def settled(self, reply: int) -> None:
        self.tracker.settle(reply)

    def refused(self, now: int, order: str) -> None:
        self.audit_log.note(now, "order-refused", "relay", order, error=True)

    # What operators want

    def command(self, now: int, who: str, text: str, changes: Sequence[Change]) -> Accepted | Refused:
        """All of a command's changes, or none of them."""
        outcome = self.judge(now, who, changes)
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

    def judge(
        self, now: int, who: str, changes: Sequence[Change]
    ) -> tuple[ServerInventory, tuple[int, ...]] | Refused:
        if self.stopping:
            return Refused(Reason.STOPPING)
        outcome = evaluate(self.inventory, changes, Origin(who, now, self.commands + 1), self.warmth, now)
        if isinstance(outcome, Refused):
            return outcome
        count = len(outcome[1])
        if len(self.pending) + count > MAX_PENDING_CHANGES < len(self.sweep(now)) + count:
            return Refused(Reason.TOO_MANY_WAIT)
        return outcome

    # What is told to the module, and when

    def next_at(self, now: int) -> int | None:
        """When `due` wants to be called; None: not before something comes."""
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
        """The entries, as the list has them, of all servers that the module must hear of anew."""
        self.now = now
        if any(until <= now for until in self.inventory.held_out.values()):
            self.set_permits(now, {server: until for server, until in self.permits.items() if until > now})
        self.set_inventory(self.update_lent(self.inventory, now))
        # What is lent waits for nothing: without it proxies have no line to pick.
        due = dict.fromkeys(sorted(self.urgent))
        self.urgent.clear()
        for server in self.batcher.take(now):
            if self.would_reduce(server) and awaits_replacement(
                self.inventory, server, self.in_use, self.warmth, now
            ):
                self.batcher.hold(server, now)
            else:
                due[server] = None
        for server in [one for one, at in self.warming.items() if at <= now]:
            del self.warming[server]
            due[server] = None
        return self.news(now, due)

    def would_reduce(self, server: int) -> bool:
        """Whether the module, told now, would take something of this server away from proxies."""
        known = self.sent_entries.get(server)
        if known is None:
            return False
        return is_reduction(effective_entry(self.inventory, server, self.warmth, self.now), known)

    def in_use(self, server: int) -> bool:
        """Whether the module has been told that it is ready, and no order keeps it shut out."""
        known = self.sent_entries.get(server)
        return (
            known is not None
            and known.phase == api.Phase.READY
            and known.weight > 0
            and not self.tracker.data_plane.withdrawals.get(server, NEVER_WITHDRAWN).out
        )

    def flush(self, now: int) -> api.Listed | None:
        """The program ends: what was taken goes out now, and nothing more is taken."""
        self.stopping = True
        return self.news(now, dict.fromkeys(self.batcher.flush()))

    def news(self, now: int, due: dict[int, None]) -> api.Listed | None:
        told = []
        for server in due:
            if effective_entry(self.inventory, server, self.warmth, now) != self.sent_entries.get(server):
                told.append(self.inventory.listed[server])
            elif (waits := self.pending.get(server)) is not None and waits.entry is None:
                # Its last word is what the module knows already: no order comes of it.
                self.pending = self.pending.insert(
                    server,
                    waits._replace(entry=self.sent_entries[server], reply=self.tracker.data_plane.reply),
                )
        return api.Listed(False, False, tuple(told)) if told else None

    def tell(self, server: int, now: int) -> api.Entry:
        entry = effective_entry(self.inventory, server, self.warmth, now)
        known = self.sent_entries.get(server)
        self.sent_entries[server] = entry
        if (told := self.pending.get(server)) is not None:
            scaled = told.scaled or (known is not None and known.weight != entry.weight)
            self.pending = self.pending.insert(
                server, PendingChange(told.at, entry, self.tracker.data_plane.reply, scaled)
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
            self.batcher.told(server, now)
        return entry

    # What is read

    def view(self, now: int) -> View:
        return View(now, self.version, self.inventory, self.tracker.data_plane, self.pending)

    def sweep(self, now: int) -> PendingChanges:
        """Forget the wishes that every joined proxy has applied; what the module orders later is no wish."""
        self.swept_at = now
        for server, told in self.pending.items():
            if stage(self.tracker.data_plane, server, told) is Stage.APPLIED:
                self.pending = self.pending.remove(server)
        return self.pending

    def applied(self, servers: Sequence[int]) -> bool:
        return all(
            told is None or stage(self.tracker.data_plane, server, told) is Stage.APPLIED
            for server in servers
            for told in (self.pending.get(server),)
        )

    def drained(self, servers: Sequence[int], now: int) -> bool:
        return self.applied(servers) and all(
            drained(self.tracker.data_plane, server, self.period, now) for server in servers
        )

    def set_inventory(self, inventory: ServerInventory) -> None:
        if inventory is not self.inventory:
            self.inventory, self.version = inventory, self.version + 1

    def update_lent(self, inventory: ServerInventory, now: int) -> ServerInventory:
        """Lend or take back as the world stands now, and note who."""
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

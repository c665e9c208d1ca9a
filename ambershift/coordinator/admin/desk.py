"""Desk: takes the operator's commands and the list's word, and tells the module of both as one.

Without I/O: events come with their time, effects are what the methods give back. A front above calls
`command` and `due`; the coordinator's tap hands over lists, events, orders and the relay's answers.
"""

from __future__ import annotations

from collections.abc import Sequence

from rpds import HashTrieMap

from ambershift import interface as api
from ambershift.coordinator.admin.adopt import Adopting
from ambershift.coordinator.admin.coverage import Lender, Warmth, heir_is_away
from ambershift.coordinator.admin.ledger import Ledger
from ambershift.coordinator.admin.mirror import NEVER_SHUT, Mirror
from ambershift.coordinator.admin.overlay import effective, lower, warms_at
from ambershift.coordinator.admin.pace import Pace
from ambershift.coordinator.admin.pending import Told, Waiting, drained, stage
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.admin.weigh import weigh
from ambershift.coordinator.admin.words import (
    AS_LISTED,
    Accepted,
    Change,
    Origin,
    Reason,
    Refused,
    Stage,
    Standing,
)
from ambershift.coordinator.admin.world import EMPTY, World

# Wishes that may be on their way at once. Beyond it the relay has been away for long, or somebody scripts
# badly.
WAITING_MOST = 20_000
# How often wishes that are applied are looked for, as each look goes through all that are on their way.
SWEEP_EVERY = 50_000_000


class Desk(Adopting):
    def __init__(self, cold: int, report_period: int) -> None:
        self.warmth, self.period = Warmth(cold), report_period
        self.world, self.lender, self.pace = EMPTY, Lender(self.warmth), Pace(self.lowers)
        self.mirror, self.ledger = Mirror(), Ledger()
        self.waiting: Waiting = HashTrieMap()
        self.told = dict[int, api.Entry]()  # What the module was told last.
        self.warming = dict[int, int]()  # Servers that get a larger weight once warm, and when.
        self.swept_at = 0
        self.urgent = set[int]()  # To be told at once: lent, taken back, or adopted before any proxy came.
        self.ahead = dict[int, Standing]()  # Wishes of a group for servers that are not listed yet.
        self.permits = dict[int, int]()  # Kept out by a group's permits, and until when.
        self.commands, self.version, self.stopping, self.now = 0, 0, False, 0

    # What comes from the coordinator

    def listed(self, now: int, event: api.Listed) -> api.Listed:
        """The list as the module shall see it, with those that are lent or taken back because of it."""
        named = {entry.server for entry in event.entries}
        world = self.world.with_list(event.whole, event.entries)
        for server in [one for one in self.ahead if one in world.listed]:
            world = world.with_wish(server, self.ahead.pop(server))
            self.waiting = self.waiting.insert(server, Told(now))
        if self.permits:
            world = world.with_permits(self.permits)
        world = self.relend(world, now)
        self.set_world(world)
        self.pace.held.clear()
        touched, self.urgent = self.urgent, set()
        # Gone by a whole list, yet kept out by an operator: named still, so that the module keeps it out.
        if event.whole:
            touched |= {server for server in world.wished() if world.wish(server).out}
        entries = [
            self.tell(server, now)
            for server in (*(one.server for one in event.entries), *sorted(touched - named))
        ]
        return event._replace(entries=tuple(entries))

    def stepped(self, now: int, events: Sequence[api.Event]) -> None:
        self.mirror.hear(now, events)
        if self.waiting and now >= self.swept_at + SWEEP_EVERY:
            self.sweep(now)

    def ordered(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        self.mirror.order(now, reply, orders)
        self.pace.held.clear()

    def settled(self, reply: int) -> None:
        self.mirror.settle(reply)

    def refused(self, now: int, order: str) -> None:
        self.ledger.note(now, "order-refused", "relay", order, error=True)

    # What operators want

    def command(self, now: int, who: str, text: str, changes: Sequence[Change]) -> Accepted | Refused:
        """All of a command's changes, or none of them."""
        outcome = self.judge(now, who, changes)
        if isinstance(outcome, Refused):
            self.ledger.note(now, "refused", who, f"{text}: {outcome.reason.value}", error=True)
            return outcome
        world, changed = outcome
        if not changed:
            return Accepted(self.commands, ())
        self.commands += 1
        self.take_up(now, changed)
        self.ledger.note(now, "command", who, text)
        self.set_world(self.relend(world, now))
        return Accepted(self.commands, changed)

    def judge(self, now: int, who: str, changes: Sequence[Change]) -> tuple[World, tuple[int, ...]] | Refused:
        if self.stopping:
            return Refused(Reason.STOPPING)
        outcome = weigh(self.world, changes, Origin(who, now, self.commands + 1), self.warmth, now)
        if isinstance(outcome, Refused):
            return outcome
        count = len(outcome[1])
        if len(self.waiting) + count > WAITING_MOST < len(self.sweep(now)) + count:
            return Refused(Reason.TOO_MANY_WAIT)
        return outcome

    # What is told to the module, and when

    def next_at(self, now: int) -> int | None:
        """When `due` wants to be called; None: not before something comes."""
        self.now = now
        times = [
            self.pace.next_at(),
            self.lender.next_at(self.world, now),
            now if self.urgent else None,
            min(self.warming.values(), default=None),
            min(self.world.permitted.values(), default=None),
        ]
        return min((at for at in times if at is not None), default=None)

    def due(self, now: int) -> api.Listed | None:
        """The entries, as the list has them, of all servers that the module must hear of anew."""
        self.now = now
        if any(until <= now for until in self.world.permitted.values()):
            self.permit(now, {server: until for server, until in self.permits.items() if until > now})
        self.set_world(self.relend(self.world, now))
        # What is lent waits for nothing: without it proxies have no line to pick.
        due = dict.fromkeys(sorted(self.urgent))
        self.urgent.clear()
        for server in self.pace.take(now):
            if self.lowers(server) and heir_is_away(self.world, server, self.in_use, self.warmth, now):
                self.pace.hold(server, now)
            else:
                due[server] = None
        for server in [one for one, at in self.warming.items() if at <= now]:
            del self.warming[server]
            due[server] = None
        return self.news(now, due)

    def lowers(self, server: int) -> bool:
        """Whether the module, told now, would take something of this server away from proxies."""
        known = self.told.get(server)
        if known is None:
            return False
        return lower(effective(self.world, server, self.warmth, self.now), known)

    def in_use(self, server: int) -> bool:
        """Whether the module has been told that it is ready, and no order keeps it shut out."""
        known = self.told.get(server)
        return (
            known is not None
            and known.phase == api.Phase.READY
            and known.weight > 0
            and not self.mirror.picture.shut.get(server, NEVER_SHUT).out
        )

    def flush(self, now: int) -> api.Listed | None:
        """The program ends: what was taken goes out now, and nothing more is taken."""
        self.stopping = True
        return self.news(now, dict.fromkeys(self.pace.flush()))

    def news(self, now: int, due: dict[int, None]) -> api.Listed | None:
        told = []
        for server in due:
            if effective(self.world, server, self.warmth, now) != self.told.get(server):
                told.append(self.world.listed[server])
            elif (waits := self.waiting.get(server)) is not None and waits.entry is None:
                # Its last word is what the module knows already: no order comes of it.
                self.waiting = self.waiting.insert(
                    server, waits._replace(entry=self.told[server], reply=self.mirror.picture.reply)
                )
        return api.Listed(False, False, tuple(told)) if told else None

    def tell(self, server: int, now: int) -> api.Entry:
        entry = effective(self.world, server, self.warmth, now)
        known = self.told.get(server)
        self.told[server] = entry
        if (told := self.waiting.get(server)) is not None:
            scaled = told.scaled or (known is not None and known.weight != entry.weight)
            self.waiting = self.waiting.insert(
                server, Told(told.at, entry, self.mirror.picture.reply, scaled)
            )
        self.pace.waiting.pop(server, None)
        self.warming.pop(server, None)
        if (at := warms_at(self.world, server, self.warmth, now)) is not None:
            self.warming[server] = at
        if known is not None and self.world.wish(server) != AS_LISTED and lower(entry, known):
            self.pace.told(server, now)
        return entry

    # What is read

    def view(self, now: int) -> View:
        return View(now, self.version, self.world, self.mirror.picture, self.waiting)

    def sweep(self, now: int) -> Waiting:
        """Forget the wishes that every joined proxy has applied; what the module orders later is no wish."""
        self.swept_at = now
        for server, told in self.waiting.items():
            if stage(self.mirror.picture, server, told) is Stage.APPLIED:
                self.waiting = self.waiting.remove(server)
        return self.waiting

    def applied(self, servers: Sequence[int]) -> bool:
        return all(
            told is None or stage(self.mirror.picture, server, told) is Stage.APPLIED
            for server in servers
            for told in (self.waiting.get(server),)
        )

    def drained(self, servers: Sequence[int], now: int) -> bool:
        return self.applied(servers) and all(
            drained(self.mirror.picture, server, self.period, now) for server in servers
        )

    def set_world(self, world: World) -> None:
        if world is not self.world:
            self.world, self.version = world, self.version + 1

    def relend(self, world: World, now: int) -> World:
        """Lend or take back as the world stands now, and note who."""
        before, after = self.world.lent, self.lender.lend(world, now)
        for server in after.lent:
            if server not in before:
                self.ledger.note(now, "lent", "desk", f"server {server}", error=True)
                self.urgent.add(server)
        for server in before:
            if server not in after.lent:
                self.ledger.note(now, "returned", "desk", f"server {server}")
                self.urgent.add(server)
        return after

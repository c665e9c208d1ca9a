"""The one entry, `step(now, events)`, first with `Born`; and the order in which a turn does what is to do."""

from collections.abc import Sequence

from ambershift import interface as api
from ambershift.policy import channel, health, shares, slices, tables
from ambershift.policy.state import BEAT, SECOND, State

PROMPT = (
    api.Started,
    api.Listed,
    api.Joined,
    api.TimerFired,
    api.SliceAssigned,
)  # Reports can wait for the next beat.


class TableManager(State):
    def step(self, now: int, events: Sequence[api.Event]) -> list[api.Order]:
        self.now, self.orders = now, list[api.Order]()
        for event in events:
            match event:
                case api.Started():
                    self.start(event.seed, event.settings)
                    self.orders.append(api.StartTimer(BEAT, self.token))
                case api.Listed():
                    self.watch_gap = SECOND
                    self.hear_list(event)
                case api.ListFailed():
                    # Spacing with chance: all instances lose the list at once and would storm it together.
                    self.watch_at = now + int(self.watch_gap * (0.5 + self.chance()))
                    self.watch_gap = min(2 * self.watch_gap, self.terms.notification_deadline // 3)
                case api.Joined():
                    self.join(event)
                case api.Applied():
                    channel.hear_applied(self, event)
                case api.Left() if event.proxy in self.joined:
                    self.users[self.joined.pop(event.proxy).table].pop(event.proxy)
                case api.ServerReport() if event.server in self.servers:
                    self.servers[event.server].met.append((now, event))
                    self.spans.append(event.span)
                    self.heard = True
                case api.DemandReport() if event.proxy in self.proxies:
                    self.proxies[event.proxy].hear(now, event)
                case api.TimerFired() if event.token == self.token:
                    self.token += 1
                    self.orders.append(api.StartTimer(BEAT, self.token))
                case api.SliceAssigned():
                    self.held[event.slice] = {}
                case api.SliceRevoked():
                    self.held.pop(event.slice, None)
                    self.stopped.pop(event.slice, None)
                case api.SliceRestored():
                    self.held.setdefault(event.slice, {})[event.server] = event.weight
        if any(isinstance(event, PROMPT) for event in events):
            self.turn()
        return self.orders

    def chance(self) -> float:
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.seed >> 40) / 2**24  # Only the high bits of such a generator are good enough.

    def turn(self) -> None:
        if self.watch_at is not None and self.now >= self.watch_at:
            self.watch_at = None
            self.orders.append(api.Watch(True))
        # Also when reports stop: what is out must be tried again, and a level must come back.
        if self.heard or self.now >= self.judged_at + 2 * SECOND:
            self.heard, self.judged_at = False, self.now
            health.judge(self)
        channel.open_turn(self)
        if not (self.sliced and self.terms.single_owner):
            tables.withdraw(self, True)
        if self.sliced:
            slices.tend_slices(self)
        # Edits go together once the channel has nearly run dry: else each is a message to all of its table.
        self.idle = self.written - self.gone <= channel.EDITS * self.usual
        tables.shrink(self)
        wanted = {} if self.sliced else shares.plan(self)
        self.placed = {index for laid in self.laid.values() for index in laid}
        for table in sorted(wanted, key=lambda table: self.edited.get(table, 0)):
            tables.lay(self, table, wanted[table])
        tables.withdraw(self, False)
        tables.bind(self, wanted)
        tables.forget(self)
        channel.mark_turn(self)

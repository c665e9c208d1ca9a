"""The entry of the decision module, `step(now, events)`, first with `Started`; and the order of a turn."""

from collections.abc import Sequence

from ambershift import interface as api
from ambershift.policy import channel, health, shares, slices, tables
from ambershift.policy.state import SECOND, TICK_INTERVAL, State

# Events that start a turn at once; reports can wait for the next tick.
TURN_EVENTS = (api.Started, api.Listed, api.Joined, api.TimerFired, api.SliceAssigned)
MAX_EVALUATION_INTERVAL = 2 * SECOND
# The linear congruential generator of Knuth's MMIX.
LCG_MULTIPLIER = 6364136223846793005
LCG_INCREMENT = 1442695040888963407


class TableManager(State):
    """Decides which servers each proxy's table has, and what is done when servers or zones fail."""

    def step(self, now: int, events: Sequence[api.Event]) -> list[api.Order]:
        """Take events and return what to do.

        Args:
            now: The time, ns; it never goes back.
            events: What has happened since the last step; the first step begins with `Started`.
        """
        self.now, self.orders = now, list[api.Order]()
        for event in events:
            match event:
                case api.Started():
                    self.start(event.seed, event.settings)
                    self.orders.append(api.StartTimer(TICK_INTERVAL, self.token))
                case api.Listed():
                    self.watch_retry_delay = SECOND
                    self.update_servers(event)
                case api.ListFailed():
                    # A random delay: all instances lose the list at once and would ask for it together.
                    self.watch_due_at = now + int(self.watch_retry_delay * (0.5 + self.random_fraction()))
                    self.watch_retry_delay = min(
                        2 * self.watch_retry_delay, self.settings.notification_deadline // 3
                    )
                case api.Joined():
                    self.add_proxy(event)
                case api.Applied():
                    channel.record_applied(self, event)
                case api.Left() if event.proxy in self.joined:
                    self.users[self.joined.pop(event.proxy).table].pop(event.proxy)
                case api.ServerReport() if event.server in self.servers:
                    self.servers[event.server].reports.append((now, event))
                    self.report_spans.append(event.span)
                    self.has_new_reports = True
                case api.DemandReport() if event.proxy in self.proxies:
                    self.proxies[event.proxy].record_demand(now, event)
                case api.TimerFired() if event.token == self.token:
                    self.token += 1
                    self.orders.append(api.StartTimer(TICK_INTERVAL, self.token))
                case api.SliceAssigned():
                    self.slice_servers[event.slice] = {}
                case api.SliceRevoked():
                    self.slice_servers.pop(event.slice, None)
                    self.slice_stopped_at.pop(event.slice, None)
                case api.SliceRestored():
                    self.slice_servers.setdefault(event.slice, {})[event.server] = event.weight
        if any(isinstance(event, TURN_EVENTS) for event in events):
            self.run_turn()
        return self.orders

    def random_fraction(self) -> float:
        """Return a pseudo-random number from 0 to 1."""
        self.seed = (self.seed * LCG_MULTIPLIER + LCG_INCREMENT) & (2**64 - 1)
        return (self.seed >> 40) / 2**24  # Only the high bits of such a generator are good enough.

    def run_turn(self) -> None:
        """Order what is due, the most urgent first."""
        if self.watch_due_at is not None and self.now >= self.watch_due_at:
            self.watch_due_at = None
            self.orders.append(api.Watch(True))
        # Also when reports stop: what is ejected must be tried again, and a blocked group be let in.
        if self.has_new_reports or self.now >= self.evaluated_at + MAX_EVALUATION_INTERVAL:
            self.has_new_reports, self.evaluated_at = False, self.now
            health.evaluate_health(self)
        channel.begin_turn(self)
        if not (self.is_sliced and self.settings.single_owner):
            tables.update_withdrawals(self, True)
        if self.is_sliced:
            slices.assign_slices(self)
        # Edits go together once the channel has nearly run dry: else each is a message to all of its table.
        waiting = self.lines_written - self.lines_sent
        self.channel_is_idle = waiting <= channel.EDIT_QUEUE_FRACTION * self.ordinary_queue_limit
        tables.limit_cold_weights(self)
        wanted = {} if self.is_sliced else shares.plan_tables(self)
        self.placed_servers = {index for weights in self.table_weights.values() for index in weights}
        for table in sorted(wanted, key=lambda table: self.table_edited_at.get(table, 0)):
            tables.edit_table(self, table, wanted[table])
        tables.update_withdrawals(self, False)
        tables.bind_proxies(self, wanted)
        tables.forget_servers(self)
        channel.end_turn(self)

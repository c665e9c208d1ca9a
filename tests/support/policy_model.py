"""A simple model of proxies, channel and rules, to run beside the decision module; and what tests share."""

import socket
from collections import defaultdict

from ambershift import interface as api
from ambershift.policy import TableManager

S = 1_000_000_000
READS, WRITES = 0, 1


def group(**changes: object) -> api.Group:
    one = api.Group(
        budget=S // 2,
        expiry=2 * S,
        utility=1.0,
        idempotency=api.Idempotency.RETRIABLE,
        dedup_everywhere=True,
        dedup_window=0,
    )
    return one._replace(**changes)


def make_terms(**changes: object) -> api.PolicySettings:
    terms = api.PolicySettings(
        zones=2,
        groups=(group(), group(utility=3.0, idempotency=api.Idempotency.NON_RETRIABLE)),
        must_watch=False,
        notification_deadline=10 * S,
        only_draining_binds=False,
        cold=10 * S,
        cold_share=0.2,
        collapse_multiple=4.0,
        blackhole_limit=4 * S,
        lines_per_s=1000.0,
        message_overhead=3.0,
        queue_limit=1500.0,
        message_limit=12,
        message_window=10 * S,
        propagation_delay=S // 5,
        max_propagation_delay=S // 2,
        report_period=S,
        admission_mode="fraction",
        slices=0,
        single_owner=False,
        in_flight_time=S,
        lease=S,
        grace=3 * S,
        avoidance_failures=5,
        expected_proxies=8.0,
    )
    return terms._replace(**changes)


def entry(server: int, zone: int = 0, phase: api.Phase = api.Phase.READY, since: int = 0) -> api.Entry:
    return api.Entry(server, zone, phase, 1.0 + server % 3, since)


class PolicyModel:
    """Carries out orders as proxies do, and fails on any that breaks a rule.

    Attributes:
        listed: What the list shows of each server.
        proxies: The table that each joined proxy uses for each traffic group.
        tables: Weights, by table and server.
        levels: By table and mask.
        shut: Servers that are withdrawn.
        stopped: Tables whose flows are all blocked.
        queued_lines: Lines in the channel.
        total_lines: All lines ever written to it.
        pending_acks: Answers to marks, and how many lines must have left the channel before each.
        written: When each proxy was sent messages, within the message window.
        unserved_since: Since when each proxy has reached no server; the present while it reaches one.
        timers: When they fire, and their tokens.
        withdrawal_due_since: Since when a server that proxies reach must get no flows.
    """

    def __init__(self, terms: api.PolicySettings, servers: list[api.Entry], now: int = 100 * S) -> None:
        self.terms, self.now, self.module = terms, now, TableManager()
        self.listed: dict[int, api.Entry] = {}
        self.proxies: dict[int, dict[int, int]] = {}
        self.tables: dict[int, dict[int, float]] = defaultdict(dict)
        self.levels: dict[int, dict[int, api.Level]] = defaultdict(dict)
        self.shut: set[int] = set()
        self.stopped: set[int] = set()
        self.queued_lines = self.total_lines = 0.0
        self.pending_acks: list[tuple[float, api.Applied]] = []
        self.written: dict[int, list[int]] = defaultdict(list)
        self.unserved_since: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.withdrawal_due_since: dict[int, int] = {}
        self.orders: list[api.Order] = []
        self.tell(api.Started(7, terms), api.Listed(True, True, tuple(servers)))

    def tell(self, *events: api.Event) -> list[api.Order]:
        """Step the module with these events, carry out its orders and check the rules."""
        for event in events:
            if isinstance(event, api.Listed):
                if event.whole:
                    self.listed = {i: one._replace(phase=api.Phase.GONE) for i, one in self.listed.items()}
                self.listed.update({one.server: one for one in event.entries})
                self.withdrawal_due_since = {
                    i: at
                    for i, at in self.withdrawal_due_since.items()
                    if self.listed[i].phase != api.Phase.READY
                }
            elif isinstance(event, api.Joined):
                self.proxies[event.proxy] = {}
                self.written[event.proxy].clear()
            elif isinstance(event, api.Left):
                self.proxies.pop(event.proxy, None)
        self.orders = self.module.step(self.now, events)
        lines: dict[int, int] = defaultdict(int)
        for order in self.orders:
            for proxy in self.carry_out(order):
                lines[proxy] += 1
        marks = [order.mark for order in self.orders if isinstance(order, api.Mark)]
        for proxy, count in lines.items():
            cost = self.terms.message_overhead + count + len(marks)
            self.queued_lines, self.total_lines = self.queued_lines + cost, self.total_lines + cost
            self.pending_acks += [(self.total_lines, api.Applied(mark, S, proxy)) for mark in marks]
            self.written[proxy].append(self.now)
        for written in self.written.values():
            written[:] = [at for at in written if at > self.now - self.terms.message_window]
        self.check()
        return self.orders

    def carry_out(self, order: api.Order) -> list[int]:
        """Return the proxies that the order writes a line to, once for each line."""
        match order:
            case api.SetWeight():
                assert order.server in self.listed and order.weight >= 0
                if order.weight:
                    if self.terms.single_owner:
                        self.tables[order.table].clear()
                    self.tables[order.table][order.server] = order.weight
                else:
                    self.tables[order.table].pop(order.server, None)
                return self.users(order.table)
            case api.Level():
                self.levels[order.table][order.mask] = order
                (self.stopped.add if order.allowance == 0 else self.stopped.discard)(order.table)
                return self.users(order.table)
            case api.Withdraw():
                (self.shut.add if order.out else self.shut.discard)(order.server)
                # A line at each proxy that holds the server; what a proxy not yet bound holds is not known.
                return [
                    proxy
                    for proxy, tables in self.proxies.items()
                    if not tables or any(order.server in self.tables[table] for table in tables.values())
                ]
            case api.Bind():
                assert not self.terms.slices
                self.proxies[order.proxy] = dict.fromkeys(range(len(self.terms.groups)), order.table)
                lines = self.tables[order.table]
                cost = 1 + len(lines) + len(self.levels[order.table]) + len(self.shut & lines.keys())
                return [order.proxy] * cost
            case api.StartTimer():
                self.timers.append((self.now + order.after, order.token))
        return []

    def full_weight(self, server: int) -> float:
        """Return the weight that a warm server can take, whatever else the module was told of it."""
        return self.listed[server].weight

    def users(self, table: int) -> list[int]:
        """Return the proxies that use a table."""
        if self.terms.slices:
            return list(self.proxies)
        return [proxy for proxy, tables in self.proxies.items() if table in tables.values()]

    def reached(self, table: int) -> set[int]:
        """Return the servers that get flows by a table."""
        return set() if table in self.stopped else set(self.tables[table]) - self.shut

    def ready(self) -> set[int]:
        """Return the servers that are in order."""
        return {i for i, one in self.listed.items() if one.phase == api.Phase.READY}

    def check(self) -> None:
        """Fail on a broken rule."""
        binding = {api.Phase.DRAINING} | (set() if self.terms.only_draining_binds else {api.Phase.GONE})
        users: dict[int, list[int]] = defaultdict(list)
        for proxy, tables in self.proxies.items():
            for table in set(tables.values()):
                users[table].append(proxy)
        reached = {table: self.reached(table) for table in users}
        for table, proxies in users.items():
            has_room = any(len(self.written[proxy]) < 9 for proxy in proxies)
            for server in reached[table]:
                one = self.listed[server]
                since = (
                    self.withdrawal_due_since.setdefault(server, self.now)
                    if one.phase in binding
                    else self.now
                )
                assert self.now - since < self.terms.grace - self.terms.max_propagation_delay, (
                    f"drain: {server}"
                )
                age = self.now - one.since
                if one.since and one.phase == api.Phase.READY and has_room and age < self.terms.cold:
                    part = self.terms.cold_share + (1 - self.terms.cold_share) * age / self.terms.cold
                    most = part * self.full_weight(server) + 0.051
                    assert self.tables[table][server] <= most, "cold server"
            for order in self.levels[table].values():
                if order.mask & 1 << WRITES:
                    assert order.retry <= api.RetryPolicy.IF_NOT_RUN, "a flow could run twice"
        ready = self.ready()
        for proxy, tables in self.proxies.items():
            served = self.terms.slices or (tables and all(reached[table] for table in tables.values()))
            if served or not ready:
                self.unserved_since[proxy] = self.now
            unserved_time = self.now - self.unserved_since.setdefault(proxy, self.now)
            assert unserved_time <= self.terms.blackhole_limit, f"proxy {proxy} reaches no server"
            assert len(self.written[proxy]) <= (self.terms.message_limit or 1 << 30), "messages"
        assert self.queued_lines <= self.terms.queue_limit, "backlog"

    def run(self, span: int, *events: api.Event) -> None:
        """Let time pass; timers fire when they are due, and the events come with the first of them."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.queued_lines = max(0.0, self.queued_lines - (at - self.now) / S * self.terms.lines_per_s)
            self.now = at
            due = [one for one in self.pending_acks if one[0] <= self.total_lines - self.queued_lines]
            self.pending_acks = self.pending_acks[len(due) :]
            self.tell(api.TimerFired(token), *[one[1] for one in due], *events)
            events = ()
        self.now = end


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
        return port

"""What the decision module has ordered, what the relay has answered, and what proxies have applied.

The state is built from the orders as they pass, so that every answer to an operator agrees with what the
relay is sent. It is persistent, so that a reader keeps one consistent state.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from typing import NamedTuple

from rpds import HashTrieMap

from ambershift import interface as api

MAX_MARKS = 5_000

# In place of a table's number: the proxies that hold no table of this coordinator.
UNBOUND = -1
# In place of a table's number: no proxy, where the relay's answer alone matters.
NOBODY = -2


class Line(NamedTuple):
    """A server's weight in a table, and the reply that set it."""

    weight: float
    reply: int


class Withdrawal(NamedTuple):
    """Whether a server is withdrawn, by which reply, and when that was ordered."""

    out: bool
    reply: int
    at: int


NEVER_WITHDRAWN = Withdrawal(False, 0, 0)


class JoinedProxy(NamedTuple):
    """A joined proxy: its zone and table, the last reply that it confirmed, and when it joined."""

    zone: int
    table: int
    answered: int
    since: int


class ServerTraffic(NamedTuple):
    """What proxies have reported of a server since it is known; times in ns."""

    attempts: int
    failures: int
    success_time: int
    reported_at: int
    last_attempt_at: int
    loads: tuple[float, ...]


NO_TRAFFIC = ServerTraffic(0, 0, 0, 0, 0, ())


@dataclass(frozen=True)
class DataPlaneState:
    """The state of the relay and the proxies at one time.

    What is derived from it is cached with it, as the progress of thousands of changes is read from one state.

    Attributes:
        reply: The number of the last reply.
        settled: The last reply that the relay has answered.
        tables: By table, the lines of its servers.
        withdrawals: Of each server that was ever withdrawn, the last order.
        levels: By table and mask, the retry policy and the allowance.
        proxies: The joined proxies.
        traffic: By server, what proxies have reported.
    """

    reply: int
    settled: int
    tables: HashTrieMap[int, HashTrieMap[int, Line]]
    withdrawals: HashTrieMap[int, Withdrawal]
    levels: HashTrieMap[tuple[int, int], tuple[api.RetryPolicy, float]]
    proxies: HashTrieMap[int, JoinedProxy]
    traffic: HashTrieMap[int, ServerTraffic]

    @cached_property
    def answered(self) -> dict[int, int]:
        """By table in use, the last reply that all its proxies have confirmed."""
        found = dict[int, int]()
        for proxy in self.proxies.values():
            found[proxy.table] = min(found.get(proxy.table, proxy.answered), proxy.answered)
        return found

    def concerned(self, server: int, reply: int) -> list[int]:
        """Return the tables whose proxies got a message by a reply that withdraws or restores the server.

        Proxies of other tables get nothing and confirm nothing. Proxies without a table are included, as it
        is not known what they hold.
        """
        lines = self.lines(server)
        return [
            NOBODY,
            *([UNBOUND] if UNBOUND in self.answered else ()),
            *(table for table, line in lines.items() if line.weight or line.reply >= reply),
        ]

    def lines(self, server: int) -> dict[int, Line]:
        """Return the server's lines by table in use, also those of weight 0."""
        found = {}
        for table in self.answered:
            lines = self.tables.get(table)
            if lines is not None and (line := lines.get(server)) is not None:
                found[table] = line
        return found

    def applied(self, reply: int, table: int) -> bool:
        """Return whether every joined proxy that uses the table has confirmed the reply."""
        return self.answered.get(table, reply) >= reply


NO_LINES: HashTrieMap[int, Line] = HashTrieMap()
EMPTY_DATA_PLANE = DataPlaneState(
    0, 0, HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap()
)


class DataPlaneTracker:
    """Follows the data plane's state by events, orders and the relay's answers.

    Attributes:
        data_plane: The current state.
        marks: The reply that each mark was sent in. Numbers of marks recur, so the oldest are dropped.
    """

    def __init__(self) -> None:
        self.data_plane = EMPTY_DATA_PLANE
        self.marks = OrderedDict[int, int]()

    def hear(self, now: int, events: Sequence[api.Event]) -> None:
        """Apply what proxies did and reported."""
        data_plane = self.data_plane
        proxies, traffic = data_plane.proxies, data_plane.traffic
        for event in events:
            match event:
                case api.Joined():
                    # It holds no table of this coordinator, so that no earlier order concerns it.
                    proxies = proxies.insert(
                        event.proxy, JoinedProxy(event.zone, UNBOUND, data_plane.reply, now)
                    )
                case api.Left():
                    proxies = proxies.discard(event.proxy)
                case api.Applied():
                    proxy, reply = proxies.get(event.proxy), self.marks.get(event.mark, 0)
                    if proxy is not None and reply > proxy.answered:
                        proxies = proxies.insert(event.proxy, proxy._replace(answered=reply))
                case api.ServerReport():
                    known = traffic.get(event.server, NO_TRAFFIC)
                    traffic = traffic.insert(
                        event.server,
                        ServerTraffic(
                            known.attempts + event.attempts,
                            known.failures + event.failures,
                            known.success_time + event.mean_latency * (event.attempts - event.failures),
                            now,
                            now if event.attempts else known.last_attempt_at,
                            event.loads or known.loads,
                        ),
                    )
        if proxies is not data_plane.proxies or traffic is not data_plane.traffic:
            self.data_plane = replace(data_plane, proxies=proxies, traffic=traffic)

    def order(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        """Apply the orders of a reply."""
        data_plane = self.data_plane
        tables, withdrawals = data_plane.tables, data_plane.withdrawals
        levels, proxies = data_plane.levels, data_plane.proxies
        for order in orders:
            match order:
                case api.SetWeight():
                    lines = tables.get(order.table, NO_LINES).insert(order.server, Line(order.weight, reply))
                    tables = tables.insert(order.table, lines)
                case api.ClearTable():
                    tables = tables.discard(order.table)
                case api.Withdraw():
                    withdrawals = withdrawals.insert(order.server, Withdrawal(order.out, reply, now))
                case api.Level():
                    levels = levels.insert((order.table, order.mask), (order.retry, order.allowance))
                case api.Bind():
                    if (proxy := proxies.get(order.proxy)) is not None:
                        proxies = proxies.insert(order.proxy, proxy._replace(table=order.table))
                case api.Mark():
                    self.marks.pop(order.mark, None)
                    self.marks[order.mark] = reply
                    if len(self.marks) > MAX_MARKS:
                        self.marks.popitem(last=False)
        self.data_plane = replace(
            data_plane, reply=reply, tables=tables, withdrawals=withdrawals, levels=levels, proxies=proxies
        )

    def settle(self, reply: int) -> None:
        """Note that the relay has answered all replies up to this one."""
        if reply > self.data_plane.settled:
            self.data_plane = replace(self.data_plane, settled=reply)

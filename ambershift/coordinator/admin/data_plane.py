"""Mirror: what the module has ordered, what the relay has answered for, and what proxies have applied.

Built from the orders as they pass, so that every answer to an operator agrees with what relays are told, and
persistent, so that a reader holds one whole state.
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
# In place of a table's number: proxies that hold none of ours; and nobody, where the relay's answer is all.
UNBOUND, NOBODY = -1, -2


class Line(NamedTuple):
    weight: float
    reply: int


class Withdrawal(NamedTuple):
    """Whether a server is shut out, by which reply, and when that was ordered."""

    out: bool
    reply: int
    at: int


NEVER_WITHDRAWN = Withdrawal(False, 0, 0)


class JoinedProxy(NamedTuple):
    """A joined proxy: its table, and the last reply that it is known to have applied."""

    zone: int
    table: int
    answered: int
    since: int


class ServerTraffic(NamedTuple):
    """What proxies met at a server since we know of it; times in ns."""

    attempts: int
    failures: int
    success_time: int
    reported_at: int
    last_attempt_at: int
    loads: tuple[float, ...]


NO_TRAFFIC = ServerTraffic(0, 0, 0, 0, 0, ())


@dataclass(frozen=True)
class DataPlaneState:
    """One whole state. `shut` has each server ever withdrawn.

    What is worked out from it is kept with it: thousands of wishes are measured by the same picture.
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
        """For each table in use, the last reply that all its users are known to have applied."""
        found = dict[int, int]()
        for proxy in self.proxies.values():
            found[proxy.table] = min(found.get(proxy.table, proxy.answered), proxy.answered)
        return found

    def concerned(self, server: int, reply: int) -> list[int]:
        """Tables whose users a reply that shuts the server out, or lets it in, was a message to. Others are
        told nothing and answer nothing; what a proxy not yet bound holds is not known.
        """
        lines = self.lines(server)
        return [
            NOBODY,
            *([UNBOUND] if UNBOUND in self.answered else ()),
            *(table for table, line in lines.items() if line.weight or line.reply >= reply),
        ]

    def lines(self, server: int) -> dict[int, Line]:
        """The server's lines in tables that a joined proxy uses, also those emptied."""
        found = {}
        for table in self.answered:
            lines = self.tables.get(table)
            if lines is not None and (line := lines.get(server)) is not None:
                found[table] = line
        return found

    def applied(self, reply: int, table: int) -> bool:
        """Whether every joined proxy that uses the table has told that it applied the reply."""
        return self.answered.get(table, reply) >= reply


NO_LINES: HashTrieMap[int, Line] = HashTrieMap()
EMPTY_DATA_PLANE = DataPlaneState(
    0, 0, HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap()
)


class DataPlaneTracker:
    def __init__(self) -> None:
        self.data_plane = EMPTY_DATA_PLANE
        # Which reply a mark stands in. Numbers come round, so the oldest go.
        self.marks = OrderedDict[int, int]()

    def hear(self, now: int, events: Sequence[api.Event]) -> None:
        data_plane = self.data_plane
        proxies, traffic = data_plane.proxies, data_plane.traffic
        for event in events:
            match event:
                case api.Joined():
                    # It holds nothing of ours, so that nothing ordered before concerns it.
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
                    tally = traffic.get(event.server, NO_TRAFFIC)
                    traffic = traffic.insert(
                        event.server,
                        ServerTraffic(
                            tally.attempts + event.attempts,
                            tally.failures + event.failures,
                            tally.success_time + event.mean_latency * (event.attempts - event.failures),
                            now,
                            now if event.attempts else tally.last_attempt_at,
                            event.loads or tally.loads,
                        ),
                    )
        if proxies is not data_plane.proxies or traffic is not data_plane.traffic:
            self.data_plane = replace(data_plane, proxies=proxies, traffic=traffic)

    def order(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        data_plane = self.data_plane
        tables, withdrawals, levels, proxies = (
            data_plane.tables,
            data_plane.withdrawals,
            data_plane.levels,
            data_plane.proxies,
        )
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
        if reply > self.data_plane.settled:
            self.data_plane = replace(self.data_plane, settled=reply)

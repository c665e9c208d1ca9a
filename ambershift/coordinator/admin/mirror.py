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

MARKS_MOST = 5_000
# In place of a table's number: proxies that hold none of ours; and nobody, where the relay's answer is all.
UNBOUND, NOBODY = -1, -2


class Line(NamedTuple):
    weight: float
    reply: int


class Shut(NamedTuple):
    """Whether a server is shut out, by which reply, and when that was ordered."""

    out: bool
    reply: int
    at: int


NEVER_SHUT = Shut(False, 0, 0)


class Seat(NamedTuple):
    """A joined proxy: its table, and the last reply that it is known to have applied."""

    zone: int
    table: int
    answered: int
    since: int


class Tally(NamedTuple):
    """What proxies met at a server since we know of it; times in ns."""

    tries: int
    bad: int
    good_time: int
    met_at: int
    tried_at: int
    loads: tuple[float, ...]


NOTHING_MET = Tally(0, 0, 0, 0, 0, ())


@dataclass(frozen=True)
class Picture:
    """One whole state. `shut` has each server ever withdrawn.

    What is worked out from it is kept with it: thousands of wishes are measured by the same picture.
    """

    reply: int
    settled: int
    tables: HashTrieMap[int, HashTrieMap[int, Line]]
    shut: HashTrieMap[int, Shut]
    levels: HashTrieMap[tuple[int, int], tuple[api.RetryPolicy, float]]
    seats: HashTrieMap[int, Seat]
    met: HashTrieMap[int, Tally]

    @cached_property
    def answered(self) -> dict[int, int]:
        """For each table in use, the last reply that all its users are known to have applied."""
        found = dict[int, int]()
        for seat in self.seats.values():
            found[seat.table] = min(found.get(seat.table, seat.answered), seat.answered)
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
BLANK = Picture(0, 0, HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap(), HashTrieMap())


class Mirror:
    def __init__(self) -> None:
        self.picture = BLANK
        # Which reply a mark stands in. Numbers come round, so the oldest go.
        self.marks = OrderedDict[int, int]()

    def hear(self, now: int, events: Sequence[api.Event]) -> None:
        picture = self.picture
        seats, met = picture.seats, picture.met
        for event in events:
            match event:
                case api.Joined():
                    # It holds nothing of ours, so that nothing ordered before concerns it.
                    seats = seats.insert(event.proxy, Seat(event.zone, UNBOUND, picture.reply, now))
                case api.Left():
                    seats = seats.discard(event.proxy)
                case api.Applied():
                    seat, reply = seats.get(event.proxy), self.marks.get(event.mark, 0)
                    if seat is not None and reply > seat.answered:
                        seats = seats.insert(event.proxy, seat._replace(answered=reply))
                case api.ServerReport():
                    tally = met.get(event.server, NOTHING_MET)
                    met = met.insert(
                        event.server,
                        Tally(
                            tally.tries + event.attempts,
                            tally.bad + event.failures,
                            tally.good_time + event.mean_latency * (event.attempts - event.failures),
                            now,
                            now if event.attempts else tally.tried_at,
                            event.loads or tally.loads,
                        ),
                    )
        if seats is not picture.seats or met is not picture.met:
            self.picture = replace(picture, seats=seats, met=met)

    def order(self, now: int, reply: int, orders: Sequence[api.Order]) -> None:
        picture = self.picture
        tables, shut, levels, seats = picture.tables, picture.shut, picture.levels, picture.seats
        for order in orders:
            match order:
                case api.SetWeight():
                    lines = tables.get(order.table, NO_LINES).insert(order.server, Line(order.weight, reply))
                    tables = tables.insert(order.table, lines)
                case api.ClearTable():
                    tables = tables.discard(order.table)
                case api.Withdraw():
                    shut = shut.insert(order.server, Shut(order.out, reply, now))
                case api.Level():
                    levels = levels.insert((order.table, order.mask), (order.retry, order.allowance))
                case api.Bind():
                    if (seat := seats.get(order.proxy)) is not None:
                        seats = seats.insert(order.proxy, seat._replace(table=order.table))
                case api.Mark():
                    self.marks.pop(order.mark, None)
                    self.marks[order.mark] = reply
                    if len(self.marks) > MARKS_MOST:
                        self.marks.popitem(last=False)
        self.picture = replace(picture, reply=reply, tables=tables, shut=shut, levels=levels, seats=seats)

    def settle(self, reply: int) -> None:
        if reply > self.picture.settled:
            self.picture = replace(self.picture, settled=reply)
